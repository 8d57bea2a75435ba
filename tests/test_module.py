"""The limits that the module keeps, and the README's example."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_module_is_small_and_names_its_interface_first() -> None:
    (path,) = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    text = (ROOT / path).read_text()
    lines = [line for line in text.splitlines() if line.strip()]
    assert len(lines) <= 710
    assert max(map(len, lines)) <= 110
    assert "sailrun/interface.py" in (ast.get_docstring(ast.parse(text)) or "").splitlines()[0]


def test_the_module_is_pure() -> None:
    tree = ast.parse((ROOT / "sailrun" / "decide.py").read_text())
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
        "itertools",
        "math",
        "random",
        "mmh3",
        "sailrun",
        "sailrun.validate",
    }


def test_the_readme_example_runs(capsys: object) -> None:
    readme = (ROOT / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", readme, re.S)
    scope: dict[str, object] = {}
    exec(example, scope)
    (expected,) = re.findall(r"print\(send\.backend\)  # (\d+)", example)
    assert str(scope["send"].backend) == expected  # type: ignore[attr-defined]
