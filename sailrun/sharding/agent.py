"""A member's whole part in the ownership of shards: as a node, as a voter, as the assigner.

Pure. `owners/agent.py` drives it and carries its messages. Every region stands alone: its voters are its own,
and nothing another region says changes anything here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from sailrun.leadership.leases import Leases, best_placed
from sailrun.leadership.messages import Ask, Deny, Grant, Recall, Recalled, Release, Yield
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import DRIFT, LeadershipSettings
from sailrun.leadership.voter import Voter
from sailrun.membership.messages import CONTROL, MemberRecord, list_eligible_names
from sailrun.sharding.assigner import Assigner
from sailrun.sharding.log_events import Note, generation_note, session_note
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
from sailrun.sharding.settings import ShardingSettings, region_owners
from sailrun.sharding.table_replication import TableAcceptor, TableWriter
from sailrun.sharding.token_fence import TokenFence

SECOND = 1_000_000
# Heartbeats without an answer before another member is asked who the assigner is.
PATIENT_HEARTBEATS = 1
SEED_BITS = 32


class MembershipView(Protocol):
    """What is asked of the membership."""

    @property
    def living_version(self) -> int: ...

    def living_records(self) -> list[MemberRecord]: ...
    def find_record(self, name: str) -> MemberRecord | None: ...
    def is_living(self, name: str) -> bool: ...


class ShardingAgent:
    def __init__(
        self,
        me: MemberRecord,
        settings: ShardingSettings,
        owners: LeadershipSettings,
        members: MembershipView,
        draw: Callable[[int], int],
        now_us: int,
        founding: Callable[[], int],
        off: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **facts: None,
    ) -> None:
        """`draw` gives that many random bits; `founding` a number above all that were ever given, as far as
        chance and a clock can. Raises ValueError where the table names no such region.
        """
        region = settings.region(me.region)
        if region is None:
            raise ValueError(f"no region '{me.region}'")
        self.region, self.settings, self._members = region, settings, members
        self.name, self._life, self._off, self._act = me.name, me.life, off, record
        self._founding = founding
        self._digest = settings.digest(region.name)
        self.task = f"shards/{region.name}"
        self._owners = region_owners(region, owners)
        self.voters = Voters(self._owners, off)
        self.leases = Leases(me.name, self.voters, self._owners, draw(SEED_BITS), now_us, off)
        votes = me.name in region.voters
        self.voter = Voter(me.name, self.voters, self._owners, now_us, founding, off) if votes else None
        self.acceptor = TableAcceptor(region.name, me.life, off) if votes else None
        self.assigner: Assigner | None = None
        self.session: NodeSession | None = None
        if me.role != CONTROL:
            self.session = NodeSession(region, settings, draw(SEED_BITS), now_us, off, record)
        self.fence = TokenFence(off=off)
        self.notes: list[Note] = []  # for the log; emptied by whoever drives this
        self.accepted_act_count = self.rejected_act_count = self.settings_mismatch_count = 0
        self.unknown_shard_count = 0  # acts for a shard that the region does not have
        self.assigner_name = ""  # hearsay: who answered a heartbeat last
        self._asked = draw(SEED_BITS)  # which voter is asked where the assigner is not known
        self._candidates: list[str] = []
        self._candidates_of = -1
        self._act_number = 0
        self._held_until_us = 0  # as last recorded
        self._in_touch = True

    # ------------------------------------------------------------------ who may be the assigner

    def candidates(self) -> dict[str, list[str]]:
        """By task, the best placed of the region's living control members; of all its members without any."""
        if self._members.living_version != self._candidates_of:
            self._candidates_of = self._members.living_version
            living = [r for r in self._members.living_records() if r.region == self.region.name]
            self._candidates = best_placed(self.task, list_eligible_names(living))
        return {self.task: self._candidates}

    def is_assigner(self, now_us: int) -> bool:
        """Whether this member may act as its region's assigner now."""
        return bool(self.leases.holds(self.task, now_us))

    def is_still_wanted(self, ballot: ElectionMessage) -> bool:
        """Whether what is asked of a voter is still asked: this member's own vote may have been denied."""
        return not isinstance(ballot.body, Ask) or self.leases.wants(ballot.body)

    # ------------------------------------------------------------------ what comes in

    def receive(self, now_us: int, sender: str, life: int, body: ShardBody) -> list[PeerMessage]:
        if body.region != self.region.name:
            return []
        digest = getattr(body, "digest", self._digest)
        if digest != self._digest:
            return self._strange(sender, body)
        posts = self._heard(now_us, sender, life, body)
        return posts + self._follow(now_us)

    def _strange(self, sender: str, body: ShardBody) -> list[PeerMessage]:
        """From a member with other settings: it is told, and nothing else is done."""
        self.settings_mismatch_count += 1
        if self.settings_mismatch_count == 1:
            self.notes.append(("shards-settings-differ", {"name": sender}))
        if isinstance(body, RenewSession):
            return [(sender, RenewalRejected(self.region.name, body.sequence, "settings"))]
        return []

    def _heard(self, now_us: int, sender: str, life: int, body: ShardBody) -> list[PeerMessage]:
        match body:
            case ElectionMessage():
                return self._voted(now_us, sender, life, body)
            case RenewSession():
                return self._renew(now_us, sender, body)
            case SessionRenewed() | RenewalRejected():
                self._told(now_us, sender, body)
            case ReadTable():
                return [(sender, self.acceptor.promise(body))] if self.acceptor is not None else []
            case WriteTable():
                return [(sender, self.acceptor.accept(body))] if self.acceptor is not None else []
            case TableRead() | TableWritten() | TableRejected():
                if self.assigner is not None and self.is_assigner(now_us):
                    self.assigner.writer.receive(now_us, sender, body)
            case ShardAct():
                return self._acted(sender, body)
            case ShardActRejected():
                self.rejected_act_count += 1
        return []

    def _voted(self, now_us: int, sender: str, life: int, ballot: ElectionMessage) -> list[PeerMessage]:
        match ballot.body:
            case Grant():
                self.leases.granted(now_us, sender, ballot.body)
            case Deny():
                return self._ballots(self.leases.denied(now_us, sender, ballot.body))
            case Yield():
                self.leases.yielded(now_us, ballot.body)
                return self._turn_leases(now_us)
            case body:
                return self._ballots(self._asked_to_vote(now_us, sender, life, body))
        return []

    def _asked_to_vote(
        self, now_us: int, sender: str, life: int, body: Ask | Release | Recall | Recalled
    ) -> list[tuple[str, Any]]:
        if self.voter is None:
            return []
        match body:
            case Ask():
                return [(sender, self.voter.asked(now_us, sender, life, body))]
            case Release():
                self.voter.released(sender, life, body)
            case Recall():
                return [(sender, self.voter.recall(body))]
            case Recalled():
                self.voter.told(now_us, sender, body)
        return []

    def _renew(self, now_us: int, sender: str, asked: RenewSession) -> list[PeerMessage]:
        if self.assigner is not None and self.is_assigner(now_us):
            answer = self.assigner.answer_heartbeat(now_us, sender, asked)
            return [(sender, answer)] if answer is not None else []
        refusal = RenewalRejected(self.region.name, asked.sequence, "elsewhere", self._holder(now_us))
        return [(sender, refusal)]

    def _holder(self, now_us: int) -> str:
        """Who is the assigner, as far as this member knows; empty: nobody."""
        if self.voter is not None:
            held = self.voter.holders(now_us).get(self.task)
            if held is not None:
                return held[0]
        return self.leases.of(self.task).holder

    def _told(self, now_us: int, sender: str, body: SessionRenewed | RenewalRejected) -> None:
        if self.session is None:
            return
        if isinstance(body, SessionRenewed):
            self.assigner_name = sender
            self.session.on_renewed(now_us, body)
        elif body.reason == "elsewhere":
            self._sent_on(now_us, sender, body)
        else:
            self.session.on_rejected(now_us, body)

    def _sent_on(self, now_us: int, sender: str, body: RenewalRejected) -> None:
        """Whoever was asked is not the assigner: whom it names is asked next."""
        assert self.session is not None
        named = (
            body.assigner_name
            if body.assigner_name != sender and self._members.is_living(body.assigner_name)
            else ""
        )
        if named and named != self.assigner_name:
            self.assigner_name = named
            self.session.retry_now(now_us)
        elif self.assigner_name == sender:
            self.assigner_name = ""

    # ------------------------------------------------------------------ acts for a shard

    def send_act(self, now_us: int, shard: int, to: str) -> list[PeerMessage]:
        """Asks another member for work on a shard's behalf, with the token; nothing where it may not."""
        token = self.session.issue_token(shard, now_us) if self.session is not None else None
        if token is None:
            return []
        self._act_number += 1
        self._act(
            "shard-act",
            shard=shard,
            generation=token.generation,
            session=token.session_number,
            to=to,
            made_us=now_us,
        )
        return [(to, ShardAct(self.region.name, shard, token, self._act_number))]

    def _acted(self, sender: str, act: ShardAct) -> list[PeerMessage]:
        if act.shard >= self.region.shards:
            self.unknown_shard_count += 1
            return []
        token = act.token
        facts = {
            "shard": act.shard,
            "generation": token.generation,
            "session": token.session_number,
            "of": sender,
        }
        if self.fence.accept(act.region, act.shard, token):
            self.accepted_act_count += 1
            self._act("shard-take", **facts)
            return []
        self._act("shard-refuse", **facts)
        highest = self.fence.highest_token(act.region, act.shard) or token
        return [(sender, ShardActRejected(act.region, act.shard, act.sequence, highest))]

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next."""
        due = [self.leases.due_us(now_us, self.candidates())]
        if self.voter is not None:
            due.append(self.voter.due_us() or due[0])
        if self.assigner is not None:
            due.append(self.assigner.due_us(now_us))
        if self.session is not None:
            due.append(self.session.due_us(now_us))
        return min(due)

    def tick(self, now_us: int) -> list[PeerMessage]:
        posts = self._turn_leases(now_us)
        if self.voter is not None:
            posts += self._ballots(self.voter.turn(now_us))
        posts += self._follow(now_us)
        if self.session is not None:
            renew = self.session.tick(now_us)
            if renew is not None:
                posts += self._heartbeat(renew)
        self._notes_of(now_us)
        return posts

    def _turn_leases(self, now_us: int) -> list[PeerMessage]:
        return self._ballots(self.leases.turn(now_us, self.candidates()))

    def _ballots(self, posts: Iterable[tuple[str, Any]]) -> list[PeerMessage]:
        return [(name, ElectionMessage(self.region.name, self._digest, body)) for name, body in posts]

    def _heartbeat(self, renew: RenewSession) -> list[PeerMessage]:
        assert self.session is not None
        if self.session.unanswered_heartbeats > PATIENT_HEARTBEATS + 1 or not self._members.is_living(
            self.assigner_name
        ):
            self.assigner_name = ""
        to = self.assigner_name
        if not to:
            self._asked += 1
            to = self.region.voters[self._asked % len(self.region.voters)]
        return [(to, renew)]

    def _follow(self, now_us: int) -> list[PeerMessage]:
        """Becomes the assigner, or ceases to be, as the lease says; and does an assigner's work."""
        for change in self._emptied(self.leases.changes):
            self.assigner = self._new_assigner(change.term, now_us) if change.mine else None
            facts = {"region": self.region.name, "term": change.term, "mine": change.mine, "why": change.why}
            self.notes.append(("shards-assigner", facts))
            if not change.mine:
                self._act("lost", task=self.task, term=change.term, why=change.why)
        lease = self.leases.of(self.task)
        if lease.until_us and lease.until_us != self._held_until_us:
            self._held_until_us = lease.until_us
            self._act("hold", task=self.task, term=lease.term, until_us=lease.until_us)
        if self.assigner is None or not self.is_assigner(now_us):
            return []
        return self._work(now_us, self.assigner)

    def _work(self, now_us: int, assigner: Assigner) -> list[PeerMessage]:
        higher = assigner.writer.higher_term
        if higher > assigner.term:
            # A voter has promised a higher term: this one is over, and the next is above that.
            self.leases.heard_of(self.task, higher, "", now_us)
            return []
        return assigner.tick(now_us)

    def _new_assigner(self, term: int, now_us: int) -> Assigner:
        patience_us = int(self.settings.lease_s * SECOND * (1 + DRIFT))
        writer = TableWriter(
            self.region.name,
            self._digest,
            term,
            self.voters,
            self._life_of,
            self._founding,
            patience_us,
            now_us,
            self._off,
        )
        return Assigner(self.region.name, self.settings, writer, now_us, self._off)

    def _life_of(self, name: str) -> int | None:
        if name == self.name:
            return self._life
        record = self._members.find_record(name)
        return record.life if record is not None and self._members.is_living(name) else None

    def leave(self, now_us: int) -> list[PeerMessage]:
        """The process ends in good order: what is held goes to the next at once."""
        posts: list[PeerMessage] = []
        if self.session is not None:
            self.session.is_leaving = True
            self.session.release(now_us)
            renew = self.session.tick(now_us)
            posts += self._heartbeat(renew) if renew is not None else []
        posts += self._ballots(self.leases.leave(now_us, self.candidates()))
        self._follow(now_us)
        self._notes_of(now_us)
        return posts

    def set_leaving(self, now_us: int, on: bool) -> None:
        """A planned stop: the node's shards move once the assigner lets them."""
        if self.session is not None:
            self.session.set_leaving(now_us, on)

    # ------------------------------------------------------------------ what is told

    def _notes_of(self, now_us: int) -> None:
        if self.assigner is not None:
            changes = self._emptied(self.assigner.committed_changes)
            nodes = len(self.assigner.sessions)
            self.notes += [generation_note(self.region.name, change, nodes) for change in changes]
        if self.session is not None:
            self.notes += [session_note(event) for event in self._emptied(self.session.events)]
        if self.voter is not None and self._in_touch is not self.leases.in_touch(now_us):
            self._in_touch = not self._in_touch
            what = "shards-in-touch" if self._in_touch else "shards-rest"
            self.notes.append((what, {"region": self.region.name, "voters": len(self.region.voters)}))

    @staticmethod
    def _emptied(queue: list[Any]) -> list[Any]:
        items = queue[:]
        queue.clear()
        return items
