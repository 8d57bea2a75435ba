"""One line of the list."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ExternalName:
    """One name; `seen`: where a log event is matched on, for other kinds empty."""

    kind: str
    name: str
    seen: str = ""

    def line(self) -> str:
        """The line of the list."""
        return "\t".join(filter(None, (self.kind, self.name, self.seen)))


def qualified(kind: str, owners: Iterable[str], names: Iterable[str]) -> Iterator[ExternalName]:
    """Names with those of what they belong to before them, so that a change in one place is seen."""
    parts = list(names)
    for owner in list(owners) or [""]:
        yield from (ExternalName(kind, f"{owner} {name}".strip()) for name in parts)
