"""Reads the commands, flags and arguments of the command line."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.scopes import scopes
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called, calls, nodes, text_of


@dataclass(slots=True)
class CommandGroups:
    """The words before a module's commands, by module and variable."""

    words: dict[tuple[str, str], str] = field(default_factory=dict)


def command_groups(source: Source) -> CommandGroups:
    """Where `add_typer` puts the commands of each variable."""
    groups = CommandGroups()
    for path, module in source.modules.items():
        imported = {
            alias.asname or alias.name: (f"{node.module.partition('.')[2].replace('.', '/')}.py", alias.name)
            for node in nodes(module)
            if isinstance(node, ast.ImportFrom) and node.module
            for alias in node.names
        }
        for call in calls(module):
            if called(call) == "add_typer" and isinstance(call.args[0], ast.Name):
                names = [text_of(k.value) for k in call.keywords if k.arg == "name"]
                variable = call.args[0].id
                groups.words[imported.get(variable, (path, variable))] = f"{names[0]} " if names else ""
    return groups


def parameter_names(module: ast.Module, arg: ast.arg, has_default: bool) -> Iterator[tuple[str, str]]:
    """The flags of a command's parameter, or its name as an argument; with their kinds."""
    annotation = arg.annotation
    if isinstance(annotation, ast.Name):
        annotation = next(iter(scopes(module)[0].assigned(annotation.id)), annotation)
    shown = ast.unparse(annotation) if annotation is not None else ""
    if "typer.Context" in shown:
        return
    declared = [c for c in calls(annotation) if called(c) in ("Option", "Argument")] if annotation else []
    is_option = called(declared[0]) == "Option" if declared else has_default
    if not is_option:
        yield "argument", arg.arg
        return
    given = [name for call in declared for a in call.args if (name := text_of(a)) and name.startswith("-")]
    plain = arg.arg.replace("_", "-")
    if not given:
        given = [f"--{plain}"] + ([f"--no-{plain}"] if re.match(r"(Annotated\[)?bool\b", shown) else [])
    yield from (("flag", name) for name in given)


def command_name(node: ast.FunctionDef, call: ast.Call, group: str) -> str:
    """The words of the command that a decorator makes of a function; empty for the callback of all."""
    own = node.name.replace("_", "-") if called(call) == "command" else ""
    return group + (text_of(call.args[0]) or own if call.args else own)


def names_of_command(module: ast.Module, node: ast.FunctionDef, name: str) -> Iterator[ExternalName]:
    """One command with its flags and its arguments."""
    if name:
        yield ExternalName("command", name)
    least = len(node.args.args) - len(node.args.defaults)
    for n, arg in enumerate(node.args.args):
        for kind, flag in parameter_names(module, arg, n >= least):
            yield ExternalName(kind, f"{name} {flag}".strip())


def command_names(source: Source) -> Iterator[ExternalName]:
    """Commands, their flags and their arguments."""
    groups = command_groups(source)
    for path, module in source.modules.items():
        for node in nodes(module):
            if not isinstance(node, ast.FunctionDef):
                continue
            for call in node.decorator_list:
                if not (isinstance(call, ast.Call) and called(call) in ("command", "callback")):
                    continue
                assert isinstance(call.func, ast.Attribute)
                group = groups.words.get((path, ast.unparse(call.func.value)), "")
                yield from names_of_command(module, node, command_name(node, call, group))
