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

from sailrun.replication.records import estimate_size_bytes
from sailrun.storage import entries as e
from sailrun.storage.files import Files, Handle
from sailrun.storage.frames import (
    HEAD_BYTES,
    SCHEMA,
    BadFile,
    Content,
    Frame,
    Frames,
    Head,
    Kind,
    NewerSchema,
    pack_frame,
    pack_head,
    read_head,
)

IDENTITY, NEW = "identity", ".new"
LONGEST_IDENTITY = 4096
# A folder of more bytes than this is not read.
MOST_BYTES = 4 * 1024**3
# Where a file is gone when it comes to be read, the folder is read anew so many times in all.
READS = 5
# Of a snapshot, so many entries of so many bytes are a frame; between two frames there is a look at what else
# there is to write.
AT_ONCE, SLICE = 500, 256 * 1024


class Sound(Enum):
    """What a folder is worth."""

    NEW = "new"  # there was nothing
    SOUND = "sound"  # all that was ever said to be on the disk is there, as far as the folder can tell
    DOUBTFUL = "doubtful"  # something is missing: what is there may be looked at, not gone by


@dataclass(slots=True)
class Found:
    """What was read."""

    sound: Sound
    why: str = ""
    node: str = ""
    fleet: str = ""
    identity: bytes = b""
    memory: e.Memory = field(default_factory=e.Memory)
    position: int = 0
    generation: int = 0  # of the journal that is written to
    highest: int = 0  # generation of any file
    end: int = 0  # where that journal's last good frame ends
    torn: int = 0  # bytes after it
    goes_on: bool = False  # that journal is closed: the next entry is another's
    entries: int = 0


def new_identity() -> str:
    """Of a folder that is begun: 32 hex digits that no other has."""
    return secrets.token_hex(16)


def _numbered(names: list[str], word: str) -> list[int]:
    tails = [n.removeprefix(f"{word}.") for n in names if n.startswith(f"{word}.")]
    return sorted(int(t) for t in tails if t.isdigit() and len(t) < 19)


def read_identity(files: Files) -> tuple[str, str, bytes, str]:
    """Node, fleet, identity, and what is wrong with it, if anything. Raises BadFile, or OSError."""
    try:
        told = json.loads(files.read(IDENTITY, 0, LONGEST_IDENTITY))
        node, fleet, identity = str(told["node"]), str(told["fleet"]), bytes.fromhex(told["identity"])
        schema, inode = int(told["schema"]), int(told["inode"])
    except (ValueError, KeyError, TypeError, RecursionError):
        raise BadFile(f"{IDENTITY}: not in its form") from None
    if schema > SCHEMA:
        raise NewerSchema(f"of schema {schema}; this version reads up to {SCHEMA}")
    if len(identity) != 16:
        raise BadFile(f"{IDENTITY}: not in its form")
    return (
        node,
        fleet,
        identity,
        "" if inode == files.inode(IDENTITY) else "copied or restored from elsewhere",
    )


@contextmanager
def uncollected() -> Iterator[None]:
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


def read_folder(files: Files) -> Found:
    """Reads all that is there. Nothing is written. Raises NewerSchema, or OSError where it cannot be read;
    what is damaged raises nothing, and makes the folder doubtful. Another process may write to it meanwhile.
    """
    for _ in range(READS - 1):
        try:
            return _read_once(files)
        except FileNotFoundError:
            continue  # a generation took the place of another between the names and the reading
    return _read_once(files)


def _read_once(files: Files) -> Found:
    names = files.names()
    journals, snapshots = _numbered(names, "journal"), _numbered(names, "snapshot")
    highest = max([0, *journals, *snapshots])
    if IDENTITY not in names:
        if not journals and not snapshots:
            return Found(Sound.NEW)
        return Found(Sound.DOUBTFUL, f"{IDENTITY} is missing", highest=highest)
    try:
        node, fleet, identity, moved = read_identity(files)
    except NewerSchema:
        raise
    except BadFile as error:
        return Found(Sound.DOUBTFUL, str(error), highest=highest)
    found = Found(Sound.SOUND, "", node, fleet, identity, highest=highest)
    try:
        if sum(files.size(n) for n in names) > MOST_BYTES:
            raise BadFile(f"over {MOST_BYTES} bytes")
        with uncollected():
            _read_generations(files, found, journals, snapshots)
    except NewerSchema:
        raise
    except BadFile as error:
        found.sound, found.why = Sound.DOUBTFUL, str(error)
    if moved and found.sound is Sound.SOUND:
        found.sound, found.why = Sound.DOUBTFUL, moved
    return found


