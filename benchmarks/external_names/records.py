"""Reads the names in the laboratory's records."""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping

from benchmarks.external_names.external_name import ExternalName, qualified
from benchmarks.external_names.scopes import Scope, call_fields, possible_names, scopes
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called_name, dict_keys
from benchmarks.external_names.tables import NAMED_CALLS, RECORD_CALLS, RECORD_COLUMN_MODULES, TABLE_MODULES


def record_names(module: ast.Module) -> Iterator[ExternalName]:
    """Yields record kinds with their columns, and the names of tables, experiments, checks and plans."""
    for scope in scopes(module):
        for call in scope.calls:
            names = possible_names(scope, call.args[0]) if call.args else []
            if called_name(call) in RECORD_CALLS and names:
                yield from (ExternalName("record-kind", name) for name in names)
                yield from qualified("record-column", names, call_fields(scope, call))
            elif called_name(call) in NAMED_CALLS:
                yield from (ExternalName("record-value", name) for name in names)
            elif called_name(call) == "Table":
                yield from (ExternalName("record-table", name) for name in names)


def table_columns(source: Source) -> Iterator[ExternalName]:
    """Yields the columns of the tables, and the keys of all dict literals in the modules in
    `RECORD_COLUMN_MODULES`, which are columns as well.
    """
    tables = {
        target.rpartition(".")[2]: name
        for module in source.modules_in(TABLE_MODULES)
        for scope in scopes(module)
        for target, name in table_attributes(scope)
    }
    for module in source.modules_in(TABLE_MODULES):
        for scope in scopes(module):
            yield from added_columns(scope, tables)
    for module in source.modules_in(RECORD_COLUMN_MODULES):
        yield from (ExternalName("record-column", key) for key in dict_keys(module))


def added_columns(scope: Scope, tables: Mapping[str, str]) -> Iterator[ExternalName]:
    """Yields the columns of the rows that a function adds to tables. `tables`: the names of the tables by the
    last part of the attribute that holds them. Columns of an unknown table are listed without a table.
    """
    for call in scope.calls:
        if called_name(call) == "add" and not call.args and isinstance(call.func, ast.Attribute):
            table = tables.get(ast.unparse(call.func.value).rpartition(".")[2], "")
            yield from qualified("record-column", [table], call_fields(scope, call))


def table_attributes(scope: Scope) -> Iterator[tuple[str, str]]:
    """Yields each attribute that holds a table, with the table's name."""
    for node in scope.nodes:
        if not isinstance(node, ast.Assign):
            continue
        for target in node.targets:
            for attribute, value in assigned_pairs(target, node.value):
                if isinstance(value, ast.Call) and called_name(value) == "Table":
                    yield from (
                        (ast.unparse(attribute), text) for text in possible_names(scope, value.args[0])
                    )


def assigned_pairs(target: ast.expr, value: ast.expr) -> list[tuple[ast.expr, ast.expr]]:
    """Returns a target with its value; if both are tuples, one pair for each element."""
    if isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple):
        return list(zip(target.elts, value.elts, strict=True))
    return [(target, value)]
