"""Bench of the designs by which nodes get limited sets of workers.

Compares queueing delay, capacity under skewed demand, control bytes, churn and the chance of
a node without any eligible worker, for each design and degree, on the same seeds. Run with
``python -m drumbay.bench.subsets --help``.
"""

import random
import statistics
from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec
import typer

from drumbay.backends.interface import CacheEvent, CacheEventKind, EngineStatus
from drumbay.bench.subset_graph import (
    Demand,
    SubsetGraph,
    build_graph,
    capacity_share,
    demand_shares,
)
from drumbay.bench.subset_queueing import QueueingResult, QueueingSettings, QueueingSimulation
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion
from drumbay.routing.subsets import SubsetDesign, SubsetPolicy

QUICK_NODES = 41
QUICK_WORKERS = 70
IP_AND_UDP_HEADER_BYTES = 28
ELIGIBLE_SHARES = (0.5, 0.25, 0.1)
ELIGIBILITY_TRIALS = 20


class DemandResult(msgspec.Struct, frozen=True, kw_only=True):
    """One design and degree under one shape of demand; means over the seeds.

    Attributes:
        demand: Shape of the demand.
        capacity_share: Largest feasible intensity, a lower bound.
        delay_p50_seconds: Median time in a worker's queue.
        delay_p99_seconds: 99th percentile of it.
        delay_p99_spread_seconds: Largest less smallest of the seeds' 99th percentiles.
        prefix_hit_share: Share of requests whose prefix was cached.
        backlog_at_end: Requests queued per worker at the end; grows without end when the
            demand is not feasible.
        cache_events_per_second: Cache changes per worker and second.
    """

    demand: Demand
    capacity_share: float
    delay_p50_seconds: float
    delay_p99_seconds: float
    delay_p99_spread_seconds: float
    prefix_hit_share: float
    backlog_at_end: float
    cache_events_per_second: float


class DesignResult(msgspec.Struct, frozen=True, kw_only=True):
    """One design at one degree.

    Attributes:
        design: The design.
        degree: Degree asked for.
        mean_degree: Mean number of workers of a node.
        max_degree: Largest number of workers of a node.
        min_nodes_per_worker: Fewest nodes that watch a worker.
        load_bytes_per_second: Load reports that a node receives.
        cache_bytes_per_second: Cache events that a node would receive.
        node_leave_churn: Pairs that change when one node leaves, besides its own, per worker
            of that node.
        worker_join_churn: Pairs that change when one worker joins, besides its own, per
            node of that worker.
        nodes_without_worker: Share of nodes without an eligible worker, for each of
            ``ELIGIBLE_SHARES``.
        demands: Results for each shape of demand.
    """

    design: SubsetDesign
    degree: int
    mean_degree: float
    max_degree: int
    min_nodes_per_worker: int
    load_bytes_per_second: float
    cache_bytes_per_second: float
    node_leave_churn: float
    worker_join_churn: float
    nodes_without_worker: tuple[float, ...]
    demands: tuple[DemandResult, ...]


class SubsetBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything one run of the bench measured."""

    node_count: int
    worker_count: int
    seeds: tuple[int, ...]
    settings: QueueingSettings
    load_report_bytes: int
    cache_event_bytes: int
    results: tuple[DesignResult, ...]


def load_report_bytes() -> int:
    """Return the size of one load report as a datagram, without authentication."""
    status = EngineStatus(
        backend_id=BackendId("worker-000"),
        boot_id=BootId("0123456789abcdef"),
        model="model-name",
        weight_version=WeightVersion(1000),
        highest_fence=Fence(1000),
        running=100,
        waiting=10,
        observed_age_seconds=0.25,
    )
    return len(msgspec.msgpack.encode(status)) + IP_AND_UDP_HEADER_BYTES


def cache_event_bytes() -> int:
    """Return the size of one cache event within a datagram that carries many."""
    event = CacheEvent(
        sequence=100_000,
        kind=CacheEventKind.STORED,
        prefix_hash="0123456789abcdef",
        weight_version=WeightVersion(1000),
    )
    return len(msgspec.msgpack.encode(event))


def run_subset_bench(
    *,
    node_count: int = QUICK_NODES,
    worker_count: int = QUICK_WORKERS,
    designs: Sequence[SubsetDesign] = tuple(SubsetDesign),
    degrees: Sequence[int] = (8, 32),
    seeds: Sequence[int] = (1,),
    settings: QueueingSettings | None = None,
    show_progress: Callable[[DesignResult], None] | None = None,
) -> SubsetBenchReport:
    """Measure the designs at each degree; every design sees the same seeds."""
    used = settings or QueueingSettings()
    results: list[DesignResult] = []
    for design in designs:
        for degree in (worker_count,) if design is SubsetDesign.ALL else degrees:
            policy = SubsetPolicy(design=design, degree=degree)
            result = _measure_design(policy, node_count, worker_count, seeds, used)
            results.append(result)
            if show_progress is not None:
                show_progress(result)
    return SubsetBenchReport(
        node_count=node_count,
        worker_count=worker_count,
        seeds=tuple(seeds),
        settings=used,
        load_report_bytes=load_report_bytes(),
        cache_event_bytes=cache_event_bytes(),
        results=tuple(results),
    )


def _measure_design(
    policy: SubsetPolicy,
    node_count: int,
    worker_count: int,
    seeds: Sequence[int],
    settings: QueueingSettings,
) -> DesignResult:
    graph = build_graph(node_count, worker_count, policy)
    demands = tuple(_measure_demand(graph, demand, seeds, settings) for demand in Demand)
    event_rate = max(result.cache_events_per_second for result in demands)
    return DesignResult(
        design=policy.design,
        degree=policy.degree,
        mean_degree=graph.mean_degree,
        max_degree=max(len(workers) for workers in graph.worker_sets),
        min_nodes_per_worker=_min_nodes_per_worker(graph),
        load_bytes_per_second=graph.mean_degree
        * load_report_bytes()
        / settings.report_interval_seconds,
        cache_bytes_per_second=graph.mean_degree * cache_event_bytes() * event_rate,
        node_leave_churn=_node_leave_churn(graph, node_count, worker_count, policy),
        worker_join_churn=_worker_join_churn(graph, node_count, worker_count, policy),
        nodes_without_worker=tuple(
            _nodes_without_worker(graph, share) for share in ELIGIBLE_SHARES
        ),
        demands=demands,
    )


def _measure_demand(
    graph: SubsetGraph, demand: Demand, seeds: Sequence[int], settings: QueueingSettings
) -> DemandResult:
    capacities: list[float] = []
    runs: list[QueueingResult] = []
    for seed in seeds:
        shares = demand_shares(graph, demand, random.Random(seed))
        capacities.append(capacity_share(graph, shares))
        runs.append(QueueingSimulation(graph, shares, settings, random.Random(seed)).run())
    percentiles = [run.delay_p99_seconds for run in runs]
    return DemandResult(
        demand=demand,
        capacity_share=statistics.mean(capacities),
        delay_p50_seconds=statistics.mean(run.delay_p50_seconds for run in runs),
        delay_p99_seconds=statistics.mean(percentiles),
        delay_p99_spread_seconds=max(percentiles) - min(percentiles),
        prefix_hit_share=statistics.mean(run.prefix_hit_share for run in runs),
        backlog_at_end=statistics.mean(run.backlog_at_end for run in runs),
        cache_events_per_second=statistics.mean(run.cache_events_per_second for run in runs),
    )


def _min_nodes_per_worker(graph: SubsetGraph) -> int:
    counts = [0] * graph.worker_count
    for workers in graph.worker_sets:
        for index in workers:
            counts[index] += 1
    return min(counts)


def _node_leave_churn(
    graph: SubsetGraph, node_count: int, worker_count: int, policy: SubsetPolicy
) -> float:
    """Compare with the graph without the last node."""
    after = build_graph(node_count - 1, worker_count, policy)
    changed = sum(
        len(set(before) ^ set(workers))
        for before, workers in zip(graph.worker_sets, after.worker_sets, strict=False)
    )
    return changed / max(1, len(graph.worker_sets[-1]))


def _worker_join_churn(
    graph: SubsetGraph, node_count: int, worker_count: int, policy: SubsetPolicy
) -> float:
    """Compare with the graph with one more worker."""
    after = build_graph(node_count, worker_count + 1, policy)
    joined = worker_count
    changed = 0
    watchers = 0
    for before, workers in zip(graph.worker_sets, after.worker_sets, strict=True):
        difference = set(before) ^ set(workers)
        watchers += joined in difference
        changed += len(difference - {joined})
    return changed / max(1, watchers)


def _nodes_without_worker(graph: SubsetGraph, eligible_share: float) -> float:
    generator = random.Random(1)
    eligible_count = round(graph.worker_count * eligible_share)
    missing = 0
    for _ in range(ELIGIBILITY_TRIALS):
        eligible = frozenset(generator.sample(range(graph.worker_count), eligible_count))
        missing += sum(1 for workers in graph.worker_sets if eligible.isdisjoint(workers))
    return missing / (ELIGIBILITY_TRIALS * graph.node_count)


def format_result(result: DesignResult) -> str:
    """Return a result as lines of text, one per shape of demand."""
    missing = " ".join(f"{share:.4f}" for share in result.nodes_without_worker)
    head = (
        f"{result.design.value} d={result.degree} mean={result.mean_degree:.1f} "
        f"max={result.max_degree} min_nodes_per_worker={result.min_nodes_per_worker} "
        f"load_B/s={result.load_bytes_per_second:.0f} "
        f"cache_B/s={result.cache_bytes_per_second:.0f} "
        f"churn_leave={result.node_leave_churn:.2f} churn_join={result.worker_join_churn:.2f} "
        f"without_worker={missing}"
    )
    lines = [head]
    for entry in result.demands:
        lines.append(
            f"  {entry.demand.value:<14} capacity={entry.capacity_share:.3f} "
            f"p50={entry.delay_p50_seconds:.3f}s p99={entry.delay_p99_seconds:.2f}s "
            f"(spread {entry.delay_p99_spread_seconds:.2f}) hits={entry.prefix_hit_share:.3f} "
            f"backlog={entry.backlog_at_end:.2f}"
        )
    return "\n".join(lines)


def main(
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = QUICK_NODES,
    workers: Annotated[int, typer.Option(help="Number of workers.")] = QUICK_WORKERS,
    design: Annotated[list[SubsetDesign] | None, typer.Option(help="Designs; all if none.")] = None,
    degree: Annotated[list[int] | None, typer.Option(help="Degrees; 8 and 32 if none.")] = None,
    seeds: Annotated[int, typer.Option(help="Number of seeds, from 1.")] = 1,
    duration_seconds: Annotated[float, typer.Option(help="Simulated time measured.")] = 30.0,
    report_interval_seconds: Annotated[float, typer.Option(help="Between load reports.")] = 2.0,
    intensity: Annotated[float, typer.Option(help="Offered work by capacity.")] = 0.8,
    sample_count: Annotated[int, typer.Option(help="Workers compared per choice.")] = 4,
    cache_events: Annotated[bool, typer.Option(help="Nodes hear cache events.")] = False,
    json_output: Annotated[bool, typer.Option("--json", help="Print the report as JSON.")] = False,
) -> None:
    """Compare designs of limited worker sets."""
    settings = QueueingSettings(
        intensity=intensity,
        duration_seconds=duration_seconds,
        report_interval_seconds=report_interval_seconds,
        sample_count=sample_count,
        hears_cache_events=cache_events,
    )
    report = run_subset_bench(
        node_count=nodes,
        worker_count=workers,
        designs=design or tuple(SubsetDesign),
        degrees=degree or (8, 32),
        seeds=tuple(range(1, seeds + 1)),
        settings=settings,
        show_progress=None if json_output else lambda result: typer.echo(format_result(result)),
    )
    if json_output:
        typer.echo(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    typer.run(main)
