"""What the capacity page looks at: its rows, the mechanism that carries each, and what is missing.

A row names a metric of the results, the size at which it counts, its budget, the mechanism by its standard name and
its place in the code ("" is: missing), the mechanism that would mend it if it is red, and the lines of the target
list that cannot be met while it is red.
"""

from __future__ import annotations

import dataclasses
from typing import Callable, Optional

from targets import Targets


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the target list; ``key`` names the generated arithmetic of its section."""

    key: str
    title: str


LINES = (
    Line("fleet", "Supervisors, servers, services"),
    Line("requests", "Requests a second"),
    Line("routes", "Routes and tenants"),
    Line("latency", "What is added to a request"),
    Line("regions", "Regions and zones"),
    Line("configuration", "Changes of configuration"),
    Line("control", "What control may spend"),
    Line("failures", "Failures"),
)

# Mechanisms that are missing or missing in part, by key: standard name and what it is here.
REMEDIES = {
    "configuration": "dynamic configuration: versioned, checked whole, taken over atomically, last known good",
    "scope": "subsetting: a supervisor holds and weighs only services whose tables it holds, drops the rest unparsed",
    "source": "subsetting at the source: it is sent its services only (collectors, discovery: the platform's)",
    "conflation": "conflation at the source: reports on a change, or less often (collectors: the platform's)",
    "acknowledgements": "cumulative acknowledgements: confirmations summed up for many proxies (relay: the platform's)",
    "tenants": "per-tenant admission (quotas)",
    "locality": "locality hierarchy: regions above zones",
    "panic": "panic threshold: a list that drops many servers at once is doubted",
}


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """What carries a row: standard name and place in the code; no place means missing."""

    name: str
    place: str = ""

    def text(self) -> str:
        """As a cell."""
        return f"{self.name} (`{self.place}`)" if self.place else f"{self.name}: **missing**"


@dataclasses.dataclass(frozen=True)
class Sweep:
    """A swept variable and its value at the target."""

    variable: str
    size: Callable[[Targets], float]


@dataclasses.dataclass(frozen=True)
class Scope:
    """At which size a row counts, in whichever sweep it was measured."""

    name: str
    sweeps: tuple[Sweep, ...]
    held: tuple[tuple[str, Callable[[Targets], float]], ...] = ()  # other sizes that lines must have, if they name them
    planned: tuple[str, ...] = ()  # sizes that make a scale test beside any sweep one of the target's size


@dataclasses.dataclass(frozen=True)
class Members:
    """How many members of a row's role add up, where the figure is that of many."""

    count: Callable[[Targets], float]
    reckoning: Callable[[Targets], str]


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of a role's table."""

    role: str  # whose table
    kind: str  # state, messages, processor, memory, time
    quantity: str
    metrics: tuple[str, ...]  # more than one: their sum
    scope: Scope
    mechanism: Mechanism
    budget: str = ""  # of targets.Budgets; "": none is stated
    budget_text: str = ""
    remedy: str = ""  # key of REMEDIES
    blocks: tuple[str, ...] = ()  # keys of LINES
    source_role: str = ""  # whose results, if not of the own role
    members: Optional[Members] = None


@dataclasses.dataclass(frozen=True)
class Gap:
    """What the code cannot do at all, whatever is measured. Figure and budget are reckoned from the targets."""

    role: str
    what: str
    remedy: str
    blocks: tuple[str, ...]
    figure: Optional[Callable[[Targets], float]] = None
    budget: Optional[Callable[[Targets], float]] = None
    unit: str = ""  # of both, as words behind the number


# Every server reported by every collector in each period, at the pace assumed.
_ALL_REPORTED = (("reports_every_s", lambda t: t.assumptions.report_period_s), ("reported", lambda t: 0))
FLEET = Scope("whole fleet (as built)", (Sweep("servers", lambda t: t.sizes.servers),), _ALL_REPORTED)
SERVICE = Scope("one service (if scoped)", (Sweep("servers", lambda t: t.sizes.servers_per_service),), _ALL_REPORTED)
# A rung of the ladder is a part of the plan in all sizes together; 1 is the plan.
SUPERVISORS = Scope(
    "all supervisors",
    (Sweep("ladder", lambda t: 1), Sweep("supervisors", lambda t: t.sizes.supervisors)),
    planned=("supervisors", "servers"),
)
BUSY = Scope("busy fleet, proxies as assumed", (Sweep("proxies", lambda t: t.assumptions.proxies),))
ALL_LINES = Scope("a line for every server", (Sweep("lines", lambda t: t.sizes.servers),))
SERVICE_LINES = Scope("a line for each server of a service", (Sweep("lines", lambda t: t.sizes.servers_per_service),))

