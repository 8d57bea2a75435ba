"""Finds string literals and calls in a syntax tree."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache

# The form of an external name: one word without spaces. `{}` in it is an interpolated value. A name that
# begins with `/` is a path, one that begins with `@` a key in JSON such as `@type`.
NAME = re.compile(r"[A-Za-z@{/][\w.:{}\[\]/-]*")


@cache
def nodes(tree: ast.AST) -> tuple[ast.AST, ...]:
    """Returns all nodes of a tree."""
    return tuple(ast.walk(tree))


def literal_text(node: ast.expr) -> str | None:
    """Returns the text of a literal, with `{}` for each interpolated value; None for other expressions."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.Constant) and isinstance(node.value, bytes):
        return node.value.decode("latin-1")
    if isinstance(node, ast.JoinedStr):
        return "".join(str(part.value) if isinstance(part, ast.Constant) else "{}" for part in node.values)
    return None


def names_in_text(text: str) -> Iterator[str]:
    """Yields the names in a literal: the name of each `name=value`, and single words between tabs, commas or
    line ends. Such a cell contains a name if exactly one of its words has that form, and the others are only
    punctuation, numbers and `%` formats. Prose contains none.
    """
    for cell in re.split(r"[\t\r\n,]+", text):
        if (pair := re.match(r"([A-Za-z][\w.-]*)=", cell)) is not None:
            yield pair[1]
            continue
        words = [word.strip(":=()|'\"") for word in cell.split()]
        names = [w for w in words if NAME.fullmatch(w) and re.search("[A-Za-z]", w.replace("{}", ""))]
        if len(names) == 1 and all(w in names or not re.search(r"(?<!%)[A-Za-z]", w) for w in words):
            yield names[0]


def dict_keys(module: ast.Module) -> Iterator[str]:
    """Yields the string keys of all dict literals of a module."""
    literals = (key for node in nodes(module) if isinstance(node, ast.Dict) for key in node.keys if key)
    return (literal for key in literals if (literal := literal_text(key)) is not None)


def called_name(node: ast.Call) -> str:
    """Returns the name of the called function or method without its qualifiers; empty if it has no name."""
    match node.func:
        case ast.Attribute(attr=name) | ast.Name(id=name):
            return name
    return ""


@cache
def calls_in(tree: ast.AST) -> tuple[ast.Call, ...]:
    """Returns all calls in a tree."""
    return tuple(node for node in nodes(tree) if isinstance(node, ast.Call))


@cache
def string_literals(module: ast.Module) -> frozenset[str]:
    """Returns all string literals of a module."""
    texts = (literal_text(node) for node in nodes(module) if isinstance(node, ast.expr))
    return frozenset(text for text in texts if text is not None)
