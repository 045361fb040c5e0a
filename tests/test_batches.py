"""Batch jobs end to end: submission, stable results, reuse of texts, and loss of owners."""

import asyncio
import unittest
from collections import Counter

import msgspec

from drumbay.batches.exceptions import (
    BatchEndedError,
    BatchNotFoundError,
)
from drumbay.batches.records import BatchId, BatchSpec, ItemId, ItemResult, ResultState
from drumbay.identifiers import WeightVersion
from drumbay.standins.worker_pool import full_text
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

BATCH = BatchId("batch")


def renamed(spec: BatchSpec, name: str) -> BatchSpec:
    """Return a batch job of the same items under another identifier."""
    return msgspec.structs.replace(spec, batch_id=BatchId(name))


class FaultFreeTest(unittest.TestCase):
    def check_all_complete(self, results: tuple[ItemResult, ...], items: int) -> None:
        self.assertEqual(len(results), items)
        self.assertEqual(set(Counter(r.item_id for r in results).values()), {1})
        for result in results:
            self.assertEqual(result.state, ResultState.DONE)
            self.assertEqual(result.text, full_text(result.item_id))

    def test_every_node_serves_each_result_once_and_complete(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            first = await read_all(world.nodes[0].batches, BATCH)
            second = await read_all(world.nodes[1].batches, BATCH)
            self.check_all_complete(first, 12)
            self.assertEqual(first, second)
            self.assertEqual(len(world.workers.runs), 12)

        run_in_world(scenario)

    def test_a_repeated_submission_runs_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            await world.nodes[1].batches.submit(batch_spec())
            await read_all(world.nodes[1].batches, BATCH)
            self.assertEqual(len(world.workers.runs), 12)

        run_in_world(scenario)

    def test_item_bodies_are_served_until_the_end(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            for node in world.nodes:
                body = await node.batches.body(BATCH, ItemId("batch-1-2"))
                self.assertEqual(body, b"body 1 2")
                with self.assertRaises(BatchNotFoundError):
                    await node.batches.body(BATCH, ItemId("other"))
            await world.nodes[1].batches.end(BATCH)
            await asyncio.sleep(0.1)
            with self.assertRaises(BatchEndedError):
                await world.nodes[0].batches.body(BATCH, ItemId("batch-1-2"))

        run_in_world(scenario)

    def test_a_batch_job_that_does_not_exist_is_not_found(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            with self.assertRaises(BatchNotFoundError):
                await world.nodes[0].batches.read(BatchId("none"), 0, 0.0)

        run_in_world(scenario)

    def test_items_of_a_group_share_a_worker(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            await read_all(world.nodes[0].batches, BATCH)
            for group in range(3):
                workers = {
                    run.worker_id
                    for run in world.workers.runs
                    if run.request_id.startswith(f"batch-{group}-")
                }
                self.assertEqual(len(workers), 1)

        run_in_world(scenario)

    def test_a_poll_right_after_the_submission_does_not_change_the_owner(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(5.0)
            await world.nodes[0].batches.submit(batch_spec())
            await read_all(world.nodes[1].batches, BATCH)
            self.assertEqual([node.batches.owned_count for node in world.nodes], [1, 0])
            self.assertEqual(len(world.workers.runs), 12)

        run_in_world(scenario)


class ResubmittedItemsTest(unittest.TestCase):
    """Incomplete groups are resubmitted in a later batch job under the same identifiers."""

    async def end_early(self, world: ServingWorld, version: int) -> dict[str, int]:
        """End a batch job midway; return the event count of each unfinished item."""
        for node in world.nodes:
            node.lead()
        for number in (1, 2, 3):
            world.workers[f"worker-{number}"].versions["m"] = WeightVersion(version)
        for entry in world.workers.entries():
            for node in world.nodes:
                node.directory.put(entry)
        await asyncio.sleep(5.0)
        await world.nodes[0].batches.submit(batch_spec(groups=3))
        await asyncio.sleep(0.42)
        await world.nodes[1].batches.end(BATCH)
        await asyncio.sleep(0.05)
        return {run.request_id: run.events for run in world.workers.runs if run.ended_at is None}

    def test_partial_texts_of_acceptable_versions_are_reused(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            event_counts = await self.end_early(world, version=2)
            self.assertGreater(len(event_counts), 1)
            again = renamed(batch_spec(groups=3, minimum_version=2), "again")
            await world.nodes[1].batches.submit(again)
            results = await read_all(world.nodes[0].batches, BatchId("again"))
            self.assertEqual(len(results), 12)
            for result in results:
                self.assertEqual(result.text, full_text(result.item_id))
                self.assertEqual(result.versions, (WeightVersion(2),))
            for item_id, events in event_counts.items():
                first, second = world.workers.runs_of(item_id)
                self.assertGreaterEqual(second.resume_after or 0, events)
                assert first.ended_at is not None
                self.assertLess(first.ended_at - second.started_at, 0.4)

        run_in_world(scenario)

    def test_partial_texts_of_older_versions_are_generated_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            event_counts = await self.end_early(world, version=1)
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].versions["m"] = WeightVersion(2)
            for entry in world.workers.entries():
                for node in world.nodes:
                    node.directory.put(entry)
            again = renamed(batch_spec(groups=3, minimum_version=2), "again")
            await world.nodes[1].batches.submit(again)
            results = await read_all(world.nodes[0].batches, BatchId("again"))
            for result in results:
                self.assertEqual(result.text, full_text(result.item_id))
                self.assertEqual(result.versions, (WeightVersion(2),))
            for item_id in event_counts:
                self.assertIsNone(world.workers.runs_of(item_id)[-1].resume_after)

        run_in_world(scenario)

    def test_runs_without_reusable_texts_stop_at_the_end(self) -> None:
        """Workers have version 2; the next batch job accepts versions from 2, or only from 3."""
        for named_at_the_end, continues in ((2, True), (3, False)):

            async def scenario(
                world: ServingWorld, named: int = named_at_the_end, continues: bool = continues
            ) -> None:
                world.workers.long_texts = True
                node = world.nodes[0]
                for number in (1, 2, 3):
                    world.workers[f"worker-{number}"].versions["m"] = WeightVersion(2)
                for entry in world.workers.entries():
                    node.directory.put(entry)
                node.announced.announce("m", WeightVersion(2))
                await node.batches.submit(batch_spec(minimum_version=1))
                await asyncio.sleep(1.0)
                node.announced.announce("m", WeightVersion(named))
                await node.batches.end(BATCH)
                await asyncio.sleep(0.1)
                self.assertEqual(len(world.workers.runs), 12)
                still_running = [run for run in world.workers.runs if run.ended_at is None]
                self.assertEqual(len(still_running), 12 if continues else 0)

            with self.subTest(named_at_the_end=named_at_the_end):
                run_in_world(scenario)

    def test_runs_of_an_ended_batch_job_stop_after_lingering(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.slowdown = 20.0
            await self.end_early(world, version=2)
            await asyncio.sleep(9.0)
            self.assertTrue(all(run.ended_at is not None for run in world.workers.runs))

        run_in_world(scenario)


class EndTest(unittest.TestCase):
    def test_after_the_end_no_item_starts_and_listed_results_stay(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=20))
            await asyncio.sleep(0.6)
            before = await world.nodes[0].batches.read(BATCH, 0, 0.0)
            self.assertLess(0, len(before.results))
            await world.nodes[1].batches.end(BATCH)
            await world.nodes[1].batches.end(BATCH)
            ended_at = world.clock.monotonic()
            await asyncio.sleep(5.0)
            late = [run for run in world.workers.runs if run.started_at > ended_at + 0.1]
            self.assertEqual(late, [])
            after = await world.nodes[0].batches.read(BATCH, 0, 0.0)
            self.assertEqual(after.results[: len(before.results)], before.results)
            self.assertEqual(after.total, 80)

        run_in_world(scenario)

    def test_an_unreachable_owner_notices_the_end(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers["worker-1"].faults.slowdown = 40.0
            world.workers["worker-2"].faults.slowdown = 40.0
            world.workers["worker-3"].faults.slowdown = 40.0
            await world.nodes[0].batches.submit(batch_spec(groups=20))
            world.peers.cut.add(world.nodes[0].address)
            await world.nodes[1].batches.end(BATCH)
            ended_at = world.clock.monotonic()
            await asyncio.sleep(8.0)
            late = [run for run in world.workers.runs if run.started_at > ended_at + 3.0]
            self.assertEqual(late, [])
            self.assertEqual(world.nodes[0].batches.owned_count, 0)

        run_in_world(scenario)


class OwnerLossTest(unittest.TestCase):
    def test_another_node_takes_over_from_a_dead_owner(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            await asyncio.sleep(0.6)
            before = await world.nodes[0].batches.read(BATCH, 0, 0.0)
            self.assertLess(0, len(before.results))
            self.assertLess(len(before.results), 40)
            await world.nodes[0].kill()
            after = await read_all(world.nodes[1].batches, BATCH)
            self.assertEqual(after[: len(before.results)], before.results)
            self.assertEqual(len({result.item_id for result in after}), 40)
            self.assertEqual(world.nodes[1].batches.owned_count, 1)

        run_in_world(scenario)

    def test_a_restarted_node_reclaims_its_batch_jobs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            results = await read_all(restarted.batches, BATCH)
            self.assertEqual(len(results), 12)

        run_in_world(scenario, node_count=1)

    def test_a_new_owner_resumes_from_saved_progress(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec(groups=1))
            await asyncio.sleep(5.0)
            await world.nodes[0].kill()
            results = await read_all(world.nodes[1].batches, BATCH)
            for result in results:
                self.assertEqual(result.text, world.workers.text(result.item_id))
            resumed = [run for run in world.workers.runs if (run.resume_after or 0) >= 60]
            self.assertEqual(len(resumed), 4)

        run_in_world(scenario)

    def test_a_restarted_owner_resumes_without_being_called(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            await asyncio.sleep(0.3)
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            restarted.lead()
            await asyncio.sleep(5.0)
            page = await restarted.batches.read(BATCH, 0, 0.0)
            self.assertEqual(len(page.results), 40)

        run_in_world(scenario, node_count=1)

    def test_a_restarted_owner_does_not_reclaim_taken_over_jobs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            await asyncio.sleep(0.3)
            await world.nodes[0].kill()
            await read_all(world.nodes[1].batches, BATCH)
            restarted = WorldNode(world, 1, 1)
            restarted.lead()
            await asyncio.sleep(2.0)
            self.assertEqual(restarted.batches.owned_count, 0)
            self.assertEqual(await restarted.batches.ledger.open_batches_at(restarted.address), ())
            await world.nodes[1].batches.end(BATCH)
            self.assertEqual(
                await restarted.batches.ledger.open_batches_at(world.nodes[1].address), ()
            )

        run_in_world(scenario)

    def test_a_new_owner_waits_before_resuming_runs_of_a_live_one(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec(groups=1))
            await asyncio.sleep(5.0)
            world.peers.cut.add(world.nodes[0].address)
            results = await read_all(world.nodes[1].batches, BATCH)
            for result in results:
                self.assertEqual(result.text, world.workers.text(result.item_id))
            resumed = [run for run in world.workers.runs if run.resume_after is not None]
            self.assertEqual(len(resumed), 4)
            for run in resumed:
                before = world.workers.runs_of(run.request_id)[0]
                assert before.ended_at is not None
                self.assertLess(before.ended_at, run.started_at + 0.4)

        run_in_world(scenario)

    def test_a_replaced_owner_lists_no_more_results(self) -> None:
        """The old owner is alive but unreachable; both run items, but only one lists results."""

        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            world.peers.cut.add(world.nodes[0].address)
            read = [read_all(node.batches, BATCH) for node in world.nodes[1:]]
            results = await asyncio.gather(*read)
            self.assertEqual(results[0], results[1])
            self.assertEqual(len({result.item_id for result in results[0]}), 40)
            self.assertEqual(world.nodes[0].batches.owned_count, 0)
            world.peers.cut.clear()
            self.assertEqual(await read_all(world.nodes[0].batches, BATCH), results[0])

        run_in_world(scenario, node_count=3)


if __name__ == "__main__":
    unittest.main()
