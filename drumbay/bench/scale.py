"""What one node costs in a cluster of hollow nodes: messages, bytes, processor time, memory.

Hollow nodes are real :class:`drumbay.node.node.Node` objects that share one process and run
on virtual time. Messages and bytes repeat for one seed. Processor time is real and contains
the simulator, so it is an upper bound, except for what the simulation leaves out and what is
added from measurements of its own: sealing of frames, and HTTP (``drumbay bench polls``).
"""

import asyncio
import statistics
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
import psutil

from drumbay.bench.scale_cluster import ClusterSize, HollowCluster, route
from drumbay.simulation.virtual_time import run_simulation

START_LIMIT_SECONDS = 120.0
CHANGE_COUNT = 5
CHANGE_LIMIT_SECONDS = 60.0
SECONDS_PER_HOUR = 3600.0


class ScalePlan(msgspec.Struct, frozen=True, kw_only=True):
    """How long a run takes, in simulated time.

    Attributes:
        settle_seconds: Pause after the start, after the configuration and after changes.
        steady_seconds: Span that is measured.
    """

    settle_seconds: float = 30.0
    steady_seconds: float = 60.0


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """One figure over all nodes."""

    mean: float
    median: float
    maximum: float


class SubsystemRate(msgspec.Struct, frozen=True, kw_only=True):
    """What one node sends for one subsystem in a second.

    Attributes:
        subsystem: Package whose messages are counted.
        messages: Messages per second.
        sent_bytes: Bytes per second, frames and IP headers included.
    """

    subsystem: str
    messages: Spread
    sent_bytes: Spread


class ScaleMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one cluster size, in steady state unless said otherwise.

    Attributes:
        nodes: Nodes in the cluster.
        workers: Back ends that are configured.
        seed: Seed of the run.
        start_seconds: From the start of all nodes at once until all are ready.
        start_store_operations: Operations sent to the key-value service meanwhile.
        traffic: Messages between nodes.
        sent_bytes: Bytes per second and node between nodes, all subsystems.
        status_polls: Status requests to back ends, per second and node.
        cache_polls: Requests for cache events, per second and node.
        machine_list_reads: Reads of the machine list per second, all nodes.
        store_operations: Operations on the key-value service per second, all nodes.
        store_operations_busiest: The same, of the busiest node.
        cpu_milliseconds: Processor time per second and node, simulator included.
        frame_milliseconds: Sealing and opening of the messages, per second and node.
        memory_bytes: Growth of the resident memory per node.
        baseline_bytes: Resident memory before the first node was made.
        change_seconds: From an operator's change until in force on all nodes.
        change_bytes: Bytes per node for one change, beyond the steady rate.
        simulated_hours_per_second: Simulated hours in a second of wall time.
    """

    nodes: int
    workers: int
    seed: int
    start_seconds: float
    start_store_operations: int
    traffic: tuple[SubsystemRate, ...]
    sent_bytes: Spread
    status_polls: Spread
    cache_polls: Spread
    machine_list_reads: float
    store_operations: float
    store_operations_busiest: float
    cpu_milliseconds: float
    frame_milliseconds: float
    memory_bytes: float
    baseline_bytes: int
    change_seconds: tuple[float, ...]
    change_bytes: float
    simulated_hours_per_second: float


class _Steady(msgspec.Struct, frozen=True, kw_only=True):
    traffic: tuple[SubsystemRate, ...]
    sent_bytes: Spread
    status_polls: Spread
    cache_polls: Spread
    machine_list_reads: float
    store_operations: float
    store_operations_busiest: float
    cpu_milliseconds: float
    frame_milliseconds: float


class _Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of one node that are never reset."""

    statuses: int
    cache_events: int
    machine_list: int
    store: int


def spread(values: Sequence[float]) -> Spread:
    """Return mean, median and maximum."""
    return Spread(
        mean=statistics.fmean(values), median=statistics.median(values), maximum=max(values)
    )


def _resident_bytes() -> int:
    return int(psutil.Process().memory_info().rss)


