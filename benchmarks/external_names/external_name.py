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


def qualified(kind: str, contexts: Iterable[str], names: Iterable[str]) -> Iterator[ExternalName]:
    """Yields each name after each of its contexts (a log event, message tag, record kind or table), so that a
    change in one context is found even if the name remains in another.
    """
    all_names = list(names)
    for context in list(contexts) or [""]:
        yield from (ExternalName(kind, f"{context} {name}".strip()) for name in all_names)
