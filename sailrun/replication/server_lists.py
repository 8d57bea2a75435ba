"""The last good list of form servers among the fleet's copies, by the registry that told it."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from sailrun.decisions.events import ListKind
from sailrun.discovery import BadServerList, read_server_list
from sailrun.node.session import ServerListUpdate
from sailrun.replication.records import MAX_CONTENT_BYTES
from sailrun.replication.replica import SERVER_LIST, Replica


def store_server_list(
    replica: Replica, now_us: int, subject: str, revision: int, members: list[dict[str, Any]]
) -> None:
    """Puts a list among the copies; one that is too long for a record stays out."""
    if revision < 0:
        return
    content = json.dumps(sorted(members, key=lambda m: str(m["id"])), sort_keys=True).encode()
    if len(content) <= MAX_CONTENT_BYTES:
        replica.store_server_list(now_us, subject, revision, content)


def read_stored_server_list(
    replica: Replica, subject: str
) -> tuple[ServerListUpdate, Callable[[int], int]] | None:
    """The list that the copies have of a registry, as one perhaps old, and how long it has been here (us) at
    a time; None: there is none.
    """
    key = (SERVER_LIST, subject, "")
    record = replica.store.get(key)
    if record is None:
        return None
    version = record.versions[-1]
    try:
        members = json.loads(version.content)
        update = read_server_list(
            {"complete": True, "revision": version.count[1], "members": members}, cached=True
        )
    except (ValueError, BadServerList):
        return None
    kept = ServerListUpdate(ListKind.CACHED, update.revision, update.form_servers)
    return kept, lambda now_us: replica.store.age_us(now_us, key)
