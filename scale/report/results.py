"""Measured results: scale/results/*.jsonl, one JSON object per line, one line per repetition.

Every metric is the mean of one member of the role; its name ends in its unit (``_s``, ``_ns``, ``_bytes``,
``_bytes_per_s``, ``_share`` of one core; otherwise it is a count). A malformed line is rejected with file, line and the
expected form, so that the page never uses part of a line.
"""

from __future__ import annotations

import dataclasses
import json
import math
import re
from pathlib import Path
from typing import Any, Mapping

ROLES = ("supervisor", "discovery", "relay", "collector", "proxy", "configuration")
_NAME = re.compile(r"[a-z][a-z0-9_]*\Z")
_VARIABLE = re.compile(r"[a-z][a-z0-9_-]*\Z")
_SCENARIO = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.,+/ -]*\Z")  # must fit into a table cell
_REVISION = re.compile(r"[0-9a-f]{7,40}(-dirty)?\Z")


class InvalidResult(Exception):
    """A line is not a valid result; the message names the file, the line and what was expected."""


@dataclasses.dataclass(frozen=True)
class Machine:
    """The machine that ran the measurement."""

    cores: float
    memory_mb: float


@dataclasses.dataclass(frozen=True)
class Result:
    """One repetition of one member of a role at one size."""

    source: str  # file name and line number
    revision: str
    machine: Machine
    scenario: str
    role: str
    variable: str  # the swept variable; "" if the test swept none
    value: float
    repetition: int
    seed: int
    seconds: float
    sizes: Mapping[str, float]
    metrics: Mapping[str, float]


_FIELDS = tuple(field.name for field in dataclasses.fields(Result) if field.name != "source")


class _Line:
    """The fields of one line; each accessor checks the field that it returns."""

    def __init__(self, values: Mapping[str, Any], where: str) -> None:
        self.values = values
        self.where = where

    def invalid(self, field: str, expected: str) -> InvalidResult:
        got = self.values.get(field)
        return InvalidResult(f"{self.where}: '{field}' is {got!r}, expected {expected}")

    def text(self, field: str, pattern: re.Pattern[str], expected: str) -> str:
        value = self.values[field]
        if not isinstance(value, str) or not pattern.match(value):
            raise self.invalid(field, expected)
        return value

    def number(self, field: str, whole: bool = False) -> float:
        value = self.values[field]
        if not _is_number(value) or (whole and value != int(value)):
            raise self.invalid(field, "a whole number from 0" if whole else "a number from 0")
        return float(value)

    def numbers(self, field: str) -> dict[str, float]:
        table = self.values[field]
        if not isinstance(table, dict) or not table:
            raise self.invalid(field, "an object of numbers")
        for name, value in table.items():
            if not _NAME.match(name) or not _is_number(value):
                raise InvalidResult(
                    f"{self.where}: '{field}.{name}' is {value!r}, expected a lower-case name with a number from 0"
                )
        return dict(table)


def _is_number(value: Any) -> bool:
    return not isinstance(value, bool) and isinstance(value, (int, float)) and math.isfinite(value) and value >= 0


def parse_line(text: str, where: str) -> Result:
    """Parses one line. Raises InvalidResult with ``where`` in its message."""
    try:
        values = json.loads(text)
    except ValueError as error:
        raise InvalidResult(f"{where}: no JSON ({error}), expected one object per line") from error
    if not isinstance(values, dict):
        raise InvalidResult(f"{where}: expected a JSON object")
    for field in _FIELDS:
        if field not in values:
            raise InvalidResult(f"{where}: '{field}' is missing, expected {', '.join(_FIELDS)}")
    for field in values:
        if field not in _FIELDS:
            raise InvalidResult(f"{where}: '{field}' is not known, expected {', '.join(_FIELDS)}")
    line = _Line(values, where)
    if values["role"] not in ROLES:
        raise line.invalid("role", f"one of {', '.join(ROLES)}")
    machine = line.numbers("machine")
    if set(machine) != {"cores", "memory_mb"}:
        raise line.invalid("machine", "cores and memory_mb")
    variable = values["variable"]
    if variable != "":
        line.text("variable", _VARIABLE, "a lower-case name or an empty string")
    result = Result(
        where,
        line.text("revision", _REVISION, "the short hash of a commit"),
        Machine(machine["cores"], machine["memory_mb"]),
        line.text("scenario", _SCENARIO, "a name of letters, digits, spaces and _ . , + / -"),
        values["role"],
        variable,
        line.number("value"),
        int(line.number("repetition", whole=True)),
        int(line.number("seed", whole=True)),
        line.number("seconds"),
        line.numbers("sizes"),
        line.numbers("metrics"),
    )
    if variable in result.sizes and result.sizes[variable] != result.value:
        raise line.invalid("value", f"the value of 'sizes.{variable}', {result.sizes[variable]}")
    return result


def load(folder: Path) -> list[Result]:
    """Reads all results of a folder, in the order of file names and lines. Skips empty lines. Raises InvalidResult."""
    found = []
    for path in sorted(folder.glob("*.jsonl")):
        for number, text in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
            if text.strip():
                found.append(parse_line(text, f"{path.name}:{number}"))
    return found
