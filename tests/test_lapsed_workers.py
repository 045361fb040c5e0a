"""Workers whose entries lapsed while the store was away go on being used until they are back."""

import asyncio
import unittest

import msgspec

from drumbay.identifiers import BackendId, Revision
from drumbay.kv.interface import Delete, KeyValue, Put, RangeResult, WatchEvent
from drumbay.kv.mirror import FeedCursor, FeedMirror, PrefixFeed
from drumbay.serving.node import RETURN_SECONDS
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.pace import PACE_SAMPLES
from drumbay.workers.records import Worker, WorkerState
from tests.serving_world import ServingWorld, play

PREFIX = "workers/"
GONE = BackendId("worker-1")


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = ServingWorld(node_count=0).workers.entries()
        self.directory = WorkerDirectory()
        self.directory.replace_all(self.workers)

    def known(self) -> list[str]:
        return sorted(self.directory.all_records())

    def test_a_worker_that_comes_back_keeps_what_is_known_of_it(self) -> None:
        for _ in range(PACE_SAMPLES):
            self.directory.observe_pace(GONE, 0.04, 1.0)
        self.assertEqual(self.directory.replace_all(self.workers[1:], 5.0), (GONE,))
        self.directory.put(self.workers[0])
        self.assertEqual(self.directory.drop_missing(5.0), ())
        record = self.directory.get(GONE)
        assert record is not None
        self.assertEqual(record.pace.current(1.0), 0.04)

    def test_one_that_does_not_come_back_is_gone(self) -> None:
        self.directory.replace_all(self.workers[1:], 5.0)
        self.assertEqual(self.directory.drop_missing(4.9), ())
        self.assertEqual(self.directory.drop_missing(5.0), (GONE,))
        self.assertEqual(self.known(), ["worker-2", "worker-3"])

    def test_one_that_was_leaving_is_gone_at_once(self) -> None:
        leaving = msgspec.structs.replace(self.workers[0], state=WorkerState.DRAINING)
        self.directory.put(leaving)
        self.assertEqual(self.directory.replace_all(self.workers[1:], 5.0), ())
        self.assertEqual(self.known(), ["worker-2", "worker-3"])


class MirrorTest(unittest.TestCase):
    def test_a_reader_of_a_copy_learns_for_how_long_changes_went_unseen(self) -> None:
        told: list[float] = []

        def take_snapshot(items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
            told.append(unseen_seconds)

        def take_event(event: WatchEvent) -> None:
            del event

        feed = PrefixFeed(prefix=PREFIX, on_snapshot=take_snapshot, on_event=take_event)
        watcher, reader = FeedMirror(feed), FeedMirror(feed)
        watcher.take_snapshot(RangeResult(revision=Revision(9), items=()), 4.0)
        changes = watcher.changes_for(FeedCursor(prefix=PREFIX, revision=Revision(3)))
        assert changes is not None
        reader.take_changes(changes)
        self.assertEqual(told, [4.0, 4.0])


class OutageTest(unittest.TestCase):
    """A node that follows the workers' entries, and a store that goes and comes back."""

    async def follow(self, world: ServingWorld) -> None:
        node = world.nodes[0]
        for worker in world.workers.entries():
            self.put(world, worker)

        def take_snapshot(items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
            workers = [msgspec.msgpack.decode(item.value, type=Worker) for item in items]
            node.node.take_workers(workers, unseen_seconds)

        def take_event(event: WatchEvent) -> None:
            if event.item is not None:
                node.directory.put(msgspec.msgpack.decode(event.item.value, type=Worker))
            else:
                node.directory.remove(BackendId(event.key.removeprefix(PREFIX)))

        feed = PrefixFeed(prefix=PREFIX, on_snapshot=take_snapshot, on_event=take_event)
        world.nodes[1].lead()
        node.node.start((feed,))
        await asyncio.sleep(5.0)

    @staticmethod
    def put(world: ServingWorld, worker: Worker) -> None:
        value = msgspec.msgpack.encode(worker)
        world.model.transact((), (Put(key=f"{PREFIX}{worker.worker_id}", value=value),))

    @staticmethod
    def lapse(world: ServingWorld) -> None:
        world.model.transact((), (Delete(key=f"{PREFIX}{GONE}"),))

    @staticmethod
    def knows(world: ServingWorld) -> bool:
        return world.nodes[0].directory.get(GONE) is not None

    async def outage(self, world: ServingWorld, seconds: float) -> None:
        world.model.set_faults(KeyValueFaults(outage=True))
        await asyncio.sleep(seconds)
        self.lapse(world)
        world.model.set_faults(KeyValueFaults())

    def test_after_an_outage_a_missing_worker_is_kept_for_a_while(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            await self.outage(world, 6.0)
            await asyncio.sleep(1.3)
            self.assertTrue(self.knows(world))
            self.put(world, world.workers.entries()[0])
            await asyncio.sleep(5.0)
            self.assertTrue(self.knows(world))

        play(scenario)

    def test_after_an_outage_one_that_stays_away_is_gone_soon(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            await self.outage(world, 6.0)
            await asyncio.sleep(RETURN_SECONDS + 1.5)
            self.assertFalse(self.knows(world))

        play(scenario)

    def test_without_an_outage_a_missing_worker_is_gone_at_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.follow(world)
            self.lapse(world)
            await asyncio.sleep(0.5)
            self.assertFalse(self.knows(world))

        play(scenario)


if __name__ == "__main__":
    unittest.main()
