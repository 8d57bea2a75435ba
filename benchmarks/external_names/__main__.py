"""Prints the list or writes its file."""

from __future__ import annotations

import argparse

from benchmarks.external_names.listing import LIST, external_names, show
from benchmarks.external_names.source import ROOT, read_source


def main() -> None:
    """Prints the list, or writes it."""
    parser = argparse.ArgumentParser(
        prog="external_names.py", description="Lists every name that leaves the process."
    )
    parser.add_argument("--write", action="store_true", help=f"write {LIST.name} instead of printing")
    text = show(external_names(read_source(ROOT)))
    if parser.parse_args().write:
        LIST.write_text(text)
    else:
        print(text, end="")


if __name__ == "__main__":
    main()
