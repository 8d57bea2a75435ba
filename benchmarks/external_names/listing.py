"""Applies all readers to the source, and formats and compares lists of external names."""

from __future__ import annotations

import ast
from collections.abc import Iterable
from functools import cache

from benchmarks.external_names.commands import command_names
from benchmarks.external_names.constants import binary_formats, class_names, constant_names
from benchmarks.external_names.environment import environment_names, layout_names, metric_names, path_names
from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.literals import literal_names
from benchmarks.external_names.logs import add_mentions, log_names, log_names_in_pairs, texts_to_search
from benchmarks.external_names.records import record_names, table_columns
from benchmarks.external_names.settings import deployed_keys, settings_keys
from benchmarks.external_names.source import ROOT, Source
from benchmarks.external_names.structures import struct_names

LIST_FILE = ROOT / "benchmarks" / "external_names.txt"
# Readers that choose the files that they read, most of them by `tables.py`.
SOURCE_READERS = (
    *(literal_names, constant_names, binary_formats, class_names, struct_names, settings_keys, deployed_keys),
    *(command_names, layout_names, log_names_in_pairs, table_columns),
)
# Readers that are applied to every module of the package.
MODULE_READERS = (environment_names, path_names, metric_names, log_names, record_names)


@cache
def names_of_module(module: ast.Module) -> frozenset[ExternalName]:
    """Returns the names that the readers in `MODULE_READERS` find in a module."""
    return frozenset(name for read in MODULE_READERS for name in read(module))


def external_names(source: Source) -> list[ExternalName]:
    """Returns all external names, sorted. Raises MissingFromSourceError."""
    names = {name for read in SOURCE_READERS for name in read(source)}
    names = names.union(*map(names_of_module, source.modules.values()))
    return sorted(add_mentions((name for name in names if name.name.strip()), *texts_to_search(source)))


def format_list(names: Iterable[ExternalName]) -> str:
    """Returns the names in the format of the list."""
    return "".join(f"{name.line()}\n" for name in names)


def differences(committed: str, found: str) -> str:
    """Returns the lines that were removed or added, one per line; empty if the two lists are equal."""
    committed_lines, found_lines = set(committed.splitlines()), set(found.splitlines())
    removed, added = sorted(committed_lines - found_lines), sorted(found_lines - committed_lines)
    return "\n".join([f"gone: {line}" for line in removed] + [f"added: {line}" for line in added])
