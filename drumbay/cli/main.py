"""Entry point of the command line."""

import typer

from drumbay import __version__

app = typer.Typer(name="drumbay", no_args_is_help=True, help="Rollout service for RL.")


@app.callback()
def main() -> None:
    """Run training rollouts beside live traffic."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def run() -> None:
    """Run the command line."""
    app()
