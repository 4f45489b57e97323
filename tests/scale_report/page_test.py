"""The generated parts of a page and the command, on a synthetic page."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import capacity
import synthetic
import tables
from page import InvalidPage, differing, rewrite

PAGE = (
    "before\n<!-- generated:one -->\nold\n<!-- end generated -->\n"
    "between\n<!-- generated:two -->\n<!-- end generated -->\n"
)


class Parts(unittest.TestCase):
    def test_rewrite_replaces_the_parts_and_keeps_the_rest(self) -> None:
        new = rewrite(PAGE, {"one": "1", "two": "2"})
        self.assertEqual(
            new,
            "before\n<!-- generated:one -->\n1\n<!-- end generated -->\nbetween\n"
            "<!-- generated:two -->\n2\n<!-- end generated -->\n",
        )
        self.assertEqual(rewrite(new, {"one": "1", "two": "2"}), new)

    def test_differing_parts_are_named(self) -> None:
        self.assertEqual(differing(PAGE, {"one": "old", "two": "2"}), ["two"])
        self.assertEqual(differing(PAGE, {"one": "1", "two": "2"}), ["one", "two"])

    def test_parts_and_tables_must_have_the_same_names(self) -> None:
        with self.assertRaisesRegex(InvalidPage, "lacks the part 'three'"):
            rewrite(PAGE, {"one": "1", "two": "2", "three": "3"})
        with self.assertRaisesRegex(InvalidPage, "no table has the name 'two'"):
            rewrite(PAGE, {"one": "1"})

    def test_unpaired_or_duplicate_markers_are_rejected(self) -> None:
        with self.assertRaises(InvalidPage):
            rewrite(PAGE + "<!-- generated:three -->\n", {"one": "1", "two": "2"})
        with self.assertRaises(InvalidPage):
            rewrite(PAGE + PAGE, {"one": "1", "two": "2"})
        with self.assertRaises(InvalidPage):
            rewrite(PAGE.replace("<!-- end generated -->", "", 1), {"one": "1", "two": "2"})


class Command(unittest.TestCase):
    """The command on a temporary folder, with the targets of the repository."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.results = Path(folder.name) / "results"
        self.results.mkdir()
        self.page = Path(folder.name) / "page.md"
        names = tables.all_tables(synthetic.plan(), [])
        self.page.write_text("".join(f"<!-- generated:{n} -->\n<!-- end generated -->\n" for n in names))
        self.add(synthetic.line())

    def add(self, line: dict[str, object]) -> None:
        with (self.results / "runs.jsonl").open("a") as out:
            out.write(json.dumps(line) + "\n")

    def run_command(self, *options: str) -> int:
        self.errors = io.StringIO()
        with contextlib.redirect_stderr(self.errors), contextlib.redirect_stdout(io.StringIO()):
            return capacity.run(["--page", str(self.page), "--results", str(self.results), *options])

    def test_page_just_written_passes_the_check(self) -> None:
        self.assertEqual(self.run_command(), 0)
        self.assertEqual(self.run_command("--check"), 0)
        self.assertIn("| made |", self.page.read_text().replace("`", ""))

    def test_check_after_a_new_result_names_the_table_and_writes_nothing(self) -> None:
        self.run_command()
        before = self.page.read_text()
        self.add(synthetic.line(value=1500, sizes={"servers": 1500}, metrics={"cpu_share": 0.09}))
        self.assertEqual(self.run_command("--check"), 1)
        self.assertIn("'role-supervisor'", self.errors.getvalue())
        self.assertEqual(self.page.read_text(), before)

    def test_edited_figure_fails_the_check(self) -> None:
        self.run_command()
        self.page.write_text(self.page.read_text().replace("550, 1,500, 66", "55, 150, 66"))
        self.assertEqual(self.run_command("--check"), 1)
        self.assertIn("'targets'", self.errors.getvalue())

    def test_invalid_result_is_reported_with_file_and_line(self) -> None:
        self.add(synthetic.line(role="manager"))
        self.assertEqual(self.run_command(), 2)
        self.assertIn("runs.jsonl:2", self.errors.getvalue())

    def test_without_results_all_measured_figures_are_missing(self) -> None:
        generated = tables.all_tables(synthetic.plan(), [])
        for role in ("supervisor", "discovery", "relay", "collector", "proxy"):
            rows = generated[f"role-{role}"].splitlines()[2:]
            self.assertTrue(rows)
            for row in rows:
                self.assertEqual(row.split(" | ")[3], "not measured", row)


class Pace(unittest.TestCase):
    """A run whose supervisors did not reach the required sweep rate is marked as a trial."""

    def rows(self, sweeps: float, **changes: object) -> list[str]:
        sizes = {"supervisors": 550, "servers": 375}
        metrics = {"timers_per_s": sweeps}
        run = synthetic.result(variable="", value=0, sizes=sizes, metrics=metrics, **changes)
        return [row for row in tables.all_tables(synthetic.plan(), [run])["pace"].splitlines() if "550" in row]

    def test_run_with_three_quarters_of_its_sweeps_kept_the_pace(self) -> None:
        self.assertEqual(len(self.rows(3.0)), 1)
        self.assertTrue(self.rows(3.0)[0].endswith("| 3.00 of 4 | kept |"))

    def test_run_with_fewer_sweeps_is_a_trial(self) -> None:
        self.assertTrue(self.rows(2.99)[0].endswith("| 2.99 of 4 | **trial**: too slow |"))

    def test_pace_is_shown_only_for_supervisors_in_runs_without_a_sweep(self) -> None:
        self.assertEqual(self.rows(1.0, role="relay"), [])


if __name__ == "__main__":
    unittest.main()
