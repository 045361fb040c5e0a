"""Copies are proved fresh for few calls; a change that a silent watch misses is seen in time."""

import asyncio
import unittest
from collections.abc import AsyncGenerator

from drumbay.identifiers import Revision
from drumbay.kv.interface import LONGEST_QUIET_SECONDS, Put, WatchBatch
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.ownership.leader import PREFIX as LEADER_PREFIX
from drumbay.peers.feeds import FRESH_SHARE
from drumbay.peers.freshness import PROOF_SHARE, PROOF_SPREAD
from drumbay.peers.standstill import Standstill
from tests.serving_world import ServingWorld, WorldNode, play
from tests.test_shared_feeds import KEY, Seen
from tests.test_store_follower import SilentStore

NODES = 6
IN_FORCE_SECONDS = 2.0
CALM_SECONDS = 60.0
SLOW_ANSWER_SECONDS = 0.4
"""A hundred times what a calm store takes."""

PROOFS = CALM_SECONDS / 0.5
"""One node asks for all of them, 0.56 s after the last proof at the soonest."""


class LeaderWatchSilentStore(SilentStore):
    """A client of whose open watches only that of the leader falls silent."""

    def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = LONGEST_QUIET_SECONDS,
    ) -> AsyncGenerator[WatchBatch, None]:
        if prefix == LEADER_PREFIX:
            return super().watch_prefix(prefix, start_revision, quiet_seconds)
        return MemoryKeyValueStore.watch_prefix(self, prefix, start_revision, quiet_seconds)


class FreshnessTest(unittest.TestCase):
    async def start(self, world: ServingWorld) -> list[Seen]:
        self.stores = [SilentStore(world.model, world.clock) for _ in range(NODES)]
        world.nodes = [
            WorldNode(world, 10 + number, 0, store) for number, store in enumerate(self.stores)
        ]
        seen = [Seen() for _ in world.nodes]
        for node, found in zip(world.nodes, seen, strict=True):
            node.node.start((found.feed(),))
        await asyncio.sleep(5.0)
        return seen

    @staticmethod
    def put(world: ServingWorld, value: bytes) -> None:
        world.model.transact((), (Put(key=KEY, value=value),))

    def test_one_node_asks_for_all(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            before = sum(store.polls for store in self.stores)
            oldest = 0.0
            for _ in range(round(CALM_SECONDS * 20)):
                await asyncio.sleep(0.05)
                ages = [node.node.configuration_age_seconds for node in world.nodes]
                oldest = max(oldest, *ages)
            self.assertLess(oldest, 0.6 * IN_FORCE_SECONDS)
            polls = sum(store.polls for store in self.stores) - before
            self.assertLess(polls, PROOFS)

        play(scenario, node_count=0)

    def test_a_proof_from_a_slow_store_comes_before_followers_leave(self) -> None:
        in_force_seconds = 3.0
        oldest = PROOF_SHARE * PROOF_SPREAD * in_force_seconds + SLOW_ANSWER_SECONDS
        self.assertLess(oldest, FRESH_SHARE * in_force_seconds)

    def test_changes_are_in_force_while_all_open_watches_are_silent(self) -> None:
        for phase in range(4):

            async def scenario(world: ServingWorld, phase: int = phase) -> None:
                seen = await self.start(world)
                await asyncio.sleep(0.15 * phase)
                for store in self.stores:
                    store.silence_open()
                for number in range(3):
                    self.put(world, b"%d" % number)
                    await asyncio.sleep(IN_FORCE_SECONDS)
                    for found in seen:
                        self.assertEqual(found.values[-1:], [b"%d" % number])

            with self.subTest(phase=phase):
                play(scenario, node_count=0)

    def test_a_candidate_whose_watch_alone_fell_silent_leads_after_the_leader_is_gone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            store = LeaderWatchSilentStore(world.model, world.clock)
            candidate = WorldNode(world, 9, 0, store)
            world.nodes[0].lead()
            await asyncio.sleep(2.0)
            candidate.lead()
            await asyncio.sleep(5.0)
            store.silence_open()
            await world.nodes[0].kill()
            await asyncio.sleep(LONGEST_QUIET_SECONDS + 10.0)
            self.assertIsNotNone(candidate.leader.fence(world.clock.monotonic()))

        play(scenario, node_count=1)

    def test_what_waited_for_a_process_that_stood_still_is_no_proof(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            standstill = Standstill(world.clock)
            self.assertFalse(standstill.has_run_for(0.3))
            ticks = asyncio.ensure_future(standstill.run())
            await asyncio.sleep(1.0)
            self.assertTrue(standstill.has_run_for(0.3))
            ticks.cancel()
            await asyncio.sleep(5.0)
            self.assertFalse(standstill.has_run_for(0.3))
            ticks = asyncio.ensure_future(standstill.run())
            await asyncio.sleep(0.26)
            self.assertFalse(standstill.has_run_for(0.3))
            await asyncio.sleep(0.5)
            self.assertTrue(standstill.has_run_for(0.3))
            ticks.cancel()

        play(scenario)

    def test_a_node_that_cannot_prove_its_copy_says_how_old_it_is(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            node, store = world.nodes[0], self.stores[0]
            world.peers.cut = {other.address for other in world.nodes}
            store.cut()
            await asyncio.sleep(5.0)
            self.assertGreater(node.node.configuration_age_seconds, 4.0)
            self.assertTrue(node.node.may_lack_configuration)

        play(scenario, node_count=0)


if __name__ == "__main__":
    unittest.main()
