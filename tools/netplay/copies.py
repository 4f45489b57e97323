"""Copies of the repository for parallel runs: the bench writes into its working directory."""

from __future__ import annotations

import hashlib
import shutil
import subprocess
from pathlib import Path


def git(root: Path, *arguments: str) -> str:
    """Runs a git command and returns its output."""
    return subprocess.run(["git", "-C", str(root), *arguments], check=True, capture_output=True, text=True).stdout.rstrip()


def revision(root: Path) -> str:
    """Returns the checked-out commit. Raises ValueError for uncommitted changes outside the journal: the copies are clones
    of the commit and would lack them."""
    changed = git(root, "status", "--porcelain", "--", ".", ":(exclude)journal")
    if changed:
        raise ValueError(f"uncommitted changes, commit them first (the copies are clones of the commit):\n{changed}")
    return git(root, "rev-parse", "--short=10", "HEAD")


def program_hash(root: Path) -> str:
    """Returns a short hash of the built program, which distinguishes tables of different builds."""
    return hashlib.sha256((root / "build" / "peargrade").read_bytes()).hexdigest()[:16]


def clone_repository(root: Path, into: Path) -> Path:
    """Clones the commit and copies the programs of the build folder. An existing clone at `into` is replaced; raises
    ValueError for any other existing folder."""
    if into.exists():
        if not (into / ".git").exists():
            raise ValueError(f"{into} exists and is no copy of a repository")
        shutil.rmtree(into)
    into.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(["git", "clone", "--quiet", "--shared", str(root), str(into)], check=True, capture_output=True)
    (into / "build").mkdir()
    for program in sorted((root / "build").iterdir()):
        if program.is_file() and (program.name.startswith("peargrade")):
            shutil.copy2(program, into / "build" / program.name)
    return into


def journal_names(root: Path) -> set[str]:
    """Returns the files of the journal: its entries and the files that they refer to, such as `blobs/NAME`."""
    return {str(file.relative_to(root / "journal")) for file in (root / "journal").rglob("*") if file.is_file()}


def copy_journal_back(copy: Path, root: Path, known: set[str]) -> list[str]:
    """Copies journal files that are not in `known` from a copy into the repository, without overwriting existing files.

    Returns the names of all files that are not in `known`.
    """
    new_names = sorted(journal_names(copy) - known)
    for name in new_names:
        target = root / "journal" / name
        if not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(copy / "journal" / name, target)
    return new_names
