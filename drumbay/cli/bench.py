"""``drumbay bench``: measurements of this program on this machine."""

import sys
from typing import Annotated

import msgspec
import typer
from loguru import logger

from drumbay.bench.backend_polls import run_poll_bench
from drumbay.bench.memory import run_memory_bench
from drumbay.bench.scale import measure_scale
from drumbay.bench.scale_cluster import ClusterSize

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
