"""Synthetic bench output, in the format of the printed lines and of the JSON file."""

from __future__ import annotations

from typing import Any, Optional


def printed(name: str = "gust+mass", verdict: str = "", rules: str = "rules kept, no fault", restarts: str = "") -> str:
    """Returns the printed output of the bench for one day."""
    return (
        "site pier-tickets  family control  requests 1200\n"
        "G 0.5000   whole day 0.6000   worst 10 s 0.4000 (from 2 s)\n"
        f"{rules}\n"
        "class browse           served 0.6000\n"
        "    1.50 s  something begins\n"
        f"nodes: ready after 0.5 s, restarts took [{restarts}] s\n"
        f"{name:<26} G 0.500  floor 0.100  top 0.900  served 0.600 (gate 0.300)  memory 1 of 64 MB  descriptors 9 of 99"
        f"  score 0.50{'  ' + verdict if verdict else ''}\n"
        "snapshot 0123abcd\n"
    )


def result(breaks: Optional[dict[str, Any]] = None, **changed: Any) -> dict[str, Any]:
    """Returns the JSON document of one day; `changed` replaces fields of its row."""
    row = {
        "served": 0.6, "served_least": 0.3, "score": 0.5, "gate": None, "fault": None,
        "by_class": [["browse", 0.6, 0.3], ["buy", 0.7, 0.35]], "by_tenant": [["fair|share", 0.4, 0.2]],
    }
    row.update(changed)
    return {"breaks": breaks or {}, "fault": row["fault"], "row": row, "real": {"seen": {"start_s": 0.5, "restart_s": []}}}
