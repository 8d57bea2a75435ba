"""Lays out sites of other shapes beside what the bench wants to find there.

    python deploy/sites/lay_out.py BASE

BASE is a site's file as the operators give it. Each TOML file here states what its site has otherwise: a
table's keys take the place of BASE's, a list that of BASE's list, and '-' takes a key out. Each site becomes
a folder of its own under laid-out/, with copies of the bench's files from BASE's folder.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

BENCH_FILES = ("real.json", "wire.json", "unlock.txt")


def with_changes(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """The settings of a deployment; a value of `-` takes a setting away."""
    merged = dict(base)
    for name, value in changes.items():
        if value == "-":
            merged.pop(name, None)
        elif isinstance(value, dict) and isinstance(merged.get(name), dict):
            merged[name] = with_changes(merged[name], value)
        else:
            merged[name] = value
    return merged


def main() -> None:
    """Writes each deployment beside this file as changes to the one named on the command line."""
    if len(sys.argv) != 2:
        sys.exit("usage: python deploy/sites/lay_out.py BASE")
    base, here = Path(sys.argv[1]), Path(__file__).parent
    document = tomllib.loads(base.read_text())
    for changes in sorted(here.glob("*.toml")):
        folder = here / "laid-out" / changes.stem
        folder.mkdir(parents=True, exist_ok=True)
        site = with_changes(document, tomllib.loads(changes.read_text()))
        (folder / changes.name).write_text(tomli_w.dumps(site))
        for name in BENCH_FILES:
            (folder / name).unlink(missing_ok=True)
            shutil.copyfile(base.parent / name, folder / name)
        print(folder / changes.name)


if __name__ == "__main__":
    main()
