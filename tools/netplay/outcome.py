"""The outcome of one run, parsed from the JSON file and the printed lines of the bench."""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass, field
from typing import Any, Optional

READY_LIMIT_S = 10.0
"""A restarted supervisor must be ready within this time in nine of ten restarts."""


@dataclass(frozen=True)
class Run:
    """A requested run of one day. Without `nodes` the day has its full size."""

    kind: str
    seed: int
    nodes: Optional[int]
    revision: str


@dataclass(frozen=True)
class Violation:
    """A violated rule: the number of violations, and the time and description of the first."""

    rule: str
    count: int
    first_at_s: Optional[float]
    first: str


@dataclass(frozen=True)
class Floor:
    """The served share of a class, tenant or third of the day, and the minimum that the bench requires."""

    of: str
    name: str
    served: float
    least: float

    @property
    def kept(self) -> bool:
        return self.served >= self.least


@dataclass(frozen=True)
class Outcome:
    """The outcome of a run. If the run did not complete, `not_run` has the reason and only `run` and `journal` are valid."""

    run: Run
    not_run: Optional[str] = None
    breaks: list[Violation] = field(default_factory=list)
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
        """The number of restarts that were ready in time; a restart that never became ready counts as late."""
        return sum(1 for duration_s in self.restarts_s if duration_s is not None and duration_s <= READY_LIMIT_S)

    @property
    def failed(self) -> bool:
        """Whether the run completed and violated any requirement of a day."""
        if self.not_run is not None:
            return False
        late = len(self.restarts_s) - self.restarts_ready
        return bool(self.breaks or self.fault or self.gate or 10 * late > len(self.restarts_s) or self.short)

    @property
    def short(self) -> bool:
        """Whether too little was served, in total or for a floor. Days with a throng have no such requirement."""
        if "throng" in self.run.kind.split("+"):
            return False
        total_short = self.served is not None and self.least is not None and self.served < self.least
        return total_short or any(not floor.kept for floor in self.floors)

    def as_json(self) -> dict[str, Any]:
        """Returns the outcome as one flat JSON object."""
        flat = asdict(self)
        run = flat.pop("run")
        for floor_json, floor in zip(flat["floors"], self.floors):
            floor_json["kept"] = floor.kept
        return {**run, **flat, "restarts_ready": self.restarts_ready, "failed": self.failed}


def from_json(line: dict[str, Any]) -> Outcome:
    """Reads an object written by `as_json`; derived values are computed again."""
    fields = dict(line)
    run = Run(fields["kind"], int(fields["seed"]), fields["nodes"], fields["revision"])
    breaks = [Violation(**violation) for violation in fields["breaks"]]
    floors = [Floor(floor["of"], floor["name"], floor["served"], floor["least"]) for floor in fields["floors"]]
    plain_names = ("not_run", "fault", "gate", "served", "least", "start_s", "restarts_s", "score", "wall_s", "journal")
    plain_fields = {name: fields[name] for name in plain_names}
    return Outcome(run, breaks=breaks, floors=floors, **plain_fields)


DAY_LINE = re.compile(r"^(?P<name>\S+) +G -?[\d.]+ .*served (?P<served>-?[\d.]+) \(gate (?P<least>-?[\d.]+)\)"
                      r".* score (?P<score>-?[\d.]+)(?: +(?P<verdict>.*\S))?\s*$", re.M)
BROKEN_LINE = re.compile(r"^RULE BROKEN.*?: (?P<rule>[\w-]+), (?P<count>\d+) times, first at (?P<at>[\d.]+) s: (?P<first>.*)$", re.M)
RESTARTS_LINE = re.compile(r"^nodes: ready after (?P<start>[\d.]+) s, restarts took \[(?P<durations>[^]]*)\] s", re.M)


def not_run(run: Run, reason: str, journal: Optional[list[str]] = None) -> Outcome:
    """Returns the outcome of a run that did not complete, with the reason."""
    return Outcome(run, not_run=" ".join(reason.split()) or "no reason given", journal=journal or [])


def last_line(printed: str) -> str:
    """Returns the last line that is not blank: a program that fails usually prints its reason there."""
    lines = [line.strip() for line in printed.splitlines() if line.strip()]
    return lines[-1][:300] if lines else "no output"


def read_violations(result: dict[str, Any], printed: str) -> list[Violation]:
    """Reads the violated rules from the JSON file, and those that only the printed lines contain."""
    violations = [Violation(rule, int(entry["count"]), entry.get("first_at_s"), str(entry.get("first", "")))
                  for rule, entry in sorted((result.get("breaks") or {}).items())]
    rules = {violation.rule for violation in violations}
    for line in BROKEN_LINE.finditer(printed):
        if line["rule"] not in rules:
            violations.append(Violation(line["rule"], int(line["count"]), float(line["at"]), line["first"]))
    return violations


def read_floors(row: dict[str, Any]) -> list[Floor]:
    """Reads the floors of classes, tenants and thirds. Entries without figures are ignored."""
    floors = []
    for of, entries in (("class", row.get("by_class")), ("tenant", row.get("by_tenant")), ("third", row.get("by_third"))):
        for entry in entries or []:
            if isinstance(entry, list) and len(entry) == 3 and all(isinstance(n, (int, float)) for n in entry[1:]):
                floors.append(Floor(of, str(entry[0]), float(entry[1]), float(entry[2])))
    return floors


def read_restarts(seen: dict[str, Any], printed: str) -> list[Optional[float]]:
    """Reads the time from each restart to readiness, in seconds; None for a restart that never became ready."""
    if "restart_s" in seen:
        return [float(value) if isinstance(value, (int, float)) else None for value in seen["restart_s"] or []]
    return [float(word) if re.fullmatch(r"[\d.]+", word) else None for word in re.split(r"[,\s]+", printed.strip()) if word]


def read_outcome(run: Run, printed: str, result: Optional[dict[str, Any]], wall_s: Optional[float] = None,
                 journal: Optional[list[str]] = None) -> Outcome:
    """Reads the outcome of a bench process that has ended. The run completed only if the bench printed the line of the day
    and wrote its JSON file."""
    day = DAY_LINE.search(printed)
    if result is None or "row" not in result or day is None:
        return not_run(run, "no result of a day in the output of the bench: " + last_line(printed), journal)
    row, seen = result["row"], (result.get("real") or {}).get("seen") or {}
    verdict = day["verdict"]
    nodes = RESTARTS_LINE.search(printed)
    return Outcome(
        run,
        breaks=read_violations(result, printed),
        fault=result.get("fault") or row.get("fault"),
        gate=row.get("gate") or verdict,
        served=float(row.get("served", day["served"])),
        least=float(row.get("served_least", day["least"])),
        floors=read_floors(row),
        start_s=seen.get("start_s", float(nodes["start"]) if nodes else None),
        restarts_s=read_restarts(seen, nodes["durations"] if nodes else ""),
        score=float(row.get("score", day["score"])),
        wall_s=wall_s,
        journal=journal or [],
    )
