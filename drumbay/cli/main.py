"""Entry point of the command line.

A command's module is imported only when the command runs, so that a node neither loads the
emulators, simulations and benchmarks nor needs their dependencies.
"""

import logging
import sys
from importlib import import_module

import msgspec
import typer

from drumbay import __version__


class CommandSource(msgspec.Struct, frozen=True):
    """Where a command is defined.

    Attributes:
        module: Module to import.
        attribute: A command function, or a ``typer.Typer`` with subcommands.
    """

    module: str
    attribute: str


COMMANDS: dict[str, CommandSource] = {
    "node": CommandSource("drumbay.cli.node", "node"),
    "apply": CommandSource("drumbay.cli.operators", "apply"),
    "get": CommandSource("drumbay.cli.operators", "get"),
    "describe": CommandSource("drumbay.cli.operators", "describe"),
    "delete": CommandSource("drumbay.cli.operators", "delete"),
    "evacuate": CommandSource("drumbay.cli.evacuate", "evacuate"),
    "operation": CommandSource("drumbay.cli.operators", "operation"),
    "status": CommandSource("drumbay.cli.operators", "status"),
    "explain": CommandSource("drumbay.cli.explain", "explain"),
    "explain-logs": CommandSource("drumbay.cli.explain_logs", "explain_logs"),
    "explain-steps": CommandSource("drumbay.cli.explain_steps", "explain_steps"),
    "token": CommandSource("drumbay.cli.token", "token"),
    "acceptance": CommandSource("drumbay.cli.acceptance", "acceptance"),
    "simulate": CommandSource("drumbay.cli.simulate", "simulate"),
    "report": CommandSource("drumbay.cli.report", "report"),
    "schema": CommandSource("drumbay.cli.schema", "schema"),
    "standin": CommandSource("drumbay.cli.standin", "app"),
    "bench": CommandSource("drumbay.cli.bench", "app"),
}


def main() -> None:
    """Run training rollouts beside live traffic."""
    # Silences library loggers: commands print errors themselves, and nodes log events.
    logging.basicConfig(handlers=[logging.NullHandler()])


def version() -> None:
    """Print the version.

    Example: drumbay version
    """
    typer.echo(__version__)


def make_app(arguments: list[str]) -> typer.Typer:
    """Return the command line application.

    It contains only the command that the first argument names; if there is no such command, all
    of them, for the help text and the error message.
    """
    app = typer.Typer(
        name="drumbay",
        no_args_is_help=True,
        help="A rollout service for reinforcement learning beside live traffic.",
    )
    app.callback()(main)
    app.command()(version)
    requested = arguments[0] if arguments else ""
    for name in [requested] if requested in COMMANDS else COMMANDS:
        _add_command(app, name)
    return app


def _add_command(app: typer.Typer, name: str) -> None:
    command_source = COMMANDS[name]
    command = getattr(import_module(command_source.module), command_source.attribute)
    if isinstance(command, typer.Typer):
        app.add_typer(command, name=name)
    else:
        app.command(name=name)(command)


def run() -> None:
    """Run the command line."""
    make_app(sys.argv[1:])()
