"""Determines majorities of the voters; while a voter is being replaced, also of the previous voters."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from sailrun.leadership.settings import LeadershipSettings


class Voters:
    """Computes majorities. If `voters_before` is set, a majority needs a majority of the voters and of the
    previous voters, so that majorities of two adjacent stages always have a voter in common.
    """

    def __init__(self, settings: LeadershipSettings, disabled_rules: frozenset[str] = frozenset()) -> None:
        self._voter_sets = [settings.voters, *([settings.voters_before] if settings.voters_before else [])]
        self.stage = settings.stage
        self._disabled_rules = disabled_rules

    def names(self) -> list[str]:
        """Returns the names of all voters, sorted."""
        return sorted({name for names in self._voter_sets for name in names})

    def is_majority(self, names: Collection[str]) -> bool:
        """Whether the names include a majority of every current set of voters."""
        if "majority" in self._disabled_rules:
            return bool(names)
        return all(2 * sum(1 for n in voters if n in names) > len(voters) for voters in self._voter_sets)

    def accepts_stage(self, stage: int) -> bool:
        """Whether a voter may grant a lease to a candidate at `stage`: the same stage or the next one. It may
        not at an older or a later stage, whose majorities might have no voter in common with this one's.
        """
        return self.stage <= stage <= self.stage + 1

    def majority_time_us(self, times_by_voter: dict[str, int]) -> int:
        """Returns the latest time T such that a majority of the voters has a time of T or later; 0: none."""
        majority_times = []
        for voters in self._voter_sets:
            times = sorted((times_by_voter[n] for n in voters if n in times_by_voter), reverse=True)
            needed = 1 if "majority" in self._disabled_rules else len(voters) // 2 + 1
            if len(times) < needed:
                return 0
            majority_times.append(times[needed - 1])
        return min(majority_times)


def check_voters(voters: Iterable[str]) -> str | None:
    """Returns why a set of voters is invalid; None: it is valid."""
    names = list(voters)
    if len(set(names)) != len(names):
        return "names a voter twice"
    if len(names) not in (3, 5, 7):
        return f"names {len(names)} voters: 3, 5 or 7 are needed, so that there is a majority"
    return None
