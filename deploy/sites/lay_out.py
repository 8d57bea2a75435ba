"""Writes a folder with a site file for the bench for each set of changes to a given site.

    python deploy/sites/lay_out.py BASE

BASE is the settings file of a site as the operators provide it. Each TOML file in this folder contains the
settings in which its site differs: a table's keys replace those of BASE, a list replaces the whole list of
BASE, and the value '-' removes a key. Each site is written to a folder of its own under laid-out/, with
copies of the bench's files from the folder of BASE.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

# Files that the bench expects beside the site file.
BENCH_FILES = ("real.json", "wire.json", "unlock.txt")


def merge_settings(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings of a site: `base` with `changes` applied; the value `-` removes a setting."""
    merged = dict(base)
    for name, value in changes.items():
        if value == "-":
            merged.pop(name, None)
        elif isinstance(value, dict) and isinstance(merged.get(name), dict):
            merged[name] = merge_settings(merged[name], value)
        else:
            merged[name] = value
    return merged


def main() -> None:
    """Writes a folder for each TOML file beside this one, based on the site named on the command line."""
    if len(sys.argv) != 2:
        sys.exit("usage: python deploy/sites/lay_out.py BASE")
    base_path, sites_folder = Path(sys.argv[1]), Path(__file__).parent
    base_settings = tomllib.loads(base_path.read_text())
    for changes_path in sorted(sites_folder.glob("*.toml")):
        site_folder = sites_folder / "laid-out" / changes_path.stem
        site_folder.mkdir(parents=True, exist_ok=True)
        site_settings = merge_settings(base_settings, tomllib.loads(changes_path.read_text()))
        (site_folder / changes_path.name).write_text(tomli_w.dumps(site_settings))
        for name in BENCH_FILES:
            (site_folder / name).unlink(missing_ok=True)
            shutil.copyfile(base_path.parent / name, site_folder / name)
        print(site_folder / changes_path.name)


if __name__ == "__main__":
    main()
