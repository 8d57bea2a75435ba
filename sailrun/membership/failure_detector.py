"""SWIM's failure detector: probes one other member per period, directly and indirectly through helpers."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from sailrun.membership.lifeguard import LocalHealth, SuspicionTimers
from sailrun.membership.messages import Ack, MemberState, Nack, Ping, PingRequest
from sailrun.membership.outputs import OutgoingMessage
from sailrun.membership.settings import MembershipSettings
from sailrun.membership.table import MemberEntry, MembershipTable

SECOND = 1_000_000
# When direct pings and requests for indirect pings are sent, as fractions of a period.
DIRECT_PING_TIMES = (0.0, 0.3, 0.6)
INDIRECT_PING_TIMES = (0.35, 0.65)
# The number of members that are asked for an indirect ping each time.
HELPERS_PER_REQUEST = 3
# A helper waits for the target's ack for this fraction of its own period before it sends a nack.
RELAY_TIMEOUT_PERIODS = 0.3
# A process whose tick is late by more than this fraction of a period was paused or starved of CPU time.
PAUSE_PERIODS = 0.5
# One pause degrades the local health by at most this many steps.
MAX_PAUSE_STEPS = 4


@dataclass(slots=True)
class Probe:
    """The current probe."""

    target: str
    sequence: int
    began_us: int
    period_us: int
    direct_sent: int = 0  # how many of DIRECT_PING_TIMES
    indirect_sent: int = 0  # how many of INDIRECT_PING_TIMES
    helpers_requested: int = 0
    nacks: int = 0

    def next_due_us(self) -> int:
        """Returns when the next ping is due or the probe fails."""
        due = [1.0]
        due += DIRECT_PING_TIMES[self.direct_sent : self.direct_sent + 1]
        due += INDIRECT_PING_TIMES[self.indirect_sent : self.indirect_sent + 1]
        return self.began_us + math.ceil(min(due) * self.period_us)


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent on behalf of another member."""

    requester: str
    requester_sequence: int
    target: str
    ends_us: int


