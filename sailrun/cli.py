"""The `sailrun` command line."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from sailrun.errors import ConfigError
from sailrun.start import exit_with_error, paths_from_environment, start

app = typer.Typer(
    help="A node that places census form sessions on form servers.",
    add_completion=False,
    pretty_exceptions_enable=False,
)

config_app = typer.Typer(help="Write and check a sidecar's file.")
app.add_typer(config_app, name="config")

ConfigPath = Annotated[
    Path | None, typer.Option("--config", envvar="RELAY_CONFIG", help="The platform's JSON file.")
]
OperatorPath = Annotated[
    Path | None,
    typer.Option(
        "--operator", envvar="SAILRUN_OPERATOR", help="An operator's TOML file; enables optional subsystems."
    ),
]
SidecarPath = Annotated[
    Path | None, typer.Option("--sidecar", help="A sidecar's TOML file; replaces --config.")
]
# Name, objective, deadline and message aim of a request class; the times are in milliseconds.
DEFAULT_CLASS = "request:500:2000:50"


@app.callback(invoke_without_command=True)
def main(context: typer.Context) -> None:
    """Starts a node with the files that the environment states if no command is given."""
    if context.invoked_subcommand is None:
        start(*paths_from_environment())


@app.command()
def serve(config: ConfigPath = None, sidecar: SidecarPath = None, operator: OperatorPath = None) -> None:
    """Run a node that serves clients until it is stopped (also the default without a sub-command)."""
    start(config, operator, sidecar)


@config_app.command("check")
def check(
    path: Path,
    operator: Annotated[bool, typer.Option("--operator", help="Check an operator's file.")] = False,
) -> None:
    """Check a sidecar's or an operator's file. An error is one line that names the file and the key."""
    from sailrun.sidecar import read_sidecar

    try:
        if operator:
            from sailrun.operator_settings import read_operator

            enabled_tables = [name for name, table in read_operator(path).tables() if table.enabled]
            print(f"{path}: switches on {', '.join(enabled_tables) or 'nothing'}")
            return
        node_config = read_sidecar(path)
    except ConfigError as error:
        exit_with_error(error)
    print(f"{path}: fit to serve '{node_config.name}'")


@config_app.command("schema")
def schema() -> None:
    """Print the JSON schema of an operator's file."""
    import json

    from sailrun.operator_settings import schema

    print(json.dumps(schema(), indent=2))


@config_app.command("write")
def write(
    application: str,
    out: Annotated[Path, typer.Option(help="The file to write; an existing file is not changed.")],
    amqp_listen: Annotated[
        str, typer.Option(help="The address at which AMQP 1.0 clients connect.")
    ] = "127.0.0.1:5672",
    zone: Annotated[str, typer.Option(help="The data centre this sidecar runs in.")] = "zone-1",
    classes: Annotated[
        list[str] | None,
        typer.Option("--class", help="NAME:OBJECTIVE_MS:DEADLINE_MS:MESSAGE_MS; repeat it for each class."),
    ] = None,
) -> None:
    """Write a sidecar's file for one application, as a template to edit."""
    import tomli_w

    from sailrun.sidecar import draft, read_sidecar

    services = []
    for class_text in classes or [DEFAULT_CLASS]:
        name, *numbers = class_text.split(":")
        if not name or len(numbers) != 3 or not all(f.isdigit() and int(f) > 0 for f in numbers):
            exit_with_error(
                f"--class: '{class_text}' is not NAME:OBJECTIVE_MS:DEADLINE_MS:MESSAGE_MS with integers > 0"
            )
        objective, deadline, message_aim = (int(f) * 1000 for f in numbers)
        services.append(
            {
                "name": name,
                "objectiveUs": objective,
                "deadlineUs": deadline,
                "effect": "idempotent",
                "messageAimUs": float(message_aim),
            }
        )
    try:
        with out.open("x") as file:
            file.write(tomli_w.dumps(draft(application, amqp_listen, zone, services)))
        read_sidecar(out)
    except OSError as error:
        exit_with_error(f"{out}: {error.strerror}")
    except ConfigError as error:
        out.unlink()
        exit_with_error(error)
    print(f"{out}: written for '{application}'")


@app.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata

    try:
        print(metadata.version("sailrun"))
    except metadata.PackageNotFoundError:
        from sailrun import __version__

        print(__version__)


def command() -> None:
    """Runs the command line. A node that the platform starts, without arguments, does not call this."""
    if len(sys.argv) > 1:
        from sailrun.control.cli import app as fleet_app
        from sailrun.lab.cli import app as lab_app
        from sailrun.storage.cli import app as storage_app

        app.add_typer(fleet_app, name="fleet")
        app.add_typer(lab_app, name="lab")
        app.add_typer(storage_app, name="lasting")
    app(prog_name="sailrun")
