"""Rate that the weight store needs so that a rollout ends in time.

Run with ``python -m drumbay.bench.weights``. Engines, store and owner are emulated on
virtual time; each engine fetches a whole version from the store, loads it and swaps.
"""

import asyncio
import sys
import time
from collections.abc import Sequence

import msgspec
from loguru import logger

from drumbay.bench.weights_cluster import RolloutCluster
from drumbay.identifiers import Fence
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.weight_store_model import WeightStoreParameters

ENGINE_COUNT = 700
TIME_LIMIT_SECONDS = 33.0
MIN_SERVING_SHARE = 0.5
VERSION_BYTES = 2_000_000_000
DEFAULT_CONCURRENT_LOADS = (32, 64, 128, 256, 350)
LOWEST_RATE_BYTES_PER_SECOND = 30e9
HIGHEST_RATE_BYTES_PER_SECOND = 640e9
SEARCH_STEPS = 7
RUN_LIMIT_SECONDS = 120.0
FAILING_SHARES = (0.0, 0.02, 0.1)
FAILURE_LOADS = 256
FAILURE_RATE_BYTES_PER_SECOND = 60e9
OWNER_WARM_UP_SECONDS = 10.0


class RolloutMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """One rollout.

    Attributes:
        engines: Engines of the model.
        max_concurrent_loads: Most engines that read from the store at once.
        bytes_per_second: Rate of the store, shared by all readers.
        failing_share: Share of the engines whose first swap fails.
        seconds: From the publication until every engine truly serves the version;
            ``None`` if it took longer than the run's limit.
        most_busy: Most engines that worked on orders at once.
        simulation_processor_seconds: Processor time of the whole simulated rollout.
    """

    engines: int
    max_concurrent_loads: int
    bytes_per_second: float
    failing_share: float
    seconds: float | None
    most_busy: int
    simulation_processor_seconds: float


class RequiredRate(msgspec.Struct, frozen=True, kw_only=True):
    """Lowest rate found at which the rollout ends within the limit.

    Attributes:
        max_concurrent_loads: Most engines that read from the store at once.
        measurement: The slowest run that still was in time; ``None`` if none was.
    """

    max_concurrent_loads: int
    measurement: RolloutMeasurement | None


class RolloutReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the search.

    Attributes:
        engines: Engines of the model.
        version_bytes: Size of one version.
        limit_seconds: Time a rollout may take.
        min_serving_share: Share of engines that keeps serving.
        lowest_possible_bytes_per_second: All bytes over the whole limit.
        required: Result for each number of concurrent loads.
        with_failures: Rollouts in which some engines' first swap fails.
    """

    engines: int
    version_bytes: int
    limit_seconds: float
    min_serving_share: float
    lowest_possible_bytes_per_second: float
    required: tuple[RequiredRate, ...]
    with_failures: tuple[RolloutMeasurement, ...]


def measure_rollout(
    engine_count: int,
    max_concurrent_loads: int,
    bytes_per_second: float,
    failing_share: float = 0.0,
) -> RolloutMeasurement:
    """Roll one version out on virtual time."""

    async def main() -> RolloutMeasurement:
        cluster = RolloutCluster(
            engine_count=engine_count,
            min_serving_share=MIN_SERVING_SHARE,
            max_concurrent_loads=max_concurrent_loads,
            engine_parameters=EngineParameters(),
            store_parameters=WeightStoreParameters(
                bytes_per_second=bytes_per_second, version_bytes=VERSION_BYTES
            ),
        )
        node = cluster.add_node("owner")
        node.lease_fence = Fence(1)
        await asyncio.sleep(OWNER_WARM_UP_SECONDS)
        for engine in cluster.engines[: round(failing_share * engine_count)]:
            engine.faults.apply(FaultCommand(fault=FaultKind.SWAP_FAILS, count=1))
        started = time.process_time()
        cluster.publish(2, node)
        seconds: float | None
        try:
            seconds = await cluster.wait_for_version(2, limit_seconds=RUN_LIMIT_SECONDS)
        except TimeoutError:
            seconds = None
        return RolloutMeasurement(
            engines=engine_count,
            max_concurrent_loads=max_concurrent_loads,
            bytes_per_second=bytes_per_second,
            failing_share=failing_share,
            seconds=seconds,
            most_busy=cluster.most_busy(),
            simulation_processor_seconds=time.process_time() - started,
        )

    return run_simulation(main)


def _search(engine_count: int, max_concurrent_loads: int) -> RequiredRate:
    low = LOWEST_RATE_BYTES_PER_SECOND
    high = HIGHEST_RATE_BYTES_PER_SECOND
    best = measure_rollout(engine_count, max_concurrent_loads, high)
    if not _is_in_time(best):
        return RequiredRate(max_concurrent_loads=max_concurrent_loads, measurement=None)
    for _ in range(SEARCH_STEPS):
        middle = (low * high) ** 0.5
        measurement = measure_rollout(engine_count, max_concurrent_loads, middle)
        if _is_in_time(measurement):
            best = measurement
            high = middle
        else:
            low = middle
    return RequiredRate(max_concurrent_loads=max_concurrent_loads, measurement=best)


def _is_in_time(measurement: RolloutMeasurement) -> bool:
    return measurement.seconds is not None and measurement.seconds <= TIME_LIMIT_SECONDS


def run_weight_bench(
    engine_count: int = ENGINE_COUNT,
    concurrent_loads: Sequence[int] = DEFAULT_CONCURRENT_LOADS,
) -> RolloutReport:
    """Search the rate that the store needs for each number of concurrent loads."""
    return RolloutReport(
        engines=engine_count,
        version_bytes=VERSION_BYTES,
        limit_seconds=TIME_LIMIT_SECONDS,
        min_serving_share=MIN_SERVING_SHARE,
        lowest_possible_bytes_per_second=engine_count * VERSION_BYTES / TIME_LIMIT_SECONDS,
        required=tuple(_search(engine_count, loads) for loads in concurrent_loads),
        with_failures=tuple(
            measure_rollout(engine_count, FAILURE_LOADS, FAILURE_RATE_BYTES_PER_SECOND, share)
            for share in FAILING_SHARES
        ),
    )


if __name__ == "__main__":
    logger.remove()
    count = int(sys.argv[1]) if len(sys.argv) > 1 else ENGINE_COUNT
    report = msgspec.json.encode(run_weight_bench(count))
    sys.stdout.buffer.write(msgspec.json.format(report) + b"\n")
