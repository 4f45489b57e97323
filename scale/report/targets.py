"""The sizes, budgets and failures to plan for, read from scale/targets.json.

Names end in their unit: ``_s`` seconds, ``_bytes`` bytes, ``_per_day`` per day; ``cpu_share`` is a share of one core.
A missing field, an unknown field or a value that is not a positive number is an error that names the field.
"""

from __future__ import annotations

import dataclasses
import json
import math
from pathlib import Path
from typing import Any, Type, TypeVar


class InvalidTargets(Exception):
    """The targets file is invalid; the message names the file and the field."""


@dataclasses.dataclass(frozen=True)
class Sizes:
    """The size of the system."""

    supervisors: float
    servers: float
    services: float
    requests_per_second: float
    routes: float
    tenants: float
    regions: float
    zones: float
    configuration_changes_per_day: float
    control_machines: float

    @property
    def servers_per_service(self) -> int:
        """Servers of one service, rounded up."""
        return math.ceil(self.servers / self.services)

    @property
    def supervisors_per_machine(self) -> int:
        """Supervisors on one control machine, rounded up."""
        return math.ceil(self.supervisors / self.control_machines)

    def supervisors_lost_with(self, parts: float) -> int:
        """Upper bound of the supervisors lost with one of ``parts`` zones or regions; a lost control machine takes all
        of its supervisors with it."""
        machines = math.ceil(self.control_machines / parts)
        return min(math.ceil(self.supervisors), machines * self.supervisors_per_machine)


@dataclasses.dataclass(frozen=True)
class Budgets:
    """Limits. ``cpu_share``, ``memory_bytes`` and ``bytes_per_s`` are per supervisor."""

    added_latency_p99_s: float
    time_to_force_s: float
    cpu_share: float
    memory_bytes: float
    bytes_per_s: float


@dataclasses.dataclass(frozen=True)
class Failures:
    """Failures of ordinary days."""

    machines_failed_per_day: float
    machines_restarted_per_day: float
    region_cut_minutes: float


@dataclasses.dataclass(frozen=True)
class Assumptions:
    """Values that no target states: proxies per supervisor, the report period, sizes of entries, and the time limits of
    docs/service.md. The size of a list entry is that of the protocol page. A restart causes three list changes:
    draining, deleted, serving."""

    proxies: float
    report_period_s: float
    tenant_entry_bytes: float
    list_entry_bytes: float
    list_changes_per_restart: float
    supervisor_ready_s: float
    list_told_s: float
    first_line_s: float


@dataclasses.dataclass(frozen=True)
class Targets:
    """All of scale/targets.json."""

    sizes: Sizes
    budgets: Budgets
    failures: Failures
    assumptions: Assumptions

    def size(self, name: str) -> float:
        """Returns the target size of that name. Raises AttributeError if there is none."""
        return float(getattr(self.sizes, name))

    def budget(self, name: str) -> float:
        """Returns the budget of that name. Raises AttributeError if there is none."""
        return float(getattr(self.budgets, name))


Section = TypeVar("Section")


def _section(kind: Type[Section], values: Any, name: str, path: Path) -> Section:
    if not isinstance(values, dict):
        raise InvalidTargets(f"{path}: '{name}' is missing or not an object")
    known = {field.name for field in dataclasses.fields(kind)}
    for field in sorted(known ^ set(values)):
        problem = "is missing" if field in known else "is not known"
        raise InvalidTargets(f"{path}: '{name}.{field}' {problem}")
    for field, value in values.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0 or math.isinf(value):
            raise InvalidTargets(f"{path}: '{name}.{field}' is {value!r}, expected a number above 0")
    return kind(**values)


def load(path: Path) -> Targets:
    """Reads the targets. Raises InvalidTargets."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidTargets(f"{path}: {error}") from error
    sections = {field.name for field in dataclasses.fields(Targets)}
    if not isinstance(document, dict) or set(document) != sections:
        raise InvalidTargets(f"{path}: expected an object of {', '.join(sorted(sections))}")
    return Targets(
        _section(Sizes, document["sizes"], "sizes", path),
        _section(Budgets, document["budgets"], "budgets", path),
        _section(Failures, document["failures"], "failures", path),
        _section(Assumptions, document["assumptions"], "assumptions", path),
    )
