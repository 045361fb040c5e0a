"""Batch jobs of a stream keep their owner: its knowledge stays, and its loss costs nothing."""

import asyncio
import unittest

from drumbay.batches.records import BatchId
from tests.serving_world import ServingWorld, WorldNode, batch_spec, play, read_all


class StreamOwnerTest(unittest.TestCase):
    async def start(self, world: ServingWorld) -> None:
        """Let the first batch job of the stream be owned by the first node."""
        for node in world.nodes:
            node.lead()
        await asyncio.sleep(5.0)
        await world.nodes[0].batches.submit(batch_spec("first"))
        await read_all(world.nodes[0].batches, BatchId("first"))

    def owned(self, world: ServingWorld) -> list[int]:
        return [node.batches.owned for node in world.nodes]

    async def check_whole(self, world: ServingWorld, node: WorldNode, name: str) -> None:
        results = await read_all(node.batches, BatchId(name))
        self.assertEqual(len({result.item_id for result in results}), 12)

    def test_the_owner_of_the_batch_job_before_owns_the_next(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(self.owned(world), [2, 0, 0])
            await self.check_whole(world, world.nodes[1], "second")
            self.assertEqual(len(world.workers.runs), 24)

        play(scenario, node_count=3)

    def test_a_dead_owner_is_passed_over_in_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await world.nodes[0].kill()
            asked_at = world.clock.monotonic()
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertLess(world.clock.monotonic() - asked_at, 0.35)
            self.assertEqual(self.owned(world)[1:], [0, 1])
            await asyncio.sleep(0.1)
            await world.nodes[1].batches.submit(batch_spec("third"))
            self.assertEqual(self.owned(world)[1:], [0, 2])
            await self.check_whole(world, world.nodes[1], "second")

        play(scenario, node_count=3)

    def test_a_leaving_owner_is_passed_over(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            world.nodes[0].batches.turn_away()
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(self.owned(world)[1:], [0, 1])
            await self.check_whole(world, world.nodes[1], "second")

        play(scenario, node_count=3)

    def test_an_owner_whose_answer_is_lost_stops_once_it_is_replaced(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            world.peers.lose_replies.add(world.nodes[0].address)
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(self.owned(world), [2, 0, 1])
            await self.check_whole(world, world.nodes[2], "second")
            await asyncio.sleep(3.0)
            self.assertEqual(self.owned(world), [1, 0, 1])

        play(scenario, node_count=3)

    def test_a_restarted_owner_does_not_take_what_its_earlier_process_was_given(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual((restarted.batches.owned, world.nodes[2].batches.owned), (0, 1))
            await self.check_whole(world, restarted, "second")

        play(scenario, node_count=3)


if __name__ == "__main__":
    unittest.main()
