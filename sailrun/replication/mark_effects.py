"""Which marks are in force at this node, by its own copy."""

from __future__ import annotations

from typing import NamedTuple

from sailrun.replication.anti_entropy import AntiEntropy
from sailrun.replication.operator_marks import MARK_KINDS, is_mark_active, list_active_marks
from sailrun.replication.records import Key


class MarkChange(NamedTuple):
    """A mark came into force, or is in force no longer."""

    kind: str
    subject: str
    active: bool


class MarkEffects:
    """Follows the copy, and says what changes. What a copy held that is taken anew stays in force until the
    copy is complete, and what was corrupted until it is received again.
    """

    def __init__(self, anti_entropy: AntiEntropy) -> None:
        self._anti_entropy = anti_entropy
        self.changes: list[MarkChange] = []  # emptied by whoever drives this
        self.active: set[tuple[str, str]] = set()  # kind and subject of all that is in force
        self._touched: set[Key] = set()  # marks that changed since the last update
        self._is_full_check_due = True  # all marks are to be looked at, not only those that changed

    def touch(self, key: Key) -> None:
        """The record may have changed."""
        if key[0] in MARK_KINDS:
            self._touched.add(key)

    def require_full_check(self) -> None:
        """The copy is another one: all its marks may have changed."""
        self._is_full_check_due = True

    def update(self, is_level_unknown: bool) -> None:
        """Notes what changed; `is_level_unknown`: the copy was not found level with the leader's since it was
        begun.
        """
        if not self._anti_entropy.copy.is_complete:
            self._is_full_check_due = True
            return
        if self._is_full_check_due:
            active = self._check_all(is_level_unknown)
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

    def _check_all(self, is_level_unknown: bool) -> set[tuple[str, str]]:
        active = set(list_active_marks(self._anti_entropy.store))
        active |= {key[:2] for key in self._anti_entropy.awaiting_repair if key[:2] in self.active}
        # A copy just taken may come of a sender that is behind: what was in force stays so until the
        # leader has replied.
        self._is_full_check_due = self._anti_entropy.copy.copies_begun > 0 and is_level_unknown
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
