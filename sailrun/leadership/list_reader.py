"""One node of a data centre reads the registry, and the others there have the list from it.

Pure. The owner of the task answers with what it knows; a node asks again and again, takes a list that is
newer
than its own, and reads the registry itself as soon as the reader was not heard of for some time. An older
list is
never taken, whoever tells it; only the registry itself may go back.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sailrun.leadership.settings import ListReaderSettings

SECOND = 1_000_000


class ListQuery(msgspec.Struct, array_like=True, frozen=True):
    """A request's content: which list its sender has, of which source. A revision of -1: none."""

    source: str
    revision: int


class ListReply(msgspec.Struct, array_like=True, frozen=True):
    """The reader's response. `entries`: the whole list in the registry's form, where the requester's is
    older.
    """

    source: str
    revision: int
    entries: list[dict[str, Any]] | None = None


class SharedList:
    """One node's part: what it knows of the registry, and from whom."""

    def __init__(self, source: str, settings: ListReaderSettings, now_us: int) -> None:
        self.source, self._settings = source, settings
        self.revision = -1
        self.entries: list[dict[str, Any]] = []
        self.is_leader = False  # this node reads for the others
        self.lists_accepted = 0
        self.lists_rejected = 0  # lists that were older, or of another source
        self._last_contact_us = now_us
        self._next_query_us = now_us

    def must_read_registry(self, now_us: int) -> bool:
        """Whether this node has to read the registry itself."""
        return self.is_leader or now_us - self._last_contact_us >= self._settings.silence_s * SECOND

    def on_registry_list(self, revision: int, members: list[dict[str, Any]]) -> None:
        """The registry itself sent a list: it holds, whatever was known."""
        self.revision, self.entries = revision, members

    def next_query(self, now_us: int) -> ListQuery | None:
        """The question for the reader, if it is time for one."""
        if self.is_leader or now_us < self._next_query_us:
            return None
        self._next_query_us = now_us + int(self._settings.ask_s * SECOND)
        return ListQuery(self.source, self.revision)

    def answer_query(self, content: Any) -> Any:
        """The response of the reader; None where there is none."""
        try:
            query = msgspec.convert(content, ListQuery)
        except msgspec.ValidationError:
            return None
        if self.revision < 0 or query.source != self.source:
            return None
        members = self.entries if query.revision < self.revision else None
        return msgspec.to_builtins(ListReply(self.source, self.revision, members))

    def on_reply(self, now_us: int, content: Any) -> list[dict[str, Any]] | None:
        """The reader's answer; returns the list where it is newer than what is known here."""
        try:
            reply = msgspec.convert(content, ListReply)
        except msgspec.ValidationError:
            self.lists_rejected += 1
            return None
        if reply.source != self.source or reply.revision < self.revision:
            self.lists_rejected += 1  # and it counts as silence: this node will ask the registry itself
            return None
        self._last_contact_us = now_us
        if reply.entries is None or reply.revision == self.revision:
            return None
        self.revision, self.entries = reply.revision, reply.entries
        self.lists_accepted += 1
        return reply.entries
