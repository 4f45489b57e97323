"""What one play came to, read from what the bench wrote: its JSON file and its printed lines."""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass, field
from typing import Any, Optional

READY_LIMIT_S = 10.0
"""A restarted supervisor has to be ready within this time on nine in ten restarts."""


@dataclass(frozen=True)
class Play:
    """One play that is asked for. Without `nodes` the day has its full size."""

    kind: str
    seed: int
    nodes: Optional[int]
    revision: str


@dataclass(frozen=True)
class Break:
    """A rule that was broken: how often, and when and how it was first."""

    rule: str
    count: int
    first_at_s: Optional[float]
    first: str


@dataclass(frozen=True)
class Floor:
    """A share that was served, and the least that the bench wants of it."""

    of: str
    name: str
    served: float
    least: float

    @property
    def kept(self) -> bool:
        return self.served >= self.least


@dataclass(frozen=True)
class Outcome:
    """What a play came to. Nothing but `play` and `not_run` holds when the play did not run."""

    play: Play
    not_run: Optional[str] = None
    breaks: list[Break] = field(default_factory=list)
    fault: Optional[str] = None
    gate: Optional[str] = None
    served: Optional[float] = None
    least: Optional[float] = None
    floors: list[Floor] = field(default_factory=list)
    start_s: Optional[float] = None
    restarts_s: list[Optional[float]] = field(default_factory=list)
    score: Optional[float] = None
    wall_s: Optional[float] = None
    journal: list[str] = field(default_factory=list)

    @property
    def restarts_ready(self) -> int:
        """How many restarts were ready in time; one that was never ready counts as late."""
        return sum(1 for took in self.restarts_s if took is not None and took <= READY_LIMIT_S)

    @property
    def failed(self) -> bool:
        """Whether the play ran and anything that a day has to keep did not hold."""
        if self.not_run is not None:
            return False
        late = len(self.restarts_s) - self.restarts_ready
        return bool(self.breaks or self.fault or self.gate or 10 * late > len(self.restarts_s) or self.short)

    @property
    def short(self) -> bool:
        """Whether too little was served, of the whole or under a floor. It isn't counted on days with a throng."""
        if "throng" in self.play.kind.split("+"):
            return False
        whole = self.served is not None and self.least is not None and self.served < self.least
        return whole or any(not floor.kept for floor in self.floors)

    def as_json(self) -> dict[str, Any]:
        """The play as one flat JSON object."""
        flat = asdict(self)
        play = flat.pop("play")
        for kept, floor in zip(flat["floors"], self.floors):
            kept["kept"] = floor.kept
        return {**play, **flat, "restarts_ready": self.restarts_ready, "failed": self.failed}


def from_json(line: dict[str, Any]) -> Outcome:
    """Reads what `as_json` wrote; what it worked out from the rest is worked out anew."""
    held = dict(line)
    play = Play(held["kind"], int(held["seed"]), held["nodes"], held["revision"])
    breaks = [Break(**told) for told in held["breaks"]]
    floors = [Floor(floor["of"], floor["name"], floor["served"], floor["least"]) for floor in held["floors"]]
    plain = {name: held[name] for name in ("not_run", "fault", "gate", "served", "least", "start_s", "restarts_s", "score", "wall_s",
                                           "journal")}
    return Outcome(play, breaks=breaks, floors=floors, **plain)


DAY_LINE = re.compile(r"^(?P<name>\S+) +G -?[\d.]+ .*served (?P<served>-?[\d.]+) \(gate (?P<least>-?[\d.]+)\)"
                      r".* score (?P<score>-?[\d.]+)(?: +(?P<verdict>.*\S))?\s*$", re.M)
BROKEN_LINE = re.compile(r"^RULE BROKEN.*?: (?P<rule>[\w-]+), (?P<count>\d+) times, first at (?P<at>[\d.]+) s: (?P<first>.*)$", re.M)
RESTARTS_LINE = re.compile(r"^nodes: ready after (?P<start>[\d.]+) s, restarts took \[(?P<took>[^]]*)\] s", re.M)


def not_run(play: Play, reason: str, journal: Optional[list[str]] = None) -> Outcome:
    """A play of which nothing can be said but why."""
    return Outcome(play, not_run=" ".join(reason.split()) or "no reason was printed", journal=journal or [])


def last_words(printed: str) -> str:
    """The last line that is not blank: where a program that gave up says why."""
    lines = [line.strip() for line in printed.splitlines() if line.strip()]
    return lines[-1][:300] if lines else "nothing was printed"


def read_breaks(result: dict[str, Any], printed: str) -> list[Break]:
    """The broken rules of the JSON file, and those that only the printed lines name."""
    breaks = [Break(rule, int(told["count"]), told.get("first_at_s"), str(told.get("first", "")))
              for rule, told in sorted((result.get("breaks") or {}).items())]
    named = {told.rule for told in breaks}
    for line in BROKEN_LINE.finditer(printed):
        if line["rule"] not in named:
            breaks.append(Break(line["rule"], int(line["count"]), float(line["at"]), line["first"]))
    return breaks


def read_floors(row: dict[str, Any]) -> list[Floor]:
    """The floors that the bench gives figures for: classes, tenants, thirds. Entries of another form are left alone."""
    floors = []
    for of, entries in (("class", row.get("by_class")), ("tenant", row.get("by_tenant")), ("third", row.get("by_third"))):
        for entry in entries or []:
            if isinstance(entry, list) and len(entry) == 3 and all(isinstance(n, (int, float)) for n in entry[1:]):
                floors.append(Floor(of, str(entry[0]), float(entry[1]), float(entry[2])))
    return floors


def read_restarts(seen: dict[str, Any], printed: str) -> list[Optional[float]]:
    """How long each restart took to be ready; nothing in place of a time if one never was."""
    if "restart_s" in seen:
        return [float(took) if isinstance(took, (int, float)) else None for took in seen["restart_s"] or []]
    return [float(took) if re.fullmatch(r"[\d.]+", took) else None for took in re.split(r"[,\s]+", printed.strip()) if took]


def read_outcome(play: Play, printed: str, result: Optional[dict[str, Any]], wall_s: Optional[float] = None,
                 journal: Optional[list[str]] = None) -> Outcome:
    """Reads a play that has ended. It ran only if the bench printed the day's line and wrote its JSON file."""
    day = DAY_LINE.search(printed)
    if result is None or "row" not in result or day is None:
        return not_run(play, "no day in the bench's output: " + last_words(printed), journal)
    row, seen = result["row"], (result.get("real") or {}).get("seen") or {}
    verdict = day["verdict"]
    nodes = RESTARTS_LINE.search(printed)
    return Outcome(
        play,
        breaks=read_breaks(result, printed),
        fault=result.get("fault") or row.get("fault"),
        gate=row.get("gate") or verdict,
        served=float(row.get("served", day["served"])),
        least=float(row.get("served_least", day["least"])),
        floors=read_floors(row),
        start_s=seen.get("start_s", float(nodes["start"]) if nodes else None),
        restarts_s=read_restarts(seen, nodes["took"] if nodes else ""),
        score=float(row.get("score", day["score"])),
        wall_s=wall_s,
        journal=journal or [],
    )
