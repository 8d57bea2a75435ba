"""Reads the names of environment variables, files, folders and metrics."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator

from benchmarks.external_names.constants import constant_values
from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.scopes import possible_texts, scopes
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import literal_text, nodes, string_literals
from benchmarks.external_names.tables import FOLDER_LAYOUT_MODULE

VARIABLE_NAME = re.compile(r"(RELAY|SAILRUN)_[A-Z0-9_]*")
FILE_NAME = re.compile(r"[\w{}-][\w{}.-]*\.(json|toml|log|parquet|html|sock|new|txt)")
METRIC_LINE = re.compile(r"(?P<name>[\w.{}-]+):\{\}\|(?P<type>[a-z]+)")


def environment_names(module: ast.Module) -> Iterator[ExternalName]:
    """Yields the names of environment variables, and the prefixes that such names are built from."""
    yield from (
        ExternalName("environment", text) for text in string_literals(module) if VARIABLE_NAME.fullmatch(text)
    )
    for scope in scopes(module):
        for call in scope.calls:
            name_nodes = [k.value for k in call.keywords if k.arg == "envvar"]
            if re.search(r"\benviron\.\w+$|\bgetenv$", ast.unparse(call.func)):
                name_nodes += call.args[:1]
            yield from (
                ExternalName("environment", text)
                for node in name_nodes
                for text in possible_texts(scope, node)
            )


def path_names(module: ast.Module) -> Iterator[ExternalName]:
    """Yields the names of files and folders: literals that are the right operand of `/` or have a known
    extension.
    """
    for node in nodes(module):
        if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Div):
            yield from (ExternalName("path", text) for text in [literal_text(node.right)] if text)
    yield from (ExternalName("path", text) for text in string_literals(module) if FILE_NAME.fullmatch(text))


def layout_names(source: Source) -> Iterator[ExternalName]:
    """Yields the names of the files in a node's storage folder."""
    for module in source.modules_in((FOLDER_LAYOUT_MODULE,)):
        yield from (ExternalName("path", name) for name in constant_values(module.body))


def metric_names(module: ast.Module) -> Iterator[ExternalName]:
    """Yields the metrics written in the StatsD line format, each with its name and type."""
    for node in nodes(module):
        if (
            isinstance(node, ast.JoinedStr)
            and (match := METRIC_LINE.fullmatch(with_constants(module, node))) is not None
        ):
            yield ExternalName("metric", f"{match['name']}|{match['type']}")


def with_constants(module: ast.Module, node: ast.JoinedStr) -> str:
    """Returns an f-string with the module's string constants filled in, and `{}` for other values."""
    parts: list[str] = []
    for part in node.values:
        value = part.value if isinstance(part, ast.FormattedValue) else part
        parts += list(possible_texts(scopes(module)[0], value))[:1] or ["{}"]
    return "".join(parts)
