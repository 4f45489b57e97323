import json
import os
import subprocess
import tempfile
import textwrap
import threading
import time
import unittest
from pathlib import Path

from netplay import copies, runner
from netplay.outcome import Outcome, Run

from samples import printed, result

# A fake bench: it records its start and end times and writes the prepared result of its kind and a journal entry.
FAKE_BENCH = textwrap.dedent('''\
    #!/usr/bin/env python3
    import json, os, sys, time
    words = sys.argv[1:]
    def option(name): return words[words.index(name) + 1]
    here = os.path.dirname(os.path.abspath(__file__))
    kind, seed = option("--rough"), option("--seed")
    open(f"journal/{kind}-{seed}.json", "w").write("{}")
    if kind == "squall":
        os.makedirs("journal/blobs", exist_ok=True)
        open("journal/blobs/source", "w").write("what was built")
    began = time.time()
    if kind == "hangs":
        if os.fork() == 0:
            open(f"{here}/child", "w").write(str(os.getpid()))
        time.sleep(60)
    if kind == "unknown":
        sys.exit("kinds known: gust")
    open(option("--logs") + "/n0.log", "w").write("a line")
    time.sleep(0.2)
    json.dump(json.load(open(f"{here}/{kind}.json")), open(option("--json"), "w"))
    print(open(f"{here}/printed.txt").read())
    open(f"{here}/times", "a").write(f"{began} {time.time()} {os.getcwd()}\\n")
''')


def git(root: Path, *words: str) -> None:
    subprocess.run(["git", "-C", str(root), "-c", "user.name=t", "-c", "user.email=t@t", *words], check=True, capture_output=True)


class Runs(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.top = Path(folder.name)
        self.root = self.top / "root"
        (self.root / "journal").mkdir(parents=True)
        (self.root / "journal" / "old.json").write_text("{}")
        (self.root / ".gitignore").write_text("build/\n")
        git(self.root, "init", "-q")
        git(self.root, "add", "-A")
        git(self.root, "commit", "-q", "-m", "first")
        (self.root / "build").mkdir()
        (self.root / "build" / "peargrade").write_text("program")
        (self.root / "build" / "other").write_text("not copied")
        bench = self.top / "bench"
        bench.write_text(FAKE_BENCH)
        bench.chmod(0o755)
        (self.top / "printed.txt").write_text(printed())
        (self.top / "gust.json").write_text(json.dumps(result()))
        broken = result({"dup": {"count": 3, "first": "twice", "first_at_s": 2.0}}, gate="dup")
        (self.top / "squall.json").write_text(json.dumps(broken))
        self.settings = runner.Settings(bench, self.top / "site.toml", self.root, self.top / "copies", self.top / "logs", 20.0,
                                        "why")
        self.reported: list[Outcome] = []

    def run_days(self, kinds_and_seeds: list[tuple[str, int]], jobs: int = 2, limit_s: float = 20.0) -> list[Outcome]:
        settings = runner.Settings(**{**vars(self.settings), "limit_s": limit_s})
        runs = [Run(kind, seed, 30, "abc") for kind, seed in kinds_and_seeds]
        return runner.run_all(settings, runs, jobs, threading.Event(), self.reported.append)

    def test_runs_in_copies_in_parallel_up_to_the_limit(self) -> None:
        outcomes = self.run_days([("gust", seed) for seed in range(6)])
        self.assertEqual([outcome.run.seed for outcome in outcomes], list(range(6)))
        self.assertFalse(any(outcome.failed or outcome.not_run for outcome in outcomes))
        lines = [line.split() for line in (self.top / "times").read_text().splitlines()]
        spans = [(float(began), float(ended)) for began, ended, _ in lines]
        for began, _ in spans:
            self.assertLessEqual(sum(1 for other in spans if other[0] <= began < other[1]), 2)
        self.assertEqual({place for _, _, place in lines}, {str(self.top / "copies" / f"copy-{n}") for n in (0, 1)})
        self.assertEqual(os.listdir(self.top / "copies" / "copy-0" / "build"), ["peargrade"])

    def test_copies_journal_entries_back_and_saves_logs_of_failed_runs(self) -> None:
        good, bad = self.run_days([("gust", 1), ("squall", 2)])
        self.assertEqual(copies.journal_names(self.root), {"old.json", "gust-1.json", "squall-2.json", "blobs/source"})
        self.assertEqual((good.journal, bad.journal), (["gust-1.json"], ["blobs/source", "squall-2.json"]))
        self.assertTrue(bad.failed)
        self.assertEqual((self.top / "logs" / "squall-2" / "logs" / "n0.log").read_text(), "a line")
        self.assertFalse((self.top / "logs" / "gust-1").exists())
        self.assertEqual(len(self.reported), 2)

    def test_run_past_its_time_limit_is_terminated_with_its_children(self) -> None:
        began = time.monotonic()
        (outcome,) = self.run_days([("hangs", 1)], limit_s=5.0)
        self.assertEqual(outcome.not_run, "time limit of 5 s exceeded")
        self.assertLess(time.monotonic() - began, 30)
        child = int((self.top / "child").read_text())
        self.assertFalse(is_alive(child), "the child process of the bench still runs")

    def test_failed_bench_is_not_run_and_the_others_continue(self) -> None:
        unknown, good = self.run_days([("unknown", 1), ("gust", 1)], jobs=1)
        self.assertEqual(unknown.not_run, "no result of a day in the output of the bench: kinds known: gust")
        self.assertIsNone(good.not_run)

    def test_stopped_batch_reports_the_days_that_were_not_run(self) -> None:
        stop = threading.Event()
        stop.set()
        outcomes = runner.run_all(self.settings, [Run("gust", 1, 30, "abc")], 2, stop, self.reported.append)
        self.assertEqual([outcome.not_run for outcome in outcomes], ["the batch was stopped before this run"])
        self.assertEqual(self.reported, outcomes)

    def test_folder_that_is_not_a_copy_is_left_unchanged(self) -> None:
        (self.top / "copies" / "copy-0").mkdir(parents=True)
        (self.top / "copies" / "copy-0" / "mine").write_text("kept")
        (outcome,) = self.run_days([("gust", 1)])
        self.assertIn("is no copy", outcome.not_run or "")
        self.assertEqual((self.top / "copies" / "copy-0" / "mine").read_text(), "kept")

    def test_existing_journal_entry_is_never_overwritten(self) -> None:
        (self.root / "journal" / "gust-1.json").write_text("as it was")
        self.run_days([("gust", 1)])
        self.assertEqual((self.root / "journal" / "gust-1.json").read_text(), "as it was")

    def test_uncommitted_sources_are_rejected_but_new_journal_entries_are_allowed(self) -> None:
        (self.root / "journal" / "new.json").write_text("{}")
        self.assertEqual(len(copies.revision(self.root)), 10)
        (self.root / "source.cpp").write_text("changed")
        with self.assertRaisesRegex(ValueError, "source.cpp"):
            copies.revision(self.root)


def is_alive(process: int) -> bool:
    """Whether a process still runs; a zombie process does not."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


if __name__ == "__main__":
    unittest.main()
