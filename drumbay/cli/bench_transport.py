"""``drumbay bench transport``: latency and throughput of calls between two nodes."""

from typing import Annotated

import typer
from loguru import logger

from drumbay.bench.transport import run_transport_bench
from drumbay.cli.output import OutputFormat, print_record


def transport(
    calls: Annotated[int, typer.Option(min=1, help="Calls to make.")] = 2_000,
    concurrency: Annotated[int, typer.Option(min=1, help="Calls at a time.")] = 32,
    body_bytes: Annotated[int, typer.Option(min=0, help="Size of a request's body.")] = 200,
) -> None:
    """Measure calls between two nodes over loopback.

    Example: drumbay bench transport --calls 2000
    """
    logger.remove()
    print_record(run_transport_bench(calls, concurrency, body_bytes), OutputFormat.JSON)
