"""Joins all readers into the list, and compares two lists."""

from __future__ import annotations

import ast
from collections.abc import Iterable
from functools import cache

from benchmarks.external_names.commands import command_names
from benchmarks.external_names.constants import binary_formats, class_names, constant_names
from benchmarks.external_names.environment import environment_names, layout_names, metric_names, path_names
from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.literals import literal_names
from benchmarks.external_names.logs import log_names, log_names_in_pairs, mark_events, matched_texts
from benchmarks.external_names.records import record_names, table_columns
from benchmarks.external_names.settings import deployed_keys, settings_keys
from benchmarks.external_names.source import ROOT, Source
from benchmarks.external_names.structures import struct_names

LIST = ROOT / "benchmarks" / "external_names.txt"
OF_THE_WHOLE = (
    *(literal_names, constant_names, binary_formats, class_names, struct_names, settings_keys, deployed_keys),
    *(command_names, layout_names, log_names_in_pairs, table_columns),
)
OF_A_MODULE = (environment_names, path_names, metric_names, log_names, record_names)


@cache
def names_of_module(module: ast.Module) -> frozenset[ExternalName]:
    """What each module states for itself, in whatever folder."""
    return frozenset(name for extract in OF_A_MODULE for name in extract(module))


def external_names(source: Source) -> list[ExternalName]:
    """All names, sorted. Raises MissingModuleError."""
    names = {name for extract in OF_THE_WHOLE for name in extract(source)}
    names = names.union(*map(names_of_module, source.modules.values()))
    return sorted(mark_events((name for name in names if name.name.strip()), *matched_texts(source)))


def show(names: Iterable[ExternalName]) -> str:
    """The names as the list has them."""
    return "".join(f"{name.line()}\n" for name in names)


def differences(committed: str, found: str) -> str:
    """Which lines were added and which are gone, one a line; empty where the two agree."""
    before, after = set(committed.splitlines()), set(found.splitlines())
    gone, added = sorted(before - after), sorted(after - before)
    return "\n".join([f"gone: {line}" for line in gone] + [f"added: {line}" for line in added])
