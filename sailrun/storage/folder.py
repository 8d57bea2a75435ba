"""A node's folder: how it is read, and how it is written so that a reader never finds anything but what was,
or what was to be.

`identity` says whose it is; `journal.N` holds entries in the order they were made, `snapshot.N` all that held
when journal N began. A new generation begins a journal first, then the snapshot is written aside, synced, and
renamed; until that is done the older snapshot and both journals say the same. The last two generations are
kept.

Not for several threads: whoever writes owns it.
"""

from __future__ import annotations

import errno
import gc
import json
import secrets
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain, islice

from sailrun.replication.records import size_of
from sailrun.storage import entries as e
from sailrun.storage.files import AppendHandle, FolderFiles
from sailrun.storage.frames import (
    HEADER_BYTES,
    SCHEMA,
    CorruptFileError,
    FileHeader,
    FileKind,
    Frame,
    FrameKind,
    FrameReader,
    NewerSchemaError,
    encode_frame,
    encode_header,
    read_header,
)

IDENTITY_FILE, TEMPORARY_SUFFIX = "identity", ".new"
MAX_IDENTITY_BYTES = 4096
# A folder of more bytes than this is not read.
MAX_FOLDER_BYTES = 4 * 1024**3
# Where a file is gone when it comes to be read, the folder is read anew so many times in all.
READ_ATTEMPTS = 5
# Of a snapshot, so many entries of so many bytes are a frame; between two frames there is a look at what else
# there is to write.
SNAPSHOT_FRAME_ENTRIES, SNAPSHOT_FRAME_BYTES = 500, 256 * 1024


class FolderIntegrity(Enum):
    """What a folder is worth."""

    EMPTY = "new"  # there was nothing
    INTACT = "sound"  # all that was ever said to be on the disk is there, as far as the folder can tell
    UNTRUSTED = "doubtful"  # something is missing: what is there may be looked at, not gone by


@dataclass(slots=True)
class FolderContents:
    """What was read."""

    integrity: FolderIntegrity
    reason: str = ""
    node: str = ""
    fleet: str = ""
    identity: bytes = b""
    state: e.PersistedState = field(default_factory=e.PersistedState)
    position: int = 0
    journal_generation: int = 0  # of the journal that is written to
    highest_generation: int = 0  # generation of any file
    journal_end: int = 0  # where that journal's last good frame ends
    torn_bytes: int = 0  # bytes after it
    is_journal_closed: bool = False  # that journal is closed: the next entry is another's
    entry_count: int = 0


def generate_identity() -> str:
    """Of a folder that is begun: 32 hex digits that no other has."""
    return secrets.token_hex(16)


def _list_generations(names: list[str], word: str) -> list[int]:
    tails = [n.removeprefix(f"{word}.") for n in names if n.startswith(f"{word}.")]
    return sorted(int(t) for t in tails if t.isdigit() and len(t) < 19)


def read_identity(files: FolderFiles) -> tuple[str, str, bytes, str]:
    """Node, fleet, identity, and what is wrong with it, if anything. Raises BadFile, or OSError."""
    try:
        told = json.loads(files.read(IDENTITY_FILE, 0, MAX_IDENTITY_BYTES))
        node, fleet, identity = str(told["node"]), str(told["fleet"]), bytes.fromhex(told["identity"])
        schema, inode = int(told["schema"]), int(told["inode"])
    except (ValueError, KeyError, TypeError, RecursionError):
        raise CorruptFileError(f"{IDENTITY_FILE}: not in its form") from None
    if schema > SCHEMA:
        raise NewerSchemaError(f"of schema {schema}; this version reads up to {SCHEMA}")
    if len(identity) != 16:
        raise CorruptFileError(f"{IDENTITY_FILE}: not in its form")
    return (
        node,
        fleet,
        identity,
        "" if inode == files.inode(IDENTITY_FILE) else "copied or restored from elsewhere",
    )


