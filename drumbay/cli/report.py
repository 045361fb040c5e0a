"""``drumbay report``: results of simulations and benchmarks as one HTML file."""

from pathlib import Path
from typing import Annotated

import typer

from drumbay.cli.errors import exit_on_error
from drumbay.cli.simulate import MissingExtraError


def report(
    file: Annotated[Path, typer.Argument(help="JSON of drumbay simulate or drumbay bench.")],
    other: Annotated[
        Path | None, typer.Argument(help="A second one, compared with the first on equal seeds.")
    ] = None,
    output: Annotated[Path, typer.Option(help="HTML file to write.")] = Path("report.html"),
    baseline: Annotated[
        str | None, typer.Option(help="Compare the other variants of FILE with this one.")
    ] = None,
    title: Annotated[str, typer.Option(help="Title of the page.")] = "drumbay report",
) -> None:
    """Write a self-contained HTML file with tables and plots, and compare runs by seed.

    Example: drumbay report before.json after.json --output report.html
    """
    with exit_on_error():
        try:
            # Imported here, since it needs the optional dependencies of simulations.
            from drumbay.report.command import ReportOptions, write_report
        except ModuleNotFoundError as error:
            raise MissingExtraError(f"install drumbay[simulation]: {error}") from error
        write_report(
            ReportOptions(file=file, other=other, output=output, baseline=baseline, title=title)
        )
    typer.echo(f"wrote {output}")
