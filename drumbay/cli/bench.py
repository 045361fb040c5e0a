"""``drumbay bench``: benchmarks of drumbay."""

import sys
from typing import Annotated

import msgspec
import typer

from drumbay.cli.bench_forwarding import forwarding
from drumbay.cli.bench_sharing import sharing
from drumbay.cli.bench_transport import transport

app = typer.Typer(name="bench", no_args_is_help=True, help="Measure this program.")


def _print_report(report: msgspec.Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(report)) + b"\n")


app.command()(forwarding)
app.command()(sharing)
app.command()(transport)


@app.command()
def rollout(
    deployment: Annotated[
        list[str] | None, typer.Argument(help="Deployments to run; all by default.")
    ] = None,
    json: Annotated[
        bool, typer.Option("--json", help="Print JSON, e.g. for drumbay report.")
    ] = False,
) -> None:
    """Compare trainer idle share and staleness with the plain baseline, in virtual time.

    Example: drumbay bench rollout
    """
    # Imported here, since it needs simpy, an optional dependency.
    from drumbay.bench.rollout import format_report, run_rollout_bench

    report = run_rollout_bench(deployment_names=deployment or ())
    if json:
        _print_report(report)
    else:
        typer.echo(format_report(report))
