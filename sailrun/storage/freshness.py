"""Checks whether a voter's folder is the newest version of it. Pure.

A folder that was restored from a backup, was copied, or lacks its last generation looks intact. Therefore the
other voters store the position of a voter's folder in their own folders, and a voter makes no promise before
a majority has acknowledged its position. A voter that starts queries the others first:

- a voter that relies on its folder (`QUERYING`) votes once a majority including itself has replied, the grace
  period for the other living voters is over, and no reply has a newer incarnation or a later position;
- a voter without a reliable folder (`REJOINING`) chooses an incarnation above all that a majority knows, has
  a majority store it, and recovers everything else from the others. From then on no older folder under its
  name is relied on.

One case is not detected: an older folder is started while no voter that stored the newer version can be
reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from sailrun.storage.entries import PeerFolderVersion
from sailrun.storage.messages import (
    STARTS_FROM_FOLDER,
    STARTS_WITHOUT_FOLDER,
    FreshnessQuery,
    FreshnessReply,
    StorageMessage,
)
from sailrun.storage.peer_folders import PeerFolderRegistry, explain_staleness, is_same_process

QUERY_INTERVAL_US = 250_000
REPORT_INTERVAL_US = 250_000
# Maximum wait for the other living voters once a majority has replied: one of them may know a newer version.
REPLY_GRACE_US = 1_000_000
# Maximum number of reports without a reply; beyond it the oldest are dropped.
MAX_REPORTS_IN_FLIGHT = 64


class FreshnessState(Enum):
    """The state of the comparison of this voter's folder with the versions that the other voters know."""

    QUERYING = "asks"  # relies on its folder unless a reply contradicts it
    CONFIRMED = "trusted"  # the folder is the newest version
    REJOINING = "learns"  # has no reliable folder; no majority has stored its incarnation yet
    REJOINED = "learned"  # a majority has stored its new incarnation
    STALE = "old"  # a newer version is known; the state lasts until the voter rejoins with a new folder


class Outgoing(NamedTuple):
    """A message and the voter that it is addressed to."""

    voter: str
    message: StorageMessage


@dataclass(slots=True)
class OwnFolder:
    """This voter's own folder. `incarnation` is that of this process, `loaded_position` the position that was
    read when it started, `synced_position` the position that is synced now.
    """

    identity: str
    process_number: int
    incarnation: int
    loaded_position: int
    synced_position: int


@dataclass(frozen=True, slots=True)
class _Report:
    """A position that was reported to a voter."""

    voter: str
    position: int


