"""Reads log events and their fields, and finds out whether tests or documentation pages mention them."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterable, Iterator

from benchmarks.external_names.external_name import ExternalName, qualified
from benchmarks.external_names.scopes import Scope, call_fields, possible_keys, possible_names, scopes
from benchmarks.external_names.source import Source, parse
from benchmarks.external_names.syntax import called_name, dict_keys, string_literals
from benchmarks.external_names.tables import LOG_CALLS, LOG_FIELD_MODULES, LOG_PAIR_MODULES, OWN_TEST


def logged_pairs(scope: Scope) -> Iterator[tuple[list[str], list[str]]]:
    """Yields each log event represented as a pair: the names that it can have, and the keys of its fields."""
    for node in scope.nodes:
        match node:
            case ast.Tuple(elts=[name, ast.Dict() | ast.Name() as fields]):
                events, keys = possible_names(scope, name), list(possible_keys(scope, fields))
                if events and keys:
                    yield events, keys


def is_log_call(call: ast.Call) -> bool:
    """Whether a call writes a log event; a call of `add` does only if it has a name and keyword arguments."""
    return (
        called_name(call) in LOG_CALLS
        and bool(call.args)
        and (called_name(call) != "add" or bool(call.keywords))
    )


def log_names(module: ast.Module) -> Iterator[ExternalName]:
    """Yields log events and their fields; `add_mentions` adds where an event is mentioned."""
    for scope in scopes(module):
        for call in filter(is_log_call, scope.calls):
            events = possible_names(scope, call.args[0])
            yield from (ExternalName("log-event", event) for event in events)
            yield from qualified("log-field", events, call_fields(scope, call))


def log_names_in_pairs(source: Source) -> Iterator[ExternalName]:
    """Yields log events represented as pairs, and the fields in modules whose dicts are all fields of log
    events.
    """
    for module in source.modules_in(LOG_PAIR_MODULES):
        for scope in scopes(module):
            for events, keys in logged_pairs(scope):
                yield from (ExternalName("log-event", event) for event in events)
                yield from qualified("log-field", events, keys)
    for module in source.modules_in(LOG_FIELD_MODULES):
        yield from (ExternalName("log-field", key) for key in dict_keys(module))


def texts_to_search(source: Source) -> tuple[str, str]:
    """Returns the texts in which mentions of log events are searched: the string literals of the tests, and
    the code spans and blocks of the documentation pages.
    """
    tests = [
        parse(path, t) for path, t in source.texts.items() if path.startswith("tests/") and path != OWN_TEST
    ]
    pages = [t for path, t in source.texts.items() if path.startswith("docs/")]
    literals = [text for module in tests for text in string_literals(module)]
    code = [span for page in pages for span in re.findall(r"```.*?```|`[^`\n]+`", page, re.DOTALL)]
    return "\n".join(literals), "\n".join(code)


def add_mentions(names: Iterable[ExternalName], tests: str, pages: str) -> Iterator[ExternalName]:
    """Yields the names, with `mentioned_in` filled in for log events."""
    for name in names:
        if name.kind != "log-event":
            yield name
            continue
        pattern = re.escape(name.name).replace(r"\{\}", r"[\w-]+")
        word = re.compile(rf"(?<![\w.-]){pattern}(?![\w-])")
        mentioned_in = [place for place, text in (("test", tests), ("page", pages)) if word.search(text)]
        yield ExternalName(name.kind, name.name, "+".join(mentioned_in) or "-")
