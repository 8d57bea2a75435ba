"""Defines an external name, which is one line of the list."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ExternalName:
    """One external name. `mentioned_in` says where a log event is mentioned: `test`, `page`, `test+page` or
    `-` for nowhere. It is empty for other kinds.
    """

    kind: str
    name: str
    mentioned_in: str = ""

    def line(self) -> str:
        """Returns the line of this name in the list."""
        return "\t".join(filter(None, (self.kind, self.name, self.mentioned_in)))


def qualified(kind: str, owners: Iterable[str], names: Iterable[str]) -> Iterator[ExternalName]:
    """Yields each name with each of its owners before it, so that a change for one owner is found even if the
    name remains for another.
    """
    all_names = list(names)
    for owner in list(owners) or [""]:
        yield from (ExternalName(kind, f"{owner} {name}".strip()) for name in all_names)
