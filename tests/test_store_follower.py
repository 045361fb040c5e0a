"""Prefix followers: outages, silent connections, compacted history, relayed reads."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import AsyncGenerator
from unittest.mock import patch

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import Revision
from drumbay.kv.follower import PrefixFollower
from drumbay.kv.interface import MAX_QUIET_SECONDS, KeyValue, Put, WatchBatch, WatchEvent
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.kv.mirror import FeedMirror, PrefixFeed
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.directory import PeerDirectory
from drumbay.peers.freshness import POLL_SECONDS
from drumbay.peers.store_relay import RelayingStore
from drumbay.placement.topology import Topology
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_model import KeyValueModel
from tests.serving_world import ServingWorld, WorldNode, run_in_world

IN_FORCE_SECONDS = 2.0


class SilentStore(MemoryKeyValueStore):
    """Store client whose open watches go silent without an error, as TCP connections may do.

    ``disconnect`` also makes all other calls fail. After ``silence_open_watches``, other calls and
    new watches still work.
    """

    def __init__(self, model: KeyValueModel, clock: Clock) -> None:
        super().__init__(model, clock, timeout_seconds=1.0)
        self.silence_count = 0
        self.polls = 0

    def silence_open_watches(self) -> None:
        """Silence the watches that are open now."""
        self.silence_count += 1

    def disconnect(self) -> None:
        """Disconnect the client, and silence its open watches for good."""
        self.reachable = False
        self.silence_count += 1

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncGenerator[WatchBatch, None]:
        silence_count_at_open = self.silence_count
        self.polls += quiet_seconds <= POLL_SECONDS
        async for batch in super().watch_prefix(prefix, start_revision, quiet_seconds):
            if self.silence_count != silence_count_at_open:
                await asyncio.sleep(3_600.0)
            yield batch


class RecordingFeed:
    """Records the current values that a feed delivers."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}

    def apply_snapshot(self, items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
        self.values = {item.key: item.value for item in items}

    def apply_event(self, event: WatchEvent) -> None:
        if event.item is None:
            self.values.pop(event.key, None)
        else:
            self.values[event.key] = event.item.value


class FollowerTest(unittest.TestCase):
    async def follow(
        self, world: ServingWorld, store: SilentStore | None = None
    ) -> tuple[WorldNode, RecordingFeed]:
        seen = RecordingFeed()
        node = world.nodes[0]
        if store is not None:
            node = WorldNode(world, 9, 0, store)
        feed = PrefixFeed(
            prefix="config/", on_snapshot=seen.apply_snapshot, on_event=seen.apply_event
        )
        world.nodes[1].lead()
        node.node.start((feed,))
        await asyncio.sleep(5.0)
        return node, seen

    @staticmethod
    def put(world: ServingWorld, value: bytes) -> None:
        world.model.transact((), (Put(key="config/a", value=value),))

    def test_changes_arrive_immediately(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            _, seen = await self.follow(world)
            for number in range(5):
                self.put(world, str(number).encode())
                await asyncio.sleep(0.2)
                self.assertEqual(seen.values, {"config/a": str(number).encode()})

        run_in_world(scenario)

    def test_silent_watch_of_a_disconnected_node_is_replaced_in_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            store = SilentStore(world.model, world.clock)
            _, seen = await self.follow(world, store)
            store.disconnect()
            await asyncio.sleep(3.0)
            store.reachable = True
            await asyncio.sleep(1.0)
            self.put(world, b"new")
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(seen.values, {"config/a": b"new"})

        run_in_world(scenario)

    def test_silent_watch_of_a_connected_node_is_replaced_in_time(self) -> None:
        """Silenced at several points of a watch, while the heartbeat and new watches work.

        See also ``test_silent_connections``.
        """
        for phase in range(8):

            async def scenario(world: ServingWorld, phase: int = phase) -> None:
                store = SilentStore(world.model, world.clock)
                _, seen = await self.follow(world, store)
                await asyncio.sleep(0.3 * phase)
                store.silence_open_watches()
                self.put(world, b"new")
                await asyncio.sleep(IN_FORCE_SECONDS)
                self.assertEqual(seen.values, {"config/a": b"new"})

            with self.subTest(phase=phase):
                run_in_world(scenario)

    def test_disconnected_node_gets_changes_through_others(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            store = SilentStore(world.model, world.clock)
            _, seen = await self.follow(world, store)
            store.disconnect()
            await asyncio.sleep(2.0)
            self.put(world, b"new")
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(seen.values, {"config/a": b"new"})

        run_in_world(scenario)

    def test_disconnected_node_logs_it_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            store = SilentStore(world.model, world.clock)
            await self.follow(world, store)
            with patch("drumbay.kv.follower.log_event") as log_event:
                store.disconnect()
                for number in range(8):
                    self.put(world, str(number).encode())
                    await asyncio.sleep(1.0)
                store.reachable = True
                await asyncio.sleep(2.0)
                self.put(world, b"end")
                await asyncio.sleep(2.0)
            events = Counter(
                (call.args[0], call.kwargs["prefix"]) for call in log_event.call_args_list
            )
            self.assertEqual(events["store_lost", "config/"], 1)
            self.assertEqual(events["store_regained", "config/"], 1)

        run_in_world(scenario)

    def test_changes_arrive_after_their_history_was_compacted(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            _, seen = await self.follow(world)
            world.model.set_faults(KeyValueFaults(watches_stalled=True))
            self.put(world, b"1")
            self.put(world, b"2")
            world.model.compact(world.model.revision)
            world.model.set_faults(KeyValueFaults())
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(seen.values, {"config/a": b"2"})

        run_in_world(scenario)

    def test_data_is_kept_during_an_outage(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            _, seen = await self.follow(world)
            self.put(world, b"1")
            await asyncio.sleep(0.5)
            world.model.set_faults(KeyValueFaults(outage=True))
            await asyncio.sleep(30.0)
            self.assertEqual(seen.values, {"config/a": b"1"})
            world.model.set_faults(KeyValueFaults())
            self.put(world, b"2")
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(seen.values, {"config/a": b"2"})

        run_in_world(scenario)

    def test_idle_followers_make_few_store_calls(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            before = world.model.injector.arrived
            await asyncio.sleep(60.0)
            # Two nodes: a heartbeat per second each, the leader's lease, and verifications of the
            # one age-relevant mirror, at least 0.56 s apart.
            self.assertLess(world.model.injector.arrived - before, 2 * 60 + 60 + 107 + 20)

        run_in_world(scenario)


class FollowerWithoutRelayTest(unittest.TestCase):
    def test_follower_works_without_a_relay(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            seen = RecordingFeed()
            feed = PrefixFeed(
                prefix="config/", on_snapshot=seen.apply_snapshot, on_event=seen.apply_event
            )
            store = MemoryKeyValueStore(world.model, world.clock)
            follower = PrefixFollower(SimulationClock(), store, FeedMirror(feed), random.Random(1))
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(0.1)
            FollowerTest.put(world, b"1")
            await asyncio.sleep(0.5)
            self.assertEqual(seen.values, {"config/a": b"1"})
            task.cancel()

        run_in_world(scenario)


class EndedWatchTest(unittest.TestCase):
    """Regression: followers kept ending each other's watches, and missed changes for seconds.

    Watches that this process ends itself must not count as silent connections.
    """

    def test_ended_watches_do_not_count_as_silent(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            direct = MemoryKeyValueStore(world.model, world.clock, timeout_seconds=1.0)
            address = NetworkAddress("10.0.0.9", 7000)
            directory = PeerDirectory(
                world.clock,
                direct,
                address,
                Topology(zone="zone-1"),
                random.Random(1),
                lambda: None,
            )
            store = RelayingStore(world.clock, direct, world.peers, directory, ServingMetrics())
            silence_reports = 0

            def count_and_end_watches() -> None:
                nonlocal silence_reports
                silence_reports += 1
                store.end_watches()

            seen = [RecordingFeed() for _ in range(4)]
            tasks = []
            for number, feed_recorder in enumerate(seen):
                feed = PrefixFeed(
                    prefix=f"feed-{number}/",
                    on_snapshot=feed_recorder.apply_snapshot,
                    on_event=feed_recorder.apply_event,
                )
                follower = PrefixFollower(
                    world.clock,
                    store,
                    FeedMirror(feed),
                    random.Random(number),
                    on_silent_connection=count_and_end_watches,
                )
                tasks.append(asyncio.ensure_future(follower.run()))
            await asyncio.sleep(1.0)
            store.end_watches()
            await asyncio.sleep(2.0)
            self.assertEqual(silence_reports, 0)
            for number in range(4):
                world.model.transact((), (Put(key=f"feed-{number}/k", value=b"v"),))
            await asyncio.sleep(0.3)
            self.assertEqual([len(feed_recorder.values) for feed_recorder in seen], [1] * 4)
            for task in tasks:
                task.cancel()

        run_in_world(scenario, node_count=0)


if __name__ == "__main__":
    unittest.main()
