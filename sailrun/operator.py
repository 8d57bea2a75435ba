"""The operator's own file: subsystems that are off unless it switches them on. TOML, checked as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from sailrun.config import BadConfig
from sailrun.rebalance.terms import RebalanceTerms


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One table for each subsystem. What a table leaves out has its default."""

    rebalance: RebalanceTerms = RebalanceTerms()

    def tables(self) -> Iterator[tuple[str, RebalanceTerms]]:
        """Every subsystem's name and terms."""
        yield "rebalance", self.rebalance


def read_operator(path: Path) -> Operator:
    """Raises BadConfig, naming the file and the key."""
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Operator)
    except OSError as error:
        raise BadConfig(path, "", error.strerror or str(error)) from None
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$.")
        raise BadConfig(path, where.rstrip("`"), what[:1].lower() + what[1:]) from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise BadConfig(path, "", f"no TOML: {error}") from None
    terms = told.rebalance
    if terms.stop_at > terms.start_at:
        raise BadConfig(path, "rebalance.stop_at", f"is {terms.stop_at}, above start_at {terms.start_at}")
    if terms.fill_to > terms.stop_at:
        raise BadConfig(path, "rebalance.fill_to", f"is {terms.fill_to}, above stop_at {terms.stop_at}")
    return told


def schema() -> dict[str, Any]:
    """The JSON schema of the file, for editors and other tools."""
    return msgspec.json.schema(Operator)
