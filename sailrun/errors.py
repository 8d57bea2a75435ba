"""The base class of sailrun's own errors, and the error for configuration files."""

from __future__ import annotations

from pathlib import Path


class SailrunError(Exception):
    """Something outside of this program is invalid or has failed. The text names the file, key or peer.

    A subclass is usually also a ValueError or an OSError, depending on its cause.
    """

    log_name = ""  # the name in log lines; empty: the name of the class


def name_in_log(error: BaseException) -> str:
    """Returns the name of an error in log lines."""
    return (error.log_name if isinstance(error, SailrunError) else "") or type(error).__name__


class ConfigError(SailrunError, ValueError):
    """A configuration file is invalid or cannot be read."""

    def __init__(self, path: Path, key: str, problem: str) -> None:
        """Takes the file, the key (empty: the whole file) and the problem."""
        super().__init__(f"{path}: {key}: {problem}" if key else f"{path}: {problem}")
