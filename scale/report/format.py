"""Formats figures for the page: three significant digits, thousands separators, unit by the name of the metric."""

from __future__ import annotations

import math
from typing import Sequence

NOT_MEASURED = "not measured"
_MIN_RATIO = 0.001  # smaller ratios are shown as "<0.001x"
_SUFFIXES = ("_bytes_per_s", "_bytes", "_share", "_ns", "_per_s", "_s")


def unit_of(metric: str) -> str:
    """Returns the unit at the end of a metric name, or "" for a count."""
    for suffix in _SUFFIXES:
        if metric.endswith(suffix):
            return suffix[1:]
    return ""


def plain(value: float) -> str:
    """Formats a number with three significant digits; integers of up to nine digits are shown in full."""
    if value == int(value) and abs(value) < 1e9:
        return f"{int(value):,}"
    if abs(value) >= 100:
        digits = 2 - math.floor(math.log10(abs(value)))
        return f"{round(value, digits):,.0f}"
    return f"{value:.3g}"


def _scaled(value: float, units: tuple[tuple[float, str], ...]) -> str:
    for factor, name in units:
        if abs(value) >= factor:
            return f"{plain(float(f'{value / factor:.3g}'))} {name}"
    factor, name = units[-1]
    return f"{plain(float(f'{value / factor:.3g}'))} {name}"


def bytes_text(value: float) -> str:
    """Formats bytes, with decimal prefixes (KB, MB, GB)."""
    return _scaled(value, ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1, "B")))


def seconds_text(value: float) -> str:
    """Formats a time in seconds, with s, ms, us or ns as the unit."""
    return _scaled(value, ((1, "s"), (1e-3, "ms"), (1e-6, "us"), (1e-9, "ns")))


def share_text(value: float) -> str:
    """Formats a share as a percentage."""
    return f"{value * 100:.3g}%"


def quantity(value: float, unit: str) -> str:
    """Formats a value with its unit; ``unit`` is a result of unit_of."""
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
    """Formats a ratio with two significant digits."""
    if 0 < value < _MIN_RATIO:
        return f"<{_MIN_RATIO:g}x"
    return f"{float(f'{value:.2g}'):,g}x"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Formats a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)
