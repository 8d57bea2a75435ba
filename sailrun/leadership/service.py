"""Connects a running node to its fleet: the agent, its transport, and the services that depend on leaders.

Nothing here is on the request path of clients: the core is notified of permissions and changes, and continues
unchanged without notifications.
"""

from __future__ import annotations

import random
import secrets
import time
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio
from anyio import to_thread

from sailrun.config import NodeConfig, RegistryService
from sailrun.connection import split_address
from sailrun.leadership import status
from sailrun.leadership.act_log import ignore_act, log_act
from sailrun.leadership.agent import Agent, AgentSettings, OutgoingEnvelope
from sailrun.leadership.clock import boot_us
from sailrun.leadership.initial_term import new_initial_term
from sailrun.leadership.member_journal import MemberFolder
from sailrun.leadership.move_rate_service import MoveRateService
from sailrun.leadership.operator_permits import OperatorPermits
from sailrun.leadership.shared_discovery import SharedDiscovery
from sailrun.leadership.transport import Transport
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.node.clock import log
from sailrun.node.shutdown import ShutdownReason
from sailrun.replication.service import ReplicationService
from sailrun.storage.folder_identity import generate_identity
from sailrun.storage.folder_reader import FolderIntegrity

if TYPE_CHECKING:
    from sailrun.node.core import Node
    from sailrun.operator_settings import Operator
    from sailrun.sharding.act_exerciser import ActExerciser
    from sailrun.sharding.agent import ShardingAgent
    from sailrun.storage.service import StorageService

# The interval at which sessions are counted while this node drains for a rolling drain.
SESSION_COUNT_INTERVAL_US = 200_000
PROCESS_NUMBER_BITS, SEED_BITS, INITIAL_TERM_BITS = 62, 32, 12


def agent_settings(operator: Operator) -> AgentSettings:
    """Returns the agent's settings from the operator settings."""
    shares_move_rate = operator.rebalance.enabled and operator.owners.enabled
    return AgentSettings(
        operator.members,
        operator.owners,
        operator.permits,
        operator.reader,
        shares_move_rate,
        operator.replica,
        operator.shards,
    )


