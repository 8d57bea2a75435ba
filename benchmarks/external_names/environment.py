"""Reads environment variables, names of files and folders, and metrics."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator

from benchmarks.external_names.constants import constant_values
from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.scopes import scopes, texts_of
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import nodes, string_nodes, text_of
from benchmarks.external_names.tables import LAYOUT

VARIABLE = re.compile(r"(RELAY|SAILRUN)_[A-Z0-9_]*")
FILE = re.compile(r"[\w{}-][\w{}.-]*\.(json|toml|log|parquet|html|sock|new|txt)")
METRIC = re.compile(r"(?P<name>[\w.{}-]+):\{\}\|(?P<sort>[a-z]+)")


def environment_names(module: ast.Module) -> Iterator[ExternalName]:
    """Variables of the environment, and prefixes of theirs."""
    yield from (
        ExternalName("environment", text) for text in string_nodes(module) if VARIABLE.fullmatch(text)
    )
    for scope in scopes(module):
        for call in scope.calls:
            read = [k.value for k in call.keywords if k.arg == "envvar"]
            if re.search(r"\benviron\.\w+$|\bgetenv$", ast.unparse(call.func)):
                read += call.args[:1]
            yield from (ExternalName("environment", text) for node in read for text in texts_of(scope, node))


def path_names(module: ast.Module) -> Iterator[ExternalName]:
    """Names of files and folders: joined to a path, or of a known ending."""
    for node in nodes(module):
        if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Div):
            yield from (ExternalName("path", text) for text in [text_of(node.right)] if text)
    yield from (ExternalName("path", text) for text in string_nodes(module) if FILE.fullmatch(text))


def layout_names(source: Source) -> Iterator[ExternalName]:
    """Names of the files in a node's folder."""
    for module in source.under((LAYOUT,)):
        yield from (ExternalName("path", name) for name in constant_values(module.body))


def metric_names(module: ast.Module) -> Iterator[ExternalName]:
    """Metrics in the form of the StatsD line protocol: the name and what sort it is of."""
    for node in nodes(module):
        if isinstance(node, ast.JoinedStr) and (found := METRIC.fullmatch(filled(module, node))) is not None:
            yield ExternalName("metric", f"{found['name']}|{found['sort']}")


def filled(module: ast.Module, node: ast.JoinedStr) -> str:
    """A literal with the module's constants filled in."""
    parts: list[str] = []
    for part in node.values:
        value = part.value if isinstance(part, ast.FormattedValue) else part
        parts += list(texts_of(scopes(module)[0], value))[:1] or ["{}"]
    return "".join(parts)
