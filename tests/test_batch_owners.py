"""Choice of batch job owners: successive jobs keep their owner, and lost owners are replaced."""

import asyncio
import unittest
from contextlib import suppress

from drumbay.batches.exceptions import BatchUnavailableError
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.peers.messages import PageReply, ReadResults
from drumbay.standins.kv_faults import KeyValueFaults
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

NOTICE_SECONDS = 0.05


class StreamOwnerTest(unittest.TestCase):
    async def run_first_batch(self, world: ServingWorld) -> None:
        """Run the first batch job of the stream on the first node."""
        for node in world.nodes:
            node.lead()
        await asyncio.sleep(5.0)
        await world.nodes[0].batches.submit(batch_spec("first"))
        await read_all(world.nodes[0].batches, BatchId("first"))
        await world.nodes[0].batches.end(BatchId("first"))
        await asyncio.sleep(0.1)

    def owned(self, world: ServingWorld) -> list[int]:
        return [node.batches.owned_count for node in world.nodes]

    async def check_all_results(self, world: ServingWorld, node: WorldNode, name: str) -> None:
        results = await read_all(node.batches, BatchId(name))
        self.assertEqual(len({result.item_id for result in results}), 12)

    def test_the_owner_of_the_previous_batch_job_owns_the_next(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(self.owned(world), [1, 0, 0])
            await self.check_all_results(world, world.nodes[1], "second")
            self.assertEqual(len(world.workers.runs), 24)

        run_in_world(scenario, node_count=3)

    def test_an_owner_with_an_open_batch_job_is_passed_over(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            await world.nodes[2].batches.submit(batch_spec("second"))
            await world.nodes[2].batches.submit(batch_spec("third"))
            self.assertEqual(self.owned(world), [1, 0, 1])
            for name in ("second", "third"):
                await self.check_all_results(world, world.nodes[1], name)
                await world.nodes[1].batches.end(BatchId(name))
            await asyncio.sleep(0.1)
            await world.nodes[1].batches.submit(batch_spec("fourth"))
            await world.nodes[1].batches.submit(batch_spec("fifth"))
            self.assertEqual(self.owned(world), [1, 0, 1])

        run_in_world(scenario, node_count=3)

    def test_a_dead_owner_is_passed_over_within_the_timeout(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            await world.nodes[0].kill()
            submitted_at = world.clock.monotonic()
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertLess(world.clock.monotonic() - submitted_at, 0.35)
            self.assertEqual(self.owned(world)[1:], [0, 1])
            await self.check_all_results(world, world.nodes[1], "second")
            await world.nodes[1].batches.end(BatchId("second"))
            await asyncio.sleep(0.1)
            await world.nodes[1].batches.submit(batch_spec("third"))
            self.assertEqual(self.owned(world)[1:], [0, 1])

        run_in_world(scenario, node_count=3)

    def test_a_draining_owner_is_passed_over(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            world.nodes[0].batches.stop_accepting()
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(self.owned(world)[1:], [0, 1])
            await self.check_all_results(world, world.nodes[1], "second")

        run_in_world(scenario, node_count=3)

    def test_an_owner_whose_reply_was_lost_stops_once_replaced(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            world.peers.lose_replies.add(world.nodes[0].address)
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(self.owned(world), [1, 0, 1])
            await self.check_all_results(world, world.nodes[2], "second")
            await asyncio.sleep(3.0)
            self.assertEqual(self.owned(world), [0, 0, 1])

        run_in_world(scenario, node_count=3)

    def test_a_replaced_owner_that_is_told_of_its_successor_sends_nothing_more(self) -> None:
        """Guards against items that two owners run at the same time."""

        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            world.workers.long_texts = True
            world.peers.lose_replies.add(world.nodes[0].address)
            await world.nodes[2].batches.submit(batch_spec("second"))
            await asyncio.sleep(NOTICE_SECONDS)
            self.assertEqual(self.owned(world), [0, 0, 1])

        run_in_world(scenario, node_count=3)

    def test_a_restarted_owner_rejects_a_hand_over_to_its_earlier_process(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.run_first_batch(world)
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            await world.nodes[2].batches.submit(batch_spec("second"))
            self.assertEqual(
                (restarted.batches.owned_count, world.nodes[2].batches.owned_count), (0, 1)
            )
            await self.check_all_results(world, restarted, "second")

        run_in_world(scenario, node_count=3)


class TakeoverTest(unittest.TestCase):
    """Many nodes access a batch job at the same time."""

    async def poll_other_nodes(self, world: ServingWorld, seconds: float) -> None:
        """Poll the batch job on all nodes but the owner."""
        until = world.clock.monotonic() + seconds

        async def poll(node: WorldNode) -> None:
            while world.clock.monotonic() < until:
                with suppress(BatchUnavailableError):
                    await node.batches.read(BatchId("batch"), 0, 0.0)
                await asyncio.sleep(0.07)

        await asyncio.gather(*(poll(node) for node in world.nodes[1:]))

    def test_a_dead_owner_is_replaced_only_once_while_the_store_is_slow(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec(groups=1))
            await asyncio.sleep(2.0)
            await world.nodes[0].kill()
            world.model.set_faults(KeyValueFaults(request_delay_seconds=0.2))
            await self.poll_other_nodes(world, 5.0)
            for item in batch_spec(groups=1).items:
                self.assertEqual(len(world.workers.runs_of(item.item_id)), 2)

        run_in_world(scenario, node_count=6)

    def test_a_node_that_is_taking_over_replies_as_owner(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec(groups=1))
            await asyncio.sleep(2.0)
            await world.nodes[0].kill()
            world.model.set_faults(KeyValueFaults(request_delay_seconds=0.2))
            first = asyncio.create_task(world.nodes[1].batches.read(BatchId("batch"), 0, 0.0))
            ledger = BatchLedger(MemoryKeyValueStore(world.model, world.clock))
            async with asyncio.timeout(5.0):
                while True:
                    owner = await ledger.read_owner(BatchId("batch"))
                    if owner.record.address == world.nodes[1].address:
                        break
            request = ReadResults(batch_id=BatchId("batch"), position=0, wait_seconds=0.0)
            self.assertIsInstance(await world.nodes[1].node.handle_peer(request), PageReply)
            await first

        run_in_world(scenario)

    def test_an_owner_with_a_congested_link_stays_the_owner(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec(groups=1))
            await asyncio.sleep(1.0)
            world.peers.congested.add(world.nodes[0].address)
            await self.poll_other_nodes(world, 4.0)
            self.assertEqual(world.nodes[0].batches.owned_count, 1)
            self.assertEqual(len(world.workers.runs), 4)

        run_in_world(scenario, node_count=6)


if __name__ == "__main__":
    unittest.main()
