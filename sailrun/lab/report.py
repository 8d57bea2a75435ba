"""report.html."""

from __future__ import annotations

from pathlib import Path


def write_report(folder: Path, before: Path | None = None) -> None:
    pass