_DIRECTOR = Mechanism("records by server name, forgotten a minute after the server left", "src/decision/route_usage.cpp")
_LIST = Mechanism("list and watch, resumed by revision", "src/discovery/discovery.cpp")
_NEWS = Mechanism("snapshot, then differences only", "src/relay/store_view.cpp")
_ORDERS = Mechanism("incremental updates by urgency, never repeated", "src/decision/update_scheduler.cpp")
_REPORTS = Mechanism("windowed sums aggregated by a collector a zone", "src/clients/messages.cpp")
_RELOAD = Mechanism("reload on SIGHUP: addresses, and settings where allowed", "src/supervisor/config_reload.cpp")
_TURNS = Mechanism("batching: one turn of the module for all events", "src/supervisor/engine_runner.cpp")
_BOUNDS = Mechanism("bounded buffers, shares of the memory limit", "src/supervisor/memory_budget.h")
_BACKOFF = Mechanism("exponential backoff with jitter", "src/decision/endpoint_list.cpp")
_PICK = Mechanism("weighted power of two choices; a reference, proxies are the platform's", "bench/pick_bench.cpp")

LIST, NEWS, ORDERS, REPORTS, CONFIGURATION = (
    "list_in_bytes_per_s",
    "news_in_bytes_per_s",
    "orders_out_bytes_per_s",
    "reports_in_bytes_per_s",
    "configuration_in_bytes_per_s",
)
STREAMS = {"list": LIST, "news": NEWS, "orders": ORDERS, "reports": REPORTS, "configuration": CONFIGURATION}
SENT = ("list_out_bytes_per_s", ORDERS)  # requests to discovery; calls to the relay
SENT_AND_RECEIVED = (*SENT, LIST, NEWS, "orders_in_bytes_per_s", REPORTS, CONFIGURATION)

# Sizes that tables name, in their order; a scale test may have more.
TOLD_SIZES = ("supervisors", "real", "servers", "reported", "services", "routes", "slices", "proxies", "zones", "lines")


def _supervisor_rows(scope: Scope) -> tuple[Row, ...]:
    def messages(quantity: str, metrics: tuple[str, ...], mechanism: Mechanism, remedy: str) -> Row:
        blocks = ("control",) if scope is SERVICE else ("fleet", "control")
        return Row("supervisor", "messages", quantity, metrics, scope, mechanism, "bytes_per_s", "", remedy, blocks)

    reports = "conflation" if scope is SERVICE else "source"
    return (
        Row("supervisor", "state", "entries held", ("state_entries",), scope, _DIRECTOR),
        Row("supervisor", "state", "bytes held", ("state_bytes",), scope, _DIRECTOR),
        messages("list in", (LIST,), _LIST, "source"),
        messages("news in", (NEWS,), _NEWS, "acknowledgements"),
        messages("orders out", (ORDERS,), _ORDERS, "scope"),
        messages("reports in", (REPORTS,), _REPORTS, reports),
        messages("configuration in", (CONFIGURATION,), _RELOAD, "configuration"),
        messages("all that it sends", SENT, _ORDERS, "scope"),
        messages("all that it sends and receives", SENT_AND_RECEIVED, _REPORTS, reports),
        Row("supervisor", "messages", "first list", ("first_list_bytes",), scope, _LIST),
        Row(
            "supervisor",
            "processor",
            "share of a core",
            ("cpu_share",),
            scope,
            _TURNS,
            "cpu_share",
            "",
            "scope",
            ("fleet", "control"),
        ),
        Row(
            "supervisor",
            "memory",
            "resident",
            ("resident_bytes",),
            scope,
            _BOUNDS,
            "memory_bytes",
            "",
            "scope",
            ("fleet", "control"),
        ),
    )


