"""Every path and function that docs/ARCHITECTURE.md names exists in the repository."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
SOURCE_FOLDERS = ("include", "src")
# Folders of the repository that a path can begin with.
PATH = re.compile(r"^(bench|docs|examples|fakes|include|scale|src|tests|tools)/[\w./-]*$")
FUNCTION = re.compile(r"^(?:\w+::)*(\w+)::(\w+)$")


def code_spans(page: str) -> list[str]:
    """The texts between single backticks, without fenced blocks."""
    without_blocks = re.sub(r"```.*?```", "", page, flags=re.S)
    return re.findall(r"`([^`\n]+)`", without_blocks)


def sources() -> str:
    texts = []
    for folder in SOURCE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix in (".h", ".cpp"):
                texts.append(path.read_text(encoding="utf-8"))
    return "\n".join(texts)


class ArchitecturePage(unittest.TestCase):
    def setUp(self) -> None:
        self.spans = code_spans(PAGE.read_text(encoding="utf-8"))

    def test_every_path_exists(self) -> None:
        paths = [span for span in self.spans if PATH.match(span)]
        self.assertGreater(len(paths), 30)
        for path in paths:
            with self.subTest(path=path):
                self.assertTrue((ROOT / path).exists())

    def test_every_function_and_class_exists(self) -> None:
        text = sources()
        names = [match for span in self.spans if (match := FUNCTION.match(span))]
        self.assertGreater(len(names), 15)
        for name in names:
            with self.subTest(name=name.group(0)):
                owner, member = name.groups()
                self.assertRegex(text, rf"\b(?:class|struct|namespace) (?:\w+::)*{owner}\b")
                self.assertRegex(text, rf"\b{member}\b *[({{:]")


if __name__ == "__main__":
    unittest.main()
