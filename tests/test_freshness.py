"""Mirrors are verified with few calls, and a change that a silent watch misses arrives in time."""

import asyncio
import unittest
from collections.abc import AsyncGenerator

from drumbay.identifiers import Revision
from drumbay.kv.interface import MAX_QUIET_SECONDS, Put, WatchBatch
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.ownership.leader import LEADER_PREFIX
from drumbay.peers.feeds import MAX_AGE_FRACTION
from drumbay.peers.freshness import MAX_JITTER_FACTOR, POLL_SECONDS, VERIFY_FRACTION
from drumbay.peers.pause_detector import PauseDetector
from tests.serving_world import ServingWorld, WorldNode, run_in_world
from tests.test_shared_feeds import KEY, RecordingFeed
from tests.test_store_follower import SilentStore

NODE_COUNT = 6
IN_FORCE_SECONDS = 2.0
QUIET_PERIOD_SECONDS = 60.0
SLOW_RESPONSE_SECONDS = 0.4
"""Response time of an overloaded store."""

SLOW_POLL_SECONDS = 0.8
FOLLOWED_NODE_COUNT = 20
"""Enough nodes that most of them follow a few watchers."""

MAX_POLLS = QUIET_PERIOD_SECONDS / 0.5
"""One node polls for all nodes, at intervals of at least 0.56 s."""


class LeaderWatchSilentStore(SilentStore):
    """Store client on which only the watch on the leader's key falls silent."""

    def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncGenerator[WatchBatch, None]:
        if prefix == LEADER_PREFIX:
            return super().watch_prefix(prefix, start_revision, quiet_seconds)
        return MemoryKeyValueStore.watch_prefix(self, prefix, start_revision, quiet_seconds)


class SlowPollStore(MemoryKeyValueStore):
    """Store client on which open watches work and polls take long, as on a busy machine."""

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncGenerator[WatchBatch, None]:
        if quiet_seconds <= POLL_SECONDS:
            await asyncio.sleep(SLOW_POLL_SECONDS)
        async for batch in super().watch_prefix(prefix, start_revision, quiet_seconds):
            yield batch


class FreshnessTest(unittest.TestCase):
    async def start(self, world: ServingWorld) -> list[RecordingFeed]:
        self.stores = [SilentStore(world.model, world.clock) for _ in range(NODE_COUNT)]
        world.nodes = [
            WorldNode(world, 10 + number, 0, store) for number, store in enumerate(self.stores)
        ]
        seen = [RecordingFeed() for _ in world.nodes]
        for node, found in zip(world.nodes, seen, strict=True):
            node.node.start((found.feed(),))
        await asyncio.sleep(5.0)
        return seen

    @staticmethod
    def put(world: ServingWorld, value: bytes) -> None:
        world.model.transact((), (Put(key=KEY, value=value),))

    def test_one_node_polls_for_all(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            before = sum(store.polls for store in self.stores)
            oldest = 0.0
            for _ in range(round(QUIET_PERIOD_SECONDS * 20)):
                await asyncio.sleep(0.05)
                ages = [node.node.configuration_age_seconds for node in world.nodes]
                oldest = max(oldest, *ages)
            self.assertLess(oldest, 0.6 * IN_FORCE_SECONDS)
            polls = sum(store.polls for store in self.stores) - before
            self.assertLess(polls, MAX_POLLS)

        run_in_world(scenario, node_count=0)

    def test_slow_verification_finishes_before_followers_switch(self) -> None:
        in_force_seconds = 3.0
        oldest = VERIFY_FRACTION * MAX_JITTER_FACTOR * in_force_seconds + SLOW_RESPONSE_SECONDS
        self.assertLess(oldest, MAX_AGE_FRACTION * in_force_seconds)

    def test_changes_arrive_while_all_open_watches_are_silent(self) -> None:
        for phase in range(4):

            async def scenario(world: ServingWorld, phase: int = phase) -> None:
                seen = await self.start(world)
                await asyncio.sleep(0.15 * phase)
                for store in self.stores:
                    store.silence_open_watches()
                for number in range(3):
                    self.put(world, b"%d" % number)
                    await asyncio.sleep(IN_FORCE_SECONDS)
                    for found in seen:
                        self.assertEqual(found.values[-1:], [b"%d" % number])

            with self.subTest(phase=phase):
                run_in_world(scenario, node_count=0)

    def test_changes_arrive_while_watches_are_silent_and_history_is_forgotten(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            seen = await self.start(world)
            for store in self.stores:
                store.silence_open_watches()
            self.put(world, b"changed")
            world.model.compact(world.model.revision)
            await asyncio.sleep(IN_FORCE_SECONDS)
            for found in seen:
                self.assertEqual(found.values[-1:], [b"changed"])

        run_in_world(scenario, node_count=0)

    def test_changes_reach_followers_while_polls_of_the_store_are_slow(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.nodes = [
                WorldNode(world, number, 0, SlowPollStore(world.model, world.clock))
                for number in range(1, FOLLOWED_NODE_COUNT + 1)
            ]
            seen = [RecordingFeed() for _ in world.nodes]
            for node, found in zip(world.nodes, seen, strict=True):
                node.node.start((found.feed(),))
                await asyncio.sleep(0.01)
            await asyncio.sleep(10.0)
            for number in range(20):
                self.put(world, b"%d" % number)
                await asyncio.sleep(IN_FORCE_SECONDS)
                behind = [
                    n for n, found in enumerate(seen) if found.values[-1:] != [b"%d" % number]
                ]
                ages = [node.node.configuration_age_seconds for node in world.nodes]
                self.assertEqual(behind, [])
                self.assertLess(max(ages), IN_FORCE_SECONDS)

        run_in_world(scenario, node_count=0)

    def test_candidate_with_a_silent_watch_takes_over_from_a_dead_leader(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            store = LeaderWatchSilentStore(world.model, world.clock)
            candidate = WorldNode(world, 9, 0, store)
            world.nodes[0].lead()
            await asyncio.sleep(2.0)
            candidate.lead()
            await asyncio.sleep(5.0)
            store.silence_open_watches()
            await world.nodes[0].kill()
            await asyncio.sleep(MAX_QUIET_SECONDS + 10.0)
            self.assertIsNotNone(candidate.leader.fence(world.clock.monotonic()))

        run_in_world(scenario, node_count=1)

    def test_pause_detector_requires_uninterrupted_running_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            pause_detector = PauseDetector(world.clock)
            self.assertFalse(pause_detector.has_run_for(0.3))
            ticks = asyncio.ensure_future(pause_detector.run())
            await asyncio.sleep(1.0)
            self.assertTrue(pause_detector.has_run_for(0.3))
            ticks.cancel()
            await asyncio.sleep(5.0)
            self.assertFalse(pause_detector.has_run_for(0.3))
            ticks = asyncio.ensure_future(pause_detector.run())
            await asyncio.sleep(0.26)
            self.assertFalse(pause_detector.has_run_for(0.3))
            await asyncio.sleep(0.5)
            self.assertTrue(pause_detector.has_run_for(0.3))
            ticks.cancel()

        run_in_world(scenario)

    def test_unverified_node_reports_the_age_of_its_data(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            node, store = world.nodes[0], self.stores[0]
            world.peers.cut = {other.address for other in world.nodes}
            store.disconnect()
            await asyncio.sleep(5.0)
            self.assertGreater(node.node.configuration_age_seconds, 4.0)
            self.assertTrue(node.node.may_have_outdated_configuration)

        run_in_world(scenario, node_count=0)


if __name__ == "__main__":
    unittest.main()
