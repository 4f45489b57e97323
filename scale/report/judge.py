"""Rows with their figures and verdicts, and the order of what is red."""

from __future__ import annotations

import dataclasses
import enum
from typing import Optional, Sequence

from figures import Basis, Figure, Measurements, spread
from format import plain, quantity, ratio_text, unit_of
from lookup import find
from results import Result
from rows import GAPS, LINES, PROPERTY_PREFIXES, REMEDIES, ROWS, SCENARIO_BUDGETS, SHOWN, Gap, Line, Row
from targets import Targets

NANOSECONDS = 1e9  # of a second


class Verdict(enum.Enum):
    """A figure beside its budget; its whole range counts (runs, or the error of an extrapolation)."""

    RED = "**RED**"  # over the budget
    UNSURE = "unsure"  # the range holds the budget
    OK = "ok"
    NONE = "not measured"
    NO_BUDGET = "no budget"


def in_unit(budget: float, unit: str) -> float:
    """A budget in the unit of a metric: times stand in seconds."""
    return budget * NANOSECONDS if unit == "ns" else budget


def judge(figure: Figure, budget: Optional[float]) -> Verdict:
    """The verdict; ``budget`` in the figure's unit, or None."""
    if budget is None:
        return Verdict.NO_BUDGET
    if not figure.known:
        return Verdict.NONE
    if figure.low > budget:
        return Verdict.RED
    return Verdict.UNSURE if figure.high > budget else Verdict.OK


@dataclasses.dataclass(frozen=True)
class Judged:
    """A row at its size: what was found in one scenario."""

    row: Row
    scenario: str
    figure: Figure
    unit: str
    budget: Optional[float]  # in that unit

    @property
    def verdict(self) -> Verdict:
        """Beside the budget."""
        return judge(self.figure, self.budget)

    @property
    def ratio(self) -> Optional[float]:
        """Figure over budget; None where either is not there."""
        if self.budget is None or not self.figure.known:
            return None
        return self.figure.value / self.budget

    @property
    def ratio_cell(self) -> str:
        """The ratio as a cell."""
        return "" if self.ratio is None else ratio_text(self.ratio)

    @property
    def budget_cell(self) -> str:
        """The budget as a cell."""
        return "none stated" if self.budget is None else quantity(self.budget, self.unit)

    @property
    def name(self) -> str:
        """The row by its quantity and size."""
        return f"{self.row.quantity}, {self.row.scope.name}"


def judge_row(row: Row, measurements: Measurements, targets: Targets) -> list[Judged]:
    """A row once for each scenario that tells it; once without a figure where none does."""
    unit = unit_of(row.metrics[0])
    budget = in_unit(targets.budget(row.budget), unit) if row.budget else None
    judged = []
    found = find(measurements, targets, row.source_role or row.role, row.metrics, row.scope)
    for scenario, figure in found or [("", Figure(Basis.NONE))]:
        if row.members is not None:
            figure = figure.times(row.members.count(targets), row.members.reckoning(targets))
        judged.append(Judged(row, scenario, figure, unit, budget))
    return judged


def judge_all(measurements: Measurements, targets: Targets) -> list[Judged]:
    """All rows, in their order."""
    return [judged for row in ROWS for judged in judge_row(row, measurements, targets)]


@dataclasses.dataclass(frozen=True)
class ScenarioRow:
    """A metric of a scale test at one size, over its repetitions."""

    first: Result  # of the repetitions, which are alike but for their figures
    metric: str
    figure: Figure
    budget: Optional[float]  # in the metric's unit

    @property
    def unit(self) -> str:
        """By the metric's name."""
        return unit_of(self.metric)

    @property
    def verdict(self) -> Verdict:
        """Beside the budget."""
        return judge(self.figure, self.budget)

    @property
    def ratio(self) -> Optional[float]:
        """Figure over budget; None without one."""
        return None if self.budget is None else self.figure.value / self.budget


def _scenario_budget(metric: str, role: str, targets: Targets) -> Optional[float]:
    rule = SCENARIO_BUDGETS.get(metric)
    if rule is None or rule.role not in ("", role):
        return None
    return in_unit(targets.budget(rule.budget), unit_of(metric))


def _shown(result: Result, metric: str) -> bool:
    return metric.startswith(PROPERTY_PREFIXES) or (not result.variable and metric in SHOWN)


def _idle(result: Result, values: Sequence[float]) -> bool:
    return bool(result.variable) and not any(values)


def scenario_rows(measurements: Measurements, targets: Targets) -> list[ScenarioRow]:
    """The properties of all scale tests, in the order of the results."""
    groups: dict[tuple[object, ...], list[Result]] = {}
    for result in measurements.results:
        key = (result.scenario, result.revision, result.role, result.variable, result.value)
        groups.setdefault(key + tuple(sorted(result.sizes.items())), []).append(result)
    found = []
    for lines in groups.values():
        first = lines[0]
        for metric in dict.fromkeys(metric for line in lines for metric in line.metrics):
            values = [line.metrics[metric] for line in lines if metric in line.metrics]
            if not _shown(first, metric) or _idle(first, values):
                continue
            note = spread(values, unit_of(metric))
            figure = Figure(Basis.MEASURED, note, sum(values) / len(values), min(values), max(values))
            found.append(ScenarioRow(first, metric, figure, _scenario_budget(metric, first.role, targets)))
    return found


