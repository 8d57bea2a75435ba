"""What a running node has of the fleet: its agent, its carrier, and what owners let it do.

Nothing here is on a client's path: the core is told what it may do, and goes on as it is where nobody
tells it.
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
from sailrun.leadership.agent import MOVE_RATE_TASK, Agent, AgentSettings, OutgoingEnvelope
from sailrun.leadership.clock import boot_us
from sailrun.leadership.initial_term import new_initial_term
from sailrun.leadership.leases import LeadershipChange
from sailrun.leadership.member_journal import OpenedFolder
from sailrun.leadership.move_rate import MoveRateCoordinator, MoveRateShare
from sailrun.leadership.permits import DRAIN, OUT_OF_SERVICE, PermitChange
from sailrun.leadership.shared_discovery import SharedDiscovery
from sailrun.leadership.transport import Transport
from sailrun.membership.messages import Record, State
from sailrun.node.clock import log
from sailrun.node.leaving import Reason
from sailrun.replication.service import CopiesPart
from sailrun.storage.folder import Sound, new_identity

if TYPE_CHECKING:
    from sailrun.node.core import Node
    from sailrun.operator_settings import Operator
    from sailrun.sharding.exercise import ActExerciser
    from sailrun.sharding.part import ShardsPart
    from sailrun.storage.service import LastingPart

SECOND = 1_000_000
# While a node drains for a rolling drain, it is looked at this often whether it is empty.
SESSION_COUNT_INTERVAL_US = 200_000
# Two clocks are looked at within this, or once more.
MAX_CLOCK_READ_GAP_US, MAX_CLOCK_READS = 500, 10


def agent_settings(operator: Operator) -> AgentSettings:
    """The agent's part of an operator's file."""
    pace = operator.rebalance.enabled and operator.owners.enabled
    return AgentSettings(
        operator.members,
        operator.owners,
        operator.permits,
        operator.reader,
        pace,
        operator.replica,
        operator.shards,
    )


class FleetService:
    """One node's part in its fleet."""

    def __init__(
        self, node: Node, config: NodeConfig, patient: bool, lasting: LastingPart | None = None
    ) -> None:
        """Raises OSError for an address that is not to be had, unless a predecessor is about to give it
        up.
        """
        assert config.operator is not None
        terms = agent_settings(config.operator)
        told = terms.membership
        self._node = node
        me = Record(
            told.name,
            secrets.randbits(62),
            1,
            State.ALIVE,
            told.advertise or told.listen,
            config.settings.zone,
            told.region,
            told.role,
        )
        record = _record if terms.leadership.record else _forget
        self.agent = Agent(me, terms, secrets.randbits(32), boot_us(), _founding, record=record)
        self.agent.on_permit_change = self._on_permit_change
        self.agent.on_leadership_change = self._on_leadership_change
        self.transport = Transport(self.agent, split_address(told.listen), patient)
        self.transport.after_turn = self._after
        self._shared: SharedDiscovery | None = None
        self._by_hand: dict[str, bool] = {}  # form servers that a permit was asked for: whether it is in use
        self._waiting: dict[tuple[str, str], list[Callable[[str], None]]] = {}
        self._pace_coordinator: MoveRateCoordinator | None = None
        self._pace = MoveRateShare()
        self._share, self._wants_pace = -1.0, False
        self._look_us = 0
        self._drain_by_hand = False
        self._drains = False
        if terms.shares_move_rate:
            self.agent.request_handlers[MOVE_RATE_TASK] = self._grant_rate
        self.replication = (
            CopiesPart(node, self.agent.replica, self) if self.agent.replica is not None else None
        )
        self._exerciser = self._new_exerciser() if terms.leadership.record else None
        self._storage = lasting
        if lasting is not None:
            self.agent.durable_state.extra_entries = lasting.aside
            lasting.on_done = lambda done: self.transport.post(
                lambda now_us: self.agent.on_written(now_us, done)
            )

    def _new_exerciser(self) -> ActExerciser | None:
        """For the laboratory's checks, which need acts on behalf of shards."""
        if self.agent.shards is None:
            return None
        from sailrun.sharding.exercise import ActExerciser

        return ActExerciser(self.agent.shards, self.agent.members, self.agent.name, secrets.randbits(32))

    def new_discovery(self, source: RegistryService, revision: int) -> SharedDiscovery | None:
        """What the core has for a registry; None: the registry itself."""
        if not self.agent.settings.list_reader.enabled:
            return None
        self._shared = SharedDiscovery(self._node, source, revision, self.agent, self.transport)
        return self._shared

    def _restore(self, lasting: LastingPart) -> None:
        found = lasting.found
        self.agent.restore(
            boot_us(),
            OpenedFolder(
                lasting.write_ahead_log,
                lasting.identity,
                found.memory,
                found.sound is Sound.SOUND,
                found.position,
                time.time(),
                new_identity,
            ),
        )
        found.memory.records, found.memory.marks = {}, {}  # the copy has them now
        if self.replication is not None:
            self.replication.begins_with(lasting.drains)

    async def run(self) -> None:
        """Until cancelled, or given up. A fault in here leaves the node as it would be without a fleet."""
        try:
            async with anyio.create_task_group() as group:
                if self._storage is not None and await self._storage.wait():
                    # Nothing else knows the agent yet, and a large copy takes its time.
                    await to_thread.run_sync(self._restore, self._storage)
                    group.start_soon(self._storage.run, self._node)
                await self.transport.run()
                group.cancel_scope.cancel()
        except Exception:
            log("fault", where="fleet", trace=traceback.format_exc())
            self._read_registry_directly()

    def _read_registry_directly(self) -> None:
        if self._shared is not None:
            self._shared.read_directly()

    def leave(self) -> None:
        """The process ends: what is owned is handed over at once."""
        self.transport.post(self.agent.leave)

    def release_address(self) -> None:
        """A successor takes the name and the address over."""
        self.transport.post(self._release_address)

    def _release_address(self, now_us: int) -> list[OutgoingEnvelope]:
        self.transport.closes_after_send = True
        self._read_registry_directly()
        return self.agent.leave(now_us)

    def update_settings(self, terms: AgentSettings) -> None:
        """Takes over an operator's file that was read again."""

        def call(now_us: int) -> list[OutgoingEnvelope]:
            self.agent.update_settings(now_us, terms)
            return []

        self.transport.post(call)

    # ------------------------------------------------------------------ for the copies

    def call_soon(self, call: Callable[[int], None]) -> None:
        """Has the agent's task call this with the time (microseconds)."""

        def called(now_us: int) -> list[OutgoingEnvelope]:
            call(now_us)
            return []

        self.transport.post(called)

    def living(self) -> set[str]:
        """The names of the members that live, as far as is known."""
        return set(self.agent.members.names)

    def highest_term(self, task: str) -> int:
        """The highest term under which anybody is known to have owned the task."""
        return self.agent.leases.lease_of(task).highest_granted_term

    def when_kept(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls with whether all that was written so far is on this node's disk, if it has a folder."""
        self.agent.durable_state.when_kept(now_us, call)

    # ------------------------------------------------------------------ after each turn

    def _after(self, now_us: int) -> list[OutgoingEnvelope]:
        outs: list[OutgoingEnvelope] = []
        if self._shared is not None:
            outs += self._shared.turn(now_us)
        if self.agent.rolling_drains.core_drain_change is not None:
            on, self.agent.rolling_drains.core_drain_change = (
                self.agent.rolling_drains.core_drain_change,
                None,
            )
            self._node.set_draining(on, lambda done: None)
        if self.agent.rolling_drains.is_draining and now_us >= self._look_us:
            self._look_us = now_us + SESSION_COUNT_INTERVAL_US
            self._node.read_metrics(lambda figures: self._on_session_count(figures.inflight))
        if self.agent.shards is not None:
            self._follow_core_drain(now_us, self.agent.shards)
        if self.agent.settings.shares_move_rate:
            outs += self._request_rate(now_us)
        if self.replication is not None:
            self.replication.turn(now_us)
        if self._exerciser is not None:
            outs += self.agent.send_shard_messages(now_us, self._exerciser.turn(now_us))
        if self._storage is not None:
            self._storage.turn()
        return outs

    def _follow_core_drain(self, now_us: int, shards: ShardsPart) -> None:
        """A node that is drained hands its shards over too, in its turn, and has some again afterwards."""
        drains = Reason.DRAIN in self._node.leaving
        if drains is not self._drains:
            self._drains = drains
            shards.plan_to_leave(now_us, drains)

    def _on_session_count(self, sessions: int) -> None:
        def call(now_us: int) -> list[OutgoingEnvelope]:
            self.agent.rolling_drains.on_session_count(now_us, sessions)
            return []

        self.transport.post(call)

    def _on_leadership_change(self, now_us: int, change: LeadershipChange) -> None:
        if change.task == MOVE_RATE_TASK:
            self._pace_coordinator = MoveRateCoordinator(change.term, now_us) if change.is_leader else None

    # ------------------------------------------------------------------ the rebalancer's pace

    def _grant_rate(self, now_us: int, sender: str, content: Any) -> Any:
        return (
            self._pace_coordinator.grant_share(now_us, sender) if self._pace_coordinator is not None else None
        )

    def _request_rate(self, now_us: int) -> list[OutgoingEnvelope]:
        share = self._pace.current_share(now_us)
        if not self._pace.take_due_request(now_us):
            return []
        # Whether any is wanted is the core's to say; what it says counts from the next time on.
        self._node.set_move_rate_share(share, self._on_rate_wanted)
        if (share > 0) is not (self._share > 0) or self._share < 0:
            log("pace", share=round(share, 3))
        self._share = share
        if not self._wants_pace:
            return []

        def answered(now_us: int, sent_us: int, content: Any) -> None:
            self._pace.on_grant(sent_us, content)

        return self.agent.request(now_us, MOVE_RATE_TASK, [], answered)

    def _on_rate_wanted(self, wanted: bool) -> None:
        self._wants_pace = wanted

    # ------------------------------------------------------------------ permits

    def _on_permit_change(self, use: PermitChange) -> None:
        """A permit came or went; the core is told, and whoever waits for the answer."""
        if use.kind == OUT_OF_SERVICE and use.subject in self._by_hand:
            self._by_hand[use.subject] = use.is_held

            def done(known: bool) -> None:
                if use.is_held and not known:
                    self.transport.post(
                        lambda now_us: self._release_permit(now_us, OUT_OF_SERVICE, use.subject)
                    )
                answer = "" if known or not use.is_held else f"no form server '{use.subject[:80]}'"
                self._answer(OUT_OF_SERVICE, use.subject, answer if use.is_held else use.reason)

            self._node.set_operator_override(use.subject, use.is_held, done)
        if use.kind == DRAIN and self._drain_by_hand:
            self._node.set_draining(
                use.is_held, lambda done: self._answer(DRAIN, use.subject, "" if use.is_held else use.reason)
            )

    def _answer(self, kind: str, subject: str, why: str) -> None:
        for reply in self._waiting.pop((kind, subject), ()):
            reply(why)

    def _release_permit(self, now_us: int, kind: str, subject: str) -> list[OutgoingEnvelope]:
        if self.agent.permit_holder is not None:
            self.agent.permit_holder.release(now_us, kind, subject)
        self._by_hand.pop(subject, None)
        return []

    @property
    def permits(self) -> bool:
        return self.agent.permit_holder is not None

    def ask_permit(self, kind: str, subject: str, reply: Callable[[str], None]) -> None:
        """`reply` is called with "" once it is in use, or with why it is not; it may not be called in
        time.
        """

        def call(now_us: int) -> list[OutgoingEnvelope]:
            holder = self.agent.permit_holder
            if holder is None:
                reply("permits are off")
                return []
            if kind == OUT_OF_SERVICE:
                self._by_hand.setdefault(subject, False)
            else:
                self._drain_by_hand = True
            if holder.is_held(kind, subject, now_us):
                reply("")
                return []
            holder.request(kind, subject).next_request_us = 0
            self._waiting.setdefault((kind, subject), []).append(reply)
            return []

        self.transport.post(call)

    def describe_pending_permit(self, kind: str, subject: str) -> str:
        """Why a permit that is asked for is not there yet."""
        holder = self.agent.permit_holder
        wanted = holder.permits.get((kind, subject)) if holder is not None else None
        if wanted is None:
            return "not asked for"
        return f"queued with {wanted.requests_ahead} before it, and carried out in its turn: {wanted.reason}"

    def give_back(self, kind: str, subject: str) -> None:
        def call(now_us: int) -> list[OutgoingEnvelope]:
            if kind == DRAIN:
                self._drain_by_hand = False
            return self._release_permit(now_us, kind, subject)

        self.transport.post(call)

    def begin_rolling_drain(
        self, name: str, nodes: list[str], for_us: int, reply: Callable[[str], None]
    ) -> None:
        """`reply` is called with "" once it is begun, or with why it is not."""

        def call(now_us: int) -> list[OutgoingEnvelope]:
            unknown = [n for n in nodes if not self.agent.members.lives(n)]
            if unknown:
                reply(f"no member {', '.join(unknown[:5])}")
            elif self.agent.permit_holder is None:
                reply("permits are off")
            else:
                self.agent.rolling_drains.begin(now_us, name, nodes, for_us)
                reply("")
            return []

        self.transport.post(call)

    # ------------------------------------------------------------------ what staff see

    def show(self, what: str, reply: Callable[[Any], None]) -> None:
        """`members`, `owners`, `permits`, `counts`, or `walk NAME`: a rolling drain; as JSON has it."""

        def call(now_us: int) -> list[OutgoingEnvelope]:
            shown = {"members": status.members, "owners": status.owners, "permits": status.permits}
            if what in shown:
                reply(shown[what](self.agent, now_us))
            elif what.startswith(("state", "ranges")):
                reply(self.replication.show(now_us, what) if self.replication is not None else None)
            elif what == "counts":
                reply(self._counts())
            elif what.startswith("shards"):
                reply(status.shards(self.agent, now_us, what.removeprefix("shards").strip()))
            else:
                reply(status.rolling_drain(self.agent, what.removeprefix("walk ")))
            return []

        self.transport.post(call)

    def _counts(self) -> dict[str, Any]:
        tallies, members = self.agent.counters, self.agent.members
        return {
            "orders_sent": tallies.responses_sent,
            "orders_dropped": tallies.responses_expired,
            "orders_taken": tallies.responses_accepted,
            "orders_refused": tallies.responses_of_lower_term,
            "orders_late": tallies.responses_too_late,
            "bad_messages": tallies.malformed_messages,
            "wrong_fleet": tallies.foreign_messages,
            "strangers": members.stray,
            "slowness": members.slowness,
            "messages_in": self.transport.traffic.messages_in,
            "messages_out": self.transport.traffic.messages_out,
            "bytes_in": self.transport.traffic.bytes_in,
            "bytes_out": self.transport.traffic.bytes_out,
            "in_touch": self.agent.leases.reaches_majority(boot_us()),
        }


def _founding() -> int:
    return new_initial_term(time.time(), random.SystemRandom().getrandbits(12))


def _record(kind: str, **facts: Any) -> None:
    """For the laboratory: every act, in the time that all processes of a machine share, and how far this
    node's own clock had what it names before or after.
    """
    for _ in range(MAX_CLOCK_READS):
        at_us, own_us = time.monotonic_ns() // 1000, boot_us()
        if time.monotonic_ns() // 1000 - at_us < MAX_CLOCK_READ_GAP_US:
            break  # else this process was stopped between its looks at the clocks
    if "until_us" in facts:
        facts["left_us"] = facts.pop("until_us") - own_us
    if "made_us" in facts:
        facts["ago_us"] = own_us - facts.pop("made_us")
    log("act", kind=kind, at_us=at_us, **facts)


def _forget(kind: str, **facts: Any) -> None:
    pass