def _times(what: str, metric: str, mechanism: Mechanism) -> tuple[Row, ...]:
    return tuple(
        Row(
            "configuration",
            "time",
            f"{what}, {name}",
            (f"{metric}_{suffix}_s",),
            SUPERVISORS,
            mechanism,
            "time_to_force_s",
            "",
            "configuration",
            ("configuration",),
            source_role="supervisor",
        )
        for name, suffix in (("99th percentile", "p99"), ("worst", "worst"))
    )


_EVERY_SUPERVISOR = Members(lambda t: t.sizes.supervisors, lambda t: f"x {t.sizes.supervisors:g} supervisors")
_EVERY_COLLECTOR = Members(
    lambda t: t.sizes.supervisors / t.sizes.zones,
    lambda t: f"x {t.sizes.supervisors:g} supervisors / {t.sizes.zones:g} collectors",
)
_CATALOG = Mechanism("one list of the platform, calls served one after another", "fakes/discovery.cpp")
_STORE = Mechanism("store of tables, a stream a supervisor", "fakes/relay.cpp")
_CALLS = Mechanism("stop-and-wait: one call of a supervisor at a time", "src/relay/update_calls.cpp")
_SUMS = Mechanism("sums over a window, a connection a supervisor", "fakes/collector.cpp")


def _busy_rows() -> tuple[Row, ...]:
    return tuple(
        Row("supervisor", "messages", name, metrics, BUSY, mechanism, "bytes_per_s", "", remedy, ("control",))
        for name, metrics, mechanism, remedy in (
            ("list in", (LIST,), _LIST, "source"),
            ("news in", (NEWS,), _NEWS, "acknowledgements"),
            ("orders out", (ORDERS,), _ORDERS, "scope"),
            ("all that it sends", SENT, _ORDERS, "scope"),
        )
    )


def _of(role: str, kind: str, quantity: str, metric: str, mechanism: Mechanism) -> Row:
    """A row of a role's own results at the size of all supervisors."""
    return Row(role, kind, quantity, (metric,), SUPERVISORS, mechanism)


def _added(role: str, quantity: str, metric: str, scope: Scope, mechanism: Mechanism, members: Members) -> Row:
    """A row of what the messages of one supervisor add up to at a role that serves many."""
    return Row(role, "messages", quantity, (metric,), scope, mechanism, source_role="supervisor", members=members)


ROWS = (
    *_supervisor_rows(FLEET),
    *_supervisor_rows(SERVICE),
    *_busy_rows(),
    _of("discovery", "state", "entries held", "state_entries", _CATALOG),
    _of("discovery", "state", "bytes held", "state_bytes", _CATALOG),
    _of("discovery", "messages", "list out", "list_out_bytes_per_s", _LIST),
    _of("discovery", "messages", "unsent to one watch, the most", "unsent_most_bytes", _LIST),
    _of("discovery", "messages", "calls waiting at the peak", "peak_calls_waiting", _BACKOFF),
    _added("discovery", "list out, busy fleet", LIST, BUSY, _LIST, _EVERY_SUPERVISOR),
    _added("discovery", "first lists out, all at once", "first_list_bytes", FLEET, _BACKOFF, _EVERY_SUPERVISOR),
    _of("discovery", "processor", "share of a core", "cpu_share", _CATALOG),
    _of("discovery", "memory", "resident", "resident_bytes", _CATALOG),
    _of("relay", "state", "entries held", "state_entries", _STORE),
    _of("relay", "state", "bytes held", "state_bytes", _STORE),
    _added("relay", "orders in, busy fleet", ORDERS, BUSY, _ORDERS, _EVERY_SUPERVISOR),
    _added("relay", "news out, busy fleet", NEWS, BUSY, _NEWS, _EVERY_SUPERVISOR),
    _of("relay", "messages", "unsent to one reader, the most", "unsent_most_bytes", _NEWS),
    _of("relay", "processor", "share of a core", "cpu_share", _CALLS),
    _of("relay", "memory", "resident", "resident_bytes", _STORE),
    _of("collector", "state", "connections held", "state_entries", _SUMS),
    _of("collector", "messages", "reports out, as the test sends them", "reports_out_bytes_per_s", _REPORTS),
    _added("collector", "reports out to every supervisor", REPORTS, FLEET, _REPORTS, _EVERY_COLLECTOR),
    _added("collector", "reports out to every supervisor", REPORTS, SERVICE, _REPORTS, _EVERY_COLLECTOR),
    _of("collector", "processor", "share of a core", "cpu_share", _SUMS),
    _of("collector", "memory", "resident", "resident_bytes", _SUMS),
    Row("proxy", "state", "table lines held", ("state_entries",), ALL_LINES, _PICK),
    Row("proxy", "memory", "tables", ("state_bytes",), ALL_LINES, _PICK),
    Row("proxy", "messages", "orders in", ("orders_in_bytes_per_s",), SUPERVISORS, _ORDERS),
    Row("proxy", "processor", "taking in orders, share of a core", ("cpu_share",), SUPERVISORS, _ORDERS),
    Row(
        "proxy",
        "processor",
        "pick, 99th percentile",
        ("pick_p99_ns",),
        ALL_LINES,
        _PICK,
        "added_latency_p99_s",
        blocks=("latency",),
    ),
    Row("proxy", "processor", "pick, median", ("pick_p50_ns",), ALL_LINES, _PICK),
    Row(
        "proxy",
        "processor",
        "pick, 99th percentile",
        ("pick_p99_ns",),
        SERVICE_LINES,
        _PICK,
        "added_latency_p99_s",
        blocks=("latency",),
    ),
    Row(
        "proxy",
        "processor",
        "pick timed one by one, 99th percentile",
        ("pick_single_p99_ns",),
        ALL_LINES,
        _PICK,
        "added_latency_p99_s",
        blocks=("latency",),
    ),
    *_times("change of the list, with the module of every supervisor", "time_to_force", _LIST),
    *_times("reload of addresses, with every supervisor", "time_to_reload", _RELOAD),
    Row("configuration", "state", "configurations of all supervisors", ("state_bytes",), SUPERVISORS, _RELOAD),
    Row(
        "configuration",
        "messages",
        "configuration in, all supervisors",
        (CONFIGURATION,),
        FLEET,
        _RELOAD,
        source_role="supervisor",
        members=_EVERY_SUPERVISOR,
    ),
)

