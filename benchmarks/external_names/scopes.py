"""Finds the strings and dict keys that an expression can have, also through variables."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache, cached_property

from benchmarks.external_names.syntax import NAME, nodes, text_of


@dataclass(frozen=True, eq=False)
class Scope:
    """One function, or what a module has outside of its functions: where variables are looked up."""

    nodes: tuple[ast.AST, ...]
    outer: Scope | None = None

    @cached_property
    def values(self) -> dict[str, list[ast.expr]]:
        """Every value that is assigned to a variable here."""
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
        """All calls."""
        return tuple(node for node in self.nodes if isinstance(node, ast.Call))

    def assigned(self, name: str) -> list[ast.expr]:
        """What the variable is assigned here, else in the module."""
        return self.values.get(name) or (self.outer.assigned(name) if self.outer is not None else [])

    def keys_set(self, name: str) -> Iterator[str]:
        """The keys that are set in a dict, as `name[key] = value`."""
        for target in self.values:
            if target.startswith(f"{name}[") and (found := re.fullmatch(r"\w+\['(\w+)'\]", target)):
                yield found[1]


@cache
def scopes(module: ast.Module) -> tuple[Scope, ...]:
    """The module itself first, then its functions and methods; a function inside one is part of it."""
    own: list[ast.AST] = []
    functions: list[ast.AST] = []
    waiting: list[ast.AST] = [module]
    while waiting:
        node = waiting.pop()
        own.append(node)
        for inner in ast.iter_child_nodes(node):
            is_function = isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef)
            (functions if is_function else waiting).append(inner)
    outer = Scope(tuple(own))
    return (outer, *(Scope(nodes(function), outer) for function in functions))


def texts_of(scope: Scope, node: ast.expr, depth: int = 2) -> Iterator[str]:
    """The strings that an expression may be: of both branches, and what a variable is assigned."""
    literal = text_of(node)
    if literal is not None:
        yield literal
    elif isinstance(node, ast.IfExp):
        yield from texts_of(scope, node.body, depth)
        yield from texts_of(scope, node.orelse, depth)
    elif isinstance(node, ast.Name) and depth:
        for value in scope.assigned(node.id):
            yield from texts_of(scope, value, depth - 1)


def names_in(scope: Scope, node: ast.expr) -> list[str]:
    """The strings that an expression may be, without prose."""
    return [text for text in texts_of(scope, node) if NAME.fullmatch(text)]


def keys_of(scope: Scope, node: ast.expr) -> Iterator[str]:
    """The keys of a dict literal, also where a variable has it, with those that are set one by one."""
    if isinstance(node, ast.Dict):
        for key, value in zip(node.keys, node.values, strict=True):
            if key is None:
                yield from keys_of(scope, value)
            elif (literal := text_of(key)) is not None:
                yield literal
    elif isinstance(node, ast.Name):
        for value in scope.assigned(node.id):
            if not isinstance(value, ast.Name):
                yield from keys_of(scope, value)
        yield from scope.keys_set(node.id)
    elif isinstance(node, ast.IfExp):
        yield from keys_of(scope, node.body)
        yield from keys_of(scope, node.orelse)
    elif isinstance(node, ast.BinOp) and isinstance(node.op, ast.BitOr):
        yield from keys_of(scope, node.left)
        yield from keys_of(scope, node.right)


def call_fields(scope: Scope, call: ast.Call) -> Iterator[str]:
    """The fields that a call of the log states: its keywords, and the keys of dicts that it is given."""
    for keyword in call.keywords:
        if keyword.arg is not None:
            yield keyword.arg
        else:
            yield from keys_of(scope, keyword.value)
    for argument in call.args[1:]:
        yield from keys_of(scope, argument)
