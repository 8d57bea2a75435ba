"""Reads the names in the string literals of the modules in `LITERAL_MODULES`, most of which are codecs."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from functools import cache

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called_name, literal_text, names_in_text
from benchmarks.external_names.tables import INTERNAL_CALLS, LITERAL_MODULES, LOG_CALLS


class LiteralNames(ast.NodeVisitor):
    """Collects the names in a module's string literals, apart from docstrings, annotations, error messages
    and the names of log events and of their fields.
    """

    def __init__(self) -> None:
        self.names: set[str] = set()

    def visit_Constant(self, node: ast.Constant) -> None:
        """Collects the names in a literal."""
        self.names.update(names_in_text(literal_text(node) or ""))

    def visit_JoinedStr(self, node: ast.JoinedStr) -> None:
        """Collects the names in an f-string and in the literals of its interpolated values."""
        self.names.update(names_in_text(literal_text(node) or ""))
        for part in node.values:
            if isinstance(part, ast.FormattedValue):
                self.visit(part.value)

    def visit_Expr(self, node: ast.Expr) -> None:
        """Skips docstrings."""
        if not isinstance(node.value, ast.Constant):
            self.generic_visit(node)

    def visit_Call(self, node: ast.Call) -> None:
        """Skips the arguments of internal calls and of `struct`; of a log call, visits the values of its
        fields.
        """
        is_struct_call = isinstance(node.func, ast.Attribute) and ast.unparse(node.func.value) == "struct"
        # `add` is also a method of sets and other classes, so its arguments are visited like those of any
        # call.
        if called_name(node) in LOG_CALLS - {"add"}:
            for keyword in node.keywords:
                self.visit(keyword.value)
        elif called_name(node) not in INTERNAL_CALLS and not is_struct_call:
            self.generic_visit(node)

    def visit_Raise(self, node: ast.Raise) -> None:
        """Skips error messages, which are prose."""

    def visit_arg(self, node: ast.arg) -> None:
        """Skips the annotations of parameters."""

    def visit_AnnAssign(self, node: ast.AnnAssign) -> None:
        """Visits the value but not the annotation."""
        if node.value is not None:
            self.visit(node.value)

    def visit_Assign(self, node: ast.Assign) -> None:
        """Skips internal attributes such as `__slots__`."""
        if not any(isinstance(t, ast.Name) and t.id.startswith("__") for t in node.targets):
            self.generic_visit(node)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        """Visits the defaults and the body, but neither the decorators nor the return annotation."""
        for part in (*node.args.defaults, *filter(None, node.args.kw_defaults), *node.body):
            self.visit(part)


@cache
def literals_in(module: ast.Module) -> frozenset[str]:
    """Returns the names in a module's string literals."""
    visitor = LiteralNames()
    visitor.visit(module)
    return frozenset(visitor.names)


def literal_names(source: Source) -> Iterator[ExternalName]:
    """Yields the names in the string literals of the modules in `LITERAL_MODULES`."""
    for kind, paths in LITERAL_MODULES.items():
        for module in source.modules_in(paths):
            yield from (ExternalName(kind, name) for name in literals_in(module))
