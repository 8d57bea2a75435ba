"""Lifeguard's extensions of SWIM (Dadgar, Phillips, Currey 2018): local health, and suspicions that end
sooner the more members confirm them.
"""

from __future__ import annotations

import math

from sailrun.membership.messages import MemberState
from sailrun.membership.outputs import ChangeKind, MembershipChange
from sailrun.membership.settings import MembershipSettings
from sailrun.membership.table import MemberEntry, MembershipTable, Suspicion

SECOND = 1_000_000
# Lifeguard's limit of the health score; times are multiplied by 1 to 9.
MAX_HEALTH_SCORE = 8
# A suspicion that no other member confirms lasts this many times the minimum time.
UNCONFIRMED_FACTOR = 6.0
# The number of confirmations after which a suspicion lasts only the minimum time.
CONFIRMATIONS_NEEDED = 3


class LocalHealth:
    """Tracks whether this process is slow. A slow process probes less often and suspects later."""

    def __init__(self) -> None:
        self._score = 0

    @property
    def multiplier(self) -> int:
        """The factor for this process's times: 1 if it is healthy, up to 9 if it is slow."""
        return 1 + self._score

    def degrade(self, steps: int) -> None:
        """Counts signs that this process is slow, and not the one that it probes."""
        self._score = min(MAX_HEALTH_SCORE, self._score + steps)

    def recover(self) -> None:
        """Counts a probe that was answered."""
        self._score = max(0, self._score - 1)


class SuspicionTimers:
    """Starts, confirms and ends suspicions."""

    def __init__(
        self,
        table: MembershipTable,
        settings: MembershipSettings,
        health: LocalHealth,
        changes: list[MembershipChange],
    ) -> None:
        self._table = table
        self._settings = settings
        self._health = health
        self._changes = changes

    def start(self, now_us: int, entry: MemberEntry, accuser: str) -> None:
        """Starts a suspicion of a member whose record has the state `suspect`."""
        entry.suspicion = Suspicion(now_us, {accuser})
        self._set_end(entry.suspicion)
        self._changes.append(MembershipChange(ChangeKind.SUSPECTED, entry.record, f"suspected by {accuser}"))

    def confirm(self, entry: MemberEntry, accuser: str) -> None:
        """Counts a further member that suspects the same one; each member counts once, and the suspicion may
        end sooner.
        """
        suspicion = entry.suspicion
        if suspicion is None or accuser in suspicion.accusers:
            return
        if len(suspicion.accusers) > CONFIRMATIONS_NEEDED:
            return
        suspicion.accusers.add(accuser)
        self._set_end(suspicion)
        self._table.updates.enqueue(entry.record.name)

    def postpone(self, gap_us: int) -> None:
        """Postpones all suspicions by the time in which this process could not receive any refutation."""
        for suspicion in self._table.suspicions():
            suspicion.started_us += gap_us
            suspicion.ends_us += gap_us

    def declare_dead(self, now_us: int) -> None:
        """Declares members dead whose suspicion has ended without a refutation."""
        for entry in self._table.suspects():
            suspicion = entry.suspicion
            if suspicion is None or now_us < suspicion.ends_us:
                continue
            before = entry.record
            self._table.store(now_us, before.with_state(MemberState.DEAD))
            reason = f"no answer, suspected by {len(suspicion.accusers)} members"
            self._changes.append(MembershipChange(ChangeKind.DEAD, before, reason))

    def _set_end(self, suspicion: Suspicion) -> None:
        living_count = len(self._table.living_names)
        size_factor = max(1.0, math.log10(max(1, living_count)))
        minimum_us = int(self._settings.suspect_s * SECOND * size_factor)
        # In a small fleet fewer members can confirm a suspicion, so fewer confirmations are needed.
        confirmations_needed = max(1, min(CONFIRMATIONS_NEEDED, living_count - 3))
        confirmations = len(suspicion.accusers) - 1
        confirmed_share = min(1.0, math.log(confirmations + 1) / math.log(confirmations_needed + 1))
        factor = UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1.0) * confirmed_share
        suspicion.ends_us = suspicion.started_us + int(minimum_us * factor) * self._health.multiplier