def _head(files: Files, name: str, found: Found, kinds: tuple[Kind, ...], generation: int) -> Head:
    try:
        head = read_head(lambda offset, most: files.read(name, offset, most))
    except NewerSchema as error:
        raise NewerSchema(f"{name}: {error}") from None
    except BadFile as error:
        raise BadFile(f"{name}: {error}") from None
    if head.identity != found.identity or head.generation != generation or head.kind not in kinds:
        raise BadFile(f"{name}: of another folder or generation")
    return head


def _read_generations(files: Files, found: Found, journals: list[int], snapshots: list[int]) -> None:
    base = 0
    for generation in reversed(snapshots):
        # One that is damaged says nothing that the one before and its journals do not.
        told = _read_snapshot(files, found, generation)
        if told is not None:
            base, (found.memory, found.position, found.entries) = generation, told
            break
    first = base or min(journals, default=0)
    chain = [n for n in journals if n >= first]
    if not chain:
        if base:
            raise BadFile(f"journal.{base} is missing")
        # The very first one was to be made when the process ended.
        return
    if (base and chain[0] != base) or chain != list(range(chain[0], chain[0] + len(chain))):
        raise BadFile("a journal is missing")
    torn_before, goes_on = "", False
    for n, generation in enumerate(chain):
        name = f"journal.{generation}"
        try:
            head = _head(files, name, found, (Kind.JOURNAL, Kind.ALONE), generation)
        except NewerSchema:
            raise
        except BadFile:
            # The last one, of which nothing but the head's place had come to the disk: it was never used. A
            # snapshot's own was synced before that.
            used = generation in snapshots or files.size(name) > HEAD_BYTES
            if n == len(chain) - 1 and not used:
                break
            raise
        if head.kind is Kind.ALONE and generation != base:
            if generation in snapshots or files.size(name) > HEAD_BYTES:
                raise BadFile(f"{name}: its snapshot is missing or damaged")
            continue  # begun anew, and given up before it was used
        if n and not goes_on:
            raise BadFile(f"journal.{generation - 1}: {torn_before or 'does not say that it goes on'}")
        if not base and not n:
            found.position = head.position
        if head.position != found.position:
            raise BadFile(f"{name}: begins at {head.position}, not at {found.position}")
        goes_on, torn_before = _read_journal(files, found, name, head)
    found.goes_on = goes_on
    if base == 0 and chain[0] != 1:
        raise BadFile("the snapshot is missing or damaged")


def _read_journal(files: Files, found: Found, name: str, head: Head) -> tuple[bool, str]:
    """Applies it; returns whether it says that another goes on, and what is wrong at its end."""
    goes_on = False
    frames = Frames(lambda offset, most: files.read(name, offset, most), head)
    for frame in frames:
        if goes_on or frame.content is not Content.ENTRY or frame.position != found.position + 1:
            if frame.content is Content.NEXT and not goes_on and frame.position == found.position:
                goes_on = True
                continue
            raise BadFile(f"{name}: an entry out of its turn after {found.position}")
        try:
            found.memory.apply(e.unpack(frame.data))
        except ValueError as error:
            raise BadFile(f"{name}: {error}") from None
        found.position = frame.position
        found.entries += 1
    if frames.firm_after > found.position:
        raise BadFile(f"{name}: spoilt after {found.position}: what followed was on the disk")
    found.generation, found.end = head.generation, frames.end
    found.torn = files.size(name) - frames.end if frames.torn else 0
    return goes_on, "spoilt at its end" if frames.torn else ""


