"""The core's `ServiceDiscovery` if one node of each zone reads the registry for the others of the zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sailrun.config import RegistryService
from sailrun.connection import show_address
from sailrun.decisions.events import ListKind
from sailrun.discovery import DiscoveryClient, InvalidServerListError, phase_of, read_server_list
from sailrun.leadership.agent import READER_TASK_PREFIX, Agent, OutgoingEnvelope
from sailrun.leadership.clock import boot_us
from sailrun.leadership.list_reader import SharedList
from sailrun.node.clock import log
from sailrun.node.session import FormServer, ServerListUpdate
from sailrun.replication.server_lists import read_stored_server_list, store_server_list

if TYPE_CHECKING:
    from sailrun.leadership.transport import Transport
    from sailrun.node.core import Node

SECOND = 1_000_000
# The core is notified of an unchanged list at this interval, as it would be by a watch of the registry.
UNCHANGED_INTERVAL_US = 5 * SECOND


class SharedDiscovery:
    """Passes the core's subscriptions to the registry while this node has to read it; otherwise passes the
    reader's lists to the core. It has the interface of a discovery client towards the core, and the interface
    of the core towards the discovery client.
    """

    def __init__(
        self, node: Node, source: RegistryService, revision: int, agent: Agent, transport: Transport
    ) -> None:
        self._node, self._agent, self._transport = node, agent, transport
        self.clock, self.settings = node.clock, node.settings  # read by the discovery client
        self._client = DiscoveryClient(self, source.address, revision, node.settings.index)  # type: ignore[arg-type]
        self._shared_list = SharedList(show_address(source.address), agent.settings.list_reader, boot_us())
        self._form_servers: dict[str, FormServer] = {}
        self._watching = False
        self._reads_registry = True
        self._last_update_us = 0
        self._task = READER_TASK_PREFIX + agent.zone
        # The key of the list in the replicated records.
        self._subject = f"{show_address(source.address)} {agent.zone}"
        self._stored_revision = -1  # the revision of the list that this node last stored there
        self._handle_query = lambda now_us, sender, content: self._shared_list.answer_query(content)
        agent.request_handlers[self._task] = self._handle_query

    # ------------------------------------------------------------------ calls of the core

    def watch(self, active: bool) -> None:
        """Subscribes the core to the endpoint list, or unsubscribes it."""
        self._watching = active
        self._client.watch(active and self._reads_registry)

    def fetch(self) -> None:
        """Requests the complete list for the core once more."""
        if self._reads_registry or self._shared_list.revision < 0:
            self._client.fetch()
        else:
            servers = tuple(self._form_servers.values())
            self._node.server_list_updated(
                ServerListUpdate(ListKind.FULL, self._shared_list.revision, servers)
            )

    def drop(self) -> None:
        """Stops this discovery; the core no longer uses it."""
        self._client.drop()
        if self._agent.request_handlers.get(self._task) is self._handle_query:
            del self._agent.request_handlers[self._task]

    def read_directly(self) -> None:
        """Makes this node read the registry itself, because there is no fleet any more."""
        self._reads_registry, self._shared_list.is_leader = True, False
        self._client.watch(self._watching)
        self._client.fetch()

    async def run(self) -> None:
        """Runs the registry's client until cancelled."""
        await self._client.run()

    # ------------------------------------------------------------------ updates from the registry

    def server_list_updated(self, update: ServerListUpdate) -> None:
        """Handles a list, or an update of it, that the registry's client read."""
        if update.kind is not ListKind.DELTA:
            self._form_servers.clear()
        for entry in update.form_servers:
            self._form_servers[entry.name] = entry
        if update.kind is not ListKind.DELTA or update.form_servers or self._shared_list.revision < 0:
            self._shared_list.on_registry_list(
                update.revision, [_as_json(entry) for entry in self._form_servers.values()]
            )
        else:
            self._shared_list.revision = update.revision
        self._node.server_list_updated(update)

    def discovery_failed(self, reason: str) -> None:
        """Handles a failure of the registry's client; without any list, the last replicated one is used."""
        self._node.discovery_failed(reason)
        replica = self._agent.replica
        if self._form_servers or replica is None:
            return
        # This node has no list, so the last one that the fleet stored is better than none.
        stored_list = read_stored_server_list(replica, self._subject)
        if stored_list is not None:
            update, age_us = stored_list
            log("list-from-copies", revision=update.revision, age_s=round(age_us(boot_us()) / SECOND, 1))
            self._form_servers = {entry.name: entry for entry in update.form_servers}
            self._node.server_list_updated(update)

    # ------------------------------------------------------------------ updates from the reader

    def tick(self, now_us: int) -> list[OutgoingEnvelope]:
        """Runs after each tick of the agent; returns the requests to send."""
        self._shared_list.is_leader = bool(self._agent.leases.held_term(self._task, now_us))
        replica, revision = self._agent.replica, self._shared_list.revision
        if (
            replica is not None
            and self._shared_list.is_leader
            and revision != self._stored_revision
            and replica.anti_entropy.copy.is_complete
        ):
            self._stored_revision = revision
            store_server_list(replica, now_us, self._subject, revision, self._shared_list.entries)
        must_read = self._shared_list.must_read_registry(now_us) or self._shared_list.revision < 0
        if must_read is not self._reads_registry:
            self._reads_registry = must_read
            log(
                "roster-reader",
                reads=must_read,
                owner=self._shared_list.is_leader,
                revision=self._shared_list.revision,
            )
            self._client.watch(must_read and self._watching)
            if must_read:
                self._client.fetch()
        query = self._shared_list.next_query(now_us)
        if query is None or not self._agent.members.has_joined:
            return []
        return self._agent.request(now_us, self._task, [query.source, query.revision], self._on_reply)

    def _on_reply(self, now_us: int, sent_us: int, content: Any) -> None:
        entries = self._shared_list.on_reply(now_us, content)
        if entries is None:
            if not self._reads_registry and now_us - self._last_update_us > UNCHANGED_INTERVAL_US:
                self._last_update_us = now_us
                self._node.server_list_updated(
                    ServerListUpdate(ListKind.DELTA, self._shared_list.revision, ())
                )
            return
        try:
            update = read_server_list(
                {"complete": True, "revision": self._shared_list.revision, "members": entries}
            )
        except InvalidServerListError as error:
            log("reader-list-refused", why=str(error))
            self._shared_list.revision = -1  # makes this node read the registry itself
            return
        self._last_update_us = now_us
        self._form_servers = {entry.name: entry for entry in update.form_servers}
        self._node.server_list_updated(update)


def _as_json(entry: FormServer) -> dict[str, Any]:
    """Returns a form server in the registry's format."""
    return {
        "id": entry.name,
        "host_port": show_address(entry.address),
        "phase": phase_of(entry.state),
        "locality": entry.zone,
        "cell": entry.cell,
        "size": entry.size,
        "up_since_ms": entry.started_us // 1000,
    }
