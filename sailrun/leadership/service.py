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
        told = terms.members
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
        record = _record if terms.owners.record else _forget
        self.agent = Agent(me, terms, secrets.randbits(32), boot_us(), _founding, record=record)
        self.agent.on_use = self._used
        self.agent.on_ownership_change = self._ownership_changed
        self.carrier = Transport(self.agent, split_address(told.listen), patient)
        self.carrier.after = self._after
        self._shared: SharedDiscovery | None = None
        self._by_hand: dict[str, bool] = {}  # form servers that a permit was asked for: whether it is in use
        self._waiting: dict[tuple[str, str], list[Callable[[str], None]]] = {}
        self._pace_coordinator: MoveRateCoordinator | None = None
        self._pace = MoveRateShare()
        self._share, self._wants_pace = -1.0, False
        self._look_us = 0
        self._drain_by_hand = False
        self._drains = False
        if terms.pace:
            self.agent.answers[MOVE_RATE_TASK] = self._lend
        self.copies = CopiesPart(node, self.agent.replica, self) if self.agent.replica is not None else None
        self._exerciser = self._new_exerciser() if terms.owners.record else None
        self._lasting = lasting
        if lasting is not None:
            self.agent.backing.aside = lasting.aside
            lasting.on_done = lambda done: self.carrier.post(lambda now_us: self.agent.wrote(now_us, done))

    def _new_exerciser(self) -> ActExerciser | None:
        """For the laboratory's checks, which need acts on behalf of shards."""
        if self.agent.shards is None:
            return None
        from sailrun.sharding.exercise import ActExerciser

        return ActExerciser(self.agent.shards, self.agent.members, self.agent.name, secrets.randbits(32))

    def discovery(self, source: RegistryService, revision: int) -> SharedDiscovery | None:
        """What the core has for a registry; None: the registry itself."""
        if not self.agent.terms.reader.enabled:
            return None
        self._shared = SharedDiscovery(self._node, source, revision, self.agent, self.carrier)
        return self._shared

    def _take_up(self, lasting: LastingPart) -> None:
        found = lasting.found
        self.agent.take_up(
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
        if self.copies is not None:
            self.copies.begins_with(lasting.drains)

    async def run(self) -> None:
        """Until cancelled, or given up. A fault in here leaves the node as it would be without a fleet."""
        try:
            async with anyio.create_task_group() as group:
                if self._lasting is not None and await self._lasting.wait():
                    # Nothing else knows the agent yet, and a large copy takes its time.
                    await to_thread.run_sync(self._take_up, self._lasting)
                    group.start_soon(self._lasting.run, self._node)
                await self.carrier.run()
                group.cancel_scope.cancel()
        except Exception:
            log("fault", where="fleet", trace=traceback.format_exc())
            self._alone()

    def _alone(self) -> None:
        if self._shared is not None:
            self._shared.alone()

    def leave(self) -> None:
        """The process ends: what is owned is handed over at once."""
        self.carrier.post(self.agent.leave)

    def give_up(self) -> None:
        """A successor takes the name and the address over."""
        self.carrier.post(self._give_up)

    def _give_up(self, now_us: int) -> list[OutgoingEnvelope]:
        self.carrier.ends = True
        self._alone()
        return self.agent.leave(now_us)

    def use(self, terms: AgentSettings) -> None:
        """Takes over an operator's file that was read again."""

        def call(now_us: int) -> list[OutgoingEnvelope]:
            self.agent.use_terms(now_us, terms)
            return []

        self.carrier.post(call)

    # ------------------------------------------------------------------ for the copies

    def call_soon(self, call: Callable[[int], None]) -> None:
        """Has the agent's task call this with the time (microseconds)."""

        def called(now_us: int) -> list[OutgoingEnvelope]:
            call(now_us)
            return []

        self.carrier.post(called)

    def living(self) -> set[str]:
        """The names of the members that live, as far as is known."""
        return set(self.agent.members.names)

    def highest_term(self, task: str) -> int:
        """The highest term under which anybody is known to have owned the task."""
        return self.agent.leases.lease_of(task).highest_granted_term

    def when_kept(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls with whether all that was written so far is on this node's disk, if it has a folder."""
        self.agent.backing.when_kept(now_us, call)

    # ------------------------------------------------------------------ after each turn

    def _after(self, now_us: int) -> list[OutgoingEnvelope]:
        outs: list[OutgoingEnvelope] = []
        if self._shared is not None:
            outs += self._shared.turn(now_us)
        if self.agent.rolling_drains.drain is not None:
            on, self.agent.rolling_drains.drain = self.agent.rolling_drains.drain, None
            self._node.set_draining(on, lambda done: None)
        if self.agent.rolling_drains.draining and now_us >= self._look_us:
            self._look_us = now_us + SESSION_COUNT_INTERVAL_US
            self._node.read_metrics(lambda figures: self._standing(figures.inflight))
        if self.agent.shards is not None:
            self._follow_drain(now_us, self.agent.shards)
        if self.agent.terms.pace:
            outs += self._ask_pace(now_us)
        if self.copies is not None:
            self.copies.turn(now_us)
        if self._exerciser is not None:
            outs += self.agent.say(now_us, self._exerciser.turn(now_us))
        if self._lasting is not None:
            self._lasting.turn()
        return outs

    def _follow_drain(self, now_us: int, shards: ShardsPart) -> None:
        """A node that is drained hands its shards over too, in its turn, and has some again afterwards."""
        drains = Reason.DRAIN in self._node.leaving
        if drains is not self._drains:
            self._drains = drains
            shards.plan_to_leave(now_us, drains)

    def _standing(self, sessions: int) -> None:
        def call(now_us: int) -> list[OutgoingEnvelope]:
            self.agent.rolling_drains.standing(now_us, sessions)
            return []

        self.carrier.post(call)

    def _ownership_changed(self, now_us: int, change: LeadershipChange) -> None:
        if change.task == MOVE_RATE_TASK:
            self._pace_coordinator = MoveRateCoordinator(change.term, now_us) if change.is_leader else None

    # ------------------------------------------------------------------ the rebalancer's pace

    def _lend(self, now_us: int, sender: str, content: Any) -> Any:
        return self._pace_coordinator.asked(now_us, sender) if self._pace_coordinator is not None else None

    def _ask_pace(self, now_us: int) -> list[OutgoingEnvelope]:
        share = self._pace.share(now_us)
        if not self._pace.due(now_us):
            return []
        # Whether any is wanted is the core's to say; what it says counts from the next time on.
        self._node.set_move_rate_share(share, self._moving)
        if (share > 0) is not (self._share > 0) or self._share < 0:
            log("pace", share=round(share, 3))
        self._share = share
        if not self._wants_pace:
            return []

        def answered(now_us: int, sent_us: int, content: Any) -> None:
            self._pace.told(sent_us, content)

        return self.agent.ask(now_us, MOVE_RATE_TASK, [], answered)

    def _moving(self, wanted: bool) -> None:
        self._wants_pace = wanted

    # ------------------------------------------------------------------ permits

    def _used(self, use: PermitChange) -> None:
        """A permit came or went; the core is told, and whoever waits for the answer."""
        if use.kind == OUT_OF_SERVICE and use.subject in self._by_hand:
            self._by_hand[use.subject] = use.yes

            def done(known: bool) -> None:
                if use.yes and not known:
                    self.carrier.post(lambda now_us: self._drop(now_us, OUT_OF_SERVICE, use.subject))
                answer = "" if known or not use.yes else f"no form server '{use.subject[:80]}'"
                self._answer(OUT_OF_SERVICE, use.subject, answer if use.yes else use.why)

            self._node.set_operator_override(use.subject, use.yes, done)
        if use.kind == DRAIN and self._drain_by_hand:
            self._node.set_draining(
                use.yes, lambda done: self._answer(DRAIN, use.subject, "" if use.yes else use.why)
            )

    def _answer(self, kind: str, subject: str, why: str) -> None:
        for reply in self._waiting.pop((kind, subject), ()):
            reply(why)

    def _drop(self, now_us: int, kind: str, subject: str) -> list[OutgoingEnvelope]:
        if self.agent.holder is not None:
            self.agent.holder.give_back(now_us, kind, subject)
        self._by_hand.pop(subject, None)
        return []

    @property
    def permits(self) -> bool:
        return self.agent.holder is not None

    def ask_permit(self, kind: str, subject: str, reply: Callable[[str], None]) -> None:
        """`reply` is called with "" once it is in use, or with why it is not; it may not be called in
        time.
        """

        def call(now_us: int) -> list[OutgoingEnvelope]:
            holder = self.agent.holder
            if holder is None:
                reply("permits are off")
                return []
            if kind == OUT_OF_SERVICE:
                self._by_hand.setdefault(subject, False)
            else:
                self._drain_by_hand = True
            if holder.holds(kind, subject, now_us):
                reply("")
                return []
            holder.want(kind, subject).next_us = 0
            self._waiting.setdefault((kind, subject), []).append(reply)
            return []

        self.carrier.post(call)

    def why_not(self, kind: str, subject: str) -> str:
        """Why a permit that is asked for is not there yet."""
        holder = self.agent.holder
        wanted = holder.wanted.get((kind, subject)) if holder is not None else None
        if wanted is None:
            return "not asked for"
        return f"queued with {wanted.ahead} before it, and carried out in its turn: {wanted.why}"

    def give_back(self, kind: str, subject: str) -> None:
        def call(now_us: int) -> list[OutgoingEnvelope]:
            if kind == DRAIN:
                self._drain_by_hand = False
            return self._drop(now_us, kind, subject)

        self.carrier.post(call)

    def begin_rolling_drain(
        self, name: str, nodes: list[str], for_us: int, reply: Callable[[str], None]
    ) -> None:
        """`reply` is called with "" once it is begun, or with why it is not."""

        def call(now_us: int) -> list[OutgoingEnvelope]:
            unknown = [n for n in nodes if not self.agent.members.lives(n)]
            if unknown:
                reply(f"no member {', '.join(unknown[:5])}")
            elif self.agent.holder is None:
                reply("permits are off")
            else:
                self.agent.rolling_drains.begin(now_us, name, nodes, for_us)
                reply("")
            return []

        self.carrier.post(call)

    # ------------------------------------------------------------------ what staff see

    def show(self, what: str, reply: Callable[[Any], None]) -> None:
        """`members`, `owners`, `permits`, `counts`, or `walk NAME`: a rolling drain; as JSON has it."""

        def call(now_us: int) -> list[OutgoingEnvelope]:
            shown = {"members": status.members, "owners": status.owners, "permits": status.permits}
            if what in shown:
                reply(shown[what](self.agent, now_us))
            elif what.startswith(("state", "ranges")):
                reply(self.copies.show(now_us, what) if self.copies is not None else None)
            elif what == "counts":
                reply(self._counts())
            elif what.startswith("shards"):
                reply(status.shards(self.agent, now_us, what.removeprefix("shards").strip()))
            else:
                reply(status.rolling_drain(self.agent, what.removeprefix("walk ")))
            return []

        self.carrier.post(call)

    def _counts(self) -> dict[str, Any]:
        tallies, members = self.agent.tallies, self.agent.members
        return {
            "orders_sent": tallies.orders_sent,
            "orders_dropped": tallies.orders_dropped,
            "orders_taken": tallies.orders_taken,
            "orders_refused": tallies.orders_refused,
            "orders_late": tallies.orders_late,
            "bad_messages": tallies.bad_messages,
            "wrong_fleet": tallies.wrong_fleet,
            "strangers": members.stray,
            "slowness": members.slowness,
            "messages_in": self.carrier.traffic.messages_in,
            "messages_out": self.carrier.traffic.messages_out,
            "bytes_in": self.carrier.traffic.bytes_in,
            "bytes_out": self.carrier.traffic.bytes_out,
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
