"""Lists every name that leaves the process, as the parsed source has it: one `kind<TAB>name` a line.

    python -m benchmarks.external_names           prints the list
    python -m benchmarks.external_names --write   writes benchmarks/external_names.txt

Clients, nodes of other versions, files and scripts rely on these names, so a change of one is a change of an
interface. The tables below say which module is read for which kind; the names come from the source alone.
Fields of messages that are packed as arrays have no name outside the process and are not listed. A log event
has a third column that says whether a test or an operator's page names it.
"""

from __future__ import annotations

import argparse
import ast
import re
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import cache, cached_property
from pathlib import Path, PurePosixPath
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "benchmarks" / "external_names.txt"
PACKAGE = "sailrun"

# Codecs whose names are string literals, by kind. A folder stands for all of its modules.
LITERALS: dict[str, tuple[str, ...]] = {
    "text-protocol": ("text_protocol/lines.py", "text_protocol/clients.py", "text_protocol/neighbours.py"),
    "amqp": ("amqp",),
    "xds": ("xds",),
    "registry": ("discovery.py", "http_calls.py", "leadership/shared_discovery.py"),
    "control": (
        "control",
        "leadership/status.py",
        "leadership/permits.py",
        "leadership/rolling_drain.py",
        "sharding/status.py",
        "replication/inspection.py",
        "replication/mark_client.py",
    ),
    "hot-restart": ("hot_restart",),
    "simulator": ("wire.py", "wire_fields.py", "benchlink.py"),
    "settings": ("settings_codec.py", "config.py", "sidecar.py", "lab/settings.py"),
    "stored": (
        "storage/entries.py",
        "storage/frames.py",
        "storage/folder_identity.py",
        "storage/decision_snapshot.py",
        "storage/cli.py",
        "replication/records.py",
        "replication/server_lists.py",
    ),
    "fleet-value": ("membership", "leadership", "replication", "sharding", "storage/messages.py"),
    "log-value": (
        *("node", "storage", "hot_restart", "decisions", "text_protocol", "rebalance"),
        *("front.py", "serve.py", "connection.py"),
    ),
    "record-value": (
        "lab/run.py",
        "lab/figures.py",
        "lab/checks.py",
        "lab/experiments.py",
        "lab/sweep.py",
        "lab/scale/checks.py",
        "lab/scale/results.py",
        "lab/scale/roles.py",
        "lab/scale/stretches.py",
    ),
}
# Modules of which only string constants and values of enumerations are written.
CONSTANTS: dict[str, tuple[str, ...]] = {
    "simulator": ("decisions/events.py", "decisions/actions.py", "decisions/settings.py"),
    "log-value": ("errors.py", "discovery.py"),
}
# Modules of binary formats: what `struct` is told.
FORMATS = ("load_gossip", "rebalance/gossip.py", "storage/frames.py")
# Enumerations whose members are written by their names, and not by their values.
MEMBERS: dict[str, tuple[tuple[str, str], ...]] = {
    "log-value": (("decisions/events.py", "ListKind"), ("membership/messages.py", "MemberState")),
}
# Modules of msgspec structures.
STRUCTS: dict[str, tuple[str, ...]] = {
    "fleet-message": ("membership", "leadership", "replication", "sharding", "storage/messages.py"),
    "stored": ("storage/entries.py", "storage/decision_snapshot.py"),
    "laboratory-message": ("lab/scale/host_messages.py",),
    "record-column": ("lab/run.py", "lab/sweep.py"),
}
# Classes whose fields are written by their names, with the event or table that has them.
FIELDS: dict[str, tuple[tuple[str, str, str], ...]] = {
    "log-value": (("reloaded", "config.py", "NodeConfig"),),
    "record-column": (
        ("uses", "lab/scale/roles.py", "NodeUse"),
        ("world", "lab/scale/plan.py", "ScalePlan"),
    ),
}
# Modules whose every structure is shown with the names of its fields.
SHOWN_STRUCTS: dict[str, str] = {"stored": "storage/entries.py"}
# Modules whose classes are named in log lines and records.
WRITTEN_CLASSES: dict[str, tuple[str, ...]] = {
    "log-value": ("decisions/events.py", "decisions/actions.py", "errors.py"),
    "record-value": ("lab/scale/faults.py",),
}
# Modules that state log events as pairs of a name and a dict, or only the dict of the fields.
LOG_PAIRS = ("sharding", "replication", "leadership", "storage", "membership")
LOG_FIELDS = ("rebalance/balance.py", "sharding/log_events.py", "sharding/agent.py")
OPERATOR = ("operator_settings.py", "Operator")
LAYOUT = "storage/folder_layout.py"

