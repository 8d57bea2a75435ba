"""The marks that are active at this node, according to its own replica."""

from __future__ import annotations

from typing import NamedTuple

from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.operator_marks import MARK_KINDS, is_mark_active, list_active_marks
from sailrun.replication.records import Key


class MarkChange(NamedTuple):
    """A mark became active or inactive."""

    kind: str
    subject: str
    active: bool


class MarkEffects:
    """Tracks which marks of the replica are active, and lists the changes. After the replica was discarded,
    its marks stay active until the new one is complete. A corrupted mark stays active until it is received
    again.
    """

    def __init__(self, anti_entropy: AntiEntropy) -> None:
        self._anti_entropy = anti_entropy
        self.changes: list[MarkChange] = []  # the caller applies them and empties the list
        self.active: set[tuple[str, str]] = set()  # kind and subject of all active marks
        self._touched: set[Key] = set()  # marks that may have changed since the last update
        self._is_full_check_due = True  # the next update checks all marks, not only the touched ones

    def touch(self, key: Key) -> None:
        """Registers that the record may have changed."""
        if key[0] in MARK_KINDS:
            self._touched.add(key)

    def require_full_check(self) -> None:
        """Makes the next update check all marks, because the replica was replaced."""
        self._is_full_check_due = True

    def update(self, is_sync_unknown: bool) -> None:
        """Updates the active marks and the list of changes. `is_sync_unknown`: the replica has not been in
        sync with the leader's since it was begun.
        """
        if not self._anti_entropy.copy.is_complete:
            self._is_full_check_due = True
            return
        if self._is_full_check_due:
            active = self._check_all(is_sync_unknown)
        elif self._touched:
            active = self._check_touched()
        else:
            return
        self._touched.clear()
        for kind, subject in sorted(active - self.active):
            self.changes.append(MarkChange(kind, subject, True))
        for kind, subject in sorted(self.active - active):
            self.changes.append(MarkChange(kind, subject, False))
        self.active = active

    def _check_all(self, is_sync_unknown: bool) -> set[tuple[str, str]]:
        active = set(list_active_marks(self._anti_entropy.store))
        active |= {key[:2] for key in self._anti_entropy.awaiting_repair if key[:2] in self.active}
        # A replica that was just transferred may come from a sender that lags behind, so previously active
        # marks stay active until the replica is in sync with the leader's.
        self._is_full_check_due = self._anti_entropy.copy.discard_count > 0 and is_sync_unknown
        return active | self.active if self._is_full_check_due else active

    def _check_touched(self) -> set[tuple[str, str]]:
        active = set(self.active)
        for key in self._touched:
            if key in self._anti_entropy.awaiting_repair:
                continue
            record = self._anti_entropy.store.get(key)
            if record is not None and is_mark_active(record):
                active.add(key[:2])
            else:
                active.discard(key[:2])
        return active
