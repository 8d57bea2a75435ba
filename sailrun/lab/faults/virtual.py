"""Many agents in virtual time, over a network that does what the nemesis says. The agents are the very
objects
that real nodes run; only sockets and clocks are played.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sailrun.lab.faults.copies import marks_by_subject
from sailrun.lab.faults.disk import SimFiles
from sailrun.lab.faults.history import Row
from sailrun.lab.scheduler import BEGIN_US, Scheduler
from sailrun.leadership.agent import READER_TASK_PREFIX, Agent, AgentSettings, OutgoingEnvelope
from sailrun.leadership.envelope import Envelope, encode_envelope
from sailrun.leadership.initial_term import new_initial_term
from sailrun.leadership.list_reader import SharedList
from sailrun.leadership.member_journal import MemberFolder
from sailrun.leadership.permits import PermitChange
from sailrun.membership.messages import MemberRecord, MemberState
from sailrun.replication.inspection import describe_state
from sailrun.replication.messages import MarkRequest
from sailrun.replication.replica import MARKS_TASK, Replica
from sailrun.storage.folder_reader import FolderIntegrity, read_folder
from sailrun.storage.opening import open_folder
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import WriteAheadLog, WriteBatch, WriteResult
from sailrun.storage.writer import BatchWriter

SECOND = 1_000_000
# What a node that is stopped finds in its sockets when it wakes; the rest was dropped.
QUEUED = 2_000
# One in so many messages is packed, to know what they weigh.
WEIGHED = 8
# What a sync takes, most of the time.
SYNC_US = (500, 8_000)
# Staff wait so long for an answer about a mark.
STAFF_US = 4 * SECOND


@dataclass(slots=True, eq=False)
class VirtualNode:
    name: str
    index: int
    address: str
    zone: str
    rate: float  # of its clock
    offset_us: int = 0
    agent: Agent | None = None
    reading: SharedList | None = None
    life: int = 0
    stopped: bool = False
    stop_in_send: bool = False
    stop: int = 0  # the number of the latest stop
    inbox: list[tuple[str, Envelope]] = field(default_factory=list)
    held_back_us: int = 0  # what it sends until then is held back as well
    waking: int = 0  # the number of its next turn; turns of an older one are void
    wakes_us: int = 0  # when that is, in shared time
    files: SimFiles = field(default_factory=SimFiles)
    writer: BatchWriter | None = None
    write_ahead_log: WriteAheadLog | None = None
    stalled_us: int = 0  # its disk does nothing until then
    # A folder of before, and whether it comes back with its inodes.
    backup: tuple[SimFiles, bool] | None = None


class VirtualFleet:
    """The nemesis's `Fleet`, in virtual time."""

    agent_class: type[Agent] = Agent
    # How long a node stands that was stopped in the middle of sending.
    late_s = (1.0, 6.0)

    def __init__(
        self,
        nodes: int,
        voters: int,
        zones: int,
        terms: Callable[[int, list[str], list[str]], AgentSettings],
        seed: int,
        off: frozenset[str] = frozenset(),
        copies_s: float = 0.0,
        lasting: StorageSettings | None = None,
    ) -> None:
        """`terms` are made for a node's index, the voters' names and the addresses to join by. Copies are
        looked at every `copies_s`, if they are. With `lasting`, each node has a folder.
        """
        self._lasting = lasting
        self.time = Scheduler()
        self._luck = random.Random(f"network/{seed}")
        self._seed, self._off, self._terms = seed, off, terms
        self.names = [f"n{n}" for n in range(nodes)]
        self.voters = self.names[:voters]
        self.rows: list[Row] = []
        self.nodes = {
            name: VirtualNode(name, n, f"10.0.0.{n}:1", f"z{n % zones}", self._luck.uniform(0.99, 1.01))
            for n, name in enumerate(self.names)
        }
        self._at = {node.address: node for node in self.nodes.values()}
        self._cuts: dict[int, set[tuple[str, str]]] = {}  # by cut, from whom to whom nothing comes
        self._cut = 0
        self._lost, self._delay_us, self._doubled = 0.0, (1_000, 3_000), 0.0
        self._sent = 0
        self.weighed = self.bytes = 0
        self.by_body: dict[str, int] = {}
        self.revision = 1
        self._copies_us = int(copies_s * SECOND)
        self._changes: list[Any] = []

    # ------------------------------------------------------------------ the day

    def begin(self) -> None:
        for name in self.names:
            self.time.after(int(self._luck.uniform(0, 0.3) * SECOND), self.start, name)
        self.time.after(SECOND, self._publish)
        if self._copies_us:
            self.time.after(self._copies_us, self._look_at_copies)

    def run(self, seconds: float) -> None:
        self.time.run(BEGIN_US + int(seconds * SECOND))

    def _publish(self) -> None:
        self.revision += 1
        self.time.after(SECOND, self._publish)

    def after(self, wait_us: int, what: Callable[..., None], *facts: object) -> None:
        self.time.after(wait_us, what, *facts)

    def row(self, kind: str, node: str, **facts: Any) -> None:
        self.rows.append({"at_us": self.time.now_us, "node": node, "kind": kind, **facts})

    def told(self, what: str, **facts: object) -> None:
        self.row("fault", str(facts.get("node", "")), what=what, facts=str(facts))

    def finish(self, wait_us: int) -> None:
        """A day in virtual time costs little: it is played for as long as it was to be."""

    # ------------------------------------------------------------------ processes

    def clock_us(self, node: VirtualNode) -> int:
        """The node's own monotonic clock."""
        return int((self.time.now_us - BEGIN_US) * node.rate) + node.offset_us

    def _shared_us(self, node: VirtualNode, own_us: int) -> int:
        """The shared time at which the node's clock shows this."""
        return BEGIN_US + int((own_us - node.offset_us) / node.rate)

    def start(self, name: str, clock_s: float = 0.0) -> None:
        node = self.nodes[name]
        if node.agent is not None:
            return
        node.life += 1
        node.stopped, node.inbox = False, []
        luck = random.Random(f"{self._seed}/{name}/{node.life}")
        node.offset_us = luck.randrange(10**9)  # a monotonic clock begins anywhere
        joins = [n.address for n in self.nodes.values() if n.index < 3 and n is not node]
        terms = self._terms(node.index, self.voters, joins)
        me = self._record_of(node, luck.getrandbits(62))

        def record(kind: str, **facts: Any) -> None:
            if "until_us" in facts:
                facts["until_us"] = self._shared_us(node, facts["until_us"])
            facts.pop("made_us", None)  # the very moment
            self.row(kind, name, **facts)

        ahead_s = 1.8e9 + clock_s - BEGIN_US / SECOND
        wall_s = self.time.now_us / SECOND + ahead_s
        node.agent = self.agent_class(
            me,
            terms,
            luck.getrandbits(32),
            self.clock_us(node),
            lambda: new_initial_term(self.time.now_us / SECOND + ahead_s, luck.getrandbits(12)),
            self._off,
            record,
        )
        if self._lasting is not None:
            self._open_folder(node, self._lasting, wall_s, luck)
        self._give_work(node)
        self.row("started", name, life=me.life, clock_s=clock_s)
        self._wake(node, 0)

    def _record_of(self, node: VirtualNode, life: int) -> MemberRecord:
        """What a node says of itself as it starts."""
        return MemberRecord(node.name, life, 1, MemberState.ALIVE, node.address, node.zone)

    def _give_work(self, node: VirtualNode) -> None:
        agent = node.agent
        assert agent is not None
        if not agent.settings.list_reader.enabled:
            return
        task = READER_TASK_PREFIX + node.zone
        reading = node.reading = SharedList("roster", agent.settings.list_reader, self.clock_us(node))
        agent.request_handlers[task] = lambda now_us, sender, content: reading.answer_query(content)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        if node.agent is None:
            return
        self.row("died", name)
        node.writer = node.write_ahead_log = None
        node.stop += 1
        node.agent, node.inbox, node.stopped = None, [], False
        node.waking += 1

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        if node.agent is None or node.stopped:
            return
        self.told("leave", node=name)
        self._send(node, node.agent.leave(self.clock_us(node)))
        # It goes on for a moment, as a node does that moves its households.
        self.time.after(SECOND // 2, self._end, name, node.life)

    def _end(self, name: str, life: int) -> None:
        if self.nodes[name].life == life:
            self.kill(name)

    def stop(self, name: str, in_send: bool = False) -> int:
        node = self.nodes[name]
        if node.agent is not None:
            self.told("stop", node=name, in_send=in_send)
            node.stop += 1
            if in_send:
                node.stop_in_send = True
            else:
                node.stopped = True
        return node.stop

    def go_on(self, name: str, stop: int) -> None:
        node = self.nodes[name]
        if node.stop != stop:
            return
        node.stop_in_send = False
        if not node.stopped:
            return
        self.told("go-on", node=name)
        node.stopped = False
        if node.agent is None:
            return
        inbox, node.inbox = node.inbox, []
        for address, envelope in inbox:
            self._hear(node, address, envelope)
        self._wake(node, 0)

    # ------------------------------------------------------------------ folders

    def _open_folder(
        self, node: VirtualNode, terms: StorageSettings, wall_s: float, luck: random.Random
    ) -> None:
        agent = node.agent
        assert agent is not None

        def another() -> str:
            return f"{luck.getrandbits(128):032x}"

        slow_us, now_us = int(agent.settings.leadership.lease_s * SECOND) // 2, self.clock_us(node)
        opened = open_folder(node.files, terms, slow_us, node.name, "lab", another, now_us, self._off)
        node.write_ahead_log, node.writer, found = opened.write_ahead_log, opened.writer, opened.contents
        sound = found.integrity is FolderIntegrity.INTACT
        self.row(
            "folder",
            node.name,
            what="found",
            sound=found.integrity.value,
            why=found.reason,
            torn=found.torn_bytes,
        )
        lasting = MemberFolder(
            opened.write_ahead_log, opened.identity, found.state, sound, found.position, wall_s, another
        )
        agent.restore(self.clock_us(node), lasting)

    def _to_disk(self, node: VirtualNode) -> None:
        """Has a node's disk do what there is to do, some time from now."""
        wal = node.write_ahead_log
        if wal is None or node.stopped:
            return
        work = wal.tick(self.clock_us(node))
        if wal.log_events:
            for what, facts in wal.log_events:
                self.row("folder", node.name, what=what, facts=str(facts))
            wal.log_events.clear()
        if work is not None:
            wait_us = max(int(self._luck.uniform(*SYNC_US)), node.stalled_us - self.time.now_us)
            self.time.after(wait_us // 2, self._written, node, node.writer, work, wait_us - wait_us // 2)

    def _written(self, node: VirtualNode, writer: BatchWriter | None, work: WriteBatch, told_us: int) -> None:
        """The disk has done it, or the process that asked for it is gone; a moment later, if it is not
        stopped, the process knows.
        """
        if writer is None or node.writer is not writer:
            return
        done = writer.write(work)
        while writer.continue_snapshot():
            pass
        self.time.after(told_us, self._wrote, node, writer, done)

    def _wrote(self, node: VirtualNode, writer: BatchWriter, done: WriteResult) -> None:
        if node.writer is not writer or node.agent is None:
            return
        if node.stopped:
            self.time.after(SECOND // 10, self._wrote, node, writer, done)
            return
        now_us = self.clock_us(node)
        self._send(node, node.agent.on_written(now_us, done))
        self._soon(node)

    def power_cut(self, names: list[str]) -> None:
        """Machines that lose their power: their processes, and what was not synced."""
        self.told("power-cut", names=",".join(names))
        for name in names:
            self.kill(name)
            self.nodes[name].files.power_cut(self._luck)

    def stall(self, name: str, for_us: int) -> None:
        self.told("stall", node=name, for_us=for_us)
        self.nodes[name].stalled_us = self.time.now_us + for_us

    def fill(self, names: list[str], for_us: int) -> None:
        """Disks that are full: nothing is written to them."""
        self.told("full", names=",".join(names), for_us=for_us)

        def full(what: str, name: str) -> None:
            if what in ("write", "create"):
                raise OSError(errno.ENOSPC, "No space left on device")

        for name in names:
            self.nodes[name].files.fault = full
            self.time.after(for_us, self._empty, name)

    def _empty(self, name: str) -> None:
        self.nodes[name].files.fault = lambda what, name: None

    def back_up(self, name: str) -> None:
        self.told("back-up", node=name)
        node = self.nodes[name]
        node.backup = (node.files.copy(), self._luck.random() < 0.5)

    def restore(self, name: str) -> None:
        """Puts the folder of then in the place of what there is; the process is not running."""
        node = self.nodes[name]
        if node.agent is not None or node.backup is None:
            return
        files, with_inodes = node.backup
        self.row("fault", name, what="restore", inodes=with_inodes, position=read_folder(files).position)
        if with_inodes:
            node.files.roll_back(files)
        else:
            node.files = files.copy()

    # ------------------------------------------------------------------ turns

    def _wake(self, node: VirtualNode, wait_us: int) -> None:
        node.waking += 1
        node.wakes_us = self.time.now_us + wait_us
        self.time.after(wait_us, self._turn, node, node.waking)

    def _turn(self, node: VirtualNode, waking: int) -> None:
        agent = node.agent
        if waking != node.waking or agent is None or node.stopped:
            return
        now_us = self.clock_us(node)
        outs = agent.turn(now_us)
        if node.reading is not None:
            outs += self._read(node, agent, node.reading, now_us)
        self._send(node, outs)
        if agent.rolling_drains.is_draining:
            agent.rolling_drains.on_session_count(now_us, 0)
        if not node.stopped:
            due_us = agent.due_us(now_us)
            if node.write_ahead_log is not None:
                due_us = min(due_us, node.write_ahead_log.due_us(now_us) or due_us)
            self._wake(node, max(1_000, due_us - now_us))

    def _read(
        self, node: VirtualNode, agent: Agent, reading: SharedList, now_us: int
    ) -> list[OutgoingEnvelope]:
        task = READER_TASK_PREFIX + node.zone
        reading.is_leader = bool(agent.leases.held_term(task, now_us))
        if reading.must_read_registry(now_us):
            reading.on_registry_list(self.revision, [])
        has = reading.next_query(now_us)
        if has is None or not agent.members.has_joined:
            return []

        def done(now_us: int, sent_us: int, content: Any) -> None:
            reading.on_reply(now_us, content)

        return agent.request(now_us, task, [has.source, has.revision], done)

    def _hear(self, node: VirtualNode, address: str, envelope: Envelope) -> None:
        if node.agent is None:
            return
        if node.stopped:
            if len(node.inbox) < QUEUED:
                node.inbox.append((address, envelope))
            return
        now_us = self.clock_us(node)
        self._send(node, node.agent.on_envelope(now_us, address, envelope))
        wait_us = max(1_000, node.agent.due_us(now_us) - now_us)
        if not node.stopped and self.time.now_us + wait_us < node.wakes_us:
            self._wake(node, wait_us)

    def _send(self, node: VirtualNode, outs: list[OutgoingEnvelope]) -> None:
        agent = node.agent
        assert agent is not None
        agent.log_events.clear()
        self._to_disk(node)
        now_us = self.clock_us(node)
        outs = [out for out in outs if out.guard is None or agent.may_send(out.guard, now_us)]
        if node.stop_in_send and any(self._is_act(out) for out in outs):
            # It has looked at the clock, and is stopped before it sends.
            node.stop_in_send, node.stopped = False, True
            self.time.after(
                int(self._luck.uniform(*self.late_s) * SECOND), self._send_late, node, node.stop, outs
            )
            return
        for out in outs:
            self._put(node, out)

    def _is_act(self, out: OutgoingEnvelope) -> bool:
        """Whether it was made under a lease that may end before it is sent."""
        return out.guard is not None

    def _send_late(self, node: VirtualNode, stop: int, outs: list[OutgoingEnvelope]) -> None:
        if node.agent is None or node.stop != stop:
            return
        for out in outs:
            self._put(node, out)
        self.go_on(node.name, stop)

    # ------------------------------------------------------------------ staff, and copies

    def _look_at_copies(self) -> None:
        for node in self.nodes.values():
            replica = node.agent.replica if node.agent is not None and not node.stopped else None
            if replica is not None and node.agent is not None and node.agent.members.has_joined:
                state = describe_state(replica, self.clock_us(node))
                behind_s = state["behind"]["s"]
                self.row(
                    "copy",
                    node.name,
                    whole=state["whole"],
                    behind_s=behind_s,
                    digest=state["digest"],
                    epoch=state["epoch"],
                    copies=state["copies"],
                    marks=marks_by_subject(state["records"]),
                )
        self.time.after(self._copies_us, self._look_at_copies)

    def _replica(self, name: str) -> Replica | None:
        node = self.nodes[name]
        return node.agent.replica if node.agent is not None and not node.stopped else None

    def _op(self, name: str, what: str, subject: str, on: bool) -> MarkRequest:
        agent = self.nodes[name].agent
        assert agent is not None and agent.replica is not None
        under = agent.leases.lease_of(MARKS_TASK).highest_granted_term
        return MarkRequest(
            what, agent.replica.make_request_id(), under, "out", subject, on, "staff", "a test"
        )

    def mark(self, name: str, subject: str, on: bool) -> None:
        replica, node = self._replica(name), self.nodes[name]
        if replica is not None:
            op = self._op(name, "mark", subject, on)
            replica.write_mark(self.clock_us(node), op, lambda answer: None, STAFF_US)
            self._soon(node)

    def mark_here(self, name: str, subject: str, on: bool) -> None:
        replica, node = self._replica(name), self.nodes[name]
        if replica is not None:
            replica.write_mark_locally(self.clock_us(node), self._op(name, "mark", subject, on))

    def look(self, name: str, subject: str) -> None:
        replica, node = self._replica(name), self.nodes[name]
        if replica is not None:
            replica.read_mark(self.clock_us(node), "out", subject, lambda words: None, STAFF_US)
            self._soon(node)

    def _soon(self, node: VirtualNode) -> None:
        if not node.stopped:
            self._wake(node, 0)

    def spoil(self, name: str) -> None:
        replica = self._replica(name)
        keys = [r.key for r in replica.store.iterate_records("out")] if replica is not None else []
        if replica is not None and keys:
            key = self._luck.choice(keys)
            self.row("fault", name, what="spoil", subject="/".join(key[:2]))
            replica.store.corrupt(key)

    # ------------------------------------------------------------------ the network

    def _put(self, node: VirtualNode, out: OutgoingEnvelope) -> None:
        self._sent += 1
        kind = type(out.envelope.body).__name__
        self.by_body[kind] = self.by_body.get(kind, 0) + 1
        if self._sent % WEIGHED == 0:
            self.weighed += 1
            self.bytes += len(encode_envelope(out.envelope))
        to = self._at.get(out.address)
        luck = self._luck
        if to is None or self._is_cut(node.name, to.name):
            return
        for _ in range(1 + (luck.random() < self._doubled)):
            if luck.random() < self._lost:
                continue
            wait_us = int(luck.uniform(*self._delay_us))
            wait_us = max(wait_us, node.held_back_us - self.time.now_us if luck.random() < 0.5 else 0)
            self.time.after(wait_us, self._arrive, node.name, node.address, to, out.envelope)

    def _arrive(self, sender: str, address: str, to: VirtualNode, envelope: Envelope) -> None:
        if not self._is_cut(sender, to.name):
            self._hear(to, address, envelope)

    def _is_cut(self, sender: str, to: str) -> bool:
        return any((sender, to) in pairs for pairs in self._cuts.values())

    def cut(self, one: list[str], other: list[str], both_ways: bool = True) -> int:
        self.told("cut", one=",".join(one), other=",".join(other), both_ways=both_ways)
        self._cut += 1
        self._cuts[self._cut] = {(a, b) for a in one for b in other}
        if both_ways:
            self._cuts[self._cut] |= {(b, a) for a in one for b in other}
        return self._cut

    def heal(self, cut: int) -> None:
        self.told("heal")
        self._cuts.pop(cut, None)

    def weather(self, lost: float, delay_us: tuple[int, int], doubled: float) -> None:
        self.told("weather", lost=lost, delay_us=delay_us, doubled=doubled)
        self._lost, self._delay_us, self._doubled = lost, delay_us, doubled

    def hold_back(self, name: str, for_us: int) -> None:
        self.told("hold-back", node=name, for_us=for_us)
        self.nodes[name].held_back_us = self.time.now_us + for_us
        self.time.after(min(for_us, SECOND // 2), self._let_go, name)

    def _let_go(self, name: str) -> None:
        """What was sent stays held; what it sends from now on is not."""
        self.nodes[name].held_back_us = 0

    # ------------------------------------------------------------------ what the nemesis asks

    def owner(self, task: str) -> str | None:
        for node in self.nodes.values():
            if node.agent is not None and node.agent.leases.held_term(task, self.clock_us(node)):
                return node.name
        return None

    def tasks(self) -> list[str]:
        agents = [node.agent for node in self.nodes.values() if node.agent is not None]
        return sorted(
            {task for agent in agents if agent.members.has_joined for task in agent.candidate_tasks()}
        )

    def want(self, name: str, kind: str, subject: str, for_us: int) -> None:
        agent = self.nodes[name].agent
        if agent is None or agent.permit_holder is None or self.nodes[name].stopped:
            return
        if (kind, subject) in agent.permit_holder.permits:
            return
        agent.permit_holder.request(kind, subject)
        life = self.nodes[name].life
        previous = agent.on_permit_change

        def used(use: PermitChange) -> None:
            previous(use)
            if use.is_held and (use.kind, use.subject) == (kind, subject):
                self.time.after(for_us, self._give_back, name, life, kind, subject)

        agent.on_permit_change = used

    def _give_back(self, name: str, life: int, kind: str, subject: str) -> None:
        node = self.nodes[name]
        if node.agent is None or node.life != life or node.agent.permit_holder is None:
            return
        if node.stopped:
            self.time.after(SECOND, self._give_back, name, life, kind, subject)
            return
        node.agent.permit_holder.release(self.clock_us(node), kind, subject)
        self._send(node, node.agent._publish_changes(self.clock_us(node)))

    def hand_over(self, name: str) -> None:
        """Only nodes that own shards hand anything over before they leave."""

    def begin_rolling_drain(self, name: str, names: list[str], for_us: int) -> None:
        agent = self.nodes[name].agent
        if agent is not None:
            self.told("walk", node=name, names=",".join(names))
            agent.rolling_drains.begin(self.clock_us(self.nodes[name]), f"walk-{self._seed}", names, for_us)
