import unittest

from netplay import table
from netplay.outcome import Outcome, Run, not_run, read_outcome

from samples import printed, result


def outcome(kind: str = "gust+mass", seed: int = 7, text: str = "", **changed: object) -> Outcome:
    return read_outcome(Run(kind, seed, 30, "abcdef0123"), text or printed(), result(**changed))


class Rows(unittest.TestCase):
    def test_passed_day(self) -> None:
        self.assertEqual(table.row(outcome()), "| gust+mass | 7 | 30 | kept | 0.600 of 0.300 | 3 kept | no restart | 0.50 |")

    def test_failed_day_shows_rule_gate_and_floor(self) -> None:
        breaks = {"dup": {"count": 3, "first": "proxy 1 sent twice", "first_at_s": 2.25}}
        line = table.row(outcome(breaks=breaks, gate="dup", score=0.0, by_class=[["buy", 0.3, 0.35]]))
        self.assertEqual(line, "| gust+mass | 7 | 30 | **dup** x3, first 2.25 s | **dup** 0.600 of 0.300 "
                               "| **class buy** 0.300 of 0.350; 1 kept | no restart | 0.00 |")

    def test_restarts_show_how_many_were_in_time(self) -> None:
        document = result()
        document["real"]["seen"]["restart_s"] = [0.5, 12.0, None]
        line = table.row(read_outcome(Run("roll", 7, None, "abcdef0123"), printed(), document))
        self.assertIn("| full |", line)
        self.assertIn("| 1 of 3, longest 12.0 s |", line)

    def test_day_that_was_not_run_shows_its_escaped_reason(self) -> None:
        line = table.row(not_run(Run("gust", 7, 30, "abcdef0123"), "first|second\nthird"))
        self.assertEqual(line, "| gust | 7 | 30 | not run: first\\|second third |  |  |  |  |")


class Tables(unittest.TestCase):
    def test_runs_are_sorted_by_kind_then_seed_and_counted(self) -> None:
        runs = [outcome("b", 1), outcome("a", 1), outcome("b", 2, served=0.1), not_run(Run("a", 2, 30, "x"), "stopped")]
        lines = table.table(runs).splitlines()
        self.assertEqual([line.split(" | ")[0:2] for line in lines[2:6]], [["| b", "1"], ["| b", "2"], ["| a", "1"], ["| a", "2"]])
        self.assertEqual(lines[-1], "4 runs: 2 passed, 1 failed, 1 not run")


if __name__ == "__main__":
    unittest.main()
