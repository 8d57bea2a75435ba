"""Reads the names in the string literals of the codecs."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from functools import cache

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called, text_of, words_of
from benchmarks.external_names.tables import INTERNAL_CALLS, LITERALS, LOG_CALLS


class LiteralNames(ast.NodeVisitor):
    """Collects the names in a module's string literals: no docstrings, annotations, errors or log lines."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def visit_Constant(self, node: ast.Constant) -> None:
        """A literal."""
        self.names.update(words_of(text_of(node) or ""))

    def visit_JoinedStr(self, node: ast.JoinedStr) -> None:
        """A literal with parts filled in, which may have literals of their own."""
        self.names.update(words_of(text_of(node) or ""))
        for part in node.values:
            if isinstance(part, ast.FormattedValue):
                self.visit(part.value)

    def visit_Expr(self, node: ast.Expr) -> None:
        """A docstring is no name."""
        if not isinstance(node.value, ast.Constant):
            self.generic_visit(node)

    def visit_Call(self, node: ast.Call) -> None:
        """Arguments of internal calls, and formats of `struct`, are no names."""
        of_struct = isinstance(node.func, ast.Attribute) and ast.unparse(node.func.value) == "struct"
        if called(node) in LOG_CALLS - {"add"}:
            for keyword in node.keywords:
                self.visit(keyword.value)
        elif called(node) not in INTERNAL_CALLS and not of_struct:
            self.generic_visit(node)

    def visit_Raise(self, node: ast.Raise) -> None:
        """An error's text is prose."""

    def visit_arg(self, node: ast.arg) -> None:
        """A parameter's annotation is no name."""

    def visit_AnnAssign(self, node: ast.AnnAssign) -> None:
        """Only the value is read, not the annotation."""
        if node.value is not None:
            self.visit(node.value)

    def visit_Assign(self, node: ast.Assign) -> None:
        """`__slots__` and the like are internal."""
        if not any(isinstance(t, ast.Name) and t.id.startswith("__") for t in node.targets):
            self.generic_visit(node)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        """The annotation of what a function returns is no name."""
        for part in (*node.args.defaults, *filter(None, node.args.kw_defaults), *node.body):
            self.visit(part)


@cache
def literals_in(module: ast.Module) -> frozenset[str]:
    """The names in a module's literals."""
    visitor = LiteralNames()
    visitor.visit(module)
    return frozenset(visitor.names)


def literal_names(source: Source) -> Iterator[ExternalName]:
    """Names in the literals of the codecs."""
    for kind, paths in LITERALS.items():
        for module in source.under(paths):
            yield from (ExternalName(kind, name) for name in literals_in(module))
