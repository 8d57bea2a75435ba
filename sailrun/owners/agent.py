"""One member of the fleet as a whole: its view of the others, its vote, what it owns, and what it asks
owners for.

Pure: envelopes and the time come in, envelopes go out. `carrier.py` drives it by sockets, the laboratory in
virtual time. The time is one clock of this process that goes on while the machine sleeps and is never set.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from sailrun.lasting.ledger import Done
from sailrun.lasting.messages import Stand, Stood
from sailrun.members.messages import CONTROL, Joined, MemberBody, Record, Refused, State
from sailrun.members.swim import Change, Letter, Members
from sailrun.members.terms import MembersTerms
from sailrun.owners.backing import Backing
from sailrun.owners.envelope import MOST_CLAIMS, MOST_NEWS, Body, Envelope
from sailrun.owners.lasting import Lasting
from sailrun.owners.messages import (
    Ask,
    Deny,
    Grant,
    NotMine,
    Order,
    Question,
    Recall,
    Recalled,
    Refusal,
    Release,
    Say,
    Walk,
    Walking,
    Want,
    Yield,
)
from sailrun.owners.permits import OUT, PermitHolder, PermitOffice, Use
from sailrun.owners.permits import TASK as PERMITS
from sailrun.owners.quorum import Voters
from sailrun.owners.tenure import CANDIDATES, Tenures, Turned, placed_best
from sailrun.owners.terms import DRIFT, OwnersTerms, PermitsTerms, ReaderTerms
from sailrun.owners.voter import Voter
from sailrun.owners.walk import Walks
from sailrun.replica.replica import MARKS, Replica
from sailrun.replica.terms import ReplicaTerms
from sailrun.shards.messages import Ballot, ShardBody
from sailrun.shards.messages import Post as ShardPost
from sailrun.shards.terms import ShardsTerms

if TYPE_CHECKING:
    from sailrun.shards.part import ShardsPart

SECOND = 1_000_000
READER = "roster/"  # and the data centre
PACE = "pace"
# Hearsay of who owns what is told so many times, to whoever a message goes to anyway.
CLAIM_TIMES = 30
# So many questions wait for answers at a time; the oldest make room.
MOST_QUESTIONS = 4096


@dataclass(frozen=True, slots=True)
class Out:
    """An envelope for an address. With a guard it may only be sent while this node owns that task under that
    term: whoever sends looks at the clock once more, after any wait.
    """

    address: str
    envelope: Envelope
    to: str = ""
    guard: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class AgentTerms:
    members: MembersTerms
    owners: OwnersTerms
    permits: PermitsTerms = field(default_factory=PermitsTerms)
    reader: ReaderTerms = field(default_factory=ReaderTerms)
    pace: bool = False
    replica: ReplicaTerms = field(default_factory=ReplicaTerms)
    shards: ShardsTerms = field(default_factory=ShardsTerms)


@dataclass(slots=True)
class _Asked:
    task: str
    content: Any
    sent_us: int
    done: Callable[[int, int, Any], None]  # now, when it was sent, what was answered
    tries: int = 0


@dataclass(slots=True)
class Tallies:
    """Counts since the process started."""

    orders_sent: int = 0
    orders_dropped: int = 0  # the term had ended before they were sent
    orders_taken: int = 0
    orders_refused: int = 0  # by this node, for their term
    orders_late: int = 0  # by this node, for their age
    bad_messages: int = 0
    wrong_fleet: int = 0
    changes: dict[str, int] = field(default_factory=dict)  # of owner, by why


class Agent:
    """`off`: safety rules that the laboratory switches off. `record` is told every act, for its checks."""

    def __init__(
        self,
        me: Record,
        terms: AgentTerms,
        seed: int,
        now_us: int,
        founding: Callable[[], int],
        off: frozenset[str] = frozenset(),
        record: Callable[..., None] = lambda kind, **facts: None,
    ) -> None:
        self.terms, self._off, self._act = terms, off, record
        chance = random.Random(seed)
        self.members = Members(me, terms.members, chance.getrandbits(32), now_us)
        self.name, self.life, self.zone = me.name, me.life, me.zone
        self.voters = Voters(terms.owners, off)
        self._founding = founding
        self.tenures = Tenures(me.name, self.voters, terms.owners, chance.getrandbits(32), now_us, off)
        self.backing = Backing(
            me.name, me.life, lambda: self.voters, lambda name: self.members.lives(name), record, off
        )
        self.voter = self._new_voter(now_us) if me.name in self.voters.all() else None
        self.holder = PermitHolder(terms.permits) if terms.permits.enabled else None
        self.walks = Walks(me.name, self.holder)
        self.replica = self._new_replica(chance.getrandbits(32), now_us) if terms.replica.enabled else None
        self.backing.serve(lambda: self.voter, self.replica, self.walks)
        self.shards = self._new_shards(me, chance, now_us) if terms.shards.enabled else None
        self.office: PermitOffice | None = None
        # Work that others do: who answers questions about a task, asked with the asker's name and content.
        self.answers: dict[str, Callable[[int, str, Any], Any]] = {}
        self.on_turned: Callable[[int, Turned], None] = lambda now_us, turned: None
        self.on_use: Callable[[Use], None] = lambda use: None
        self.tallies = Tallies()
        self.notes: list[tuple[str, dict[str, object]]] = []  # for the log; emptied by whoever drives this
        self._questions: dict[int, _Asked] = {}
        self._number = chance.getrandbits(30) << 20
        self._tasks: dict[str, list[str]] = {}
        self._tasks_of = -1  # the members' version that they are of
        self._in_touch = True
        self._order_us = int(terms.owners.order_s * SECOND)
        self._acted: dict[str, int] = {}  # until when a task was held, as last recorded
        self._now_us = now_us

    def _new_voter(self, now_us: int) -> Voter:
        voter = Voter(self.name, self.voters, self.terms.owners, now_us, self._founding, self._off)
        self.backing.back(voter)
        return voter

    def _new_replica(self, seed: int, now_us: int) -> Replica:
        def limit(kind: str) -> int | None:
            permits = self.terms.permits
            return permits.out if permits.enabled and kind == OUT else None

        return Replica(
            self.name,
            self.life,
            self.terms.replica,
            self.terms.members.fleet,
            self.members,
            lambda: self.voters,
            limit,
            seed,
            now_us,
            self._off,
            self._act,
            self.backing.book,
        )

    def _new_shards(self, me: Record, chance: random.Random, now_us: int) -> ShardsPart:
        # Loaded only where it is switched on: it needs numpy.
        from sailrun.shards.part import ShardsPart

        terms = self.terms
        return ShardsPart(
            me,
            terms.shards,
            terms.owners,
            self.members,
            chance.getrandbits,
            now_us,
            self._founding,
            self._off,
            self._act,
        )

    # ------------------------------------------------------------------ what outlasts the process

    def take_up(self, now_us: int, lasting: Lasting) -> None:
        """Goes by a folder, as far as that can be: before the first turn."""
        self.backing.take_up(now_us, lasting)

    def wrote(self, now_us: int, done: Done) -> list[Out]:
        """What became of the work of the disk; the answers that waited for it may go out."""
        self._now_us = now_us
        outs = self._backed(*self.backing.wrote(now_us, done))
        return outs + self._changes(now_us)

    def _backed(self, answers: Any, posts: Any) -> list[Out]:
        """Answers were held back as long as they had to be."""
        return [out for name, body in answers for out in self._deliver(name, body)] + self._posts(posts)

    # ------------------------------------------------------------------ who may own what

    def tasks(self) -> dict[str, list[str]]:
        """The tasks this node may own, with the best placed of the living members that may as well."""
        if self.members.version != self._tasks_of:
            self._tasks_of = self.members.version
            living = self._candidates()
            names = [r.name for r in living]
            tasks = {}
            if self.terms.permits.enabled:
                tasks[PERMITS] = placed_best(PERMITS, names)
            if self.terms.pace:
                tasks[PACE] = placed_best(PACE, names)
            if self.terms.replica.enabled:
                tasks[MARKS] = placed_best(MARKS, names)
            if self.terms.reader.enabled:
                task = READER + self.zone
                tasks[task] = placed_best(task, [r.name for r in living if r.zone == self.zone])
            self._tasks = tasks
        return self._tasks

    def _candidates(self) -> list[Record]:
        """The living members set aside for such work; all that live where there are none."""
        living = self.members.living()
        return [r for r in living if r.role == CONTROL] or living

    def owns(self, task: str, now_us: int) -> int:
        """The term under which this node may act for the task now; 0: it may not, or rests.

        An owner rests at first, until no order of the one before it is taken any more.
        """
        term = self.tenures.holds(task, now_us)
        rest_us = int(self._order_us * (1 + 3 * DRIFT))
        if not term or now_us - self.tenures.of(task).since_us < rest_us:
            return 0
        return term

    def still(self, guard: tuple[str, int], now_us: int) -> bool:
        """Whether what was made under that term may still be sent."""
        yes = self.tenures.holds(guard[0], now_us) == guard[1]
        if not yes:
            self.tallies.orders_dropped += 1
        return yes

    def holder_of(self, task: str) -> str:
        """Hearsay: who owns the task; empty where none is known to live."""
        holder = self.tenures.of(task).holder
        return holder if holder and self.members.lives(holder) else ""

    # ------------------------------------------------------------------ what comes in

    def hear(self, now_us: int, address: str, envelope: Envelope) -> list[Out]:
        self._now_us = now_us
        if envelope.fleet != self.terms.members.fleet:
            self.tallies.wrong_fleet += 1
            return []
        body, name, life = envelope.body, envelope.sender, envelope.life
        if name != self.name:
            self.members.heard_from(now_us, name, life, envelope.incarnation)
        outs: list[Out] = []
        if isinstance(body, MemberBody):
            sender = Record(name, life, envelope.incarnation, State.ALIVE, address)
            outs = self._mail(self.members.hear(now_us, sender, body))
        elif not self.members.knows(name, life):
            return []
        if self.members.is_current(name, life):
            self.members.hear_news(now_us, envelope.news, name)
            for claim in envelope.claims:
                self._claimed(now_us, claim.task, claim.term, claim.holder)
            if not isinstance(body, MemberBody):
                outs += self._heard(now_us, name, life, body)
        return outs + self._changes(now_us)

    def _claimed(self, now_us: int, task: str, term: int, holder: str) -> None:
        self.tenures.heard_of(task, term, holder, now_us)
        if self.voter is not None:
            self.voter.heard_of(task, term)

    def _heard(self, now_us: int, sender: str, life: int, body: Body) -> list[Out]:
        match body:
            case Ask() | Release() | Recall() | Recalled():
                return self._voted(now_us, sender, life, body)
            case Grant():
                self.tenures.granted(now_us, sender, body)
            case Deny():
                return self._posts(self.tenures.denied(now_us, sender, body))
            case Yield():
                self.tenures.yielded(now_us, body)
                return self._turn_tenures(now_us)
            case Question():
                return self._questioned(now_us, sender, life, body)
            case Order():
                return self._ordered(now_us, sender, body)
            case Refusal():
                self._refused(now_us, body)
            case NotMine():
                return self._sent_on(now_us, sender, body)
            case Walk():
                return self._post(sender, self.walks.asked(now_us, body))
            case Walking():
                self.walks.told(now_us, sender, body)
            case _ if isinstance(body, ShardBody):
                if self.shards is not None and self.members.joined:
                    return self._posts(self.shards.hear(now_us, sender, life, body))
            case Stand() | Stood():
                if sender in self.voters.all():
                    return self._backed(*self.backing.heard(now_us, sender, body))
            case _:
                if self.replica is not None and self.members.joined:
                    return self._posts(self.replica.hear(now_us, sender, body))
        return []

    def _voted(
        self, now_us: int, sender: str, life: int, body: Ask | Release | Recall | Recalled
    ) -> list[Out]:
        """What concerns this node as a voter; one that was refused its name is none."""
        voter = self.voter
        if voter is None or not self.members.joined:
            return []
        match body:
            case Ask():
                return self._post(sender, voter.asked(now_us, sender, life, body))
            case Release():
                voter.released(sender, life, body)
            case Recall():
                if not body.lasts:
                    self.backing.standing.forgot(sender, life)
                return self._post(sender, voter.recall(body))
            case Recalled():
                voter.told(now_us, sender, body)
        return []

    # ------------------------------------------------------------------ orders

    def ask(self, now_us: int, task: str, content: Any, done: Callable[[int, int, Any], None]) -> list[Out]:
        """A question to a task's owner, whoever that is. `done` is called with its answer, if one comes in
        time and of no lower term than was heard of; else nothing is, and the question is to be asked again.
        """
        self._number += 1
        while len(self._questions) >= MOST_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        asked = self._questions[self._number] = _Asked(task, content, now_us, done)
        return self._send_question(now_us, self._number, asked)

    def _send_question(self, now_us: int, number: int, asked: _Asked) -> list[Out]:
        task = asked.task
        question = Question(task, self.tenures.of(task).owned, number, asked.content)
        holder = self.holder_of(task)
        if holder == self.name or (not holder and self.tenures.holds(task, now_us)):
            return self._questioned(now_us, self.name, self.life, question)
        if not holder:
            names = [n for n in self.tasks().get(task, ())[:CANDIDATES] if n != self.name]
            if not names:
                return []
            holder = names[(number + asked.tries) % len(names)]
        return self._post(holder, question)

    def _questioned(self, now_us: int, sender: str, life: int, question: Question) -> list[Out]:
        self._claimed(now_us, question.task, question.term, "")
        term = self.owns(question.task, now_us)
        if not term:
            if sender == self.name:
                return []
            tenure = self.tenures.of(question.task)
            return self._post(sender, NotMine(question.task, tenure.owned, tenure.holder, question.number))
        content = self._answer(now_us, question.task, term, sender, life, question.content)
        if content is None:
            return []
        order = Order(question.task, term, question.number, content)
        self._act("act", task=question.task, term=term, number=question.number, to=sender, made_us=now_us)
        self.tallies.orders_sent += 1
        if sender == self.name:
            return self._ordered(now_us, self.name, order)
        return self._post(sender, order, (question.task, term))

    def _answer(self, now_us: int, task: str, term: int, sender: str, life: int, content: Any) -> Any:
        if task == PERMITS:
            try:
                want = msgspec.convert(content, Want)
            except msgspec.ValidationError:
                self.tallies.bad_messages += 1
                return None
            if self.office is None or self.office.term != term:
                self.office = PermitOffice(self.terms.permits, term, now_us, self._off)
            return msgspec.to_builtins(self.office.asked(now_us, sender, life, want))
        if task == MARKS:
            return self.replica.answer(now_us, sender, content) if self.replica is not None else None
        answer = self.answers.get(task)
        return answer(now_us, sender, content) if answer is not None else None

    def _ordered(self, now_us: int, sender: str, order: Order) -> list[Out]:
        asked = self._questions.pop(order.number, None)
        owned = self.tenures.of(order.task).owned
        late = asked is None or asked.task != order.task or now_us - asked.sent_us > self._order_us
        if "fence" in self._off:
            late, owned = False, 0
        if late or order.term < owned:
            if late:
                self.tallies.orders_late += 1
            else:
                self.tallies.orders_refused += 1
            self._act("refuse", task=order.task, term=order.term, number=order.number, late=late)
            return (
                self._post(sender, Refusal(order.task, owned, order.number, late))
                if sender != self.name
                else []
            )
        self.tallies.orders_taken += 1
        self._act("take", task=order.task, term=order.term, number=order.number, of=sender)
        self._claimed(now_us, order.task, order.term, sender)
        if asked is not None:
            asked.done(now_us, asked.sent_us, order.content)
        return []

    def _refused(self, now_us: int, refusal: Refusal) -> None:
        tenure = self.tenures.of(refusal.task)
        tenure.refused += 1
        self.notes.append(
            ("order-refused", {"task": refusal.task, "term": refusal.term, "late": refusal.late})
        )
        self._claimed(now_us, refusal.task, refusal.term, "")

    def _sent_on(self, now_us: int, sender: str, told: NotMine) -> list[Out]:
        """Whom we asked does not own it: asked once more, of whom it names or of another candidate."""
        asked = self._questions.get(told.number)
        tenure = self.tenures.of(told.task)
        self._claimed(now_us, told.task, told.term, told.holder)
        if tenure.holder == sender and told.term >= tenure.owned:
            tenure.holder = ""
        if asked is None or asked.tries >= CANDIDATES:
            return []
        asked.tries += 1
        return self._send_question(now_us, told.number, asked)

    # ------------------------------------------------------------------ time

    def due_us(self, now_us: int) -> int:
        """When `turn` wants to be called next, should nothing come in."""
        due_us = self.members.due_us(now_us)
        if not self.members.joined:
            return due_us
        due_us = min(due_us, self.tenures.due_us(now_us, self.tasks()))
        if self.voter is not None:
            due_us = min(due_us, self.voter.due_us() or due_us)
        if self.holder is not None and self.holder.wanted:
            due_us = min(due_us, self.holder.due_us(now_us))
        if self.replica is not None:
            due_us = min(due_us, self.replica.due_us(now_us))
        if self.shards is not None:
            due_us = min(due_us, self.shards.due_us(now_us))
        backing_us = self.backing.due_us()
        return due_us if backing_us is None else min(due_us, backing_us)

    def turn(self, now_us: int) -> list[Out]:
        self._now_us = now_us
        outs = self._mail(self.members.turn(now_us))
        if self.voter is not None and self.members.joined:
            outs += self._posts(self.voter.turn(now_us))
            outs += self._posts(self.backing.turn(now_us))
        if self.members.joined and not self.members.leaving:
            outs += self._turn_tenures(now_us)
        for number, asked in list(self._questions.items()):
            if now_us - asked.sent_us <= self._order_us:
                break
            del self._questions[number]
        if self.holder is not None:
            for want in self.holder.turn(now_us):
                outs += self._ask_permit(now_us, want)
        outs += self._posts(self.walks.turn(now_us))
        if self.replica is not None and self.members.joined and not self.members.leaving:
            outs += self._turn_replica(now_us, self.replica)
        if self.shards is not None and self.members.joined and not self.members.leaving:
            outs += self._posts(self.shards.turn(now_us))
        return outs + self._changes(now_us)

    def _turn_replica(self, now_us: int, replica: Replica) -> list[Out]:
        office = replica.office
        if office is not None and office.higher > office.term:
            # A voter has promised a higher term: this one is over, and the next is above that.
            self.tenures.heard_of(MARKS, office.higher, "", now_us)
            self._changes(now_us)
        outs = self._posts(replica.turn(now_us, self.holder_of(MARKS)))
        for op, done in self._emptied(replica.questions):
            outs += self.ask(now_us, MARKS, msgspec.to_builtins(op), done)
        self.notes += self._emptied(replica.sync.notes)
        return outs

    def _turn_tenures(self, now_us: int) -> list[Out]:
        return self._posts(self.tenures.turn(now_us, self.tasks()))

    def _ask_permit(self, now_us: int, want: Want) -> list[Out]:
        def answered(now_us: int, sent_us: int, content: Any) -> None:
            try:
                say = msgspec.convert(content, Say)
            except msgspec.ValidationError:
                self.tallies.bad_messages += 1
                return
            if self.holder is not None:
                self.holder.told(now_us, sent_us, want, say)
                wanted = self.holder.wanted.get((say.kind, say.subject))
                if wanted is not None and wanted.state == "held":
                    self._act("use", subject=f"{say.kind}/{say.subject}", until_us=wanted.until_us)

        return self.ask(now_us, PERMITS, msgspec.to_builtins(want), answered)

    def leave(self, now_us: int) -> list[Out]:
        """In good order: what this node owns is handed over, permits are given back, and it is a member no
        more.
        """
        self._now_us = now_us
        outs = self._posts(self.tenures.leave(now_us, self.tasks()))
        if self.holder is not None:
            for kind, subject in list(self.holder.wanted):
                self.holder.give_back(now_us, kind, subject)
            for want in self.holder.turn(now_us):
                outs += self._ask_permit(now_us, want)
        if self.shards is not None:
            outs += self._posts(self.shards.leave(now_us))
        outs += self._mail(self.members.leave(now_us))
        return outs + self._changes(now_us)

    def use_terms(self, now_us: int, terms: AgentTerms) -> None:
        """Takes over an operator's file that was read again."""
        if terms.owners != self.terms.owners:
            self.voters = Voters(terms.owners, self._off)
            self.tenures.use(self.voters, terms.owners)
            if self.name not in self.voters.all():
                self.voter = None
            elif self.voter is None:
                self.voter = self._new_voter(now_us)
            else:
                self.voter.voters = self.voters
            if self.replica is not None:
                self.replica.use_voters(now_us)
        if self.office is not None:
            self.office.use(terms.permits)
        self.terms = terms
        self._tasks_of = -1

    def _changes(self, now_us: int) -> list[Out]:
        """Tells the log and the work what has changed."""
        for change in self._emptied(self.members.changes):
            self._note_change(change)
        for turned in self._emptied(self.tenures.turned):
            self._note_turned(now_us, turned)
        for task, tenure in self.tenures.tenures.items():
            if tenure.until_us and self._acted.get(task) != tenure.until_us:
                self._acted[task] = tenure.until_us
                self._act("hold", task=task, term=tenure.term, until_us=tenure.until_us)
        self.notes += self._emptied(self.backing.notes)
        if self.shards is not None:
            self.notes += self._emptied(self.shards.notes)
        if self.holder is not None:
            for use in self._emptied(self.holder.uses):
                if not use.yes:
                    self._act("unuse", subject=f"{use.kind}/{use.subject}")
                self.notes.append(
                    (
                        "permit",
                        {"kind": use.kind, "subject": use.subject, "yes": use.yes, "why": use.why or None},
                    )
                )
                self.walks.used(use)
                self.on_use(use)
        if self._in_touch is not self.tenures.in_touch(now_us):
            self._in_touch = not self._in_touch
            self.notes.append(
                ("owners-in-touch" if self._in_touch else "owners-rest", {"voters": len(self.voters.all())})
            )
        return []

    @staticmethod
    def _emptied(queue: list[Any]) -> list[Any]:
        items = queue[:]
        queue.clear()
        return items

    def _note_change(self, change: Change) -> None:
        r = change.record
        self.notes.append(
            (
                "member",
                {
                    "what": change.what,
                    "name": r.name,
                    "incarnation": r.incarnation,
                    "at": r.address,
                    "why": change.why or None,
                },
            )
        )
        self._act("member", what=change.what, name=r.name, life=r.life)

    def _note_turned(self, now_us: int, turned: Turned) -> None:
        if turned.task == PERMITS:
            self.office = (
                PermitOffice(self.terms.permits, turned.term, now_us, self._off) if turned.mine else None
            )
        if not turned.mine:
            self._act("lost", task=turned.task, term=turned.term, why=turned.why)
        if turned.task == MARKS and self.replica is not None:
            self.replica.turned(now_us, turned.term if turned.mine else 0)
            self._acted.pop(turned.task, None)
        self.tallies.changes[turned.why] = self.tallies.changes.get(turned.why, 0) + 1
        self.notes.append(
            ("owner", {"task": turned.task, "term": turned.term, "mine": turned.mine, "why": turned.why})
        )
        self.on_turned(now_us, turned)

    # ------------------------------------------------------------------ what goes out

    def say(self, now_us: int, posts: list[ShardPost]) -> list[Out]:
        """What the part of shards has to say outside of a turn, as acts on a shard's behalf."""
        self._now_us = now_us
        return self._posts(posts) if self.members.joined else []

    def _mail(self, letters: list[Letter]) -> list[Out]:
        return [Out(x.address, self._envelope(x.body, x.record)) for x in letters]

    def _posts(self, posts: Any) -> list[Out]:
        outs: list[Out] = []
        for name, body in posts:
            if self._still_wanted(body):
                outs += self._post(name, body)
        return outs

    def _still_wanted(self, body: Any) -> bool:
        """A lease that this node's own vote has denied is not asked for any more."""
        if isinstance(body, Ask):
            return self.tenures.wants(body)
        return not isinstance(body, Ballot) or self.shards is None or self.shards.wants(body)

    def _post(self, name: str, body: Body, guard: tuple[str, int] | None = None) -> list[Out]:
        """To a member by name; a promise is held until the disk has what it rests on."""
        if self.backing.keeps_back(self._now_us, name, body):
            return []
        return self._deliver(name, body, guard)

    def _deliver(self, name: str, body: Body, guard: tuple[str, int] | None = None) -> list[Out]:
        """To this node itself, at once."""
        if name == self.name:
            return self._heard(self._now_us, name, self.life, body)
        record = self.members.record(name)
        if record is None:
            return []
        return [Out(record.address, self._envelope(body), name, guard)]

    def _envelope(self, body: Body, first: Record | None = None) -> Envelope:
        me, members = self.members.me, self.members
        # Hearsay rides on what members say anyway, and on nothing that must be small or soon.
        light = isinstance(body, MemberBody) and not isinstance(body, Refused)
        news = members.news(MOST_NEWS, first) if light else []
        claims = self.tenures.claims(MOST_CLAIMS, CLAIM_TIMES) if light else []
        if isinstance(body, Joined):
            # A newcomer may be a voter that has forgotten: it hears of every term there is.
            claims = self.tenures.known(MOST_CLAIMS)
        return Envelope(self.terms.members.fleet, me.name, me.life, me.incarnation, body, news, claims)