class FleetService:
    """Connects the agent of one node with its transport, the core, the replica and the storage folder.

    All calls except `run` return at once; the agent's own task does the work.
    """

    def __init__(
        self, node: Node, config: NodeConfig, waits_for_address: bool, storage: StorageService | None = None
    ) -> None:
        """Raises OSError if the address cannot be bound, unless `waits_for_address` is true and the address
        is in use by a predecessor that is about to release it. Raises ValueError without operator settings.
        """
        if config.operator is None:
            raise ValueError("cannot start the fleet service: no operator settings are configured")
        settings = agent_settings(config.operator)
        self._node = node
        self.agent = Agent(
            _own_record(settings, config.settings.zone),
            settings,
            secrets.randbits(SEED_BITS),
            boot_us(),
            _draw_initial_term,
            record=log_act if settings.leadership.record else ignore_act,
        )
        self.transport = Transport(self.agent, split_address(settings.membership.listen), waits_for_address)
        self.transport.after_turn = self._after_turn
        self._shared_discovery: SharedDiscovery | None = None
        self._operator_permits = OperatorPermits(node, self.agent, self.transport)
        self.agent.on_permit_change = self._operator_permits.on_permit_change
        self._move_rate = MoveRateService(node, self.agent, grants_shares=settings.shares_move_rate)
        self.agent.on_leadership_change = self._move_rate.on_leadership_change
        self._next_session_count_us = 0
        self._is_core_draining = False
        self.replication = self._new_replication()
        self._exerciser = self._new_exerciser() if settings.leadership.record else None
        self._storage = storage
        if storage is not None:
            self._attach_storage(storage)

    def _new_replication(self) -> ReplicationService | None:
        if self.agent.replica is None:
            return None
        return ReplicationService(self._node, self.agent.replica, self)

    def _new_exerciser(self) -> ActExerciser | None:
        """Creates the exerciser for the laboratory's checks, which need acts on behalf of shards."""
        if self.agent.shards is None:
            return None
        from sailrun.sharding.act_exerciser import ActExerciser

        return ActExerciser(
            self.agent.shards, self.agent.members, self.agent.name, secrets.randbits(SEED_BITS)
        )

    def _attach_storage(self, storage: StorageService) -> None:
        self.agent.durable_state.extra_entries = storage.list_auxiliary_entries
        storage.on_result = lambda result: self.transport.post(
            lambda now_us: self.agent.on_written(now_us, result)
        )

    def new_discovery(self, source: RegistryService, revision: int) -> SharedDiscovery | None:
        """Creates the core's service discovery for a registry; None: the core reads the registry directly."""
        if not self.agent.settings.list_reader.enabled:
            return None
        self._shared_discovery = SharedDiscovery(self._node, source, revision, self.agent, self.transport)
        return self._shared_discovery

    # ------------------------------------------------------------------ lifecycle

    async def run(self) -> None:
        """Runs until cancelled, or until the address is released. After a fault the node continues as it
        would without a fleet.
        """
        try:
            async with anyio.create_task_group() as group:
                if self._storage is not None and await self._storage.acquire():
                    # Runs on a thread because a large replica takes long; nothing else uses the agent yet.
                    await to_thread.run_sync(self._restore, self._storage)
                    group.start_soon(self._storage.run, self._node)
                await self.transport.run()
                group.cancel_scope.cancel()
        except Exception:
            # Catches every exception: clients are served without a fleet too, so the node must continue.
            log("fault", where="fleet", trace=traceback.format_exc())
            self._read_registry_directly()

    def _restore(self, storage: StorageService) -> None:
        contents = storage.contents
        folder = MemberFolder(
            storage.write_ahead_log,
            storage.identity,
            contents.state,
            contents.integrity is FolderIntegrity.INTACT,
            contents.position,
            time.time(),
            generate_identity,
        )
        self.agent.restore(boot_us(), folder)
        contents.state.records, contents.state.record_digests = {}, {}  # the replica has taken them over
        if self.replication is not None:
            self.replication.restore_draining(storage.starts_draining)

    def _read_registry_directly(self) -> None:
        if self._shared_discovery is not None:
            self._shared_discovery.read_directly()

    def leave(self) -> None:
        """Leaves the fleet because the process ends; the tasks it leads are handed over at once."""
        self.transport.post(self.agent.leave)

    def release_address(self) -> None:
        """Leaves the fleet and closes the sockets, so that a successor can take over the name and address."""
        self.transport.post(self._release_address)

    def _release_address(self, now_us: int) -> list[OutgoingEnvelope]:
        self.transport.closes_after_send = True
        self._read_registry_directly()
        return self.agent.leave(now_us)

    def update_settings(self, settings: AgentSettings) -> None:
        """Applies reloaded operator settings."""
        self.call_soon(lambda now_us: self.agent.update_settings(now_us, settings))

    # ------------------------------------------------------------------ services for the replica

    def call_soon(self, call: Callable[[int], None]) -> None:
        """Schedules `call` on the agent's task, with the time in microseconds."""

        def call_and_send_nothing(now_us: int) -> list[OutgoingEnvelope]:
            call(now_us)
            return []

        self.transport.post(call_and_send_nothing)

    def living_members(self) -> set[str]:
        """Returns the names of the members that are alive, as far as is known."""
        return set(self.agent.members.living_names)

    def highest_term(self, task: str) -> int:
        """Returns the highest term under which any node is known to have led the task."""
        return self.agent.leases.lease_of(task).highest_granted_term

    def call_when_durable(self, now_us: int, call: Callable[[bool], None]) -> None:
        """See `DurableState.call_when_durable`."""
        self.agent.durable_state.call_when_durable(now_us, call)

    # ------------------------------------------------------------------ after each tick of the agent

    def _after_turn(self, now_us: int) -> list[OutgoingEnvelope]:
        envelopes: list[OutgoingEnvelope] = []
        if self._shared_discovery is not None:
            envelopes += self._shared_discovery.tick(now_us)
        self._turn_rolling_drain(now_us)
        if self.agent.shards is not None:
            self._follow_core_drain(now_us, self.agent.shards)
        if self.agent.settings.shares_move_rate:
            envelopes += self._move_rate.tick(now_us)
        if self.replication is not None:
            self.replication.tick(now_us)
        if self._exerciser is not None:
            envelopes += self.agent.send_shard_messages(now_us, self._exerciser.tick(now_us))
        if self._storage is not None:
            self._storage.tick()
        return envelopes

    def _turn_rolling_drain(self, now_us: int) -> None:
        drains = self.agent.rolling_drains
        if drains.core_drain_change is not None:
            draining, drains.core_drain_change = drains.core_drain_change, None
            self._node.set_draining(draining, lambda done: None)
        if drains.is_draining and now_us >= self._next_session_count_us:
            self._next_session_count_us = now_us + SESSION_COUNT_INTERVAL_US
            self._node.read_metrics(lambda figures: self._on_session_count(figures.inflight))

    def _on_session_count(self, sessions: int) -> None:
        self.call_soon(lambda now_us: self.agent.rolling_drains.on_session_count(now_us, sessions))

    def _follow_core_drain(self, now_us: int, shards: ShardingAgent) -> None:
        """Notifies sharding when the core starts or stops draining, so that the node's shards are handed over
        and assigned again afterwards.
        """
        is_draining = ShutdownReason.DRAIN in self._node.shutdown
        if is_draining is not self._is_core_draining:
            self._is_core_draining = is_draining
            shards.set_leaving(now_us, is_draining)

    # ------------------------------------------------------------------ permits of operators

    @property
    def permits(self) -> bool:
        """Whether draining a node and taking a form server out of service need a permit."""
        return self.agent.permit_holder is not None

    def request_permit(self, kind: str, subject: str, reply: Callable[[str], None]) -> None:
        """See `OperatorPermits.request`."""
        self._operator_permits.request(kind, subject, reply)

    def describe_pending_permit(self, kind: str, subject: str) -> str:
        """See `OperatorPermits.describe_pending`."""
        return self._operator_permits.describe_pending(kind, subject)

    def release_permit(self, kind: str, subject: str) -> None:
        """See `OperatorPermits.release`."""
        self._operator_permits.release(kind, subject)

    def begin_rolling_drain(
        self, name: str, nodes: list[str], stay_empty_us: int, reply: Callable[[str], None]
    ) -> None:
        """See `OperatorPermits.begin_rolling_drain`."""
        self._operator_permits.begin_rolling_drain(name, nodes, stay_empty_us, reply)

    # ------------------------------------------------------------------ status for operators

    def show(self, query: str, reply: Callable[[Any], None]) -> None:
        """Replies to a status query with values that JSON can represent. Queries are `members`, `owners`,
        `permits`, `counts`, `shards [NODE]`, `state...` and `ranges...` for the replica, and `walk NAME` for
        a rolling drain.
        """
        self.call_soon(lambda now_us: reply(self._build_status(now_us, query)))

    def _build_status(self, now_us: int, query: str) -> Any:
        tables = {
            "members": status.member_rows,
            "owners": status.lease_rows,
            "permits": status.permit_rows,
        }
        if query in tables:
            return tables[query](self.agent, now_us)
        if query.startswith(("state", "ranges")):
            return self.replication.describe(now_us, query) if self.replication is not None else None
        if query == "counts":
            return status.counters(self.agent, self.transport.traffic, boot_us())
        if query.startswith("shards"):
            return status.shard_status(self.agent, now_us, query.removeprefix("shards").strip())
        return status.rolling_drain_rows(self.agent, query.removeprefix("walk "))


def _own_record(settings: AgentSettings, zone: str) -> MemberRecord:
    """Returns the member record of this process, with a new process number."""
    membership = settings.membership
    return MemberRecord(
        membership.name,
        secrets.randbits(PROCESS_NUMBER_BITS),
        1,
        MemberState.ALIVE,
        membership.advertise or membership.listen,
        zone,
        membership.region,
        membership.role,
    )


def _draw_initial_term() -> int:
    return new_initial_term(time.time(), random.SystemRandom().getrandbits(INITIAL_TERM_BITS))
