"""All sharding roles of one member: node, voter and assigner. Pure.

`leadership/agent.py` drives it and transports its messages. Each region is independent: it has its own
voters, and messages of other regions are ignored.
"""

from __future__ import annotations

from collections.abc import Callable

from sailrun.leadership.leases import LeadershipChange
from sailrun.leadership.settings import DRIFT, LeadershipSettings
from sailrun.membership.messages import CONTROL, MemberRecord
from sailrun.sharding.assigner import Assigner
from sailrun.sharding.assigner_election import SEED_BITS, AssignerElection, MembershipView
from sailrun.sharding.log_events import LogEvent, generation_event, session_event
from sailrun.sharding.messages import (
    ElectionMessage,
    PeerMessage,
    ReadTable,
    RenewalRejected,
    RenewSession,
    SessionRenewed,
    ShardAct,
    ShardActRejected,
    ShardBody,
    TableRead,
    TableRejected,
    TableWritten,
    WriteTable,
)
from sailrun.sharding.session import NodeSession
from sailrun.sharding.settings import ShardingSettings
from sailrun.sharding.shard_acts import ShardActs
from sailrun.sharding.table_replication import TableAcceptor, TableWriter

SECOND_US = 1_000_000
# After more unanswered heartbeats than this, heartbeats go to the voters in turn to find the assigner.
MAX_UNANSWERED_HEARTBEATS = 2


