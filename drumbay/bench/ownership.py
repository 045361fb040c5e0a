"""Measures ownership at a given size: load on the key-value service and time to a successor."""

import asyncio
import random
import resource

import msgspec
import typer
from loguru import logger

from drumbay.bench.ownership_cluster import OwnershipCluster
from drumbay.ownership.records import OwnershipParameters
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults

QUIET_SECONDS = 60.0
STEADY_SECONDS = 120
SETTLE_LIMIT_SECONDS = 300.0
OUTAGE_SECONDS = 300.0
CRASHES = 10
SAMPLE_SECONDS = 0.1
PEAK_SECONDS = 20


class OwnershipBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one size.

    Attributes:
        node_count: Nodes that campaign.
        resource_count: Resources they campaign for.
        seed: Seed of the run.
        rate_limit_per_second: Limit of the key-value service; ``None`` for no limit.
        start_seconds: Until every resource had an owner, all nodes starting at once.
        start_peak_operations: Most operations that arrived within one second of it.
        owner_count: Nodes that own something.
        most_owned: Resources of the node that owns most.
        steady_operations_per_second: Operations that arrived in the quiet state.
        steady_peak_operations: Most of them within one second.
        crash_successor_seconds: From each crash of an owner until every resource had a
            live owner again, sorted.
        outage_recovery_seconds: From the end of a long outage until every resource had one.
        outage_peak_operations: Most operations that arrived within one second after it.
        resident_megabytes: Largest memory of the process.
    """

    node_count: int
    resource_count: int
    seed: int
    rate_limit_per_second: float | None
    start_seconds: float
    start_peak_operations: int
    owner_count: int
    most_owned: int
    steady_operations_per_second: float
    steady_peak_operations: int
    crash_successor_seconds: tuple[float, ...]
    outage_recovery_seconds: float
    outage_peak_operations: int
    resident_megabytes: float


class _OwnershipBench:
    """One simulated cluster that is taken through all measurements."""

    def __init__(
        self,
        node_count: int,
        resource_count: int,
        seed: int,
        rate_limit_per_second: float | None,
        parameters: OwnershipParameters,
    ) -> None:
        self._seed = seed
        self._generator = random.Random(seed)
        self._names = [f"resource/{index}" for index in range(resource_count)]
        self._healthy = KeyValueFaults(
            rate_limit_per_second=rate_limit_per_second,
            rate_limit_burst=max(1, int(rate_limit_per_second or 1)),
        )
        self._cluster = OwnershipCluster(
            seed=seed, node_count=node_count, parameters=parameters, log_renewals=False
        )

    async def run(self) -> OwnershipBenchReport:
        """Take the measurements in turn."""
        self._cluster.model.set_faults(self._healthy)
        for node in self._cluster.nodes.values():
            node.start(self._names)
        start_seconds, start_peak = await asyncio.gather(
            self._wait_until_owned(), self._measure_peak()
        )
        owners = [claim.node for claim in self._cluster.claims(self._names)]
        await asyncio.sleep(QUIET_SECONDS)
        steady, steady_peak = await self._measure_steady()
        crashes = [await self._measure_crash() for _ in range(CRASHES)]
        outage_seconds, outage_peak = await self._measure_outage()
        return OwnershipBenchReport(
            node_count=len(self._cluster.nodes),
            resource_count=len(self._names),
            seed=self._seed,
            rate_limit_per_second=self._healthy.rate_limit_per_second,
            start_seconds=start_seconds,
            start_peak_operations=start_peak,
            owner_count=len(set(owners)),
            most_owned=max(owners.count(owner) for owner in owners),
            steady_operations_per_second=steady,
            steady_peak_operations=steady_peak,
            crash_successor_seconds=tuple(sorted(round(value, 2) for value in crashes)),
            outage_recovery_seconds=outage_seconds,
            outage_peak_operations=outage_peak,
            resident_megabytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        )

    def _all_owned(self) -> bool:
        return len(self._cluster.claims(self._names)) == len(self._names)

    async def _wait_until_owned(self) -> float:
        """Wait until every resource has a live owner and return the seconds."""
        start = self._cluster.model.now()
        while self._cluster.model.now() - start < SETTLE_LIMIT_SECONDS:
            if self._all_owned():
                return self._cluster.model.now() - start
            await asyncio.sleep(SAMPLE_SECONDS)
        raise TimeoutError(f"resources without owner after {SETTLE_LIMIT_SECONDS} s")

    async def _count_operations(self, seconds: int) -> list[int]:
        """Return the operations that arrived in each of the coming seconds."""
        injector = self._cluster.model.injector
        counts: list[int] = []
        for _ in range(seconds):
            before = injector.arrived
            await asyncio.sleep(1.0)
            counts.append(injector.arrived - before)
        return counts

    async def _measure_peak(self) -> int:
        """Return the most operations of one second during a time after a disturbance."""
        return max(await self._count_operations(PEAK_SECONDS))

    async def _measure_steady(self) -> tuple[float, int]:
        """Return the mean and the most operations of one second in the quiet state."""
        counts = await self._count_operations(STEADY_SECONDS)
        return sum(counts) / len(counts), max(counts)

    async def _measure_crash(self) -> float:
        """Kill the owner of a resource at a random moment, then start it again."""
        await asyncio.sleep(self._generator.uniform(0.0, 10.0))
        victims = [claim.node for claim in self._cluster.claims(self._names)]
        victim = self._cluster.nodes[self._generator.choice(victims)]
        await victim.host.kill()
        seconds = await self._wait_until_owned()
        victim.start(self._names)
        return seconds

    async def _measure_outage(self) -> tuple[float, int]:
        """Return the seconds to recovery and the peak of operations after a long outage."""
        self._cluster.model.set_faults(KeyValueFaults(outage=True))
        await asyncio.sleep(OUTAGE_SECONDS)
        self._cluster.model.set_faults(self._healthy)
        return await asyncio.gather(self._wait_until_owned(), self._measure_peak())


def run_ownership_bench(
    node_count: int,
    resource_count: int,
    seed: int,
    *,
    rate_limit_per_second: float | None = None,
    parameters: OwnershipParameters | None = None,
) -> OwnershipBenchReport:
    """Measure one size on virtual time.

    Raises:
        TimeoutError: Some resource stayed without owner.
    """

    async def measure() -> OwnershipBenchReport:
        bench = _OwnershipBench(
            node_count,
            resource_count,
            seed,
            rate_limit_per_second,
            parameters or OwnershipParameters(),
        )
        return await bench.run()

    return run_simulation(measure)


def main(
    nodes: int = 50,
    resources: int = 40,
    seed: int = 1,
    rate_limit: float | None = None,
) -> None:
    """Print the figures of one size as JSON."""
    logger.disable("drumbay")
    report = run_ownership_bench(nodes, resources, seed, rate_limit_per_second=rate_limit)
    typer.echo(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    typer.run(main)
