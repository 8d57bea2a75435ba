"""Reads the commands, flags and arguments of the command line."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from benchmarks.external_names.external_name import ExternalName
from benchmarks.external_names.scopes import scopes
from benchmarks.external_names.source import Source
from benchmarks.external_names.syntax import called_name, calls_in, literal_text, nodes


@dataclass(slots=True)
class CommandPrefixes:
    """The words before the commands of each Typer application, by module path and variable."""

    by_application: dict[tuple[str, str], str] = field(default_factory=dict)


def command_prefixes(source: Source) -> CommandPrefixes:
    """Finds the words that `add_typer` puts before the commands of each Typer application."""
    prefixes = CommandPrefixes()
    for path, module in source.modules.items():
        imported = {
            alias.asname or alias.name: (f"{node.module.partition('.')[2].replace('.', '/')}.py", alias.name)
            for node in nodes(module)
            if isinstance(node, ast.ImportFrom) and node.module
            for alias in node.names
        }
        for call in calls_in(module):
            if called_name(call) == "add_typer" and isinstance(call.args[0], ast.Name):
                names = [literal_text(k.value) for k in call.keywords if k.arg == "name"]
                variable = call.args[0].id
                prefixes.by_application[imported.get(variable, (path, variable))] = (
                    f"{names[0]} " if names else ""
                )
    return prefixes


def parameter_names(module: ast.Module, arg: ast.arg, has_default: bool) -> Iterator[tuple[str, str]]:
    """Yields the external names of a command's parameter as pairs of kind and name: `flag` with each flag of
    an option, or `argument` with the parameter's name.
    """
    annotation = arg.annotation
    if isinstance(annotation, ast.Name):
        annotation = next(iter(scopes(module)[0].assigned(annotation.id)), annotation)
    annotation_text = ast.unparse(annotation) if annotation is not None else ""
    if "typer.Context" in annotation_text:
        return
    declarations = (
        [c for c in calls_in(annotation) if called_name(c) in ("Option", "Argument")] if annotation else []
    )
    is_option = called_name(declarations[0]) == "Option" if declarations else has_default
    if not is_option:
        yield "argument", arg.arg
        return
    flags = [
        name for call in declarations for a in call.args if (name := literal_text(a)) and name.startswith("-")
    ]
    flag_name = arg.arg.replace("_", "-")
    if not flags:
        flags = [f"--{flag_name}"] + (
            [f"--no-{flag_name}"] if re.match(r"(Annotated\[)?bool\b", annotation_text) else []
        )
    yield from (("flag", name) for name in flags)


def command_name(node: ast.FunctionDef, call: ast.Call, prefix: str) -> str:
    """Returns the words that call the command that a decorator makes of a function, with the prefix of its
    application. Empty for the callback of the main application.
    """
    default_name = node.name.replace("_", "-") if called_name(call) == "command" else ""
    return prefix + (literal_text(call.args[0]) or default_name if call.args else default_name)


def names_of_command(module: ast.Module, node: ast.FunctionDef, name: str) -> Iterator[ExternalName]:
    """Yields one command with its flags and arguments."""
    if name:
        yield ExternalName("command", name)
    first_optional = len(node.args.args) - len(node.args.defaults)
    for index, arg in enumerate(node.args.args):
        for kind, parameter in parameter_names(module, arg, index >= first_optional):
            yield ExternalName(kind, f"{name} {parameter}".strip())


def command_names(source: Source) -> Iterator[ExternalName]:
    """Yields all commands with their flags and arguments."""
    prefixes = command_prefixes(source)
    for path, module in source.modules.items():
        for node in nodes(module):
            if not isinstance(node, ast.FunctionDef):
                continue
            for call in node.decorator_list:
                if not (isinstance(call, ast.Call) and called_name(call) in ("command", "callback")):
                    continue
                assert isinstance(call.func, ast.Attribute)
                prefix = prefixes.by_application.get((path, ast.unparse(call.func.value)), "")
                yield from names_of_command(module, node, command_name(node, call, prefix))
