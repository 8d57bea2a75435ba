"""The files that the names are read from."""

from __future__ import annotations

import ast
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import cache, cached_property
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = "sailrun"


class MissingModuleError(Exception):
    """A table above names a module or a class that the source does not have."""


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


def read_source(root: Path) -> Source:
    """The texts of the package, of the tests, of the pages and of the files that are deployed."""
    patterns = (f"{PACKAGE}/**/*.py", "deploy/**/*.toml", "tests/*.py", "docs/*.md")
    paths = (path for pattern in patterns for path in root.glob(pattern))
    return Source({path.relative_to(root).as_posix(): path.read_text() for path in sorted(paths)})
