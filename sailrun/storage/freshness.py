"""Whether a voter's folder is the newest there is of it. Pure.

A folder restored from a backup, copied, or short of its last generation looks intact. So a voter has the
others note how far its folder has come, in their own folders, and promises nothing before a majority has. A
voter that starts asks them first:

- one that relies on its folder (`QUERYING`) votes once a majority, itself among it, has replied, the other
  voters that are alive were waited for a moment, and none knew a newer incarnation or a later position of it;
- one without a folder to rely on (`REJOINING`) takes an incarnation above all that a majority knows, has a
  majority note it, and recovers everything else from the others: from then on no older folder under its name
  is relied on.

One case is missed: an older folder is started while no voter that noted the newer one can be reached.
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
# Once a majority has replied, the other voters that are alive are waited for this long: one of them may know
# more.
REPLY_GRACE_US = 1_000_000
# Reports whose reply is awaited; the oldest make room.
MAX_REPORTS_IN_FLIGHT = 64


class FreshnessState(Enum):
    """How far the other voters have confirmed this voter's folder."""

    QUERYING = "asks"  # relies on its folder unless a reply contradicts
    CONFIRMED = "trusted"  # the folder is the newest
    REJOINING = "learns"  # has no folder to rely on; its incarnation is not yet noted by a majority
    REJOINED = "learned"  # its new incarnation is noted by a majority
    STALE = "old"  # a newer folder is known; until the voter rejoins with a new one


class Outgoing(NamedTuple):
    """A message and the voter that it is for."""

    voter: str
    message: StorageMessage


@dataclass(slots=True)
class OwnFolder:
    """This voter's own folder. `incarnation` is that of this process, `loaded_position` the position that was
    read at its start, `synced_position` what is on the disk by now.
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
    """The state machine of one voter. `peers` has what this voter notes of the others."""

    def __init__(
        self,
        name: str,
        list_voters: Callable[[], list[str]],
        is_majority: Callable[[set[str]], bool],
        persist_version: Callable[[PeerFolderVersion], None],
        first_number: int,
        is_alive: Callable[[str], bool],
        disabled_rules: frozenset[str] = frozenset(),
    ) -> None:
        """`first_number`: the numbers of this process's queries follow it. `is_alive`: whether membership
        knows a voter as alive. `disabled_rules`: safety rules that the laboratory switches off.
        """
        self._name, self._list_voters, self._is_majority = name, list_voters, is_majority
        self._last_number, self._is_alive, self._disabled_rules = first_number, is_alive, disabled_rules
        self.peers = PeerFolderRegistry(persist_version)
        self.own: OwnFolder | None = None
        self.state = FreshnessState.REJOINING
        self.newest_known: PeerFolderVersion | None = None  # where it is newer than this voter's folder
        self.stale_reason = ""
        self._replies: dict[str, PeerFolderVersion] = {}  # to the query, by voter
        self._query_number = 0  # 0: the next query takes a new one
        self._next_query_us = 0
        self._has_majority_reply = False
        self._grace_until_us = 0  # until when the other voters are waited for; 0: not yet
        self._last_report_us = 0
        self._reports_in_flight: dict[int, _Report] = {}  # by number
        self._noted_positions: dict[str, int] = {}  # by voter, the position that it has noted

    def start(self, own: OwnFolder, is_intact: bool, peer_versions: dict[str, PeerFolderVersion]) -> None:
        """Starts with a folder that was opened; `is_intact` as far as the folder itself can tell."""
        self.own = own
        self.peers.restore(peer_versions)
        if not is_intact:
            self.state = FreshnessState.REJOINING
        elif "generation" in self._disabled_rules:
            self.state = FreshnessState.CONFIRMED
        else:
            self.state = FreshnessState.QUERYING

    def restart_with_new_folder(self, identity: str) -> None:
        """Rejoins with a new folder of that identity, as a voter that has none to rely on."""
        if self.own is None:
            raise RuntimeError("no folder was opened that a new one could replace")
        known = [self.own.incarnation, *(reply.incarnation for reply in self._replies.values())]
        self.own = OwnFolder(identity, self.own.process_number, max(known) + 1, 0, 0)
        self.state = FreshnessState.REJOINING
        self._restart_query()

    # ------------------------------------------------------------------ what is known

    @property
    def is_established(self) -> bool:
        """Whether no older folder of this voter can be relied on any more."""
        return self.own is None or self.state in (FreshnessState.CONFIRMED, FreshnessState.REJOINED)

    @property
    def is_querying(self) -> bool:
        """Whether this voter asks the others about its folder; not before it has an incarnation to report."""
        return (
            self.own is not None
            and self.state in (FreshnessState.QUERYING, FreshnessState.REJOINING)
            and bool(self.own.incarnation)
        )

    def is_position_noted(self, position: int) -> bool:
        """Whether a majority has noted that this folder has reached `position`. What was read at the start
        was compared with what the others know.
        """
        own = self.own
        if own is not None and self.state is FreshnessState.CONFIRMED and position <= own.loaded_position:
            return True
        noted_by = {voter for voter, noted in self._noted_positions.items() if noted >= position}
        return self._is_majority({self._name, *noted_by})

    def _list_others(self) -> list[str]:
        return [voter for voter in self._list_voters() if voter != self._name]

    def _list_unreported(self) -> list[str]:
        """The voters that have not noted this folder's position yet."""
        own = self.own
        if own is None or self.state not in (FreshnessState.CONFIRMED, FreshnessState.REJOINED):
            return []
        return [v for v in self._list_others() if self._noted_positions.get(v, -1) < own.synced_position]

    # ------------------------------------------------------------------ replies

    def on_reply(self, sender: str, reply: FreshnessReply) -> None:
        """Takes another voter's reply to a report or to the query."""
        own = self.own
        report = self._reports_in_flight.pop(reply.number, None)
        known = PeerFolderVersion(
            self._name, reply.identity, reply.incarnation, reply.position, reply.process_number
        )
        if report is not None:
            if own is not None and _is_newer_process(known, own):
                self._on_newer_process(own, known)
            else:
                noted = self._noted_positions.get(sender, 0)
                self._noted_positions[sender] = max(report.position, noted)
        elif own is not None and reply.number == self._query_number and sender in self._list_voters():
            self._replies[sender] = known
            self._on_query_reply(own, known)

    def _on_newer_process(self, own: OwnFolder, known: PeerFolderVersion) -> None:
        """A voter that could not be reached when this one asked knows of a newer process."""
        if self.state is FreshnessState.REJOINED:
            own.incarnation, self.state = known.incarnation + 1, FreshnessState.REJOINING
            self._restart_query()
        elif self.state is FreshnessState.CONFIRMED:
            self._set_stale(known, "a later life is known")

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
        """Rejoined once all that replied have noted this incarnation; otherwise takes a higher one."""
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
        """When `turn` is to be called next; None: not before something happens."""
        if self.is_querying:
            return self._next_query_us
        return self._last_report_us + REPORT_INTERVAL_US if self._list_unreported() else None

    def turn(self, now_us: int) -> list[Outgoing]:
        """The queries or reports that are due."""
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
        """Whether a majority has replied, and the other voters that are alive have or were waited for."""
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
        """Reports how far this folder has come to the voters that have not noted it yet; called as well
        whenever something was promised.
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
