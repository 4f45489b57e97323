"""Ends a process together with its child processes. The process must be the leader of a process group of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Optional

STOP_GRACE_S = 5.0
"""How long a process group may take to exit after SIGTERM before it is killed."""

POLL_INTERVAL_S = 0.05

ENDED_STATES = ("Z", "X", "x")
"""The states of processes that have exited: zombie and dead."""


def running_members(group: int) -> list[int]:
    """Returns the running processes of a process group."""
    pids = [int(entry.name) for entry in Path("/proc").iterdir() if entry.name.isdigit()]
    return [pid for pid in pids if (status := _status(pid)) and status.running and status.group == group]


def terminate(leader: subprocess.Popen[bytes]) -> None:
    """Terminates exactly the process group of `leader` and returns once none of its processes runs, the leader's children
    included: they exit later than the leader. SIGKILL follows for those that run on after STOP_GRACE_S."""
    for signal_number in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(leader.pid, signal_number)
        except ProcessLookupError:
            break
        if _wait_until_ended(leader, STOP_GRACE_S):
            break
    leader.wait()


@dataclass(frozen=True)
class _Status:
    """What proc(5) tells about a process."""

    running: bool
    group: int


def _status(pid: int) -> Optional[_Status]:
    """Returns the status of a process; None if there is no such process."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    # The command stands in parentheses before these fields and may contain any character.
    state, _parent, group = stat.rsplit(")", 1)[1].split()[:3]
    return _Status(running=state not in ENDED_STATES, group=int(group))


def _wait_until_ended(leader: subprocess.Popen[bytes], limit_s: float) -> bool:
    """Waits until no process of the group runs. Returns False if one still runs after the time limit."""
    deadline = time.monotonic() + limit_s
    while True:
        leader.poll()
        if not running_members(leader.pid):
            return True
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_INTERVAL_S)
