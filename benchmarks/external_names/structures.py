"""Reads the tags and fields of msgspec structures."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache

from benchmarks.external_names.external_name import ExternalName, qualified
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called_name, literal_text, nodes
from benchmarks.external_names.tables import FIELD_CLASSES, PRINTED_STRUCT_MODULES, STRUCT_MODULES


@dataclass(frozen=True, slots=True)
class Structure:
    """The encoded form of a msgspec structure: its tag, whether it is packed as an array, and its fields with
    their types.
    """

    tag: str | None
    is_array: bool
    fields: dict[str, str]


def field_name(statement: ast.AnnAssign) -> str:
    """Returns the encoded name of a field: that in `field(name=...)`, else that of the attribute."""
    if isinstance(statement.value, ast.Call) and called_name(statement.value) == "field":
        for keyword in statement.value.keywords:
            if keyword.arg == "name":
                return literal_text(keyword.value) or ""
    return ast.unparse(statement.target)


def fields_of(node: ast.ClassDef) -> dict[str, str]:
    """Returns the encoded names of the fields of a class, with their types."""
    return {
        field_name(statement): ast.unparse(statement.annotation)
        for statement in node.body
        if isinstance(statement, ast.AnnAssign) and "ClassVar" not in ast.unparse(statement.annotation)
    }


def parse_structure(node: ast.ClassDef) -> Structure | None:
    """Returns the encoded form of a msgspec structure; None for any other class."""
    if not any(ast.unparse(base).split(".")[-1] == "Struct" for base in node.bases):
        return None
    keywords = {keyword.arg: keyword.value for keyword in node.keywords}
    if "rename" in keywords or "tag_field" in keywords:
        raise NotImplementedError(
            f"class {node.name} uses the msgspec option rename or tag_field, which cannot be read"
        )
    is_array = "array_like" in keywords and ast.unparse(keywords["array_like"]) == "True"
    tag = literal_text(keywords["tag"]) if "tag" in keywords else None
    return Structure(tag, is_array, fields_of(node))


@cache
def structures(module: ast.Module) -> tuple[tuple[ast.ClassDef, Structure], ...]:
    """Returns the classes of a module that are msgspec structures, each with its encoded form."""
    classes = [node for node in nodes(module) if isinstance(node, ast.ClassDef)]
    return tuple((node, structure) for node in classes if (structure := parse_structure(node)) is not None)


def encoded_names(module: ast.Module, kind: str) -> Iterator[ExternalName]:
    """Yields the tags of a module's structures, and the fields of those that are not packed as arrays."""
    for node, structure in structures(module):
        if node.name.endswith("Settings"):
            continue  # a table of the operator's settings, which `settings_keys` lists
        if structure.tag is not None:
            yield ExternalName(kind, structure.tag)
        if not structure.is_array:
            yield from qualified(kind, [structure.tag or ""], structure.fields)


def printed_field_names(module: ast.Module, kind: str) -> Iterator[ExternalName]:
    """Yields the fields of every structure of a module, including those packed as arrays."""
    for _, structure in structures(module):
        yield from qualified(kind, [structure.tag or ""], structure.fields)


def struct_names(source: Source) -> Iterator[ExternalName]:
    """Yields the tags of structures, and those fields of structures and other classes that are written with
    their names.
    """
    for kind, paths in STRUCT_MODULES.items():
        for module in source.modules_in(paths):
            yield from encoded_names(module, kind)
    for kind, path in PRINTED_STRUCT_MODULES.items():
        for module in source.modules_in((path,)):
            yield from printed_field_names(module, kind)
    for kind, classes in FIELD_CLASSES.items():
        for label, path, name in classes:
            yield from qualified(kind, [label], fields_of(source.class_at(path, name)))
