"""Checks constraints on the decision modules, and runs the README's example."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


DECISION_MODULES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]


@pytest.mark.parametrize("path", DECISION_MODULES)
def test_decision_modules_are_small_and_have_a_docstring(path: str) -> None:
    text = (ROOT / path).read_text()
    lines = [line for line in text.splitlines() if line.strip()]
    assert len(lines) <= 710
    assert max(map(len, lines)) <= 110
    assert ast.get_docstring(ast.parse(text))


def test_the_first_docstring_line_names_the_interface() -> None:
    text = (ROOT / DECISION_MODULES[0]).read_text()
    assert "sailrun/decisions/events.py" in (ast.get_docstring(ast.parse(text)) or "").splitlines()[0]


@pytest.mark.parametrize("path", DECISION_MODULES)
def test_decision_modules_are_pure(path: str) -> None:
    tree = ast.parse((ROOT / path).read_text())
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(str(node.module))
        assert not isinstance(node, ast.Global)
        if isinstance(node, ast.Name):
            assert node.id not in ("open", "print", "hash", "id", "input")
    assert imported <= {
        "__future__",
        "collections",
        "collections.abc",
        "dataclasses",
        "enum",
        "itertools",
        "math",
        "random",
        "typing",
        "mmh3",
        "sailrun",
        "sailrun.decisions",
        "sailrun.decisions.actions",
        "sailrun.decisions.events",
        "sailrun.decisions.settings",
        "sailrun.decisions.validation",
        *(path.removesuffix(".py").replace("/", ".") for path in DECISION_MODULES),
    }


def test_the_readme_example_runs(capsys: object) -> None:
    readme = (ROOT / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", readme, re.S)
    scope: dict[str, object] = {}
    exec(example, scope)
    (expected,) = re.findall(r"print\(send\.backend\)  # (\d+)", example)
    assert str(scope["send"].backend) == expected  # type: ignore[attr-defined]
