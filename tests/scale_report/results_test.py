"""Result lines and targets that are refused, each with file, line and what was expected."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import made
from results import WrongResult, load, parse_line
from targets import WrongTargets
from targets import load as load_targets


class ResultLines(unittest.TestCase):
    def refused(self, text: str, *told: str) -> None:
        with self.assertRaises(WrongResult) as caught:
            parse_line(text, "some.jsonl:4")
        for part in ("some.jsonl:4", "expected", *told):
            self.assertIn(part, str(caught.exception))

    def refused_with(self, field: str, value: Any, *told: str) -> None:
        self.refused(json.dumps(made.line(**{field: value})), field, *told)

    def test_a_whole_line_is_taken(self) -> None:
        found = parse_line(json.dumps(made.line()), "some.jsonl:4")
        self.assertEqual((found.role, found.variable, found.value), ("supervisor", "servers", 375))
        self.assertEqual(found.metrics["cpu_share"], 0.01)

    def test_what_is_no_object_is_refused(self) -> None:
        self.refused("{", "no JSON")
        self.refused("[1]", "JSON object")

    def test_each_field_must_be_there(self) -> None:
        for field in made.line():
            whole = made.line()
            del whole[field]
            self.refused(json.dumps(whole), field, "missing")

    def test_a_field_too_many_is_refused(self) -> None:
        self.refused_with("mood", "good", "not known")

    def test_what_is_malformed_is_refused(self) -> None:
        self.refused_with("revision", "main", "hash")
        self.refused_with("scenario", "a | b")
        self.refused_with("role", "manager", "supervisor")
        self.refused_with("variable", "Servers")
        self.refused_with("value", "375")
        self.refused_with("value", -1)
        self.refused_with("repetition", 1.5, "whole")
        self.refused_with("seconds", True)
        self.refused_with("machine", {"cores": 8}, "memory_mb")
        self.refused_with("sizes", [])
        self.refused_with("sizes", {})
        self.refused_with("metrics", {"cpu share": 1})
        self.refused_with("metrics", {"cpu_share": None})
        self.refused_with("metrics", {"cpu_share": float("nan")})

    def test_the_swept_value_must_be_the_size(self) -> None:
        self.refused_with("value", 400, "sizes.servers")

    def test_a_folder_names_file_and_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs.jsonl"
            path.write_text(json.dumps(made.line()) + "\n\n{}\n", encoding="utf-8")
            with self.assertRaisesRegex(WrongResult, r"runs\.jsonl:3"):
                load(Path(folder))
            path.write_text(json.dumps(made.line()) + "\n\n", encoding="utf-8")
            self.assertEqual([one.source for one in load(Path(folder))], ["runs.jsonl:1"])


class Targets(unittest.TestCase):
    def refused(self, change: Any, told: str) -> None:
        whole = json.loads((made.ROOT / "scale" / "targets.json").read_text(encoding="utf-8"))
        change(whole)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "targets.json"
            path.write_text(json.dumps(whole), encoding="utf-8")
            with self.assertRaisesRegex(WrongTargets, told):
                load_targets(path)

    def test_those_of_the_repository_are_whole(self) -> None:
        self.assertEqual(made.plan().size("supervisors"), 550)
        self.assertEqual(made.plan().sizes.servers_per_service, 23)

    def test_control_machines_are_lost_whole(self) -> None:
        sizes = made.plan().sizes
        self.assertEqual(sizes.supervisors_per_machine, 79)
        self.assertEqual([sizes.supervisors_lost_with(parts) for parts in (7, 6, 3, 1)], [79, 158, 237, 550])

    def test_what_is_wrong_is_named(self) -> None:
        self.refused(lambda t: t["sizes"].pop("zones"), "sizes.zones' is missing")
        self.refused(lambda t: t["sizes"].update(moons=3), "sizes.moons' is not known")
        self.refused(lambda t: t["budgets"].update(cpu_share=0), "budgets.cpu_share")
        self.refused(lambda t: t["budgets"].update(cpu_share="4.7%"), "budgets.cpu_share")
        self.refused(lambda t: t.pop("failures"), "failures")


if __name__ == "__main__":
    unittest.main()
