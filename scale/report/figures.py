"""Derives one figure at one size from results: measured at that size, fitted through other sizes, or not measured."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import Iterable, Mapping, NamedTuple, Optional, Sequence

import fit
from format import NOT_MEASURED, plain, quantity
from results import InvalidResult, Result

# Sizes that a note lists, except for the swept variable.
_NOTED_SIZES = ("supervisors", "servers", "reported", "routes", "proxies")
_LINEAR_EXPONENT_TOLERANCE = 0.1  # an exponent this close to 1 counts as linear


class Basis(enum.Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    INTERPOLATED = "interpolated"
    CALCULATED = "reckoned"  # from the targets alone
    NONE = NOT_MEASURED


@dataclasses.dataclass(frozen=True)
class Figure:
    """A value with its expected range; it has no value where nothing was measured."""

    basis: Basis
    note: str = ""
    value: float = 0
    low: float = 0
    high: float = 0

    @property
    def known(self) -> bool:
        """Whether there is a value."""
        return self.basis is not Basis.NONE

    def times(self, factor: float, calculation: str) -> "Figure":
        """Returns the figure for ``factor`` members; ``calculation`` explains the number in the note."""
        if not self.known:
            return self
        note = f"{self.note}; {calculation}"
        return Figure(self.basis, note, self.value * factor, self.low * factor, self.high * factor)

    def text(self, unit: str) -> str:
        """Formats the value for a table cell; an extrapolated value is marked."""
        if not self.known:
            return NOT_MEASURED
        mark = " (extrapolated)" if self.basis is Basis.EXTRAPOLATED else ""
        return quantity(self.value, unit) + mark

    def basis_text(self) -> str:
        """Formats the basis and its note for a table cell."""
        return f"{self.basis.value}: {self.note}" if self.note else self.basis.value


class Series(NamedTuple):
    """Identifies the result lines of one fit. ``variable`` is "" if the test swept no variable."""

    scenario: str
    role: str
    variable: str
    revision: str


def group(results: Iterable[Result]) -> dict[Series, list[Result]]:
    """Groups results by series, in reading order. Raises InvalidResult if two lines of a series have the same swept
    value but different sizes: a fit through them would be meaningless."""
    series: dict[Series, list[Result]] = {}
    for result in results:
        key = Series(result.scenario, result.role, result.variable, result.revision)
        for other in series.setdefault(key, []):
            if result.variable and other.value == result.value and dict(other.sizes) != dict(result.sizes):
                raise InvalidResult(
                    f"{result.source}: 'sizes' differ from those of {other.source}, expected the same sizes"
                )
        series[key].append(result)
    return series


def points(lines: Iterable[Result], metric: str) -> list[fit.Point]:
    """Returns a point for each repetition that has the metric."""
    return [fit.Point(line.value, line.metrics[metric]) for line in lines if metric in line.metrics]


def spread(values: Sequence[float], unit: str) -> str:
    """Formats the range over the repetitions as a note."""
    if len(values) == 1:
        return "1 run"
    lowest, highest = quantity(min(values), unit), quantity(max(values), unit)
    return f"{len(values)} runs, " + ("all equal" if lowest == highest else f"{lowest} to {highest}")


def growth(line: fit.LinearFit, power: Optional[fit.PowerFit]) -> str:
    """Describes how a metric grows: linearly, or by a power law if that fits better."""
    if power is None:
        return "line"
    if _power_fits_better(line, power):
        return f"x^{power.exponent:.2f} fits better"
    return f"line (power: x^{power.exponent:.2f})"


def _power_fits_better(line: fit.LinearFit, power: fit.PowerFit) -> bool:
    return power.residual_error < line.residual_error and abs(power.exponent - 1) > _LINEAR_EXPONENT_TOLERANCE


def at_size(measured: Sequence[fit.Point], size: float, variable: str, unit: str) -> Figure:
    """Returns the figure at a size: the mean of the measurements at that size, or else the value of the line through
    all sizes, with the standard error of the prediction."""
    values = [point.y for point in measured if point.x == size]
    if values:
        mean = sum(values) / len(values)
        return Figure(Basis.MEASURED, spread(values, unit), mean, min(values), max(values))
    line = fit.linear(measured)
    if line is None:
        sizes = sorted({point.x for point in measured})
        note = f"at {variable} " + ", ".join(plain(x) for x in sizes) + f" only, {fit.MIN_SIZES} sizes needed"
        return Figure(Basis.NONE, note if sizes else "")
    sizes = sorted({point.x for point in measured})
    value = line.at(size)
    if value < 0:
        size_list = ", ".join(plain(x) for x in sizes)
        return Figure(Basis.NONE, f"a line through {variable} {size_list} falls below 0 there")
    inside = sizes[0] < size < sizes[-1]
    error = line.error_at(size)
    note = (
        f"line through {variable} {', '.join(plain(x) for x in sizes)} (n {line.count}, R2 {line.r_squared:.3f}, "
        f"+/- {quantity(error, unit)})"
    )
    power = fit.power(measured)
    if power is not None and _power_fits_better(line, power) and power.exponent > 1:
        note += f"; x^{power.exponent:.2f} fits better and gives {quantity(power.at(size), unit)}"
    basis = Basis.INTERPOLATED if inside else Basis.EXTRAPOLATED
    return Figure(basis, note, value, max(0.0, value - error), value + error)


def total(parts: Sequence[tuple[str, Figure]]) -> Figure:
    """Returns the sum of named figures. The note names parts that were not measured; the sum is then a lower bound
    and its range has no upper end."""
    known = [(name, figure) for name, figure in parts if figure.known]
    if not known:
        return Figure(Basis.NONE)
    missing = [name for name, figure in parts if not figure.known]
    measured = all(figure.basis is Basis.MEASURED for _, figure in known)
    note = "sum" + (f", without {', '.join(missing)} ({NOT_MEASURED})" if missing else "")
    return Figure(
        Basis.MEASURED if measured else Basis.EXTRAPOLATED,
        note,
        sum(figure.value for _, figure in known),
        sum(figure.low for _, figure in known),
        math.inf if missing else sum(figure.high for _, figure in known),
    )


def _sizes_note(line: Result) -> str:
    noted = [name for name in _NOTED_SIZES if line.sizes.get(name) and name != line.variable]
    if not noted or line.variable == "ladder":
        return ""
    return "; with " + ", ".join(f"{plain(line.sizes[name])} {name}" for name in noted)


class Measurements:
    """All results, queried for figures by role, metric and size."""

    def __init__(self, results: Sequence[Result]) -> None:
        self.results = results
        self.series = group(results)

    def latest(self, role: str, variable: str) -> dict[str, list[Result]]:
        """Returns the lines of a swept variable by scenario; of several revisions, the one read last is used."""
        chosen: dict[str, list[Result]] = {}
        for series, lines in self.series.items():
            if series.role == role and series.variable == variable:
                chosen[series.scenario] = lines
        return chosen

    def figures(
        self, role: str, metric: str, variable: str, size: float, unit: str, fixed: Mapping[str, float]
    ) -> list[tuple[str, Figure]]:
        """Returns the figure at a size by scenario; empty if no scenario has the metric. A line that names a size of
        ``fixed`` is used only if it has the same value."""
        found = []
        for scenario, all_lines in self.latest(role, variable).items():
            lines = [line for line in all_lines if all(line.sizes.get(n, v) == v for n, v in fixed.items())]
            measured = points(lines, metric)
            if measured:
                figure = at_size(measured, size, variable, unit)
                found.append((scenario, dataclasses.replace(figure, note=figure.note + _sizes_note(lines[0]))))
        return found

    def at_plan(self, role: str, metric: str, sizes: Mapping[str, float], unit: str) -> list[tuple[str, Figure]]:
        """Returns, by scenario, the figure of scale tests without a sweep that ran at exactly these sizes."""
        found = []
        for scenario, lines in self.latest(role, "").items():
            matching = [line for line in lines if all(line.sizes.get(name) == size for name, size in sizes.items())]
            values = [line.metrics[metric] for line in matching if metric in line.metrics]
            if values:
                mean = sum(values) / len(values)
                note = spread(values, unit) + _sizes_note(matching[0])
                found.append((scenario, Figure(Basis.MEASURED, note, mean, min(values), max(values))))
        return found
