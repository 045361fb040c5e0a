"""``drumbay bench forwarding``: overhead that a node adds to a request."""

from typing import Annotated

import typer

from drumbay.bench.closed_loop import ClosedLoopParameters
from drumbay.bench.forwarding import ForwardingTargets, run_forwarding_bench
from drumbay.cli.output import OutputFormat, print_record


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

    Example: drumbay bench forwarding, as bench/forwarding.sh calls it after it has started
    the processes.
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
    print_record(run_forwarding_bench(targets, parameters, idle_seconds), OutputFormat.JSON)
