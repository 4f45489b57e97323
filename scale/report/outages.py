"""Calculations for failures: ordinary days, and many supervisors that reconnect at once."""

from __future__ import annotations

import math
from typing import Callable

import rows
from format import bytes_text, ratio_text, seconds_text, share_text
from sheet import BITS, DAY_S, HOUR_S, MINUTE_S, Sheet, number, rate

MEGA = 1e6


def failures(sheet: Sheet) -> None:
    """Failures of ordinary days, as shares of time. Assumes the worst case, that all restarts are of supervisors."""
    failure_rates, assumptions, sizes = sheet.targets.failures, sheet.targets.assumptions, sheet.targets.sizes
    restarts, failed, within = (
        failure_rates.machines_restarted_per_day,
        failure_rates.machines_failed_per_day,
        sheet.targets.budgets.time_to_force_s,
    )
    sheet.step("time between restarts", f"{DAY_S} s / {restarts:g}", seconds_text(DAY_S / restarts))
    sheet.step("time between failures", f"{DAY_S} s / {failed:g}", f"{number(DAY_S / failed / HOUR_S)} h")
    for name, seconds in (
        ("for each second that a restart takes", 1),
        ("with the latest readiness after a start", assumptions.supervisor_ready_s),
        ("with restarts that take the budget of a change", within),
    ):
        share = share_text(restarts * seconds / DAY_S)
        sheet.step(f"time in which some table is late, {name}", f"{restarts:g} x {seconds:g} s / {DAY_S} s", share)
    touched = sizes.routes / sizes.supervisors
    one = restarts * within / DAY_S * touched / sizes.routes
    sheet.step(
        "time in which one given table is late, the last case",
        f"x {number(touched)} of {sizes.routes:g} tables",
        share_text(one),
    )
    listed = failed * assumptions.list_told_s / DAY_S
    sheet.step(
        "time in which some failed server is still listed",
        f"{failed:g} x {assumptions.list_told_s:g} s / {DAY_S} s",
        share_text(listed),
    )
    changes = (restarts + failed) * assumptions.list_changes_per_restart
    sheet.step(
        "list changes a day",
        f"({restarts:g} + {failed:g}) x {assumptions.list_changes_per_restart:g} (assumed)",
        number(changes),
    )
    change_bytes = changes * assumptions.list_entry_bytes / DAY_S
    sheet.step(
        "list changes to one supervisor",
        f"x {assumptions.list_entry_bytes:g} B (assumed) / {DAY_S} s",
        rate(change_bytes),
    )


def reconnect(sheet: Sheet) -> None:
    """Many watches that reconnect at once to a discovery service that handles calls one after another."""
    sizes, within = sheet.targets.sizes, sheet.targets.budgets.time_to_force_s
    full_list, service = sheet.figure("first_list_bytes", rows.FLEET), sheet.figure("first_list_bytes", rows.SERVICE)
    for name, count in (
        ("a control machine", sizes.supervisors_per_machine),
        ("a zone, complete control machines", sizes.supervisors_lost_with(sizes.zones)),
        ("a region, complete control machines", sizes.supervisors_lost_with(sizes.regions)),
        ("all", math.ceil(sizes.supervisors)),
    ):
        sheet.measured(f"full lists, supervisors of {name}", f"x {count}", full_list, "bytes", _bytes_of(count))
    bits = sizes.supervisors * BITS / within / MEGA
    title = "bandwidth that carries all lists within the budget of a change"
    sheet.measured(
        title,
        f"x {sizes.supervisors:g} x {BITS} / {within:g} s",
        full_list,
        "bytes",
        lambda v: f"{number(v * bits)} Mbit/s",
    )
    every = _bytes_of(sizes.supervisors)
    sheet.measured("all lists, one service each (if scoped)", f"x {sizes.supervisors:g}", service, "bytes", every)
    _resumed(sheet)
    for name, limit in (
        ("the limit for the first line", sheet.targets.assumptions.first_line_s),
        ("the limit for an announced change", sheet.targets.assumptions.list_told_s),
        ("the budget of a change", within),
    ):
        title = f"time available for a call, so that the last ends within {name}"
        sheet.step(title, f"{limit:g} s / {sizes.supervisors:g}", seconds_text(limit / sizes.supervisors))


def _resumed(sheet: Sheet) -> None:
    failure_rates, assumptions = sheet.targets.failures, sheet.targets.assumptions
    missed = (
        failure_rates.machines_restarted_per_day
        * failure_rates.region_cut_minutes
        * MINUTE_S
        / DAY_S
        * assumptions.list_changes_per_restart
    )
    size = missed * assumptions.list_entry_bytes
    restarts = f"{failure_rates.machines_restarted_per_day:g} restarts a day x {assumptions.list_changes_per_restart:g}"
    sheet.step(
        "list changes missed while a region is cut off",
        f"{failure_rates.region_cut_minutes:g} min of {restarts}",
        number(missed),
    )
    sheet.step(
        "bytes of these, resumed by revision", f"x {assumptions.list_entry_bytes:g} B (assumed)", bytes_text(size)
    )
    full_list = sheet.figure("first_list_bytes", rows.FLEET)
    sheet.measured(
        "ratio of the full list to these bytes",
        f"/ {bytes_text(size)}",
        full_list,
        "bytes",
        lambda v: ratio_text(v / size),
    )


def _bytes_of(count: float) -> Callable[[float], str]:
    return lambda value: bytes_text(value * count)
