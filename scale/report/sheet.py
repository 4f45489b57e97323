"""A sheet of arithmetic: steps that reckon with targets and measured figures, and say with what."""

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
BITS = 8  # of a byte


@dataclasses.dataclass(frozen=True)
class Step:
    """One row of a section's arithmetic."""

    quantity: str
    reckoning: str
    result: str


def number(value: float) -> str:
    """A number with three digits."""
    return plain(value) if value == int(value) else plain(float(f"{value:.3g}"))


def rate(value: float) -> str:
    """Bytes a second."""
    return f"{bytes_text(value)}/s"


class Sheet:
    """Collects the steps of one section."""

    def __init__(self, targets: Targets, measurements: Measurements) -> None:
        self.targets = targets
        self.measurements = measurements
        self.steps: list[Step] = []

    def figure(self, metric: str, scope: Scope, role: str = "supervisor") -> Figure:
        """The worst measured figure of a role at a scope's size."""
        return worst(self.measurements, self.targets, role, metric, scope)

    def step(self, name: str, reckoning: str, result: str) -> None:
        """A step that rests on targets alone."""
        self.steps.append(Step(name, reckoning, result))

    def measured(self, name: str, reckoning: str, figure: Figure, unit: str, show: Callable[[float], str]) -> None:
        """A step that rests on a figure, on whose value ``show`` reckons; without one it says not measured."""
        if not figure.known:
            return self.step(name, reckoning, figure.text(unit))
        mark = " (extrapolated)" if figure.basis is Basis.EXTRAPOLATED else ""
        self.step(name, f"{reckoning}, with {quantity(figure.value, unit)}", show(figure.value) + mark)
