"""Figures at the target size, verdicts and their ranking, on synthetic data."""

import unittest

import synthetic
from figures import Basis, Figure, Measurements, at_size, points
from format import quantity, ratio_text, unit_of
from judge import Verdict, evaluate_all, evaluate_row, judge, line_status, reds, remedies, scenario_rows
from lookup import find, worst
from results import InvalidResult, Result
from rows import FLEET, GAPS, LINES, REMEDIES, ROWS

CPU = "cpu_share"


def figure_at(metric: str, size: float, by_size: dict[float, list[float]]) -> Figure:
    return at_size(points(synthetic.sweep(metric, by_size), metric), size, "servers", "share")


class Figures(unittest.TestCase):
    def test_measured_size_gives_mean_and_range(self) -> None:
        figure = figure_at(CPU, 1500, {23: [0.01], 1500: [0.04, 0.05, 0.09]})
        self.assertIs(figure.basis, Basis.MEASURED)
        self.assertAlmostEqual(figure.value, 0.06)
        self.assertEqual((figure.low, figure.high), (0.04, 0.09))
        self.assertEqual(figure.note, "3 runs, 4% to 9%")

    def test_extrapolated_figure_is_marked_with_its_points_and_error(self) -> None:
        figure = figure_at(CPU, 1500, {100: [0.011], 200: [0.019], 300: [0.03]})
        self.assertIs(figure.basis, Basis.EXTRAPOLATED)
        self.assertIn("extrapolated", figure.text("share"))
        for part in ("servers 100, 200, 300", "R2", "+/-", "n 3"):
            self.assertIn(part, figure.note)
        self.assertLess(figure.low, figure.value)
        self.assertGreater(figure.high, figure.value)

    def test_figure_between_measured_sizes_is_interpolated(self) -> None:
        self.assertIs(figure_at(CPU, 150, {100: [1.0], 200: [2.1], 300: [3.0]}).basis, Basis.INTERPOLATED)

    def test_nonlinear_growth_is_noted(self) -> None:
        figure = figure_at(CPU, 1500, {x: [x**2 / 1e6] for x in (100, 200, 400)})
        self.assertIn("x^2.00 fits better and gives 225%", figure.note)

    def test_fewer_than_three_sizes_are_not_measured(self) -> None:
        two = figure_at(CPU, 1500, {23: [0.01], 200: [0.02]})
        self.assertEqual((two.known, two.text("share")), (False, "not measured"))
        self.assertIn("23, 200 only", two.note)
        self.assertFalse(worst(Measurements([]), synthetic.plan(), "supervisor", CPU, FLEET).known)

    def test_line_that_falls_below_zero_gives_no_figure(self) -> None:
        figure = figure_at(CPU, 23, {500: [0.01], 1000: [0.03], 1500: [0.05]})
        self.assertFalse(figure.known)
        self.assertIn("falls below 0", figure.note)

    def test_last_read_revision_is_used(self) -> None:
        old = synthetic.sweep(CPU, {1500: [0.09]}, revision="aaaaaaa")
        new = synthetic.sweep(CPU, {1500: [0.01]}, revision="bbbbbbb")
        figure = worst(Measurements(old + new), synthetic.plan(), "supervisor", CPU, FLEET)
        self.assertAlmostEqual(figure.value, 0.01)

    def test_worst_scenario_is_used(self) -> None:
        both = synthetic.sweep(CPU, {1500: [0.09]}) + synthetic.sweep(CPU, {1500: [0.01]}, scenario="quiet")
        self.assertAlmostEqual(worst(Measurements(both), synthetic.plan(), "supervisor", CPU, FLEET).value, 0.09)

    def found(self, results: list[Result]) -> list[tuple[str, float]]:
        figures = find(Measurements(results), synthetic.plan(), "supervisor", (CPU,), FLEET)
        return [(scenario, round(figure.value, 6)) for scenario, figure in figures]

    def test_measured_figure_takes_precedence_over_fit_of_another_scenario(self) -> None:
        line = synthetic.sweep(CPU, {100: [0.01], 200: [0.02], 300: [0.03]}, scenario="small")
        process = synthetic.sweep(CPU, {100: [0.02], 200: [0.04], 300: [0.06]}, scenario="small/real")
        measured = synthetic.sweep(CPU, {1500: [0.05]})
        self.assertEqual(self.found(line + measured), [("made", 0.05)])
        self.assertEqual(self.found(line + process), [("small", 0.15), ("small/real", 0.3)])
        self.assertEqual(self.found(process + measured), [("made", 0.05), ("small/real", 0.3)])

    def test_runs_with_another_report_period_or_partial_reports_are_ignored(self) -> None:
        for other_sizes in ({"reports_every_s": 4}, {"reported": 23}):
            sizes = {"servers": 1500, **other_sizes}
            self.assertEqual(self.found([synthetic.result(value=1500, sizes=sizes)]), [])
        planned = {"servers": 1500, "reports_every_s": 1, "reported": 0}
        self.assertEqual(self.found([synthetic.result(value=1500, sizes=planned)]), [("made", 0.01)])

    def test_scale_test_of_the_target_size_counts_as_measured(self) -> None:
        plan = synthetic.plan()
        target_sizes = {"supervisors": plan.sizes.supervisors, "servers": plan.sizes.servers}
        full_size = synthetic.result(variable="", value=0, sizes=target_sizes, metrics={"time_to_force_worst_s": 3})
        small_sizes = {**target_sizes, "servers": 48}
        small = synthetic.result(variable="", value=0, sizes=small_sizes, metrics={"time_to_force_worst_s": 9})
        rows = [row for row in ROWS if row.metrics == ("time_to_force_worst_s",)]
        found = evaluate_row(rows[0], Measurements([full_size, small]), plan)
        self.assertEqual([(one.figure.value, one.figure.basis) for one in found], [(3, Basis.MEASURED)])

    def test_series_with_conflicting_sizes_is_rejected(self) -> None:
        few = synthetic.result(sizes={"servers": 375, "proxies": 10})
        many = synthetic.result(sizes={"servers": 375, "proxies": 300})
        with self.assertRaisesRegex(InvalidResult, "sizes"):
            Measurements([few, many])


