"""``drumbay bench``: measurements of this program on this machine."""

import sys
from typing import Annotated

import msgspec
import typer
from loguru import logger

from drumbay.bench.backend_polls import run_poll_bench
from drumbay.bench.forwarding_cost import run_forwarding_cost_bench
from drumbay.bench.memory import run_memory_bench
from drumbay.bench.stream_log import run_stream_log_bench
from drumbay.cli.bench_coordination import register as register_coordination
from drumbay.cli.bench_forwarding import forwarding
from drumbay.cli.bench_sharing import sharing

app = typer.Typer(name="bench", no_args_is_help=True, help="Measure this program.")


def _print_report(report: msgspec.Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(report)) + b"\n")


app.command()(forwarding)
app.command()(sharing)
register_coordination(app)


@app.command()
def polls(
    count: Annotated[int, typer.Option(min=1, help="Polls to measure.")] = 500,
) -> None:
    """Measure bytes and processor time of one poll of an engine over HTTP.

    Example: drumbay bench polls
    """
    logger.remove()
    _print_report(run_poll_bench(count))


@app.command()
def memory() -> None:
    """Measure what a thousand objects of each kind add to a node's memory.

    Example: drumbay bench memory
    """
    logger.remove()
    _print_report(run_memory_bench())


@app.command("stream-log")
def stream_log(
    samples: Annotated[int, typer.Option(min=1, help="Samples of a batch.")] = 256,
    streams: Annotated[int, typer.Option(min=1, help="Streams that append at once.")] = 8,
) -> None:
    """Measure how fast one replica makes batches of sample streams durable.

    Example: drumbay bench stream-log --samples 256
    """
    logger.remove()
    _print_report(run_stream_log_bench(batch_samples=samples, streams=streams))


@app.command("forwarding-cost")
def forwarding_cost(
    requests: Annotated[int, typer.Option(min=1, help="Requests to measure.")] = 100,
) -> None:
    """Measure a node's processor time for one forwarded request and one chunk.

    Example: drumbay bench forwarding-cost
    """
    logger.remove()
    _print_report(run_forwarding_cost_bench(requests=requests))


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
    # NOTE: the model needs simpy, which is installed for simulations only.
    from drumbay.bench.rollout import format_report, run_rollout_bench

    report = run_rollout_bench(deployment_names=deployment or ())
    if json:
        _print_report(report)
    else:
        typer.echo(format_report(report))


@app.command()
def delivery(
    batches: Annotated[int, typer.Option(help="Batches delivered for the rate.")] = 100,
) -> None:
    """Measure sample delivery on a real disk and over loopback connections.

    Example: drumbay bench delivery --batches 100
    """
    from drumbay.bench.delivery import run_delivery_bench

    _print_report(run_delivery_bench(batches=batches))
