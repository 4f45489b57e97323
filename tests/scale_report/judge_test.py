"""Figures at the target's size, verdicts and their order, on made data."""

import unittest

import made
from figures import Basis, Figure, Measurements, at_size, points
from format import quantity, ratio_text, unit_of
from judge import Verdict, judge, judge_all, judge_row, line_status, reds, remedies, scenario_rows
from lookup import find, worst
from results import Result, WrongResult
from rows import FLEET, GAPS, LINES, REMEDIES, ROWS

CPU = "cpu_share"


def figure_at(metric: str, size: float, by_size: dict[float, list[float]]) -> Figure:
    return at_size(points(made.sweep(metric, by_size), metric), size, "servers", "share")


class Figures(unittest.TestCase):
    def test_what_was_measured_there_is_its_mean_and_range(self) -> None:
        figure = figure_at(CPU, 1500, {23: [0.01], 1500: [0.04, 0.05, 0.09]})
        self.assertIs(figure.basis, Basis.MEASURED)
        self.assertAlmostEqual(figure.value, 0.06)
        self.assertEqual((figure.low, figure.high), (0.04, 0.09))
        self.assertEqual(figure.note, "3 runs, 4% to 9%")

    def test_beyond_what_was_measured_the_line_is_marked_with_its_points_and_error(self) -> None:
        figure = figure_at(CPU, 1500, {100: [0.011], 200: [0.019], 300: [0.03]})
        self.assertIs(figure.basis, Basis.EXTRAPOLATED)
        self.assertIn("extrapolated", figure.text("share"))
        for part in ("servers 100, 200, 300", "R2", "+/-", "n 3"):
            self.assertIn(part, figure.note)
        self.assertLess(figure.low, figure.value)
        self.assertGreater(figure.high, figure.value)

    def test_between_sizes_it_is_no_extrapolation(self) -> None:
        self.assertIs(figure_at(CPU, 150, {100: [1.0], 200: [2.1], 300: [3.0]}).basis, Basis.INTERPOLATED)

    def test_growth_that_is_no_line_is_told(self) -> None:
        figure = figure_at(CPU, 1500, {x: [x**2 / 1e6] for x in (100, 200, 400)})
        self.assertIn("x^2.00 fits better and gives 225%", figure.note)

    def test_two_sizes_and_none_are_not_measured(self) -> None:
        two = figure_at(CPU, 1500, {23: [0.01], 200: [0.02]})
        self.assertEqual((two.known, two.text("share")), (False, "not measured"))
        self.assertIn("23, 200 only", two.note)
        self.assertFalse(worst(Measurements([]), made.plan(), "supervisor", CPU, FLEET).known)

    def test_a_line_that_falls_below_nothing_gives_no_figure(self) -> None:
        figure = figure_at(CPU, 23, {500: [0.01], 1000: [0.03], 1500: [0.05]})
        self.assertFalse(figure.known)
        self.assertIn("falls below 0", figure.note)

    def test_of_several_revisions_the_last_read_counts(self) -> None:
        old = made.sweep(CPU, {1500: [0.09]}, revision="aaaaaaa")
        new = made.sweep(CPU, {1500: [0.01]}, revision="bbbbbbb")
        figure = worst(Measurements(old + new), made.plan(), "supervisor", CPU, FLEET)
        self.assertAlmostEqual(figure.value, 0.01)

    def test_of_several_scenarios_the_worst_is_reckoned_with(self) -> None:
        both = made.sweep(CPU, {1500: [0.09]}) + made.sweep(CPU, {1500: [0.01]}, scenario="quiet")
        self.assertAlmostEqual(worst(Measurements(both), made.plan(), "supervisor", CPU, FLEET).value, 0.09)

    def found(self, results: list[Result]) -> list[tuple[str, float]]:
        told = find(Measurements(results), made.plan(), "supervisor", (CPU,), FLEET)
        return [(scenario, round(figure.value, 6)) for scenario, figure in told]

    def test_what_was_measured_goes_before_a_line_of_another_test(self) -> None:
        line = made.sweep(CPU, {100: [0.01], 200: [0.02], 300: [0.03]}, scenario="small")
        real = made.sweep(CPU, {100: [0.02], 200: [0.04], 300: [0.06]}, scenario="small/real")
        there = made.sweep(CPU, {1500: [0.05]})
        self.assertEqual(self.found(line + there), [("made", 0.05)])
        self.assertEqual(self.found(line + real), [("small", 0.15), ("small/real", 0.3)])
        self.assertEqual(self.found(real + there), [("made", 0.05), ("small/real", 0.3)])

    def test_reports_at_another_pace_or_of_a_part_bear_on_no_row(self) -> None:
        for beside in ({"reports_every_s": 4}, {"reported": 23}):
            sizes = {"servers": 1500, **beside}
            self.assertEqual(self.found([made.result(value=1500, sizes=sizes)]), [])
        planned = {"servers": 1500, "reports_every_s": 1, "reported": 0}
        self.assertEqual(self.found([made.result(value=1500, sizes=planned)]), [("made", 0.01)])

    def test_a_scale_test_of_the_targets_size_is_measured_there(self) -> None:
        plan = made.plan()
        whole = {"supervisors": plan.sizes.supervisors, "servers": plan.sizes.servers}
        at_size = made.result(variable="", value=0, sizes=whole, metrics={"time_to_force_worst_s": 3})
        small = made.result(variable="", value=0, sizes={**whole, "servers": 48}, metrics={"time_to_force_worst_s": 9})
        rows = [row for row in ROWS if row.metrics == ("time_to_force_worst_s",)]
        found = judge_row(rows[0], Measurements([at_size, small]), plan)
        self.assertEqual([(one.figure.value, one.figure.basis) for one in found], [(3, Basis.MEASURED)])

    def test_a_series_of_lines_with_other_sizes_is_refused(self) -> None:
        few = made.result(sizes={"servers": 375, "proxies": 10})
        many = made.result(sizes={"servers": 375, "proxies": 300})
        with self.assertRaisesRegex(WrongResult, "sizes"):
            Measurements([few, many])


