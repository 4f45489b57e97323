"""The page's parts and the command, on a made page."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import capacity
import made
import tables
from page import WrongPage, differing, rewrite

PAGE = (
    "before\n<!-- generated:one -->\nold\n<!-- end generated -->\n"
    "between\n<!-- generated:two -->\n<!-- end generated -->\n"
)


class Parts(unittest.TestCase):
    def test_parts_are_replaced_and_the_rest_stays(self) -> None:
        new = rewrite(PAGE, {"one": "1", "two": "2"})
        self.assertEqual(
            new,
            "before\n<!-- generated:one -->\n1\n<!-- end generated -->\nbetween\n"
            "<!-- generated:two -->\n2\n<!-- end generated -->\n",
        )
        self.assertEqual(rewrite(new, {"one": "1", "two": "2"}), new)

    def test_what_differs_is_named(self) -> None:
        self.assertEqual(differing(PAGE, {"one": "old", "two": "2"}), ["two"])
        self.assertEqual(differing(PAGE, {"one": "1", "two": "2"}), ["one", "two"])

    def test_parts_and_tables_must_be_the_same(self) -> None:
        with self.assertRaisesRegex(WrongPage, "lacks the part 'three'"):
            rewrite(PAGE, {"one": "1", "two": "2", "three": "3"})
        with self.assertRaisesRegex(WrongPage, "no table has the name 'two'"):
            rewrite(PAGE, {"one": "1"})

    def test_markers_must_be_whole(self) -> None:
        with self.assertRaises(WrongPage):
            rewrite(PAGE + "<!-- generated:three -->\n", {"one": "1", "two": "2"})
        with self.assertRaises(WrongPage):
            rewrite(PAGE + PAGE, {"one": "1", "two": "2"})
        with self.assertRaises(WrongPage):
            rewrite(PAGE.replace("<!-- end generated -->", "", 1), {"one": "1", "two": "2"})


class Command(unittest.TestCase):
    """The command on a folder of its own, with the targets of the repository."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.results = Path(folder.name) / "results"
        self.results.mkdir()
        self.page = Path(folder.name) / "page.md"
        names = tables.all_tables(made.plan(), [])
        self.page.write_text("".join(f"<!-- generated:{n} -->\n<!-- end generated -->\n" for n in names))
        self.add(made.line())

    def add(self, line: dict[str, object]) -> None:
        with (self.results / "runs.jsonl").open("a") as out:
            out.write(json.dumps(line) + "\n")

    def run_it(self, *options: str) -> int:
        self.told = io.StringIO()
        with contextlib.redirect_stderr(self.told), contextlib.redirect_stdout(io.StringIO()):
            return capacity.run(["--page", str(self.page), "--results", str(self.results), *options])

    def test_a_page_just_written_passes_the_check(self) -> None:
        self.assertEqual(self.run_it(), 0)
        self.assertEqual(self.run_it("--check"), 0)
        self.assertIn("| made |", self.page.read_text().replace("`", ""))

    def test_a_new_result_fails_the_check_which_names_tables_and_writes_nothing(self) -> None:
        self.run_it()
        before = self.page.read_text()
        self.add(made.line(value=1500, sizes={"servers": 1500}, metrics={"cpu_share": 0.09}))
        self.assertEqual(self.run_it("--check"), 1)
        self.assertIn("'role-supervisor'", self.told.getvalue())
        self.assertEqual(self.page.read_text(), before)

    def test_a_figure_changed_by_hand_fails_the_check(self) -> None:
        self.run_it()
        self.page.write_text(self.page.read_text().replace("550, 1,500, 66", "55, 150, 66"))
        self.assertEqual(self.run_it("--check"), 1)
        self.assertIn("'targets'", self.told.getvalue())

    def test_a_wrong_result_ends_it_with_file_and_line(self) -> None:
        self.add(made.line(role="manager"))
        self.assertEqual(self.run_it(), 2)
        self.assertIn("runs.jsonl:2", self.told.getvalue())

    def test_without_results_no_table_holds_a_figure_that_needs_one(self) -> None:
        made_tables = tables.all_tables(made.plan(), [])
        for role in ("supervisor", "discovery", "relay", "collector", "proxy"):
            rows = made_tables[f"role-{role}"].splitlines()[2:]
            self.assertTrue(rows)
            for row in rows:
                self.assertEqual(row.split(" | ")[3], "not measured", row)


class Pace(unittest.TestCase):
    """A run whose supervisors could not sweep as often as they should is told as a trial."""

    def rows(self, sweeps: float, **changes: object) -> list[str]:
        sizes = {"supervisors": 550, "servers": 375}
        metrics = {"timers_per_s": sweeps}
        run = made.result(variable="", value=0, sizes=sizes, metrics=metrics, **changes)
        return [row for row in tables.all_tables(made.plan(), [run])["pace"].splitlines() if "550" in row]

    def test_at_three_quarters_of_its_sweeps_a_run_kept_its_pace(self) -> None:
        self.assertEqual(len(self.rows(3.0)), 1)
        self.assertTrue(self.rows(3.0)[0].endswith("| 3.00 of 4 | kept |"))

    def test_under_that_it_is_a_trial(self) -> None:
        self.assertTrue(self.rows(2.99)[0].endswith("| 2.99 of 4 | **trial**: too slow |"))

    def test_only_supervisors_outside_sweeps_are_judged(self) -> None:
        self.assertEqual(self.rows(1.0, role="relay"), [])


if __name__ == "__main__":
    unittest.main()
