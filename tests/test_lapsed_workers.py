"""Workers whose entries expire in a store outage are still used until they re-register."""

import asyncio
import unittest

import msgspec

from drumbay.identifiers import BackendId, Revision
from drumbay.kv.interface import Delete, KeyValue, Put, RangeResult, WatchEvent
from drumbay.kv.mirror import FeedCursor, FeedMirror, PrefixFeed
from drumbay.serving.node import MISSING_WORKER_GRACE_SECONDS
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.event_intervals import INTERVAL_SAMPLES
from drumbay.workers.records import Worker, WorkerState
from tests.serving_world import ServingWorld, run_in_world

PREFIX = "workers/"
EXPIRED_WORKER = BackendId("worker-1")


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = ServingWorld(node_count=0).workers.entries()
        self.directory = WorkerDirectory()
        self.directory.replace_all(self.workers)

    def known_ids(self) -> list[str]:
        return sorted(self.directory.all_records())

    def test_worker_that_returns_keeps_its_statistics(self) -> None:
        for _ in range(INTERVAL_SAMPLES):
            self.directory.observe_event_interval(EXPIRED_WORKER, 0.04, 1.0)
        self.assertEqual(self.directory.replace_all(self.workers[1:], 5.0), (EXPIRED_WORKER,))
        self.directory.put(self.workers[0])
        self.assertEqual(self.directory.drop_missing(5.0), ())
        record = self.directory.get(EXPIRED_WORKER)
        assert record is not None
        self.assertEqual(record.event_intervals.current(1.0), 0.04)

    def test_worker_that_does_not_return_is_removed(self) -> None:
        self.directory.replace_all(self.workers[1:], 5.0)
        self.assertEqual(self.directory.drop_missing(4.9), ())
        self.assertEqual(self.directory.drop_missing(5.0), (EXPIRED_WORKER,))
        self.assertEqual(self.known_ids(), ["worker-2", "worker-3"])

    def test_draining_worker_is_removed_at_once(self) -> None:
        leaving = msgspec.structs.replace(self.workers[0], state=WorkerState.DRAINING)
        self.directory.put(leaving)
        self.assertEqual(self.directory.replace_all(self.workers[1:], 5.0), ())
        self.assertEqual(self.known_ids(), ["worker-2", "worker-3"])


class MirrorTest(unittest.TestCase):
    def test_reader_of_a_mirror_gets_the_time_without_updates(self) -> None:
        received: list[float] = []

        def apply_snapshot(items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
            received.append(unseen_seconds)

        def apply_event(event: WatchEvent) -> None:
            del event

        feed = PrefixFeed(prefix=PREFIX, on_snapshot=apply_snapshot, on_event=apply_event)
        watcher, reader = FeedMirror(feed), FeedMirror(feed)
        watcher.apply_snapshot(RangeResult(revision=Revision(9), items=()), 4.0)
        changes = watcher.changes_for(FeedCursor(prefix=PREFIX, revision=Revision(3)))
        assert changes is not None
        reader.apply_changes(changes)
        self.assertEqual(received, [4.0, 4.0])


class OutageTest(unittest.TestCase):
    """A node follows the worker entries while the store has an outage."""

    async def follow(self, world: ServingWorld) -> None:
        node = world.nodes[0]
        for worker in world.workers.entries():
            self.put(world, worker)

        def apply_snapshot(items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
            workers = [msgspec.msgpack.decode(item.value, type=Worker) for item in items]
            node.node.apply_worker_snapshot(workers, unseen_seconds)

        def apply_event(event: WatchEvent) -> None:
            if event.item is not None:
                node.directory.put(msgspec.msgpack.decode(event.item.value, type=Worker))
            else:
                node.directory.remove(BackendId(event.key.removeprefix(PREFIX)))

        feed = PrefixFeed(prefix=PREFIX, on_snapshot=apply_snapshot, on_event=apply_event)
        world.nodes[1].lead()
        node.node.start((feed,))
        await asyncio.sleep(5.0)

    @staticmethod
    def put(world: ServingWorld, worker: Worker) -> None:
        value = msgspec.msgpack.encode(worker)
        world.model.transact((), (Put(key=f"{PREFIX}{worker.worker_id}", value=value),))

    @staticmethod
    def expire_entry(world: ServingWorld) -> None:
        world.model.transact((), (Delete(key=f"{PREFIX}{EXPIRED_WORKER}"),))

    @staticmethod
    def is_known(world: ServingWorld) -> bool:
        return world.nodes[0].directory.get(EXPIRED_WORKER) is not None

    async def outage(self, world: ServingWorld, seconds: float) -> None:
        world.model.set_faults(KeyValueFaults(outage=True))
        await asyncio.sleep(seconds)
        self.expire_entry(world)
        world.model.set_faults(KeyValueFaults())

    def test_missing_worker_is_kept_for_a_while_after_an_outage(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            await self.outage(world, 6.0)
            await asyncio.sleep(1.3)
            self.assertTrue(self.is_known(world))
            self.put(world, world.workers.entries()[0])
            await asyncio.sleep(5.0)
            self.assertTrue(self.is_known(world))

        run_in_world(scenario)

    def test_worker_that_does_not_return_after_an_outage_is_removed(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            await self.outage(world, 6.0)
            await asyncio.sleep(MISSING_WORKER_GRACE_SECONDS + 1.5)
            self.assertFalse(self.is_known(world))

        run_in_world(scenario)

    def test_missing_worker_is_removed_at_once_without_an_outage(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            self.expire_entry(world)
            await asyncio.sleep(0.5)
            self.assertFalse(self.is_known(world))

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
