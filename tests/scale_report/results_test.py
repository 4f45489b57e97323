"""Parsing of result lines and targets: an invalid one is rejected with file, line and the expected form."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import synthetic
from results import InvalidResult, load, parse_line
from targets import InvalidTargets
from targets import load as load_targets


class ResultLines(unittest.TestCase):
    def assert_rejected(self, text: str, *expected_parts: str) -> None:
        with self.assertRaises(InvalidResult) as caught:
            parse_line(text, "some.jsonl:4")
        for part in ("some.jsonl:4", "expected", *expected_parts):
            self.assertIn(part, str(caught.exception))

    def assert_field_rejected(self, field: str, value: Any, *expected_parts: str) -> None:
        self.assert_rejected(json.dumps(synthetic.line(**{field: value})), field, *expected_parts)

    def test_valid_line_is_parsed(self) -> None:
        found = parse_line(json.dumps(synthetic.line()), "some.jsonl:4")
        self.assertEqual((found.role, found.variable, found.value), ("supervisor", "servers", 375))
        self.assertEqual(found.metrics["cpu_share"], 0.01)

    def test_line_that_is_not_an_object_is_rejected(self) -> None:
        self.assert_rejected("{", "no JSON")
        self.assert_rejected("[1]", "JSON object")

    def test_missing_field_is_rejected(self) -> None:
        for field in synthetic.line():
            fields = synthetic.line()
            del fields[field]
            self.assert_rejected(json.dumps(fields), field, "missing")

    def test_unknown_field_is_rejected(self) -> None:
        self.assert_field_rejected("mood", "good", "not known")

    def test_malformed_values_are_rejected(self) -> None:
        self.assert_field_rejected("revision", "main", "hash")
        self.assert_field_rejected("scenario", "a | b")
        self.assert_field_rejected("role", "manager", "supervisor")
        self.assert_field_rejected("variable", "Servers")
        self.assert_field_rejected("value", "375")
        self.assert_field_rejected("value", -1)
        self.assert_field_rejected("repetition", 1.5, "whole")
        self.assert_field_rejected("seconds", True)
        self.assert_field_rejected("machine", {"cores": 8}, "memory_mb")
        self.assert_field_rejected("sizes", [])
        self.assert_field_rejected("sizes", {})
        self.assert_field_rejected("metrics", {"cpu share": 1})
        self.assert_field_rejected("metrics", {"cpu_share": None})
        self.assert_field_rejected("metrics", {"cpu_share": float("nan")})

    def test_value_must_equal_the_swept_size(self) -> None:
        self.assert_field_rejected("value", 400, "sizes.servers")

    def test_load_reports_file_and_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs.jsonl"
            path.write_text(json.dumps(synthetic.line()) + "\n\n{}\n", encoding="utf-8")
            with self.assertRaisesRegex(InvalidResult, r"runs\.jsonl:3"):
                load(Path(folder))
            path.write_text(json.dumps(synthetic.line()) + "\n\n", encoding="utf-8")
            self.assertEqual([one.source for one in load(Path(folder))], ["runs.jsonl:1"])


class Targets(unittest.TestCase):
    def assert_rejected(self, change: Any, message: str) -> None:
        document = json.loads((synthetic.ROOT / "scale" / "targets.json").read_text(encoding="utf-8"))
        change(document)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "targets.json"
            path.write_text(json.dumps(document), encoding="utf-8")
            with self.assertRaisesRegex(InvalidTargets, message):
                load_targets(path)

    def test_targets_of_the_repository_are_valid(self) -> None:
        self.assertEqual(synthetic.plan().size("supervisors"), 550)
        self.assertEqual(synthetic.plan().sizes.servers_per_service, 23)

    def test_lost_supervisors_are_counted_by_complete_control_machines(self) -> None:
        sizes = synthetic.plan().sizes
        self.assertEqual(sizes.supervisors_per_machine, 79)
        self.assertEqual([sizes.supervisors_lost_with(parts) for parts in (7, 6, 3, 1)], [79, 158, 237, 550])

    def test_invalid_field_is_named(self) -> None:
        self.assert_rejected(lambda t: t["sizes"].pop("zones"), "sizes.zones' is missing")
        self.assert_rejected(lambda t: t["sizes"].update(moons=3), "sizes.moons' is not known")
        self.assert_rejected(lambda t: t["budgets"].update(cpu_share=0), "budgets.cpu_share")
        self.assert_rejected(lambda t: t["budgets"].update(cpu_share="4.7%"), "budgets.cpu_share")
        self.assert_rejected(lambda t: t.pop("failures"), "failures")


if __name__ == "__main__":
    unittest.main()
