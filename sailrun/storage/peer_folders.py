"""What this node has noted of other voters' folders, and the answers it gives about them. Pure."""

from __future__ import annotations

from collections.abc import Callable

from sailrun.storage.entries import PeerFolderVersion
from sailrun.storage.messages import STARTS_FROM_FOLDER, STARTS_WITHOUT_FOLDER, FreshnessQuery, FreshnessReply


class PeerFolderRegistry:
    """The newest version of each other voter's folder. `persist` writes a version to this node's own folder;
    the caller sends a reply only once that is on the disk.
    """

    def __init__(self, persist: Callable[[PeerFolderVersion], None]) -> None:
        self.versions: dict[str, PeerFolderVersion] = {}  # by voter
        self._persist = persist
        # By voter that started without a folder: its process when it said so.
        self._processes_without_folder: dict[str, int] = {}

    def restore(self, versions: dict[str, PeerFolderVersion]) -> None:
        """Adds what this node's folder had noted; what was noted since the start is newer."""
        self.versions = {**versions, **self.versions}

    def on_query(self, sender: str, query: FreshnessQuery) -> FreshnessReply:
        """Notes the reported version, and answers what was known before. A report that contradicts what is
        known is not noted, so that the sender hears of the contradiction however often it asks.
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
        """That voter has started without a folder: any folder that it had is older than what it does now."""
        if self._processes_without_folder.get(sender) == process_number:
            return
        self._processes_without_folder[sender] = process_number
        known = self.versions.get(sender)
        # A version of the same process: it has a folder after all, and has reported it.
        if known is not None and known.process_number != process_number:
            self._set_version(PeerFolderVersion(sender, "", known.incarnation + 1, 0, process_number))

    def _set_version(self, version: PeerFolderVersion) -> None:
        self.versions[version.voter] = version
        self._persist(version)


def _supersedes(reported: PeerFolderVersion, known: PeerFolderVersion, startup: int) -> bool:
    """Whether a reported version is to be noted in place of the known one."""
    is_later_incarnation = reported.incarnation > known.incarnation
    if startup == STARTS_FROM_FOLDER:
        return is_later_incarnation and not explain_staleness(reported, reported.incarnation - 1, known)
    if startup == STARTS_WITHOUT_FOLDER:
        return is_later_incarnation
    return is_later_incarnation or (is_same_process(reported, known) and reported.position > known.position)


def is_same_process(one: PeerFolderVersion, other: PeerFolderVersion) -> bool:
    """Whether both versions are of one process with one folder."""
    return (one.process_number, one.incarnation, one.identity) == (
        other.process_number,
        other.incarnation,
        other.identity,
    )


def explain_staleness(own: PeerFolderVersion, loaded_incarnation: int, known: PeerFolderVersion) -> str:
    """Why a folder is older than what is known of it; empty: it is not. `loaded_incarnation`: that of the
    process before, whose folder was read.
    """
    if known.incarnation > loaded_incarnation:
        return "a later life is known"
    if known.identity == own.identity:
        return "a later position is known" if known.position > own.position else ""
    if known.incarnation == loaded_incarnation and known.incarnation:
        return "another folder is known of that life"
    return ""
