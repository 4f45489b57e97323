"""Which results bear on a role's metric at a scope: the nearest to the target first."""

from __future__ import annotations

from typing import Sequence

from figures import Basis, Figure, Measurements, total
from format import unit_of
from rows import STREAMS, Scope
from targets import Targets

Found = list[tuple[str, Figure]]  # by scenario

_REAL = "/real"  # behind the scenario's name where a process `peargrade serve` was measured


def find(measurements: Measurements, targets: Targets, role: str, metrics: Sequence[str], scope: Scope) -> Found:
    """The figures of a metric, or of the sum of several, by scenario. Scale tests of just the target's size go before
    sweeps, these in the scope's order; what was measured goes before what a line gives, for real processes
    and hollow members apart. Where nothing is known, what there is instead; empty where no scenario tells it."""
    instead: Found = []
    for group in _groups(measurements, targets, role, metrics, scope):
        known = [(scenario, figure) for scenario, figure in group if figure.known]
        if known:
            real = [one for one in known if one[0].endswith(_REAL)]
            return _measured_first([one for one in known if one not in real]) + _measured_first(real)
        instead = instead or group[:1]
    return instead


def worst(measurements: Measurements, targets: Targets, role: str, metric: str, scope: Scope) -> Figure:
    """The greatest figure of all scenarios, or one that says not measured."""
    found = [figure for _, figure in find(measurements, targets, role, (metric,), scope)]
    return max(found, key=lambda figure: figure.value) if found else Figure(Basis.NONE)


def _measured_first(found: Found) -> Found:
    return [one for one in found if one[1].basis is Basis.MEASURED] or found


def _groups(
    measurements: Measurements, targets: Targets, role: str, metrics: Sequence[str], scope: Scope
) -> list[Found]:
    groups = []
    if scope.planned:
        sizes = {name: targets.size(name) for name in scope.planned}
        told = [dict(measurements.at_plan(role, metric, sizes, unit_of(metric))) for metric in metrics]
        groups.append(_sums(metrics, told))
    held = {name: value(targets) for name, value in scope.held}
    for sweep in scope.sweeps:
        size = sweep.size(targets)
        told = [
            dict(measurements.figures(role, metric, sweep.variable, size, unit_of(metric), held)) for metric in metrics
        ]
        groups.append(_sums(metrics, told))
    return groups


def _sums(metrics: Sequence[str], told: Sequence[dict[str, Figure]]) -> Found:
    if len(metrics) == 1:
        return list(told[0].items())
    names = {metric: name for name, metric in STREAMS.items()}
    scenarios = dict.fromkeys(scenario for by_scenario in told for scenario in by_scenario)
    parts = [names.get(metric, metric) for metric in metrics]
    return [
        (scenario, total([(part, by.get(scenario, Figure(Basis.NONE))) for part, by in zip(parts, told)]))
        for scenario in scenarios
    ]
