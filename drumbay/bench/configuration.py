"""Time until a configuration change is in force everywhere, and what it costs.

Run with ``python -m drumbay.bench.configuration``. Nodes are simulated on virtual time;
bytes are those of the encoded messages without TCP, UDP and IP headers.
"""

import asyncio
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec
import numpy
from loguru import logger

from drumbay.bench.configuration_cluster import ConfigurationCluster
from drumbay.bench.configuration_history import commit_times, find_reversions
from drumbay.bench.configuration_objects import ObjectCost, measure_objects, sample_route
from drumbay.identifiers import Revision
from drumbay.simulation.host import Location
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import Cut, Scope
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults

DEFAULT_NODE_COUNTS = (10, 50, 100, 200, 410)
ZONES_PER_REGION = 3
REGIONS = ("lima", "nl-oost")
DISK_COUNT = 5
WRITER_NODE = "node-009"
HOME_NODE = "node-006"
"""A node of the first region, which has a majority of the replicas."""

CUT_SECONDS = 30.0
OBJECT_COUNTS = (1000, 5000)
RESOURCE_COUNT = 50
CHANGE_COUNT = 10
CHANGE_PERIOD_SECONDS = 3.0
SETTLE_SECONDS = 30.0
IDLE_SECONDS = 60.0
PREPARATION_PAUSE_SECONDS = 0.5
"""Keeps the preparation below the rate limit of the key-value service."""

LOSS_PROBABILITY = 0.01
STORE_RATE_PER_SECOND = 50.0
STORE_BURST = 50


class ConfigurationMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one cluster size.

    Attributes:
        nodes: Nodes in the cluster.
        load_seconds: From the start of all nodes at once until the last is ready.
        load_store_operations: Operations sent to the key-value service meanwhile.
        in_force_seconds: For each change, from commit until in force on every node.
        idle_bytes_per_node_per_second: Sent without changes.
        change_bytes_per_node: Sent for one change beyond the idle rate.
        idle_store_operations_per_second: Sent without changes, by all nodes.
        change_store_operations: Sent for one change, the operator's own included.
        longest_confirmation_age_seconds: Oldest confirmation on any node when idle.
        healed_cut_seconds: After a cut between the regions, during which a change was
            accepted, from its healing until the change is in force on every node. The
            cut region's way to the key-value service stays cut.
        outage_restart_seconds: Half the nodes restart at once, without anything on disk,
            while the key-value service is down: until the last one is ready.
        reversions: Resources that went back on any node.
        real_seconds: Processor time of the simulation.
    """

    nodes: int
    load_seconds: float
    load_store_operations: int
    in_force_seconds: tuple[float, ...]
    idle_bytes_per_node_per_second: float
    change_bytes_per_node: float
    idle_store_operations_per_second: float
    change_store_operations: float
    longest_confirmation_age_seconds: float
    healed_cut_seconds: float
    outage_restart_seconds: float
    reversions: int
    real_seconds: float


class ConfigurationReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of all sizes, and their growth.

    Attributes:
        seed: Seed of the runs.
        measurements: One for each size.
        object_costs: Cost of resources on one node.
        seconds_per_doubling: Slope of the longest time in force over log2 of the nodes.
        idle_bytes_per_node_per_added_node: Slope of the idle bytes over the nodes.
    """

    seed: int
    measurements: tuple[ConfigurationMeasurement, ...]
    object_costs: tuple[ObjectCost, ...]
    seconds_per_doubling: float
    idle_bytes_per_node_per_added_node: float


def _locations() -> tuple[Location, ...]:
    return tuple(
        Location(zone=f"{region}-{zone}", region=region)
        for region in REGIONS
        for zone in range(ZONES_PER_REGION)
    )


