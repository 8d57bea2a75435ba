"""What a start makes of a folder: the same for a running node and for the laboratory's."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sailrun.storage.files import FolderFiles
from sailrun.storage.folder_reader import FolderContents, FolderIntegrity, read_folder
from sailrun.storage.folder_writer import FolderWriter
from sailrun.storage.settings import StorageSettings
from sailrun.storage.write_ahead_log import WriteAheadLog, WriteResult
from sailrun.storage.writer import BatchWriter


@dataclass(slots=True)
class OpenedFolder:
    contents: FolderContents
    write_ahead_log: WriteAheadLog
    writer: BatchWriter
    identity: str  # that of the folder from now on: another one, unless it is sound


def open_folder(
    files: FolderFiles,
    terms: StorageSettings,
    slow_us: int,
    node: str,
    fleet: str,
    new_identity: Callable[[], str],
    now_us: int,
    off: frozenset[str] = frozenset(),
) -> OpenedFolder:
    """Reads the folder and takes it over as far as it is sound and this node's; otherwise another is begun
    with the first work. A disk that fails costs the vote until it is well, and nothing else. Raises
    NewerSchema.
    """
    try:
        found = read_folder(files)
    except OSError as error:
        found = FolderContents(FolderIntegrity.UNTRUSTED, f"cannot be read: {error.strerror or error}")
    if found.integrity is FolderIntegrity.INTACT and (found.node, found.fleet) != (node, fleet):
        found = FolderContents(FolderIntegrity.UNTRUSTED, f"of node {found.node} of fleet {found.fleet}")
    wal = WriteAheadLog(terms, slow_us, found.position, off)
    folder = FolderWriter(files, found, off)
    identity = found.identity.hex()
    if found.integrity is FolderIntegrity.INTACT:
        try:
            folder.resume()
        except OSError as error:
            wal.complete_batch(now_us, WriteResult(0, 0, error.strerror or str(error)))
    else:
        identity = new_identity()
        wal.begin_new_folder(bytes.fromhex(identity))
    return OpenedFolder(found, wal, BatchWriter(folder, node, fleet), identity)
