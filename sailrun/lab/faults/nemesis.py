"""What goes wrong, when, and to whom: a script by seed, the same for virtual time and for real processes.

Whom a fault strikes is named by role (the owner of a task, some voters) and found when its time has come, as
nobody can know before who that will be. Every fault ends before the day does, so that what is owed at the
end can be asked for.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sailrun.lab.faults.history import Row

SECOND = 1_000_000
# Nothing goes wrong before all have met, and nothing after this much is left of the day.
CALM_BEGIN_S, CALM_END_S = 6.0, 14.0


class Fleet(Protocol):
    """What a nemesis can do: the drivers offer it."""

    names: list[str]
    voters: list[str]
    rows: list[Row]

    def after(self, wait_us: int, what: Callable[..., None], *facts: object) -> None: ...
    def owner(self, task: str) -> str | None: ...
    def tasks(self) -> list[str]: ...
    def kill(self, name: str) -> None: ...
    def start(self, name: str, clock_s: float = 0.0) -> None: ...
    def leave(self, name: str) -> None: ...
    def stop(self, name: str, in_send: bool = False) -> int: ...
    def go_on(self, name: str, stop: int) -> None: ...
    def cut(self, one: list[str], other: list[str], both_ways: bool = True) -> int: ...
    def heal(self, cut: int) -> None: ...
    def weather(self, lost: float, delay_us: tuple[int, int], doubled: float) -> None: ...
    def hold_back(self, name: str, for_us: int) -> None: ...
    def want(self, name: str, kind: str, subject: str, for_us: int) -> None: ...
    def hand_over(self, name: str) -> None: ...
    def begin_rolling_drain(self, name: str, names: list[str], for_us: int) -> None: ...
    def told(self, what: str, **facts: object) -> None: ...
    def finish(self, wait_us: int) -> None: ...
    def mark(self, name: str, subject: str, on: bool) -> None: ...
    def mark_here(self, name: str, subject: str, on: bool) -> None: ...
    def look(self, name: str, subject: str) -> None: ...
    def spoil(self, name: str) -> None: ...
    def power_cut(self, names: list[str]) -> None: ...
    def stall(self, name: str, for_us: int) -> None: ...
    def fill(self, names: list[str], for_us: int) -> None: ...
    def back_up(self, name: str) -> None: ...
    def restore(self, name: str) -> None: ...


@dataclass(frozen=True, slots=True)
class Plan:
    """One kind of day. Times in seconds."""

    name: str
    about: str
    script: Callable[[Nemesis], None]
    seconds: float = 40.0
    permits: bool = False
    copies: bool = False
    apart: bool = False  # staff say two things on two sides of a cut
    lasting: bool = False  # each node has a folder of its own
    older: bool = False  # folders of before are put back
    calm_begin_s: float = CALM_BEGIN_S
    calm_end_s: float = CALM_END_S


class Nemesis:
    """Carries a plan out, by a seed."""

    def __init__(self, fleet: Fleet, plan: Plan, seed: int, seconds: float, lease_s: float) -> None:
        self.fleet, self.luck = fleet, random.Random(f"{plan.name}/{seed}")
        self.seconds, self.lease_s = seconds, lease_s
        self.first_s = plan.calm_begin_s
        self.last_s = max(self.first_s + 1.0, seconds - plan.calm_end_s)
        plan.script(self)

    def at(self, when_s: float, what: Callable[[], None]) -> None:
        self.fleet.after(int(min(when_s, self.last_s) * SECOND), what)

    def every(self, least_s: float, most_s: float, what: Callable[[], None]) -> None:
        """Again and again, for as long as things may go wrong."""
        when_s = self.first_s + self.luck.uniform(0, most_s - least_s)
        while when_s < self.last_s:
            self.at(when_s, what)
            when_s += self.luck.uniform(least_s, most_s)

    def later(self, wait_s: float, what: Callable[..., None], *facts: object) -> None:
        self.fleet.after(int(wait_s * SECOND), what, *facts)

    def victim(self) -> str:
        """The owner of some task, most of the time; else anybody."""
        tasks = self.fleet.tasks()
        owner = self.fleet.owner(self.luck.choice(tasks)) if tasks else None
        return (
            owner if owner is not None and self.luck.random() < 0.85 else self.luck.choice(self.fleet.names)
        )

    def surely(self, when_s: float, strike: Callable[[str], None]) -> None:
        """Strikes an owner, whatever chance did elsewhere; where there is none just now, a little later."""

        def now() -> None:
            owners = [o for o in map(self.fleet.owner, self.fleet.tasks()) if o is not None]
            if owners:
                strike(self.luck.choice(owners))
            else:
                self.later(0.5, now)

        self.at(when_s, now)

    # ------------------------------------------------------------------ faults

    def kill_for(self, name: str, for_s: float) -> None:
        self.fleet.kill(name)
        self.later(for_s, self.fleet.start, name)

    def stop_for(self, name: str, for_s: float) -> None:
        self.later(for_s, self.fleet.go_on, name, self.fleet.stop(name))

    def cut_off(self, name: str, for_s: float, both_ways: bool) -> None:
        """From all other voters, not from the rest."""
        self.cut_for(for_s, [name], [v for v in self.fleet.voters if v != name], both_ways)

    def cut_for(self, for_s: float, one: list[str], other: list[str], both_ways: bool = True) -> None:
        self.later(for_s, self.fleet.heal, self.fleet.cut(one, other, both_ways))

    def kill_one(self) -> None:
        name = self.victim()
        self.fleet.kill(name)
        self.later(self.luck.choice((0.05, 1.0, 5.0)), self.fleet.start, name)

    def leave_one(self) -> None:
        name = self.victim()
        self.fleet.leave(name)
        self.later(self.luck.uniform(1.0, 4.0), self.fleet.start, name)

    def stop_one(self) -> None:
        name = self.victim()
        stop = self.fleet.stop(name, self.luck.random() < 0.5)
        self.later(self.lease_s * self.luck.uniform(0.3, 3.0), self.fleet.go_on, name, stop)

    def weather(self, lost: float, least_ms: int, most_ms: int, doubled: float = 0.02) -> None:
        self.fleet.weather(lost, (least_ms * 1000, most_ms * 1000), doubled)

    def part(self, both_ways: bool) -> None:
        """Cuts the fleet: the owner from the voters, in halves, or in three."""
        names, how = list(self.fleet.names), self.luck.random()
        owner = self.victim()
        for_s = self.luck.choice((1.0, 3.0, 8.0))
        self.luck.shuffle(names)
        if how < 0.5:
            others = [v for v in self.fleet.voters if v != owner]
            self.cut_for(for_s, [owner], others if self.luck.random() < 0.6 else others[:1], both_ways)
        elif how < 0.8:
            half = len(names) // 2
            self.cut_for(for_s, names[:half], names[half:], both_ways)
        else:
            third = max(1, len(names) // 3)
            parts = [names[:third], names[third : 2 * third], names[2 * third :]]
            for n, one in enumerate(parts):
                self.cut_for(for_s, one, parts[(n + 1) % 3], both_ways)


def _owner(nemesis: Nemesis) -> None:
    nemesis.weather(nemesis.luck.choice((0.0, 0.02, 0.1)), 1, nemesis.luck.choice((3, 30)))
    nemesis.every(4.0, 8.0, lambda: nemesis.luck.choice((nemesis.kill_one, nemesis.leave_one))())
    nemesis.surely(11.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _stopped(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 10)
    nemesis.every(3.0, 7.0, nemesis.stop_one)
    nemesis.surely(11.0, lambda name: nemesis.stop_for(name, 3.0 * nemesis.lease_s))


def _cut(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 20)
    nemesis.every(6.0, 12.0, lambda: nemesis.part(True))
    nemesis.every(9.0, 15.0, lambda: nemesis.luck.choice((nemesis.kill_one, nemesis.stop_one))())
    nemesis.surely(11.0, lambda name: nemesis.cut_off(name, 3.0 * nemesis.lease_s, True))


def _oneway(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 20)
    nemesis.every(5.0, 10.0, lambda: nemesis.part(False))
    nemesis.surely(11.0, lambda name: nemesis.cut_off(name, 3.0 * nemesis.lease_s, False))


def _slow(nemesis: Nemesis) -> None:
    luck, fleet = nemesis.luck, nemesis.fleet

    def storm() -> None:
        nemesis.weather(*luck.choice(((0.3, 1, 40), (0.0, 150, 250), (0.1, 5, 900), (0.05, 300, 2500))), 0.1)
        nemesis.later(luck.uniform(2.0, 6.0), nemesis.weather, 0.02, 1, 20)

    def hold() -> None:
        fleet.hold_back(nemesis.victim(), int(luck.choice((3.0, 10.0, 30.0)) * SECOND))

    nemesis.weather(0.02, 1, 20)
    nemesis.every(6.0, 10.0, storm)
    nemesis.every(4.0, 9.0, hold)
    nemesis.every(9.0, 14.0, lambda: luck.choice((nemesis.stop_one, nemesis.kill_one))())
    for at_s in (11.0, 30.0):
        nemesis.surely(at_s, lambda name: nemesis.stop_for(name, 3.0 * nemesis.lease_s))


def _restart(nemesis: Nemesis) -> None:
    luck, fleet = nemesis.luck, nemesis.fleet

    def many() -> None:
        voters = list(fleet.voters)
        luck.shuffle(voters)
        # All voters, a bare majority, or one, with the owner; at once or one by one; clocks set elsewhere.
        struck = set(voters[: luck.choice((1, len(voters) // 2 + 1, len(voters) // 2 + 1, len(voters)))])
        if luck.random() < 0.5:
            struck.add(nemesis.victim())
        clock_s = luck.choice((0.0, 0.0, -3600.0, 3600.0))
        at_once = luck.random() < 0.6
        for n, name in enumerate(sorted(struck)):
            wait_s = 0.0 if at_once else 0.7 * n
            nemesis.later(wait_s, fleet.kill, name)
            nemesis.later(wait_s + luck.choice((0.02, 0.02, 0.5, 3.0)), fleet.start, name, clock_s)

    def behind_a_cut() -> None:
        """The owner and one voter on one side, the others restarted on the other."""
        owner = nemesis.victim()
        kept = next((v for v in fleet.voters if v != owner), owner)
        rest = [n for n in fleet.names if n not in (owner, kept)]
        nemesis.cut_for(luck.uniform(1.0, 5.0), [owner, kept], rest)
        for name in [v for v in fleet.voters if v in rest]:
            nemesis.kill_for(name, 0.05)

    def voter_twice() -> None:
        """A voter of the owner's majority restarts while another one hears nothing of the owner."""
        owner = nemesis.victim()
        others = [v for v in fleet.voters if v != owner]
        luck.shuffle(others)
        nemesis.cut_for(3 * nemesis.lease_s, [owner], others[:1])
        nemesis.later(1.2 * nemesis.lease_s, nemesis.kill_for, others[-1], 0.05)
        nemesis.later(1.2 * nemesis.lease_s, nemesis.cut_for, 1.8 * nemesis.lease_s, [owner], others)

    nemesis.weather(0.02, 1, 10)
    nemesis.every(7.0, 11.0, lambda: luck.choice((many, many, behind_a_cut, voter_twice))())
    nemesis.surely(12.0, lambda name: nemesis.kill_for(name, 4.0 * nemesis.lease_s))


