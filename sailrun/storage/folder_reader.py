"""Reads a storage folder: the newest complete snapshot, then every journal from its generation on.

A folder is intact if the positions have no gap, every journal but the last is closed by a frame that
announces the next one, and no frame after a damaged one proves that the damaged one had been synced.
Otherwise it is untrusted: its contents may be displayed, but no vote may be based on them.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from sailrun.storage.entries import decode_entries, decode_entry
from sailrun.storage.errors import CorruptFileError, InvalidEntryError, NewerSchemaError
from sailrun.storage.files import FolderFiles
from sailrun.storage.folder_identity import read_identity
from sailrun.storage.folder_layout import (
    IDENTITY_FILE,
    list_journals,
    list_snapshots,
    name_journal,
    name_snapshot,
)
from sailrun.storage.frames import (
    HEADER_BYTES,
    FileHeader,
    FileKind,
    Frame,
    FrameKind,
    FrameReader,
    ReadAt,
    read_header,
)
from sailrun.storage.persisted_state import PersistedState

# A larger folder is treated as untrusted and is not read.
MAX_FOLDER_BYTES = 4 * 1024**3
# Total attempts to read the folder if its files are renamed meanwhile by the process that writes to it.
READ_ATTEMPTS = 5


class FolderIntegrity(Enum):
    """The reliability of a folder, judged by its files alone. The values are printed and logged."""

    EMPTY = "new"  # nothing was ever written
    INTACT = "sound"  # every entry that was ever synced is present
    UNTRUSTED = "doubtful"  # files are missing, damaged or copied from elsewhere


@dataclass(slots=True)
class FolderContents:
    """The result of reading a folder. `reason` states why the folder is untrusted."""

    integrity: FolderIntegrity
    reason: str = ""
    node: str = ""
    fleet: str = ""
    identity: bytes = b""
    state: PersistedState = field(default_factory=PersistedState)
    position: int = 0  # of the last entry
    journal_generation: int = 0  # of the last journal; 0: there is none
    highest_generation: int = 0  # of any journal or snapshot
    journal_end: int = 0  # offset in the last journal at which its last valid frame ends
    torn_bytes: int = 0  # bytes after that offset
    is_journal_closed: bool = False  # the last journal ends with a frame that announces the next one
    entry_count: int = 0


@contextmanager
def paused_garbage_collection() -> Iterator[None]:
    """Disables garbage collection inside the context: if very many objects are created that all stay alive,
    repeated collections take as long as creating the objects.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def read_folder(files: FolderFiles) -> FolderContents:
    """Reads the whole folder without writing; another process may write to it meanwhile. Damage does not
    raise an exception but makes the folder untrusted. Raises NewerSchemaError, or OSError if the folder
    cannot be read.
    """
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return _read_once(files)
        except FileNotFoundError:
            continue  # a listed file was renamed or removed when a new generation replaced an older one
    return _read_once(files)


def _read_once(files: FolderFiles) -> FolderContents:
    names = files.names()
    journals, snapshots = list_journals(names), list_snapshots(names)
    highest = max([0, *journals, *snapshots])
    if IDENTITY_FILE not in names:
        if not journals and not snapshots:
            return FolderContents(FolderIntegrity.EMPTY)
        return _untrusted(f"{IDENTITY_FILE} is missing", highest)
    try:
        owner = read_identity(files)
    except CorruptFileError as error:
        return _untrusted(str(error), highest)
    contents = FolderContents(
        FolderIntegrity.INTACT, "", owner.node, owner.fleet, owner.identity, highest_generation=highest
    )
    try:
        if sum(files.size(name) for name in names) > MAX_FOLDER_BYTES:
            raise CorruptFileError(f"folder is too large: expected at most {MAX_FOLDER_BYTES} bytes")
        with paused_garbage_collection():
            _GenerationReader(files, contents, journals, snapshots).read()
    except CorruptFileError as error:
        contents.integrity, contents.reason = FolderIntegrity.UNTRUSTED, str(error)
    if owner.was_copied and contents.integrity is FolderIntegrity.INTACT:
        contents.integrity = FolderIntegrity.UNTRUSTED
        contents.reason = "the folder was copied or restored: the inode of its identity file differs"
    return contents


def _untrusted(reason: str, highest_generation: int) -> FolderContents:
    return FolderContents(FolderIntegrity.UNTRUSTED, reason, highest_generation=highest_generation)


@dataclass(frozen=True, slots=True)
class _JournalEnd:
    """The end of a journal. `damage` describes the damage found there; empty if there is none."""

    is_closed: bool = False
    damage: str = ""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """A complete snapshot: the state after the entry at `position`."""

    position: int
    entry_count: int
    state: PersistedState


