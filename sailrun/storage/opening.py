"""Opens a folder at the start of a process. Used by a running node and by the laboratory."""

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
    """A folder that was opened. `identity` is its identity from now on: a new one, unless the folder was
    intact and belongs to this node.
    """

    contents: FolderContents
    write_ahead_log: WriteAheadLog
    writer: BatchWriter
    identity: str


def open_folder(
    files: FolderFiles,
    settings: StorageSettings,
    slow_us: int,
    node: str,
    fleet: str,
    generate_identity: Callable[[], str],
    now_us: int,
    disabled_rules: frozenset[str] = frozenset(),
) -> OpenedFolder:
    """Reads the folder and continues it if it is intact and belongs to this node; otherwise the first batch
    begins a new one. If the disk fails, the node cannot vote until the disk recovers; nothing else is
    affected. Raises NewerSchemaError.
    """
    contents = _read(files, node, fleet)
    wal = WriteAheadLog(settings, slow_us, contents.position, disabled_rules)
    folder = FolderWriter(files, contents, disabled_rules)
    identity = contents.identity.hex()
    if contents.integrity is FolderIntegrity.INTACT:
        try:
            folder.resume()
        except OSError as error:
            wal.complete_batch(now_us, WriteResult(0, 0, error.strerror or str(error)))
    else:
        identity = generate_identity()
        wal.begin_new_folder(bytes.fromhex(identity))
    return OpenedFolder(contents, wal, BatchWriter(folder, node, fleet), identity)


def _read(files: FolderFiles, node: str, fleet: str) -> FolderContents:
    """Reads the contents; untrusted if they cannot be read or belong to another node."""
    try:
        contents = read_folder(files)
    except OSError as error:
        return FolderContents(
            FolderIntegrity.UNTRUSTED, f"the folder cannot be read: {error.strerror or error}"
        )
    is_own = (contents.node, contents.fleet) == (node, fleet)
    if contents.integrity is FolderIntegrity.INTACT and not is_own:
        return FolderContents(
            FolderIntegrity.UNTRUSTED,
            f"the folder belongs to another node: {contents.node} of fleet {contents.fleet}",
        )
    return contents
