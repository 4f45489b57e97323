"""Synthetic results for the tests of scale/report, and the targets of the repository."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import results
import targets

ROOT = Path(__file__).resolve().parents[2]
REVISION = "abcdef0"


def line(**changes: Any) -> dict[str, Any]:
    """Returns the fields of a valid result line; ``changes`` replace fields."""
    fields: dict[str, Any] = {
        "revision": REVISION,
        "machine": {"cores": 8, "memory_mb": 24000},
        "scenario": "made",
        "role": "supervisor",
        "variable": "servers",
        "value": 375,
        "repetition": 1,
        "seed": 7,
        "seconds": 10,
        "sizes": {"supervisors": 1, "servers": 375},
        "metrics": {"cpu_share": 0.01},
    }
    return {**fields, **changes}


def result(**changes: Any) -> results.Result:
    """Returns a parsed result line; ``changes`` replace fields."""
    return results.parse_line(json.dumps(line(**changes)), "made.jsonl:1")


def sweep(metric: str, by_size: dict[float, list[float]], **changes: Any) -> list[results.Result]:
    """Returns a sweep over servers: the repetitions of one metric at each size."""
    return [
        result(value=size, sizes={"servers": size}, repetition=k, metrics={metric: figure}, **changes)
        for size, figures in by_size.items()
        for k, figure in enumerate(figures, 1)
    ]


def plan() -> targets.Targets:
    """Reads scale/targets.json."""
    return targets.load(ROOT / "scale" / "targets.json")
