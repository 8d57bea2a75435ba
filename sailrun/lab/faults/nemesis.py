"""Fault injection: a seeded schedule of faults, the same in virtual time and on real processes.

The target of a fault is given by role (the leader of a task, some voters) and is resolved when the fault is
due, because it cannot be known earlier. Every fault except the message loss, delay and duplicates that a plan
sets at the start ends before the run does, so that the checks can require the fleet to have recovered by the
end. Only a message that was delayed for long may arrive later.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sailrun.lab.faults.history import Row

SECOND = 1_000_000
# Times in seconds at the start of a run, in which nodes join, and at its end, in which by default no repeated
# fault begins. Message loss and delay apply throughout.
FAULT_FREE_BEGIN_S, FAULT_FREE_END_S = 6.0, 14.0


class Fleet(Protocol):
    """The operations that a nemesis needs; each driver (virtual time, real processes) implements them."""

    names: list[str]
    voters: list[str]
    rows: list[Row]

    def after(self, wait_us: int, action: Callable[..., None], *arguments: object) -> None: ...
    def leader_of(self, task: str) -> str | None: ...
    def tasks(self) -> list[str]: ...
    def kill(self, name: str) -> None: ...
    def start(self, name: str, clock_s: float = 0.0) -> None: ...
    def leave(self, name: str) -> None: ...
    # Pauses a node, with `in_send` between its next lease check and the send if the driver can do so; returns
    # the number to pass to `resume`.
    def pause(self, name: str, in_send: bool = False) -> int: ...
    # Resumes a node, unless it was paused again since that pause.
    def resume(self, name: str, pause_number: int) -> None: ...
    # Drops the messages from `one` to `other`, and with `both_ways` also those back; returns the number to
    # pass to `heal`.
    def cut(self, one: list[str], other: list[str], both_ways: bool = True) -> int: ...
    def heal(self, cut: int) -> None: ...
    # Sets the shares of messages that are lost and duplicated, and the range of the delay.
    def set_network_faults(
        self, loss_share: float, delay_us: tuple[int, int], duplicate_share: float
    ) -> None: ...
    # Delays half of what the node sends in the next half second until `for_us` from now.
    def delay_messages(self, name: str, for_us: int) -> None: ...
    def request_permit(self, name: str, kind: str, subject: str, for_us: int) -> None: ...
    # Makes a node hand over its shards as before a planned shutdown; only for fleets with shards.
    def hand_over(self, name: str) -> None: ...
    def begin_rolling_drain(self, name: str, names: list[str], for_us: int) -> None: ...
    def record_fault(self, what: str, **facts: object) -> None: ...
    def end_after(self, wait_us: int) -> None: ...
    def mark(self, name: str, subject: str, on: bool) -> None: ...
    def mark_locally(self, name: str, subject: str, on: bool) -> None: ...
    def read_mark(self, name: str, subject: str) -> None: ...
    def corrupt_mark(self, name: str) -> None: ...
    def power_cut(self, names: list[str]) -> None: ...
    def stall_disk(self, name: str, for_us: int) -> None: ...
    def fill_disks(self, names: list[str], for_us: int) -> None: ...
    def back_up_folder(self, name: str) -> None: ...
    def restore_folder(self, name: str) -> None: ...


@dataclass(frozen=True, slots=True)
class Plan:
    """One kind of run. Times are in seconds."""

    name: str
    about: str
    script: Callable[[Nemesis], None]
    seconds: float = 40.0
    permits: bool = False
    replicas: bool = False
    conflicting_marks: bool = False  # operators set conflicting marks on the two sides of a partition
    storage: bool = False  # each node has its own storage folder
    older_folders: bool = False  # older storage folders are restored
    fault_free_begin_s: float = FAULT_FREE_BEGIN_S
    fault_free_end_s: float = FAULT_FREE_END_S


class Nemesis:
    """Schedules the faults of a plan, determined by a seed."""

    def __init__(self, fleet: Fleet, plan: Plan, seed: int, seconds: float, lease_s: float) -> None:
        self.fleet, self.random = fleet, random.Random(f"{plan.name}/{seed}")
        self.seconds, self.lease_s = seconds, lease_s
        self.first_s = plan.fault_free_begin_s
        self.last_s = max(self.first_s + 1.0, seconds - plan.fault_free_end_s)
        plan.script(self)

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Schedules a fault, at the latest at the last time at which a repeated fault may begin."""
        self.fleet.after(int(min(when_s, self.last_s) * SECOND), action)

    def every(self, min_s: float, max_s: float, action: Callable[[], None]) -> None:
        """Schedules the fault repeatedly, with a random interval, until the last time at which a fault may
        begin.
        """
        when_s = self.first_s + self.random.uniform(0, max_s - min_s)
        while when_s < self.last_s:
            self.at(when_s, action)
            when_s += self.random.uniform(min_s, max_s)

    def later(self, wait_s: float, action: Callable[..., None], *arguments: object) -> None:
        self.fleet.after(int(wait_s * SECOND), action, *arguments)

    def pick_target(self) -> str:
        """Returns the leader of a random task in 85% of the cases, otherwise a random node."""
        tasks = self.fleet.tasks()
        leader = self.fleet.leader_of(self.random.choice(tasks)) if tasks else None
        return (
            leader
            if leader is not None and self.random.random() < 0.85
            else self.random.choice(self.fleet.names)
        )

    def schedule_leader_fault(self, when_s: float, fault: Callable[[str], None]) -> None:
        """Applies the fault in every run, independent of the random faults, to the leader of a random task,
        at `when_s` or as soon after it as a task has a leader (tried every 0.5 s).
        """

        def attempt() -> None:
            leaders = [o for o in map(self.fleet.leader_of, self.fleet.tasks()) if o is not None]
            if leaders:
                fault(self.random.choice(leaders))
            else:
                self.later(0.5, attempt)

        self.at(when_s, attempt)

    # ------------------------------------------------------------------ faults

    def kill_for(self, name: str, for_s: float) -> None:
        self.fleet.kill(name)
        self.later(for_s, self.fleet.start, name)

    def pause_for(self, name: str, for_s: float) -> None:
        self.later(for_s, self.fleet.resume, name, self.fleet.pause(name))

    def cut_off(self, name: str, for_s: float, both_ways: bool) -> None:
        """Cuts a node off from all other voters, but not from the other nodes."""
        self.cut_for(for_s, [name], [v for v in self.fleet.voters if v != name], both_ways)

    def cut_for(self, for_s: float, one: list[str], other: list[str], both_ways: bool = True) -> None:
        self.later(for_s, self.fleet.heal, self.fleet.cut(one, other, both_ways))

    def kill_one(self) -> None:
        name = self.pick_target()
        self.fleet.kill(name)
        self.later(self.random.choice((0.05, 1.0, 5.0)), self.fleet.start, name)

    def leave_one(self) -> None:
        name = self.pick_target()
        self.fleet.leave(name)
        self.later(self.random.uniform(1.0, 4.0), self.fleet.start, name)

    def pause_one(self) -> None:
        name = self.pick_target()
        pause_number = self.fleet.pause(name, self.random.random() < 0.5)
        self.later(self.lease_s * self.random.uniform(0.3, 3.0), self.fleet.resume, name, pause_number)

    def set_network_faults(
        self, loss_share: float, min_ms: int, max_ms: int, duplicate_share: float = 0.02
    ) -> None:
        self.fleet.set_network_faults(loss_share, (min_ms * 1000, max_ms * 1000), duplicate_share)

    def partition(self, both_ways: bool) -> None:
        """Partitions the fleet at random: a target from the other voters or from one of them, into two
        halves, or into three parts.
        """
        names, draw = list(self.fleet.names), self.random.random()
        target = self.pick_target()
        for_s = self.random.choice((1.0, 3.0, 8.0))
        self.random.shuffle(names)
        if draw < 0.5:
            others = [v for v in self.fleet.voters if v != target]
            self.cut_for(for_s, [target], others if self.random.random() < 0.6 else others[:1], both_ways)
        elif draw < 0.8:
            half = len(names) // 2
            self.cut_for(for_s, names[:half], names[half:], both_ways)
        else:
            third = max(1, len(names) // 3)
            parts = [names[:third], names[third : 2 * third], names[2 * third :]]
            for n, one in enumerate(parts):
                self.cut_for(for_s, one, parts[(n + 1) % 3], both_ways)


def _kill_leaders(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(nemesis.random.choice((0.0, 0.02, 0.1)), 1, nemesis.random.choice((3, 30)))
    nemesis.every(4.0, 8.0, lambda: nemesis.random.choice((nemesis.kill_one, nemesis.leave_one))())
    nemesis.schedule_leader_fault(11.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _paused(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 10)
    nemesis.every(3.0, 7.0, nemesis.pause_one)
    nemesis.schedule_leader_fault(11.0, lambda name: nemesis.pause_for(name, 3.0 * nemesis.lease_s))


def _cut(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 20)
    nemesis.every(6.0, 12.0, lambda: nemesis.partition(True))
    nemesis.every(9.0, 15.0, lambda: nemesis.random.choice((nemesis.kill_one, nemesis.pause_one))())
    nemesis.schedule_leader_fault(11.0, lambda name: nemesis.cut_off(name, 3.0 * nemesis.lease_s, True))


def _oneway(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 20)
    nemesis.every(5.0, 10.0, lambda: nemesis.partition(False))
    nemesis.schedule_leader_fault(11.0, lambda name: nemesis.cut_off(name, 3.0 * nemesis.lease_s, False))


def _slow(nemesis: Nemesis) -> None:
    rng, fleet = nemesis.random, nemesis.fleet

    def degrade_network() -> None:
        nemesis.set_network_faults(
            *rng.choice(((0.3, 1, 40), (0.0, 150, 250), (0.1, 5, 900), (0.05, 300, 2500))), 0.1
        )
        nemesis.later(rng.uniform(2.0, 6.0), nemesis.set_network_faults, 0.02, 1, 20)

    def delay_target() -> None:
        fleet.delay_messages(nemesis.pick_target(), int(rng.choice((3.0, 10.0, 30.0)) * SECOND))

    nemesis.set_network_faults(0.02, 1, 20)
    nemesis.every(6.0, 10.0, degrade_network)
    nemesis.every(4.0, 9.0, delay_target)
    nemesis.every(9.0, 14.0, lambda: rng.choice((nemesis.pause_one, nemesis.kill_one))())
    for at_s in (11.0, 30.0):
        nemesis.schedule_leader_fault(at_s, lambda name: nemesis.pause_for(name, 3.0 * nemesis.lease_s))


def _restart(nemesis: Nemesis) -> None:
    rng, fleet = nemesis.random, nemesis.fleet

    def restart_voters() -> None:
        voters = list(fleet.voters)
        rng.shuffle(voters)
        # One voter, a bare majority or all, sometimes with the leader; at once or one by one; the wall clock
        # is the same or off by an hour.
        restarted = set(voters[: rng.choice((1, len(voters) // 2 + 1, len(voters) // 2 + 1, len(voters)))])
        if rng.random() < 0.5:
            restarted.add(nemesis.pick_target())
        clock_s = rng.choice((0.0, 0.0, -3600.0, 3600.0))
        at_once = rng.random() < 0.6
        for n, name in enumerate(sorted(restarted)):
            wait_s = 0.0 if at_once else 0.7 * n
            nemesis.later(wait_s, fleet.kill, name)
            nemesis.later(wait_s + rng.choice((0.02, 0.02, 0.5, 3.0)), fleet.start, name, clock_s)

    def restart_behind_partition() -> None:
        """Cuts off the leader with one voter, and restarts the voters on the other side."""
        leader = nemesis.pick_target()
        kept_voter = next((v for v in fleet.voters if v != leader), leader)
        rest = [n for n in fleet.names if n not in (leader, kept_voter)]
        nemesis.cut_for(rng.uniform(1.0, 5.0), [leader, kept_voter], rest)
        for name in [v for v in fleet.voters if v in rest]:
            nemesis.kill_for(name, 0.05)

    def restart_voter_of_leader() -> None:
        """Partitions the leader from one voter for 3 leases. After 1.2 leases restarts another voter, and at
        the same time partitions the leader from all other voters: if the restarted voter did not abstain, it
        could elect another leader with the voter that does not know the lease.
        """
        leader = nemesis.pick_target()
        others = [v for v in fleet.voters if v != leader]
        rng.shuffle(others)
        nemesis.cut_for(3 * nemesis.lease_s, [leader], others[:1])
        nemesis.later(1.2 * nemesis.lease_s, nemesis.kill_for, others[-1], 0.05)
        nemesis.later(1.2 * nemesis.lease_s, nemesis.cut_for, 1.8 * nemesis.lease_s, [leader], others)

    nemesis.set_network_faults(0.02, 1, 10)
    nemesis.every(
        7.0,
        11.0,
        lambda: rng.choice(
            (restart_voters, restart_voters, restart_behind_partition, restart_voter_of_leader)
        )(),
    )
    nemesis.schedule_leader_fault(12.0, lambda name: nemesis.kill_for(name, 4.0 * nemesis.lease_s))


def _permits(nemesis: Nemesis) -> None:
    rng, fleet = nemesis.random, nemesis.fleet

    def request_permits() -> None:
        for _ in range(rng.randint(1, 4)):
            fleet.request_permit(
                rng.choice(fleet.names),
                "out",
                f"s-{rng.randint(1, 6)}",
                int(rng.uniform(0.5, 6.0) * SECOND),
            )

    def inject_fault() -> None:
        draw = rng.random()
        if draw < 0.35:
            nemesis.kill_one()
        elif draw < 0.6:
            nemesis.pause_one()
        elif draw < 0.85:
            nemesis.partition(rng.random() < 0.7)
        else:
            name = rng.choice(fleet.names)
            fleet.kill(name)
            nemesis.later(2.0, fleet.start, name)

    nemesis.set_network_faults(0.03, 1, 20)
    # Requests for permits every 1.3 s for about 17 s, and one rolling drain.
    for n in range(14):
        nemesis.at(FAULT_FREE_BEGIN_S + 1.3 * n, request_permits)
    drained = rng.sample(fleet.names, min(len(fleet.names), 4))
    nemesis.at(
        FAULT_FREE_BEGIN_S + 1.0, lambda: fleet.begin_rolling_drain(rng.choice(fleet.names), drained, SECOND)
    )
    nemesis.every(4.0, 8.0, inject_fault)


# Form servers that are marked through the leader of the marks task, with a majority, and those that are
# marked locally at one node.
MAJORITY_MARKED, LOCALLY_MARKED = [f"s-{n:08x}" for n in range(4)], [f"s-{n:08x}" for n in range(4, 8)]


class _OperatorCommands:
    """Operator commands at random nodes: marks are set, cleared and read."""

    def __init__(self, nemesis: Nemesis, min_s: float = 0.2, max_s: float = 1.0) -> None:
        self.nemesis, self.fleet, self.random = nemesis, nemesis.fleet, nemesis.random
        nemesis.every(min_s, max_s, self.set_or_read_mark)
        nemesis.every(2.0, 5.0, self.set_mark_locally)

    def set_or_read_mark(self) -> None:
        name, subject = self.random.choice(self.fleet.names), self.random.choice(MAJORITY_MARKED)
        if self.random.random() < 0.4:
            self.fleet.read_mark(name, subject)
        else:
            self.fleet.mark(name, subject, self.random.random() < 0.5)

    def set_mark_locally(self) -> None:
        # The last two servers of LOCALLY_MARKED are for `set_conflicting_marks`.
        self.fleet.mark_locally(
            self.random.choice(self.fleet.names),
            self.random.choice(LOCALLY_MARKED[:2]),
            self.random.random() < 0.5,
        )

    def set_conflicting_marks(self, for_s: float, subject: str) -> None:
        """Partitions the fleet in two, and after half of `for_s` sets a mark on one side and clears it on the
        other.
        """
        names = list(self.fleet.names)
        self.random.shuffle(names)
        half = max(1, len(names) // 2)
        one, other = names[:half], names[half:]
        self.nemesis.cut_for(for_s, one, other)

        # The nodes of `one` set the mark, the others clear it.
        def set_marks() -> None:
            self.fleet.record_fault("apart", subject=f"out/{subject}")
            for name in self.fleet.names:
                self.fleet.mark_locally(name, subject, name in one)

        self.nemesis.later(for_s / 2, set_marks)


def _copies(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(nemesis.random.choice((0.0, 0.05, 0.1)), 1, nemesis.random.choice((3, 30)))
    _OperatorCommands(nemesis)
    nemesis.every(4.0, 8.0, lambda: nemesis.random.choice((nemesis.kill_one, nemesis.pause_one))())
    nemesis.schedule_leader_fault(11.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _copies_cut(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 20)
    operators = _OperatorCommands(nemesis)
    nemesis.every(7.0, 11.0, lambda: nemesis.partition(nemesis.random.random() < 0.8))
    nemesis.at(FAULT_FREE_BEGIN_S + 4.0, lambda: operators.set_conflicting_marks(5.0, LOCALLY_MARKED[2]))
    nemesis.at(FAULT_FREE_BEGIN_S + 18.0, lambda: operators.set_conflicting_marks(4.0, LOCALLY_MARKED[3]))
    nemesis.schedule_leader_fault(15.0, lambda name: nemesis.cut_off(name, 3.0 * nemesis.lease_s, True))


def _copies_return(nemesis: Nemesis) -> None:
    """Nodes are away for longer than deleted marks are retained: cut off, or paused and
    then resumed.
    """
    rng, fleet = nemesis.random, nemesis.fleet

    def isolate_or_pause_one() -> None:
        name = rng.choice(fleet.names)
        others = [n for n in fleet.names if n != name]
        # Longer than DELETION_RETENTION_S and ABSENT_MEMBER_WAIT_S (`runs.py`) together.
        for_s = rng.uniform(9.0, 13.0)
        if rng.random() < 0.6:
            nemesis.cut_for(for_s, [name], others)
        else:
            nemesis.pause_for(name, for_s)

    nemesis.set_network_faults(0.02, 1, 20)
    _OperatorCommands(nemesis, 0.2, 0.6)
    for at_s in (0.0, 9.0, 18.0):
        nemesis.at(FAULT_FREE_BEGIN_S + at_s + rng.uniform(0.0, 4.0), isolate_or_pause_one)
    nemesis.every(8.0, 14.0, nemesis.kill_one)
    nemesis.schedule_leader_fault(20.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _copies_differ(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 20)
    operators = _OperatorCommands(nemesis)
    nemesis.every(1.5, 4.0, lambda: nemesis.fleet.corrupt_mark(nemesis.random.choice(nemesis.fleet.names)))
    nemesis.at(FAULT_FREE_BEGIN_S + 3.0, lambda: operators.set_conflicting_marks(4.0, LOCALLY_MARKED[3]))
    nemesis.at(FAULT_FREE_BEGIN_S + 14.0, lambda: operators.set_conflicting_marks(4.0, LOCALLY_MARKED[2]))
    nemesis.every(8.0, 14.0, nemesis.kill_one)
    nemesis.schedule_leader_fault(18.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _copies_roll(nemesis: Nemesis) -> None:
    """Restarts up to 8 nodes one by one, 3.5 s apart; later restarts half of the nodes twice within about 6
    s, but none of a fixed majority of the voters.
    """
    rng, fleet = nemesis.random, nemesis.fleet

    def restart_half_twice() -> None:
        names = list(fleet.names)
        rng.shuffle(names)
        for name in names[: len(names) // 2]:
            if name in fleet.voters[: len(fleet.voters) // 2 + 1]:
                continue
            for wait_s in (0.0, 5.0):
                nemesis.later(wait_s, fleet.kill, name)
                nemesis.later(wait_s + rng.uniform(0.1, 1.0), fleet.start, name)

    def restart_one_by_one() -> None:
        for n, name in enumerate(fleet.names[:8]):
            nemesis.later(3.5 * n, fleet.kill, name)
            # The wall clock may be a day ahead after the restart.
            nemesis.later(3.5 * n + rng.uniform(0.02, 0.5), fleet.start, name, rng.choice((0.0, 86_400.0)))

    nemesis.set_network_faults(0.02, 1, 10)
    _OperatorCommands(nemesis)
    nemesis.at(FAULT_FREE_BEGIN_S + 1.0, restart_one_by_one)
    nemesis.at(FAULT_FREE_BEGIN_S + 20.0, restart_half_twice)


class _FolderFaults:
    """Faults of nodes that have storage folders."""

    def __init__(self, nemesis: Nemesis) -> None:
        self.nemesis, self.fleet, self.random = nemesis, nemesis.fleet, nemesis.random

    def restart(self, names: list[str], extra_wait_s: float = 0.0) -> None:
        """Kills the processes or cuts the power of their machines; they are started again within about a
        second, some of them `extra_wait_s` later.
        """
        if self.random.random() < 0.5:
            self.fleet.power_cut(names)
        else:
            for name in names:
                self.fleet.kill(name)
        for name in names:
            # The wall clock may be a year behind after the restart.
            clock_s = self.random.choice((0.0, 0.0, 0.0, -31_536_000.0))
            wait_s = 0.3 + self.random.uniform(0.0, 0.7) + self.random.choice((0.0, 0.0, extra_wait_s))
            self.nemesis.later(wait_s, self.fleet.start, name, clock_s)

    def restart_some(self) -> None:
        """Restarts one node, a bare majority of the voters at once, or all voters one after another."""
        voters = list(self.fleet.voters)
        self.random.shuffle(voters)
        draw = self.random.random()
        if draw < 0.4:
            self.restart([self.nemesis.pick_target()])
        elif draw < 0.8:
            self.restart(voters[: len(voters) // 2 + 1])
        else:
            for n, name in enumerate(voters):
                self.nemesis.later(1.2 * n, self.restart, [name])

    def restart_all(self, extra_wait_s: float = 2.0) -> None:
        self.restart(list(self.fleet.names), extra_wait_s)

    def stall_voter_disk(self) -> None:
        """Stalls a voter's disk for 5 s, and kills a node, usually a leader, meanwhile."""
        self.fleet.stall_disk(self.random.choice(self.fleet.voters), 5 * SECOND)
        self.nemesis.later(0.2, self.nemesis.kill_one)

    def fill_voter_disks(self) -> None:
        self.fleet.fill_disks(list(self.fleet.voters), 3 * SECOND)

    def restart_from_backup(self) -> None:
        """Restarts a voter with the storage folder that it had 3 to 6 s before its kill."""
        name, backup_age_s = self.random.choice(self.fleet.voters), self.random.uniform(3.0, 6.0)
        self.fleet.back_up_folder(name)
        self.nemesis.later(backup_age_s, self.fleet.kill, name)
        self.nemesis.later(backup_age_s + 0.8, self.fleet.restore_folder, name)
        self.nemesis.later(backup_age_s + 0.9, self.fleet.start, name)


def _lasting(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 10)
    _OperatorCommands(nemesis)
    folder_faults = _FolderFaults(nemesis)
    nemesis.every(5.0, 8.0, folder_faults.restart_some)
    nemesis.every(
        9.0,
        14.0,
        lambda: nemesis.random.choice((folder_faults.stall_voter_disk, folder_faults.fill_voter_disks))(),
    )
    for at_s in (7.0, 19.0, 31.0):
        # One after another, as a restart from a backup lasts up to 6.9 s: with two of three voters restored
        # at a time, no majority would know the latest promises.
        if at_s + 7.0 < nemesis.last_s:
            nemesis.at(at_s, folder_faults.restart_from_backup)
    # A leader is killed for long enough that the fleet has made changes that its folder does not contain.
    nemesis.schedule_leader_fault(15.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _lasting_all(nemesis: Nemesis) -> None:
    nemesis.set_network_faults(0.02, 1, 10)
    _OperatorCommands(nemesis, 0.1, 0.5)
    folder_faults = _FolderFaults(nemesis)
    nemesis.every(7.0, 10.0, folder_faults.restart_all)
    nemesis.schedule_leader_fault(12.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _lasting_walk(nemesis: Nemesis) -> None:
    """Kills the whole fleet during a rolling drain, twice."""
    rng, fleet = nemesis.random, nemesis.fleet
    nemesis.set_network_faults(0.02, 1, 10)
    folder_faults = _FolderFaults(nemesis)
    drained = rng.sample(fleet.names, min(len(fleet.names), 4))
    initiator = rng.choice(fleet.names)
    nemesis.at(FAULT_FREE_BEGIN_S + 1.0, lambda: fleet.begin_rolling_drain(initiator, drained, SECOND))
    nemesis.at(FAULT_FREE_BEGIN_S + rng.uniform(2.0, 6.0), lambda: folder_faults.restart_all(0.0))
    nemesis.at(FAULT_FREE_BEGIN_S + rng.uniform(12.0, 20.0), lambda: folder_faults.restart_all(0.0))
    nemesis.schedule_leader_fault(
        FAULT_FREE_BEGIN_S + 24.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s)
    )


PLANS = {
    plan.name: plan
    for plan in (
        Plan("owner", "Leaders are killed or leave gracefully, and are restarted.", _kill_leaders),
        Plan(
            "owner-stopped",
            "Leaders are paused for up to three leases, also between the lease check and the send.",
            _paused,
        ),
        Plan(
            "owner-cut",
            "Leaders are cut off from voters; the fleet is partitioned in two and in three.",
            _cut,
        ),
        Plan("owner-oneway", "The partitions of owner-cut, in one direction only.", _oneway),
        Plan(
            "owner-slow",
            "Loss, delay, duplicates, messages delayed for up to 30 s, clocks 1% off.",
            _slow,
            50.0,
        ),
        Plan(
            "owner-restart",
            "Voters restart without their state: one, a majority or all; wall clocks off by an hour.",
            _restart,
        ),
        Plan(
            "permits",
            "Permits are requested while their holders and the leader of the permits task fail.",
            _permits,
            70.0,
            True,
        ),
        Plan(
            "copies",
            "Operators mark form servers; leaders and other nodes are killed and paused.",
            _copies,
            replicas=True,
        ),
        Plan(
            "copies-cut",
            "Operators mark form servers on both sides of partitions.",
            _copies_cut,
            45.0,
            replicas=True,
            conflicting_marks=True,
        ),
        Plan(
            "copies-return",
            "Nodes return after more time than deleted marks are retained.",
            _copies_return,
            60.0,
            replicas=True,
        ),
        Plan(
            "copies-differ",
            "Replicas are corrupted; conflicting marks on two sides of a partition.",
            _copies_differ,
            replicas=True,
            conflicting_marks=True,
        ),
        Plan(
            "copies-roll",
            "Rolling restarts; half the fleet is restarted twice.",
            _copies_roll,
            60.0,
            replicas=True,
        ),
        Plan(
            "lasting",
            "Nodes with storage folders: kills, power cuts, stalled and full disks, older folders.",
            _lasting,
            60.0,
            replicas=True,
            storage=True,
            older_folders=True,
        ),
        Plan(
            "lasting-all",
            "The whole fleet is killed or loses power at once, repeatedly.",
            _lasting_all,
            60.0,
            replicas=True,
            storage=True,
        ),
        Plan(
            "lasting-walk",
            "The whole fleet is killed during a rolling drain.",
            _lasting_walk,
            70.0,
            permits=True,
            storage=True,
        ),
    )
}
