"""Finds string literals and calls in a syntax tree."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache

NAME = re.compile(r"[A-Za-z@{/][\w.:{}\[\]/-]*")


@cache
def nodes(module: ast.AST) -> tuple[ast.AST, ...]:
    """All nodes of a tree."""
    return tuple(ast.walk(module))


def text_of(node: ast.expr) -> str | None:
    """A string literal, with `{}` for what is filled in; None for any other expression."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.Constant) and isinstance(node.value, bytes):
        return node.value.decode("latin-1")
    if isinstance(node, ast.JoinedStr):
        return "".join(str(part.value) if isinstance(part, ast.Constant) else "{}" for part in node.values)
    return None


def words_of(text: str) -> Iterator[str]:
    """The names in a literal: words between tabs, the name of a name=value. Prose has none."""
    for cell in re.split(r"[\t\r\n,]+", text):
        if (pair := re.match(r"([A-Za-z][\w.-]*)=", cell)) is not None:
            yield pair[1]
            continue
        words = [word.strip(":=()|'\"") for word in cell.split()]
        named = [w for w in words if NAME.fullmatch(w) and re.search("[A-Za-z]", w.replace("{}", ""))]
        if len(named) == 1 and all(w in named or not re.search(r"(?<!%)[A-Za-z]", w) for w in words):
            yield named[0]


def dict_keys(module: ast.Module) -> Iterator[str]:
    """The keys of all dict literals of a module."""
    literals = (key for node in nodes(module) if isinstance(node, ast.Dict) for key in node.keys if key)
    return (literal for key in literals if (literal := text_of(key)) is not None)


def called(node: ast.Call) -> str:
    """The last part of what is called."""
    match node.func:
        case ast.Attribute(attr=name) | ast.Name(id=name):
            return name
    return ""


@cache
def calls(module: ast.AST) -> tuple[ast.Call, ...]:
    """All calls in a module."""
    return tuple(node for node in nodes(module) if isinstance(node, ast.Call))


@cache
def string_nodes(module: ast.Module) -> frozenset[str]:
    """All string literals of a module."""
    texts = (text_of(node) for node in nodes(module) if isinstance(node, ast.expr))
    return frozenset(text for text in texts if text is not None)