# The test of this list names events on purpose: it is none that relies on them.
OWN_TEST = "tests/test_external_names.py"

LOG_CALLS = {"log", "_log", "log_event", "_log_event", "LogEvent", "add"}
RECORD_CALLS = {
    "record",
    "_record",
    "_record_event",
    "row",
    "_row",
    "note",
    "record_event",
    "told",
    "log_act",
}
# Calls whose first argument names an experiment, a check or a plan in the records.
NAMED_CALLS = {"Check", "Counted", "Experiment", "Plan", "ShardPlan"}
# Calls whose string arguments are no names outside the process.
INTERNAL_CALLS = {
    *("log", "_log", "getattr", "setattr", "hasattr", "encode", "decode", "TypeVar", "NewType", "compile"),
    *(
        "to_bytes",
        "from_bytes",
        "Typer",
        "Option",
        "Argument",
        "namedtuple",
        "print",
        "complain",
        "environ",
        "HasField",
        "command",
    ),
}
NAME = re.compile(r"[A-Za-z@{/][\w.:{}\[\]/-]*")
VARIABLE = re.compile(r"(RELAY|SAILRUN)_[A-Z0-9_]*")
FILE = re.compile(r"[\w{}-][\w{}.-]*\.(json|toml|log|parquet|html|sock|new|txt)")
METRIC = re.compile(r"(?P<name>[\w.{}-]+):\{\}\|(?P<sort>[a-z]+)")


class MissingModuleError(Exception):
    """A table above names a module or a class that the source does not have."""


@dataclass(frozen=True, slots=True, order=True)
class ExternalName:
    """One name; `seen`: where a log event is matched on, for other kinds empty."""

    kind: str
    name: str
    seen: str = ""

    def line(self) -> str:
        """The line of the list."""
        return "\t".join(filter(None, (self.kind, self.name, self.seen)))


@dataclass(frozen=True)
class Source:
    """The texts that names are read from, by their path from the root of the repository."""

    texts: Mapping[str, str]

    @cached_property
    def modules(self) -> dict[str, ast.Module]:
        """The parsed package, by path from the package's folder."""
        prefix = f"{PACKAGE}/"
        return {
            path.removeprefix(prefix): parse(path, text)
            for path, text in self.texts.items()
            if path.startswith(prefix) and path.endswith(".py")
        }

    def under(self, paths: Iterable[str]) -> Iterator[ast.Module]:
        """The modules at these paths, and in these folders. Raises MissingModuleError."""
        for path in paths:
            found = [m for p, m in self.modules.items() if p == path or p.startswith(f"{path}/")]
            if not found:
                raise MissingModuleError(f"{PACKAGE}/{path} is named in a table, but does not exist")
            yield from found

    def class_at(self, path: str, name: str) -> ast.ClassDef:
        """A class by its module and name. Raises MissingModuleError."""
        for module in self.under((path,)):
            for statement in module.body:
                if isinstance(statement, ast.ClassDef) and statement.name == name:
                    return statement
        raise MissingModuleError(f"{PACKAGE}/{path} has no class {name}, which a table names")


@cache
def parse(path: str, text: str) -> ast.Module:
    """A module's tree; the same text is parsed once."""
    return ast.parse(text, path)


@cache
def nodes(module: ast.AST) -> tuple[ast.AST, ...]:
    """All nodes of a tree."""
    return tuple(ast.walk(module))


def read_source(root: Path) -> Source:
    """The texts of the package, of the tests, of the pages and of the files that are deployed."""
    patterns = (f"{PACKAGE}/**/*.py", "deploy/**/*.toml", "tests/*.py", "docs/*.md")
    paths = (path for pattern in patterns for path in root.glob(pattern))
    return Source({path.relative_to(root).as_posix(): path.read_text() for path in sorted(paths)})


# --------------------------------------------------------------------------- expressions


