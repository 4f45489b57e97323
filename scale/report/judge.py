"""Compares the rows with their budgets and ranks what is red."""

from __future__ import annotations

import dataclasses
import enum
from typing import Optional, Sequence

from figures import Basis, Figure, Measurements, spread
from format import plain, quantity, ratio_text, unit_of
from lookup import find
from results import Result
from rows import DISPLAYED_METRICS, GAPS, LINES, PROPERTY_PREFIXES, REMEDIES, ROWS, SCENARIO_BUDGETS, Gap, Line, Row
from targets import Targets

NANOSECONDS = 1e9  # per second


class Verdict(enum.Enum):
    """The comparison of a figure with its budget, by its complete range (of the runs, or the error of a fit)."""

    RED = "**RED**"  # the complete range is over the budget
    UNSURE = "unsure"  # the budget lies within the range
    OK = "ok"
    NONE = "not measured"
    NO_BUDGET = "no budget"


def in_unit(budget: float, unit: str) -> float:
    """Converts a budget to the unit of a metric; budgets of time are in seconds."""
    return budget * NANOSECONDS if unit == "ns" else budget


def judge(figure: Figure, budget: Optional[float]) -> Verdict:
    """Returns the verdict; ``budget`` is in the unit of the figure, or None if there is no budget."""
    if budget is None:
        return Verdict.NO_BUDGET
    if not figure.known:
        return Verdict.NONE
    if figure.low > budget:
        return Verdict.RED
    return Verdict.UNSURE if figure.high > budget else Verdict.OK


@dataclasses.dataclass(frozen=True)
class EvaluatedRow:
    """A row with its figure from one scenario, at the size of the row."""

    row: Row
    scenario: str
    figure: Figure
    unit: str
    budget: Optional[float]  # in ``unit``

    @property
    def verdict(self) -> Verdict:
        """The verdict of the figure against the budget."""
        return judge(self.figure, self.budget)

    @property
    def ratio(self) -> Optional[float]:
        """Figure divided by budget; None if either is missing."""
        if self.budget is None or not self.figure.known:
            return None
        return self.figure.value / self.budget

    @property
    def ratio_cell(self) -> str:
        """The ratio, formatted for a table cell."""
        return "" if self.ratio is None else ratio_text(self.ratio)

    @property
    def budget_cell(self) -> str:
        """The budget, formatted for a table cell."""
        return "none stated" if self.budget is None else quantity(self.budget, self.unit)

    @property
    def name(self) -> str:
        """The name of the row: quantity and size."""
        return f"{self.row.quantity}, {self.row.scope.name}"


def evaluate_row(row: Row, measurements: Measurements, targets: Targets) -> list[EvaluatedRow]:
    """Evaluates a row once for each scenario that has its metrics; once without a figure if none has."""
    unit = unit_of(row.metrics[0])
    budget = in_unit(targets.budget(row.budget), unit) if row.budget else None
    judged = []
    found = find(measurements, targets, row.source_role or row.role, row.metrics, row.scope)
    for scenario, figure in found or [("", Figure(Basis.NONE))]:
        if row.members is not None:
            figure = figure.times(row.members.count(targets), row.members.calculation(targets))
        judged.append(EvaluatedRow(row, scenario, figure, unit, budget))
    return judged


def evaluate_all(measurements: Measurements, targets: Targets) -> list[EvaluatedRow]:
    """Evaluates all rows, in the order of ROWS."""
    return [judged for row in ROWS for judged in evaluate_row(row, measurements, targets)]


@dataclasses.dataclass(frozen=True)
class ScenarioRow:
    """A metric of a scale test at one size, over its repetitions."""

    first: Result  # of the repetitions, which differ only in their figures
    metric: str
    figure: Figure
    budget: Optional[float]  # in the unit of the metric

    @property
    def unit(self) -> str:
        """The unit, from the name of the metric."""
        return unit_of(self.metric)

    @property
    def verdict(self) -> Verdict:
        """The verdict of the figure against the budget."""
        return judge(self.figure, self.budget)

    @property
    def ratio(self) -> Optional[float]:
        """Figure divided by budget; None without a budget."""
        return None if self.budget is None else self.figure.value / self.budget


def _scenario_budget(metric: str, role: str, targets: Targets) -> Optional[float]:
    rule = SCENARIO_BUDGETS.get(metric)
    if rule is None or rule.role not in ("", role):
        return None
    return in_unit(targets.budget(rule.budget), unit_of(metric))


def _is_displayed(result: Result, metric: str) -> bool:
    return metric.startswith(PROPERTY_PREFIXES) or (not result.variable and metric in DISPLAYED_METRICS)


def _is_idle(result: Result, values: Sequence[float]) -> bool:
    return bool(result.variable) and not any(values)