class ShardingAgent:
    """Combines the election of the assigner, the assigner, the voter's table and the node's session.

    `log_events` are events for the log; the driver has to empty them.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        settings: ShardingSettings,
        leadership: LeadershipSettings,
        members: MembershipView,
        random_bits: Callable[[int], int],
        now_us: int,
        new_initial_term: Callable[[], int],
        disabled_rules: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **fields: None,
    ) -> None:
        """`random_bits` returns a random number of the given number of bits. `new_initial_term` returns a
        number that is above all terms and generations ever used, as far as randomness and a clock can ensure
        that; a region whose voters have no memory begins with it. `disabled_rules` are safety rules that
        the laboratory switches off. Raises ValueError if the region is not in the settings.
        """
        region = settings.region(own_record.region)
        if region is None:
            raise ValueError(
                f"region '{own_record.region}' of member '{own_record.name}' is not in the settings"
            )
        self.name = own_record.name
        self.region = region
        self.settings = settings
        self.log_events: list[LogEvent] = []
        self.settings_mismatch_count = 0  # messages from members with different settings
        self.assigner: Assigner | None = None
        self.assigner_name = ""  # the member that heartbeats are sent to; empty: the assigner is unknown
        self._process_number = own_record.life
        self._members = members
        self._new_initial_term = new_initial_term
        self._disabled_rules = disabled_rules
        self._record = record
        self._settings_digest = settings.digest(region.name)
        self.election = AssignerElection(
            own_record.name,
            region,
            self._settings_digest,
            leadership,
            members,
            random_bits,
            now_us,
            new_initial_term,
            disabled_rules,
            record,
        )
        self.acceptor = (
            TableAcceptor(region.name, own_record.life, disabled_rules)
            if own_record.name in region.voters
            else None
        )
        self.session: NodeSession | None = None
        if own_record.role != CONTROL:
            self.session = NodeSession(
                region, settings, random_bits(SEED_BITS), now_us, disabled_rules, record
            )
        self.acts = ShardActs(region, disabled_rules, record)
        # The voter that gets the heartbeat while the assigner is unknown.
        self._next_voter = random_bits(SEED_BITS)

    @property
    def task(self) -> str:
        """The task whose leader is the region's assigner."""
        return self.election.task

    def is_assigner(self, now_us: int) -> bool:
        """Whether this member may act as its region's assigner now."""
        return self.election.is_assigner(now_us)

    def is_still_needed(self, message: ElectionMessage) -> bool:
        """False for a lease request that is obsolete because this member's own vote has denied it since."""
        return self.election.is_still_needed(message)

    # ------------------------------------------------------------------ messages

    def receive(self, now_us: int, sender: str, process_number: int, body: ShardBody) -> list[PeerMessage]:
        """Processes a message from the process `process_number` of a member; returns messages to send."""
        if body.region != self.region.name:
            return []
        settings_digest = getattr(body, "digest", self._settings_digest)
        if settings_digest != self._settings_digest:
            return self._reject_settings(sender, body)
        messages = self._dispatch(now_us, sender, process_number, body)
        return messages + self._follow_election(now_us)

    def _reject_settings(self, sender: str, body: ShardBody) -> list[PeerMessage]:
        """Counts a message from a member with different settings; only a heartbeat gets a rejection."""
        self.settings_mismatch_count += 1
        if self.settings_mismatch_count == 1:
            self.log_events.append(("shards-settings-differ", {"name": sender}))
        if isinstance(body, RenewSession):
            rejection = RenewalRejected(self.region.name, body.sequence, "settings")
            return [PeerMessage(sender, rejection)]
        return []

    def _dispatch(self, now_us: int, sender: str, process_number: int, body: ShardBody) -> list[PeerMessage]:
        match body:
            case ElectionMessage():
                return self.election.receive(now_us, sender, process_number, body)
            case RenewSession():
                return self._answer_heartbeat(now_us, sender, body)
            case SessionRenewed():
                self._on_renewed(now_us, sender, body)
            case RenewalRejected():
                self._on_rejected(now_us, sender, body)
            case ReadTable() | WriteTable():
                return self._answer_writer(sender, body)
            case TableRead() | TableWritten() | TableRejected():
                if self.assigner is not None and self.is_assigner(now_us):
                    self.assigner.writer.receive(now_us, sender, body)
            case ShardAct():
                return self.acts.receive(sender, body)
            case ShardActRejected():
                self.acts.count_rejection()
        return []

    def _answer_writer(self, sender: str, body: ReadTable | WriteTable) -> list[PeerMessage]:
        if self.acceptor is None:
            return []
        answer = self.acceptor.promise(body) if isinstance(body, ReadTable) else self.acceptor.accept(body)
        return [PeerMessage(sender, answer)]

    def _answer_heartbeat(self, now_us: int, sender: str, heartbeat: RenewSession) -> list[PeerMessage]:
        if self.assigner is not None and self.is_assigner(now_us):
            answer = self.assigner.answer_heartbeat(now_us, sender, heartbeat)
            return [PeerMessage(sender, answer)] if answer is not None else []
        assigner_name = self.election.known_assigner(now_us)
        rejection = RenewalRejected(self.region.name, heartbeat.sequence, "elsewhere", assigner_name)
        return [PeerMessage(sender, rejection)]

    def _on_renewed(self, now_us: int, sender: str, answer: SessionRenewed) -> None:
        if self.session is not None:
            self.assigner_name = sender
            self.session.on_renewed(now_us, answer)

    def _on_rejected(self, now_us: int, sender: str, answer: RenewalRejected) -> None:
        if self.session is None:
            return
        if answer.reason == "elsewhere":
            self._follow_referral(now_us, self.session, sender, answer)
        else:
            self.session.on_rejected(now_us, answer)

    def _follow_referral(
        self, now_us: int, session: NodeSession, sender: str, answer: RenewalRejected
    ) -> None:
        """Handles an answer of a member that is not the assigner: the next heartbeat goes to the assigner
        that it names, if that member is alive.
        """
        named = answer.assigner_name
        if named == sender or not self._members.is_living(named):
            named = ""
        if named and named != self.assigner_name:
            self.assigner_name = named
            session.retry_now(now_us)
        elif self.assigner_name == sender:
            self.assigner_name = ""

    def send_act(self, now_us: int, shard: int, recipient: str) -> list[PeerMessage]:
        """Returns a request to another member to act for a shard; empty if this node may not use it."""
        token = self.session.issue_token(shard, now_us) if self.session is not None else None
        return [self.acts.send(now_us, shard, token, recipient)] if token is not None else []

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """The time at which `tick` has to be called next."""
        due = [self.election.due_us(now_us)]
        if self.assigner is not None:
            due.append(self.assigner.due_us(now_us))
        if self.session is not None:
            due.append(self.session.due_us(now_us))
        return min(due)

    def tick(self, now_us: int) -> list[PeerMessage]:
        """Performs the work that is due; returns messages to send."""
        messages = self.election.tick_leases(now_us)
        messages += self.election.tick_voter(now_us)
        messages += self._follow_election(now_us)
        if self.session is not None:
            messages += self._send_heartbeat(now_us, self.session)
        self._add_log_events(now_us)
        return messages

    def _send_heartbeat(self, now_us: int, session: NodeSession) -> list[PeerMessage]:
        """Sends the heartbeat that is due to the assigner or, while it is unknown, to the voters in turn."""
        heartbeat = session.tick(now_us)
        if heartbeat is None:
            return []
        is_unresponsive = session.unanswered_heartbeats > MAX_UNANSWERED_HEARTBEATS
        if is_unresponsive or not self._members.is_living(self.assigner_name):
            self.assigner_name = ""
        recipient = self.assigner_name
        if not recipient:
            self._next_voter += 1
            recipient = self.region.voters[self._next_voter % len(self.region.voters)]
        return [PeerMessage(recipient, heartbeat)]

    def leave(self, now_us: int) -> list[PeerMessage]:
        """Releases the session and the lease at once, for an orderly shutdown of the process."""
        messages: list[PeerMessage] = []
        if self.session is not None:
            self.session.is_leaving = True
            self.session.release(now_us)
            messages += self._send_heartbeat(now_us, self.session)
        messages += self.election.leave(now_us)
        self._follow_election(now_us)
        self._add_log_events(now_us)
        return messages

    def set_leaving(self, now_us: int, is_leaving: bool) -> None:
        """Starts or cancels a planned stop: the node's shards move once the assigner permits it."""
        if self.session is not None:
            self.session.set_leaving(now_us, is_leaving)

    # ------------------------------------------------------------------ the assigner

    def _follow_election(self, now_us: int) -> list[PeerMessage]:
        """Creates or removes the assigner according to the lease, and performs its work; returns messages."""
        for change in self.election.take_changes():
            self._on_election_change(now_us, change)
        self.election.record_lease()
        assigner = self.assigner
        if assigner is None or not self.is_assigner(now_us):
            return []
        higher_term = assigner.writer.higher_term
        if higher_term > assigner.term:
            self.election.observe_term(now_us, higher_term)
            return []
        return assigner.tick(now_us)

    def _on_election_change(self, now_us: int, change: LeadershipChange) -> None:
        self.assigner = self._new_assigner(change.term, now_us) if change.is_leader else None
        fields: dict[str, object] = {
            "region": self.region.name,
            "term": change.term,
            "mine": change.is_leader,
            "why": change.reason,
        }
        self.log_events.append(("shards-assigner", fields))
        if not change.is_leader:
            self._record("lost", task=self.task, term=change.term, why=change.reason)

    def _new_assigner(self, term: int, now_us: int) -> Assigner:
        recovery_timeout_us = int(self.settings.lease_s * SECOND_US * (1 + DRIFT))
        writer = TableWriter(
            self.region.name,
            self._settings_digest,
            term,
            self.election.voters,
            self._process_number_of,
            self._new_initial_term,
            recovery_timeout_us,
            now_us,
            self._disabled_rules,
        )
        return Assigner(self.region.name, self.settings, writer, now_us, self._disabled_rules)

    def _process_number_of(self, name: str) -> int | None:
        if name == self.name:
            return self._process_number
        record = self._members.find_record(name)
        return record.life if record is not None and self._members.is_living(name) else None

    # ------------------------------------------------------------------ log

    def _add_log_events(self, now_us: int) -> None:
        if self.assigner is not None:
            node_count = len(self.assigner.sessions)
            for change in self.assigner.committed_changes:
                self.log_events.append(generation_event(self.region.name, change, node_count))
            self.assigner.committed_changes.clear()
        if self.session is not None:
            self.log_events += [session_event(event) for event in self.session.events]
            self.session.events.clear()
        reaches_majority = self.election.take_majority_change(now_us)
        if reaches_majority is not None:
            event_name = "shards-in-touch" if reaches_majority else "shards-rest"
            self.log_events.append(
                (event_name, {"region": self.region.name, "voters": len(self.region.voters)})
            )
