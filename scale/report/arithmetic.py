"""Calculations for each line of the target list except failures (see outages.py).

They use only the targets and measured figures, so that they follow a change of scale/targets.json.
"""

from __future__ import annotations

import math

import rows
from format import bytes_text, plain, ratio_text, seconds_text, share_text
from sheet import DAY_S, Sheet, number, rate

NANOSECONDS = 1e9  # of a second


def fleet(sheet: Sheet) -> None:
    """Supervisors, servers and services."""
    sizes = sheet.targets.sizes
    scoped = sizes.servers_per_service
    sheet.step(
        "supervisors a service",
        f"{sizes.supervisors:g} / {sizes.services:g}",
        number(sizes.supervisors / sizes.services),
    )
    sheet.step("servers a service", f"{sizes.servers:g} / {sizes.services:g}, rounded up", number(scoped))
    slices = math.ceil(sizes.routes / sizes.supervisors)
    sheet.step("slices held by a supervisor", f"{sizes.routes:g} / {sizes.supervisors:g}, rounded up", number(slices))
    reports = sizes.zones * sizes.servers
    sheet.step(
        "reports a second to a supervisor, whole fleet", f"{sizes.zones:g} zones x {sizes.servers:g}", number(reports)
    )
    sheet.step("the same of one service", f"{sizes.zones:g} x {scoped}", number(sizes.zones * scoped))
    sheet.step("less by subsetting", f"{sizes.servers:g} / {scoped}", ratio_text(sizes.servers / scoped))
    reports_in = sheet.figure(rows.REPORTS, rows.FLEET)
    sheet.measured("bytes a report", f"/ {reports:g}", reports_in, "bytes_per_s", lambda v: bytes_text(v / reports))
    every = f"x {sizes.supervisors:g}"
    sheet.measured(
        "reports in, all supervisors", every, reports_in, "bytes_per_s", lambda v: rate(v * sizes.supervisors)
    )
    for name, scope in (("whole fleet", rows.FLEET), ("one service", rows.SERVICE)):
        cpu = sheet.figure("cpu_share", scope)
        title = f"cores of all supervisors, {name} seen"
        sheet.measured(title, every, cpu, "share", lambda v: number(v * sizes.supervisors))


def requests(sheet: Sheet) -> None:
    """Requests per second."""
    sizes = sheet.targets.sizes
    peak = sizes.requests_per_second
    for name, count in (("server", sizes.servers), ("route", sizes.routes), ("tenant", sizes.tenants)):
        sheet.step(f"requests a {name}", f"{peak:g} / {count:g}", f"{number(peak / count)}/s")
    sheet.step(
        "requests of the slices of one supervisor",
        f"{peak:g} / {sizes.supervisors:g}",
        f"{number(peak / sizes.supervisors)}/s",
    )
    sheet.step("messages at a supervisor for each request", "reports are sums of a window", "0")
    pick = sheet.figure("pick_p50_ns", rows.ALL_LINES, "proxy")
    title = "cores of all proxies together spent on picking"
    sheet.measured(title, f"x {peak:g}/s", pick, "ns", lambda v: number(v * peak / NANOSECONDS))


def routes(sheet: Sheet) -> None:
    """Routes and tenants."""
    sizes, each = sheet.targets.sizes, sheet.targets.assumptions.tenant_entry_bytes
    sheet.step("routes a service", f"{sizes.routes:g} / {sizes.services:g}", number(sizes.routes / sizes.services))
    sheet.step("tenants a service", f"{sizes.tenants:g} / {sizes.services:g}", number(sizes.tenants / sizes.services))
    sheet.step("tenants a route", f"{sizes.tenants:g} / {sizes.routes:g}", number(sizes.tenants / sizes.routes))
    for name, count, scope in (
        ("at most", sizes.servers, rows.ALL_LINES),
        ("servers of a service", sizes.servers_per_service, rows.SERVICE_LINES),
    ):
        sheet.step(
            f"table lines at a proxy, {name}", f"{sizes.routes:g} routes x {count:g}", number(sizes.routes * count)
        )
        held = sheet.figure("state_bytes", scope, "proxy")
        sheet.measured(f"bytes of these, {name}", "reference pick", held, "bytes", bytes_text)
    sheet.step(
        "all tenants, one entry each", f"{sizes.tenants:g} x {each:g} B (assumed)", bytes_text(sizes.tenants * each)
    )
    sheet.step("tenants of one service", f"/ {sizes.services:g}", bytes_text(sizes.tenants * each / sizes.services))


def latency(sheet: Sheet) -> None:
    """Latency added to a request."""
    budget = sheet.targets.budgets.added_latency_p99_s
    sheet.step("budget, 99 in 100", "target", seconds_text(budget))
    sheet.step("added by a supervisor", "not on the path", "0")
    for name, metric, scope in (
        ("pick, p99, a line for every server", "pick_p99_ns", rows.ALL_LINES),
        ("pick, p99, servers of a service", "pick_p99_ns", rows.SERVICE_LINES),
        ("pick timed one by one, p99, a line for every server", "pick_single_p99_ns", rows.ALL_LINES),
    ):
        pick = sheet.figure(metric, scope, "proxy")
        sheet.measured(name, f"/ {seconds_text(budget)}", pick, "ns", lambda v: share_text(v / NANOSECONDS / budget))