class _Run:
    """One cluster size."""

    def __init__(self, node_count: int, seed: int, folder: Path) -> None:
        self._node_count = node_count
        self._cluster = ConfigurationCluster(
            seed=seed,
            locations=_locations(),
            node_count=node_count,
            disk_count=min(DISK_COUNT, node_count),
            folder=folder,
            latency=LatencyModel(loss_probability=LOSS_PROBABILITY),
        )

    async def measure(self) -> ConfigurationMeasurement:
        started = time.process_time()
        cluster = self._cluster
        cluster.model.set_faults(
            KeyValueFaults(
                rate_limit_per_second=STORE_RATE_PER_SECOND, rate_limit_burst=STORE_BURST
            )
        )
        cluster.start_all()
        load_seconds = await cluster.wait_loaded(limit_seconds=300.0)
        load_operations = cluster.operations()
        for index in range(RESOURCE_COUNT):
            await self._change(index, 0)
            await asyncio.sleep(PREPARATION_PAUSE_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        idle_bytes, idle_operations, age_seconds = await self._idle()
        bytes_before = cluster.network.bytes_sent
        operations_before = cluster.operations()
        changes_started = cluster.clock.monotonic()
        in_force = [await self._timed_change(turn) for turn in range(CHANGE_COUNT)]
        span_seconds = cluster.clock.monotonic() - changes_started
        change_bytes = cluster.network.bytes_sent - bytes_before - idle_bytes * span_seconds
        change_operations = cluster.operations() - operations_before
        healed_cut_seconds = await self._heal_cut()
        outage_restart_seconds = await self._restart_in_outage()
        return ConfigurationMeasurement(
            nodes=self._node_count,
            load_seconds=load_seconds,
            load_store_operations=load_operations,
            in_force_seconds=tuple(in_force),
            idle_bytes_per_node_per_second=idle_bytes / self._node_count,
            change_bytes_per_node=change_bytes / CHANGE_COUNT / self._node_count,
            idle_store_operations_per_second=idle_operations,
            change_store_operations=change_operations / CHANGE_COUNT,
            longest_confirmation_age_seconds=age_seconds,
            healed_cut_seconds=healed_cut_seconds,
            outage_restart_seconds=outage_restart_seconds,
            reversions=len(find_reversions(cluster.observations)),
            real_seconds=time.process_time() - started,
        )

    async def _change(self, index: int, priority: int, node: str = WRITER_NODE) -> Revision:
        operators = self._cluster.nodes[node].operators
        result = await operators.apply(
            sample_route(index, priority), None, f"set-{index}-{priority}"
        )
        if result.committed_revision is None:
            raise RuntimeError(f"change was not committed: {result.detail}")
        return result.committed_revision

    async def _timed_change(self, turn: int) -> float:
        """Change one resource; return the seconds from commit to in force everywhere."""
        cluster = self._cluster
        started = cluster.clock.monotonic()
        first_observation = len(cluster.observations)
        revision = await self._change(turn, turn + 1)
        await cluster.wait_in_force(revision, limit_seconds=60.0)
        spent_seconds = cluster.clock.monotonic() - started
        await asyncio.sleep(max(0.0, CHANGE_PERIOD_SECONDS - spent_seconds))
        arrivals: dict[str, float] = {}
        for observation in cluster.observations[first_observation:]:
            if observation.revision >= revision:
                arrivals.setdefault(observation.node, observation.at_seconds)
        return max(arrivals.values()) - commit_times(cluster.model)[revision]

    async def _heal_cut(self) -> float:
        cluster = self._cluster
        cut = Cut(scope=Scope.REGION, source=REGIONS[0], target=REGIONS[1])
        cluster.network.cut(cut, both_ways=True)
        for node in cluster.nodes.values():
            node.store.cut = node.host.location.region == REGIONS[1]
        revision = await self._change(0, CHANGE_COUNT + 1, HOME_NODE)
        await asyncio.sleep(CUT_SECONDS)
        cluster.network.heal(cut, both_ways=True)
        seconds = await cluster.wait_in_force(revision, limit_seconds=120.0)
        for node in cluster.nodes.values():
            node.store.cut = False
        return seconds

    async def _restart_in_outage(self) -> float:
        cluster = self._cluster
        cluster.model.set_faults(KeyValueFaults(outage=True))
        restarted = [node for node in cluster.nodes.values() if node.host.data_folder is None]
        restarted = restarted[::2]
        for node in restarted:
            await node.kill()
        for node in restarted:
            node.start()
        return await cluster.wait_loaded(limit_seconds=120.0)

    async def _idle(self) -> tuple[float, float, float]:
        """Return bytes/s and store operations/s of all nodes, and the oldest confirmation."""
        cluster = self._cluster
        bytes_before = cluster.network.bytes_sent
        operations_before = cluster.operations()
        oldest_seconds = 0.0
        for _ in range(int(IDLE_SECONDS)):
            await asyncio.sleep(1.0)
            ages = [node.service.applied.confirmed_age_seconds() for node in cluster.running()]
            oldest_seconds = max(oldest_seconds, *(age or 0.0 for age in ages))
        sent_bytes = cluster.network.bytes_sent - bytes_before
        operations = cluster.operations() - operations_before
        return sent_bytes / IDLE_SECONDS, operations / IDLE_SECONDS, oldest_seconds


def run_configuration_bench(
    node_counts: Sequence[int] = DEFAULT_NODE_COUNTS, seed: int = 1
) -> ConfigurationReport:
    """Measure every size on virtual time and fit the slopes."""
    measurements = []
    for node_count in node_counts:
        with tempfile.TemporaryDirectory(prefix="drumbay-bench-") as folder:

            async def main(
                count: int = node_count, data: Path = Path(folder)
            ) -> ConfigurationMeasurement:
                return await _Run(count, seed, data).measure()

            measurements.append(run_simulation(main))
    longest = [max(one.in_force_seconds) for one in measurements]
    idle = [one.idle_bytes_per_node_per_second for one in measurements]
    return ConfigurationReport(
        seed=seed,
        measurements=tuple(measurements),
        object_costs=tuple(measure_objects(count) for count in OBJECT_COUNTS),
        seconds_per_doubling=_slope([float(numpy.log2(n)) for n in node_counts], longest),
        idle_bytes_per_node_per_added_node=_slope([float(n) for n in node_counts], idle),
    )


def _slope(x: Sequence[float], y: Sequence[float]) -> float:
    if len(x) < 2:
        return 0.0
    return float(numpy.polyfit(x, y, 1)[0])


if __name__ == "__main__":
    logger.remove()
    sizes = tuple(int(argument) for argument in sys.argv[1:]) or DEFAULT_NODE_COUNTS
    sys.stdout.buffer.write(
        msgspec.json.format(msgspec.json.encode(run_configuration_bench(sizes))) + b"\n"
    )
