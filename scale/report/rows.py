"""The rows of the capacity page, the mechanism behind each row, and the missing capabilities.

A row names a metric of the results, the size at which it applies, its budget, the mechanism by its standard name with
its file in the code ("" if the mechanism is missing), the mechanism that would resolve the row if it is red, and the
lines of the target list that cannot be met while it is red.
"""

from __future__ import annotations

import dataclasses
from typing import Callable, Optional

from targets import Targets


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the target list; ``key`` is the name of its section in the generated tables."""

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

# Mechanisms that are missing, completely or in part, by key: the standard name and its meaning in this system.
REMEDIES = {
    "configuration": "dynamic configuration: versioned, validated as a unit, applied atomically, last known good",
    "scope": "subsetting: a supervisor stores and balances only services of its own tables, discards the rest unparsed",
    "source": (
        "subsetting at the source: a supervisor is sent only its services (collectors, discovery: the platform's)"
    ),
    "conflation": "conflation at the source: reports on a change, or less often (collectors: the platform's)",
    "acknowledgements": "cumulative acknowledgements: one confirmation for many proxies (relay: the platform's)",
    "tenants": "per-tenant admission (quotas)",
    "locality": "locality hierarchy: regions above zones",
    "panic": "panic threshold: a list that omits many servers at once is not applied immediately",
}


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """The mechanism behind a row: its standard name and its file; without a file it is missing."""

    name: str
    place: str = ""

    def text(self) -> str:
        """Formats the mechanism for a table cell."""
        return f"{self.name} (`{self.place}`)" if self.place else f"{self.name}: **missing**"


@dataclasses.dataclass(frozen=True)
class Sweep:
    """A swept variable and its target value."""

    variable: str
    size: Callable[[Targets], float]


@dataclasses.dataclass(frozen=True)
class Scope:
    """The size at which a row applies, in each sweep that can measure it."""

    name: str
    sweeps: tuple[Sweep, ...]
    fixed: tuple[tuple[str, Callable[[Targets], float]], ...] = ()  # required values of sizes that lines name
    planned: tuple[str, ...] = ()  # a scale test without a sweep is of the target size if these sizes match


@dataclasses.dataclass(frozen=True)
class Members:
    """The number of members over which the figure of a row is summed."""

    count: Callable[[Targets], float]
    calculation: Callable[[Targets], str]


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of a role's table."""

    role: str  # the table that the row belongs to
    kind: str  # state, messages, processor, memory, time
    quantity: str
    metrics: tuple[str, ...]  # several are summed
    scope: Scope
    mechanism: Mechanism
    budget: str = ""  # field of targets.Budgets; "" if none is stated
    budget_text: str = ""
    remedy: str = ""  # key of REMEDIES
    blocks: tuple[str, ...] = ()  # keys of LINES
    source_role: str = ""  # the role that the results are from, if it is not ``role``
    members: Optional[Members] = None


@dataclasses.dataclass(frozen=True)
class Gap:
    """A capability that the code lacks. Figure and budget are calculated from the targets, without measurements."""

    role: str
    what: str
    remedy: str
    blocks: tuple[str, ...]
    figure: Optional[Callable[[Targets], float]] = None
    budget: Optional[Callable[[Targets], float]] = None
    unit: str = ""  # of both, printed after the number


# Every collector reports every server once per period, with the assumed period.
_ALL_REPORTED = (("reports_every_s", lambda t: t.assumptions.report_period_s), ("reported", lambda t: 0))
FLEET = Scope("whole fleet (as built)", (Sweep("servers", lambda t: t.sizes.servers),), _ALL_REPORTED)
SERVICE = Scope("one service (if scoped)", (Sweep("servers", lambda t: t.sizes.servers_per_service),), _ALL_REPORTED)
# The ladder scales all planned sizes by one factor; factor 1 is the plan.
SUPERVISORS = Scope(
    "all supervisors",
    (Sweep("ladder", lambda t: 1), Sweep("supervisors", lambda t: t.sizes.supervisors)),
    planned=("supervisors", "servers"),
)
BUSY = Scope("busy fleet, proxies as assumed", (Sweep("proxies", lambda t: t.assumptions.proxies),))
ALL_LINES = Scope("a line for every server", (Sweep("lines", lambda t: t.sizes.servers),))
SERVICE_LINES = Scope("a line for each server of a service", (Sweep("lines", lambda t: t.sizes.servers_per_service),))

_ROUTE_RECORDS = Mechanism(
    "records by server name, deleted a minute after the server was removed", "src/decision/route_usage.cpp"
)
_LIST = Mechanism("list and watch, resumed by revision", "src/discovery/discovery.cpp")
_NEWS = Mechanism("snapshot, then differences only", "src/relay/store_view.cpp")
_ORDERS = Mechanism("incremental updates by urgency, never repeated", "src/decision/update_scheduler.cpp")
_REPORTS = Mechanism("windowed sums aggregated by a collector a zone", "src/clients/messages.cpp")
_RELOAD = Mechanism("reload on SIGHUP: addresses, and settings where allowed", "src/supervisor/config_reload.cpp")
_BATCHING = Mechanism("batching: one run of the decision engine for all events", "src/supervisor/engine_runner.cpp")
_MEMORY_LIMITS = Mechanism("bounded buffers, shares of the memory limit", "src/supervisor/memory_budget.h")
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

# Sizes that tables show, in display order; a scale test may have more.
DISPLAYED_SIZES = (
    "supervisors",
    "real",
    "servers",
    "reported",
    "services",
    "routes",
    "slices",
    "proxies",
    "zones",
    "lines",
)