class FolderFreshness:
    """The state machine of one voter. `peers` stores the versions that the other voters report."""

    def __init__(
        self,
        name: str,
        list_voters: Callable[[], list[str]],
        is_majority: Callable[[set[str]], bool],
        persist_version: Callable[[PeerFolderVersion], None],
        initial_number: int,
        is_alive: Callable[[str], bool],
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        """The numbers of this process's queries begin after `initial_number`. `is_alive` returns whether a
        voter is alive according to membership. `disabled_rules` are safety rules that the laboratory
        switches off.
        """
        self._name, self._list_voters, self._is_majority = name, list_voters, is_majority
        self._last_number, self._is_alive, self._disabled_rules = initial_number, is_alive, disabled_rules
        self.peers = PeerFolderRegistry(persist_version)
        self.own: OwnFolder | None = None
        self.state = FreshnessState.REJOINING
        self.newest_known: PeerFolderVersion | None = None  # set if it is newer than this voter's folder
        self.stale_reason = ""
        self._replies: dict[str, PeerFolderVersion] = {}  # to the query, by voter
        self._query_number = 0  # 0: the next query takes a new one
        self._next_query_us = 0
        self._has_majority_reply = False
        self._grace_until_us = 0  # the end of the grace period; 0: it has not begun
        self._last_report_us = 0
        self._reports_in_flight: dict[int, _Report] = {}  # by number
        self._acknowledged_positions: dict[str, int] = {}  # by voter, the position that it has acknowledged

    def start(self, own: OwnFolder, is_intact: bool, peer_versions: dict[str, PeerFolderVersion]) -> None:
        """Starts with a folder that was opened; `is_intact` is judged by the folder alone."""
        self.own = own
        self.peers.restore(peer_versions)
        if not is_intact:
            self.state = FreshnessState.REJOINING
        elif "generation" in self._disabled_rules:
            self.state = FreshnessState.CONFIRMED
        else:
            self.state = FreshnessState.QUERYING

    def restart_with_new_folder(self, identity: str) -> None:
        """Rejoins with a new folder of that identity, as a voter without a reliable folder."""
        if self.own is None:
            raise RuntimeError("cannot restart with a new folder before `start` has set the present one")
        known = [self.own.incarnation, *(reply.incarnation for reply in self._replies.values())]
        self.own = OwnFolder(identity, self.own.process_number, max(known) + 1, 0, 0)
        self.state = FreshnessState.REJOINING
        self._restart_query()

    # ------------------------------------------------------------------ queries

    @property
    def is_established(self) -> bool:
        """Whether a majority of the voters has stored this incarnation, so that no older folder of this voter
        can be confirmed any more. True without a folder.
        """
        return self.own is None or self.state in (FreshnessState.CONFIRMED, FreshnessState.REJOINED)

    @property
    def is_querying(self) -> bool:
        """Whether this voter queries the others about its folder. False before it has an incarnation to
        report.
        """
        return (
            self.own is not None
            and self.state in (FreshnessState.QUERYING, FreshnessState.REJOINING)
            and bool(self.own.incarnation)
        )

    def is_position_acknowledged(self, position: int) -> bool:
        """Whether a majority has acknowledged that this folder has reached `position`. Positions that a
        confirmed folder had at the start count as acknowledged: the queries have compared them.
        """
        own = self.own
        if own is not None and self.state is FreshnessState.CONFIRMED and position <= own.loaded_position:
            return True
        acknowledged_by = {
            voter for voter, acknowledged in self._acknowledged_positions.items() if acknowledged >= position
        }
        return self._is_majority({self._name, *acknowledged_by})

    def _list_others(self) -> list[str]:
        return [voter for voter in self._list_voters() if voter != self._name]

    def _list_unreported(self) -> list[str]:
        """The voters that have not acknowledged this folder's position yet."""
        own = self.own
        if own is None or self.state not in (FreshnessState.CONFIRMED, FreshnessState.REJOINED):
            return []
        return [
            v for v in self._list_others() if self._acknowledged_positions.get(v, -1) < own.synced_position
        ]

    # ------------------------------------------------------------------ replies

    def on_reply(self, sender: str, reply: FreshnessReply) -> None:
        """Processes another voter's reply to a report or to the query."""
        own = self.own
        report = self._reports_in_flight.pop(reply.number, None)
        known = PeerFolderVersion(
            self._name, reply.identity, reply.incarnation, reply.position, reply.process_number
        )
        if report is not None:
            if own is not None and _is_newer_process(known, own):
                self._on_newer_process(own, known)
            else:
                acknowledged = self._acknowledged_positions.get(sender, 0)
                self._acknowledged_positions[sender] = max(report.position, acknowledged)
        elif own is not None and reply.number == self._query_number and sender in self._list_voters():
            self._replies[sender] = known
            self._on_query_reply(own, known)

    def _on_newer_process(self, own: OwnFolder, known: PeerFolderVersion) -> None:
        """Handles a reply to a report that names a newer process of this voter. The replying voter was
        unreachable during the query.
        """
        if self.state is FreshnessState.REJOINED:
            own.incarnation, self.state = known.incarnation + 1, FreshnessState.REJOINING
            self._restart_query()
        elif self.state is FreshnessState.CONFIRMED:
            self._set_stale(known, "a newer incarnation is known")

    def _on_query_reply(self, own: OwnFolder, known: PeerFolderVersion) -> None:
        has_majority = self._is_majority({*self._replies, self._name})
        if self.state is FreshnessState.QUERYING:
            reason = explain_staleness(self._version_of(own), own.incarnation - 1, known)
            if reason and known.process_number != own.process_number:
                self._set_stale(known, reason)
            self._has_majority_reply = has_majority
        elif self.state is FreshnessState.REJOINING and has_majority:
            self._settle_incarnation(own)

    def _settle_incarnation(self, own: OwnFolder) -> None:
        """Sets the state to REJOINED if all voters that replied have stored this incarnation; otherwise
        repeats the query, with a higher incarnation if this one is taken.
        """
        version = self._version_of(own)
        if all(is_same_process(version, reply) for reply in self._replies.values()):
            self.state = FreshnessState.REJOINED
            return
        highest = max(reply.incarnation for reply in self._replies.values())
        if highest >= own.incarnation:
            own.incarnation = highest + 1
        self._restart_query()

    def _version_of(self, own: OwnFolder) -> PeerFolderVersion:
        return PeerFolderVersion(
            self._name, own.identity, own.incarnation, own.loaded_position, own.process_number
        )

    def _set_stale(self, known: PeerFolderVersion, reason: str) -> None:
        self.state, self.newest_known, self.stale_reason = FreshnessState.STALE, known, reason

    def _restart_query(self) -> None:
        self._replies.clear()
        self._query_number = self._next_query_us = 0

    # ------------------------------------------------------------------ time

    def due_us(self) -> int | None:
        """The time at which `tick` has to be called next; None: only after another call changes the state."""
        if self.is_querying:
            return self._next_query_us
        return self._last_report_us + REPORT_INTERVAL_US if self._list_unreported() else None

    def tick(self, now_us: int) -> list[Outgoing]:
        """Returns the queries or reports that are due; ends the grace period when its time has come."""
        own = self.own
        if own is None:
            return []
        if self._is_grace_over(now_us):
            self.state = FreshnessState.CONFIRMED
            return []
        if self.is_querying and now_us >= self._next_query_us:
            return self._send_queries(now_us, own)
        if now_us >= self._last_report_us + REPORT_INTERVAL_US:
            return self.report_position(now_us)
        return []

    def _is_grace_over(self, now_us: int) -> bool:
        """Whether a majority has replied, and either all other living voters have replied as well or the
        grace period has passed.
        """
        if self.state is not FreshnessState.QUERYING or not self._has_majority_reply:
            return False
        self._grace_until_us = self._grace_until_us or now_us + REPLY_GRACE_US
        missing = [voter for voter in self._list_others() if voter not in self._replies]
        return now_us >= self._grace_until_us or not any(self._is_alive(voter) for voter in missing)

    def _send_queries(self, now_us: int, own: OwnFolder) -> list[Outgoing]:
        self._next_query_us = now_us + QUERY_INTERVAL_US
        if not self._query_number:
            self._query_number = self._take_number()
        is_from_folder = self.state is FreshnessState.QUERYING
        others = self._list_others()
        if not others or self._is_majority({self._name}):
            self.state = FreshnessState.CONFIRMED if is_from_folder else FreshnessState.REJOINED
            return []
        query = FreshnessQuery(
            self._query_number,
            own.identity,
            own.incarnation,
            own.loaded_position,
            own.process_number,
            STARTS_FROM_FOLDER if is_from_folder else STARTS_WITHOUT_FOLDER,
        )
        return [Outgoing(voter, query) for voter in others]

    def report_position(self, now_us: int) -> list[Outgoing]:
        """Reports this folder's position to the voters that have not acknowledged it yet. Also called
        directly when a reply is waiting for the acknowledgement.
        """
        own = self.own
        if own is None:
            return []
        self._last_report_us = now_us
        outgoing = []
        for voter in self._list_unreported():
            number = self._take_number()
            self._reports_in_flight[number] = _Report(voter, own.synced_position)
            while len(self._reports_in_flight) > MAX_REPORTS_IN_FLIGHT:
                del self._reports_in_flight[next(iter(self._reports_in_flight))]
            query = FreshnessQuery(
                number, own.identity, own.incarnation, own.synced_position, own.process_number
            )
            outgoing.append(Outgoing(voter, query))
        return outgoing

    def _take_number(self) -> int:
        self._last_number += 1
        return self._last_number


def _is_newer_process(known: PeerFolderVersion, own: OwnFolder) -> bool:
    return known.process_number != own.process_number and known.incarnation >= own.incarnation
