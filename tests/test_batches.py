"""Batch jobs: taken once, run whole, listed at stable positions, over failures of all parts."""

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
from drumbay.standins.worker_pool import whole_text
from tests.serving_world import ServingWorld, WorldNode, batch_spec, play, read_all

BATCH = BatchId("batch")


def renamed(spec: BatchSpec, name: str) -> BatchSpec:
    """Return a batch job of the same items under another identifier."""
    return msgspec.structs.replace(spec, batch_id=BatchId(name))


class CalmTest(unittest.TestCase):
    def check_whole(self, results: tuple[ItemResult, ...], items: int) -> None:
        self.assertEqual(len(results), items)
        self.assertEqual(set(Counter(r.item_id for r in results).values()), {1})
        for result in results:
            self.assertEqual(result.state, ResultState.DONE)
            self.assertEqual(result.text, whole_text(result.item_id))

    def test_every_item_is_listed_once_and_whole_at_any_node(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            first = await read_all(world.nodes[0].batches, BATCH)
            second = await read_all(world.nodes[1].batches, BATCH)
            self.check_whole(first, 12)
            self.assertEqual(first, second)
            self.assertEqual(len(world.workers.runs), 12)

        play(scenario)

    def test_a_repeated_submission_is_taken_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            await world.nodes[1].batches.submit(batch_spec())
            await read_all(world.nodes[1].batches, BATCH)
            self.assertEqual(len(world.workers.runs), 12)

        play(scenario)

    def test_an_item_gives_its_body_until_the_end(self) -> None:
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

        play(scenario)

    def test_a_batch_job_that_does_not_exist_is_not_found(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            with self.assertRaises(BatchNotFoundError):
                await world.nodes[0].batches.read(BatchId("none"), 0, 0.0)

        play(scenario)

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

        play(scenario)

    def test_a_poll_right_after_the_submission_leaves_the_owner(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(5.0)
            await world.nodes[0].batches.submit(batch_spec())
            await read_all(world.nodes[1].batches, BATCH)
            self.assertEqual([node.batches.owned for node in world.nodes], [1, 0])
            self.assertEqual(len(world.workers.runs), 12)

        play(scenario)


class ReturningItemsTest(unittest.TestCase):
    """Groups that were not whole come back in a later batch job under the same ids."""

    async def end_early(self, world: ServingWorld, version: int) -> dict[str, int]:
        """End a batch job midway; return how many events each unfinished item has had."""
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

    def test_what_was_made_is_used_when_its_versions_fit(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            made = await self.end_early(world, version=2)
            self.assertGreater(len(made), 1)
            again = renamed(batch_spec(groups=3, minimum_version=2), "again")
            await world.nodes[1].batches.submit(again)
            results = await read_all(world.nodes[0].batches, BatchId("again"))
            self.assertEqual(len(results), 12)
            for result in results:
                self.assertEqual(result.text, whole_text(result.item_id))
                self.assertEqual(result.versions, (WeightVersion(2),))
            for item_id, events in made.items():
                first, second = world.workers.runs_of(item_id)
                self.assertGreaterEqual(second.resume_after or 0, events)
                assert first.ended_at is not None
                self.assertLess(first.ended_at - second.started_at, 0.4)

        play(scenario)

    def test_what_was_made_by_older_weights_is_made_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            made = await self.end_early(world, version=1)
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].versions["m"] = WeightVersion(2)
            for entry in world.workers.entries():
                for node in world.nodes:
                    node.directory.put(entry)
            again = renamed(batch_spec(groups=3, minimum_version=2), "again")
            await world.nodes[1].batches.submit(again)
            results = await read_all(world.nodes[0].batches, BatchId("again"))
            for result in results:
                self.assertEqual(result.text, whole_text(result.item_id))
                self.assertEqual(result.versions, (WeightVersion(2),))
            for item_id in made:
                self.assertIsNone(world.workers.runs_of(item_id)[-1].resume_after)

        play(scenario)

    def test_runs_that_the_next_batch_job_cannot_use_stop_at_the_end(self) -> None:
        """The workers hold version 2; the next batch job accepts 2 and newer, or only 3."""
        for named_at_the_end, goes_on in ((2, True), (3, False)):

            async def scenario(
                world: ServingWorld, named: int = named_at_the_end, goes_on: bool = goes_on
            ) -> None:
                world.workers.long_texts = True
                node = world.nodes[0]
                for number in (1, 2, 3):
                    world.workers[f"worker-{number}"].versions["m"] = WeightVersion(2)
                for entry in world.workers.entries():
                    node.directory.put(entry)
                node.named.name("m", WeightVersion(2))
                await node.batches.submit(batch_spec(minimum_version=1))
                await asyncio.sleep(1.0)
                node.named.name("m", WeightVersion(named))
                await node.batches.end(BATCH)
                await asyncio.sleep(0.1)
                self.assertEqual(len(world.workers.runs), 12)
                going = [run for run in world.workers.runs if run.ended_at is None]
                self.assertEqual(len(going), 12 if goes_on else 0)

            with self.subTest(named_at_the_end=named_at_the_end):
                play(scenario)

    def test_runs_of_an_ended_batch_job_stop_after_a_while(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.slowdown = 20.0
            await self.end_early(world, version=2)
            await asyncio.sleep(9.0)
            self.assertTrue(all(run.ended_at is not None for run in world.workers.runs))

        play(scenario)


class EndTest(unittest.TestCase):
    def test_after_an_end_nothing_runs_and_what_is_listed_stays(self) -> None:
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

        play(scenario)

    def test_an_owner_that_cannot_be_told_notices_the_end(self) -> None:
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
            self.assertEqual(world.nodes[0].batches.owned, 0)

        play(scenario)


class OwnerLossTest(unittest.TestCase):
    def test_another_node_takes_over_what_a_dead_owner_left(self) -> None:
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
            self.assertEqual(world.nodes[1].batches.owned, 1)

        play(scenario)

    def test_a_restarted_node_takes_its_own_batch_jobs_up_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            results = await read_all(restarted.batches, BATCH)
            self.assertEqual(len(results), 12)

        play(scenario, node_count=1)

    def test_a_new_owner_goes_on_from_what_a_dead_one_saved(self) -> None:
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

        play(scenario)

    def test_a_restarted_owner_goes_on_before_anybody_asks(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            await asyncio.sleep(0.3)
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            restarted.lead()
            await asyncio.sleep(5.0)
            page = await restarted.batches.read(BATCH, 0, 0.0)
            self.assertEqual(len(page.results), 40)

        play(scenario, node_count=1)

    def test_a_restarted_owner_leaves_what_another_node_has_taken(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            await asyncio.sleep(0.3)
            await world.nodes[0].kill()
            await read_all(world.nodes[1].batches, BATCH)
            restarted = WorldNode(world, 1, 1)
            restarted.lead()
            await asyncio.sleep(2.0)
            self.assertEqual(restarted.batches.owned, 0)
            self.assertEqual(await restarted.batches.ledger.open_at(restarted.address), ())
            await world.nodes[1].batches.end(BATCH)
            self.assertEqual(await restarted.batches.ledger.open_at(world.nodes[1].address), ())

        play(scenario)

    def test_a_new_owner_waits_before_it_continues_what_a_living_one_may_still_run(self) -> None:
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

        play(scenario)

    def test_a_replaced_owner_lists_nothing_more(self) -> None:
        """The old owner is alive, but no node reaches it; both run items, one lists them."""

        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=10))
            world.peers.cut.add(world.nodes[0].address)
            read = [read_all(node.batches, BATCH) for node in world.nodes[1:]]
            results = await asyncio.gather(*read)
            self.assertEqual(results[0], results[1])
            self.assertEqual(len({result.item_id for result in results[0]}), 40)
            self.assertEqual(world.nodes[0].batches.owned, 0)
            world.peers.cut.clear()
            self.assertEqual(await read_all(world.nodes[0].batches, BATCH), results[0])

        play(scenario, node_count=3)


if __name__ == "__main__":
    unittest.main()
