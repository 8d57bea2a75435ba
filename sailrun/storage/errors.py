"""Errors of stored data, in one tree.

Failures of the disk itself are `OSError` and are passed on as they are.
"""

from __future__ import annotations

from sailrun.errors import SailrunError


class StorageError(SailrunError, ValueError):
    """A file of a node's folder does not hold what this version can use."""


class CorruptFileError(StorageError):
    """A file is missing, damaged, or belongs to another folder or generation; the message says which."""


class InvalidEntryError(StorageError):
    """Bytes that are no log entry of this schema."""


class NewerSchemaError(StorageError):
    """A file was written by a later version of the program."""

    def __init__(self, found: int, supported: int, file: str = "") -> None:
        prefix = f"{file}: " if file else ""
        super().__init__(f"{prefix}of schema {found}; this version reads up to {supported}")
        self.found, self.supported = found, supported

    def in_file(self, file: str) -> NewerSchemaError:
        """The same error, naming the file."""
        return NewerSchemaError(self.found, self.supported, file)