class _GenerationReader:
    """Reads snapshots and journals into `contents`. If it raises CorruptFileError, `contents` has everything
    that was read before the error.
    """

    def __init__(
        self, files: FolderFiles, contents: FolderContents, journals: list[int], snapshots: list[int]
    ) -> None:
        self._files, self._contents = files, contents
        self._journals, self._snapshots = journals, snapshots

    def read(self) -> None:
        """Reads the newest snapshot and the journals that follow it. Raises CorruptFileError,
        NewerSchemaError or OSError.
        """
        contents = self._contents
        base = self._load_newest_snapshot()
        first = base or min(self._journals, default=0)
        generations = [n for n in self._journals if n >= first]
        if not generations:
            if base:
                raise CorruptFileError(f"{name_journal(base)} is missing")
            return  # the process ended before it created the very first journal
        first = generations[0]
        if (base and first != base) or generations != list(range(first, first + len(generations))):
            raise CorruptFileError(
                "a journal is missing: expected consecutive generations from the snapshot on"
            )
        contents.is_journal_closed = self._read_journals(generations, base)
        if base == 0 and first != 1:
            raise CorruptFileError("the snapshot of the first journal's generation is missing or damaged")

    def _load_newest_snapshot(self) -> int:
        """Returns the generation of the newest complete snapshot, or 0."""
        contents = self._contents
        for generation in reversed(self._snapshots):
            snapshot = self._read_snapshot(generation)
            # A damaged snapshot is skipped: the previous one and its journals contain the same state.
            if snapshot is not None:
                contents.state, contents.position = snapshot.state, snapshot.position
                contents.entry_count = snapshot.entry_count
                return generation
        return 0

    def _read_snapshot(self, generation: int) -> _Snapshot | None:
        """Reads one snapshot; None if it is incomplete or damaged."""
        name = name_snapshot(generation)
        state, count = PersistedState(), 0
        try:
            header = self._read_header(name, generation, FileKind.SNAPSHOT)
            for frame in FrameReader(self._reader_of(name), header):
                if frame.kind is FrameKind.SNAPSHOT_END:
                    is_complete = frame.position == count
                    return _Snapshot(header.position, count, state) if is_complete else None
                if frame.kind is not FrameKind.SNAPSHOT_ENTRIES:
                    return None
                entries = decode_entries(frame.payload)
                count += len(entries)
                if frame.position != count:
                    return None
                for entry in entries:
                    state.apply(entry)
        except (CorruptFileError, InvalidEntryError):
            return None
        return None

    def _read_journals(self, generations: list[int], base: int) -> bool:
        """Applies the journals in order; returns whether the last one is closed."""
        contents, end = self._contents, _JournalEnd()
        for generation in generations:
            name = name_journal(generation)
            header = self._read_journal_header(generation, generation == generations[-1])
            if header is None:
                break
            if header.kind is FileKind.STANDALONE_JOURNAL and generation != base:
                if self._was_used(generation):
                    raise CorruptFileError(f"{name}: its snapshot is missing or damaged")
                continue  # begun after a failure of the disk and abandoned before it was used
            if generation != generations[0] and not end.is_closed:
                reason = end.damage or "not closed, although another journal follows"
                raise CorruptFileError(f"{name_journal(generation - 1)}: {reason}")
            if not base and generation == generations[0]:
                contents.position = header.position
            if header.position != contents.position:
                raise CorruptFileError(
                    f"{name}: the header has position {header.position}, expected {contents.position}"
                )
            end = self._read_journal(name, header)
        return end.is_closed

    def _read_journal_header(self, generation: int, is_last: bool) -> FileHeader | None:
        """Reads a journal's header; None if it is damaged and this is the last journal and was never used."""
        try:
            return self._read_header(
                name_journal(generation), generation, FileKind.JOURNAL, FileKind.STANDALONE_JOURNAL
            )
        except CorruptFileError:
            if not self._was_used(generation) and is_last:
                return None
            raise

    def _was_used(self, generation: int) -> bool:
        """Whether a promise may depend on this journal: it has entries, or the snapshot of its generation is
        finished, which happens only after the journal was synced.
        """
        return generation in self._snapshots or self._files.size(name_journal(generation)) > HEADER_BYTES

    def _read_journal(self, name: str, header: FileHeader) -> _JournalEnd:
        contents = self._contents
        is_closed = False
        frames = FrameReader(self._reader_of(name), header)
        for frame in frames:
            if not is_closed and frame.kind is FrameKind.ENTRY and frame.position == contents.position + 1:
                self._apply(name, frame)
            elif (
                not is_closed
                and frame.kind is FrameKind.JOURNAL_CLOSED
                and frame.position == contents.position
            ):
                is_closed = True
            else:
                raise CorruptFileError(
                    f"{name}: unexpected {frame.kind.name} frame at position {frame.position} "
                    f"after position {contents.position}"
                )
        if frames.synced_after_damage > contents.position:
            raise CorruptFileError(
                f"{name}: damaged after position {contents.position}, "
                f"although entries up to {frames.synced_after_damage} were synced"
            )
        contents.journal_generation, contents.journal_end = header.generation, frames.end_offset
        contents.torn_bytes = self._files.size(name) - frames.end_offset if frames.has_torn_tail else 0
        return _JournalEnd(is_closed, "damaged at its end" if frames.has_torn_tail else "")

    def _apply(self, name: str, frame: Frame) -> None:
        try:
            self._contents.state.apply(decode_entry(frame.payload))
        except InvalidEntryError as error:
            raise CorruptFileError(f"{name}: {error}") from None
        self._contents.position = frame.position
        self._contents.entry_count += 1

    def _read_header(self, name: str, generation: int, *kinds: FileKind) -> FileHeader:
        try:
            header = read_header(self._reader_of(name))
        except NewerSchemaError as error:
            raise error.in_file(name) from None
        except CorruptFileError as error:
            raise CorruptFileError(f"{name}: {error}") from None
        if (header.identity, header.generation) != (self._contents.identity, generation):
            raise CorruptFileError(
                f"{name}: the header has generation {header.generation} of folder {header.identity.hex()}, "
                f"expected generation {generation} of folder {self._contents.identity.hex()}"
            )
        if header.kind not in kinds:
            raise CorruptFileError(
                f"{name}: the header has kind {header.kind.name}, "
                f"expected {' or '.join(kind.name for kind in kinds)}"
            )
        return header

    def _reader_of(self, name: str) -> ReadAt:
        return lambda offset, max_bytes: self._files.read(name, offset, max_bytes)
