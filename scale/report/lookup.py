"""Selects the results for a metric of a role at a scope; those closest to the target come first."""

from __future__ import annotations

from typing import Sequence

from figures import Basis, Figure, Measurements, total
from format import unit_of
from rows import STREAMS, Scope
from targets import Targets

Found = list[tuple[str, Figure]]  # by scenario

_PROCESS_SUFFIX = "/real"  # of a scenario name, if a process `peargrade serve` (supervisor process) was measured


def find(measurements: Measurements, targets: Targets, role: str, metrics: Sequence[str], scope: Scope) -> Found:
    """Returns the figures of a metric, or of the sum of several metrics, by scenario. Scale tests of exactly the target
    size take precedence over sweeps, and sweeps follow the order of the scope. Measured figures take precedence over
    fitted ones, separately for supervisor processes and simulated members. If no figure is known, returns the first
    figure that explains why; empty if no scenario has the metrics."""
    unknown: Found = []
    for group in _groups(measurements, targets, role, metrics, scope):
        known = [(scenario, figure) for scenario, figure in group if figure.known]
        if known:
            processes = [one for one in known if one[0].endswith(_PROCESS_SUFFIX)]
            return _prefer_measured([one for one in known if one not in processes]) + _prefer_measured(processes)
        unknown = unknown or group[:1]
    return unknown


def worst(measurements: Measurements, targets: Targets, role: str, metric: str, scope: Scope) -> Figure:
    """Returns the largest figure of all scenarios, or one without a value if nothing was measured."""
    found = [figure for _, figure in find(measurements, targets, role, (metric,), scope)]
    return max(found, key=lambda figure: figure.value) if found else Figure(Basis.NONE)


def _prefer_measured(found: Found) -> Found:
    return [one for one in found if one[1].basis is Basis.MEASURED] or found


def _groups(
    measurements: Measurements, targets: Targets, role: str, metrics: Sequence[str], scope: Scope
) -> list[Found]:
    groups = []
    if scope.planned:
        sizes = {name: targets.size(name) for name in scope.planned}
        by_metric = [dict(measurements.at_plan(role, metric, sizes, unit_of(metric))) for metric in metrics]
        groups.append(_sums(metrics, by_metric))
    fixed = {name: value(targets) for name, value in scope.fixed}
    for sweep in scope.sweeps:
        size = sweep.size(targets)
        by_metric = [
            dict(measurements.figures(role, metric, sweep.variable, size, unit_of(metric), fixed)) for metric in metrics
        ]
        groups.append(_sums(metrics, by_metric))
    return groups


def _sums(metrics: Sequence[str], by_metric: Sequence[dict[str, Figure]]) -> Found:
    if len(metrics) == 1:
        return list(by_metric[0].items())
    names = {metric: name for name, metric in STREAMS.items()}
    scenarios = dict.fromkeys(scenario for by_scenario in by_metric for scenario in by_scenario)
    parts = [names.get(metric, metric) for metric in metrics]
    return [
        (scenario, total([(part, by.get(scenario, Figure(Basis.NONE))) for part, by in zip(parts, by_metric)]))
        for scenario in scenarios
    ]