class Verdicts(unittest.TestCase):
    def of(self, low: float, high: float) -> Verdict:
        return judge(Figure(Basis.MEASURED, "", (low + high) / 2, low, high), 10)

    def test_the_whole_range_counts(self) -> None:
        self.assertIs(self.of(11, 12), Verdict.RED)
        self.assertIs(self.of(9, 12), Verdict.UNSURE)
        self.assertIs(self.of(8, 10), Verdict.OK)

    def test_nothing_measured_is_neither_red_nor_ok(self) -> None:
        self.assertIs(judge(Figure(Basis.NONE), 10), Verdict.NONE)
        self.assertIs(judge(Figure(Basis.MEASURED), None), Verdict.NO_BUDGET)


class Ranking(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = made.plan()
        runs = made.sweep("reports_in_bytes_per_s", {23: [14000.0], 1500: [900000.0, 900000.0]})
        runs += made.sweep("orders_out_bytes_per_s", {1500: [40.0]})
        self.judged = judge_all(Measurements(runs), self.plan)
        self.red = reds(self.judged, [], self.plan)

    def test_the_greatest_ratio_is_first_and_what_has_none_last(self) -> None:
        ratios = [one.ratio for one in self.red]
        known = [ratio for ratio in ratios if ratio is not None]
        self.assertEqual(known, sorted(known, reverse=True))
        self.assertEqual(ratios[len(known) :], [None] * (len(ratios) - len(known)))
        self.assertIn(225.0, known)

    def test_a_sum_without_all_its_parts_says_so(self) -> None:
        both = [one for one in self.judged if one.row.quantity == "all that it sends and receives"]
        self.assertAlmostEqual(both[0].figure.value, 900040)
        self.assertIn("list, news", both[0].figure.note)

    def test_a_sum_without_all_its_parts_is_never_within_its_budget(self) -> None:
        sent = {"orders_out_bytes_per_s": 40, "list_out_bytes_per_s": 1}
        few = judge_all(Measurements([made.result(value=1500, sizes={"servers": 1500}, metrics=sent)]), self.plan)
        verdicts = {one.row.quantity: one.verdict for one in few if one.row.scope.name.startswith("whole")}
        self.assertIs(verdicts["all that it sends"], Verdict.OK)
        self.assertIs(verdicts["all that it sends and receives"], Verdict.UNSURE)

    def test_a_gap_is_red_whatever_is_measured(self) -> None:
        empty = reds(judge_all(Measurements([]), self.plan), [], self.plan)
        self.assertEqual({one.what for one in empty}, {gap.what for gap in GAPS})

    def test_a_mechanism_has_the_lines_and_the_worst_ratio_of_its_reds(self) -> None:
        source = next(one for one in remedies(self.red) if one.name == REMEDIES["source"])
        self.assertEqual(source.worst, 900040 / 4000)  # all that it sends and receives
        self.assertIn("What control may spend", source.blocked)

    def test_a_line_with_something_red_is_red_and_names_the_worst(self) -> None:
        status = {line.key: line_status(line, self.judged, self.red) for line in LINES}
        self.assertIs(status["control"].verdict, Verdict.RED)
        self.assertIn("230x", status["control"].worst)
        self.assertIs(status["requests"].verdict, Verdict.NONE)
        self.assertIs(status["latency"].verdict, Verdict.NONE)

    def test_a_scale_test_over_its_budget_is_ranked(self) -> None:
        late = made.result(variable="", value=0, metrics={"time_to_force_worst_s": 34})
        tests = scenario_rows(Measurements([late]), self.plan)
        self.assertEqual([one.verdict for one in tests], [Verdict.RED])
        self.assertIn(2.0, [one.ratio for one in reds(self.judged, tests, self.plan)])

    def test_what_a_small_scale_test_spends_is_shown_and_not_ranked(self) -> None:
        twin = made.result(variable="", value=0, metrics={"cpu_share": 0.5})
        tests = scenario_rows(Measurements([twin]), self.plan)
        self.assertEqual([one.verdict for one in tests], [Verdict.RED])
        self.assertEqual(reds(self.judged, tests, self.plan), self.red)

    def test_a_sweep_shows_its_properties_only(self) -> None:
        runs = made.sweep("time_to_force_p50_s", {550: [3.0]}) + made.sweep(CPU, {550: [0.1]})
        shown = [one.metric for one in scenario_rows(Measurements(runs), self.plan)]
        self.assertEqual(shown, ["time_to_force_p50_s"])


class Rows(unittest.TestCase):
    def test_each_place_is_in_the_repository(self) -> None:
        for row in ROWS:
            if row.mechanism.place:
                self.assertTrue((made.ROOT / row.mechanism.place).exists(), row.mechanism.place)

    def test_names_are_those_of_targets_lines_and_remedies(self) -> None:
        plan, lines = made.plan(), {line.key for line in LINES}
        for row in ROWS:
            for sweep in row.scope.sweeps:
                self.assertGreater(sweep.size(plan), 0)
            if row.budget:
                self.assertGreater(plan.budget(row.budget), 0)
                self.assertTrue(row.blocks, row.quantity)
        for blocks, remedy in [(one.blocks, one.remedy) for one in ROWS] + [(one.blocks, one.remedy) for one in GAPS]:
            self.assertLessEqual(set(blocks), lines)
            self.assertIn(remedy, {"", *REMEDIES})


class Words(unittest.TestCase):
    def test_figures_have_three_digits_and_their_unit(self) -> None:
        self.assertEqual(quantity(900000, "bytes_per_s"), "900 KB/s")
        self.assertEqual(quantity(0.0978, "share"), "9.78%")
        self.assertEqual(quantity(2161.5, "ns"), "2.16 us")
        self.assertEqual(quantity(0.336, "ns"), "0.336 ns")
        self.assertEqual(quantity(1050000, ""), "1,050,000")
        self.assertEqual(quantity(0, "bytes"), "0 B")
        self.assertEqual(quantity(17, "s"), "17 s")
        self.assertEqual(
            [unit_of(name) for name in ("a_bytes_per_s", "events_per_s", "took_s")], ["bytes_per_s", "per_s", "s"]
        )
        self.assertEqual(quantity(140.2, "per_s"), "140/s")
        self.assertEqual(ratio_text(2138.9), "2,100x")
        self.assertEqual(ratio_text(0.0000864), "<0.001x")


if __name__ == "__main__":
    unittest.main()