def _supervisor_rows(scope: Scope) -> tuple[Row, ...]:
    def messages(quantity: str, metrics: tuple[str, ...], mechanism: Mechanism, remedy: str) -> Row:
        blocks = ("control",) if scope is SERVICE else ("fleet", "control")
        return Row("supervisor", "messages", quantity, metrics, scope, mechanism, "bytes_per_s", "", remedy, blocks)

    reports = "conflation" if scope is SERVICE else "source"
    return (
        Row("supervisor", "state", "entries held", ("state_entries",), scope, _ROUTE_RECORDS),
        Row("supervisor", "state", "bytes held", ("state_bytes",), scope, _ROUTE_RECORDS),
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
            _BATCHING,
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
            _MEMORY_LIMITS,
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
_DISCOVERY_LIST = Mechanism("one list of the platform, calls served one after another", "fakes/discovery.cpp")
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


def _own_row(role: str, kind: str, quantity: str, metric: str, mechanism: Mechanism) -> Row:
    """A row from the results of the role itself, at the size of all supervisors."""
    return Row(role, kind, quantity, (metric,), SUPERVISORS, mechanism)


def _summed_row(role: str, quantity: str, metric: str, scope: Scope, mechanism: Mechanism, members: Members) -> Row:
    """A row of the messages of many supervisors, summed up at the role that serves them."""
    return Row(role, "messages", quantity, (metric,), scope, mechanism, source_role="supervisor", members=members)


ROWS = (
    *_supervisor_rows(FLEET),
    *_supervisor_rows(SERVICE),
    *_busy_rows(),
    _own_row("discovery", "state", "entries held", "state_entries", _DISCOVERY_LIST),
    _own_row("discovery", "state", "bytes held", "state_bytes", _DISCOVERY_LIST),
    _own_row("discovery", "messages", "list out", "list_out_bytes_per_s", _LIST),
    _own_row("discovery", "messages", "unsent to one watch, the most", "unsent_most_bytes", _LIST),
    _own_row("discovery", "messages", "calls waiting at the peak", "peak_calls_waiting", _BACKOFF),
    _summed_row("discovery", "list out, busy fleet", LIST, BUSY, _LIST, _EVERY_SUPERVISOR),
    _summed_row("discovery", "first lists out, all at once", "first_list_bytes", FLEET, _BACKOFF, _EVERY_SUPERVISOR),
    _own_row("discovery", "processor", "share of a core", "cpu_share", _DISCOVERY_LIST),
    _own_row("discovery", "memory", "resident", "resident_bytes", _DISCOVERY_LIST),
    _own_row("relay", "state", "entries held", "state_entries", _STORE),
    _own_row("relay", "state", "bytes held", "state_bytes", _STORE),
    _summed_row("relay", "orders in, busy fleet", ORDERS, BUSY, _ORDERS, _EVERY_SUPERVISOR),
    _summed_row("relay", "news out, busy fleet", NEWS, BUSY, _NEWS, _EVERY_SUPERVISOR),
    _own_row("relay", "messages", "unsent to one reader, the most", "unsent_most_bytes", _NEWS),
    _own_row("relay", "processor", "share of a core", "cpu_share", _CALLS),
    _own_row("relay", "memory", "resident", "resident_bytes", _STORE),
    _own_row("collector", "state", "connections held", "state_entries", _SUMS),
    _own_row("collector", "messages", "reports out, as the test sends them", "reports_out_bytes_per_s", _REPORTS),
    _summed_row("collector", "reports out to every supervisor", REPORTS, FLEET, _REPORTS, _EVERY_COLLECTOR),
    _summed_row("collector", "reports out to every supervisor", REPORTS, SERVICE, _REPORTS, _EVERY_COLLECTOR),
    _own_row("collector", "processor", "share of a core", "cpu_share", _SUMS),
    _own_row("collector", "memory", "resident", "resident_bytes", _SUMS),
    Row("proxy", "state", "table lines held", ("state_entries",), ALL_LINES, _PICK),
    Row("proxy", "memory", "tables", ("state_bytes",), ALL_LINES, _PICK),
    Row("proxy", "messages", "orders in", ("orders_in_bytes_per_s",), SUPERVISORS, _ORDERS),
    Row("proxy", "processor", "processing orders, share of a core", ("cpu_share",), SUPERVISORS, _ORDERS),
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
    *_times("change of the list, until the decision engine of every supervisor has it", "time_to_force", _LIST),
    *_times("reload of addresses, until every supervisor has it", "time_to_reload", _RELOAD),
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
    Gap("supervisor", "no record of a region: zones are not grouped", "locality", ("regions",)),
    Gap(
        "supervisor",
        "a complete list that omits most servers is applied at once, unless the settings treat removal as advice",
        "panic",
        ("failures",),
    ),
)


@dataclasses.dataclass(frozen=True)
class ScenarioBudget:
    """The budget of a metric in every scale test that measures it."""

    budget: str  # field of targets.Budgets
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

# Prefixes of metrics that are properties of a scale test. These are shown for each size of a sweep; for other metrics
# only the fit is shown.
PROPERTY_PREFIXES = ("time_to_", "longest_", "peak_", "bare_", "stale_")
# Further metrics that are shown for a scale test without a sweep.
DISPLAYED_METRICS = (
    "cpu_share",
    "resident_bytes",
    "control_bytes_per_s",
    "changes_unknown",
    "replies_missed",
    "without_list_at_start_s",
)
