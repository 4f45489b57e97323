"""The generated parts of a page: what stands between ``<!-- generated:NAME -->`` and ``<!-- end generated -->``."""

from __future__ import annotations

import re
from typing import Mapping

_PART = re.compile(r"(<!-- generated:([a-z-]+) -->\n)(.*?)(<!-- end generated -->)", re.DOTALL)
_BEGIN = re.compile(r"<!-- generated:")
_END = "<!-- end generated -->"


class WrongPage(Exception):
    """The page's markers cannot be used; the message names the marker."""


def _parts(page: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for match in _PART.finditer(page):
        name, body = match.group(2), match.group(3)
        if name in found:
            raise WrongPage(f"the marker of '{name}' is there twice")
        if _BEGIN.search(body):
            raise WrongPage(f"the part '{name}' has no end")
        found[name] = body
    if len(_BEGIN.findall(page)) != len(found) or page.count(_END) != len(found):
        raise WrongPage("a marker has no counterpart")
    return found


def rewrite(page: str, tables: Mapping[str, str]) -> str:
    """The page with all its parts replaced. Raises WrongPage where a part has no table, or a table no part."""
    found = _parts(page)
    for name in found:
        if name not in tables:
            raise WrongPage(f"no table has the name '{name}'")
    for name in tables:
        if name not in found:
            raise WrongPage(f"the page lacks the part '{name}'")
    return _PART.sub(lambda match: match.group(1) + tables[match.group(2)] + "\n" + match.group(4), page)


def differing(page: str, tables: Mapping[str, str]) -> list[str]:
    """Names of the parts that are not as their tables. Raises WrongPage."""
    new = _parts(rewrite(page, tables))
    return [name for name, body in _parts(page).items() if body != new[name]]
