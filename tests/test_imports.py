"""Imports within the package have no cycles, including those for type checking and those in functions."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Pairs of modules that earlier imported each other: the first creates objects of the second.
SEPARATED = [
    ("sailrun.leadership.service", "sailrun.replication.service"),
    ("sailrun.lab.virtual", "sailrun.lab.reference_policy"),
]
Graph = dict[str, set[str]]


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_modules(tree: ast.Module, modules: set[str]) -> set[str]:
    """Returns the modules of the package that a file imports anywhere."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None  # relative imports are not resolved
            for name in node.names:
                inner = f"{node.module}.{name.name}"
                found.add(inner if inner in modules else node.module)
    return found & modules


def import_graph() -> Graph:
    files = {module_name(path): path for path in (ROOT / "sailrun").rglob("*.py")}
    return {name: imported_modules(ast.parse(path.read_text()), set(files)) for name, path in files.items()}


def reachable(graph: Graph, start: str) -> set[str]:
    """Returns the modules that a module imports directly or indirectly; itself only in an import cycle."""
    found: set[str] = set()
    pending = list(graph[start])
    while pending:
        name = pending.pop()
        if name not in found:
            found.add(name)
            pending += graph[name]
    return found


@pytest.fixture(scope="module")
def graph() -> Graph:
    return import_graph()


@pytest.mark.parametrize(("creator", "created"), SEPARATED)
def test_a_created_module_does_not_import_its_creator(graph: Graph, creator: str, created: str) -> None:
    assert created in graph[creator] and creator not in reachable(graph, created)


def test_there_are_no_import_cycles(graph: Graph) -> None:
    assert len(graph) > 100 and not [name for name in graph if name in reachable(graph, name)]


def test_imports_for_type_checking_and_in_functions_are_found() -> None:
    source = "if TYPE_CHECKING:\n    from sailrun.a import B\n\ndef f():\n    from sailrun import c\n"
    modules = {"sailrun", "sailrun.a", "sailrun.c", "sailrun.d"}
    assert imported_modules(ast.parse(source), modules) == {"sailrun.a", "sailrun.c"}
    graph = {"sailrun.a": {"sailrun.c"}, "sailrun.c": {"sailrun.a"}, "sailrun.d": {"sailrun.a"}}
    assert "sailrun.a" in reachable(graph, "sailrun.a") and "sailrun.d" not in reachable(graph, "sailrun.d")