@contextmanager
def paused_garbage_collection() -> Iterator[None]:
    """While very many objects are made that all stay, looking through them for garbage again and again would
    take as long as making them.
    """
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def read_folder(files: FolderFiles) -> FolderContents:
    """Reads all that is there. Nothing is written. Raises NewerSchema, or OSError where it cannot be read;
    what is damaged raises nothing, and makes the folder doubtful. Another process may write to it meanwhile.
    """
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return _read_once(files)
        except FileNotFoundError:
            continue  # a generation took the place of another between the names and the reading
    return _read_once(files)


def _read_once(files: FolderFiles) -> FolderContents:
    names = files.names()
    journals, snapshots = _list_generations(names, "journal"), _list_generations(names, "snapshot")
    highest = max([0, *journals, *snapshots])
    if IDENTITY_FILE not in names:
        if not journals and not snapshots:
            return FolderContents(FolderIntegrity.EMPTY)
        return FolderContents(
            FolderIntegrity.UNTRUSTED, f"{IDENTITY_FILE} is missing", highest_generation=highest
        )
    try:
        node, fleet, identity, moved = read_identity(files)
    except NewerSchemaError:
        raise
    except CorruptFileError as error:
        return FolderContents(FolderIntegrity.UNTRUSTED, str(error), highest_generation=highest)
    found = FolderContents(FolderIntegrity.INTACT, "", node, fleet, identity, highest_generation=highest)
    try:
        if sum(files.size(n) for n in names) > MAX_FOLDER_BYTES:
            raise CorruptFileError(f"over {MAX_FOLDER_BYTES} bytes")
        with paused_garbage_collection():
            _read_generations(files, found, journals, snapshots)
    except NewerSchemaError:
        raise
    except CorruptFileError as error:
        found.integrity, found.reason = FolderIntegrity.UNTRUSTED, str(error)
    if moved and found.integrity is FolderIntegrity.INTACT:
        found.integrity, found.reason = FolderIntegrity.UNTRUSTED, moved
    return found


def _read_file_header(
    files: FolderFiles, name: str, found: FolderContents, kinds: tuple[FileKind, ...], generation: int
) -> FileHeader:
    try:
        head = read_header(lambda offset, most: files.read(name, offset, most))
    except NewerSchemaError as error:
        raise NewerSchemaError(f"{name}: {error}") from None
    except CorruptFileError as error:
        raise CorruptFileError(f"{name}: {error}") from None
    if head.identity != found.identity or head.generation != generation or head.kind not in kinds:
        raise CorruptFileError(f"{name}: of another folder or generation")
    return head


def _read_generations(
    files: FolderFiles, found: FolderContents, journals: list[int], snapshots: list[int]
) -> None:
    base = 0
    for generation in reversed(snapshots):
        # One that is damaged says nothing that the one before and its journals do not.
        told = _read_snapshot(files, found, generation)
        if told is not None:
            base, (found.state, found.position, found.entry_count) = generation, told
            break
    first = base or min(journals, default=0)
    chain = [n for n in journals if n >= first]
    if not chain:
        if base:
            raise CorruptFileError(f"journal.{base} is missing")
        # The very first one was to be made when the process ended.
        return
    if (base and chain[0] != base) or chain != list(range(chain[0], chain[0] + len(chain))):
        raise CorruptFileError("a journal is missing")
    torn_before, goes_on = "", False
    for n, generation in enumerate(chain):
        name = f"journal.{generation}"
        try:
            head = _read_file_header(
                files, name, found, (FileKind.JOURNAL, FileKind.STANDALONE_JOURNAL), generation
            )
        except NewerSchemaError:
            raise
        except CorruptFileError:
            # The last one, of which nothing but the head's place had come to the disk: it was never used. A
            # snapshot's own was synced before that.
            used = generation in snapshots or files.size(name) > HEADER_BYTES
            if n == len(chain) - 1 and not used:
                break
            raise
        if head.kind is FileKind.STANDALONE_JOURNAL and generation != base:
            if generation in snapshots or files.size(name) > HEADER_BYTES:
                raise CorruptFileError(f"{name}: its snapshot is missing or damaged")
            continue  # begun anew, and given up before it was used
        if n and not goes_on:
            raise CorruptFileError(
                f"journal.{generation - 1}: {torn_before or 'does not say that it goes on'}"
            )
        if not base and not n:
            found.position = head.position
        if head.position != found.position:
            raise CorruptFileError(f"{name}: begins at {head.position}, not at {found.position}")
        goes_on, torn_before = _read_journal(files, found, name, head)
    found.is_journal_closed = goes_on
    if base == 0 and chain[0] != 1:
        raise CorruptFileError("the snapshot is missing or damaged")


