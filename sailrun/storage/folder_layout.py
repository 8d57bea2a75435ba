"""The names of the files in a node's folder.

`identity` says whose folder it is. `journal.N` holds log entries in the order they were made, `snapshot.N`
the whole state as it was when journal N began; N is a generation. A file that is still being written ends in
`.new`, and what was set aside when a folder was created anew begins with `old-`.
"""

from __future__ import annotations

IDENTITY_FILE = "identity"
TEMPORARY_SUFFIX = ".new"
SET_ASIDE_PREFIX = "old-"
_JOURNAL, _SNAPSHOT = "journal.", "snapshot."
# A generation of more digits would not fit the 8 bytes that a file's header has for it.
_MAX_GENERATION_DIGITS = 18


def name_journal(generation: int) -> str:
    """The journal's file name."""
    return f"{_JOURNAL}{generation}"


def name_snapshot(generation: int) -> str:
    """The snapshot's file name."""
    return f"{_SNAPSHOT}{generation}"


def list_journals(names: list[str]) -> list[int]:
    """The generations of the journals among file names, in order."""
    return _list_generations(names, _JOURNAL)


def list_snapshots(names: list[str]) -> list[int]:
    """The generations of the finished snapshots among file names, in order."""
    return _list_generations(names, _SNAPSHOT)


def _list_generations(names: list[str], prefix: str) -> list[int]:
    suffixes = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return sorted(int(s) for s in suffixes if s.isdigit() and len(s) <= _MAX_GENERATION_DIGITS)


def is_data_file(name: str) -> bool:
    """Whether the file is part of the folder's present contents, a half-written snapshot included."""
    return name == IDENTITY_FILE or name.startswith((_JOURNAL, _SNAPSHOT))


def is_storage_file(name: str) -> bool:
    """Whether this program wrote the file: a data file, a half-written one, or one that was set aside."""
    return name.removeprefix(SET_ASIDE_PREFIX).startswith((IDENTITY_FILE, _JOURNAL, _SNAPSHOT))
