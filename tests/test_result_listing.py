"""Batching of result writes, and early flushes of urgent results."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, ItemId, ItemResult, ResultState
from drumbay.batches.result_log import (
    OWNER_CHECK_INTERVAL_SECONDS,
    URGENT_FLUSH_DELAY_SECONDS,
    ResultLog,
)
from drumbay.identifiers import Revision, WeightVersion
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_model import KeyValueModel
from tests.serving_world import batch_spec

ITEMS = 4
INTERVAL_SECONDS = 1.0
TOLERANCE_SECONDS = 0.02


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """A write of results, or an ownership check (no results)."""

    at: float
    results: int


class RecordingLedger(BatchLedger):
    """Records the time and size of each write."""

    def __init__(self, clock: SimulationClock) -> None:
        super().__init__(MemoryKeyValueStore(KeyValueModel(clock), clock))
        self._clock = clock
        self.writes: list[Write] = []

    async def append(
        self,
        batch_id: BatchId,
        owner_revision: Revision,
        position: int,
        results: tuple[ItemResult, ...],
    ) -> None:
        self.writes.append(Write(at=self._clock.monotonic(), results=len(results)))

    async def check_owner(self, batch_id: BatchId, owner_revision: Revision) -> None:
        self.writes.append(Write(at=self._clock.monotonic(), results=0))


def result(number: int) -> ItemResult:
    return ItemResult(
        item_id=ItemId(f"item-{number}"),
        state=ResultState.DONE,
        text="x",
        versions=(WeightVersion(1),),
    )


def writes_of(script: Callable[[ResultLog], Awaitable[None]]) -> list[Write]:
    """Run a script against a log of four items; return its writes, relative to the start."""

    async def main() -> list[Write]:
        clock = SimulationClock()
        ledger = RecordingLedger(clock)
        result_log = ResultLog(
            clock,
            ledger,
            batch_spec(groups=1, group_size=ITEMS),
            Revision(1),
            (),
            flush_interval_seconds=lambda: INTERVAL_SECONDS,
            on_lost=lambda error: None,
        )
        started_at = clock.monotonic()
        task = asyncio.ensure_future(result_log.run())
        await script(result_log)
        task.cancel()
        return [Write(at=w.at - started_at, results=w.results) for w in ledger.writes]

    return run_simulation(main)


class ResultLogTest(unittest.TestCase):
    def assert_writes(self, writes: list[Write], expected: list[Write]) -> None:
        self.assertEqual([w.results for w in writes], [w.results for w in expected])
        for write, other in zip(writes, expected, strict=True):
            self.assertAlmostEqual(write.at, other.at, delta=TOLERANCE_SECONDS)

    def test_results_are_collected_for_the_flush_interval(self) -> None:
        async def script(result_log: ResultLog) -> None:
            for number in (0, 1):
                result_log.add(result(number), is_urgent=False)
                await asyncio.sleep(0.4)
            await asyncio.sleep(0.5)

        self.assert_writes(writes_of(script), [Write(at=INTERVAL_SECONDS, results=2)])

    def test_an_urgent_result_flushes_all_pending_ones(self) -> None:
        async def script(result_log: ResultLog) -> None:
            result_log.add(result(0), is_urgent=False)
            await asyncio.sleep(0.3)
            result_log.add(result(1), is_urgent=True)
            await asyncio.sleep(0.5)

        urgent_at = 0.3 + URGENT_FLUSH_DELAY_SECONDS
        self.assert_writes(writes_of(script), [Write(at=urgent_at, results=2)])

    def test_an_owner_without_results_checks_its_ownership(self) -> None:
        async def script(result_log: ResultLog) -> None:
            await asyncio.sleep(2.5 * OWNER_CHECK_INTERVAL_SECONDS)

        expected = [Write(at=n * OWNER_CHECK_INTERVAL_SECONDS, results=0) for n in (1, 2)]
        self.assert_writes(writes_of(script), expected)

    def test_a_write_confirms_the_ownership(self) -> None:
        async def script(result_log: ResultLog) -> None:
            await asyncio.sleep(1.0)
            result_log.add(result(0), is_urgent=False)
            await asyncio.sleep(1.0)

        self.assert_writes(writes_of(script), [Write(at=OWNER_CHECK_INTERVAL_SECONDS, results=1)])


if __name__ == "__main__":
    unittest.main()