class FailureDetector:
    """Probes all other members in shuffled rounds, and suspects those that do not answer."""

    def __init__(
        self,
        table: MembershipTable,
        settings: MembershipSettings,
        health: LocalHealth,
        suspicions: SuspicionTimers,
        random_source: random.Random,
        now_us: int,
    ) -> None:
        self._table = table
        self._settings = settings
        self._health = health
        self._suspicions = suspicions
        self._random = random_source
        self._sequence = 0
        self._probe: Probe | None = None
        self._next_probe_us = now_us
        self._targets_left: list[str] = []
        self._relayed: dict[int, RelayedPing] = {}

    @property
    def period_us(self) -> int:
        """The length of a period, which is longer if this process is slow."""
        return int(self._settings.probe_s * SECOND) * self._health.multiplier

    def is_pause(self, late_us: int) -> bool:
        """Whether a tick that is late by `late_us` means that this process was paused or starved of CPU."""
        return late_us > self.period_us * PAUSE_PERIODS

    def recover_from_pause(self, now_us: int, gap_us: int) -> None:
        """Restarts probing after a pause of `gap_us`. No message was received in that time, so the current
        probe does not fail and the suspicions are extended.
        """
        self._health.degrade(max(1, min(MAX_PAUSE_STEPS, gap_us // self.period_us)))
        self._probe = None
        self._next_probe_us = now_us
        self._relayed.clear()
        self._suspicions.postpone(gap_us)

    def due_us(self) -> int:
        """Returns when the detector next has something to send or to end."""
        due_us = self._next_probe_us if self._probe is None else self._probe.next_due_us()
        return min([due_us, *(relay.ends_us for relay in self._relayed.values())])

    # ------------------------------------------------------------------ messages

    def relay_ping(self, now_us: int, requester: str, request: PingRequest) -> list[OutgoingMessage]:
        """Returns a ping to the target of another member's request; empty if the target is not known."""
        entry = self._table.find(request.target)
        if entry is None:
            return []
        sequence = self._next_sequence()
        ends_us = now_us + int(self.period_us * RELAY_TIMEOUT_PERIODS)
        self._relayed[sequence] = RelayedPing(requester, request.sequence, request.target, ends_us)
        return [_ping(entry, sequence)]

    def end_relay(self, sender: str, sequence: int) -> RelayedPing | None:
        """Ends and returns the relayed ping that an ack from `sender` answers; None: it answers none."""
        relay = self._relayed.pop(sequence, None)
        return relay if relay is not None and relay.target == sender else None

    def relay_ack(self, relay: RelayedPing) -> list[OutgoingMessage]:
        """Returns an ack for the requester of a relayed ping."""
        requester = self._table.find_record(relay.requester)
        if requester is None:
            return []
        return [OutgoingMessage(requester.address, Ack(relay.requester_sequence, 0))]

    def is_probing(self, sequence: int) -> bool:
        """Whether the sequence number is that of the current probe."""
        return self._probe is not None and self._probe.sequence == sequence

    def is_probe_target(self, name: str) -> bool:
        """Whether the member is the target of the current probe."""
        return self._probe is not None and self._probe.target == name

    def complete_probe(self) -> None:
        """Ends the current probe successfully, which improves the local health."""
        self._probe = None
        self._health.recover()

    def count_nack(self, nack: Nack) -> None:
        """Counts a nack: the helper got no ack from the target of the current probe in time."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks += 1

    # ------------------------------------------------------------------ time

    def expire_relays(self, now_us: int) -> list[OutgoingMessage]:
        """Returns a nack for each relayed ping whose target has not answered in time."""
        messages: list[OutgoingMessage] = []
        for sequence, relay in list(self._relayed.items()):
            if now_us < relay.ends_us:
                continue
            del self._relayed[sequence]
            requester = self._table.find_record(relay.requester)
            if requester is not None:
                messages.append(OutgoingMessage(requester.address, Nack(relay.requester_sequence)))
        return messages

    def tick(self, now_us: int) -> list[OutgoingMessage]:
        """Continues the current probe, and starts the next one when it is due."""
        messages: list[OutgoingMessage] = []
        if self._probe is not None:
            messages += self._continue_probe(now_us, self._probe)
        if self._probe is None and now_us >= self._next_probe_us:
            messages += self._begin_probe(now_us)
        return messages

    def _continue_probe(self, now_us: int, probe: Probe) -> list[OutgoingMessage]:
        entry = self._table.find(probe.target)
        if entry is None or entry.record.state.has_ended:
            self._probe = None
            return []
        messages: list[OutgoingMessage] = []
        elapsed = (now_us - probe.began_us) / probe.period_us
        while probe.direct_sent < len(DIRECT_PING_TIMES) and elapsed >= DIRECT_PING_TIMES[probe.direct_sent]:
            probe.direct_sent += 1
            messages.append(_ping(entry, probe.sequence))
        while (
            probe.indirect_sent < len(INDIRECT_PING_TIMES)
            and elapsed >= INDIRECT_PING_TIMES[probe.indirect_sent]
        ):
            probe.indirect_sent += 1
            messages += self._request_indirect_pings(probe)
        if elapsed >= 1.0:
            self._fail_probe(now_us, probe, entry)
        return messages

    def _request_indirect_pings(self, probe: Probe) -> list[OutgoingMessage]:
        helpers = self._table.sample_peers(self._random, HELPERS_PER_REQUEST, probe.target)
        probe.helpers_requested += len(helpers)
        request = PingRequest(probe.sequence, probe.target)
        return [OutgoingMessage(helper.address, request) for helper in helpers]

    def _begin_probe(self, now_us: int) -> list[OutgoingMessage]:
        target = self._next_target()
        if target is None:
            return []
        sequence = self._next_sequence()
        self._next_probe_us = now_us + self.period_us
        self._probe = Probe(target.record.name, sequence, now_us, self.period_us, direct_sent=1)
        return [_ping(target, sequence)]

    def _next_target(self) -> MemberEntry | None:
        """Returns the next living member to probe; None if there is no other one."""
        own_name = self._table.own_name
        while self._targets_left:
            name = self._targets_left.pop()
            if name != own_name and self._table.is_living(name):
                return self._table.find(name)
        self._targets_left = [name for name in self._table.living_names if name != own_name]
        self._random.shuffle(self._targets_left)
        return self._table.find(self._targets_left.pop()) if self._targets_left else None

    def _fail_probe(self, now_us: int, probe: Probe, entry: MemberEntry) -> None:
        self._probe = None
        # Some helpers did not even send a nack, so this process may be the one that cannot be reached.
        if probe.helpers_requested and probe.nacks < probe.helpers_requested:
            self._health.degrade(1)
        if entry.record.state is MemberState.ALIVE:
            suspect = self._table.store(now_us, entry.record.with_state(MemberState.SUSPECT))
            self._suspicions.start(now_us, suspect, self._table.own_name)
        elif entry.record.state is MemberState.SUSPECT:
            self._suspicions.confirm(entry, self._table.own_name)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _ping(entry: MemberEntry, sequence: int) -> OutgoingMessage:
    return OutgoingMessage(entry.record.address, Ping(sequence), entry.record_to_refute)
