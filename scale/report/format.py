"""Figures as the page shows them: three significant digits, thousands parted, the unit from the metric's name."""

from __future__ import annotations

import math
from typing import Sequence

NOT_MEASURED = "not measured"
_LEAST_RATIO = 0.001  # smaller ones are shown as less than this
_SUFFIXES = ("_bytes_per_s", "_bytes", "_share", "_ns", "_per_s", "_s")


def unit_of(metric: str) -> str:
    """The unit that a metric's name ends in, or "" for a count."""
    for suffix in _SUFFIXES:
        if metric.endswith(suffix):
            return suffix[1:]
    return ""


def plain(value: float) -> str:
    """A number with three significant digits; whole ones of up to nine digits are shown in full."""
    if value == int(value) and abs(value) < 1e9:
        return f"{int(value):,}"
    if abs(value) >= 100:
        digits = 2 - math.floor(math.log10(abs(value)))
        return f"{round(value, digits):,.0f}"
    return f"{value:.3g}"


def _scaled(value: float, units: tuple[tuple[float, str], ...]) -> str:
    for least, name in units:
        if abs(value) >= least:
            return f"{plain(float(f'{value / least:.3g}'))} {name}"
    least, name = units[-1]
    return f"{plain(float(f'{value / least:.3g}'))} {name}"


def bytes_text(value: float) -> str:
    """Bytes in powers of a thousand."""
    return _scaled(value, ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1, "B")))


def seconds_text(value: float) -> str:
    """Seconds, or a part of them."""
    return _scaled(value, ((1, "s"), (1e-3, "ms"), (1e-6, "us"), (1e-9, "ns")))


def share_text(value: float) -> str:
    """A share as hundredths."""
    return f"{value * 100:.3g}%"


def quantity(value: float, unit: str) -> str:
    """A value with its unit, as unit_of names it."""
    if unit == "bytes":
        return bytes_text(value)
    if unit == "bytes_per_s":
        return f"{bytes_text(value)}/s"
    if unit == "per_s":
        return f"{quantity(value, '')}/s"
    if unit == "share":
        return share_text(value)
    if unit == "s":
        return seconds_text(value)
    if unit == "ns":
        return seconds_text(value / 1e9)
    return plain(float(f"{value:.3g}")) if value != int(value) else plain(value)


def ratio_text(value: float) -> str:
    """How many times the budget, two digits."""
    if 0 < value < _LEAST_RATIO:
        return f"<{_LEAST_RATIO:g}x"
    return f"{float(f'{value:.2g}'):,g}x"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)
