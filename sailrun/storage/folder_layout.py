"""The names of the files in a storage folder.

`identity` names the node and the fleet that the folder belongs to. `journal.N` contains log entries in the
order in which they were appended, `snapshot.N` the whole state at the beginning of journal N; N is a
generation. The name of a file that is still being written ends in `.new`. The names of files that were set
aside when a new folder was created begin with `old-`.
"""

from __future__ import annotations

IDENTITY_FILE = "identity"
TEMPORARY_SUFFIX = ".new"
SET_ASIDE_PREFIX = "old-"
_JOURNAL, _SNAPSHOT = "journal.", "snapshot."
# A number of this many digits always fits the 8 bytes that the file header reserves for a generation.
_MAX_GENERATION_DIGITS = 18


def name_journal(generation: int) -> str:
    """The file name of a journal."""
    return f"{_JOURNAL}{generation}"


def name_snapshot(generation: int) -> str:
    """The file name of a snapshot."""
    return f"{_SNAPSHOT}{generation}"


def list_journals(names: list[str]) -> list[int]:
    """The generations of the journals among file names, ascending."""
    return _list_generations(names, _JOURNAL)


def list_snapshots(names: list[str]) -> list[int]:
    """The generations of the finished snapshots among file names, ascending."""
    return _list_generations(names, _SNAPSHOT)


def _list_generations(names: list[str], prefix: str) -> list[int]:
    suffixes = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return sorted(int(s) for s in suffixes if s.isdigit() and len(s) <= _MAX_GENERATION_DIGITS)


def is_data_file(name: str) -> bool:
    """Whether the file is part of the folder's present contents, including a snapshot still being written."""
    return name == IDENTITY_FILE or name.startswith((_JOURNAL, _SNAPSHOT))


def is_storage_file(name: str) -> bool:
    """Whether this program wrote the file: a data file, one still being written, or one set aside."""
    return name.removeprefix(SET_ASIDE_PREFIX).startswith((IDENTITY_FILE, _JOURNAL, _SNAPSHOT))
