"""Reads the tags and fields of msgspec structures."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache

from benchmarks.external_names.external_name import ExternalName, qualified
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called, nodes, text_of
from benchmarks.external_names.tables import FIELDS, SHOWN_STRUCTS, STRUCTS


@dataclass(frozen=True, slots=True)
class Structure:
    """A msgspec structure: its tag and, where it is no array, the names of its fields and their types."""

    tag: str | None
    is_array: bool
    fields: dict[str, str]


def field_name(statement: ast.AnnAssign) -> str:
    """The name of a field as it is written: `field(name=...)`, else that of the attribute."""
    if isinstance(statement.value, ast.Call) and called(statement.value) == "field":
        for keyword in statement.value.keywords:
            if keyword.arg == "name":
                return text_of(keyword.value) or ""
    return ast.unparse(statement.target)


def fields_of(node: ast.ClassDef) -> dict[str, str]:
    """The fields of a class with their types."""
    return {
        field_name(statement): ast.unparse(statement.annotation)
        for statement in node.body
        if isinstance(statement, ast.AnnAssign) and "ClassVar" not in ast.unparse(statement.annotation)
    }


def structure(node: ast.ClassDef) -> Structure | None:
    """What a class says of its written form; None: it is no structure."""
    if not any(ast.unparse(base).split(".")[-1] == "Struct" for base in node.bases):
        return None
    keywords = {keyword.arg: keyword.value for keyword in node.keywords}
    if "rename" in keywords or "tag_field" in keywords:
        raise NotImplementedError(f"{node.name}: rename and tag_field are not read yet")
    is_array = "array_like" in keywords and ast.unparse(keywords["array_like"]) == "True"
    tag = text_of(keywords["tag"]) if "tag" in keywords else None
    return Structure(tag, is_array, fields_of(node))


@cache
def structures(module: ast.Module) -> tuple[tuple[ast.ClassDef, Structure], ...]:
    """The structures of a module."""
    classes = [node for node in nodes(module) if isinstance(node, ast.ClassDef)]
    return tuple((node, found) for node in classes if (found := structure(node)) is not None)


def written_names(module: ast.Module, kind: str) -> Iterator[ExternalName]:
    """Tags, and the fields that are written by name, of one module."""
    for node, found in structures(module):
        if node.name.endswith("Settings"):
            continue  # of the operator's file, listed with its table
        if found.tag is not None:
            yield ExternalName(kind, found.tag)
        if not found.is_array:
            yield from qualified(kind, [found.tag or ""], found.fields)


def shown_names(module: ast.Module, kind: str) -> Iterator[ExternalName]:
    """The fields of every structure of a module, arrays as well."""
    for _, found in structures(module):
        yield from qualified(kind, [found.tag or ""], found.fields)


def struct_names(source: Source) -> Iterator[ExternalName]:
    """Tags, and the fields that are written by name."""
    for kind, paths in STRUCTS.items():
        for module in source.under(paths):
            yield from written_names(module, kind)
    for kind, path in SHOWN_STRUCTS.items():
        for module in source.under((path,)):
            yield from shown_names(module, kind)
    for kind, places in FIELDS.items():
        for label, path, name in places:
            yield from qualified(kind, [label], fields_of(source.class_at(path, name)))
