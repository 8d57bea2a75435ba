"""Prints the list of external names or writes it to its file."""

from __future__ import annotations

import argparse

from benchmarks.external_names.listing import LIST_FILE, external_names, format_list
from benchmarks.external_names.source import ROOT, read_source


def main() -> None:
    """Prints the list, or writes it with `--write`."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.external_names",
        description="Lists the external names of the process: those that clients, other nodes, files and "
        "scripts depend on.",
    )
    parser.add_argument("--write", action="store_true", help=f"write {LIST_FILE.name} instead of printing")
    text = format_list(external_names(read_source(ROOT)))
    if parser.parse_args().write:
        LIST_FILE.write_text(text)
    else:
        print(text, end="")


if __name__ == "__main__":
    main()
