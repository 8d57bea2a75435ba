"""Whether a voter's folder is the newest there is of it. Pure.

A folder restored from a backup, copied, or short of its last generation looks like any other to itself. So a
voter has the others note how far its folder has come, in their own, and promises nothing before a majority
has. A voter that starts asks them first:

- one that goes by its folder (`ASKS`) votes once a majority, itself among it, has answered, the others that
  live were waited for a moment, and nobody knew a newer life or a later position of it;
- one that has none to go by (`LEARNS`) takes a life above all that a majority knows, has a majority note it,
  and is to be told everything else by the others: no older folder under its name is gone by from then on.

What was promised is so missed in one case alone: no voter that noted it is there when an older folder starts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sailrun.storage.entries import PeerFolderVersion
from sailrun.storage.messages import FreshnessQuery, FreshnessReply

QUERY_INTERVAL_US, REPORT_INTERVAL_US = 250_000, 250_000
# Once a majority has answered, the other voters that live are waited for so long: one of them may know more.
REPLY_GRACE_US = 1_000_000
STARTS_FROM_FOLDER, STARTS_WITHOUT_FOLDER = 1, 2  # what a Stand begins
Outgoing = tuple[str, FreshnessQuery | FreshnessReply]


class FreshnessState(Enum):
    QUERYING = "asks"
    CONFIRMED = "trusted"
    REJOINING = "learns"
    REJOINED = "learned"  # its new life is noted by a majority
    STALE = "old"  # the fleet knew a newer folder; until it has begun anew


@dataclass(slots=True)
class OwnFolder:
    """This voter's own folder."""

    identity: str
    process_number: int  # this process's own number
    incarnation: int  # that of this process, as the folder counts them
    loaded_position: int  # the position that was found at its start
    synced_position: int  # what is on the disk by now


