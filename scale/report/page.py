"""The generated parts of a page: the text between ``<!-- generated:NAME -->`` and ``<!-- end generated -->``."""

from __future__ import annotations

import re
from typing import Mapping

_PART = re.compile(r"(<!-- generated:([a-z-]+) -->\n)(.*?)(<!-- end generated -->)", re.DOTALL)
_BEGIN = re.compile(r"<!-- generated:")
_END = "<!-- end generated -->"


class InvalidPage(Exception):
    """The markers of the page are invalid; the message names the marker."""


def _parts(page: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for match in _PART.finditer(page):
        name, body = match.group(2), match.group(3)
        if name in found:
            raise InvalidPage(f"the marker of '{name}' occurs twice")
        if _BEGIN.search(body):
            raise InvalidPage(f"the part '{name}' has no end marker")
        found[name] = body
    if len(_BEGIN.findall(page)) != len(found) or page.count(_END) != len(found):
        raise InvalidPage("a begin or end marker has no counterpart")
    return found


def rewrite(page: str, tables: Mapping[str, str]) -> str:
    """Returns the page with all its parts replaced. Raises InvalidPage if a part has no table, or a table no part."""
    found = _parts(page)
    for name in found:
        if name not in tables:
            raise InvalidPage(f"no table has the name '{name}'")
    for name in tables:
        if name not in found:
            raise InvalidPage(f"the page lacks the part '{name}'")
    return _PART.sub(lambda match: match.group(1) + tables[match.group(2)] + "\n" + match.group(4), page)


def differing(page: str, tables: Mapping[str, str]) -> list[str]:
    """Returns the names of the parts that differ from their tables. Raises InvalidPage."""
    new = _parts(rewrite(page, tables))
    return [name for name, body in _parts(page).items() if body != new[name]]