def scenario_rows(measurements: Measurements, targets: Targets) -> list[ScenarioRow]:
    """Returns the displayed metrics of all scale tests, in the order of the results."""
    groups: dict[tuple[object, ...], list[Result]] = {}
    for result in measurements.results:
        key = (result.scenario, result.revision, result.role, result.variable, result.value)
        groups.setdefault(key + tuple(sorted(result.sizes.items())), []).append(result)
    found = []
    for lines in groups.values():
        first = lines[0]
        for metric in dict.fromkeys(metric for line in lines for metric in line.metrics):
            values = [line.metrics[metric] for line in lines if metric in line.metrics]
            if not _is_displayed(first, metric) or _is_idle(first, values):
                continue
            note = spread(values, unit_of(metric))
            figure = Figure(Basis.MEASURED, note, sum(values) / len(values), min(values), max(values))
            found.append(ScenarioRow(first, metric, figure, _scenario_budget(metric, first.role, targets)))
    return found


@dataclasses.dataclass(frozen=True)
class Red:
    """A red entry of the ranking: a row over its budget, or a missing capability."""

    what: str
    role: str
    figure: str
    budget: str
    basis: str
    ratio: Optional[float]
    remedy: str
    blocks: tuple[str, ...]


def _of_row(judged: EvaluatedRow) -> Red:
    row = judged.row
    basis = judged.figure.basis.value
    figure = quantity(judged.figure.value, judged.unit)
    return Red(judged.name, row.role, figure, judged.budget_cell, basis, judged.ratio, row.remedy, row.blocks)


def _of_gap(gap: Gap, targets: Targets) -> Red:
    if gap.figure is None or gap.budget is None:
        return Red(gap.what, gap.role, "absent", "must exist", "inspection of the code", None, gap.remedy, gap.blocks)
    figure, budget = gap.figure(targets), gap.budget(targets)
    cells = (f"{plain(figure)} {gap.unit}", f"{plain(budget)} {gap.unit}", Basis.CALCULATED.value)
    return Red(gap.what, gap.role, *cells, figure / budget, gap.remedy, gap.blocks)


def _of_scenario(one: ScenarioRow) -> Red:
    what = f"{one.metric} of {one.first.scenario}"
    budget = one.budget
    assert budget is not None  # a RED verdict implies a budget
    cells = (quantity(one.figure.value, one.unit), quantity(budget, one.unit), Basis.MEASURED.value)
    rule = SCENARIO_BUDGETS[one.metric]
    return Red(what, one.first.role, *cells, one.ratio, rule.remedy, rule.blocks)


def reds(judged: Sequence[EvaluatedRow], scenarios: Sequence[ScenarioRow], targets: Targets) -> list[Red]:
    """Returns all red entries, the largest ratio first; entries without a ratio follow, by the number of lines that
    they block. Of scale tests only the properties are ranked: the resource usage of a role is ranked by its rows, at
    the target size."""
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
    """A missing mechanism and the red entries that it would resolve."""

    name: str
    red: tuple[Red, ...]

    @property
    def worst(self) -> Optional[float]:
        """The largest ratio; None if no entry has one."""
        return max((red.ratio for red in self.red if red.ratio is not None), default=None)

    @property
    def blocked(self) -> tuple[str, ...]:
        """Titles of the lines of the target list that the mechanism blocks, in the order of the list."""
        keys = {key for red in self.red for key in red.blocks}
        return tuple(line.title for line in LINES if line.key in keys)


def remedies(red: Sequence[Red]) -> list[Remedy]:
    """Returns the mechanisms that red entries lack, by the number of blocked lines, then by the largest ratio."""
    found = []
    for key, name in REMEDIES.items():
        resolved = tuple(one for one in red if one.remedy == key)
        if resolved:
            found.append(Remedy(name, resolved))
    return sorted(found, key=lambda remedy: (-len(remedy.blocked), -(remedy.worst or 0), remedy.name))


@dataclasses.dataclass(frozen=True)
class LineStatus:
    """The state of a line of the target list."""

    line: Line
    verdict: Verdict
    worst: str  # name and ratio of its worst row
    open_rows: int  # number of rows that are not measured


def line_status(line: Line, judged: Sequence[EvaluatedRow], red: Sequence[Red]) -> LineStatus:
    """Returns RED if a red entry blocks the line, else not measured if a row lacks a figure, else unsure or ok."""
    own = [one for one in judged if line.key in one.row.blocks]
    unmeasured = sum(one.verdict is Verdict.NONE for one in own)
    blocking = [one for one in red if line.key in one.blocks]
    if blocking:
        worst = blocking[0]
        ratio = "absent" if worst.ratio is None else ratio_text(worst.ratio)
        return LineStatus(line, Verdict.RED, f"{worst.what} ({worst.role}): {ratio}", unmeasured)
    known = [one for one in own if one.ratio is not None]
    if unmeasured or not known:
        return LineStatus(line, Verdict.NONE, "" if own else "no row covers it, see its section", unmeasured)
    last = max(known, key=lambda one: one.ratio or 0)
    unsure = any(one.verdict is Verdict.UNSURE for one in known)
    verdict = Verdict.UNSURE if unsure else Verdict.OK
    return LineStatus(line, verdict, f"{last.name} ({last.row.role}): {last.ratio_cell}", unmeasured)
