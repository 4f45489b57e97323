"""Formats the outcomes of many runs as one Markdown table."""

from __future__ import annotations

from typing import Iterable

from .outcome import Outcome

HEAD = "| kind | seed | nodes | rule | gate | floors | ready | score |\n| --- | --- | --- | --- | --- | --- | --- | --- |"


def cell(text: str) -> str:
    """Escapes a text for a table cell."""
    return " ".join(text.split()).replace("|", "\\|")


def rule_cell(outcome: Outcome) -> str:
    """Returns `kept`, or each violated rule with its count and first time, and the fault."""
    parts = [f"**{violation.rule}** x{violation.count}"
             + (f", first {violation.first_at_s:.2f} s" if violation.first_at_s is not None else "")
             for violation in outcome.breaks]
    if outcome.fault:
        parts.append(f"**fault** {outcome.fault}")
    return "; ".join(parts) or "kept"


def gate_cell(outcome: Outcome) -> str:
    """Returns the served and the required share, and the reason if the gate failed."""
    figures = f"{outcome.served:.3f} of {outcome.least:.3f}"
    return f"**{outcome.gate}** {figures}" if outcome.gate else figures


def floors_cell(outcome: Outcome) -> str:
    """Returns the number of floors that were kept, and each floor that was not."""
    if not outcome.floors:
        return "none printed"
    low = [f"**{floor.of} {floor.name}** {floor.served:.3f} of {floor.least:.3f}" for floor in outcome.floors if not floor.kept]
    kept = f"{len(outcome.floors) - len(low)} kept"
    return "; ".join(low + [kept])


def ready_cell(outcome: Outcome) -> str:
    """Returns the number of restarts that were ready in time, and the longest time to readiness."""
    if not outcome.restarts_s:
        return "no restart"
    times = [duration_s for duration_s in outcome.restarts_s if duration_s is not None]
    longest = f", longest {max(times):.1f} s" if times else ""
    return f"{outcome.restarts_ready} of {len(outcome.restarts_s)}{longest}"


def row(outcome: Outcome) -> str:
    """Returns the table row of one run."""
    run = outcome.run
    cells = [run.kind, str(run.seed), str(run.nodes) if run.nodes else "full"]
    if outcome.not_run is not None:
        cells += ["not run: " + outcome.not_run, "", "", "", ""]
    else:
        score = f"{outcome.score:.2f}"
        cells += [rule_cell(outcome), gate_cell(outcome), floors_cell(outcome), ready_cell(outcome), score]
    return "| " + " | ".join(map(cell, cells)) + " |"


def summary(outcomes: Iterable[Outcome]) -> str:
    """Returns one line with the number of runs by result."""
    listed = list(outcomes)
    missing = sum(1 for outcome in listed if outcome.not_run is not None)
    failed = sum(1 for outcome in listed if outcome.failed)
    return f"{len(listed)} runs: {len(listed) - missing - failed} passed, {failed} failed, {missing} not run"


def sort_by_kind(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Sorts the outcomes by kind, in the order of the first occurrence of each kind, then by seed."""
    listed = list(outcomes)
    order: dict[str, int] = {}
    for outcome in listed:
        order.setdefault(outcome.run.kind, len(order))
    return sorted(listed, key=lambda outcome: (order[outcome.run.kind], outcome.run.seed))


def table(outcomes: Iterable[Outcome]) -> str:
    """Returns the complete table, grouped by kind, with the summary line."""
    listed = sort_by_kind(outcomes)
    return "\n".join([HEAD, *map(row, listed), "", summary(listed), ""])
