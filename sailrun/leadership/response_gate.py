"""Withholds a voter's responses until the state that they depend on is durable and known to a majority.

A voter is bound by its responses after a restart. Therefore a response is sent only after the write-ahead log
has synced the entries that it depends on. A response after which an older version of the folder must not be
used any more is sent only after a majority of the voters has also noted the position of this folder.
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

# The name of the recipient, and the message.
Message = tuple[str, Body]
# The responses that bind a voter after a restart.
DURABLE_RESPONSES = (LeaseGrant, Promise, Accepted, RecoveryReply, TermReport, FreshnessReply)
# Those of them after which a version of the folder without their entries must not be used any more.
MAJORITY_KNOWN_RESPONSES = (LeaseGrant, Promise, Accepted, RecoveryReply)
# When more responses wait for a majority, the oldest are dropped.
MAX_AWAITING_MAJORITY = 1000


@dataclass(frozen=True, slots=True)
class Released:
    """Messages to send. `responses` need no further check; `messages` may have to be withheld."""

    responses: list[Message] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _WithheldResponse:
    """A response whose entries are on the disk up to `position`, which no majority has noted yet."""

    position: int
    recipient: str
    body: Any


class ResponseGate:
    """Withholds and releases durable responses. `voter` returns this node's voter, or None. `record` is
    called with every act, for the laboratory's checks. Nothing is withheld without a write-ahead log.
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
        self._awaiting_majority: list[_WithheldResponse] = []

    def withhold(self, now_us: int, recipient: str, body: Any) -> bool:
        """Withholds a message whose entries are not durable yet; returns whether it is withheld. If the disk
        fails, the message is never sent.
        """
        log = self.write_ahead_log
        if log is None or not isinstance(body, DURABLE_RESPONSES):
            return False
        position, voter = log.position, self._voter()
        if isinstance(body, LeaseGrant) and voter is not None:
            position = voter.log_position(body.task)  # a renewal depends on the entry of the grant only
        if log.is_synced(position):
            return self._withhold_for_majority(log, position, recipient, body)
        if log.is_disk_available:
            key = (recipient, type(body), _request_number(body))
            log.defer_reply(now_us, position, key, (recipient, body))
        return True

    def _withhold_for_majority(self, log: WriteAheadLog, position: int, recipient: str, body: Any) -> bool:
        """Withholds a response that depends on synced entries whose position no majority has noted yet."""
        own = self._freshness.own
        needs_majority = (
            isinstance(body, MAJORITY_KNOWN_RESPONSES)
            and self._voter() is not None
            and not self._disabled_rules & {"generation", "sync"}
        )
        if not needs_majority or own is None or self._freshness.is_position_acknowledged(position):
            return False
        own.synced_position = log.synced_position  # reported to the other voters at the next tick
        self._queue_for_majority(position, recipient, body)
        return True

    def _queue_for_majority(self, position: int, recipient: str, body: Any) -> None:
        latest = self._awaiting_majority[-MAX_AWAITING_MAJORITY:]
        self._awaiting_majority = [*latest, _WithheldResponse(position, recipient, body)]

    def call_when_durable(self, now_us: int, call: Callable[[bool], None]) -> None:
        """Calls `call` with whether all entries up to now are on the disk: once they are synced, or at once
        if they already are, there is no write-ahead log, or the disk fails.
        """
        log = self.write_ahead_log
        if log is None or log.is_synced(log.position):
            call(True)
        elif not log.is_disk_available:
            call(False)
        else:
            log.defer_reply(now_us, log.position, call, call)

    def on_written(self, now_us: int, result: WriteResult) -> Released:
        """Handles the result of writing a batch; releases the responses that waited only for that."""
        log, released = self.write_ahead_log, Released()
        if log is None:
            raise ValueError("got the result of a disk write although no write-ahead log is attached")
        for reply in log.complete_batch(now_us, result):
            if callable(reply):
                reply(True)
                continue
            recipient, body = reply
            if isinstance(body, MAJORITY_KNOWN_RESPONSES) and self._voter() is not None:
                if "generation" not in self._disabled_rules:
                    self._queue_for_majority(log.synced_position, recipient, body)
                    continue
                self._record("promised", position=log.synced_position)
            released.responses.append((recipient, body))
        if self._awaiting_majority and self._freshness.own is not None:
            # Responses wait for a majority, so the new position is reported to the other voters.
            self._freshness.own.synced_position = log.synced_position
            released.messages.extend(self._freshness.report_position(now_us))
        return released

    def release_noted(self) -> Released:
        """Releases the responses whose position a majority of the voters has noted."""
        noted_positions = {
            waiting.position
            for waiting in self._awaiting_majority
            if self._freshness.is_position_acknowledged(waiting.position)
        }
        if not noted_positions:
            return Released()
        self._record("promised", position=max(noted_positions))
        responses = [
            (waiting_response.recipient, waiting_response.body)
            for waiting_response in self._awaiting_majority
            if waiting_response.position in noted_positions
        ]
        self._awaiting_majority = [
            waiting_response
            for waiting_response in self._awaiting_majority
            if waiting_response.position not in noted_positions
        ]
        return Released(responses)

    def discard(self) -> None:
        """Drops the withheld responses; the folder that they depend on is no longer in use."""
        self._awaiting_majority.clear()


def _request_number(body: Any) -> int:
    """Returns what identifies the answered request: the lease's term, or the number of the request."""
    if isinstance(body, LeaseGrant):
        return body.term
    if isinstance(body, (Accepted, Promise, RecoveryReply)):
        return body.request_id
    number: int = body.number
    return number
