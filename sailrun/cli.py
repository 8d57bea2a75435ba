"""The command line."""

from __future__ import annotations

import gc
import sys
from importlib import metadata
from pathlib import Path
from typing import Annotated

import typer

from sailrun.config import BadConfig, read_node_config

app = typer.Typer(
    help="A node that places census form sessions on form servers.",
    add_completion=False,
    pretty_exceptions_enable=False,
)

ConfigPath = Annotated[
    Path | None, typer.Option("--config", envvar="RELAY_CONFIG", help="The platform's JSON.")
]


def complain(error: object) -> typer.Exit:
    """A fault of the caller's: one plain line, and exit code 2."""
    print(f"sailrun: {error}", file=sys.stderr)
    return typer.Exit(2)


@app.callback(invoke_without_command=True)
def main(context: typer.Context) -> None:
    if context.invoked_subcommand is None:
        serve(_from_environment())


def _from_environment() -> Path | None:
    import os

    path = os.environ.get("RELAY_CONFIG")
    return Path(path) if path else None


@app.command()
def serve(config: ConfigPath = None) -> None:
    """Serve households until told to stop (also without any sub-command)."""
    from sailrun.serve import run

    if config is None:
        raise complain("RELAY_CONFIG: is not set, and no --config was given")
    try:
        told = read_node_config(config)
    except BadConfig as error:
        raise complain(error) from None
    gc.freeze()
    try:
        run(told)
    except OSError as error:
        raise complain(f"{config}: listen: {error}") from None


@app.command()
def version() -> None:
    """Print the version."""
    try:
        print(metadata.version("sailrun"))
    except metadata.PackageNotFoundError:
        from sailrun import __version__

        print(__version__)
