"""Stores the versions of other voters' folders and answers queries about them. Pure."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.storage.entries import PeerFolderVersion
from sailrun.storage.messages import STARTS_FROM_FOLDER, STARTS_WITHOUT_FOLDER, FreshnessQuery, FreshnessReply


class PeerFolderRegistry:
    """The newest version of each other voter's folder. `persist` writes a version to this node's own folder;
    the caller must send a reply only after that write is synced.
    """

    def __init__(self, persist: Callable[[PeerFolderVersion], None]) -> None:
        self.versions: dict[str, PeerFolderVersion] = {}  # by voter
        self._persist = persist
        # The process number of each voter that reported a start without a folder.
        self._processes_without_folder: dict[str, int] = {}

    def restore(self, versions: dict[str, PeerFolderVersion]) -> None:
        """Adds the versions read from this node's folder; versions stored since the start take precedence."""
        self.versions = {**versions, **self.versions}

    def on_query(self, sender: str, query: FreshnessQuery) -> FreshnessReply:
        """Stores the reported version and replies with the version known before. A report that contradicts
        the known version is not stored, so that every repeated query gets the same contradicting reply.
        """
        known = self.versions.get(sender, PeerFolderVersion(sender, "", 0, 0))
        reported = PeerFolderVersion(
            sender, query.identity, query.incarnation, query.position, query.process_number
        )
        if _supersedes(reported, known, query.startup):
            self._set_version(reported)
        return FreshnessReply(
            query.number, known.identity, known.incarnation, known.position, known.process_number
        )

    def on_peer_without_folder(self, sender: str, process_number: int) -> None:
        """Handles a voter that started without a folder: any earlier folder of it is stale from now on."""
        if self._processes_without_folder.get(sender) == process_number:
            return
        self._processes_without_folder[sender] = process_number
        known = self.versions.get(sender)
        # If the known version is of the same process, that process has reported a folder since.
        if known is not None and known.process_number != process_number:
            self._set_version(PeerFolderVersion(sender, "", known.incarnation + 1, 0, process_number))

    def _set_version(self, version: PeerFolderVersion) -> None:
        self.versions[version.voter] = version
        self._persist(version)


def _supersedes(reported: PeerFolderVersion, known: PeerFolderVersion, startup: int) -> bool:
    """Whether a reported version has to replace the known one."""
    is_later_incarnation = reported.incarnation > known.incarnation
    if startup == STARTS_FROM_FOLDER:
        return is_later_incarnation and not explain_staleness(reported, reported.incarnation - 1, known)
    if startup == STARTS_WITHOUT_FOLDER:
        return is_later_incarnation
    return is_later_incarnation or (is_same_process(reported, known) and reported.position > known.position)


def is_same_process(first: PeerFolderVersion, second: PeerFolderVersion) -> bool:
    """Whether both versions belong to the same process with the same folder."""
    return (first.process_number, first.incarnation, first.identity) == (
        second.process_number,
        second.incarnation,
        second.identity,
    )


def explain_staleness(own: PeerFolderVersion, loaded_incarnation: int, known: PeerFolderVersion) -> str:
    """Returns why a folder is older than its known version; empty if it is not. `loaded_incarnation` is that
    of the previous process, whose folder was read.
    """
    if known.incarnation > loaded_incarnation:
        return "a newer incarnation is known"
    if known.identity == own.identity:
        return "a later position is known" if known.position > own.position else ""
    if known.incarnation == loaded_incarnation and known.incarnation:
        return "another folder of that incarnation is known"
    return ""