def text_of(node: ast.expr) -> str | None:
    """A string literal, with `{}` for what is filled in; None for any other expression."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.Constant) and isinstance(node.value, bytes):
        return node.value.decode("latin-1")
    if isinstance(node, ast.JoinedStr):
        return "".join(str(part.value) if isinstance(part, ast.Constant) else "{}" for part in node.values)
    return None


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


def dict_keys(module: ast.Module) -> Iterator[str]:
    """The keys of all dict literals of a module."""
    literals = (key for node in nodes(module) if isinstance(node, ast.Dict) for key in node.keys if key)
    return (literal for key in literals if (literal := text_of(key)) is not None)


def called(node: ast.Call) -> str:
    """The last part of what is called."""
    match node.func:
        case ast.Attribute(attr=name) | ast.Name(id=name):
            return name
    return ""


@cache
def calls(module: ast.AST) -> tuple[ast.Call, ...]:
    """All calls in a module."""
    return tuple(node for node in nodes(module) if isinstance(node, ast.Call))


def words_of(text: str) -> Iterator[str]:
    """The names in a literal: words between tabs, the name of a name=value. Prose has none."""
    for cell in re.split(r"[\t\r\n,]+", text):
        if (pair := re.match(r"([A-Za-z][\w.-]*)=", cell)) is not None:
            yield pair[1]
            continue
        words = [word.strip(":=()|'\"") for word in cell.split()]
        named = [w for w in words if NAME.fullmatch(w) and re.search("[A-Za-z]", w.replace("{}", ""))]
        if len(named) == 1 and all(w in named or not re.search(r"(?<!%)[A-Za-z]", w) for w in words):
            yield named[0]


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


def is_enum(node: ast.ClassDef) -> bool:
    """Whether a class is an enumeration."""
    return any(ast.unparse(base).split(".")[-1] in ("Enum", "StrEnum", "IntEnum") for base in node.bases)


def constant_values(body: Iterable[ast.stmt]) -> Iterator[str]:
    """Strings that a body assigns, also several at once and in classes."""
    for statement in body:
        if isinstance(statement, ast.ClassDef):
            yield from constant_values(statement.body)
        elif isinstance(statement, ast.Assign | ast.AnnAssign) and statement.value is not None:
            if "__" in ast.unparse(statement).split("=")[0]:
                continue  # `__slots__` and the like are internal
            parts = statement.value.elts if isinstance(statement.value, ast.Tuple) else [statement.value]
            for part in parts:
                yield from words_of(text_of(part) or "")


def constant_names(source: Source) -> Iterator[ExternalName]:
    """Values of constants and enumerations, and names of members that are written as such."""
    for kind, paths in CONSTANTS.items():
        for module in source.under(paths):
            yield from (ExternalName(kind, name) for name in constant_values(module.body))
    for kind, places in MEMBERS.items():
        for place in places:
            for statement in source.class_at(*place).body:
                if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
                    yield ExternalName(kind, statement.targets[0].id)


def binary_formats(source: Source) -> Iterator[ExternalName]:
    """The formats of datagrams and files that are packed by `struct`."""
    for module in source.under(FORMATS):
        for call in calls(module):
            if called(call) == "Struct" and call.args:
                yield from (ExternalName("binary-format", text) for text in [text_of(call.args[0])] if text)


def class_names(source: Source) -> Iterator[ExternalName]:
    """Names of the classes that log lines and records have."""
    for kind, paths in WRITTEN_CLASSES.items():
        for module in source.under(paths):
            for statement in module.body:
                if isinstance(statement, ast.ClassDef) and not is_enum(statement):
                    yield ExternalName(kind, statement.name)


# --------------------------------------------------------------------------- structures


@dataclass(frozen=True, slots=True)
class Structure:
    """A msgspec structure: its tag and, where it is no array, the names of its fields and their types."""

    tag: str | None
    is_array: bool
    fields: dict[str, str]


def field_name(statement: ast.AnnAssign) -> str:
    """The name of a field as it is written: `field(name=...)`, else that of the attribute."""
    if isinstance(statement.value, ast.Call) and called(statement.value) == "field":
        for keyword in statement.value.keywords:
            if keyword.arg == "name":
                return text_of(keyword.value) or ""
    return ast.unparse(statement.target)


def fields_of(node: ast.ClassDef) -> dict[str, str]:
    """The fields of a class with their types."""
    return {
        field_name(statement): ast.unparse(statement.annotation)
        for statement in node.body
        if isinstance(statement, ast.AnnAssign) and "ClassVar" not in ast.unparse(statement.annotation)
    }


def structure(node: ast.ClassDef) -> Structure | None:
    """What a class says of its written form; None: it is no structure."""
    if not any(ast.unparse(base).split(".")[-1] == "Struct" for base in node.bases):
        return None
    keywords = {keyword.arg: keyword.value for keyword in node.keywords}
    if "rename" in keywords or "tag_field" in keywords:
        raise NotImplementedError(f"{node.name}: rename and tag_field are not read yet")
    is_array = "array_like" in keywords and ast.unparse(keywords["array_like"]) == "True"
    tag = text_of(keywords["tag"]) if "tag" in keywords else None
    return Structure(tag, is_array, fields_of(node))


@cache
def structures(module: ast.Module) -> tuple[tuple[ast.ClassDef, Structure], ...]:
    """The structures of a module."""
    classes = [node for node in nodes(module) if isinstance(node, ast.ClassDef)]
    return tuple((node, found) for node in classes if (found := structure(node)) is not None)


def struct_names(source: Source) -> Iterator[ExternalName]:
    """Tags, and the fields that are written by name."""
    for kind, paths in STRUCTS.items():
        for module in source.under(paths):
            for node, found in structures(module):
                if node.name.endswith("Settings"):
                    continue  # of the operator's file, listed with its table
                if found.tag is not None:
                    yield ExternalName(kind, found.tag)
                if not found.is_array:
                    yield from qualified(kind, [found.tag or ""], found.fields)
    for kind, path in SHOWN_STRUCTS.items():
        for module in source.under((path,)):
            for _, found in structures(module):
                yield from qualified(kind, [found.tag or ""], found.fields)
    for kind, places in FIELDS.items():
        for label, path, name in places:
            yield from qualified(kind, [label], fields_of(source.class_at(path, name)))


def qualified(kind: str, owners: Iterable[str], names: Iterable[str]) -> Iterator[ExternalName]:
    """Names with those of what they belong to before them, so that a change in one place is seen."""
    parts = list(names)
    for owner in list(owners) or [""]:
        yield from (ExternalName(kind, f"{owner} {name}".strip()) for name in parts)


def settings_keys(source: Source) -> Iterator[ExternalName]:
    """The keys of the operator's file, with their tables."""
    known = {node.name: found for m in source.modules.values() for node, found in structures(m)}

    def walk(fields: dict[str, str], prefix: str) -> Iterator[str]:
        for name, kind in fields.items():
            yield f"{prefix}{name}"
            for inner in set(re.findall(r"\w+", kind)) & known.keys():
                yield from walk(known[inner].fields, f"{prefix}{name}.")

    for path in walk(fields_of(source.class_at(*OPERATOR)), ""):
        yield ExternalName("settings", path)


