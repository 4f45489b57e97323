"""A sheet of calculations: steps that combine targets and measured figures and show their inputs."""

from __future__ import annotations

import dataclasses
from typing import Callable

from figures import Basis, Figure, Measurements
from format import bytes_text, plain, quantity
from lookup import worst
from rows import Scope
from targets import Targets

DAY_S = 86400
HOUR_S = 3600
MINUTE_S = 60
BITS = 8  # per byte


@dataclasses.dataclass(frozen=True)
class Step:
    """One row of the calculations of a section."""

    quantity: str
    calculation: str
    result: str


def number(value: float) -> str:
    """Formats a number with three significant digits."""
    return plain(value) if value == int(value) else plain(float(f"{value:.3g}"))


def rate(value: float) -> str:
    """Formats a rate in bytes per second."""
    return f"{bytes_text(value)}/s"


class Sheet:
    """Collects the steps of one section."""

    def __init__(self, targets: Targets, measurements: Measurements) -> None:
        self.targets = targets
        self.measurements = measurements
        self.steps: list[Step] = []

    def figure(self, metric: str, scope: Scope, role: str = "supervisor") -> Figure:
        """Returns the largest figure of a role at the size of a scope."""
        return worst(self.measurements, self.targets, role, metric, scope)

    def step(self, name: str, calculation: str, result: str) -> None:
        """Adds a step that uses only the targets."""
        self.steps.append(Step(name, calculation, result))

    def measured(self, name: str, calculation: str, figure: Figure, unit: str, show: Callable[[float], str]) -> None:
        """Adds a step that applies ``show`` to the value of a figure; without a value the result is "not measured"."""
        if not figure.known:
            return self.step(name, calculation, figure.text(unit))
        mark = " (extrapolated)" if figure.basis is Basis.EXTRAPOLATED else ""
        self.step(name, f"{calculation}, with {quantity(figure.value, unit)}", show(figure.value) + mark)
