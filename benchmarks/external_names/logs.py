"""Reads log events and their fields, and finds which tests and pages name them."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterable, Iterator

from benchmarks.external_names.external_name import ExternalName, qualified
from benchmarks.external_names.scopes import Scope, call_fields, keys_of, names_in, scopes
from benchmarks.external_names.source import Source, parse
from benchmarks.external_names.syntax import called, dict_keys, string_nodes
from benchmarks.external_names.tables import LOG_CALLS, LOG_FIELDS, LOG_PAIRS, OWN_TEST


def logged_pairs(scope: Scope) -> Iterator[tuple[list[str], list[str]]]:
    """Events that are stated as pairs: the names that it may have, and the keys of its fields."""
    for node in scope.nodes:
        match node:
            case ast.Tuple(elts=[name, ast.Dict() | ast.Name() as facts]):
                events, keys = names_in(scope, name), list(keys_of(scope, facts))
                if events and keys:
                    yield events, keys


def is_log_call(call: ast.Call) -> bool:
    """Whether a call writes a log event; an `add` is one only with a name and fields."""
    return called(call) in LOG_CALLS and bool(call.args) and (called(call) != "add" or bool(call.keywords))


def log_names(module: ast.Module) -> Iterator[ExternalName]:
    """Log events and their fields, yet without what matches them."""
    for scope in scopes(module):
        for call in filter(is_log_call, scope.calls):
            events = names_in(scope, call.args[0])
            yield from (ExternalName("log-event", event) for event in events)
            yield from qualified("log-field", events, call_fields(scope, call))


def log_names_in_pairs(source: Source) -> Iterator[ExternalName]:
    """Log events that are stated as pairs or, one for all, as dicts of their fields alone."""
    for module in source.under(LOG_PAIRS):
        for scope in scopes(module):
            for events, keys in logged_pairs(scope):
                yield from (ExternalName("log-event", event) for event in events)
                yield from qualified("log-field", events, keys)
    for module in source.under(LOG_FIELDS):
        yield from (ExternalName("log-field", key) for key in dict_keys(module))


def matched_texts(source: Source) -> tuple[str, str]:
    """What the tests have in string literals, and what the pages have as code."""
    tests = [
        parse(path, t) for path, t in source.texts.items() if path.startswith("tests/") and path != OWN_TEST
    ]
    pages = [t for path, t in source.texts.items() if path.startswith("docs/")]
    literals = [text for module in tests for text in string_nodes(module)]
    code = [span for page in pages for span in re.findall(r"```.*?```|`[^`\n]+`", page, re.DOTALL)]
    return "\n".join(literals), "\n".join(code)


def mark_events(names: Iterable[ExternalName], tests: str, pages: str) -> Iterator[ExternalName]:
    """The names, with where each log event is matched on."""
    for name in names:
        if name.kind != "log-event":
            yield name
            continue
        pattern = re.escape(name.name).replace(r"\{\}", r"[\w-]+")
        word = re.compile(rf"(?<![\w.-]){pattern}(?![\w-])")
        seen = [where for where, text in (("test", tests), ("page", pages)) if word.search(text)]
        yield ExternalName(name.kind, name.name, "+".join(seen) or "-")