def regions(sheet: Sheet) -> None:
    """Regions and zones."""
    sizes, each = sheet.targets.sizes, sheet.targets.assumptions.list_entry_bytes
    changes = sizes.servers / sizes.zones
    parts = f"/ {sizes.zones:g}, / {sizes.regions:g}"
    sheet.step("zones a region", f"{sizes.zones:g} / {sizes.regions:g}", number(sizes.zones / sizes.regions))
    sheet.step(
        "servers a zone, a region",
        f"{sizes.servers:g} {parts}",
        f"{number(changes)}, {number(sizes.servers / sizes.regions)}",
    )
    zone, region = math.ceil(sizes.supervisors / sizes.zones), math.ceil(sizes.supervisors / sizes.regions)
    sheet.step("supervisors a zone, a region", f"{sizes.supervisors:g} {parts}, rounded up", f"{zone}, {region}")
    machines = f"{sizes.control_machines:g} {parts}, rounded up, x {sizes.supervisors_per_machine}"
    lost = f"{sizes.supervisors_lost_with(sizes.zones)}, {sizes.supervisors_lost_with(sizes.regions)}"
    sheet.step("the same, upper bound: complete control machines are lost", machines, lost)
    change_bytes = changes * each
    sheet.step(
        "list changes when a zone is lost, to a supervisor",
        f"{changes:g} x {each:g} B (assumed)",
        bytes_text(change_bytes),
    )
    sheet.step("the same to all supervisors", f"x {sizes.supervisors:g}", bytes_text(change_bytes * sizes.supervisors))


def configuration(sheet: Sheet) -> None:
    """Changes of configuration."""
    sizes, budgets = sheet.targets.sizes, sheet.targets.budgets
    changes, within = sizes.configuration_changes_per_day, budgets.time_to_force_s
    sheet.step("time between changes", f"{DAY_S} s / {changes:g}", seconds_text(DAY_S / changes))
    sheet.step(
        "changes under way at a time", f"{changes:g} x {within:g} s / {DAY_S} s", number(changes * within / DAY_S)
    )
    restarts, usual = changes * sizes.supervisors, sheet.targets.failures.machines_restarted_per_day
    sheet.step("restarts a day if each change needs one", f"{changes:g} x {sizes.supervisors:g}", number(restarts))
    sheet.step("ratio to the other restarts of a day", f"/ {usual:g}", ratio_text(restarts / usual))
    sheet.step(
        "restarts a second to be done in time",
        f"{sizes.supervisors:g} / {within:g} s",
        number(sizes.supervisors / within),
    )
    share = f"{budgets.bytes_per_s:g} B/s x {DAY_S} s / {changes:g}"
    sheet.step(
        "bytes available for a change, if it uses the complete budget",
        share,
        bytes_text(budgets.bytes_per_s * DAY_S / changes),
    )
    tenants = sizes.tenants * sheet.targets.assumptions.tenant_entry_bytes
    full_rate = tenants * changes / DAY_S
    sheet.step(
        "all tenants sent in full with each change",
        f"{bytes_text(tenants)} (assumed) x {changes:g} / {DAY_S} s",
        rate(full_rate),
    )
    sheet.step("ratio to the budget", f"/ {rate(budgets.bytes_per_s)}", ratio_text(full_rate / budgets.bytes_per_s))
    sheet.step(
        "tenants of one service sent in full with each change",
        f"/ {sizes.services:g}",
        rate(full_rate / sizes.services),
    )
    for name, metric in (
        ("a change of the list", "time_to_force_worst_s"),
        ("a reload of addresses", "time_to_reload_worst_s"),
    ):
        worst = sheet.figure(metric, rows.SUPERVISORS)
        title = f"time until {name} has reached every supervisor, worst"
        sheet.measured(title, "simulated fleet", worst, "s", seconds_text)


def control(sheet: Sheet) -> None:
    """Resources that the supervisors may use."""
    sizes, budgets = sheet.targets.sizes, sheet.targets.budgets
    each, left = sizes.supervisors / sizes.control_machines, sizes.control_machines - 1

    def machine(count: float) -> str:
        return (
            f"{number(count * budgets.cpu_share)} cores, {bytes_text(count * budgets.memory_bytes)}, "
            f"{rate(count * budgets.bytes_per_s)}"
        )

    shared = f"{sizes.supervisors:g} / {sizes.control_machines:g}"
    sheet.step("budget of a supervisor", "target", machine(1))
    sheet.step("supervisors a control machine", f"{shared}, rounded up", plain(sizes.supervisors_per_machine))
    sheet.step("budget of a control machine", shared, machine(each))
    sheet.step("the same with one machine lost", f"{sizes.supervisors:g} / {left:g}", machine(sizes.supervisors / left))
    sheet.step("budget of all supervisors", f"x {sizes.supervisors:g}", machine(sizes.supervisors))
    for name, scope in (("whole fleet", rows.FLEET), ("one service", rows.SERVICE)):
        cpu, memory = sheet.figure("cpu_share", scope), sheet.figure("resident_bytes", scope)
        calculation = f"x {number(each)}"
        sheet.measured(
            f"cores of a control machine, {name} seen", calculation, cpu, "share", lambda v: number(v * each)
        )
        sheet.measured(
            f"memory of a control machine, {name} seen", calculation, memory, "bytes", lambda v: bytes_text(v * each)
        )
