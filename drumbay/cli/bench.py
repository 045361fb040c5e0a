"""``drumbay bench``: measurements of this program on this machine."""

import sys
from typing import Annotated

import msgspec
import typer
from loguru import logger

from drumbay.bench.backend_polls import run_poll_bench
from drumbay.bench.closed_loop import ClosedLoopParameters
from drumbay.bench.forwarding import ForwardingTargets, run_forwarding_bench
from drumbay.bench.memory import run_memory_bench
from drumbay.bench.scale import measure_scale
from drumbay.bench.scale_cluster import ClusterSize
from drumbay.bench.stream_log import run_stream_log_bench

app = typer.Typer(name="bench", no_args_is_help=True, help="Measure this program.")


def _print_report(report: msgspec.Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(report)) + b"\n")


@app.command()
def scale(
    nodes: Annotated[int, typer.Option(min=1, help="Hollow nodes.")] = 10,
    workers: Annotated[int, typer.Option(min=1, help="Configured back ends.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of every random choice.")] = 1,
) -> None:
    """Measure what a node costs among hollow nodes on virtual time.

    Example: drumbay bench scale --nodes 50 --workers 85
    """
    logger.remove()
    _print_report(measure_scale(ClusterSize(nodes=nodes, workers=workers), seed=seed))


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


@app.command()
def rollout(
    deployment: Annotated[
        list[str] | None, typer.Argument(help="Deployments to run; all by default.")
    ] = None,
) -> None:
    """Compare trainer idle share and staleness with the plain baseline, in virtual time."""
    # NOTE: the model needs simpy, which is installed for simulations only.
    from drumbay.bench.rollout import format_report, run_rollout_bench

    typer.echo(format_report(run_rollout_bench(deployment_names=deployment or ())))


@app.command()
def delivery(
    batches: Annotated[int, typer.Option(help="Batches delivered for the rate.")] = 100,
) -> None:
    """Measure sample delivery on a real disk and over loopback connections."""
    from drumbay.bench.delivery import run_delivery_bench

    _print_report(run_delivery_bench(batches=batches))


@app.command()
def forwarding(
    node: Annotated[str, typer.Option(help="Base URL of the node that carries the load.")],
    node_process: Annotated[
        list[int], typer.Option(help="Process id of that node; repeat for the other nodes.")
    ],
    application: Annotated[str, typer.Option(help="Base URL of the emulated application.")],
    application_process: Annotated[int, typer.Option(help="Its process id.")],
    engine: Annotated[str, typer.Option(help="Base URL of the model's only engine.")],
    engine_process: Annotated[int, typer.Option(help="Its process id.")],
    model: Annotated[str, typer.Option(help="The model.")],
    tokens: Annotated[int, typer.Option(min=1, help="Tokens of one completion.")] = 64,
    concurrency: Annotated[int, typer.Option(min=1, help="Requests at a time.")] = 8,
    requests: Annotated[int, typer.Option(min=1, help="Requests of each load.")] = 1500,
    max_seconds: Annotated[float, typer.Option(help="Limit of each load.")] = 6.0,
    idle_seconds: Annotated[float, typer.Option(help="Time without load at first.")] = 10.0,
) -> None:
    """Compare requests through a node with requests straight to the back end.

    Example: bench/forwarding.sh, which starts the processes and calls this command.
    """
    targets = ForwardingTargets(
        node=node,
        node_processes=tuple(node_process),
        application=application,
        application_process=application_process,
        engine=engine,
        engine_process=engine_process,
        model=model,
        tokens=tokens,
    )
    parameters = ClosedLoopParameters(
        concurrency=concurrency,
        requests=requests,
        warmup_requests=requests // 10,
        max_seconds=max_seconds,
    )
    _print_report(run_forwarding_bench(targets, parameters, idle_seconds))
