"""Whose votes count: the voters, and while one of them is exchanged, the voters before as well."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from sailrun.leadership.settings import LeadershipSettings


class Voters:
    """A majority is one of the voters, and of those before where they are named: any two of two neighbouring
    stages have a voter in common.
    """

    def __init__(self, settings: LeadershipSettings, disabled_rules: frozenset[str] = frozenset()) -> None:
        self._voter_sets = [settings.voters, *([settings.voters_before] if settings.voters_before else [])]
        self.stage = settings.stage
        self._disabled_rules = disabled_rules

    def names(self) -> list[str]:
        """Every voter's name, by name."""
        return sorted({name for names in self._voter_sets for name in names})

    def is_majority(self, names: Collection[str]) -> bool:
        """Whether these names are a majority of every set of voters that counts."""
        if "majority" in self._disabled_rules:
            return bool(names)
        return all(2 * sum(1 for n in voters if n in names) > len(voters) for voters in self._voter_sets)

    def accepts_stage(self, stage: int) -> bool:
        """Whether a voter may grant to one that counts the voters of another stage: the next one, never an
        older one, nor any further off, whose majorities might have nobody in common with these.
        """
        return self.stage <= stage <= self.stage + 1

    def majority_time_us(self, until: dict[str, int]) -> int:
        """When the latest time has come that a majority stands for; 0: no majority."""
        ends = []
        for voters in self._voter_sets:
            times = sorted((until[n] for n in voters if n in until), reverse=True)
            needed = 1 if "majority" in self._disabled_rules else len(voters) // 2 + 1
            if len(times) < needed:
                return 0
            ends.append(times[needed - 1])
        return min(ends)


def check_voters(voters: Iterable[str]) -> str | None:
    """What is wrong with a set of voters; None: nothing."""
    names = list(voters)
    if len(set(names)) != len(names):
        return "names a voter twice"
    if len(names) not in (3, 5, 7):
        return f"names {len(names)} voters: 3, 5 or 7 are needed, so that there is a majority"
    return None
