"""What a start makes of a folder: the same for a running node and for the laboratory's."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.storage.files import Files
from sailrun.storage.folder import Folder, Found, Sound, read_folder
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import Done, WriteAheadLog
from sailrun.storage.writer import Writer


@dataclass(slots=True)
class Opened:
    found: Found
    write_ahead_log: WriteAheadLog
    writer: Writer
    identity: str  # that of the folder from now on: another one, unless it is sound


def open_folder(
    files: Files,
    terms: StorageSettings,
    slow_us: int,
    node: str,
    fleet: str,
    new_identity: Callable[[], str],
    now_us: int,
    off: frozenset[str] = frozenset(),
) -> Opened:
    """Reads the folder and takes it over as far as it is sound and this node's; otherwise another is begun
    with the first work. A disk that fails costs the vote until it is well, and nothing else. Raises
    NewerSchema.
    """
    try:
        found = read_folder(files)
    except OSError as error:
        found = Found(Sound.DOUBTFUL, f"cannot be read: {error.strerror or error}")
    if found.sound is Sound.SOUND and (found.node, found.fleet) != (node, fleet):
        found = Found(Sound.DOUBTFUL, f"of node {found.node} of fleet {found.fleet}")
    wal = WriteAheadLog(terms, slow_us, found.position, off)
    folder = Folder(files, found, off)
    identity = found.identity.hex()
    if found.sound is Sound.SOUND:
        try:
            folder.go_on()
        except OSError as error:
            wal.done(now_us, Done(0, 0, error.strerror or str(error)))
    else:
        identity = new_identity()
        wal.renew(bytes.fromhex(identity))
    return Opened(found, wal, Writer(folder, node, fleet), identity)
