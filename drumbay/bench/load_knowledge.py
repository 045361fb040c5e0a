"""Bench of what nodes must know of workers: reports, their age, samples, cache events.

Varies one setting at a time on one random regular graph and on the same seeds. Run with
``python -m drumbay.bench.load_knowledge --help``.
"""

import random
import statistics
from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec
import typer

from drumbay.bench.subset_graph import Demand, SubsetGraph, build_graph, demand_shares
from drumbay.bench.subset_queueing import QueueingSettings, QueueingSimulation
from drumbay.bench.subsets import (
    QUICK_NODES,
    QUICK_WORKERS,
    cache_event_bytes,
    load_report_bytes,
)
from drumbay.routing.subsets import DEFAULT_DEGREE, SubsetPolicy

REPORT_INTERVALS_SECONDS = (0.5, 1.0, 2.0, 4.0, 8.0)
SAMPLE_COUNTS = (1, 2, 3, 8)
DEMANDS = (Demand.UNIFORM, Demand.HOT_NODES)


class KnowledgeResult(msgspec.Struct, frozen=True, kw_only=True):
    """One setting under one shape of demand; means over the seeds.

    Attributes:
        variation: The setting that differs from the base.
        demand: Shape of the demand.
        delay_mean_seconds: Mean time in a worker's queue.
        delay_p99_seconds: 99th percentile of it.
        prefix_hit_share: Share of requests whose prefix was cached.
        load_bytes_per_second: Load reports that a node receives.
        cache_bytes_per_second: Cache events that a node receives.
    """

    variation: str
    demand: Demand
    delay_mean_seconds: float
    delay_p99_seconds: float
    prefix_hit_share: float
    load_bytes_per_second: float
    cache_bytes_per_second: float


def variations(base: QueueingSettings) -> dict[str, QueueingSettings]:
    """Return the settings to compare, by name."""
    named = {"base": base}
    for interval in REPORT_INTERVALS_SECONDS:
        if interval != base.report_interval_seconds:
            named[f"report_interval={interval}"] = msgspec.structs.replace(
                base, report_interval_seconds=interval
            )
    for count in SAMPLE_COUNTS:
        named[f"sample_count={count}"] = msgspec.structs.replace(base, sample_count=count)
    for memory in (None, 2.0, 4.0):
        named[f"report_memory={memory}"] = msgspec.structs.replace(
            base, report_memory_services=memory
        )
    named["samples=2,memory=None"] = msgspec.structs.replace(
        base, sample_count=2, report_memory_services=None
    )
    named["cache_events"] = msgspec.structs.replace(base, hears_cache_events=True)
    named["no_prefix_gain"] = msgspec.structs.replace(base, prefix_gain=0.0)
    return named


def run_knowledge_bench(
    *,
    node_count: int = QUICK_NODES,
    worker_count: int = QUICK_WORKERS,
    degree: int = DEFAULT_DEGREE,
    seeds: Sequence[int] = (1,),
    base: QueueingSettings | None = None,
    show_progress: Callable[[KnowledgeResult], None] | None = None,
) -> tuple[KnowledgeResult, ...]:
    """Measure every variation on the same graph and seeds."""
    graph = build_graph(node_count, worker_count, SubsetPolicy(degree=degree))
    results: list[KnowledgeResult] = []
    for name, settings in variations(base or QueueingSettings()).items():
        for demand in DEMANDS:
            result = _measure(graph, name, demand, settings, seeds)
            results.append(result)
            if show_progress is not None:
                show_progress(result)
    return tuple(results)


def _measure(
    graph: SubsetGraph,
    name: str,
    demand: Demand,
    settings: QueueingSettings,
    seeds: Sequence[int],
) -> KnowledgeResult:
    runs = [
        QueueingSimulation(
            graph,
            demand_shares(graph, demand, random.Random(seed)),
            settings,
            random.Random(seed),
        ).run()
        for seed in seeds
    ]
    event_rate = statistics.mean(run.cache_events_per_second for run in runs)
    cache_bytes = graph.mean_degree * cache_event_bytes() * event_rate
    return KnowledgeResult(
        variation=name,
        demand=demand,
        delay_mean_seconds=statistics.mean(run.delay_mean_seconds for run in runs),
        delay_p99_seconds=statistics.mean(run.delay_p99_seconds for run in runs),
        prefix_hit_share=statistics.mean(run.prefix_hit_share for run in runs),
        load_bytes_per_second=graph.mean_degree
        * load_report_bytes()
        / settings.report_interval_seconds,
        cache_bytes_per_second=cache_bytes if settings.hears_cache_events else 0.0,
    )


def main(
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = QUICK_NODES,
    workers: Annotated[int, typer.Option(help="Number of workers.")] = QUICK_WORKERS,
    degree: Annotated[int, typer.Option(help="Workers per node.")] = DEFAULT_DEGREE,
    seeds: Annotated[int, typer.Option(help="Number of seeds, from 1.")] = 1,
    duration_seconds: Annotated[float, typer.Option(help="Simulated time measured.")] = 20.0,
    intensity: Annotated[float, typer.Option(help="Offered work by capacity.")] = 0.8,
    service_seconds: Annotated[float, typer.Option(help="Mean service time.")] = 1.0,
) -> None:
    """Compare what nodes must know of their workers."""

    def show(result: KnowledgeResult) -> None:
        typer.echo(
            f"{result.variation:<20} {result.demand.value:<10} "
            f"mean={result.delay_mean_seconds:.3f}s p99={result.delay_p99_seconds:.2f}s "
            f"hits={result.prefix_hit_share:.3f} load_B/s={result.load_bytes_per_second:.0f} "
            f"cache_B/s={result.cache_bytes_per_second:.0f}"
        )

    run_knowledge_bench(
        node_count=nodes,
        worker_count=workers,
        degree=degree,
        seeds=tuple(range(1, seeds + 1)),
        base=QueueingSettings(
            duration_seconds=duration_seconds,
            intensity=intensity,
            mean_service_seconds=service_seconds,
        ),
        show_progress=show,
    )


if __name__ == "__main__":
    typer.run(main)