@dataclasses.dataclass(frozen=True)
class Red:
    """Something red: a row over its budget, or a gap."""

    what: str
    role: str
    figure: str
    budget: str
    basis: str
    ratio: Optional[float]
    remedy: str
    blocks: tuple[str, ...]


def _of_row(judged: Judged) -> Red:
    row = judged.row
    basis = judged.figure.basis.value
    figure = quantity(judged.figure.value, judged.unit)
    return Red(judged.name, row.role, figure, judged.budget_cell, basis, judged.ratio, row.remedy, row.blocks)


def _of_gap(gap: Gap, targets: Targets) -> Red:
    if gap.figure is None or gap.budget is None:
        return Red(gap.what, gap.role, "absent", "must be there", "read in the code", None, gap.remedy, gap.blocks)
    figure, budget = gap.figure(targets), gap.budget(targets)
    cells = (f"{plain(figure)} {gap.unit}", f"{plain(budget)} {gap.unit}", Basis.RECKONED.value)
    return Red(gap.what, gap.role, *cells, figure / budget, gap.remedy, gap.blocks)


def _of_scenario(one: ScenarioRow) -> Red:
    what = f"{one.metric} of {one.first.scenario}"
    budget = one.budget
    assert budget is not None  # a verdict of red has one
    cells = (quantity(one.figure.value, one.unit), quantity(budget, one.unit), Basis.MEASURED.value)
    rule = SCENARIO_BUDGETS[one.metric]
    return Red(what, one.first.role, *cells, one.ratio, rule.remedy, rule.blocks)


def reds(judged: Sequence[Judged], scenarios: Sequence[ScenarioRow], targets: Targets) -> list[Red]:
    """All that is red, the greatest ratio first, then what has none, by the lines that it blocks. Of scale tests
    only their properties count here; what a role spends counts by its rows at the target's size."""
    found = [_of_row(one) for one in judged if one.verdict is Verdict.RED]
    found += [
        _of_scenario(one)
        for one in scenarios
        if one.verdict is Verdict.RED and one.metric.startswith(PROPERTY_PREFIXES)
    ]
    found += [_of_gap(gap, targets) for gap in GAPS]
    return sorted(found, key=lambda red: (red.ratio is None, -(red.ratio or 0), -len(red.blocks), red.what))


@dataclasses.dataclass(frozen=True)
class Remedy:
    """A missing mechanism and what it would mend."""

    name: str
    red: tuple[Red, ...]

    @property
    def worst(self) -> Optional[float]:
        """The greatest ratio."""
        return max((red.ratio for red in self.red if red.ratio is not None), default=None)

    @property
    def blocked(self) -> tuple[str, ...]:
        """Titles of the target's lines that it holds up, in their order."""
        keys = {key for red in self.red for key in red.blocks}
        return tuple(line.title for line in LINES if line.key in keys)


def remedies(red: Sequence[Red]) -> list[Remedy]:
    """The mechanisms that red rows lack: the most lines blocked first, then the greatest ratio."""
    found = []
    for key, name in REMEDIES.items():
        mended = tuple(one for one in red if one.remedy == key)
        if mended:
            found.append(Remedy(name, mended))
    return sorted(found, key=lambda remedy: (-len(remedy.blocked), -(remedy.worst or 0), remedy.name))


@dataclasses.dataclass(frozen=True)
class LineStatus:
    """A line of the target list at a sight."""

    line: Line
    verdict: Verdict
    worst: str  # by name, with its ratio
    open_rows: int  # not measured


def line_status(line: Line, judged: Sequence[Judged], red: Sequence[Red]) -> LineStatus:
    """RED with anything red that blocks it, else not measured, else unsure or ok."""
    own = [one for one in judged if line.key in one.row.blocks]
    unmeasured = sum(one.verdict is Verdict.NONE for one in own)
    blocking = [one for one in red if line.key in one.blocks]
    if blocking:
        worst = blocking[0]
        ratio = "absent" if worst.ratio is None else ratio_text(worst.ratio)
        return LineStatus(line, Verdict.RED, f"{worst.what} ({worst.role}): {ratio}", unmeasured)
    known = [one for one in own if one.ratio is not None]
    if unmeasured or not known:
        return LineStatus(line, Verdict.NONE, "" if own else "no row bears on it, see its section", unmeasured)
    last = max(known, key=lambda one: one.ratio or 0)
    unsure = any(one.verdict is Verdict.UNSURE for one in known)
    verdict = Verdict.UNSURE if unsure else Verdict.OK
    return LineStatus(line, verdict, f"{last.name} ({last.row.role}): {last.ratio_cell}", unmeasured)
