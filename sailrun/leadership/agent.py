"""The agent of one fleet member: membership, voter, tasks that it leads, and requests to other leaders.

The agent does no I/O: it takes envelopes and the time, and returns envelopes. `transport.py` drives it with
sockets, and the laboratory drives it in virtual time. The time is in microseconds of one clock of this
process that continues while the machine is suspended and is never set.

The agent connects its parts and dispatches messages to them; each part has a module of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from sailrun.leadership.agent_settings import AgentSettings
from sailrun.leadership.change_log import ChangeLog, LogEvent
from sailrun.leadership.durable_state import DurableState
from sailrun.leadership.envelope import Body, Envelope
from sailrun.leadership.leases import LeadershipChange, Leases
from sailrun.leadership.member_journal import MemberFolder
from sailrun.leadership.messages import (
    DrainRequest,
    DrainStatus,
    LeaderRequest,
    LeaderResponse,
    LeaseDenial,
    LeaseGrant,
    LeaseHandover,
    LeaseRelease,
    LeaseRequest,
    NotLeader,
    ResponseRejection,
    TermQuery,
    TermReport,
)
from sailrun.leadership.outgoing import EnvelopeFactory, OutgoingEnvelope, TermGuard
from sailrun.leadership.permit_role import PermitRole
from sailrun.leadership.permits import PERMITS_TASK, PermitChange, PermitCoordinator, PermitHolder
from sailrun.leadership.quorum import Voters
from sailrun.leadership.requests import AddressedMessage, OnResponse, PendingRequests, Requester
from sailrun.leadership.response_gate import Released
from sailrun.leadership.rolling_drain import RollingDrains
from sailrun.leadership.task_leadership import MOVE_RATE_TASK, READER_TASK_PREFIX, TaskLeadership
from sailrun.leadership.voter import Voter
from sailrun.leadership.voter_role import VoterRole
from sailrun.membership.membership import Membership
from sailrun.membership.messages import MemberBody, MemberRecord, MemberState
from sailrun.replication.replica import MARKS_TASK, Replica
from sailrun.sharding.messages import ElectionMessage, ShardBody
from sailrun.sharding.messages import PeerMessage as ShardPeerMessage
from sailrun.storage.messages import FreshnessQuery, FreshnessReply
from sailrun.storage.write_ahead_log import WriteResult

if TYPE_CHECKING:
    from sailrun.sharding.agent import ShardingAgent

__all__ = ["MOVE_RATE_TASK", "READER_TASK_PREFIX", "Agent", "AgentSettings", "OutgoingEnvelope"]

# Pairs of a member's name and a message for it.
Messages = Iterable[tuple[str, Any]]
Item = TypeVar("Item")


class Agent:
    """Connects the parts of a member. Times are microseconds.

    `new_initial_term` returns the term at which a fleet without any memory starts. `disabled_rules` contains
    the safety rules that the laboratory switches off. `record` is called with every act, for the laboratory's
    checks.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        settings: AgentSettings,
        seed: int,
        now_us: int,
        new_initial_term: Callable[[], int],
        disabled_rules: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **fields: None,
    ) -> None:
        self.settings, self._disabled_rules, self._record = settings, disabled_rules, record
        self._now_us = now_us
        self.name, self.process_number, self.zone = own_record.name, own_record.life, own_record.zone
        # By task, the handler of its requests: called with the time, the sender and the content, it returns
        # the content of the response, or None for no response.
        self.request_handlers: dict[str, Callable[[int, str, Any], Any]] = {}
        self.on_leadership_change: Callable[[int, LeadershipChange], None] = lambda now_us, change: None
        self.on_permit_change: Callable[[PermitChange], None] = lambda change: None
        random_source = random.Random(seed)  # seeds each part, always in this order
        self.voters = Voters(settings.leadership, disabled_rules)
        self.members = Membership(own_record, settings.membership, random_source.getrandbits(32), now_us)
        self.leases = Leases(
            own_record.name,
            self.voters,
            settings.leadership,
            random_source.getrandbits(32),
            now_us,
            disabled_rules,
        )
        self._change_log = ChangeLog(record)
        self.counters = self._change_log.counters
        self._leadership = TaskLeadership(self.members, self.leases, own_record.zone, settings, self.counters)
        self._envelopes = EnvelopeFactory(lambda: self.settings.membership.fleet, self.members, self.leases)
        self.durable_state = DurableState(
            own_record.name,
            own_record.life,
            lambda: self.voters,
            self.members.is_living,
            record,
            disabled_rules,
        )
        self._voter_role = VoterRole(
            own_record.name,
            self.voters,
            settings.leadership,
            self.durable_state,
            new_initial_term,
            now_us,
            disabled_rules,
        )
        self._permit_role = PermitRole(settings.permits, self._change_log, disabled_rules)
        self.rolling_drains = RollingDrains(own_record.name, self.permit_holder)
        self.replica = (
            self._new_replica(random_source.getrandbits(32), now_us) if settings.replication.enabled else None
        )
        self.durable_state.attach_parts(lambda: self.voter, self.replica, self.rolling_drains)
        self._requests = self._new_requests(random_source.getrandbits(30) << 20)
        self.shards = (
            self._new_shards(own_record, random_source, now_us, new_initial_term)
            if settings.sharding.enabled
            else None
        )

    def _new_replica(self, seed: int, now_us: int) -> Replica:
        return Replica(
            self.name,
            self.process_number,
            self.settings.replication,
            self.settings.membership.fleet,
            self.members,
            lambda: self.voters,
            lambda kind: self.settings.max_marks(kind),
            seed,
            now_us,
            self._disabled_rules,
            self._record,
            self.durable_state.journal,
        )

    def _new_requests(self, initial_number: int) -> PendingRequests:
        return PendingRequests(
            Requester(self.name, self.process_number),
            self.leases,
            self._leadership,
            self._handle_request,
            self._observe_term,
            self._change_log,
            self.settings.leadership.order_s,
            initial_number,
            self._disabled_rules,
        )

    def _new_shards(
        self,
        own_record: MemberRecord,
        random_source: random.Random,
        now_us: int,
        new_initial_term: Callable[[], int],
    ) -> ShardingAgent:
        # Imported only if sharding is switched on, because it needs numpy.
        from sailrun.sharding.agent import ShardingAgent

        settings, draw_bits = self.settings, random_source.getrandbits
        return ShardingAgent(
            own_record,
            settings.sharding,
            settings.leadership,
            self.members,
            draw_bits,
            now_us,
            new_initial_term,
            self._disabled_rules,
            self._record,
        )

    @property
    def log_events(self) -> list[LogEvent]:
        """Events for the log; the driver clears them."""
        return self._change_log.events

    @property
    def voter(self) -> Voter | None:
        """This node's voter; None: the node is not a voter."""
        return self._voter_role.voter

    @property
    def permit_holder(self) -> PermitHolder | None:
        """The permits this node requests or holds; None: permits are off."""
        return self._permit_role.holder

    @property
    def permit_coordinator(self) -> PermitCoordinator | None:
        """The coordinator of the fleet's permits; None: this node does not lead that task."""
        return self._permit_role.coordinator

    # ------------------------------------------------------------------ durable state

    def restore(self, now_us: int, folder: MemberFolder) -> None:
        """Restores the state from a storage folder as far as it is valid; called before the first tick."""
        self.durable_state.restore(now_us, folder)

    def on_written(self, now_us: int, result: WriteResult) -> list[OutgoingEnvelope]:
        """Handles the result of a disk write; returns the messages that were withheld until then."""
        self._now_us = now_us
        envelopes = self._send_released(self.durable_state.on_written(now_us, result))
        return envelopes + self._publish_changes(now_us)

    def _send_released(self, released: Released) -> list[OutgoingEnvelope]:
        """Sends released responses directly; other messages may be withheld."""
        delivered = [out for name, body in released.responses for out in self._deliver(name, body)]
        return delivered + self._post_all(released.messages)

    # ------------------------------------------------------------------ leadership of tasks

    def candidate_tasks(self) -> dict[str, list[str]]:
        """See `TaskLeadership.candidate_tasks`."""
        return self._leadership.candidate_tasks()

    def leading_term(self, task: str, now_us: int) -> int:
        """See `TaskLeadership.leading_term`."""
        return self._leadership.leading_term(task, now_us)

    def may_send(self, guard: TermGuard, now_us: int) -> bool:
        """See `TaskLeadership.may_send`."""
        return self._leadership.may_send(guard, now_us)

    def known_leader(self, task: str) -> str:
        """See `TaskLeadership.known_leader`."""
        return self._leadership.known_leader(task)

    # ------------------------------------------------------------------ incoming messages

    def on_envelope(self, now_us: int, address: str, envelope: Envelope) -> list[OutgoingEnvelope]:
        """Handles an envelope received from `address`; returns the envelopes to send."""
        self._now_us = now_us
        if envelope.fleet != self.settings.membership.fleet:
            self.counters.foreign_messages += 1
            return []
        body, name, process_number = envelope.body, envelope.sender, envelope.life
        if name != self.name:
            self.members.observe_contact(now_us, name, process_number, envelope.incarnation)
        envelopes: list[OutgoingEnvelope] = []
        if isinstance(body, MemberBody):
            sender = MemberRecord(name, process_number, envelope.incarnation, MemberState.ALIVE, address)
            envelopes = self._envelopes.address_messages(self.members.receive(now_us, sender, body))
        elif not self.members.accept_sender(name, process_number):
            return []
        if self.members.is_current_process(name, process_number):
            self.members.merge_records(now_us, envelope.member_updates, name)
            for hint in envelope.leader_hints:
                self._observe_term(now_us, hint.task, hint.term, hint.holder)
            if not isinstance(body, MemberBody):
                envelopes += self._dispatch(now_us, name, process_number, body)
        return envelopes + self._publish_changes(now_us)

    def _observe_term(self, now_us: int, task: str, term: int, holder: str) -> None:
        """Handles a report of a task's term and its leader; an empty `holder`: unknown."""
        self.leases.observe_term(task, term, holder, now_us)
        self._voter_role.observe_term(task, term)

    def _dispatch(  # noqa: C901, PLR0911, PLR0912 - a case for each message
        self, now_us: int, sender: str, process_number: int, body: Body
    ) -> list[OutgoingEnvelope]:
        match body:
            case LeaseRequest() | LeaseRelease() | TermQuery() | TermReport():
                # A process whose name was rejected is not a voter.
                if self.members.has_joined:
                    return self._post_all(self._voter_role.on_message(now_us, sender, process_number, body))
            case LeaseGrant():
                self.leases.on_grant(now_us, sender, body)
            case LeaseDenial():
                return self._post_all(self.leases.on_denial(now_us, sender, body))
            case LeaseHandover():
                self.leases.on_handover(now_us, body)
                return self._turn_leases(now_us)
            case LeaderRequest():
                return self._post_addressed(
                    self._requests.on_request(now_us, Requester(sender, process_number), body)
                )
            case LeaderResponse():
                return self._post_addressed(self._requests.on_response(now_us, sender, body))
            case ResponseRejection():
                self._requests.on_rejection(now_us, body)
            case NotLeader():
                return self._post_addressed(self._requests.on_not_leader(now_us, sender, body))
            case DrainRequest():
                return self._post(sender, self.rolling_drains.on_request(now_us, body))
            case DrainStatus():
                self.rolling_drains.on_status(now_us, sender, body)
            case _ if isinstance(body, ShardBody):
                if self.shards is not None and self.members.has_joined:
                    return self._post_all(self.shards.receive(now_us, sender, process_number, body))
            case FreshnessQuery() | FreshnessReply():
                if sender in self.voters.names():
                    return self._send_released(self.durable_state.on_freshness_message(now_us, sender, body))
            case _:
                if self.replica is not None and self.members.has_joined:
                    return self._post_all(self.replica.receive(now_us, sender, body))
        return []

    # ------------------------------------------------------------------ requests and responses

    def request(
        self, now_us: int, task: str, content: Any, on_response: OnResponse
    ) -> list[OutgoingEnvelope]:
        """Sends a request to the leader of a task; see `PendingRequests.request`."""
        return self._post_addressed(self._requests.request(now_us, task, content, on_response))

    def _handle_request(self, now_us: int, task: str, term: int, requester: Requester, content: Any) -> Any:
        """Returns the content of this node's response as the leader of the task; None: it sends none."""
        if task == PERMITS_TASK:
            return self._permit_role.answer_request(
                now_us, term, requester.name, requester.process_number, content
            )
        if task == MARKS_TASK:
            return self.replica.answer_request(now_us, content) if self.replica is not None else None
        handler = self.request_handlers.get(task)
        return handler(now_us, requester.name, content) if handler is not None else None

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """Returns when `tick` has to be called next if no message arrives before."""
        due_us = self.members.due_us(now_us)
        if not self.members.has_joined:
            return due_us
        due_us = min(due_us, self.leases.due_us(now_us, self.candidate_tasks()))
        if self.voter is not None:
            due_us = min(due_us, self.voter.due_us() or due_us)
        if self.permit_holder is not None and self.permit_holder.permits:
            due_us = min(due_us, self.permit_holder.due_us(now_us))
        if self.replica is not None:
            due_us = min(due_us, self.replica.due_us(now_us))
        if self.shards is not None:
            due_us = min(due_us, self.shards.due_us(now_us))
        durable_state_due_us = self.durable_state.due_us()
        return due_us if durable_state_due_us is None else min(due_us, durable_state_due_us)

    def tick(self, now_us: int) -> list[OutgoingEnvelope]:
        """Runs everything that is due by the clock; returns the envelopes to send."""
        self._now_us = now_us
        envelopes = self._envelopes.address_messages(self.members.tick(now_us))
        if self.voter is not None and self.members.has_joined:
            envelopes += self._post_all(self.voter.tick(now_us))
            envelopes += self._post_all(self.durable_state.tick(now_us))
        if self.members.has_joined and not self.members.is_leaving:
            envelopes += self._turn_leases(now_us)
        self._requests.drop_expired(now_us)
        envelopes += self._turn_permits(now_us)
        envelopes += self._post_all(self.rolling_drains.tick(now_us))
        if self.replica is not None and self.members.has_joined and not self.members.is_leaving:
            envelopes += self._turn_replica(now_us, self.replica)
        if self.shards is not None and self.members.has_joined and not self.members.is_leaving:
            envelopes += self._post_all(self.shards.tick(now_us))
        return envelopes + self._publish_changes(now_us)

    def _turn_leases(self, now_us: int) -> list[OutgoingEnvelope]:
        return self._post_all(self.leases.tick(now_us, self.candidate_tasks()))

    def _turn_permits(self, now_us: int) -> list[OutgoingEnvelope]:
        requests = self._permit_role.due_requests(now_us)
        return [
            out
            for content, on_response in requests
            for out in self.request(now_us, PERMITS_TASK, content, on_response)
        ]

    def _turn_replica(self, now_us: int, replica: Replica) -> list[OutgoingEnvelope]:
        coordinator = replica.coordinator
        if coordinator is not None and coordinator.superseding_term > coordinator.term:
            # A voter has promised a higher term, so this term ends, and the next one will be above that one.
            self.leases.observe_term(MARKS_TASK, coordinator.superseding_term, "", now_us)
            self._publish_changes(now_us)
        envelopes = self._post_all(replica.tick(now_us, self.known_leader(MARKS_TASK)))
        for operation, on_response in _take_all(replica.leader_requests):
            envelopes += self.request(now_us, MARKS_TASK, msgspec.to_builtins(operation), on_response)
        self._change_log.move_from(replica.anti_entropy.log_events)
        return envelopes

    def leave(self, now_us: int) -> list[OutgoingEnvelope]:
        """Leaves the fleet: hands over tasks and shards, releases permits, and leaves membership."""
        self._now_us = now_us
        envelopes = self._post_all(self.leases.leave(now_us, self.candidate_tasks()))
        self._permit_role.release_all(now_us)
        envelopes += self._turn_permits(now_us)
        if self.shards is not None:
            envelopes += self._post_all(self.shards.leave(now_us))
        envelopes += self._envelopes.address_messages(self.members.leave(now_us))
        return envelopes + self._publish_changes(now_us)

    def update_settings(self, now_us: int, settings: AgentSettings) -> None:
        """Applies reloaded operator settings."""
        if settings.leadership != self.settings.leadership:
            self.voters = Voters(settings.leadership, self._disabled_rules)
            self.leases.update_settings(self.voters, settings.leadership)
            self._voter_role.update_settings(now_us, self.voters, settings.leadership)
            if self.replica is not None:
                self.replica.apply_voters(now_us)
        self._permit_role.update_settings(settings.permits)
        self._leadership.update_settings(settings)
        self.settings = settings

    # ------------------------------------------------------------------ changes

    def _publish_changes(self, now_us: int) -> list[OutgoingEnvelope]:
        """Logs changes and passes them to the dependent parts and callbacks; always returns an empty list."""
        for member_change in _take_all(self.members.changes):
            self._change_log.log_member(member_change)
        for leadership_change in _take_all(self.leases.changes):
            self._on_leadership_change(now_us, leadership_change)
        self._change_log.record_held_leases(self.leases)
        self._change_log.move_from(self.durable_state.log_events)
        if self.shards is not None:
            self._change_log.move_from(self.shards.log_events)
        for permit_change in _take_all(self.permit_holder.changes) if self.permit_holder is not None else ():
            self._change_log.log_permit(permit_change)
            self.rolling_drains.on_permit_change(permit_change)
            self.on_permit_change(permit_change)
        self._change_log.log_majority_contact(self.leases.reaches_majority(now_us), len(self.voters.names()))
        return []

    def _on_leadership_change(self, now_us: int, change: LeadershipChange) -> None:
        self._change_log.log_leadership(change)
        if change.task == PERMITS_TASK:
            self._permit_role.on_leadership_change(now_us, change)
        if change.task == MARKS_TASK and self.replica is not None:
            self.replica.set_leadership(now_us, change.term if change.is_leader else 0)
            self._change_log.forget_recorded_expiry(change.task)
        self.on_leadership_change(now_us, change)

    # ------------------------------------------------------------------ outgoing messages

    def send_shard_messages(self, now_us: int, messages: list[ShardPeerMessage]) -> list[OutgoingEnvelope]:
        """Sends messages of sharding outside of a tick, such as acts on behalf of a shard."""
        self._now_us = now_us
        return self._post_all(messages) if self.members.has_joined else []

    def _post_addressed(self, messages: list[AddressedMessage]) -> list[OutgoingEnvelope]:
        return [out for message in messages for out in self._post(message.name, message.body, message.guard)]

    def _post_all(self, messages: Messages) -> list[OutgoingEnvelope]:
        envelopes: list[OutgoingEnvelope] = []
        for name, body in messages:
            if self._is_still_needed(body):
                envelopes += self._post(name, body)
        return envelopes

    def _is_still_needed(self, body: Any) -> bool:
        """Whether a message is still needed; a lease request that this node's own voter denied is not."""
        if isinstance(body, LeaseRequest):
            return self.leases.is_requested(body)
        return (
            not isinstance(body, ElectionMessage) or self.shards is None or self.shards.is_still_needed(body)
        )

    def _post(self, name: str, body: Body, guard: TermGuard | None = None) -> list[OutgoingEnvelope]:
        """Sends to a member by name; withholds a durable response until its journal entry is synced."""
        if self.durable_state.withhold_if_not_durable(self._now_us, name, body):
            return []
        return self._deliver(name, body, guard)

    def _deliver(self, name: str, body: Body, guard: TermGuard | None = None) -> list[OutgoingEnvelope]:
        """Dispatches a message to this node itself at once, or addresses it to another member."""
        if name == self.name:
            return self._dispatch(self._now_us, name, self.process_number, body)
        return self._envelopes.address_member(name, body, guard)


def _take_all(queue: list[Item]) -> list[Item]:
    """Returns the items of the queue and clears it."""
    items = queue[:]
    queue.clear()
    return items
