"""From results to one figure at one size: measured there, or extrapolated from other sizes, or not measured."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import Iterable, Mapping, NamedTuple, Optional, Sequence

import fit
from format import NOT_MEASURED, plain, quantity
from results import Result, WrongResult

_BESIDE = ("supervisors", "servers", "reported", "routes", "proxies")  # sizes that a note names, but for the swept one
_ABOUT_ONE = 0.1  # a power this near to 1 is a line


class Basis(enum.Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    INTERPOLATED = "interpolated"
    RECKONED = "reckoned"  # from targets alone
    NONE = NOT_MEASURED


@dataclasses.dataclass(frozen=True)
class Figure:
    """A value with the range in which it is held to lie; no value where nothing was measured."""

    basis: Basis
    note: str = ""
    value: float = 0
    low: float = 0
    high: float = 0

    @property
    def known(self) -> bool:
        """Whether there is a value."""
        return self.basis is not Basis.NONE

    def times(self, factor: float, reckoning: str) -> "Figure":
        """The figure of many members; ``reckoning`` says why so many."""
        if not self.known:
            return self
        note = f"{self.note}; {reckoning}"
        return Figure(self.basis, note, self.value * factor, self.low * factor, self.high * factor)

    def text(self, unit: str) -> str:
        """The value as a cell; an extrapolated one is marked."""
        if not self.known:
            return NOT_MEASURED
        mark = " (extrapolated)" if self.basis is Basis.EXTRAPOLATED else ""
        return quantity(self.value, unit) + mark

    def basis_text(self) -> str:
        """The origin as a cell."""
        return f"{self.basis.value}: {self.note}" if self.note else self.basis.value


class Series(NamedTuple):
    """Lines that belong to one fit. ``variable`` is "" where nothing was swept."""

    scenario: str
    role: str
    variable: str
    revision: str


def group(results: Iterable[Result]) -> dict[Series, list[Result]]:
    """Results by series, in the order in which they were read. Raises WrongResult where lines of a series at one
    value name different sizes: a fit through them would mean nothing."""
    series: dict[Series, list[Result]] = {}
    for result in results:
        key = Series(result.scenario, result.role, result.variable, result.revision)
        for other in series.setdefault(key, []):
            if result.variable and other.value == result.value and dict(other.sizes) != dict(result.sizes):
                raise WrongResult(f"{result.source}: 'sizes' are not those of {other.source}, expected the same")
        series[key].append(result)
    return series


def points(lines: Iterable[Result], metric: str) -> list[fit.Point]:
    """The repetitions that tell a metric."""
    return [fit.Point(line.value, line.metrics[metric]) for line in lines if metric in line.metrics]


def spread(values: Sequence[float], unit: str) -> str:
    """The range of repetitions, as a note."""
    if len(values) == 1:
        return "1 run"
    least, most = quantity(min(values), unit), quantity(max(values), unit)
    return f"{len(values)} runs, " + ("all alike" if least == most else f"{least} to {most}")


def growth(line: fit.LinearFit, power: Optional[fit.PowerFit]) -> str:
    """How a metric grows: by a line, or by the power that fits better."""
    if power is None:
        return "line"
    if _better(line, power):
        return f"x^{power.exponent:.2f} fits better"
    return f"line (power: x^{power.exponent:.2f})"


def _better(line: fit.LinearFit, power: fit.PowerFit) -> bool:
    return power.residual_error < line.residual_error and abs(power.exponent - 1) > _ABOUT_ONE


def at_size(measured: Sequence[fit.Point], size: float, variable: str, unit: str) -> Figure:
    """The figure at a size: the mean of what was measured there, else the line through all sizes with the
    standard error of a prediction."""
    there = [point.y for point in measured if point.x == size]
    if there:
        mean = sum(there) / len(there)
        return Figure(Basis.MEASURED, spread(there, unit), mean, min(there), max(there))
    line = fit.linear(measured)
    if line is None:
        sizes = sorted({point.x for point in measured})
        told = f"at {variable} " + ", ".join(plain(x) for x in sizes) + f" only, {fit.LEAST_SIZES} sizes needed"
        return Figure(Basis.NONE, told if sizes else "")
    sizes = sorted({point.x for point in measured})
    value = line.at(size)
    if value < 0:
        told = ", ".join(plain(x) for x in sizes)
        return Figure(Basis.NONE, f"a line through {variable} {told} falls below 0 there")
    inside = sizes[0] < size < sizes[-1]
    error = line.error_at(size)
    note = (
        f"line through {variable} {', '.join(plain(x) for x in sizes)} (n {line.count}, R2 {line.r_squared:.3f}, "
        f"+/- {quantity(error, unit)})"
    )
    power = fit.power(measured)
    if power is not None and _better(line, power) and power.exponent > 1:
        note += f"; x^{power.exponent:.2f} fits better and gives {quantity(power.at(size), unit)}"
    basis = Basis.INTERPOLATED if inside else Basis.EXTRAPOLATED
    return Figure(basis, note, value, max(0.0, value - error), value + error)


def total(parts: Sequence[tuple[str, Figure]]) -> Figure:
    """The sum of named figures. Parts that were not measured are named in the note: the sum is then a least, and
    nothing bounds it."""
    known = [(name, figure) for name, figure in parts if figure.known]
    if not known:
        return Figure(Basis.NONE)
    lacking = [name for name, figure in parts if not figure.known]
    measured = all(figure.basis is Basis.MEASURED for _, figure in known)
    note = "sum" + (f", without {', '.join(lacking)} ({NOT_MEASURED})" if lacking else "")
    return Figure(
        Basis.MEASURED if measured else Basis.EXTRAPOLATED,
        note,
        sum(figure.value for _, figure in known),
        sum(figure.low for _, figure in known),
        math.inf if lacking else sum(figure.high for _, figure in known),
    )


def _beside(line: Result) -> str:
    told = [name for name in _BESIDE if line.sizes.get(name) and name != line.variable]
    if not told or line.variable == "ladder":
        return ""
    return "; with " + ", ".join(f"{plain(line.sizes[name])} {name}" for name in told)


class Measurements:
    """All results, asked for figures by role, metric and size."""

    def __init__(self, results: Sequence[Result]) -> None:
        self.results = results
        self.series = group(results)

    def latest(self, role: str, variable: str) -> dict[str, list[Result]]:
        """By scenario the lines of a swept variable; of several revisions the one that was read last counts."""
        chosen: dict[str, list[Result]] = {}
        for series, lines in self.series.items():
            if series.role == role and series.variable == variable:
                chosen[series.scenario] = lines
        return chosen

    def figures(
        self, role: str, metric: str, variable: str, size: float, unit: str, held: Mapping[str, float]
    ) -> list[tuple[str, Figure]]:
        """By scenario the figure at a size; empty where no scenario tells the metric. Only lines count whose sizes
        are those of ``held``, where they name them."""
        found = []
        for scenario, all_lines in self.latest(role, variable).items():
            lines = [line for line in all_lines if all(line.sizes.get(n, v) == v for n, v in held.items())]
            measured = points(lines, metric)
            if measured:
                figure = at_size(measured, size, variable, unit)
                found.append((scenario, dataclasses.replace(figure, note=figure.note + _beside(lines[0]))))
        return found

    def at_plan(self, role: str, metric: str, sizes: Mapping[str, float], unit: str) -> list[tuple[str, Figure]]:
        """By scenario the figure of scale tests beside any sweep that were run at just these sizes."""
        found = []
        for scenario, lines in self.latest(role, "").items():
            alike = [line for line in lines if all(line.sizes.get(name) == size for name, size in sizes.items())]
            values = [line.metrics[metric] for line in alike if metric in line.metrics]
            if values:
                mean = sum(values) / len(values)
                note = spread(values, unit) + _beside(alike[0])
                found.append((scenario, Figure(Basis.MEASURED, note, mean, min(values), max(values))))
        return found
