"""What is wrong with a file of an operator's or the platform's."""

from __future__ import annotations

from pathlib import Path


class BadConfig(ValueError):
    """Names the file, the key and what is wrong with it."""

    def __init__(self, path: Path, key: str, what: str) -> None:
        super().__init__(f"{path}: {key}: {what}" if key else f"{path}: {what}")
