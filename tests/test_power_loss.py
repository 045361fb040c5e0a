"""All nodes lose power at the same moment: what was promised rests on the store alone."""

import asyncio
import unittest

from drumbay.batches.exceptions import BatchEndedError, BatchNotFoundError
from drumbay.batches.records import BatchId, ItemResult
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

NODES = 3
BATCH = BatchId("batch")
MOMENTS_SECONDS = (0.0, 0.01, 0.05, 0.2, 0.5, 0.8, 1.2, 2.0)
"""Times from the acceptance of a batch job to the loss of power."""


async def lose_power(world: ServingWorld, boot: int) -> None:
    """End all nodes without any of them writing or telling anything, and start others."""
    for node in world.nodes:
        node.store.reachable = False
    for node in world.nodes:
        await node.kill()
    world.nodes = [WorldNode(world, number, boot) for number in range(1, NODES + 1)]
    for node in world.nodes:
        node.lead()


async def read_listed(node: WorldNode) -> tuple[ItemResult, ...]:
    """Return the results that are listed now."""
    return (await node.batches.read(BATCH, 0, 0.0)).results


class PowerLossTest(unittest.TestCase):
    def test_accepted_work_is_whole_and_what_was_read_comes_again(self) -> None:
        for moment in MOMENTS_SECONDS:

            async def scenario(world: ServingWorld, moment: float = moment) -> None:
                spec = batch_spec()
                await world.nodes[0].batches.submit(spec)
                await asyncio.sleep(moment)
                before = await read_listed(world.nodes[1])
                await lose_power(world, 1)
                listed = {result.item_id for result in before}
                for item in spec.items:
                    if item.item_id not in listed:
                        body = await world.nodes[2].batches.body(BATCH, item.item_id)
                        self.assertEqual(body, item.body)
                after = await read_all(world.nodes[1].batches, BATCH)
                self.assertEqual(after[: len(before)], before)
                self.assertEqual(len({result.item_id for result in after}), len(spec.items))

            with self.subTest(seconds=moment):
                run_in_world(scenario, node_count=NODES)

    def test_an_ended_batch_job_starts_nothing(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(0.2)
            await world.nodes[1].batches.end(BATCH)
            await lose_power(world, 1)
            runs = len(world.workers.runs)
            with self.assertRaises((BatchEndedError, BatchNotFoundError)):
                await world.nodes[2].batches.body(BATCH, batch_spec().items[-1].item_id)
            await asyncio.sleep(3.0)
            self.assertEqual(len(world.workers.runs), runs)

        run_in_world(scenario, node_count=NODES)

    def test_failures_count_over_losses_of_power(self) -> None:
        """A loss of power may take the count of one run that has just ended, and no more."""

        async def scenario(world: ServingWorld) -> None:
            spec = batch_spec(groups=1)
            failing, rejected = spec.items[0].item_id, spec.items[1].item_id
            world.workers.failing_requests.add(failing)
            world.workers.rejected_requests.add(rejected)
            await world.nodes[0].batches.submit(spec)
            for boot in range(1, 6):
                await asyncio.sleep(0.4)
                await lose_power(world, boot)
                await read_listed(world.nodes[boot % NODES])
            await read_all(world.nodes[0].batches, BATCH)
            self.assertLessEqual(len(world.workers.runs_of(failing)), 3 * spec.attempts)
            self.assertLessEqual(len(world.workers.runs_of(rejected)), 3)

        run_in_world(scenario, node_count=NODES)


if __name__ == "__main__":
    unittest.main()
