"""Withholds a member's promises until its folder has what they rest on, and a majority of voters knows so.

A voter that restarts is held to what it answered before. So an answer is sent once the write-ahead log has
what it rests on; and of the answers for which an older copy of the folder would be too old, only once a
majority of the voters has noted how far this folder has come.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sailrun.leadership.envelope import Body
from sailrun.leadership.messages import LeaseGrant, TermReport
from sailrun.leadership.voter import Voter
from sailrun.replication.messages import Accepted, Promise, RecoveryReply
from sailrun.storage.freshness import FolderFreshness
from sailrun.storage.messages import FreshnessReply
from sailrun.storage.write_ahead_log import WriteAheadLog, WriteResult

# A message and the name of the member it is for.
Message = tuple[str, Body]
# What a voter answers and is held to after a restart.
DURABLE_RESPONSES = (LeaseGrant, Promise, Accepted, RecoveryReply, TermReport, FreshnessReply)
# Of these, what a folder without them would be too old for.
MAJORITY_KNOWN_RESPONSES = (LeaseGrant, Promise, Accepted, RecoveryReply)
# The oldest responses that wait for a majority make room for newer ones.
MAX_AWAITING_MAJORITY = 1000


@dataclass(frozen=True, slots=True)
class Released:
    """`responses` need not be withheld any more; `messages` are others, withheld as they need to be."""

    responses: list[Message] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _HeldResponse:
    """On the disk up to `position`, which too few voters have noted."""

    position: int
    recipient: str
    body: Any


class ResponseGate:
    """`voter` gives this node's voter, if it is one. `record` is called with every act, for the laboratory's
    checks. Without a write-ahead log nothing is withheld.
    """

    def __init__(
        self,
        freshness: FolderFreshness,
        voter: Callable[[], Voter | None],
        record: Callable[..., None],
        disabled_rules: frozenset[str],
    ) -> None:
        self._freshness, self._voter = freshness, voter
        self._record, self._disabled_rules = record, disabled_rules
        self.write_ahead_log: WriteAheadLog | None = None
        self._awaiting_majority: list[_HeldResponse] = []

    def withhold(self, now_us: int, recipient: str, body: Any) -> bool:
        """Whether a message is withheld until the disk has what it rests on; where the disk fails, it is
        never sent.
        """
        log = self.write_ahead_log
        if log is None or not isinstance(body, DURABLE_RESPONSES):
            return False
        position, voter = log.position, self._voter()
        if isinstance(body, LeaseGrant) and voter is not None:
            position = voter.log_position(body.task)  # a renewal rests on the grant alone
        if log.is_synced(position):
            return self._withhold_for_majority(log, position, recipient, body)
        if log.is_disk_available:
            key = (recipient, type(body), _request_number(body))
            log.defer_reply(now_us, position, key, (recipient, body))
        return True

    def _withhold_for_majority(self, log: WriteAheadLog, position: int, recipient: str, body: Any) -> bool:
        """Whether what is on the disk is promised again, or renewed, before a majority has noted that."""
        own = self._freshness.own
        needs_majority = (
            isinstance(body, MAJORITY_KNOWN_RESPONSES)
            and self._voter() is not None
            and not self._disabled_rules & {"generation", "sync"}
        )
        if not needs_majority or own is None or self._freshness.is_position_acknowledged(position):
            return False
        own.synced_position = log.synced_position  # reported to the other voters at the next turn
        self._hold(position, recipient, body)
        return True

    def _hold(self, position: int, recipient: str, body: Any) -> None:
        latest = self._awaiting_majority[-MAX_AWAITING_MAJORITY:]
        self._awaiting_majority = [*latest, _HeldResponse(position, recipient, body)]

    def call_when_durable(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls with whether all that was written so far is on the disk: once it is, or at once where there
        is no disk, or it fails.
        """
        log = self.write_ahead_log
        if log is None or log.is_synced(log.position):
            call(True)
        elif not log.is_disk_available:
            call(False)
        else:
            log.defer_reply(now_us, log.position, call, call)

    def on_written(self, now_us: int, result: WriteResult) -> Released:
        """A batch of the log was written, or failed; what waited for it alone is released."""
        log, released = self.write_ahead_log, Released()
        if log is None:
            raise ValueError("a result of a write, but no folder was opened")
        for reply in log.complete_batch(now_us, result):
            if callable(reply):
                reply(True)
                continue
            recipient, body = reply
            if isinstance(body, MAJORITY_KNOWN_RESPONSES) and self._voter() is not None:
                if "generation" not in self._disabled_rules:
                    self._hold(log.synced_position, recipient, body)
                    continue
                self._record("promised", position=log.synced_position)
            released.responses.append((recipient, body))
        if self._awaiting_majority and self._freshness.own is not None:
            # Something is promised: a majority is to note how far the folder has come.
            self._freshness.own.synced_position = log.synced_position
            released.messages.extend(self._freshness.report_position(now_us))
        return released

    def release_noted(self) -> Released:
        """The responses of which a majority has noted that the folder has them."""
        noted = {
            held.position
            for held in self._awaiting_majority
            if self._freshness.is_position_acknowledged(held.position)
        }
        if not noted:
            return Released()
        self._record("promised", position=max(noted))
        responses = [(h.recipient, h.body) for h in self._awaiting_majority if h.position in noted]
        self._awaiting_majority = [h for h in self._awaiting_majority if h.position not in noted]
        return Released(responses)

    def discard(self) -> None:
        """Drops what is held: it was promised by a folder that counts no longer."""
        self._awaiting_majority.clear()


def _request_number(body: Any) -> int:
    """What a response answers: a lease's term, or the number of the request."""
    if isinstance(body, LeaseGrant):
        return body.term
    if isinstance(body, (Accepted, Promise, RecoveryReply)):
        return body.request_id
    number: int = body.number
    return number
