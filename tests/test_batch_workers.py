"""Batch jobs under worker faults, and the weight versions of their texts."""

import asyncio
import unittest

from drumbay.batches.records import BatchId, ItemResult, ResultState
from drumbay.identifiers import WeightVersion
from drumbay.standins.worker_log import WorkerFaults
from drumbay.standins.worker_pool import full_text
from tests.serving_world import ServingWorld, batch_spec, read_all, run_in_world

BATCH = BatchId("batch")


class WorkerFaultTest(unittest.TestCase):
    def run_with(self, faults: WorkerFaults) -> list[ItemResult]:
        async def scenario(world: ServingWorld) -> list[ItemResult]:
            world.workers["worker-1"].faults = faults
            await world.nodes[0].batches.submit(batch_spec())
            results = await read_all(world.nodes[0].batches, BATCH)
            for result in results:
                self.assertEqual(result.text, full_text(result.item_id))
            return list(results)

        return run_in_world(scenario)

    def test_a_broken_stream_is_resumed_on_another_worker(self) -> None:
        self.assertEqual(len(self.run_with(WorkerFaults(break_after_events=1))), 12)

    def test_items_leave_an_unresponsive_worker(self) -> None:
        self.assertEqual(len(self.run_with(WorkerFaults(unreachable=True))), 12)

    def test_items_leave_a_worker_that_becomes_unresponsive(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(groups=6))
            await asyncio.sleep(0.2)
            world.workers["worker-1"].faults.unreachable = True
            results = await read_all(world.nodes[0].batches, BATCH)
            self.assertEqual(len(results), 24)
            for result in results:
                self.assertEqual(result.text, full_text(result.item_id))

        run_in_world(scenario)

    def test_a_full_worker_is_passed_over(self) -> None:
        self.assertEqual(len(self.run_with(WorkerFaults(full=True))), 12)

    def test_items_are_moved_off_a_slow_worker(self) -> None:
        async def scenario(world: ServingWorld) -> float:
            world.workers["worker-1"].faults.slowdown = 8.0
            await world.nodes[0].batches.submit(batch_spec(groups=3))
            await read_all(world.nodes[0].batches, BATCH)
            moved = [run for run in world.workers.runs if run.resume_after is not None]
            self.assertNotEqual(moved, [])
            return world.clock.monotonic()

        self.assertLess(run_in_world(scenario), 3.0)

    def test_an_item_that_always_fails_is_given_up_after_its_attempts(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.failing = True
            await world.nodes[0].batches.submit(batch_spec(groups=1, group_size=1, attempts=3))
            results = await read_all(world.nodes[0].batches, BATCH)
            self.assertEqual([result.state for result in results], [ResultState.DEAD])
            self.assertEqual(len(world.workers.runs), 3)

        run_in_world(scenario)

    def test_a_rejected_item_is_given_up_without_retries(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.rejecting = True
            await world.nodes[0].batches.submit(batch_spec(groups=1, group_size=1))
            results = await read_all(world.nodes[0].batches, BATCH)
            self.assertEqual([result.state for result in results], [ResultState.DEAD])
            self.assertEqual(len(world.workers.runs), 1)

        run_in_world(scenario)

    def test_items_are_given_up_at_the_queue_limit_and_not_before(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.full = True
            spec = batch_spec(groups=1, queue_limit_seconds=8.0)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(7.8)
            page = await world.nodes[0].batches.read(BATCH, 0, 0.0)
            self.assertEqual(page.results, ())
            results = await read_all(world.nodes[0].batches, BATCH)
            self.assertEqual({result.state for result in results}, {ResultState.DEAD})

        run_in_world(scenario)


class VersionTest(unittest.TestCase):
    def test_no_text_is_generated_below_the_minimum_version(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers["worker-2"].versions["m"] = WeightVersion(2)
            # The directory wrongly lists version 2 for the other workers as well.
            for number in (1, 3):
                record = world.nodes[0].directory.get(
                    world.workers[f"worker-{number}"].worker.worker_id
                )
                assert record is not None
                record.versions["m"] = WeightVersion(2)
            world.nodes[0].directory.put(world.workers.entries()[1])
            await world.nodes[0].batches.submit(batch_spec(minimum_version=2))
            results = await read_all(world.nodes[0].batches, BATCH)
            for result in results:
                self.assertEqual(result.versions, (WeightVersion(2),))
                self.assertEqual(result.text, full_text(result.item_id))

        run_in_world(scenario)

    def test_a_result_lists_every_version_that_generated_it(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.slowdown = 2.0
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(0.25)
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].versions["m"] = WeightVersion(2)
            results = await read_all(world.nodes[0].batches, BATCH)
            named = {result.versions for result in results}
            self.assertIn((WeightVersion(1), WeightVersion(2)), named)

        run_in_world(scenario)

    def test_one_version_only_texts_have_a_single_version(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].faults.slowdown = 2.0
            await world.nodes[0].batches.submit(batch_spec(one_version_only=True))
            await asyncio.sleep(0.25)
            for number in (1, 2, 3):
                world.workers[f"worker-{number}"].versions["m"] = WeightVersion(2)
            results = await read_all(world.nodes[0].batches, BATCH)
            for result in results:
                self.assertEqual(len(result.versions), 1)
                self.assertEqual(result.text, full_text(result.item_id))

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
