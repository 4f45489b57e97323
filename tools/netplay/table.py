"""One markdown table of many plays: what was not run, what was broken, what was kept."""

from __future__ import annotations

from typing import Iterable

from .outcome import Outcome

HEAD = "| kind | seed | nodes | rule | gate | floors | ready | score |\n| --- | --- | --- | --- | --- | --- | --- | --- |"


def cell(text: str) -> str:
    """A text that stays inside one cell."""
    return " ".join(text.split()).replace("|", "\\|")


def rule_cell(outcome: Outcome) -> str:
    """`kept`, or each broken rule with its count and the first time, and a fault."""
    parts = [f"**{told.rule}** x{told.count}" + (f", first {told.first_at_s:.2f} s" if told.first_at_s is not None else "")
             for told in outcome.breaks]
    if outcome.fault:
        parts.append(f"**fault** {outcome.fault}")
    return "; ".join(parts) or "kept"


def gate_cell(outcome: Outcome) -> str:
    """What was served against what is wanted, and why the bench says that the gate failed."""
    figures = f"{outcome.served:.3f} of {outcome.least:.3f}"
    return f"**{outcome.gate}** {figures}" if outcome.gate else figures


def floors_cell(outcome: Outcome) -> str:
    """`n kept`, and each floor that was not."""
    if not outcome.floors:
        return "none printed"
    low = [f"**{floor.of} {floor.name}** {floor.served:.3f} of {floor.least:.3f}" for floor in outcome.floors if not floor.kept]
    kept = f"{len(outcome.floors) - len(low)} kept"
    return "; ".join(low + [kept])


def ready_cell(outcome: Outcome) -> str:
    """How many restarts were ready in time; the longest."""
    if not outcome.restarts_s:
        return "no restart"
    times = [took for took in outcome.restarts_s if took is not None]
    longest = f", longest {max(times):.1f} s" if times else ""
    return f"{outcome.restarts_ready} of {len(outcome.restarts_s)}{longest}"


def row(outcome: Outcome) -> str:
    """The table's line of one play."""
    play = outcome.play
    cells = [play.kind, str(play.seed), str(play.nodes) if play.nodes else "full"]
    if outcome.not_run is not None:
        cells += ["not run: " + outcome.not_run, "", "", "", ""]
    else:
        score = f"{outcome.score:.2f}"
        cells += [rule_cell(outcome), gate_cell(outcome), floors_cell(outcome), ready_cell(outcome), score]
    return "| " + " | ".join(map(cell, cells)) + " |"


def summary(outcomes: Iterable[Outcome]) -> str:
    """One line that counts the plays."""
    listed = list(outcomes)
    missing = sum(1 for outcome in listed if outcome.not_run is not None)
    failed = sum(1 for outcome in listed if outcome.failed)
    return f"{len(listed)} plays: {len(listed) - missing - failed} kept all, {failed} failed, {missing} not run"


def by_kind(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """The outcomes kind by kind in the order in which the kinds first came, then by seed."""
    listed = list(outcomes)
    place: dict[str, int] = {}
    for outcome in listed:
        place.setdefault(outcome.play.kind, len(place))
    return sorted(listed, key=lambda outcome: (place[outcome.play.kind], outcome.play.seed))


def table(outcomes: Iterable[Outcome]) -> str:
    """The whole table, kind by kind."""
    listed = by_kind(outcomes)
    return "\n".join([HEAD, *map(row, listed), "", summary(listed), ""])
