"""The last valid endpoint list of each registry in the replicated state."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from sailrun.decisions.events import ListKind
from sailrun.discovery import InvalidServerListError, read_server_list
from sailrun.node.session import ServerListUpdate
from sailrun.replication.records import MAX_CONTENT_BYTES
from sailrun.replication.replica import SERVER_LIST, Replica


class StoredServerList(NamedTuple):
    """A stored list as a cached update. `age_us` takes the current time and returns how long the list has
    been stored here (both in us).
    """

    update: ServerListUpdate
    age_us: Callable[[int], int]


def store_server_list(
    replica: Replica, now_us: int, source: str, revision: int, members: list[dict[str, Any]]
) -> None:
    """Stores the members of a list as the registry sent them. Ignores lists without a revision and lists that
    are too long for a record.
    """
    if revision < 0:
        return
    content = json.dumps(sorted(members, key=lambda member: str(member["id"])), sort_keys=True).encode()
    if len(content) <= MAX_CONTENT_BYTES:
        replica.store_server_list(now_us, source, revision, content)


def read_stored_server_list(replica: Replica, source: str) -> StoredServerList | None:
    """Returns the stored list of a registry; None if there is none or this program version cannot
    decode it.
    """
    key = (SERVER_LIST, source, "")
    record = replica.store.get(key)
    if record is None:
        return None
    version = record.versions[-1]
    try:
        members = json.loads(version.content)
        update = read_server_list(
            {"complete": True, "revision": version.count[1], "members": members}, cached=True
        )
    except (ValueError, InvalidServerListError):
        return None
    cached = ServerListUpdate(ListKind.CACHED, update.revision, update.form_servers)
    return StoredServerList(cached, lambda now_us: replica.store.age_us(now_us, key))