def _permits(nemesis: Nemesis) -> None:
    luck, fleet = nemesis.luck, nemesis.fleet

    def want() -> None:
        for _ in range(luck.randint(1, 4)):
            fleet.want(
                luck.choice(fleet.names),
                "out",
                f"s-{luck.randint(1, 6)}",
                int(luck.uniform(0.5, 6.0) * SECOND),
            )

    def trouble() -> None:
        how = luck.random()
        if how < 0.35:
            nemesis.kill_one()
        elif how < 0.6:
            nemesis.stop_one()
        elif how < 0.85:
            nemesis.part(luck.random() < 0.7)
        else:
            name = luck.choice(fleet.names)
            fleet.kill(name)
            nemesis.later(2.0, fleet.start, name)

    nemesis.weather(0.03, 1, 20)
    for n in range(14):
        nemesis.at(CALM_BEGIN_S + 1.3 * n, want)
    walkers = luck.sample(fleet.names, min(len(fleet.names), 4))
    nemesis.at(
        CALM_BEGIN_S + 1.0, lambda: fleet.begin_rolling_drain(luck.choice(fleet.names), walkers, SECOND)
    )
    nemesis.every(4.0, 8.0, trouble)


# Form servers that staff mark by the owner, and those that they mark on a node's own word.
STRONG, WEAK = [f"s-{n:08x}" for n in range(4)], [f"s-{n:08x}" for n in range(4, 8)]