def _read_journal(files: FolderFiles, found: FolderContents, name: str, head: FileHeader) -> tuple[bool, str]:
    """Applies it; returns whether it says that another goes on, and what is wrong at its end."""
    goes_on = False
    frames = FrameReader(lambda offset, most: files.read(name, offset, most), head)
    for frame in frames:
        if goes_on or frame.kind is not FrameKind.ENTRY or frame.position != found.position + 1:
            if frame.kind is FrameKind.JOURNAL_CLOSED and not goes_on and frame.position == found.position:
                goes_on = True
                continue
            raise CorruptFileError(f"{name}: an entry out of its turn after {found.position}")
        try:
            found.state.apply(e.decode_entry(frame.payload))
        except ValueError as error:
            raise CorruptFileError(f"{name}: {error}") from None
        found.position = frame.position
        found.entry_count += 1
    if frames.synced_after_damage > found.position:
        raise CorruptFileError(f"{name}: spoilt after {found.position}: what followed was on the disk")
    found.journal_generation, found.journal_end = head.generation, frames.end_offset
    found.torn_bytes = files.size(name) - frames.end_offset if frames.has_torn_tail else 0
    return goes_on, "spoilt at its end" if frames.has_torn_tail else ""


def _read_snapshot(
    files: FolderFiles, found: FolderContents, generation: int
) -> tuple[e.PersistedState, int, int] | None:
    """None: it is not whole."""
    name = f"snapshot.{generation}"
    memory, count = e.PersistedState(), 0
    try:
        head = _read_file_header(files, name, found, (FileKind.SNAPSHOT,), generation)
        for frame in FrameReader(lambda offset, most: files.read(name, offset, most), head):
            if frame.kind is FrameKind.SNAPSHOT_END:
                return (memory, head.position, count) if frame.position == count else None
            if frame.kind is not FrameKind.SNAPSHOT_ENTRIES:
                return None
            many = e.decode_entries(frame.payload)
            count += len(many)
            if frame.position != count:
                return None
            for entry in many:
                memory.apply(entry)
    except NewerSchemaError:
        raise
    except ValueError:
        return None
    return None


@dataclass(slots=True)
class _PartialSnapshot:
    """One that is being written."""

    generation: int
    handle: AppendHandle
    entries: Iterator[e.Entry]
    entry_count: int = 0


