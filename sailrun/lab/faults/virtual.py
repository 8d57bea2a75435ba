"""A fleet of agents in virtual time, over a simulated network whose faults the nemesis sets.

The agents are instances of the classes that real nodes use; only sockets, clocks and disks are simulated.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sailrun.lab.faults.disk import SimFiles
from sailrun.lab.faults.history import Row
from sailrun.lab.faults.replica_checks import marks_by_subject
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
# Messages that a paused node finds in its sockets when it resumes; further ones are dropped.
MAX_QUEUED_MESSAGES = 2_000
# One message in this many is encoded, to estimate the traffic in bytes.
MESSAGE_ENCODING_INTERVAL = 8
# Range of the duration of a write with its sync, unless the disk is stalled.
WRITE_DURATION_US = (500, 8_000)
# Time limit of an operator's command about a mark.
OPERATOR_TIMEOUT_US = 4 * SECOND


@dataclass(slots=True, eq=False)
class VirtualNode:
    name: str
    index: int
    address: str
    zone: str
    rate: float  # of its clock, relative to virtual time
    offset_us: int = 0
    agent: Agent | None = None
    shared_list: SharedList | None = None
    start_count: int = 0  # how often it was started
    paused: bool = False
    pause_in_send: bool = False  # to be paused at its next send under a lease
    pause_number: int = 0  # incremented by each pause and kill, so that an earlier resume has no effect
    inbox: list[tuple[str, Envelope]] = field(default_factory=list)
    delayed_until_us: int = 0  # until then, half of what it sends is delayed, to arrive then
    # A turn is one call of `Agent.tick`, which makes the messages that are due. The number is that of the
    # next turn; turns with an older number are skipped.
    turn_number: int = 0
    next_turn_us: int = 0  # the virtual time of its next turn
    files: SimFiles = field(default_factory=SimFiles)
    writer: BatchWriter | None = None
    write_ahead_log: WriteAheadLog | None = None
    disk_stalled_until_us: int = 0  # until then its disk completes no write
    # The backup of its storage folder, and whether the restored files get the inodes of the files that they
    # replace.
    backup: tuple[SimFiles, bool] | None = None


class VirtualFleet:
    """The nemesis's `Fleet`, in virtual time."""

    agent_class: type[Agent] = Agent
    # Range in seconds of the pause of a node between its lease check and the send.
    send_pause_s = (1.0, 6.0)

    def __init__(
        self,
        nodes: int,
        voters: int,
        zones: int,
        make_settings: Callable[[int, list[str], list[str]], AgentSettings],
        seed: int,
        disabled_rules: frozenset[str] = frozenset(),
        replica_interval_s: float = 0.0,
        storage: StorageSettings | None = None,
    ) -> None:
        """`make_settings` returns the settings for a node's index, the voters' names and the addresses to
        join through. Records the replicas every `replica_interval_s` seconds, or never if it is 0. With
        `storage`, each node has a storage folder. `disabled_rules` are safety rules that are switched off.
        """
        self._storage = storage
        self.time = Scheduler()
        self._random = random.Random(f"network/{seed}")
        self._seed, self._disabled_rules, self._make_settings = seed, disabled_rules, make_settings
        self.names = [f"n{n}" for n in range(nodes)]
        self.voters = self.names[:voters]
        self.rows: list[Row] = []
        self.nodes = {
            name: VirtualNode(name, n, f"10.0.0.{n}:1", f"z{n % zones}", self._random.uniform(0.99, 1.01))
            for n, name in enumerate(self.names)
        }
        self._nodes_by_address = {node.address: node for node in self.nodes.values()}
        # By cut: pairs of sender and receiver whose messages are dropped.
        self._blocked_pairs: dict[int, set[tuple[str, str]]] = {}
        self._last_cut = 0
        self._loss_share, self._delay_us, self._duplicate_share = 0.0, (1_000, 3_000), 0.0
        self._sent_count = 0
        self.encoded_count = self.bytes = 0
        self.message_counts: dict[str, int] = {}  # sent messages by the type of their body
        self.revision = 1
        self._replica_interval_us = int(replica_interval_s * SECOND)
        self._changes: list[Any] = []  # unused

    # ------------------------------------------------------------------ the run

    def begin(self) -> None:
        for name in self.names:
            self.time.after(int(self._random.uniform(0, 0.3) * SECOND), self.start, name)
        self.time.after(SECOND, self._increment_list_revision)
        if self._replica_interval_us:
            self.time.after(self._replica_interval_us, self._record_replicas)

    def run(self, seconds: float) -> None:
        self.time.run(BEGIN_US + int(seconds * SECOND))

    def _increment_list_revision(self) -> None:
        """Publishes a new revision of the endpoint list every second."""
        self.revision += 1
        self.time.after(SECOND, self._increment_list_revision)

    def after(self, wait_us: int, action: Callable[..., None], *arguments: object) -> None:
        self.time.after(wait_us, action, *arguments)

    def row(self, kind: str, node: str, **facts: Any) -> None:
        self.rows.append({"at_us": self.time.now_us, "node": node, "kind": kind, **facts})

    def record_fault(self, what: str, **facts: object) -> None:
        self.row("fault", str(facts.get("node", "")), what=what, facts=str(facts))

    def end_after(self, wait_us: int) -> None:
        """Does nothing: a run in virtual time costs little and always has its full length."""

    # ------------------------------------------------------------------ processes

    def clock_us(self, node: VirtualNode) -> int:
        """Returns the time of the node's own monotonic clock."""
        return int((self.time.now_us - BEGIN_US) * node.rate) + node.offset_us

    def _virtual_us(self, node: VirtualNode, own_us: int) -> int:
        """Returns the virtual time at which the node's clock shows `own_us`."""
        return BEGIN_US + int((own_us - node.offset_us) / node.rate)

    def start(self, name: str, clock_s: float = 0.0) -> None:
        node = self.nodes[name]
        if node.agent is not None:
            return
        node.start_count += 1
        node.paused, node.inbox = False, []
        rng = random.Random(f"{self._seed}/{name}/{node.start_count}")
        node.offset_us = rng.randrange(10**9)  # a monotonic clock begins at an arbitrary value
        join_addresses = [n.address for n in self.nodes.values() if n.index < 3 and n is not node]
        settings = self._make_settings(node.index, self.voters, join_addresses)
        me = self._record_of(node, rng.getrandbits(62))

        def record(kind: str, **facts: Any) -> None:
            if "until_us" in facts:
                facts["until_us"] = self._virtual_us(node, facts["until_us"])
            facts.pop("made_us", None)  # equals the time of the row
            self.row(kind, name, **facts)

        # The run begins at this Unix time, except for the given offset of the node's wall clock.
        wall_offset_s = 1.8e9 + clock_s - BEGIN_US / SECOND
        wall_s = self.time.now_us / SECOND + wall_offset_s
        node.agent = self.agent_class(
            me,
            settings,
            rng.getrandbits(32),
            self.clock_us(node),
            lambda: new_initial_term(self.time.now_us / SECOND + wall_offset_s, rng.getrandbits(12)),
            self._disabled_rules,
            record,
        )
        if self._storage is not None:
            self._open_folder(node, self._storage, wall_s, rng)
        self._set_up_list_reader(node)
        self.row("started", name, life=me.life, clock_s=clock_s)
        self._schedule_turn(node, 0)

    def _record_of(self, node: VirtualNode, process_number: int) -> MemberRecord:
        """Returns the member record with which a node starts."""
        return MemberRecord(node.name, process_number, 1, MemberState.ALIVE, node.address, node.zone)

    def _set_up_list_reader(self, node: VirtualNode) -> None:
        agent = node.agent
        assert agent is not None
        if not agent.settings.list_reader.enabled:
            return
        task = READER_TASK_PREFIX + node.zone
        shared_list = node.shared_list = SharedList("roster", agent.settings.list_reader, self.clock_us(node))
        agent.request_handlers[task] = lambda now_us, sender, content: shared_list.answer_query(content)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        if node.agent is None:
            return
        self.row("died", name)
        node.writer = node.write_ahead_log = None
        node.pause_number += 1
        node.agent, node.inbox, node.paused = None, [], False
        node.turn_number += 1

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        if node.agent is None or node.paused:
            return
        self.record_fault("leave", node=name)
        self._send(node, node.agent.leave(self.clock_us(node)))
        # It runs for another 0.5 s, as a node does while it moves its clients.
        self.time.after(SECOND // 2, self._end_leave, name, node.start_count)

    def _end_leave(self, name: str, start_count: int) -> None:
        if self.nodes[name].start_count == start_count:
            self.kill(name)

    def pause(self, name: str, in_send: bool = False) -> int:
        node = self.nodes[name]
        if node.agent is not None:
            self.record_fault("stop", node=name, in_send=in_send)
            node.pause_number += 1
            if in_send:
                node.pause_in_send = True
            else:
                node.paused = True
        return node.pause_number

    def resume(self, name: str, pause_number: int) -> None:
        node = self.nodes[name]
        if node.pause_number != pause_number:
            return
        node.pause_in_send = False
        if not node.paused:
            return
        self.record_fault("go-on", node=name)
        node.paused = False
        if node.agent is None:
            return
        inbox, node.inbox = node.inbox, []
        for address, envelope in inbox:
            self._receive(node, address, envelope)
        self._schedule_turn(node, 0)

    # ------------------------------------------------------------------ storage folders

    def _open_folder(
        self, node: VirtualNode, settings: StorageSettings, wall_s: float, rng: random.Random
    ) -> None:
        agent = node.agent
        assert agent is not None

        def generate_identity() -> str:
            return f"{rng.getrandbits(128):032x}"

        # A write that takes longer than half a lease counts as slow.
        slow_us, now_us = int(agent.settings.leadership.lease_s * SECOND) // 2, self.clock_us(node)
        opened = open_folder(
            node.files, settings, slow_us, node.name, "lab", generate_identity, now_us, self._disabled_rules
        )
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
        member_folder = MemberFolder(
            opened.write_ahead_log,
            opened.identity,
            found.state,
            sound,
            found.position,
            wall_s,
            generate_identity,
        )
        agent.restore(self.clock_us(node), member_folder)

    def _start_write(self, node: VirtualNode) -> None:
        """Schedules the node's pending write for its disk, if there is one."""
        wal = node.write_ahead_log
        if wal is None or node.paused:
            return
        work = wal.tick(self.clock_us(node))
        if wal.log_events:
            for what, facts in wal.log_events:
                self.row("folder", node.name, what=what, facts=str(facts))
            wal.log_events.clear()
        if work is not None:
            wait_us = max(
                int(self._random.uniform(*WRITE_DURATION_US)), node.disk_stalled_until_us - self.time.now_us
            )
            self.time.after(
                wait_us // 2, self._complete_write, node, node.writer, work, wait_us - wait_us // 2
            )

    def _complete_write(
        self, node: VirtualNode, writer: BatchWriter | None, work: WriteBatch, result_delay_us: int
    ) -> None:
        """Completes the write on the disk, unless its process was killed: then nothing of it is written. The
        process gets the result `result_delay_us` later.
        """
        if writer is None or node.writer is not writer:
            return
        done = writer.write(work)
        while writer.continue_snapshot():
            pass
        self.time.after(result_delay_us, self._on_write_result, node, writer, done)

    def _on_write_result(self, node: VirtualNode, writer: BatchWriter, done: WriteResult) -> None:
        if node.writer is not writer or node.agent is None:
            return
        if node.paused:
            self.time.after(SECOND // 10, self._on_write_result, node, writer, done)
            return
        now_us = self.clock_us(node)
        self._send(node, node.agent.on_written(now_us, done))
        self._run_soon(node)

    def power_cut(self, names: list[str]) -> None:
        """Kills the processes; data that was not synced is kept or lost at random."""
        self.record_fault("power-cut", names=",".join(names))
        for name in names:
            self.kill(name)
            self.nodes[name].files.power_cut(self._random)

    def stall_disk(self, name: str, for_us: int) -> None:
        self.record_fault("stall", node=name, for_us=for_us)
        self.nodes[name].disk_stalled_until_us = self.time.now_us + for_us

    def fill_disks(self, names: list[str], for_us: int) -> None:
        """Fills the disks: writes and new files fail with ENOSPC for `for_us`."""
        self.record_fault("full", names=",".join(names), for_us=for_us)

        def fail_writes(operation: str, name: str) -> None:
            if operation in ("write", "create"):
                raise OSError(errno.ENOSPC, "No space left on device")

        for name in names:
            self.nodes[name].files.fault = fail_writes
            self.time.after(for_us, self._end_disk_full, name)

    def _end_disk_full(self, name: str) -> None:
        self.nodes[name].files.fault = lambda operation, name: None

    def back_up_folder(self, name: str) -> None:
        self.record_fault("back-up", node=name)
        node = self.nodes[name]
        node.backup = (node.files.copy(), self._random.random() < 0.5)

    def restore_folder(self, name: str) -> None:
        """Replaces the node's storage folder by its backup; does nothing while the process is running or
        without a backup.
        """
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

    def _schedule_turn(self, node: VirtualNode, wait_us: int) -> None:
        node.turn_number += 1
        node.next_turn_us = self.time.now_us + wait_us
        self.time.after(wait_us, self._turn, node, node.turn_number)

    def _turn(self, node: VirtualNode, turn_number: int) -> None:
        agent = node.agent
        if turn_number != node.turn_number or agent is None or node.paused:
            return
        now_us = self.clock_us(node)
        envelopes = agent.tick(now_us)
        if node.shared_list is not None:
            envelopes += self._query_list(node, agent, node.shared_list, now_us)
        self._send(node, envelopes)
        if agent.rolling_drains.is_draining:
            # Virtual nodes have no clients, so a drain ends at once.
            agent.rolling_drains.on_session_count(now_us, 0)
        if not node.paused:
            due_us = agent.due_us(now_us)
            if node.write_ahead_log is not None:
                due_us = min(due_us, node.write_ahead_log.due_us(now_us) or due_us)
            self._schedule_turn(node, max(1_000, due_us - now_us))

    def _query_list(
        self, node: VirtualNode, agent: Agent, shared_list: SharedList, now_us: int
    ) -> list[OutgoingEnvelope]:
        task = READER_TASK_PREFIX + node.zone
        shared_list.is_leader = bool(agent.leases.held_term(task, now_us))
        if shared_list.must_read_registry(now_us):
            shared_list.on_registry_list(self.revision, [])
        query = shared_list.next_query(now_us)
        if query is None or not agent.members.has_joined:
            return []

        def done(now_us: int, sent_us: int, content: Any) -> None:
            shared_list.on_reply(now_us, content)

        return agent.request(now_us, task, [query.source, query.revision], done)

    def _receive(self, node: VirtualNode, address: str, envelope: Envelope) -> None:
        if node.agent is None:
            return
        if node.paused:
            if len(node.inbox) < MAX_QUEUED_MESSAGES:
                node.inbox.append((address, envelope))
            return
        now_us = self.clock_us(node)
        self._send(node, node.agent.on_envelope(now_us, address, envelope))
        wait_us = max(1_000, node.agent.due_us(now_us) - now_us)
        if not node.paused and self.time.now_us + wait_us < node.next_turn_us:
            self._schedule_turn(node, wait_us)

    def _send(self, node: VirtualNode, envelopes: list[OutgoingEnvelope]) -> None:
        agent = node.agent
        assert agent is not None
        agent.log_events.clear()
        self._start_write(node)
        now_us = self.clock_us(node)
        envelopes = [
            outgoing
            for outgoing in envelopes
            if outgoing.guard is None or agent.may_send(outgoing.guard, now_us)
        ]
        if node.pause_in_send and any(self._is_pause_point(outgoing) for outgoing in envelopes):
            # It has checked its lease, and is paused before it sends.
            node.pause_in_send, node.paused = False, True
            self.time.after(
                int(self._random.uniform(*self.send_pause_s) * SECOND),
                self._send_and_resume,
                node,
                node.pause_number,
                envelopes,
            )
            return
        for outgoing in envelopes:
            self._transmit(node, outgoing)

    def _is_pause_point(self, outgoing: OutgoingEnvelope) -> bool:
        """Returns whether a node with `pause_in_send` is paused before it sends this message: here one that
        was made under a lease.
        """
        return outgoing.guard is not None

    def _send_and_resume(
        self, node: VirtualNode, pause_number: int, envelopes: list[OutgoingEnvelope]
    ) -> None:
        if node.agent is None or node.pause_number != pause_number:
            return
        for outgoing in envelopes:
            self._transmit(node, outgoing)
        self.resume(node.name, pause_number)

    # ------------------------------------------------------------------ operator commands, and replicas

    def _record_replicas(self) -> None:
        for node in self.nodes.values():
            replica = node.agent.replica if node.agent is not None and not node.paused else None
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
        self.time.after(self._replica_interval_us, self._record_replicas)

    def _replica(self, name: str) -> Replica | None:
        node = self.nodes[name]
        return node.agent.replica if node.agent is not None and not node.paused else None

    def _mark_request(self, name: str, operation: str, subject: str, on: bool) -> MarkRequest:
        agent = self.nodes[name].agent
        assert agent is not None and agent.replica is not None
        term = agent.leases.lease_of(MARKS_TASK).highest_granted_term
        return MarkRequest(
            operation, agent.replica.make_request_id(), term, "out", subject, on, "staff", "a test"
        )

    def mark(self, name: str, subject: str, on: bool) -> None:
        replica, node = self._replica(name), self.nodes[name]
        if replica is not None:
            mark = self._mark_request(name, "mark", subject, on)
            replica.write_mark(self.clock_us(node), mark, lambda answer: None, OPERATOR_TIMEOUT_US)
            self._run_soon(node)

    def mark_locally(self, name: str, subject: str, on: bool) -> None:
        replica, node = self._replica(name), self.nodes[name]
        if replica is not None:
            replica.write_mark_locally(self.clock_us(node), self._mark_request(name, "mark", subject, on))

    def read_mark(self, name: str, subject: str) -> None:
        replica, node = self._replica(name), self.nodes[name]
        if replica is not None:
            replica.read_mark(self.clock_us(node), "out", subject, lambda words: None, OPERATOR_TIMEOUT_US)
            self._run_soon(node)

    def _run_soon(self, node: VirtualNode) -> None:
        if not node.paused:
            self._schedule_turn(node, 0)

    def corrupt_mark(self, name: str) -> None:
        replica = self._replica(name)
        keys = [r.key for r in replica.store.iterate_records("out")] if replica is not None else []
        if replica is not None and keys:
            key = self._random.choice(keys)
            self.row("fault", name, what="spoil", subject="/".join(key[:2]))
            replica.store.corrupt(key)

    # ------------------------------------------------------------------ the network

    def _transmit(self, node: VirtualNode, outgoing: OutgoingEnvelope) -> None:
        self._sent_count += 1
        kind = type(outgoing.envelope.body).__name__
        self.message_counts[kind] = self.message_counts.get(kind, 0) + 1
        if self._sent_count % MESSAGE_ENCODING_INTERVAL == 0:
            self.encoded_count += 1
            self.bytes += len(encode_envelope(outgoing.envelope))
        receiver = self._nodes_by_address.get(outgoing.address)
        rng = self._random
        if receiver is None or self._is_cut(node.name, receiver.name):
            return
        for _ in range(1 + (rng.random() < self._duplicate_share)):
            if rng.random() < self._loss_share:
                continue
            wait_us = int(rng.uniform(*self._delay_us))
            wait_us = max(wait_us, node.delayed_until_us - self.time.now_us if rng.random() < 0.5 else 0)
            self.time.after(wait_us, self._arrive, node.name, node.address, receiver, outgoing.envelope)

    def _arrive(self, sender: str, address: str, receiver: VirtualNode, envelope: Envelope) -> None:
        if not self._is_cut(sender, receiver.name):
            self._receive(receiver, address, envelope)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return any((sender, receiver) in pairs for pairs in self._blocked_pairs.values())

    def cut(self, one: list[str], other: list[str], both_ways: bool = True) -> int:
        self.record_fault("cut", one=",".join(one), other=",".join(other), both_ways=both_ways)
        self._last_cut += 1
        self._blocked_pairs[self._last_cut] = {(a, b) for a in one for b in other}
        if both_ways:
            self._blocked_pairs[self._last_cut] |= {(b, a) for a in one for b in other}
        return self._last_cut

    def heal(self, cut: int) -> None:
        self.record_fault("heal")
        self._blocked_pairs.pop(cut, None)

    def set_network_faults(
        self, loss_share: float, delay_us: tuple[int, int], duplicate_share: float
    ) -> None:
        self.record_fault("weather", lost=loss_share, delay_us=delay_us, doubled=duplicate_share)
        self._loss_share, self._delay_us, self._duplicate_share = loss_share, delay_us, duplicate_share

    def delay_messages(self, name: str, for_us: int) -> None:
        """Delays half of what the node sends in the next half second until `for_us` from now."""
        self.record_fault("hold-back", node=name, for_us=for_us)
        self.nodes[name].delayed_until_us = self.time.now_us + for_us
        self.time.after(min(for_us, SECOND // 2), self._end_message_delay, name)

    def _end_message_delay(self, name: str) -> None:
        """Stops delaying what the node sends from now on; what it has sent stays delayed."""
        self.nodes[name].delayed_until_us = 0

    # ------------------------------------------------------------------ leaders and permits

    def leader_of(self, task: str) -> str | None:
        for node in self.nodes.values():
            if node.agent is not None and node.agent.leases.held_term(task, self.clock_us(node)):
                return node.name
        return None

    def tasks(self) -> list[str]:
        agents = [node.agent for node in self.nodes.values() if node.agent is not None]
        return sorted(
            {task for agent in agents if agent.members.has_joined for task in agent.candidate_tasks()}
        )

    def request_permit(self, name: str, kind: str, subject: str, for_us: int) -> None:
        agent = self.nodes[name].agent
        if agent is None or agent.permit_holder is None or self.nodes[name].paused:
            return
        if (kind, subject) in agent.permit_holder.permits:
            return
        agent.permit_holder.request(kind, subject)
        start_count = self.nodes[name].start_count
        previous = agent.on_permit_change

        # Releases the permit `for_us` after it is held. The handlers of earlier requests remain.
        def on_permit_change(change: PermitChange) -> None:
            previous(change)
            if change.is_held and (change.kind, change.subject) == (kind, subject):
                self.time.after(for_us, self._release_permit, name, start_count, kind, subject)

        agent.on_permit_change = on_permit_change

    def _release_permit(self, name: str, start_count: int, kind: str, subject: str) -> None:
        node = self.nodes[name]
        if node.agent is None or node.start_count != start_count or node.agent.permit_holder is None:
            return
        if node.paused:
            self.time.after(SECOND, self._release_permit, name, start_count, kind, subject)
            return
        node.agent.permit_holder.release(self.clock_us(node), kind, subject)
        self._send(node, node.agent._publish_changes(self.clock_us(node)))

    def hand_over(self, name: str) -> None:
        """Does nothing: only `ShardFleet` has nodes that own shards."""

    def begin_rolling_drain(self, name: str, names: list[str], for_us: int) -> None:
        agent = self.nodes[name].agent
        if agent is not None:
            self.record_fault("walk", node=name, names=",".join(names))
            agent.rolling_drains.begin(self.clock_us(self.nodes[name]), f"walk-{self._seed}", names, for_us)
