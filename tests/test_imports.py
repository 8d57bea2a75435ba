"""Imports within the package run one way, those for type checkers alone and those in functions too."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Modules that once imported each other.
PARTED = [
    ("sailrun.leadership.service", "sailrun.replication.service"),
    ("sailrun.lab.virtual", "sailrun.lab.seeing"),
]
Graph = dict[str, set[str]]


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported(tree: ast.Module, modules: set[str]) -> set[str]:
    """The modules of the package that a file imports anywhere."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None  # relative ones are not looked through
            for name in node.names:
                inner = f"{node.module}.{name.name}"
                found.add(inner if inner in modules else node.module)
    return found & modules


def import_graph() -> Graph:
    files = {module_name(path): path for path in (ROOT / "sailrun").rglob("*.py")}
    return {name: imported(ast.parse(path.read_text()), set(files)) for name, path in files.items()}


def reachable(graph: Graph, start: str) -> set[str]:
    """What a module imports, and what that imports; the module itself is among them only in a circle."""
    found: set[str] = set()
    left = list(graph[start])
    while left:
        name = left.pop()
        if name not in found:
            found.add(name)
            left += graph[name]
    return found


@pytest.fixture(scope="module")
def graph() -> Graph:
    return import_graph()


@pytest.mark.parametrize(("maker", "part"), PARTED)
def test_a_part_knows_nothing_of_the_module_that_makes_it(graph: Graph, maker: str, part: str) -> None:
    assert part in graph[maker] and maker not in reachable(graph, part)


def test_no_imports_run_in_a_circle(graph: Graph) -> None:
    assert len(graph) > 100 and not [name for name in graph if name in reachable(graph, name)]


def test_imports_for_type_checkers_and_in_functions_count() -> None:
    source = "if TYPE_CHECKING:\n    from sailrun.a import B\n\ndef f():\n    from sailrun import c\n"
    modules = {"sailrun", "sailrun.a", "sailrun.c", "sailrun.d"}
    assert imported(ast.parse(source), modules) == {"sailrun.a", "sailrun.c"}
    graph = {"sailrun.a": {"sailrun.c"}, "sailrun.c": {"sailrun.a"}, "sailrun.d": {"sailrun.a"}}
    assert "sailrun.a" in reachable(graph, "sailrun.a") and "sailrun.d" not in reachable(graph, "sailrun.d")
