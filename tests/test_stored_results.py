"""Paged reads of an ended batch job's results from the store."""

import unittest

import msgspec

from drumbay.batches.ledger import RESULTS_PER_WRITE, BatchLedger
from drumbay.batches.owners import ServiceIdentity
from drumbay.batches.records import (
    BatchId,
    ItemId,
    ItemResult,
    OwnerRecord,
    OwnerState,
    ResultPage,
    ResultState,
)
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import Revision, WeightVersion
from drumbay.kv.interface import RangeResult
from drumbay.kv.memory import MemoryKeyValueStore
from tests.serving_world import ServingWorld, batch_spec, run_in_world

BATCH = BatchId("batch")
TOTAL = 200
TEXT = "x" * 15_000
"""Results take 3 MB in total, three pages of the store."""

PAGE_BYTES = 500_000
STORE_PAGE_BYTES = 1_000_000
WRITES = (1, 63, RESULTS_PER_WRITE, 7, 40, 25)


class CountingStore(MemoryKeyValueStore):
    """Counts the bytes of values read."""

    read_bytes = 0

    async def range_prefix(self, prefix: str) -> RangeResult:
        return self._count(await super().range_prefix(prefix))

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        return self._count(await super().range_page(prefix, after))

    def _count(self, found: RangeResult) -> RangeResult:
        self.read_bytes += sum(len(item.value) for item in found.items)
        return found


def result(number: int) -> ItemResult:
    return ItemResult(
        item_id=ItemId(f"item-{number}"),
        state=ResultState.DONE,
        text=TEXT,
        versions=(WeightVersion(1),),
    )


class StoredResultsTest(unittest.TestCase):
    def read(self, position: int) -> tuple[ResultPage, int]:
        """List results in writes of several sizes; return a page and the bytes read for it."""

        async def scenario(world: ServingWorld) -> tuple[ResultPage, int]:
            store = CountingStore(world.model, world.clock)
            ledger = BatchLedger(store)
            owner = await self.list_results(ledger)
            self.assertIsNotNone(owner)
            store.read_bytes = 0
            page = await ledger.read_results(BATCH, position, TOTAL, PAGE_BYTES)
            return page, store.read_bytes

        return run_in_world(scenario)

    async def list_results(self, ledger: BatchLedger) -> Revision | None:
        spec = msgspec.structs.replace(batch_spec(), batch_id=BATCH)
        identity = ServiceIdentity(address=NetworkAddress("h", 1), boot="boot")
        record = OwnerRecord(
            address=identity.address,
            boot=identity.boot,
            state=OwnerState.OPEN,
            total=TOTAL,
            stream=spec.stream,
        )
        owner = await ledger.accept(spec, record, 0.0)
        assert owner is not None
        position = 0
        for count in WRITES:
            some = tuple(result(number) for number in range(position, position + count))
            await ledger.append(BATCH, owner, position, some)
            position += count
        self.assertEqual(position, TOTAL)
        return owner

    def test_every_position_is_found_without_reading_all_results(self) -> None:
        for position in (0, 1, 2, 63, 64, 127, 128, 134, 135, 174, 199):
            page, read_bytes = self.read(position)
            self.assertEqual(page.position, position)
            self.assertEqual(page.results[0].item_id, f"item-{position}")
            ids = [int(r.item_id.removeprefix("item-")) for r in page.results]
            self.assertEqual(ids, list(range(position, position + len(ids))))
            self.assertLessEqual(read_bytes, STORE_PAGE_BYTES + len(TEXT) * RESULTS_PER_WRITE)

    def test_the_page_after_the_last_position_is_empty(self) -> None:
        page, _ = self.read(TOTAL)
        self.assertEqual((page.results, page.total), ((), TOTAL))


if __name__ == "__main__":
    unittest.main()
