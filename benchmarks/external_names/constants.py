"""Reads values of constants and enumerations, binary formats and names of classes."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called, calls, text_of, words_of
from benchmarks.external_names.tables import CONSTANTS, FORMATS, MEMBERS, WRITTEN_CLASSES


def is_enum(node: ast.ClassDef) -> bool:
    """Whether a class is an enumeration."""
    return any(ast.unparse(base).split(".")[-1] in ("Enum", "StrEnum", "IntEnum") for base in node.bases)


def constant_values(body: Iterable[ast.stmt]) -> Iterator[str]:
    """Strings that a body assigns, also several at once and in classes."""
    for statement in body:
        if isinstance(statement, ast.ClassDef):
            yield from constant_values(statement.body)
        elif isinstance(statement, ast.Assign | ast.AnnAssign) and statement.value is not None:
            if "__" in ast.unparse(statement).split("=")[0]:
                continue  # `__slots__` and the like are internal
            parts = statement.value.elts if isinstance(statement.value, ast.Tuple) else [statement.value]
            for part in parts:
                yield from words_of(text_of(part) or "")


def constant_names(source: Source) -> Iterator[ExternalName]:
    """Values of constants and enumerations, and names of members that are written as such."""
    for kind, paths in CONSTANTS.items():
        for module in source.under(paths):
            yield from (ExternalName(kind, name) for name in constant_values(module.body))
    for kind, places in MEMBERS.items():
        for place in places:
            for statement in source.class_at(*place).body:
                if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
                    yield ExternalName(kind, statement.targets[0].id)


def binary_formats(source: Source) -> Iterator[ExternalName]:
    """The formats of datagrams and files that are packed by `struct`."""
    for module in source.under(FORMATS):
        for call in calls(module):
            if called(call) == "Struct" and call.args:
                yield from (ExternalName("binary-format", text) for text in [text_of(call.args[0])] if text)


def class_names(source: Source) -> Iterator[ExternalName]:
    """Names of the classes that log lines and records have."""
    for kind, paths in WRITTEN_CLASSES.items():
        for module in source.under(paths):
            for statement in module.body:
                if isinstance(statement, ast.ClassDef) and not is_enum(statement):
                    yield ExternalName(kind, statement.name)
