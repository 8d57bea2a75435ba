"""One node of each zone reads the registry, and the other nodes of the zone get the endpoint list from it.

This module does no I/O. The leader of the task, called the reader, answers queries with its list. The other
nodes query it periodically, accept a list that is newer than their own, and read the registry themselves once
the reader has not answered for some time. A node never accepts an older list from the reader; only the
registry itself may go back to an older revision.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.leadership.settings import ListReaderSettings

SECOND = 1_000_000


class ListQuery(msgspec.Struct, array_like=True, frozen=True):
    """The content of a request: the source and the revision of the requester's list; -1: it has none."""

    source: str
    revision: int


class ListReply(msgspec.Struct, array_like=True, frozen=True):
    """The reader's response. `entries` has the complete list in the registry's format if the requester's list
    is older.
    """

    source: str
    revision: int
    entries: list[dict[str, Any]] | None = None


class SharedList:
    """One node's endpoint list, which comes from the registry or from the reader."""

    def __init__(self, source: str, settings: ListReaderSettings, now_us: int) -> None:
        self.source, self._settings = source, settings
        self.revision = -1
        self.entries: list[dict[str, Any]] = []
        self.is_leader = False  # this node reads the registry for the others
        self.lists_accepted = 0
        self.lists_rejected = 0  # replies that were malformed, older, or of another source
        self._last_contact_us = now_us
        self._next_query_us = now_us

    def must_read_registry(self, now_us: int) -> bool:
        """Whether this node is the reader, or has had no contact with the reader for `silence_s`."""
        return self.is_leader or now_us - self._last_contact_us >= self._settings.silence_s * SECOND

    def on_registry_list(self, revision: int, entries: list[dict[str, Any]]) -> None:
        """Takes over a list from the registry itself, whatever its revision is."""
        self.revision, self.entries = revision, entries

    def next_query(self, now_us: int) -> ListQuery | None:
        """Returns the query to the reader if one is due."""
        if self.is_leader or now_us < self._next_query_us:
            return None
        self._next_query_us = now_us + int(self._settings.ask_s * SECOND)
        return ListQuery(self.source, self.revision)

    def answer_query(self, content: Any) -> Any:
        """Returns the reader's response to a query; None: there is none."""
        try:
            query = msgspec.convert(content, ListQuery)
        except msgspec.ValidationError:
            return None
        if self.revision < 0 or query.source != self.source:
            return None
        entries = self.entries if query.revision < self.revision else None
        return msgspec.to_builtins(ListReply(self.source, self.revision, entries))

    def on_reply(self, now_us: int, content: Any) -> list[dict[str, Any]] | None:
        """Handles the reader's response; returns the list if it is newer than the one known here."""
        try:
            reply = msgspec.convert(content, ListReply)
        except msgspec.ValidationError:
            self.lists_rejected += 1
            return None
        if reply.source != self.source or reply.revision < self.revision:
            self.lists_rejected += 1  # not counted as contact; see `must_read_registry`
            return None
        self._last_contact_us = now_us
        if reply.entries is None or reply.revision == self.revision:
            return None
        self.revision, self.entries = reply.revision, reply.entries
        self.lists_accepted += 1
        return reply.entries