GAPS = (
    Gap("supervisor", "no record of a tenant", "tenants", ("routes",)),
    Gap("supervisor", "no record of a service: one flat list of servers and of slices", "scope", ("fleet", "control")),
    Gap("supervisor", "no record of a region: zones stand side by side", "locality", ("regions",)),
    Gap(
        "supervisor",
        "a whole list that drops most servers is obeyed at once, unless the settings hold gone for advice",
        "panic",
        ("failures",),
    ),
)


@dataclasses.dataclass(frozen=True)
class ScenarioBudget:
    """The budget of a metric wherever a scale test tells it."""

    budget: str  # of targets.Budgets
    remedy: str  # key of REMEDIES
    blocks: tuple[str, ...]  # keys of LINES
    role: str = ""  # "": every role


_FORCE = ScenarioBudget("time_to_force_s", "configuration", ("configuration",))
_PICKED = ScenarioBudget("added_latency_p99_s", "", ("latency",), "proxy")
_STREAM = ScenarioBudget("bytes_per_s", "source", ("fleet", "control"), "supervisor")

SCENARIO_BUDGETS = {
    "time_to_force_p50_s": _FORCE,
    "time_to_force_p99_s": _FORCE,
    "time_to_force_worst_s": _FORCE,
    "time_to_reload_p50_s": _FORCE,
    "time_to_reload_p99_s": _FORCE,
    "time_to_reload_worst_s": _FORCE,
    "cpu_share": ScenarioBudget("cpu_share", "scope", ("fleet", "control"), "supervisor"),
    "resident_bytes": ScenarioBudget("memory_bytes", "scope", ("fleet", "control"), "supervisor"),
    "pick_p99_ns": _PICKED,
    "pick_single_p99_ns": _PICKED,
    "control_bytes_per_s": _STREAM,
    **{metric: _STREAM for metric in STREAMS.values()},
}

# Metrics that are properties of a scale test: they are shown for each size of a sweep, others only by their fit.
PROPERTY_PREFIXES = ("time_to_", "longest_", "peak_", "bare_", "stale_")
# Those that a test beside any sweep shows as well.
SHOWN = (
    "cpu_share",
    "resident_bytes",
    "control_bytes_per_s",
    "changes_unknown",
    "replies_missed",
    "without_list_at_start_s",
)