class _Staff:
    """Staff at work at any node: marks, marks taken back, and looks."""

    def __init__(self, nemesis: Nemesis, least_s: float = 0.2, most_s: float = 1.0) -> None:
        self.nemesis, self.fleet, self.luck = nemesis, nemesis.fleet, nemesis.luck
        nemesis.every(least_s, most_s, self.strong)
        nemesis.every(2.0, 5.0, self.weak)

    def strong(self) -> None:
        name, subject = self.luck.choice(self.fleet.names), self.luck.choice(STRONG)
        if self.luck.random() < 0.4:
            self.fleet.look(name, subject)
        else:
            self.fleet.mark(name, subject, self.luck.random() < 0.5)

    def weak(self) -> None:
        # The last ones are for words on two sides of a cut.
        self.fleet.mark_here(
            self.luck.choice(self.fleet.names), self.luck.choice(WEAK[:2]), self.luck.random() < 0.5
        )

    def on_both_sides(self, for_s: float, subject: str) -> None:
        """A mark that all know; then a cut, out again on one side and back on the other."""
        names = list(self.fleet.names)
        self.luck.shuffle(names)
        half = max(1, len(names) // 2)
        one, other = names[:half], names[half:]
        self.nemesis.cut_for(for_s, one, other)

        def words() -> None:
            self.fleet.told("apart", subject=f"out/{subject}")
            for name in self.fleet.names:
                self.fleet.mark_here(name, subject, name in one)

        self.nemesis.later(for_s / 2, words)


def _copies(nemesis: Nemesis) -> None:
    nemesis.weather(nemesis.luck.choice((0.0, 0.05, 0.1)), 1, nemesis.luck.choice((3, 30)))
    _Staff(nemesis)
    nemesis.every(4.0, 8.0, lambda: nemesis.luck.choice((nemesis.kill_one, nemesis.stop_one))())
    nemesis.surely(11.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _copies_cut(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 20)
    staff = _Staff(nemesis)
    nemesis.every(7.0, 11.0, lambda: nemesis.part(nemesis.luck.random() < 0.8))
    nemesis.at(CALM_BEGIN_S + 4.0, lambda: staff.on_both_sides(5.0, WEAK[2]))
    nemesis.at(CALM_BEGIN_S + 18.0, lambda: staff.on_both_sides(4.0, WEAK[3]))
    nemesis.surely(15.0, lambda name: nemesis.cut_off(name, 3.0 * nemesis.lease_s, True))


def _copies_return(nemesis: Nemesis) -> None:
    """Nodes away for longer than what was taken back is remembered, by a cut or with an empty copy."""
    luck, fleet = nemesis.luck, nemesis.fleet

    def away() -> None:
        name = luck.choice(fleet.names)
        others = [n for n in fleet.names if n != name]
        for_s = luck.uniform(9.0, 13.0)
        if luck.random() < 0.6:
            nemesis.cut_for(for_s, [name], others)
        else:
            nemesis.stop_for(name, for_s)

    nemesis.weather(0.02, 1, 20)
    _Staff(nemesis, 0.2, 0.6)
    for at_s in (0.0, 9.0, 18.0):
        nemesis.at(CALM_BEGIN_S + at_s + luck.uniform(0.0, 4.0), away)
    nemesis.every(8.0, 14.0, nemesis.kill_one)
    nemesis.surely(20.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _copies_differ(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 20)
    staff = _Staff(nemesis)
    nemesis.every(1.5, 4.0, lambda: nemesis.fleet.spoil(nemesis.luck.choice(nemesis.fleet.names)))
    nemesis.at(CALM_BEGIN_S + 3.0, lambda: staff.on_both_sides(4.0, WEAK[3]))
    nemesis.at(CALM_BEGIN_S + 14.0, lambda: staff.on_both_sides(4.0, WEAK[2]))
    nemesis.every(8.0, 14.0, nemesis.kill_one)
    nemesis.surely(18.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _copies_roll(nemesis: Nemesis) -> None:
    """Rolling restarts, half the fleet twice within 10 s, a majority of the voters one after another."""
    luck, fleet = nemesis.luck, nemesis.fleet

    def half_twice() -> None:
        names = list(fleet.names)
        luck.shuffle(names)
        for name in names[: len(names) // 2]:
            if name in fleet.voters[: len(fleet.voters) // 2 + 1]:
                continue
            for wait_s in (0.0, 5.0):
                nemesis.later(wait_s, fleet.kill, name)
                nemesis.later(wait_s + luck.uniform(0.1, 1.0), fleet.start, name)

    def rolling() -> None:
        for n, name in enumerate(fleet.names[:8]):
            nemesis.later(3.5 * n, fleet.kill, name)
            nemesis.later(3.5 * n + luck.uniform(0.02, 0.5), fleet.start, name, luck.choice((0.0, 86_400.0)))

    nemesis.weather(0.02, 1, 10)
    _Staff(nemesis)
    nemesis.at(CALM_BEGIN_S + 1.0, rolling)
    nemesis.at(CALM_BEGIN_S + 20.0, half_twice)


class _Folders:
    """What befalls nodes that have folders."""

    def __init__(self, nemesis: Nemesis) -> None:
        self.nemesis, self.fleet, self.luck = nemesis, nemesis.fleet, nemesis.luck

    def down(self, names: list[str], late_s: float = 0.0) -> None:
        """Their processes are killed, or their machines lose their power; all are back within a second or
        so.
        """
        if self.luck.random() < 0.5:
            self.fleet.power_cut(names)
        else:
            for name in names:
                self.fleet.kill(name)
        for name in names:
            clock_s = self.luck.choice((0.0, 0.0, 0.0, -31_536_000.0))
            wait_s = 0.3 + self.luck.uniform(0.0, 0.7) + self.luck.choice((0.0, 0.0, late_s))
            self.nemesis.later(wait_s, self.fleet.start, name, clock_s)

    def some(self) -> None:
        """One, a bare majority of the voters, or with luck the owner's voters one after another."""
        voters = list(self.fleet.voters)
        self.luck.shuffle(voters)
        how = self.luck.random()
        if how < 0.4:
            self.down([self.nemesis.victim()])
        elif how < 0.8:
            self.down(voters[: len(voters) // 2 + 1])
        else:
            for n, name in enumerate(voters):
                self.nemesis.later(1.2 * n, self.down, [name])

    def everybody(self, late_s: float = 2.0) -> None:
        self.down(list(self.fleet.names), late_s)

    def slow_disk(self) -> None:
        """A voter's disk does nothing for 5 s, and the owner of something is killed meanwhile."""
        self.fleet.stall(self.luck.choice(self.fleet.voters), 5 * SECOND)
        self.nemesis.later(0.2, self.nemesis.kill_one)

    def full(self) -> None:
        self.fleet.fill(list(self.fleet.voters), 3 * SECOND)

    def from_a_backup(self) -> None:
        """A voter comes back with the folder that it had some seconds before."""
        name, ago_s = self.luck.choice(self.fleet.voters), self.luck.uniform(3.0, 6.0)
        self.fleet.back_up(name)
        self.nemesis.later(ago_s, self.fleet.kill, name)
        self.nemesis.later(ago_s + 0.8, self.fleet.restore, name)
        self.nemesis.later(ago_s + 0.9, self.fleet.start, name)


def _lasting(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 10)
    _Staff(nemesis)
    folders = _Folders(nemesis)
    nemesis.every(5.0, 8.0, folders.some)
    nemesis.every(9.0, 14.0, lambda: nemesis.luck.choice((folders.slow_disk, folders.full))())
    for at_s in (7.0, 19.0, 31.0):
        # One after another: two older folders at a time are more than a majority of three bears.
        if at_s + 7.0 < nemesis.last_s:
            nemesis.at(at_s, folders.from_a_backup)
    # An owner is struck, and comes back late enough for its folder to be older than what has been done since.
    nemesis.surely(15.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _lasting_all(nemesis: Nemesis) -> None:
    nemesis.weather(0.02, 1, 10)
    _Staff(nemesis, 0.1, 0.5)
    folders = _Folders(nemesis)
    nemesis.every(7.0, 10.0, folders.everybody)
    nemesis.surely(12.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


def _lasting_walk(nemesis: Nemesis) -> None:
    """The whole fleet is killed amid a rolling drain, and staff begin the same one again."""
    luck, fleet = nemesis.luck, nemesis.fleet
    nemesis.weather(0.02, 1, 10)
    folders = _Folders(nemesis)
    walkers = luck.sample(fleet.names, min(len(fleet.names), 4))
    begins = luck.choice(fleet.names)
    nemesis.at(CALM_BEGIN_S + 1.0, lambda: fleet.begin_rolling_drain(begins, walkers, SECOND))
    nemesis.at(CALM_BEGIN_S + luck.uniform(2.0, 6.0), lambda: folders.everybody(0.0))
    nemesis.at(CALM_BEGIN_S + luck.uniform(12.0, 20.0), lambda: folders.everybody(0.0))
    nemesis.surely(CALM_BEGIN_S + 24.0, lambda name: nemesis.kill_for(name, 2.0 * nemesis.lease_s))


PLANS = {
    plan.name: plan
    for plan in (
        Plan("owner", "Owners are killed, or leave in good order, and come back.", _owner),
        Plan(
            "owner-stopped", "Owners stop for longer than a lease, also in the middle of sending.", _stopped
        ),
        Plan("owner-cut", "Owners are cut off from voters; the fleet is cut in halves and in three.", _cut),
        Plan("owner-oneway", "The same, one way only.", _oneway),
        Plan("owner-slow", "Loss, delay, doubles, what was held back for 30 s, clocks 1% off.", _slow, 50.0),
        Plan(
            "owner-restart", "Voters lose their memory: one, a majority, all; clocks set elsewhere.", _restart
        ),
        Plan("permits", "Permits wanted while their holders and owner fail.", _permits, 70.0, True),
        Plan("copies", "Staff mark form servers; owners and others die and stop.", _copies, copies=True),
        Plan(
            "copies-cut", "Staff at work on both sides of cuts.", _copies_cut, 45.0, copies=True, apart=True
        ),
        Plan(
            "copies-return",
            "Nodes return from longer away than what was taken back is remembered.",
            _copies_return,
            60.0,
            copies=True,
        ),
        Plan(
            "copies-differ",
            "Copies spoilt, and words on two sides of a cut.",
            _copies_differ,
            copies=True,
            apart=True,
        ),
        Plan("copies-roll", "Rolling restarts, half the fleet twice.", _copies_roll, 60.0, copies=True),
        Plan(
            "lasting",
            "Nodes with folders: killed, without power, disks slow and full, folders of before.",
            _lasting,
            60.0,
            copies=True,
            lasting=True,
            older=True,
        ),
        Plan(
            "lasting-all",
            "The whole fleet at once is killed or without power, again and again.",
            _lasting_all,
            60.0,
            copies=True,
            lasting=True,
        ),
        Plan(
            "lasting-walk",
            "The whole fleet is killed amid a rolling drain.",
            _lasting_walk,
            70.0,
            permits=True,
            lasting=True,
        ),
    )
}