def _read_snapshot(files: Files, found: Found, generation: int) -> tuple[e.Memory, int, int] | None:
    """None: it is not whole."""
    name = f"snapshot.{generation}"
    memory, count = e.Memory(), 0
    try:
        head = _head(files, name, found, (Kind.SNAPSHOT,), generation)
        for frame in Frames(lambda offset, most: files.read(name, offset, most), head):
            if frame.content is Content.END:
                return (memory, head.position, count) if frame.position == count else None
            if frame.content is not Content.MANY:
                return None
            many = e.unpack_many(frame.data)
            count += len(many)
            if frame.position != count:
                return None
            for entry in many:
                memory.apply(entry)
    except NewerSchema:
        raise
    except ValueError:
        return None
    return None


@dataclass(slots=True)
class _Snapshot:
    """One that is being written."""

    generation: int
    handle: Handle
    entries: Iterator[e.Entry]
    count: int = 0


class Folder:
    """The writing side, over what was found. `off`: rules that the laboratory switches off."""

    def __init__(self, files: Files, found: Found, off: frozenset[str] = frozenset()) -> None:
        self._files, self._off = files, off
        self.identity, self.position, self.firm = found.identity, found.position, found.position
        self.generation, self._highest = found.generation, found.highest
        self._journal: Handle | None = None
        self._bytes = 0  # of the journal
        self._snapshot: _Snapshot | None = None
        self.written = 0  # bytes since the start
        self.syncs = 0
        self._old = found

    # ------------------------------------------------------------------ beginning

    def go_on(self) -> None:
        """Takes up the journal that was found, less what was torn at its end. For a sound folder."""
        found = self._old
        if not found.generation:
            self._begin_journal(1, Kind.JOURNAL)
            return
        if found.goes_on:
            self._begin_journal(found.generation + 1, Kind.JOURNAL)
            return
        name = f"journal.{found.generation}"
        if found.torn:
            self._files.truncate(name, found.end)
        self._journal, self._bytes = self._files.append(name), found.end
        for number in _numbered(self._files.names(), "journal"):
            if number > found.generation:  # never used
                self._files.remove(f"journal.{number}")
        # What was found may be in the system's memory alone, and is about to be taken for certain.
        self._sync()

    def begin(self, node: str, fleet: str, identity: bytes, position: int = 0) -> None:
        """Begins a folder of this identity after that position. What was there is put aside, as `old-…`."""
        self._own()
        names = self._files.names()
        for name in [n for n in names if n.startswith("old-")]:
            self._files.remove(name)
        for name in names:
            if name == IDENTITY or name.startswith(("journal.", "snapshot.")):
                self._files.rename(name, f"old-{name}")
        told = {"schema": SCHEMA, "node": node, "fleet": fleet, "identity": identity.hex()}
        new = IDENTITY + NEW
        handle = self._files.create(new)
        # A file keeps its inode when it is renamed, and gets another where it is copied.
        handle.write(json.dumps({**told, "inode": self._files.inode(new)}).encode())
        handle.sync()
        handle.close()
        self._files.rename(new, IDENTITY)
        self._sync_folder()
        self.identity, self.generation, self._highest = identity, 0, 0
        self.position = self.firm = position
        self._begin_journal(1, Kind.JOURNAL)

    def _begin_journal(self, generation: int, kind: Kind) -> None:
        if self._journal is not None:
            self._journal.close()
            self._journal = None
        handle = self._files.create(f"journal.{generation}")
        try:
            head = pack_head(Head(kind, generation, self.identity, self.position))
            handle.write(head)
            handle.sync()
            self._sync_folder()
        except BaseException:
            handle.close()
            raise
        self._journal, self._bytes = handle, len(head)
        self.generation = self._highest = generation
        self.written += len(head)

    # ------------------------------------------------------------------ writing

    @property
    def journal_bytes(self) -> int:
        return self._bytes

    def write(self, entries: list[e.Entry]) -> None:
        """Appends entries, to be synced later. An error leaves unknown what is there."""
        assert self._journal is not None
        parts = []
        for entry in entries:
            self.position += 1
            frame = Frame(Content.ENTRY, self.position, self.firm, e.pack(entry))
            parts.append(pack_frame(self.identity, self.generation, frame))
        data = b"".join(parts)
        self._journal.write(data)
        self._bytes += len(data)
        self.written += len(data)

    def sync(self) -> None:
        """All that was written is on the disk when this returns."""
        self._sync()
        self.firm = self.position

    def _sync(self) -> None:
        assert self._journal is not None
        self._journal.sync()
        self.syncs += 1

    def _sync_folder(self) -> None:
        if "folder" not in self._off:
            self._files.sync_folder()
            self.syncs += 1

    # ------------------------------------------------------------------ generations

    @property
    def busy(self) -> bool:
        """Whether a snapshot is being written."""
        return self._snapshot is not None

    def turn_over(self, entries: Iterable[e.Entry]) -> None:
        """From here on another journal; `entries` are all that holds now, and are written as its snapshot by
        `go_on_with_snapshot`.
        """
        assert self._journal is not None and self._snapshot is None
        frame = Frame(Content.NEXT, self.position, self.firm, b"")
        self._journal.write(pack_frame(self.identity, self.generation, frame))
        self.sync()
        self._begin_journal(self._highest + 1, Kind.JOURNAL)
        self._begin_snapshot(entries)

    def _begin_snapshot(self, entries: Iterable[e.Entry]) -> None:
        handle = self._files.create(f"snapshot.{self.generation}{NEW}")
        data = pack_head(Head(Kind.SNAPSHOT, self.generation, self.identity, self.position))
        handle.write(data)
        self.written += len(data)
        self._snapshot = _Snapshot(self.generation, handle, iter(entries))

    def go_on_with_snapshot(self) -> bool:
        """Writes a part of it; whether it is done."""
        made = self._snapshot
        assert made is not None
        many = list(islice(made.entries, AT_ONCE))
        size = 0
        for entry in many:
            size += estimate_size_bytes(entry.record) if isinstance(entry, e.Held) else 0
            if size > SLICE:  # long records go one by one
                self._put(made, Content.MANY, many[:1])
                made.entries = chain(many[1:], made.entries)
                return False
        if many:
            self._put(made, Content.MANY, many)
            return False
        self._put(made, Content.END, [])
        self._end_snapshot(made)
        return True

    def _put(self, made: _Snapshot, content: Content, many: list[e.Entry]) -> None:
        made.count += len(many)
        frame = Frame(content, made.count, self.firm, e.pack_many(many) if many else b"")
        data = pack_frame(self.identity, made.generation, frame)
        made.handle.write(data)
        self.written += len(data)

    def _end_snapshot(self, made: _Snapshot) -> None:
        made.handle.sync()
        made.handle.close()
        self.syncs += 1
        name = f"snapshot.{made.generation}"
        self._files.rename(name + NEW, name)
        self._sync_folder()
        self._snapshot = None
        # This one and the one before stay.
        names = self._files.names()
        before = max([n for n in _numbered(names, "snapshot") if n < made.generation], default=1)
        for word in ("journal", "snapshot"):
            for number in _numbered(names, word):
                if number < before:
                    self._files.remove(f"{word}.{number}")

    def stand_anew(self, entries: Iterable[e.Entry], position: int) -> None:
        """After an error nothing that was not synced is known to be there: all that holds is written as a
        generation of its own, and read back before anybody goes by it.
        """
        self._own()
        self.position = position
        highest = max([self._highest, *_numbered(self._files.names(), "journal")])
        self._begin_journal(highest + 1, Kind.ALONE)
        self._begin_snapshot(entries)
        while not self.go_on_with_snapshot():
            pass
        self.sync()
        back = read_folder(self._files)
        if back.sound is not Sound.SOUND or back.position != position or back.generation != self.generation:
            raise OSError(None, f"what was written is not what is read: {back.why or 'another state'}")

    def _own(self) -> None:
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
