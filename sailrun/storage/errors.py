"""The exception classes for invalid stored data.

Failures of the disk itself are `OSError` and are propagated unchanged.
"""

from __future__ import annotations

from sailrun.errors import SailrunError


class StorageError(SailrunError, ValueError):
    """A file of a storage folder has contents that this version cannot use."""


class CorruptFileError(StorageError):
    """A file is missing, damaged, or belongs to another folder or generation; the message says which."""


class InvalidEntryError(StorageError):
    """The bytes are not a log entry of this schema."""


class NewerSchemaError(StorageError):
    """A file was written by a later version of the program."""

    def __init__(self, found: int, supported: int, file: str = "") -> None:
        prefix = f"{file}: " if file else ""
        super().__init__(f"{prefix}written with schema {found}; this version reads up to {supported}")
        self.found, self.supported = found, supported

    def in_file(self, file: str) -> NewerSchemaError:
        """Returns the same error with the file name in its message."""
        return NewerSchemaError(self.found, self.supported, file)