class FolderFreshness:
    def __init__(
        self,
        name: str,
        voters: Callable[[], list[str]],
        majority: Callable[[set[str]], bool],
        note: Callable[[PeerFolderVersion], None],
        number: int,
        lives: Callable[[str], bool],
        off: frozenset[str] = frozenset(),
    ) -> None:
        """`note` has a note written down. `number` begins this process's own numbers. `lives`: as far as
        members know.
        """
        self._is_alive = lives
        self._name, self._list_voters, self._is_majority, self._persist_version = name, voters, majority, note
        self._last_number, self._disabled_rules = number, off
        self.peer_versions: dict[str, PeerFolderVersion] = {}
        self.own: OwnFolder | None = None
        self.state = FreshnessState.REJOINING
        self.newest_known: PeerFolderVersion | None = (
            None  # what somebody knew of this voter that its folder does not
        )
        self.stale_reason = ""
        self._replies: dict[str, PeerFolderVersion] = {}
        self._next_query_us = 0
        self._query_number = 0
        self._noted_positions: dict[str, int] = {}  # by voter, the position that it has noted
        self._reports_in_flight: dict[int, tuple[str, int]] = {}
        self._has_majority_reply = False  # a majority knows of no newer folder
        self._grace_until_us = 0  # until when the others are waited for as well
        self._last_report_us = 0
        self._folderless_processes: dict[
            str, int
        ] = {}  # by voter without memory, in which process of its that was

    def start(self, own: OwnFolder, sound: bool, notes: dict[str, PeerFolderVersion]) -> None:
        """`sound`: as far as the folder itself can tell."""
        self.own, self.peer_versions = own, {**notes, **self.peer_versions}
        self.state = FreshnessState.QUERYING if sound else FreshnessState.REJOINING
        if "generation" in self._disabled_rules and sound:
            self.state = FreshnessState.CONFIRMED

    @property
    def is_established(self) -> bool:
        """Whether no older folder of this voter can be gone by any more."""
        return self.own is None or self.state in (FreshnessState.CONFIRMED, FreshnessState.REJOINED)

    # ------------------------------------------------------------------ what others tell

    def on_query(self, sender: str, told: FreshnessQuery) -> FreshnessReply:
        """Notes how far another voter's folder has come, and tells what was known before. What contradicts
        that is not noted: the sender is to hear of it, however often it has to ask.
        """
        before = self.peer_versions.get(sender, PeerFolderVersion(sender, "", 0, 0))
        noted = PeerFolderVersion(sender, told.identity, told.incarnation, told.position, told.process_number)
        if told.startup == STARTS_FROM_FOLDER:
            takes = told.incarnation > before.incarnation and not _explain_staleness(
                noted, told.incarnation - 1, before
            )
        elif told.startup == STARTS_WITHOUT_FOLDER:
            takes = told.incarnation > before.incarnation
        else:
            same = (told.process_number, told.incarnation, told.identity) == (
                before.process_number,
                before.incarnation,
                before.identity,
            )
            takes = told.incarnation > before.incarnation or (same and told.position > before.position)
        if takes:
            self._set_peer_version(noted)
        return FreshnessReply(
            told.number, before.identity, before.incarnation, before.position, before.process_number
        )

    def on_peer_without_folder(self, sender: str, process: int) -> None:
        """That voter has started without a memory: whatever folder it had is older than what it does now."""
        if self._folderless_processes.get(sender) != process:
            self._folderless_processes[sender] = process
            before = self.peer_versions.get(sender)
            if (
                before is not None and before.process_number != process
            ):  # else it has a folder, and has told of it
                self._set_peer_version(PeerFolderVersion(sender, "", before.incarnation + 1, 0, process))

    def _set_peer_version(self, noted: PeerFolderVersion) -> None:
        self.peer_versions[noted.voter] = noted
        self._persist_version(noted)

    # ------------------------------------------------------------------ this voter's own

    def on_reply(self, sender: str, answer: FreshnessReply) -> None:
        own = self.own
        telling = self._reports_in_flight.pop(answer.number, None)
        if telling is not None:
            if (
                own is not None
                and answer.process_number != own.process_number
                and answer.incarnation >= own.incarnation
            ):
                # It was not there to be asked when this life was taken: a later one is taken, and noted.
                if self.state is FreshnessState.REJOINED:
                    own.incarnation, self.state = answer.incarnation + 1, FreshnessState.REJOINING
                    self._restart_query()
                elif self.state is FreshnessState.CONFIRMED:
                    # Out of reach when this voter asked: its folder is an older one after all.
                    known = PeerFolderVersion(
                        self._name,
                        answer.identity,
                        answer.incarnation,
                        answer.position,
                        answer.process_number,
                    )
                    self.state, self.newest_known, self.stale_reason = (
                        FreshnessState.STALE,
                        known,
                        "a later life is known",
                    )
                return
            self._noted_positions[sender] = max(telling[1], self._noted_positions.get(sender, 0))
            return
        if own is None or answer.number != self._query_number or sender not in self._list_voters():
            return
        known = PeerFolderVersion(
            self._name, answer.identity, answer.incarnation, answer.position, answer.process_number
        )
        self._replies[sender] = known
        heard = self._is_majority({*self._replies, self._name})
        if self.state is FreshnessState.QUERYING:
            self._check_reply(own, known)
            self._has_majority_reply = heard
        elif self.state is FreshnessState.REJOINING and heard:
            mine = (own.process_number, own.incarnation, own.identity)
            if all((k.process_number, k.incarnation, k.identity) == mine for k in self._replies.values()):
                self.state = FreshnessState.REJOINED
            else:
                above = max(k.incarnation for k in self._replies.values())
                if above >= own.incarnation:
                    own.incarnation = above + 1
                self._restart_query()

    def _check_reply(self, own: OwnFolder, known: PeerFolderVersion) -> None:
        """What another voter knew of this one against what its folder has."""
        mine = PeerFolderVersion(
            self._name, own.identity, own.incarnation, own.loaded_position, own.process_number
        )
        why = _explain_staleness(mine, own.incarnation - 1, known)
        if known.process_number != own.process_number and why:
            self.state, self.newest_known, self.stale_reason = FreshnessState.STALE, known, why

    def is_position_noted(self, position: int) -> bool:
        """Whether a majority knows that this folder has come so far. What was found at the start was compared
        with what they know.
        """
        if (
            self.own is not None
            and self.state is FreshnessState.CONFIRMED
            and position <= self.own.loaded_position
        ):
            return True
        return self._is_majority(
            {self._name, *(n for n, told in self._noted_positions.items() if told >= position)}
        )

    def restart_with_new_folder(self, identity: str) -> None:
        """After `OLD`: with another folder, as one that has none to go by."""
        assert self.own is not None
        life = max([self.own.incarnation, *(k.incarnation for k in self._replies.values())]) + 1
        self.own = OwnFolder(identity, self.own.process_number, life, 0, 0)
        self.state = FreshnessState.REJOINING
        self._restart_query()

    def _restart_query(self) -> None:
        self._replies.clear()
        self._query_number = self._next_query_us = 0

    # ------------------------------------------------------------------ time

    @property
    def is_querying(self) -> bool:
        return (
            self.own is not None
            and self.state in (FreshnessState.QUERYING, FreshnessState.REJOINING)
            and bool(self.own.incarnation)
        )

    def due_us(self) -> int | None:
        if self.is_querying:
            return self._next_query_us
        return self._last_report_us + REPORT_INTERVAL_US if self._list_unreported() else None

    def _list_unreported(self) -> list[str]:
        own = self.own
        if own is None or self.state not in (FreshnessState.CONFIRMED, FreshnessState.REJOINED):
            return []
        return [
            n
            for n in self._list_voters()
            if n != self._name and self._noted_positions.get(n, -1) < own.synced_position
        ]

    def turn(self, now_us: int) -> list[Outgoing]:
        own = self.own
        if own is None:
            return []
        if self.state is FreshnessState.QUERYING and self._has_majority_reply:
            self._grace_until_us = self._grace_until_us or now_us + REPLY_GRACE_US
            missing = [n for n in self._list_voters() if n != self._name and n not in self._replies]
            if now_us >= self._grace_until_us or not any(self._is_alive(n) for n in missing):
                self.state = FreshnessState.CONFIRMED
                return []
        if self.is_querying and now_us >= self._next_query_us:
            self._next_query_us = now_us + QUERY_INTERVAL_US
            if not self._query_number:
                self._last_number += 1
                self._query_number = self._last_number
            begins = STARTS_FROM_FOLDER if self.state is FreshnessState.QUERYING else STARTS_WITHOUT_FOLDER
            stand = FreshnessQuery(
                self._query_number,
                own.identity,
                own.incarnation,
                own.loaded_position,
                own.process_number,
                begins,
            )
            alone = [n for n in self._list_voters() if n != self._name]
            if not alone or self._is_majority({self._name}):
                self.state = (
                    FreshnessState.CONFIRMED
                    if self.state is FreshnessState.QUERYING
                    else FreshnessState.REJOINED
                )
                return []
            return [(n, stand) for n in alone]
        if now_us >= self._last_report_us + REPORT_INTERVAL_US:
            return self.report_position(now_us)
        return []

    def report_position(self, now_us: int) -> list[Outgoing]:
        """How far this folder has come, to whoever has not noted it yet: as often as something was
        promised.
        """
        own, posts = self.own, list[Outgoing]()
        if own is None:
            return []
        self._last_report_us = now_us
        for name in self._list_unreported():
            self._last_number += 1
            self._reports_in_flight[self._last_number] = (name, own.synced_position)
            while len(self._reports_in_flight) > 64:
                del self._reports_in_flight[next(iter(self._reports_in_flight))]
            posts.append(
                (
                    name,
                    FreshnessQuery(
                        self._last_number,
                        own.identity,
                        own.incarnation,
                        own.synced_position,
                        own.process_number,
                    ),
                )
            )
        return posts


def _explain_staleness(mine: PeerFolderVersion, loaded_life: int, known: PeerFolderVersion) -> str:
    """Why a folder is older than what is known of it; empty: it is not. `loaded_life`: of the process
    before.
    """
    if known.incarnation > loaded_life:
        return "a later life is known"
    if known.identity == mine.identity:
        return "a later position is known" if known.position > mine.position else ""
    return (
        "another folder is known of that life"
        if known.incarnation == loaded_life and known.incarnation
        else ""
    )