class _Run:
    def __init__(self, cluster: HollowCluster, plan: ScalePlan) -> None:
        self._cluster = cluster
        self._plan = plan

    def _counts(self) -> list[_Counts]:
        return [
            _Counts(
                statuses=node.engines.polls.statuses,
                cache_events=node.engines.polls.cache_events,
                machine_list=node.machines.reads,
                store=node.store.operations,
            )
            for node in self._cluster.nodes
        ]

    async def steady(self) -> _Steady:
        """Measure a span without changes."""
        cluster = self._cluster
        cluster.meter.reset()
        before = self._counts()
        started = time.process_time()
        await asyncio.sleep(self._plan.steady_seconds)
        cpu_seconds = time.process_time() - started
        after = self._counts()
        traffic = self.traffic_rates()
        node_seconds = cluster.size.nodes * self._plan.steady_seconds
        messages = sum(each.messages.mean for each in traffic)

        def rates(count: Callable[[_Counts], int]) -> list[float]:
            pairs = zip(before, after, strict=True)
            return [(count(end) - count(start)) / self._plan.steady_seconds for start, end in pairs]

        store = rates(lambda counts: counts.store)
        return _Steady(
            traffic=traffic,
            sent_bytes=spread([sent / self._plan.steady_seconds for sent in self._sent_bytes()]),
            status_polls=spread(rates(lambda counts: counts.statuses)),
            cache_polls=spread(rates(lambda counts: counts.cache_events)),
            machine_list_reads=sum(rates(lambda counts: counts.machine_list)),
            store_operations=sum(store),
            store_operations_busiest=max(store),
            cpu_milliseconds=1000 * cpu_seconds / node_seconds,
            frame_milliseconds=1000 * messages * cluster.frame.seconds,
        )

    def traffic_rates(self) -> tuple[SubsystemRate, ...]:
        """Return what was sent since the last reset, as rates of a steady span."""
        meter = self._cluster.meter
        hosts = [node.host.address.host for node in self._cluster.nodes]
        seconds = self._plan.steady_seconds
        rates = []
        for subsystem in meter.subsystems():
            sent = [meter.traffic(host, subsystem) for host in hosts]
            rates.append(
                SubsystemRate(
                    subsystem=subsystem,
                    messages=spread([each.messages / seconds for each in sent]),
                    sent_bytes=spread([each.sent_bytes / seconds for each in sent]),
                )
            )
        return tuple(rates)

    def _sent_bytes(self) -> list[int]:
        meter = self._cluster.meter
        subsystems = meter.subsystems()
        return [
            sum(meter.traffic(node.host.address.host, each).sent_bytes for each in subsystems)
            for node in self._cluster.nodes
        ]

    async def change(self, turn: int) -> float:
        """Change one route; return the seconds until it is in force on all nodes."""
        cluster = self._cluster
        started = asyncio.get_running_loop().time()
        revision = await cluster.apply(route(0, turn + 1))
        await cluster.wait_for_nodes(
            lambda node: node.node.status().configuration_revision >= revision,
            CHANGE_LIMIT_SECONDS,
        )
        return asyncio.get_running_loop().time() - started

    async def changes(self, steady_bytes: float) -> tuple[tuple[float, ...], float]:
        """Make changes; return their times, and the bytes per node for one."""
        cluster = self._cluster
        cluster.meter.reset()
        started = asyncio.get_running_loop().time()
        times = [await self.change(turn) for turn in range(CHANGE_COUNT)]
        await asyncio.sleep(self._plan.settle_seconds)
        elapsed = asyncio.get_running_loop().time() - started
        sent = statistics.fmean(self._sent_bytes())
        return tuple(times), (sent - steady_bytes * elapsed) / CHANGE_COUNT


async def _measure(size: ClusterSize, plan: ScalePlan, seed: int, folder: Path) -> ScaleMeasurement:
    baseline_bytes = _resident_bytes()
    wall_started = time.monotonic()
    cluster = HollowCluster(size, seed=seed, folder=folder)
    run = _Run(cluster, plan)
    start_seconds = await cluster.start(START_LIMIT_SECONDS)
    start_operations = sum(node.store.operations for node in cluster.nodes)
    await asyncio.sleep(plan.settle_seconds)
    await cluster.configure()
    await asyncio.sleep(plan.settle_seconds)
    steady = await run.steady()
    memory_bytes = (_resident_bytes() - baseline_bytes) / size.nodes
    change_seconds, change_bytes = await run.changes(steady.sent_bytes.mean)
    simulated_hours = asyncio.get_running_loop().time() / SECONDS_PER_HOUR
    wall_seconds = time.monotonic() - wall_started
    await cluster.stop()
    return ScaleMeasurement(
        nodes=size.nodes,
        workers=size.workers,
        seed=seed,
        start_seconds=start_seconds,
        start_store_operations=start_operations,
        traffic=steady.traffic,
        sent_bytes=steady.sent_bytes,
        status_polls=steady.status_polls,
        cache_polls=steady.cache_polls,
        machine_list_reads=steady.machine_list_reads,
        store_operations=steady.store_operations,
        store_operations_busiest=steady.store_operations_busiest,
        cpu_milliseconds=steady.cpu_milliseconds,
        frame_milliseconds=steady.frame_milliseconds,
        memory_bytes=memory_bytes,
        baseline_bytes=baseline_bytes,
        change_seconds=change_seconds,
        change_bytes=change_bytes,
        simulated_hours_per_second=simulated_hours / wall_seconds,
    )


def measure_scale(
    size: ClusterSize, *, seed: int = 1, plan: ScalePlan | None = None
) -> ScaleMeasurement:
    """Run one cluster size on virtual time.

    NOTE: memory is that of the whole process; measure one size per process.
    """
    with tempfile.TemporaryDirectory(prefix="drumbay-bench-") as folder:

        async def main() -> ScaleMeasurement:
            return await _measure(size, plan or ScalePlan(), seed, Path(folder))

        return run_simulation(main)
