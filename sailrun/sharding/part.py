"""A member's whole part in the ownership of shards: as a node, as a voter, as the assigner.

Pure. `owners/agent.py` drives it and carries its messages. Every region stands alone: its voters are its own,
and nothing another region says changes anything here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from sailrun.leadership.leases import Leases, best_placed
from sailrun.leadership.messages import (
    LeaseDenial,
    LeaseGrant,
    LeaseHandover,
    LeaseRelease,
    LeaseRequest,
    TermQuery,
    TermReport,
)
from sailrun.leadership.quorum import Voters
from sailrun.leadership.settings import DRIFT, LeadershipSettings
from sailrun.leadership.voter import Voter
from sailrun.membership.messages import CONTROL, MemberRecord, list_eligible_names
from sailrun.sharding.assigner import Assigner
from sailrun.sharding.fence import TokenFence
from sailrun.sharding.messages import (
    Ballot,
    Post,
    ReadTable,
    Renew,
    Renewed,
    RenewRefused,
    ShardAct,
    ShardActRefused,
    ShardBody,
    TableRead,
    TableRefused,
    TableWritten,
    WriteTable,
)
from sailrun.sharding.notes import Note, generation_note, session_note
from sailrun.sharding.register import TableAcceptor, TableWriter
from sailrun.sharding.session import NodeSession
from sailrun.sharding.settings import ShardingSettings, region_owners

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


class ShardsPart:
    def __init__(
        self,
        me: MemberRecord,
        terms: ShardingSettings,
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
        region = terms.region(me.region)
        if region is None:
            raise ValueError(f"no region '{me.region}'")
        self.region, self.terms, self._members = region, terms, members
        self.name, self._life, self._off, self._act = me.name, me.life, off, record
        self._founding = founding
        self._digest = terms.digest(region.name)
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
            self.session = NodeSession(region, terms, draw(SEED_BITS), now_us, off, record)
        self.fence = TokenFence(off=off)
        self.notes: list[Note] = []  # for the log; emptied by whoever drives this
        self.acts_taken = self.acts_refused = self.bad_settings = 0
        self.unknown_shards = 0  # acts for a shard that the region does not have
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
        return bool(self.leases.held_term(self.task, now_us))

    def wants(self, ballot: Ballot) -> bool:
        """Whether what is asked of a voter is still asked: this member's own vote may have been denied."""
        return not isinstance(ballot.body, LeaseRequest) or self.leases.is_requested(ballot.body)

    # ------------------------------------------------------------------ what comes in

    def hear(self, now_us: int, sender: str, life: int, body: ShardBody) -> list[Post]:
        if body.region != self.region.name:
            return []
        digest = getattr(body, "digest", self._digest)
        if digest != self._digest:
            return self._strange(sender, body)
        posts = self._heard(now_us, sender, life, body)
        return posts + self._follow(now_us)

    def _strange(self, sender: str, body: ShardBody) -> list[Post]:
        """From a member with other settings: it is told, and nothing else is done."""
        self.bad_settings += 1
        if self.bad_settings == 1:
            self.notes.append(("shards-settings-differ", {"name": sender}))
        if isinstance(body, Renew):
            return [(sender, RenewRefused(self.region.name, body.number, "settings"))]
        return []

    def _heard(self, now_us: int, sender: str, life: int, body: ShardBody) -> list[Post]:
        match body:
            case Ballot():
                return self._voted(now_us, sender, life, body)
            case Renew():
                return self._renew(now_us, sender, body)
            case Renewed() | RenewRefused():
                self._told(now_us, sender, body)
            case ReadTable():
                return [(sender, self.acceptor.read(body))] if self.acceptor is not None else []
            case WriteTable():
                return [(sender, self.acceptor.write(body))] if self.acceptor is not None else []
            case TableRead() | TableWritten() | TableRefused():
                if self.assigner is not None and self.is_assigner(now_us):
                    self.assigner.writer.hear(now_us, sender, body)
            case ShardAct():
                return self._acted(sender, body)
            case ShardActRefused():
                self.acts_refused += 1
        return []

    def _voted(self, now_us: int, sender: str, life: int, ballot: Ballot) -> list[Post]:
        match ballot.body:
            case LeaseGrant():
                self.leases.on_grant(now_us, sender, ballot.body)
            case LeaseDenial():
                return self._ballots(self.leases.on_denial(now_us, sender, ballot.body))
            case LeaseHandover():
                self.leases.on_handover(now_us, ballot.body)
                return self._turn_leases(now_us)
            case body:
                return self._ballots(self._asked_to_vote(now_us, sender, life, body))
        return []

    def _asked_to_vote(
        self, now_us: int, sender: str, life: int, body: LeaseRequest | LeaseRelease | TermQuery | TermReport
    ) -> list[tuple[str, Any]]:
        if self.voter is None:
            return []
        match body:
            case LeaseRequest():
                return [(sender, self.voter.on_lease_request(now_us, sender, life, body))]
            case LeaseRelease():
                self.voter.on_release(sender, life, body)
            case TermQuery():
                return [(sender, self.voter.report_terms(body))]
            case TermReport():
                self.voter.on_term_report(now_us, sender, body)
        return []

    def _renew(self, now_us: int, sender: str, asked: Renew) -> list[Post]:
        if self.assigner is not None and self.is_assigner(now_us):
            answer = self.assigner.hear(now_us, sender, asked)
            return [(sender, answer)] if answer is not None else []
        refusal = RenewRefused(self.region.name, asked.number, "elsewhere", self._holder(now_us))
        return [(sender, refusal)]

    def _holder(self, now_us: int) -> str:
        """Who is the assigner, as far as this member knows; empty: nobody."""
        if self.voter is not None:
            held = self.voter.active_holders(now_us).get(self.task)
            if held is not None:
                return held[0]
        return self.leases.lease_of(self.task).holder

    def _told(self, now_us: int, sender: str, body: Renewed | RenewRefused) -> None:
        if self.session is None:
            return
        if isinstance(body, Renewed):
            self.assigner_name = sender
            self.session.renewed(now_us, body)
        elif body.why == "elsewhere":
            self._sent_on(now_us, sender, body)
        else:
            self.session.refused(now_us, body)

    def _sent_on(self, now_us: int, sender: str, body: RenewRefused) -> None:
        """Whoever was asked is not the assigner: whom it names is asked next."""
        assert self.session is not None
        named = body.holder if body.holder != sender and self._members.is_living(body.holder) else ""
        if named and named != self.assigner_name:
            self.assigner_name = named
            self.session.again(now_us)
        elif self.assigner_name == sender:
            self.assigner_name = ""

    # ------------------------------------------------------------------ acts for a shard

    def act(self, now_us: int, shard: int, to: str) -> list[Post]:
        """Asks another member for work on a shard's behalf, with the token; nothing where it may not."""
        token = self.session.token(shard, now_us) if self.session is not None else None
        if token is None:
            return []
        self._act_number += 1
        self._act(
            "shard-act",
            shard=shard,
            generation=token.generation,
            session=token.session,
            to=to,
            made_us=now_us,
        )
        return [(to, ShardAct(self.region.name, shard, token, self._act_number))]

    def _acted(self, sender: str, act: ShardAct) -> list[Post]:
        if act.shard >= self.region.shards:
            self.unknown_shards += 1
            return []
        token = act.token
        facts = {"shard": act.shard, "generation": token.generation, "session": token.session, "of": sender}
        if self.fence.takes(act.region, act.shard, token):
            self.acts_taken += 1
            self._act("shard-take", **facts)
            return []
        self._act("shard-refuse", **facts)
        highest = self.fence.highest(act.region, act.shard) or token
        return [(sender, ShardActRefused(act.region, act.shard, act.number, highest))]

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

    def turn(self, now_us: int) -> list[Post]:
        posts = self._turn_leases(now_us)
        if self.voter is not None:
            posts += self._ballots(self.voter.turn(now_us))
        posts += self._follow(now_us)
        if self.session is not None:
            renew = self.session.turn(now_us)
            if renew is not None:
                posts += self._heartbeat(renew)
        self._notes_of(now_us)
        return posts

    def _turn_leases(self, now_us: int) -> list[Post]:
        return self._ballots(self.leases.turn(now_us, self.candidates()))

    def _ballots(self, posts: Iterable[tuple[str, Any]]) -> list[Post]:
        return [(name, Ballot(self.region.name, self._digest, body)) for name, body in posts]

    def _heartbeat(self, renew: Renew) -> list[Post]:
        assert self.session is not None
        if self.session.unanswered > PATIENT_HEARTBEATS + 1 or not self._members.is_living(
            self.assigner_name
        ):
            self.assigner_name = ""
        to = self.assigner_name
        if not to:
            self._asked += 1
            to = self.region.voters[self._asked % len(self.region.voters)]
        return [(to, renew)]

    def _follow(self, now_us: int) -> list[Post]:
        """Becomes the assigner, or ceases to be, as the lease says; and does an assigner's work."""
        for change in self._emptied(self.leases.changes):
            self.assigner = self._new_assigner(change.term, now_us) if change.is_leader else None
            facts = {
                "region": self.region.name,
                "term": change.term,
                "mine": change.is_leader,
                "why": change.reason,
            }
            self.notes.append(("shards-assigner", facts))
            if not change.is_leader:
                self._act("lost", task=self.task, term=change.term, why=change.reason)
        lease = self.leases.lease_of(self.task)
        if lease.expires_us and lease.expires_us != self._held_until_us:
            self._held_until_us = lease.expires_us
            self._act("hold", task=self.task, term=lease.term, until_us=lease.expires_us)
        if self.assigner is None or not self.is_assigner(now_us):
            return []
        return self._work(now_us, self.assigner)

    def _work(self, now_us: int, assigner: Assigner) -> list[Post]:
        higher = assigner.writer.higher_term
        if higher > assigner.term:
            # A voter has promised a higher term: this one is over, and the next is above that.
            self.leases.observe_term(self.task, higher, "", now_us)
            return []
        return assigner.turn(now_us)

    def _new_assigner(self, term: int, now_us: int) -> Assigner:
        patience_us = int(self.terms.lease_s * SECOND * (1 + DRIFT))
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
        return Assigner(self.region.name, self.terms, writer, now_us, self._off)

    def _life_of(self, name: str) -> int | None:
        if name == self.name:
            return self._life
        record = self._members.find_record(name)
        return record.life if record is not None and self._members.is_living(name) else None

    def leave(self, now_us: int) -> list[Post]:
        """The process ends in good order: what is held goes to the next at once."""
        posts: list[Post] = []
        if self.session is not None:
            self.session.leaving = True
            self.session.release(now_us)
            renew = self.session.turn(now_us)
            posts += self._heartbeat(renew) if renew is not None else []
        posts += self._ballots(self.leases.leave(now_us, self.candidates()))
        self._follow(now_us)
        self._notes_of(now_us)
        return posts

    def plan_to_leave(self, now_us: int, on: bool) -> None:
        """A planned stop: the node's shards move once the assigner lets them."""
        if self.session is not None:
            self.session.plan_to_leave(now_us, on)

    # ------------------------------------------------------------------ what is told

    def _notes_of(self, now_us: int) -> None:
        if self.assigner is not None:
            changes = self._emptied(self.assigner.committed)
            nodes = len(self.assigner.sessions)
            self.notes += [generation_note(self.region.name, change, nodes) for change in changes]
        if self.session is not None:
            self.notes += [session_note(event) for event in self._emptied(self.session.events)]
        if self.voter is not None and self._in_touch is not self.leases.reaches_majority(now_us):
            self._in_touch = not self._in_touch
            what = "shards-in-touch" if self._in_touch else "shards-rest"
            self.notes.append((what, {"region": self.region.name, "voters": len(self.region.voters)}))

    @staticmethod
    def _emptied(queue: list[Any]) -> list[Any]:
        items = queue[:]
        queue.clear()
        return items
