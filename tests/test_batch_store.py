"""Batch jobs under store faults: outages, lost responses, retention and relayed store calls."""

import asyncio
import unittest

from drumbay.batches.exceptions import (
    BatchNotFoundError,
    BatchOutcomeUnknownError,
    BatchRefusedError,
)
from drumbay.batches.records import BatchId
from drumbay.batches.retention import BatchRetention
from drumbay.standins.kv_faults import KeyValueFaults
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

BATCH = BatchId("batch")


class StoreTest(unittest.TestCase):
    def test_results_are_served_only_once_stored(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            world.model.set_faults(KeyValueFaults(outage=True))
            await asyncio.sleep(4.0)
            page = await world.nodes[0].batches.read(BATCH, 0, 0.0)
            self.assertEqual(page.results, ())
            world.model.set_faults(KeyValueFaults())
            results = await read_all(world.nodes[0].batches, BATCH)
            self.assertEqual(len(results), 12)
            self.assertEqual(len(world.workers.runs), 12)

        run_in_world(scenario)

    def test_lost_store_responses_do_not_change_results(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.model.set_faults(KeyValueFaults(lost_answers=1))
            await world.nodes[0].batches.submit(batch_spec())
            world.model.set_faults(KeyValueFaults(lost_answer_probability=0.6))
            results = await read_all(world.nodes[0].batches, BATCH, 60.0)
            world.model.set_faults(KeyValueFaults())
            self.assertEqual(len({result.item_id for result in results}), 12)
            again = await read_all(world.nodes[1].batches, BATCH)
            self.assertEqual(again, results)

        run_in_world(scenario)

    def test_a_submission_is_refused_during_a_long_store_outage(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.model.set_faults(KeyValueFaults(outage=True))
            with self.assertRaises(BatchRefusedError) as raised:
                await world.nodes[0].batches.submit(batch_spec())
            self.assertIsNotNone(raised.exception.retry_after_seconds)
            await asyncio.sleep(10.0)
            self.assertEqual(world.workers.runs, [])

        run_in_world(scenario)

    def test_a_submission_that_may_be_stored_has_unknown_outcome(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.model.set_faults(KeyValueFaults(lost_answers=100))
            with self.assertRaises(BatchOutcomeUnknownError):
                await world.nodes[0].batches.submit(batch_spec())

        run_in_world(scenario)


class RetentionTest(unittest.TestCase):
    def test_only_old_ended_batch_jobs_are_deleted(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            service = world.nodes[0].batches
            retention = BatchRetention(world.clock, service.ledger, 120.0, lambda: True)
            for name in ("ended", "open"):
                await service.submit(batch_spec(name))
                await read_all(service, BatchId(name))
            await service.end(BatchId("ended"))
            await asyncio.sleep(200.0)
            await service.submit(batch_spec("young"))
            await service.end(BatchId("young"))
            await retention.sweep()
            self.assertEqual(len(await read_all(world.nodes[1].batches, BatchId("ended"))), 12)
            await asyncio.sleep(45.0)
            await retention.sweep()
            with self.assertRaises(BatchNotFoundError):
                await WorldNode(world, 3, 0).batches.read(BatchId("ended"), 0, 0.0)
            self.assertEqual(len(await read_all(world.nodes[1].batches, BatchId("open"))), 12)
            page = await world.nodes[1].batches.read(BatchId("young"), 0, 0.0)
            self.assertEqual(page.total, 12)
            left = (await world.nodes[0].store.range_prefix("drumbay/")).items
            self.assertEqual([item.key for item in left if "ended" in item.key], [])

        run_in_world(scenario)


class RelayTest(unittest.TestCase):
    """The store is unreachable for one node only."""

    async def submit_and_disconnect_owner(self, world: ServingWorld) -> None:
        for node in world.nodes:
            node.lead()
        await asyncio.sleep(5.0)
        await world.nodes[0].batches.submit(batch_spec(groups=10))
        world.nodes[0].store.reachable = False

    def test_an_owner_without_store_access_lists_through_another_node(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.submit_and_disconnect_owner(world)
            results = await read_all(world.nodes[1].batches, BATCH, 6.0)
            self.assertEqual(len(results), 40)
            self.assertEqual(len(world.workers.runs), 40)
            self.assertEqual(world.nodes[0].batches.owned_count, 1)

        run_in_world(scenario)

    def test_a_node_without_store_access_still_accepts_batch_jobs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.submit_and_disconnect_owner(world)
            await world.nodes[0].batches.submit(batch_spec("other"))
            results = await read_all(world.nodes[0].batches, BatchId("other"), 6.0)
            self.assertEqual(len(results), 12)

        run_in_world(scenario)

    def test_a_leader_without_store_access_keeps_its_lease(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(5.0)
            now = world.clock.monotonic()
            leader = next(n for n in world.nodes if n.leader.fence(now) is not None)
            fence = leader.leader.fence(now)
            leader.store.reachable = False
            await asyncio.sleep(10.0)
            self.assertEqual(leader.leader.fence(world.clock.monotonic()), fence)

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