def toml_keys(value: Any, prefix: str = "") -> Iterator[str]:
    """The paths of a TOML document."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield f"{prefix}{name}"
            yield from toml_keys(inner, f"{prefix}{name}.")
    elif isinstance(value, list):
        for inner in value:
            yield from toml_keys(inner, prefix)


def deployed_keys(source: Source) -> Iterator[ExternalName]:
    """The keys of the files that are deployed."""
    for path, text in source.texts.items():
        if path.startswith("deploy/") and path.endswith(".toml"):
            name = PurePosixPath(path).relative_to("deploy")
            yield from (ExternalName("deploy", f"{name}:{key}") for key in toml_keys(tomllib.loads(text)))


# --------------------------------------------------------------------------- the command line


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
                own = node.name.replace("_", "-") if called(call) == "command" else ""
                name = group + (text_of(call.args[0]) or own if call.args else own)
                if name:
                    yield ExternalName("command", name)
                least = len(node.args.args) - len(node.args.defaults)
                for n, arg in enumerate(node.args.args):
                    for kind, flag in parameter_names(module, arg, n >= least):
                        yield ExternalName(kind, f"{name} {flag}".strip())


# --------------------------------------------------------------------------- variables, files, metrics


@cache
def string_nodes(module: ast.Module) -> frozenset[str]:
    """All string literals of a module."""
    texts = (text_of(node) for node in nodes(module) if isinstance(node, ast.expr))
    return frozenset(text for text in texts if text is not None)


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


# --------------------------------------------------------------------------- log and records


def logged_pairs(scope: Scope) -> Iterator[tuple[list[str], list[str]]]:
    """Events that are stated as pairs: the names that it may have, and the keys of its fields."""
    for node in scope.nodes:
        match node:
            case ast.Tuple(elts=[name, ast.Dict() | ast.Name() as facts]):
                events, keys = names_in(scope, name), list(keys_of(scope, facts))
                if events and keys:
                    yield events, keys


def call_fields(scope: Scope, call: ast.Call) -> Iterator[str]:
    """The fields that a call of the log states: its keywords, and the keys of dicts that it is given."""
    for keyword in call.keywords:
        if keyword.arg is not None:
            yield keyword.arg
        else:
            yield from keys_of(scope, keyword.value)
    for argument in call.args[1:]:
        yield from keys_of(scope, argument)


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


def record_names(module: ast.Module) -> Iterator[ExternalName]:
    """Kinds of records with their facts, tables, and what is judged."""
    for scope in scopes(module):
        for call in scope.calls:
            names = names_in(scope, call.args[0]) if call.args else []
            if called(call) in RECORD_CALLS and names:
                yield from (ExternalName("record-kind", name) for name in names)
                yield from qualified("record-column", names, call_fields(scope, call))
            elif called(call) in NAMED_CALLS:
                yield from (ExternalName("record-value", name) for name in names)
            elif called(call) == "Table":
                yield from (ExternalName("record-table", name) for name in names)


def table_columns(source: Source) -> Iterator[ExternalName]:
    """The columns of the tables, and what else the laboratory writes as dicts."""
    tables = {
        target.rpartition(".")[2]: name
        for module in source.under(("lab",))
        for scope in scopes(module)
        for target, name in table_attributes(scope)
    }
    for module in source.under(("lab",)):
        for scope in scopes(module):
            for call in scope.calls:
                if called(call) == "add" and not call.args and isinstance(call.func, ast.Attribute):
                    table = tables.get(ast.unparse(call.func.value).rpartition(".")[2], "")
                    yield from qualified("record-column", [table], call_fields(scope, call))
    for module in source.under(("lab/faults", "lab/scale")):
        yield from (ExternalName("record-column", key) for key in dict_keys(module))


def table_attributes(scope: Scope) -> Iterator[tuple[str, str]]:
    """Attributes that hold a table, with the table's name."""
    for node in scope.nodes:
        if not isinstance(node, ast.Assign):
            continue
        for target in node.targets:
            pairs: list[tuple[ast.expr, ast.expr]] = [(target, node.value)]
            if isinstance(target, ast.Tuple) and isinstance(node.value, ast.Tuple):
                pairs = list(zip(target.elts, node.value.elts, strict=True))
            for attribute, value in pairs:
                if isinstance(value, ast.Call) and called(value) == "Table":
                    yield from ((ast.unparse(attribute), text) for text in names_in(scope, value.args[0]))


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


