"""The file `identity`: the node and fleet that a folder belongs to, and the key of its checksums."""

from __future__ import annotations

import json
import secrets
from dataclasses import dataclass

from sailrun.storage.errors import CorruptFileError, NewerSchemaError
from sailrun.storage.files import FolderFiles
from sailrun.storage.folder_layout import IDENTITY_FILE, TEMPORARY_SUFFIX
from sailrun.storage.frames import SCHEMA

MAX_IDENTITY_FILE_BYTES = 4096
IDENTITY_BYTES = 16


@dataclass(frozen=True, slots=True)
class FolderIdentity:
    """The contents of the identity file. `was_copied`: the file does not have the inode that it was written
    with, so the folder was copied or restored from a backup.
    """

    node: str
    fleet: str
    identity: bytes
    was_copied: bool = False


def generate_identity() -> str:
    """A random identity for a new folder: 32 hexadecimal digits."""
    return secrets.token_hex(IDENTITY_BYTES)


def read_identity(files: FolderFiles) -> FolderIdentity:
    """Reads and checks the identity file. Raises CorruptFileError, NewerSchemaError or OSError."""
    malformed = CorruptFileError(
        f"{IDENTITY_FILE}: malformed, expected a JSON object with schema, node, fleet, "
        "identity (32 hexadecimal digits) and inode"
    )
    try:
        fields = json.loads(files.read(IDENTITY_FILE, 0, MAX_IDENTITY_FILE_BYTES))
        node, fleet = str(fields["node"]), str(fields["fleet"])
        identity = bytes.fromhex(fields["identity"])
        schema, inode = int(fields["schema"]), int(fields["inode"])
    except (ValueError, KeyError, TypeError, RecursionError):
        raise malformed from None
    if schema > SCHEMA:
        raise NewerSchemaError(schema, SCHEMA)
    if len(identity) != IDENTITY_BYTES:
        raise malformed
    return FolderIdentity(node, fleet, identity, inode != files.inode(IDENTITY_FILE))


def write_identity(files: FolderFiles, identity: FolderIdentity) -> None:
    """Writes the identity file as a temporary file and renames it; the caller has to sync the folder."""
    temporary = IDENTITY_FILE + TEMPORARY_SUFFIX
    handle = files.create(temporary)
    # A rename preserves the inode, a copy does not.
    fields = {
        "schema": SCHEMA,
        "node": identity.node,
        "fleet": identity.fleet,
        "identity": identity.identity.hex(),
        "inode": files.inode(temporary),
    }
    handle.write(json.dumps(fields).encode())
    handle.sync()
    handle.close()
    files.rename(temporary, IDENTITY_FILE)
