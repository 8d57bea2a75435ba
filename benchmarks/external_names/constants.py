"""Reads the values of constants and enumerations, binary formats, and names of classes."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called_name, calls_in, literal_text, names_in_text
from benchmarks.external_names.tables import (
    BINARY_FORMAT_MODULES,
    CLASS_MODULES,
    CONSTANT_MODULES,
    ENUM_CLASSES,
)


def is_enum(node: ast.ClassDef) -> bool:
    """Whether a class is an enumeration."""
    return any(ast.unparse(base).split(".")[-1] in ("Enum", "StrEnum", "IntEnum") for base in node.bases)


def constant_values(body: Iterable[ast.stmt]) -> Iterator[str]:
    """Yields the names in the strings and tuples of strings that a body assigns, class bodies included."""
    for statement in body:
        if isinstance(statement, ast.ClassDef):
            yield from constant_values(statement.body)
        elif isinstance(statement, ast.Assign | ast.AnnAssign) and statement.value is not None:
            if "__" in ast.unparse(statement).split("=")[0]:
                continue  # an internal attribute such as `__slots__`
            values = statement.value.elts if isinstance(statement.value, ast.Tuple) else [statement.value]
            for value in values:
                yield from names_in_text(literal_text(value) or "")


def constant_names(source: Source) -> Iterator[ExternalName]:
    """Yields the values of constants and enumerations, and the member names of the enumerations in
    `ENUM_CLASSES`.
    """
    for kind, paths in CONSTANT_MODULES.items():
        for module in source.modules_in(paths):
            yield from (ExternalName(kind, name) for name in constant_values(module.body))
    for kind, classes in ENUM_CLASSES.items():
        for module_and_class in classes:
            for statement in source.class_at(*module_and_class).body:
                if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
                    yield ExternalName(kind, statement.targets[0].id)


def binary_formats(source: Source) -> Iterator[ExternalName]:
    """Yields the `struct` formats of datagrams and files."""
    for module in source.modules_in(BINARY_FORMAT_MODULES):
        for call in calls_in(module):
            if called_name(call) == "Struct" and call.args:
                yield from (
                    ExternalName("binary-format", text) for text in [literal_text(call.args[0])] if text
                )


def class_names(source: Source) -> Iterator[ExternalName]:
    """Yields the names of the classes, except enumerations, whose names appear in log lines and records."""
    for kind, paths in CLASS_MODULES.items():
        for module in source.modules_in(paths):
            for statement in module.body:
                if isinstance(statement, ast.ClassDef) and not is_enum(statement):
                    yield ExternalName(kind, statement.name)