# --------------------------------------------------------------------------- the list

OF_THE_WHOLE = (
    *(literal_names, constant_names, binary_formats, class_names, struct_names, settings_keys, deployed_keys),
    *(command_names, layout_names, log_names_in_pairs, table_columns),
)
OF_A_MODULE = (environment_names, path_names, metric_names, log_names, record_names)


@cache
def names_of_module(module: ast.Module) -> frozenset[ExternalName]:
    """What each module states for itself, in whatever folder."""
    return frozenset(name for extract in OF_A_MODULE for name in extract(module))


def external_names(source: Source) -> list[ExternalName]:
    """All names, sorted. Raises MissingModuleError."""
    names = {name for extract in OF_THE_WHOLE for name in extract(source)}
    names = names.union(*map(names_of_module, source.modules.values()))
    return sorted(mark_events((name for name in names if name.name.strip()), *matched_texts(source)))


def show(names: Iterable[ExternalName]) -> str:
    """The names as the list has them."""
    return "".join(f"{name.line()}\n" for name in names)


def differences(committed: str, found: str) -> str:
    """Which lines were added and which are gone, one a line; empty where the two agree."""
    before, after = set(committed.splitlines()), set(found.splitlines())
    gone, added = sorted(before - after), sorted(after - before)
    return "\n".join([f"gone: {line}" for line in gone] + [f"added: {line}" for line in added])


def main() -> None:
    """Prints the list, or writes it."""
    parser = argparse.ArgumentParser(description="Lists every name that leaves the process.")
    parser.add_argument("--write", action="store_true", help=f"write {LIST.name} instead of printing")
    text = show(external_names(read_source(ROOT)))
    if parser.parse_args().write:
        LIST.write_text(text)
    else:
        print(text, end="")


if __name__ == "__main__":
    main()
