"""Plays days with the bench: a bounded number side by side, each in a copy of the repository, each with a time limit."""

from __future__ import annotations

import json
import os
import queue
import shutil
import signal
import subprocess
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Callable, Optional

from . import copies
from .outcome import Outcome, Play, not_run, read_outcome

STOP_GRACE_S = 5.0
"""How long a bench that was told to end has, before it is killed."""


@dataclass(frozen=True)
class Net:
    """What all plays of a run share."""

    bench: Path
    site: Path
    root: Path
    scratch: Path
    logs: Optional[Path]
    limit_s: float
    why: str
    deploy: Optional[str] = None


def command(net: Net, play: Play, result: Path, logs: Path) -> list[str]:
    """The bench's command for one play."""
    words = [str(net.bench), str(net.site), "--rough", play.kind, "--seed", str(play.seed)]
    if play.nodes:
        words += ["--nodes", str(play.nodes)]
    if net.deploy:
        words += ["--deploy", net.deploy]
    return words + ["--no-build", "--json", str(result), "--logs", str(logs), "--why", net.why]


def end(process: subprocess.Popen[bytes]) -> None:
    """Ends a bench and what it started: its own process group, and nothing else."""
    for sign in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(process.pid, sign)
        except ProcessLookupError:
            break
        try:
            process.wait(STOP_GRACE_S)
        except subprocess.TimeoutExpired:
            continue
    process.wait()


def wait_for(process: subprocess.Popen[bytes], limit_s: float, stop: threading.Event) -> Optional[str]:
    """Waits for the bench to end; past the limit, or when the run is stopped, ends it and says so."""
    due = time.monotonic() + limit_s
    while True:
        try:
            process.wait(0.2)
            return None
        except subprocess.TimeoutExpired:
            if stop.is_set():
                end(process)
                return "the run was stopped"
            if time.monotonic() >= due:
                end(process)
                return f"not over after {limit_s:.0f} s"


def read_json(path: Path) -> Optional[dict[str, Any]]:
    """The JSON object of a file; nothing if there is none."""
    try:
        held = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    return held if isinstance(held, dict) else None


def keep_logs(net: Net, outcome: Outcome, work: Path) -> None:
    """Keeps what was printed, the JSON file and the supervisors' logs of a play that failed or did not run."""
    if net.logs is None or not (outcome.failed or outcome.not_run):
        return
    kept = net.logs / f"{outcome.play.kind}-{outcome.play.seed}"
    if kept.exists():
        shutil.rmtree(kept)
    shutil.copytree(work, kept)


def play_one(net: Net, play: Play, copy: Path, stop: threading.Event) -> Outcome:
    """Plays one day in a copy and reads what came out."""
    work = copy.with_name(copy.name + "-out")
    shutil.rmtree(work, ignore_errors=True)
    (work / "logs").mkdir(parents=True)
    known = copies.journal_names(copy)
    began = time.monotonic()
    with open(work / "printed.txt", "wb") as printed:
        process = subprocess.Popen(command(net, play, work / "result.json", work / "logs"), cwd=copy, stdin=subprocess.DEVNULL,
                                   stdout=printed, stderr=subprocess.STDOUT, start_new_session=True)
        cut_short = wait_for(process, net.limit_s, stop)
    took = round(time.monotonic() - began, 1)
    journal = copies.bring_back(copy, net.root, known)
    text = (work / "printed.txt").read_text(errors="replace")
    if cut_short:
        outcome = not_run(play, cut_short, journal)
    else:
        outcome = read_outcome(play, text, read_json(work / "result.json"), took, journal)
    keep_logs(net, outcome, work)
    return outcome


def play_all(net: Net, plays: list[Play], side_by_side: int, stop: threading.Event,
             report: Callable[[Outcome], None]) -> list[Outcome]:
    """Plays all days, `side_by_side` at a time; `report` is called for each that ends. A day never begun is not run."""
    waiting: queue.Queue[int] = queue.Queue()
    for number in range(len(plays)):
        waiting.put(number)
    outcomes: dict[int, Outcome] = {}
    lock = threading.Lock()

    def work(place: int) -> None:
        copy: Optional[Path] = None
        while not stop.is_set():
            try:
                number = waiting.get_nowait()
            except queue.Empty:
                return
            try:
                copy = copy or copies.make_copy(net.root, net.scratch / f"copy-{place}")
                outcome = play_one(net, plays[number], copy, stop)
            except (OSError, ValueError, TypeError, KeyError, subprocess.CalledProcessError) as error:
                outcome = not_run(plays[number], f"{type(error).__name__}: {error}")
            with lock:
                outcomes[number] = outcome
                report(outcome)

    threads = [threading.Thread(target=work, args=(place,)) for place in range(min(side_by_side, len(plays)))]
    for thread in threads:
        thread.start()
    for thread in threads:
        while thread.is_alive():
            thread.join(0.5)
    for number, play in enumerate(plays):
        if number not in outcomes:
            outcomes[number] = not_run(play, "the run was stopped before it")
            report(outcomes[number])
    return [outcomes[number] for number in range(len(plays))]
