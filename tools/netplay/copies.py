"""Copies of the repository for plays side by side: the bench writes into the folder that it is started in."""

from __future__ import annotations

import hashlib
import shutil
import subprocess
from pathlib import Path


def git(root: Path, *words: str) -> str:
    """What a git command prints."""
    return subprocess.run(["git", "-C", str(root), *words], check=True, capture_output=True, text=True).stdout.rstrip()


def revision(root: Path) -> str:
    """The commit that is played. Changes beside the journal are refused: a copy of a commit would not hold them."""
    changed = git(root, "status", "--porcelain", "--", ".", ":(exclude)journal")
    if changed:
        raise ValueError(f"commit these first, the copies are of a commit:\n{changed}")
    return git(root, "rev-parse", "--short=10", "HEAD")


def program_sum(root: Path) -> str:
    """A short sum of the built program, so that a table can be told from one of another build."""
    return hashlib.sha256((root / "build" / "peargrade").read_bytes()).hexdigest()[:16]


def make_copy(root: Path, into: Path) -> Path:
    """A clone of the commit with the build folder's programs in it; a folder that is there is taken for a leftover."""
    if into.exists():
        if not (into / ".git").exists():
            raise ValueError(f"{into} is there and is no copy of a repository")
        shutil.rmtree(into)
    into.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(["git", "clone", "--quiet", "--shared", str(root), str(into)], check=True, capture_output=True)
    (into / "build").mkdir()
    for program in sorted((root / "build").iterdir()):
        if program.is_file() and (program.name.startswith("peargrade")):
            shutil.copy2(program, into / "build" / program.name)
    return into


def journal_names(root: Path) -> set[str]:
    """The files of a journal: its entries and what they refer to, such as `blobs/NAME`."""
    return {str(file.relative_to(root / "journal")) for file in (root / "journal").rglob("*") if file.is_file()}


def bring_back(copy: Path, root: Path, known: set[str]) -> list[str]:
    """Brings files of a copy's journal that are not `known` into the repository's; what lies there is never written over."""
    fresh = sorted(journal_names(copy) - known)
    for name in fresh:
        target = root / "journal" / name
        if not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(copy / "journal" / name, target)
    return fresh
