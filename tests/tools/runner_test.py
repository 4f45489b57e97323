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
from netplay.outcome import Outcome, Play

from samples import printed, result

# A bench as far as the runner sees one: it notes when it runs, writes what it is told to for its kind, and an entry in the journal.
STAND_IN = textwrap.dedent('''\
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
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        self.top = Path(held.name)
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
        bench.write_text(STAND_IN)
        bench.chmod(0o755)
        (self.top / "printed.txt").write_text(printed())
        (self.top / "gust.json").write_text(json.dumps(result()))
        broken = result({"dup": {"count": 3, "first": "twice", "first_at_s": 2.0}}, gate="dup")
        (self.top / "squall.json").write_text(json.dumps(broken))
        self.net = runner.Net(bench, self.top / "site.toml", self.root, self.top / "copies", self.top / "logs", 20.0, "why")
        self.reported: list[Outcome] = []

    def play(self, plays: list[tuple[str, int]], side_by_side: int = 2, limit_s: float = 20.0) -> list[Outcome]:
        net = runner.Net(**{**vars(self.net), "limit_s": limit_s})
        asked = [Play(kind, seed, 30, "abc") for kind, seed in plays]
        return runner.play_all(net, asked, side_by_side, threading.Event(), self.reported.append)

    def test_play_in_copies_side_by_side_up_to_the_bound(self) -> None:
        outcomes = self.play([("gust", seed) for seed in range(6)])
        self.assertEqual([outcome.play.seed for outcome in outcomes], list(range(6)))
        self.assertFalse(any(outcome.failed or outcome.not_run for outcome in outcomes))
        lines = [line.split() for line in (self.top / "times").read_text().splitlines()]
        spans = [(float(began), float(ended)) for began, ended, _ in lines]
        for began, _ in spans:
            self.assertLessEqual(sum(1 for other in spans if other[0] <= began < other[1]), 2)
        self.assertEqual({place for _, _, place in lines}, {str(self.top / "copies" / f"copy-{n}") for n in (0, 1)})
        self.assertEqual(os.listdir(self.top / "copies" / "copy-0" / "build"), ["peargrade"])

    def test_bring_journal_entries_back_and_keep_logs_of_failed_plays(self) -> None:
        good, bad = self.play([("gust", 1), ("squall", 2)])
        self.assertEqual(copies.journal_names(self.root), {"old.json", "gust-1.json", "squall-2.json", "blobs/source"})
        self.assertEqual((good.journal, bad.journal), (["gust-1.json"], ["blobs/source", "squall-2.json"]))
        self.assertTrue(bad.failed)
        self.assertEqual((self.top / "logs" / "squall-2" / "logs" / "n0.log").read_text(), "a line")
        self.assertFalse((self.top / "logs" / "gust-1").exists())
        self.assertEqual(len(self.reported), 2)

    def test_past_its_limit_a_play_is_ended_with_what_it_started(self) -> None:
        began = time.monotonic()
        (outcome,) = self.play([("hangs", 1)], limit_s=5.0)
        self.assertEqual(outcome.not_run, "not over after 5 s")
        self.assertLess(time.monotonic() - began, 30)
        child = int((self.top / "child").read_text())
        self.assertFalse(alive(child), "the bench's own child outlived it")

    def test_a_bench_that_gives_up_is_not_run_and_the_others_go_on(self) -> None:
        unknown, good = self.play([("unknown", 1), ("gust", 1)], side_by_side=1)
        self.assertEqual(unknown.not_run, "no day in the bench's output: kinds known: gust")
        self.assertIsNone(good.not_run)

    def test_a_stopped_run_says_what_was_not_played(self) -> None:
        stop = threading.Event()
        stop.set()
        outcomes = runner.play_all(self.net, [Play("gust", 1, 30, "abc")], 2, stop, self.reported.append)
        self.assertEqual([outcome.not_run for outcome in outcomes], ["the run was stopped before it"])
        self.assertEqual(self.reported, outcomes)

    def test_a_folder_that_is_no_copy_is_left_alone(self) -> None:
        (self.top / "copies" / "copy-0").mkdir(parents=True)
        (self.top / "copies" / "copy-0" / "mine").write_text("kept")
        (outcome,) = self.play([("gust", 1)])
        self.assertIn("is no copy", outcome.not_run or "")
        self.assertEqual((self.top / "copies" / "copy-0" / "mine").read_text(), "kept")

    def test_an_entry_that_lies_in_the_journal_is_never_written_over(self) -> None:
        (self.root / "journal" / "gust-1.json").write_text("as it was")
        self.play([("gust", 1)])
        self.assertEqual((self.root / "journal" / "gust-1.json").read_text(), "as it was")

    def test_changed_sources_are_refused_but_a_journal_may_grow(self) -> None:
        (self.root / "journal" / "new.json").write_text("{}")
        self.assertEqual(len(copies.revision(self.root)), 10)
        (self.root / "source.cpp").write_text("changed")
        with self.assertRaisesRegex(ValueError, "source.cpp"):
            copies.revision(self.root)


def alive(process: int) -> bool:
    """Whether a process still runs; one that ended and was not yet waited for by its parent does not."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except FileNotFoundError:
        return False


if __name__ == "__main__":
    unittest.main()
