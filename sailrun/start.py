"""Starts a node from its configuration files, for the platform and for the command line. Does not import the
command line's library.
"""

from __future__ import annotations

import os
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from sailrun.errors import ConfigError

if TYPE_CHECKING:
    from sailrun.config import NodeConfig


def exit_with_error(error: object) -> NoReturn:
    """Prints an error of the caller as one line and exits with code 2."""
    print(f"sailrun: {error}", file=sys.stderr)
    raise SystemExit(2)


def paths_from_environment() -> tuple[Path | None, Path | None]:
    """Returns the paths of the platform's and the operator's file that the environment states."""
    config, operator = (os.environ.get(name) for name in ("RELAY_CONFIG", "SAILRUN_OPERATOR"))
    return Path(config) if config else None, Path(operator) if operator else None


def start(config: Path | None, operator: Path | None, sidecar: Path | None = None) -> None:
    """Runs a node until it is signalled to stop. An unusable file ends the program with a one-line error."""
    from sailrun.serve import run

    def read_config() -> NodeConfig:
        node_config = read_without_operator()
        if operator is None:
            return node_config
        from sailrun.operator_settings import read_operator

        return replace(node_config, operator=read_operator(operator))

    def read_without_operator() -> NodeConfig:
        if sidecar is not None:
            from sailrun.sidecar import read_sidecar

            return read_sidecar(sidecar)
        if config is None:
            exit_with_error(
                "RELAY_CONFIG is not set, and neither --config nor --sidecar was given; to run nodes without "
                "a platform, use: sailrun lab run quickstart --out FOLDER"
            )
        from sailrun.config import read_node_config

        return read_node_config(config)

    try:
        run(read_config)
    except ConfigError as error:
        exit_with_error(error)
    except (OSError, ImportError) as error:
        exit_with_error(f"{sidecar or config}: {error}")
