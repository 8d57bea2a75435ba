"""The root of sailrun's own errors."""

from __future__ import annotations

from pathlib import Path


class SailrunError(Exception):
    """Something outside this program is not as it has to be; the text says what, with its file, key or peer.

    Each error is also a ValueError or an OSError, as its cause is.
    """

    log_name = ""  # what the log calls it, where that is not the name of the class


def name_in_log(error: BaseException) -> str:
    """What the log calls an error."""
    return (error.log_name if isinstance(error, SailrunError) else "") or type(error).__name__


class ConfigError(SailrunError, ValueError):
    """A file of an operator's or the platform's is not usable."""

    def __init__(self, path: Path, key: str, what: str) -> None:
        """Names the file, the key (empty: the whole file) and what is wrong with it."""
        super().__init__(f"{path}: {key}: {what}" if key else f"{path}: {what}")
