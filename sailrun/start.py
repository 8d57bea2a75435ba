"""Starts a node by its files: as the platform does, without the command line's library, and for that one."""

from __future__ import annotations

import os
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from sailrun.errors import ConfigError

if TYPE_CHECKING:
    from sailrun.config import NodeConfig


def complain(error: object) -> NoReturn:
    """A fault of the caller's: one plain line, and exit code 2."""
    print(f"sailrun: {error}", file=sys.stderr)
    raise SystemExit(2)


def by_environment() -> tuple[Path | None, Path | None]:
    """The platform's file and the operator's, as the environment names them."""
    config, operator = (os.environ.get(name) for name in ("RELAY_CONFIG", "SAILRUN_OPERATOR"))
    return Path(config) if config else None, Path(operator) if operator else None


def start(config: Path | None, operator: Path | None, sidecar: Path | None = None) -> None:
    """Serves clients until told to stop; a file that is not usable ends it with one line."""
    from sailrun.serve import run

    def read() -> NodeConfig:
        told = read_main()
        if operator is None:
            return told
        from sailrun.operator_settings import read_operator

        return replace(told, operator=read_operator(operator))

    def read_main() -> NodeConfig:
        if sidecar is not None:
            from sailrun.sidecar import read_sidecar

            return read_sidecar(sidecar)
        if config is None:
            complain(
                "RELAY_CONFIG: is not set, and neither --config nor --sidecar was given; to see nodes work "
                "without a platform: sailrun lab run quickstart --out FOLDER"
            )
        from sailrun.config import read_node_config

        return read_node_config(config)

    try:
        run(read)
    except ConfigError as error:
        complain(error)
    except (OSError, ImportError) as error:
        complain(f"{sidecar or config}: {error}")
