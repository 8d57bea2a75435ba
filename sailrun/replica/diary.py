"""To whom a copy tells what has to be known after a restart; nobody, where nothing lasts."""

from __future__ import annotations

from sailrun.replica.records import Key, Record


class Diary:
    """Keeps nothing. Each call states how something is from now on."""

    def record(self, record: Record, mark: int) -> None:
        """This copy has the record so; `mark` is its hash."""

    def dropped(self, key: Key) -> None:
        """The record is forgotten, as the fleet has decided."""

    def copy(self, epoch: int, whole: bool, cleared: bool = False) -> None:
        """The copy is of this epoch, and whole or not. `cleared`: all records were thrown away."""

    def keeps(self, life: int, promised: int, lives: dict[str, int], remembers: bool) -> None:
        """What the voter here has promised, and knows of lives."""
