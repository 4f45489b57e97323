"""The sizes, budgets and failures to plan for, read from scale/targets.json.

Units stand in the names: ``_s`` seconds, ``_bytes`` bytes, ``_per_day`` a day; ``cpu_share`` is a share of one core.
A file that lacks a name, has one too many or holds anything but a positive number is refused with the name.
"""

from __future__ import annotations

import dataclasses
import json
import math
from pathlib import Path
from typing import Any, Type, TypeVar


class WrongTargets(Exception):
    """The targets' file cannot be used; the message names file and field."""


@dataclasses.dataclass(frozen=True)
class Sizes:
    """What the system has to carry."""

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
        """Servers that a supervisor of one service would have to know, rounded up."""
        return math.ceil(self.servers / self.services)

    @property
    def supervisors_per_machine(self) -> int:
        """Supervisors of a control machine, rounded up."""
        return math.ceil(self.supervisors / self.control_machines)

    def supervisors_lost_with(self, parts: float) -> int:
        """Supervisors of a zone or region, one of so many, at most: control machines are lost whole."""
        machines = math.ceil(self.control_machines / parts)
        return min(math.ceil(self.supervisors), machines * self.supervisors_per_machine)


@dataclasses.dataclass(frozen=True)
class Budgets:
    """What may be spent; the last three are for one supervisor."""

    added_latency_p99_s: float
    time_to_force_s: float
    cpu_share: float
    memory_bytes: float
    bytes_per_s: float


@dataclasses.dataclass(frozen=True)
class Failures:
    """What fails on ordinary days."""

    machines_failed_per_day: float
    machines_restarted_per_day: float
    region_cut_minutes: float


@dataclasses.dataclass(frozen=True)
class Assumptions:
    """Figures that no target states: proxies of a supervisor, the period of reports, sizes of entries, and bounds
    that stand in docs/service.md. An entry of the list is that of the protocol's page; a restart tells three:
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
        """The target size of that name. Raises AttributeError where there is none."""
        return float(getattr(self.sizes, name))

    def budget(self, name: str) -> float:
        """The budget of that name. Raises AttributeError where there is none."""
        return float(getattr(self.budgets, name))


Section = TypeVar("Section")


def _section(kind: Type[Section], values: Any, name: str, path: Path) -> Section:
    if not isinstance(values, dict):
        raise WrongTargets(f"{path}: '{name}' is missing or not an object")
    wanted = {field.name for field in dataclasses.fields(kind)}
    for field in sorted(wanted ^ set(values)):
        problem = "is missing" if field in wanted else "is not known"
        raise WrongTargets(f"{path}: '{name}.{field}' {problem}")
    for field, value in values.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0 or math.isinf(value):
            raise WrongTargets(f"{path}: '{name}.{field}' is {value!r}, expected a number above 0")
    return kind(**values)


def load(path: Path) -> Targets:
    """Reads the targets. Raises WrongTargets."""
    try:
        whole = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise WrongTargets(f"{path}: {error}") from error
    sections = {field.name for field in dataclasses.fields(Targets)}
    if not isinstance(whole, dict) or set(whole) != sections:
        raise WrongTargets(f"{path}: expected an object of {', '.join(sorted(sections))}")
    return Targets(
        _section(Sizes, whole["sizes"], "sizes", path),
        _section(Budgets, whole["budgets"], "budgets", path),
        _section(Failures, whole["failures"], "failures", path),
        _section(Assumptions, whole["assumptions"], "assumptions", path),
    )
