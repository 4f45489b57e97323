"""Builds all generated tables of the page, by name."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple, Sequence

import arithmetic
import fit
import outages
import rows
from figures import Basis, Measurements, Series, growth, points
from format import NOT_MEASURED, bytes_text, plain, quantity, ratio_text, share_text, table, unit_of
from judge import EvaluatedRow, Red, ScenarioRow, evaluate_all, line_status, reds, remedies, scenario_rows
from results import ROLES, Result
from sheet import Sheet, Step
from targets import Targets

_SECTIONS = {
    "fleet": arithmetic.fleet,
    "requests": arithmetic.requests,
    "routes": arithmetic.routes,
    "latency": arithmetic.latency,
    "regions": arithmetic.regions,
    "configuration": arithmetic.configuration,
    "control": arithmetic.control,
    "failures": outages.failures,
    "reconnect": outages.reconnect,
}


def _summary(judged: Sequence[EvaluatedRow], red: Sequence[Red]) -> str:
    body = []
    for line in rows.LINES:
        status = line_status(line, judged, red)
        anchor = line.title.lower().replace(",", "").replace(" ", "-")
        body.append((f"[{line.title}](#{anchor})", status.verdict.value, status.worst, str(status.open_rows)))
    return table(("line of the target list", "state", "worst", "rows not measured"), body)


def _role(role: str, judged: Sequence[EvaluatedRow]) -> str:
    head = ("kind", "quantity", "size", "figure", "basis", "budget", "ratio", "state", "mechanism")
    body = []
    for one in judged:
        if one.row.role != role:
            continue
        row = one.row
        basis = one.figure.basis_text() + (f" ({one.scenario})" if one.scenario else "")
        body.append(
            (row.kind, row.quantity, row.scope.name, one.figure.text(one.unit), basis, one.budget_cell)
            + (one.ratio_cell, one.verdict.value, row.mechanism.text())
        )
    return table(head, body)


def _streams(judged: Sequence[EvaluatedRow]) -> str:
    wanted: list[tuple[str, tuple[str, ...]]] = [(name, (metric,)) for name, metric in rows.STREAMS.items()]
    wanted += [("**all that it sends**", rows.SENT), ("**all that it sends and receives**", rows.SENT_AND_RECEIVED)]
    quantities = {"list": "list in", "news": "news in", "orders": "orders out", "reports": "reports in"}
    quantities |= {"configuration": "configuration in"}
    body = []
    for name, metrics in wanted:
        quantity_name = quantities.get(name, name.strip("*"))
        for one in judged:
            row = one.row
            if row.role == "supervisor" and row.metrics == metrics and row.quantity == quantity_name:
                body.append(
                    (name, row.scope.name, one.figure.text(one.unit), one.figure.basis.value)
                    + (one.ratio_cell, one.verdict.value)
                )
    return table(("stream", "size", "figure", "basis", "of the budget", "state"), body)


def _ranking_rows(red: Sequence[Red]) -> str:
    titles = {line.key: line.title for line in rows.LINES}
    body = []
    for place, one in enumerate(red, 1):
        ratio = "none" if one.ratio is None else ratio_text(one.ratio)
        blocks = "; ".join(titles[key] for key in one.blocks)
        remedy = rows.REMEDIES.get(one.remedy, "")
        body.append((str(place), one.what, one.role, one.figure, one.basis, one.budget, ratio, blocks, remedy))
    return table(("", "red", "role", "figure", "basis", "budget", "ratio", "blocks", "missing mechanism"), body)


def _ranking_mechanisms(red: Sequence[Red]) -> str:
    body = []
    for place, remedy in enumerate(remedies(red), 1):
        worst = "none" if remedy.worst is None else ratio_text(remedy.worst)
        what = "; ".join(dict.fromkeys(one.what for one in remedy.red))
        body.append((str(place), remedy.name, str(len(remedy.blocked)), "; ".join(remedy.blocked), worst, what))
    head = ("", "missing mechanism", "lines blocked", "which", "worst ratio", "red entries that it would resolve")
    return table(head, body)


def _sizes_text(result: Result) -> str:
    displayed = [name for name in rows.DISPLAYED_SIZES if result.sizes.get(name)]
    return ", ".join(f"{plain(result.sizes[name])} {name}" for name in displayed)


def _extrapolated(judged: Sequence[EvaluatedRow]) -> str:
    body = []
    for one in judged:
        if one.figure.basis is Basis.EXTRAPOLATED:
            cells = (one.row.role, one.name, one.figure.text(one.unit), one.figure.note, one.scenario)
            body.append(cells + (one.verdict.value,))
    if not body:
        return "None."
    return table(("role", "row", "figure", "from", "test", "state"), body)


def _not_measured(judged: Sequence[EvaluatedRow]) -> str:
    body = []
    for one in judged:
        if not one.figure.known:
            body.append((one.row.role, one.name, one.budget_cell, one.figure.note))
    if not body:
        return "None."
    return table(("role", "row", "budget", "available measurements"), body)


def _scenarios(found: Sequence[ScenarioRow]) -> str:
    if not found:
        return f"No scale test: {NOT_MEASURED}."
    body = []
    for one in found:
        first, note = one.first, one.figure.note
        figure = f"{quantity(one.figure.value, one.unit)} ({note})"
        cells = (first.scenario, first.revision, first.role, _sizes_text(first), f"`{one.metric}`", figure)
        if one.budget is None or one.ratio is None:
            body.append(cells + ("none stated", "", one.verdict.value))
        else:
            body.append(cells + (quantity(one.budget, one.unit), ratio_text(one.ratio), one.verdict.value))
    return table(("test", "revision", "role", "size", "property", "figure", "budget", "ratio", "state"), body)


SWEEPS_PER_S = 4  # of the decision engine, in each supervisor (kDecisionInterval in src/decision/decision_engine.cpp)
MIN_PACE = 0.75  # fraction of SWEEPS_PER_S; the simulated fleet applies the same limit to its runs (scale/fleet.cpp)


def _pace(results: Sequence[Result]) -> str:
    """Tabulates the sweep rate of the simulated supervisors of each run; at a low rate, the machine was too slow."""
    body = []
    for one in results:
        sweeps = one.metrics.get("timers_per_s")
        if one.role != "supervisor" or one.variable or sweeps is None:
            continue
        state = "kept" if sweeps >= MIN_PACE * SWEEPS_PER_S else "**trial**: too slow"
        cells = (one.scenario, one.revision, plain(one.sizes["supervisors"]), plain(one.sizes["servers"]))
        body.append(cells + (f"{sweeps:.2f} of {SWEEPS_PER_S}", state))
    if not body:
        return f"No run of the fleet: {NOT_MEASURED}."
    return table(("test", "revision", "supervisors", "servers", "sweeps a second", "pace"), body)


def _means(measured: Sequence[fit.Point], unit: str) -> str:
    return "; ".join(f"{plain(x)}: {quantity(y, unit)}" for x, y in fit.means(measured).items())


class _Swept(NamedTuple):
    """A metric of a sweep of at least three sizes."""

    series: Series
    metric: str
    points: list[fit.Point]
    line: fit.LinearFit


def _swept(measurements: Measurements) -> list[_Swept]:
    found = []
    for series, lines in measurements.series.items():
        for metric in dict.fromkeys(metric for line in lines for metric in line.metrics):
            measured = points(lines, metric)
            line = fit.linear(measured) if series.variable else None
            if line is not None:
                found.append(_Swept(series, metric, measured, line))
    return found


def _flat(measurements: Measurements) -> str:
    cells: dict[Series, list[str]] = {}
    for one in _swept(measurements):
        if fit.is_flat(one.points):
            mean = sum(point.y for point in one.points) / len(one.points)
            cells.setdefault(one.series, []).append(f"`{one.metric}` {quantity(mean, unit_of(one.metric))}")
    if not cells:
        return "None."
    body = [(s.scenario, s.revision, s.role, s.variable, ", ".join(metrics)) for s, metrics in cells.items()]
    return table(("test", "revision", "role", "over", "metrics, with their mean"), body)


def _fits(measurements: Measurements) -> str:
    body = []
    for series, metric, measured, line in _swept(measurements):
        if fit.is_flat(measured):
            continue
        unit = unit_of(metric)
        body.append(
            (
                series.scenario,
                series.revision,
                series.role,
                f"`{metric}`",
                series.variable,
                _means(measured, unit),
                str(line.count),
                quantity(line.intercept, unit),
                quantity(line.slope, unit),
                f"{line.r_squared:.3f}",
                quantity(line.residual_error, unit),
                growth(line, fit.power(measured)),
            )
        )
    if not body:
        return f"No fit: {NOT_MEASURED}."
    head = ("test", "revision", "role", "metric", "over", "means measured", "n", "at 0") + (
        "per unit",
        "R2",
        "residual error",
        "growth",
    )
    return table(head, body)


def _sources(measurements: Measurements) -> str:
    groups: dict[tuple[str, ...], int] = {}
    for result in measurements.results:
        name = result.source.rsplit(":", 1)[0]
        machine = f"{plain(result.machine.cores)} cores, {plain(result.machine.memory_mb)} MB"
        key = (f"`scale/results/{name}`", result.revision, result.scenario, result.role, machine)
        groups[key] = groups.get(key, 0) + 1
    body = [key + (str(count),) for key, count in groups.items()]
    return table(("file", "revision", "test", "role", "machine", "lines"), body)


def _sizes(targets: Targets) -> str:
    sizes, budgets = targets.sizes, targets.budgets
    body = [
        (
            "supervisors, servers, services",
            f"{plain(sizes.supervisors)}, {plain(sizes.servers)}, {plain(sizes.services)}",
        ),
        ("requests a second at the peak", plain(sizes.requests_per_second)),
        ("routes, tenants", f"{plain(sizes.routes)}, {plain(sizes.tenants)}"),
        ("added to a request, 99 in 100", quantity(budgets.added_latency_p99_s, "s")),
        ("regions, zones", f"{plain(sizes.regions)}, {plain(sizes.zones)}"),
        (
            "changes of configuration a day, in force within",
            f"{plain(sizes.configuration_changes_per_day)}, {quantity(budgets.time_to_force_s, 's')}",
        ),
        (
            "a supervisor: core, memory, bytes",
            f"{share_text(budgets.cpu_share)}, {bytes_text(budgets.memory_bytes)}, {bytes_text(budgets.bytes_per_s)}/s",
        ),
        ("control machines", plain(sizes.control_machines)),
        (
            "machines that fail, that are restarted a day",
            f"{plain(targets.failures.machines_failed_per_day)}, {plain(targets.failures.machines_restarted_per_day)}",
        ),
    ]
    return table(("target", "value"), body)


def _assumptions(targets: Targets) -> str:
    body = []
    for field in dataclasses.fields(targets.assumptions):
        value = getattr(targets.assumptions, field.name)
        body.append((f"`{field.name}`", quantity(value, unit_of(field.name))))
    return table(("assumption", "value"), body)


def _arithmetic(steps: Sequence[Step]) -> str:
    return table(("quantity", "calculation", "result"), [(s.quantity, s.calculation, s.result) for s in steps])


def all_tables(targets: Targets, results: Sequence[Result]) -> dict[str, str]:
    """Returns every generated table by the name of its marker."""
    measurements = Measurements(results)
    judged = evaluate_all(measurements, targets)
    scenarios = scenario_rows(measurements, targets)
    red = reds(judged, scenarios, targets)
    tables = {
        "targets": _sizes(targets),
        "assumptions": _assumptions(targets),
        "summary": _summary(judged, red),
        "streams": _streams(judged),
        "ranking-rows": _ranking_rows(red),
        "ranking-mechanisms": _ranking_mechanisms(red),
        "extrapolated": _extrapolated(judged),
        "not-measured": _not_measured(judged),
        "pace": _pace(results),
        "scenarios": _scenarios(scenarios),
        "fits": _fits(measurements),
        "flat": _flat(measurements),
        "sources": _sources(measurements),
    }
    for role in ROLES:
        tables[f"role-{role}"] = _role(role, judged)
    for name, add_steps in _SECTIONS.items():
        sheet = Sheet(targets, measurements)
        add_steps(sheet)
        tables[f"arithmetic-{name}"] = _arithmetic(sheet.steps)
    return tables