class FolderWriter:
    """The writing side, over what was found. `off`: rules that the laboratory switches off."""

    def __init__(self, files: FolderFiles, found: FolderContents, off: frozenset[str] = frozenset()) -> None:
        self._files, self._disabled_rules = files, off
        self.identity, self.position, self.synced_position = found.identity, found.position, found.position
        self.generation, self._highest_generation = found.journal_generation, found.highest_generation
        self._journal: AppendHandle | None = None
        self._journal_bytes = 0  # of the journal
        self._snapshot: _PartialSnapshot | None = None
        self.written_bytes = 0  # bytes since the start
        self.sync_count = 0
        self._contents = found

    # ------------------------------------------------------------------ beginning

    def resume(self) -> None:
        """Takes up the journal that was found, less what was torn at its end. For a sound folder."""
        found = self._contents
        if not found.journal_generation:
            self._begin_journal(1, FileKind.JOURNAL)
            return
        if found.is_journal_closed:
            self._begin_journal(found.journal_generation + 1, FileKind.JOURNAL)
            return
        name = f"journal.{found.journal_generation}"
        if found.torn_bytes:
            self._files.truncate(name, found.journal_end)
        self._journal, self._journal_bytes = self._files.append(name), found.journal_end
        for number in _list_generations(self._files.names(), "journal"):
            if number > found.journal_generation:  # never used
                self._files.remove(f"journal.{number}")
        # What was found may be in the system's memory alone, and is about to be taken for certain.
        self._sync()

    def create(self, node: str, fleet: str, identity: bytes, position: int = 0) -> None:
        """Begins a folder of this identity after that position. What was there is put aside, as `old-…`."""
        self._acquire_lock()
        names = self._files.names()
        for name in [n for n in names if n.startswith("old-")]:
            self._files.remove(name)
        for name in names:
            if name == IDENTITY_FILE or name.startswith(("journal.", "snapshot.")):
                self._files.rename(name, f"old-{name}")
        told = {"schema": SCHEMA, "node": node, "fleet": fleet, "identity": identity.hex()}
        new = IDENTITY_FILE + TEMPORARY_SUFFIX
        handle = self._files.create(new)
        # A file keeps its inode when it is renamed, and gets another where it is copied.
        handle.write(json.dumps({**told, "inode": self._files.inode(new)}).encode())
        handle.sync()
        handle.close()
        self._files.rename(new, IDENTITY_FILE)
        self._sync_folder()
        self.identity, self.generation, self._highest_generation = identity, 0, 0
        self.position = self.synced_position = position
        self._begin_journal(1, FileKind.JOURNAL)

    def _begin_journal(self, generation: int, kind: FileKind) -> None:
        if self._journal is not None:
            self._journal.close()
            self._journal = None
        handle = self._files.create(f"journal.{generation}")
        try:
            head = encode_header(FileHeader(kind, generation, self.identity, self.position))
            handle.write(head)
            handle.sync()
            self._sync_folder()
        except BaseException:
            handle.close()
            raise
        self._journal, self._journal_bytes = handle, len(head)
        self.generation = self._highest_generation = generation
        self.written_bytes += len(head)

    # ------------------------------------------------------------------ writing

    @property
    def journal_bytes(self) -> int:
        return self._journal_bytes

    def append(self, entries: list[e.Entry]) -> None:
        """Appends entries, to be synced later. An error leaves unknown what is there."""
        assert self._journal is not None
        parts = []
        for entry in entries:
            self.position += 1
            frame = Frame(FrameKind.ENTRY, self.position, self.synced_position, e.encode_entry(entry))
            parts.append(encode_frame(self.identity, self.generation, frame))
        data = b"".join(parts)
        self._journal.write(data)
        self._journal_bytes += len(data)
        self.written_bytes += len(data)

    def sync(self) -> None:
        """All that was written is on the disk when this returns."""
        self._sync()
        self.synced_position = self.position

    def _sync(self) -> None:
        assert self._journal is not None
        self._journal.sync()
        self.sync_count += 1

    def _sync_folder(self) -> None:
        if "folder" not in self._disabled_rules:
            self._files.sync_folder()
            self.sync_count += 1

    # ------------------------------------------------------------------ generations

    @property
    def is_writing_snapshot(self) -> bool:
        """Whether a snapshot is being written."""
        return self._snapshot is not None

    def begin_generation(self, entries: Iterable[e.Entry]) -> None:
        """From here on another journal; `entries` are all that holds now, and are written as its snapshot by
        `go_on_with_snapshot`.
        """
        assert self._journal is not None and self._snapshot is None
        frame = Frame(FrameKind.JOURNAL_CLOSED, self.position, self.synced_position, b"")
        self._journal.write(encode_frame(self.identity, self.generation, frame))
        self.sync()
        self._begin_journal(self._highest_generation + 1, FileKind.JOURNAL)
        self._begin_snapshot(entries)

    def _begin_snapshot(self, entries: Iterable[e.Entry]) -> None:
        handle = self._files.create(f"snapshot.{self.generation}{TEMPORARY_SUFFIX}")
        data = encode_header(FileHeader(FileKind.SNAPSHOT, self.generation, self.identity, self.position))
        handle.write(data)
        self.written_bytes += len(data)
        self._snapshot = _PartialSnapshot(self.generation, handle, iter(entries))

    def write_snapshot_chunk(self) -> bool:
        """Writes a part of it; whether it is done."""
        made = self._snapshot
        assert made is not None
        many = list(islice(made.entries, SNAPSHOT_FRAME_ENTRIES))
        size = 0
        for entry in many:
            size += size_of(entry.record) if isinstance(entry, e.StoredRecord) else 0
            if size > SNAPSHOT_FRAME_BYTES:  # long records go one by one
                self._write_snapshot_frame(made, FrameKind.SNAPSHOT_ENTRIES, many[:1])
                made.entries = chain(many[1:], made.entries)
                return False
        if many:
            self._write_snapshot_frame(made, FrameKind.SNAPSHOT_ENTRIES, many)
            return False
        self._write_snapshot_frame(made, FrameKind.SNAPSHOT_END, [])
        self._finish_snapshot(made)
        return True

    def _write_snapshot_frame(self, made: _PartialSnapshot, content: FrameKind, many: list[e.Entry]) -> None:
        made.entry_count += len(many)
        frame = Frame(
            content, made.entry_count, self.synced_position, e.encode_entries(many) if many else b""
        )
        data = encode_frame(self.identity, made.generation, frame)
        made.handle.write(data)
        self.written_bytes += len(data)

    def _finish_snapshot(self, made: _PartialSnapshot) -> None:
        made.handle.sync()
        made.handle.close()
        self.sync_count += 1
        name = f"snapshot.{made.generation}"
        self._files.rename(name + TEMPORARY_SUFFIX, name)
        self._sync_folder()
        self._snapshot = None
        # This one and the one before stay.
        names = self._files.names()
        before = max([n for n in _list_generations(names, "snapshot") if n < made.generation], default=1)
        for word in ("journal", "snapshot"):
            for number in _list_generations(names, word):
                if number < before:
                    self._files.remove(f"{word}.{number}")

    def write_standalone_generation(self, entries: Iterable[e.Entry], position: int) -> None:
        """After an error nothing that was not synced is known to be there: all that holds is written as a
        generation of its own, and read back before anybody goes by it.
        """
        self._acquire_lock()
        self.position = position
        highest = max([self._highest_generation, *_list_generations(self._files.names(), "journal")])
        self._begin_journal(highest + 1, FileKind.STANDALONE_JOURNAL)
        self._begin_snapshot(entries)
        while not self.write_snapshot_chunk():
            pass
        self.sync()
        back = read_folder(self._files)
        if (
            back.integrity is not FolderIntegrity.INTACT
            or back.position != position
            or back.journal_generation != self.generation
        ):
            raise OSError(None, f"what was written is not what is read: {back.reason or 'another state'}")

    def _acquire_lock(self) -> None:
        """A folder that could not be had at the start may be another process's by now."""
        self.close()
        if not self._files.lock():
            raise OSError(errno.EBUSY, "in use by another process")

    def close(self) -> None:
        snapshot, self._snapshot = self._snapshot, None
        journal, self._journal = self._journal, None
        for handle in (snapshot.handle if snapshot else None, journal):
            if handle is not None:
                handle.close()
