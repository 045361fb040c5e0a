"""``drumbay bench``: how nodes act together, each matter on its own."""

from typing import Annotated

import typer
from loguru import logger

from drumbay.bench import choice, load_knowledge, ownership, subsets
from drumbay.bench.claims import run_claims_bench
from drumbay.bench.configuration import run_configuration_bench
from drumbay.bench.membership import run_membership_bench
from drumbay.bench.transport import run_transport_bench
from drumbay.bench.weights import ENGINE_COUNT, run_weight_bench
from drumbay.cli.output import OutputFormat, print_record

DEFAULT_NODE_COUNTS = [10, 50, 100]

NodeCounts = Annotated[
    list[int] | None, typer.Option("--nodes", help="Number of nodes; repeat for more sizes.")
]
Seed = Annotated[int, typer.Option(help="Seed of every random choice.")]


def membership(nodes: NodeCounts = None, seed: Seed = 1) -> None:
    """Measure detection times, false suspicions, bytes and processor time of membership.

    Example: drumbay bench membership --nodes 10 --nodes 100
    """
    logger.remove()
    report = run_membership_bench(tuple(nodes or DEFAULT_NODE_COUNTS), seed)
    print_record(report, OutputFormat.JSON)


def configuration(nodes: NodeCounts = None, seed: Seed = 1) -> None:
    """Measure how fast a change is in force everywhere, and what it costs.

    Example: drumbay bench configuration --nodes 10 --nodes 100
    """
    logger.remove()
    report = run_configuration_bench(tuple(nodes or DEFAULT_NODE_COUNTS), seed)
    print_record(report, OutputFormat.JSON)


def claims() -> None:
    """Measure claims a second, added latency, recovery and size of the claim replicas.

    Example: drumbay bench claims
    """
    logger.remove()
    print_record(run_claims_bench(), OutputFormat.JSON)


def weights(
    engines: Annotated[int, typer.Option(min=1, help="Engines of the model.")] = ENGINE_COUNT,
) -> None:
    """Measure the rate of the weight store that all engines need within 33 s.

    Example: drumbay bench weights
    """
    logger.remove()
    print_record(run_weight_bench(engines), OutputFormat.JSON)


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


def register(app: typer.Typer) -> None:
    """Add the commands to ``drumbay bench``."""
    for command in (membership, configuration, claims, weights, transport):
        app.command()(command)
    app.command(
        "ownership",
        help="Measure campaigns and renewals at the key-value service.\n\n"
        "Example: drumbay bench ownership --nodes 50",
    )(ownership.main)
    app.command(
        "subsets",
        help="Compare ways to give each node a limited set of workers.\n\n"
        "Example: drumbay bench subsets --nodes 41 --workers 70",
    )(subsets.main)
    app.command(
        "load-knowledge",
        help="Compare choices of a worker by what is known of its load.\n\n"
        "Example: drumbay bench load-knowledge --nodes 41",
    )(load_knowledge.main)
    app.command(
        "choice",
        help="Measure the time of one choice of a back end.\n\nExample: drumbay bench choice",
    )(choice.main)
