"""Finds the strings and dict keys that an expression can have, also through variables."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache, cached_property

from benchmarks.external_names.syntax import NAME, literal_text, nodes


@dataclass(frozen=True, eq=False)
class Scope:
    """One function, or the code of a module outside its functions, in which variables are looked up."""

    nodes: tuple[ast.AST, ...]
    outer: Scope | None = None

    @cached_property
    def values(self) -> dict[str, list[ast.expr]]:
        """The values that are assigned to each variable in this scope."""
        values: dict[str, list[ast.expr]] = {}
        for node in self.nodes:
            if isinstance(node, ast.AugAssign):
                values.setdefault(ast.unparse(node.target), []).append(node.value)
            elif isinstance(node, ast.Assign | ast.AnnAssign) and node.value is not None:
                for target in node.targets if isinstance(node, ast.Assign) else [node.target]:
                    values.setdefault(ast.unparse(target), []).append(node.value)
        return values

    @cached_property
    def calls(self) -> tuple[ast.Call, ...]:
        """All calls in this scope."""
        return tuple(node for node in self.nodes if isinstance(node, ast.Call))

    def assigned(self, name: str) -> list[ast.expr]:
        """Returns the values assigned to a variable in this scope or, if there are none, in the module."""
        return self.values.get(name) or (self.outer.assigned(name) if self.outer is not None else [])

    def assigned_keys(self, name: str) -> Iterator[str]:
        """Yields the keys that are set in a dict by `name[key] = value`."""
        for target in self.values:
            if target.startswith(f"{name}[") and (match := re.fullmatch(r"\w+\['(\w+)'\]", target)):
                yield match[1]


@cache
def scopes(module: ast.Module) -> tuple[Scope, ...]:
    """Returns the scope of the module first, then those of its functions and methods. A nested function is
    part of the scope of its outer function.
    """
    module_nodes: list[ast.AST] = []
    functions: list[ast.AST] = []
    pending: list[ast.AST] = [module]
    while pending:
        node = pending.pop()
        module_nodes.append(node)
        for child in ast.iter_child_nodes(node):
            is_function = isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef)
            (functions if is_function else pending).append(child)
    outer = Scope(tuple(module_nodes))
    return (outer, *(Scope(nodes(function), outer) for function in functions))


def possible_texts(scope: Scope, node: ast.expr, depth: int = 2) -> Iterator[str]:
    """Yields the strings that an expression can evaluate to, from both branches of a conditional expression
    and from the values assigned to a variable, through at most `depth` variables.
    """
    literal = literal_text(node)
    if literal is not None:
        yield literal
    elif isinstance(node, ast.IfExp):
        yield from possible_texts(scope, node.body, depth)
        yield from possible_texts(scope, node.orelse, depth)
    elif isinstance(node, ast.Name) and depth:
        for value in scope.assigned(node.id):
            yield from possible_texts(scope, value, depth - 1)


def possible_names(scope: Scope, node: ast.expr) -> list[str]:
    """Returns the strings that an expression can evaluate to and that have the form of a name."""
    return [text for text in possible_texts(scope, node) if NAME.fullmatch(text)]


def possible_keys(scope: Scope, node: ast.expr) -> Iterator[str]:
    """Yields the keys of the dict literals that an expression can evaluate to, with the keys that are set one
    by one in a variable.
    """
    if isinstance(node, ast.Dict):
        for key, value in zip(node.keys, node.values, strict=True):
            if key is None:
                yield from possible_keys(scope, value)
            elif (literal := literal_text(key)) is not None:
                yield literal
    elif isinstance(node, ast.Name):
        for value in scope.assigned(node.id):
            if not isinstance(value, ast.Name):
                yield from possible_keys(scope, value)
        yield from scope.assigned_keys(node.id)
    elif isinstance(node, ast.IfExp):
        yield from possible_keys(scope, node.body)
        yield from possible_keys(scope, node.orelse)
    elif isinstance(node, ast.BinOp) and isinstance(node.op, ast.BitOr):
        yield from possible_keys(scope, node.left)
        yield from possible_keys(scope, node.right)


def call_fields(scope: Scope, call: ast.Call) -> Iterator[str]:
    """Yields the fields that a call writes: its keywords, and the keys of the dicts passed to it."""
    for keyword in call.keywords:
        if keyword.arg is not None:
            yield keyword.arg
        else:
            yield from possible_keys(scope, keyword.value)
    for argument in call.args[1:]:
        yield from possible_keys(scope, argument)
