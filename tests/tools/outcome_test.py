import json
import unittest

from netplay import kinds
from netplay.outcome import Floor, Run, Violation, from_json, read_outcome

from samples import printed, result

RUN = Run("gust+mass", 7, 30, "abcdef0123")


class PassedDay(unittest.TestCase):
    def test_has_its_figures_and_did_not_fail(self) -> None:
        outcome = read_outcome(RUN, printed(), result(), wall_s=4.5, journal=["a.json"])
        self.assertIsNone(outcome.not_run)
        self.assertEqual((outcome.served, outcome.least, outcome.score, outcome.start_s), (0.6, 0.3, 0.5, 0.5))
        self.assertEqual(outcome.floors, [Floor("class", "browse", 0.6, 0.3), Floor("class", "buy", 0.7, 0.35),
                                          Floor("tenant", "fair|share", 0.4, 0.2)])
        self.assertEqual(outcome.breaks, [])
        self.assertFalse(outcome.failed)

    def test_json_round_trip_keeps_all_fields(self) -> None:
        outcome = read_outcome(RUN, printed(), result(), wall_s=4.5, journal=["a.json"])
        self.assertEqual(from_json(json.loads(json.dumps(outcome.as_json()))), outcome)


class ViolatedRule(unittest.TestCase):
    BREAKS = {"dup": {"count": 3, "first": "proxy 1 sent twice", "first_at_s": 2.25}}

    def test_has_count_and_first_time(self) -> None:
        text = printed(verdict="BROKEN: dup", rules="RULE BROKEN (the day counts as zero): dup, 3 times, first at 2.250 s: proxy 1 sent twice")
        outcome = read_outcome(RUN, text, result(self.BREAKS, gate="dup", score=0.0))
        self.assertEqual(outcome.breaks, [Violation("dup", 3, 2.25, "proxy 1 sent twice")])
        self.assertEqual(outcome.gate, "dup")
        self.assertTrue(outcome.failed)

    def test_in_the_printed_lines_only_is_reported_as_well(self) -> None:
        rules = ("RULE BROKEN (the day counts as zero): dup, 3 times, first at 2.250 s: proxy 1 sent twice\n"
                 "RULE BROKEN (the day counts as zero): own, 1 times, first at 9.000 s: two owners: a, b")
        outcome = read_outcome(RUN, printed(rules=rules), result(self.BREAKS))
        self.assertEqual([violation.rule for violation in outcome.breaks], ["dup", "own"])
        self.assertEqual(outcome.breaks[1], Violation("own", 1, 9.0, "two owners: a, b"))

    def test_printed_verdict_fails_a_day_without_violations_in_the_json(self) -> None:
        outcome = read_outcome(RUN, printed(verdict="BROKEN: dup"), result())
        self.assertEqual(outcome.gate, "BROKEN: dup")
        self.assertTrue(outcome.failed)

    def test_crash_is_a_fault(self) -> None:
        outcome = read_outcome(RUN, printed(), result(fault="node n0 crashed: exited with 1", gate="crash"))
        self.assertEqual((outcome.fault, outcome.gate), ("node n0 crashed: exited with 1", "crash"))
        self.assertTrue(outcome.failed)


class Floors(unittest.TestCase):
    def test_total_below_the_gate_fails(self) -> None:
        self.assertTrue(read_outcome(RUN, printed(), result(served=0.29)).failed)

    def test_class_or_tenant_below_its_floor_fails(self) -> None:
        self.assertTrue(read_outcome(RUN, printed(), result(by_class=[["buy", 0.34, 0.35]])).failed)
        self.assertTrue(read_outcome(RUN, printed(), result(by_tenant=[["fair", 0.19, 0.2]])).failed)

    def test_served_minimums_are_ignored_for_days_with_a_throng(self) -> None:
        throng = Run("throng+gust+mass", 7, 30, "abcdef0123")
        outcome = read_outcome(throng, printed(), result(served=0.1, by_class=[["buy", 0.1, 0.35]]))
        self.assertFalse(outcome.failed)
        self.assertFalse(outcome.floors[0].kept)


class Restarts(unittest.TestCase):
    def day(self, restarts: list) -> "object":
        document = result()
        document["real"]["seen"]["restart_s"] = restarts
        return read_outcome(RUN, printed(), document)

    def test_one_late_restart_of_ten_is_accepted(self) -> None:
        outcome = self.day([1.0] * 9 + [10.1])
        self.assertEqual(outcome.restarts_ready, 9)
        self.assertFalse(outcome.failed)

    def test_one_late_restart_of_nine_fails(self) -> None:
        self.assertTrue(self.day([1.0] * 8 + [10.1]).failed)

    def test_restart_that_never_became_ready_is_late(self) -> None:
        outcome = self.day([1.0, None])
        self.assertEqual((outcome.restarts_ready, len(outcome.restarts_s)), (1, 2))
        self.assertTrue(outcome.failed)

    def test_restarts_are_read_from_the_printed_line_if_the_json_has_none(self) -> None:
        document = result()
        del document["real"]
        outcome = read_outcome(RUN, printed(restarts="0.5, 11.25, never"), document)
        self.assertEqual((outcome.start_s, outcome.restarts_s), (0.5, [0.5, 11.25, None]))


class DayThatDidNotRun(unittest.TestCase):
    def test_reason_is_the_last_printed_line(self) -> None:
        outcome = read_outcome(RUN, "reading\nno such kind: gust\n\n", None)
        self.assertEqual(outcome.not_run, "no result of a day in the output of the bench: no such kind: gust")
        self.assertFalse(outcome.failed)

    def test_day_line_without_json_or_json_without_day_line_is_not_run(self) -> None:
        self.assertIsNotNone(read_outcome(RUN, printed(), None).not_run)
        self.assertIsNotNone(read_outcome(RUN, printed(), {"breaks": {}}).not_run)
        self.assertIsNotNone(read_outcome(RUN, "", result()).not_run)


class Lists(unittest.TestCase):
    def test_kinds_are_listed_once_with_the_added_kind(self) -> None:
        self.assertEqual(kinds.read_kinds("term, wide+mass,term,soak", "mass"), ["term+mass", "wide+mass", "soak"])
        self.assertEqual(len(kinds.read_kinds("single,joint", "mass")), len(kinds.SINGLE) + len(kinds.JOINT))
        self.assertEqual(kinds.read_kinds("term", ""), ["term"])
        with self.assertRaises(ValueError):
            kinds.read_kinds(" , ", "mass")

    def test_seeds_are_numbers_and_ranges(self) -> None:
        self.assertEqual(kinds.read_seeds("201-203,7,202"), [201, 202, 203, 7])
        for invalid in ("", "x", "5-3"):
            with self.assertRaises(ValueError):
                kinds.read_seeds(invalid)


if __name__ == "__main__":
    unittest.main()
