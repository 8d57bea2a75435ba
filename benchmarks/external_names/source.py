"""Reads and parses the files that external names are read from."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import cache, cached_property
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = "sailrun"


class MissingFromSourceError(Exception):
    """`tables.py` lists a module or a class that the source does not contain."""


@dataclass(frozen=True)
class Source:
    """The contents of the files that names are read from, by path relative to the root of the repository."""

    texts: Mapping[str, str]

    @cached_property
    def modules(self) -> dict[str, ast.Module]:
        """The parsed modules of the package, by path relative to the package's folder."""
        prefix = f"{PACKAGE}/"
        return {
            path.removeprefix(prefix): parse(path, text)
            for path, text in self.texts.items()
            if path.startswith(prefix) and path.endswith(".py")
        }

    def modules_in(self, paths: Iterable[str]) -> Iterator[ast.Module]:
        """Yields the modules at these paths and in these folders. Raises MissingFromSourceError."""
        for path in paths:
            modules = [m for p, m in self.modules.items() if p == path or p.startswith(f"{path}/")]
            if not modules:
                raise MissingFromSourceError(f"{PACKAGE}/{path} is listed in tables.py but does not exist")
            yield from modules

    def class_at(self, path: str, name: str) -> ast.ClassDef:
        """Returns a class by its module and name. Raises MissingFromSourceError."""
        for module in self.modules_in((path,)):
            for statement in module.body:
                if isinstance(statement, ast.ClassDef) and statement.name == name:
                    return statement
        raise MissingFromSourceError(f"{PACKAGE}/{path} has no class {name}, which tables.py lists")


@cache
def parse(path: str, text: str) -> ast.Module:
    """Returns a module's syntax tree; the result is cached, so that the same text is parsed only once."""
    return ast.parse(text, path)


def read_source(root: Path) -> Source:
    """Reads the package, the tests, the documentation pages and the deployed settings files."""
    patterns = (f"{PACKAGE}/**/*.py", "deploy/**/*.toml", "tests/*.py", "docs/*.md")
    paths = (path for pattern in patterns for path in root.glob(pattern))
    return Source({path.relative_to(root).as_posix(): path.read_text() for path in sorted(paths)})
