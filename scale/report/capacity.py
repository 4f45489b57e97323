#!/usr/bin/env python3
"""Rewrites the generated tables of docs/CAPACITY.md from scale/targets.json and scale/results/*.jsonl.

With ``--check`` it writes nothing, prints the name of each table that differs from the results, and exits with code 1
if there is one. If a result, the targets or the markers of the page cannot be read, it prints the location and exits
with code 2.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import page
import results
import tables
import targets

_ROOT = Path(__file__).resolve().parents[2]


def _options(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Rewrites the generated tables of the capacity page.")
    parser.add_argument("--check", action="store_true", help="write nothing; exit 1 if page and results differ")
    parser.add_argument("--page", type=Path, default=_ROOT / "docs" / "CAPACITY.md")
    parser.add_argument("--results", type=Path, default=_ROOT / "scale" / "results", help="folder of *.jsonl")
    parser.add_argument("--targets", type=Path, default=_ROOT / "scale" / "targets.json")
    return parser.parse_args(arguments)


def run(arguments: list[str]) -> int:
    """Runs the command and returns its exit code."""
    options = _options(arguments)
    try:
        text = options.page.read_text(encoding="utf-8")
        generated = tables.all_tables(targets.load(options.targets), results.load(options.results))
        differing = page.differing(text, generated)
        if options.check:
            for name in differing:
                print(f"{options.page}: table '{name}' differs from the results", file=sys.stderr)
            return 1 if differing else 0
        options.page.write_text(page.rewrite(text, generated), encoding="utf-8")
        print(f"{options.page}: {len(differing)} of {len(generated)} tables rewritten")
        return 0
    except (targets.InvalidTargets, results.InvalidResult, page.InvalidPage, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
