"""Runs days with the bench: a bounded number in parallel, each in its own copy of the repository, with a time limit."""

from __future__ import annotations

import json
import queue
import shutil
import subprocess
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Callable, Optional

from . import copies
from .outcome import Outcome, Run, not_run, read_outcome
from .process_group import terminate


@dataclass(frozen=True)
class Settings:
    """The settings that all runs of a batch share."""

    bench: Path
    site: Path
    root: Path
    scratch: Path
    logs: Optional[Path]
    limit_s: float
    why: str
    deploy: Optional[str] = None


def bench_command(settings: Settings, run: Run, result: Path, logs: Path) -> list[str]:
    """Returns the command line of the bench for one run."""
    words = [str(settings.bench), str(settings.site), "--rough", run.kind, "--seed", str(run.seed)]
    if run.nodes:
        words += ["--nodes", str(run.nodes)]
    if settings.deploy:
        words += ["--deploy", settings.deploy]
    return words + ["--no-build", "--json", str(result), "--logs", str(logs), "--why", settings.why]


def wait_until_done(process: subprocess.Popen[bytes], limit_s: float, stop: threading.Event) -> Optional[str]:
    """Waits for the bench to exit. After the time limit, or if the batch is stopped, terminates it and returns the reason."""
    deadline = time.monotonic() + limit_s
    while True:
        try:
            process.wait(0.2)
            return None
        except subprocess.TimeoutExpired:
            if stop.is_set():
                terminate(process)
                return "the batch was stopped"
            if time.monotonic() >= deadline:
                terminate(process)
                return f"time limit of {limit_s:.0f} s exceeded"


def read_json(path: Path) -> Optional[dict[str, Any]]:
    """Returns the JSON object of a file; None if the file is missing or invalid."""
    try:
        document = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    return document if isinstance(document, dict) else None


def save_logs(settings: Settings, outcome: Outcome, work: Path) -> None:
    """Saves the output, the JSON file and the supervisor logs of a run that failed or did not complete."""
    if settings.logs is None or not (outcome.failed or outcome.not_run):
        return
    target = settings.logs / f"{outcome.run.kind}-{outcome.run.seed}"
    if target.exists():
        shutil.rmtree(target)
    shutil.copytree(work, target)


def run_one(settings: Settings, run: Run, copy: Path, stop: threading.Event) -> Outcome:
    """Runs one day in a copy and reads its outcome."""
    work = copy.with_name(copy.name + "-out")
    shutil.rmtree(work, ignore_errors=True)
    (work / "logs").mkdir(parents=True)
    known = copies.journal_names(copy)
    began = time.monotonic()
    with open(work / "printed.txt", "wb") as printed:
        process = subprocess.Popen(bench_command(settings, run, work / "result.json", work / "logs"), cwd=copy,
                                   stdin=subprocess.DEVNULL, stdout=printed, stderr=subprocess.STDOUT, start_new_session=True)
        stop_reason = wait_until_done(process, settings.limit_s, stop)
    wall_s = round(time.monotonic() - began, 1)
    journal = copies.copy_journal_back(copy, settings.root, known)
    text = (work / "printed.txt").read_text(errors="replace")
    if stop_reason:
        outcome = not_run(run, stop_reason, journal)
    else:
        outcome = read_outcome(run, text, read_json(work / "result.json"), wall_s, journal)
    save_logs(settings, outcome, work)
    return outcome


def run_all(settings: Settings, runs: list[Run], jobs: int, stop: threading.Event,
            report: Callable[[Outcome], None]) -> list[Outcome]:
    """Runs all days, `jobs` at a time, and calls `report` after each. If `stop` is set, days not yet started count as not
    run."""
    pending: queue.Queue[int] = queue.Queue()
    for number in range(len(runs)):
        pending.put(number)
    outcomes: dict[int, Outcome] = {}
    lock = threading.Lock()

    def worker(index: int) -> None:
        copy: Optional[Path] = None
        while not stop.is_set():
            try:
                number = pending.get_nowait()
            except queue.Empty:
                return
            try:
                copy = copy or copies.clone_repository(settings.root, settings.scratch / f"copy-{index}")
                outcome = run_one(settings, runs[number], copy, stop)
            except (OSError, ValueError, TypeError, KeyError, subprocess.CalledProcessError) as error:
                outcome = not_run(runs[number], f"{type(error).__name__}: {error}")
            with lock:
                outcomes[number] = outcome
                report(outcome)

    threads = [threading.Thread(target=worker, args=(index,)) for index in range(min(jobs, len(runs)))]
    for thread in threads:
        thread.start()
    for thread in threads:
        while thread.is_alive():
            thread.join(0.5)
    for number, run in enumerate(runs):
        if number not in outcomes:
            outcomes[number] = not_run(run, "the batch was stopped before this run")
            report(outcomes[number])
    return [outcomes[number] for number in range(len(runs))]
