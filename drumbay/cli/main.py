"""Entry point of the command line."""

import logging

import typer

from drumbay import __version__
from drumbay.cli import (
    acceptance,
    bench,
    explain,
    node,
    operators,
    report,
    schema,
    simulate,
    standin,
    token,
)

app = typer.Typer(
    name="drumbay",
    no_args_is_help=True,
    help="A rollout service for reinforcement learning beside live traffic.",
)


@app.callback()
def main() -> None:
    """Run training rollouts beside live traffic."""
    # NOTE: commands show a failed connection as their own error; a node logs it as an event.
    logging.basicConfig(handlers=[logging.NullHandler()])


@app.command()
def version() -> None:
    """Print the version.

    Example: drumbay version
    """
    typer.echo(__version__)


app.command()(node.node)
app.command()(operators.apply)
app.command()(operators.get)
app.command()(operators.describe)
app.command()(operators.delete)
app.command()(operators.operation)
app.command()(operators.status)
app.command()(explain.explain)
app.command()(token.token)
app.command()(acceptance.acceptance)
app.command()(simulate.simulate)
app.command()(schema.schema)
app.command()(report.report)
app.add_typer(standin.app)
app.add_typer(bench.app)


def run() -> None:
    """Run the command line."""
    app()