class Verdicts(unittest.TestCase):
    def verdict_for(self, low: float, high: float) -> Verdict:
        return judge(Figure(Basis.MEASURED, "", (low + high) / 2, low, high), 10)

    def test_verdict_uses_the_complete_range(self) -> None:
        self.assertIs(self.verdict_for(11, 12), Verdict.RED)
        self.assertIs(self.verdict_for(9, 12), Verdict.UNSURE)
        self.assertIs(self.verdict_for(8, 10), Verdict.OK)

    def test_missing_figure_or_budget_is_neither_red_nor_ok(self) -> None:
        self.assertIs(judge(Figure(Basis.NONE), 10), Verdict.NONE)
        self.assertIs(judge(Figure(Basis.MEASURED), None), Verdict.NO_BUDGET)


class Ranking(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = synthetic.plan()
        runs = synthetic.sweep("reports_in_bytes_per_s", {23: [14000.0], 1500: [900000.0, 900000.0]})
        runs += synthetic.sweep("orders_out_bytes_per_s", {1500: [40.0]})
        self.judged = evaluate_all(Measurements(runs), self.plan)
        self.red = reds(self.judged, [], self.plan)

    def test_largest_ratio_is_first_and_entries_without_ratio_are_last(self) -> None:
        ratios = [one.ratio for one in self.red]
        known = [ratio for ratio in ratios if ratio is not None]
        self.assertEqual(known, sorted(known, reverse=True))
        self.assertEqual(ratios[len(known) :], [None] * (len(ratios) - len(known)))
        self.assertIn(225.0, known)

    def test_incomplete_sum_names_its_missing_parts(self) -> None:
        both = [one for one in self.judged if one.row.quantity == "all that it sends and receives"]
        self.assertAlmostEqual(both[0].figure.value, 900040)
        self.assertIn("list, news", both[0].figure.note)

    def test_incomplete_sum_is_never_within_its_budget(self) -> None:
        sent = {"orders_out_bytes_per_s": 40, "list_out_bytes_per_s": 1}
        results = [synthetic.result(value=1500, sizes={"servers": 1500}, metrics=sent)]
        few = evaluate_all(Measurements(results), self.plan)
        verdicts = {one.row.quantity: one.verdict for one in few if one.row.scope.name.startswith("whole")}
        self.assertIs(verdicts["all that it sends"], Verdict.OK)
        self.assertIs(verdicts["all that it sends and receives"], Verdict.UNSURE)

    def test_gap_is_red_without_any_measurement(self) -> None:
        empty = reds(evaluate_all(Measurements([]), self.plan), [], self.plan)
        self.assertEqual({one.what for one in empty}, {gap.what for gap in GAPS})

    def test_mechanism_has_the_lines_and_the_worst_ratio_of_its_red_entries(self) -> None:
        source = next(one for one in remedies(self.red) if one.name == REMEDIES["source"])
        self.assertEqual(source.worst, 900040 / 4000)  # all that it sends and receives
        self.assertIn("What control may spend", source.blocked)

    def test_line_blocked_by_a_red_entry_is_red_and_names_the_worst(self) -> None:
        status = {line.key: line_status(line, self.judged, self.red) for line in LINES}
        self.assertIs(status["control"].verdict, Verdict.RED)
        self.assertIn("230x", status["control"].worst)
        self.assertIs(status["requests"].verdict, Verdict.NONE)
        self.assertIs(status["latency"].verdict, Verdict.NONE)

    def test_property_of_a_scale_test_over_its_budget_is_ranked(self) -> None:
        late = synthetic.result(variable="", value=0, metrics={"time_to_force_worst_s": 34})
        tests = scenario_rows(Measurements([late]), self.plan)
        self.assertEqual([one.verdict for one in tests], [Verdict.RED])
        self.assertIn(2.0, [one.ratio for one in reds(self.judged, tests, self.plan)])

    def test_resource_usage_of_a_small_scale_test_is_shown_but_not_ranked(self) -> None:
        twin = synthetic.result(variable="", value=0, metrics={"cpu_share": 0.5})
        tests = scenario_rows(Measurements([twin]), self.plan)
        self.assertEqual([one.verdict for one in tests], [Verdict.RED])
        self.assertEqual(reds(self.judged, tests, self.plan), self.red)

    def test_sweep_shows_only_its_properties(self) -> None:
        runs = synthetic.sweep("time_to_force_p50_s", {550: [3.0]}) + synthetic.sweep(CPU, {550: [0.1]})
        shown = [one.metric for one in scenario_rows(Measurements(runs), self.plan)]
        self.assertEqual(shown, ["time_to_force_p50_s"])


class Rows(unittest.TestCase):
    def test_file_of_each_mechanism_exists(self) -> None:
        for row in ROWS:
            if row.mechanism.place:
                self.assertTrue((synthetic.ROOT / row.mechanism.place).exists(), row.mechanism.place)

    def test_rows_refer_to_existing_targets_lines_and_remedies(self) -> None:
        plan, lines = synthetic.plan(), {line.key for line in LINES}
        for row in ROWS:
            for sweep in row.scope.sweeps:
                self.assertGreater(sweep.size(plan), 0)
            if row.budget:
                self.assertGreater(plan.budget(row.budget), 0)
                self.assertTrue(row.blocks, row.quantity)
        for blocks, remedy in [(one.blocks, one.remedy) for one in ROWS] + [(one.blocks, one.remedy) for one in GAPS]:
            self.assertLessEqual(set(blocks), lines)
            self.assertIn(remedy, {"", *REMEDIES})


class Formatting(unittest.TestCase):
    def test_figures_have_three_significant_digits_and_a_unit(self) -> None:
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
