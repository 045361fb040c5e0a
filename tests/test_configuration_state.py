"""Parts of the configuration: state, replica sets, gossip peers and replica file."""

import asyncio
import random
import tempfile
import threading
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.comm.interface import Address
from drumbay.configuration.errors import ReplicaFileError
from drumbay.configuration.gossip import (
    WATCHERS_PER_ZONE,
    DigestReaction,
    PeerDirectory,
    is_watcher,
    react_to_digest,
)
from drumbay.configuration.messages import (
    ConfigurationDigest,
    ConfigurationEntry,
    ConfigurationUpdate,
    PeerView,
    ReplicaRead,
    ReplicaSet,
    ReplicaStore,
)
from drumbay.configuration.replica import (
    FILE_NAME,
    ConfigurationReplica,
    ReplicaContent,
    ReplicaFile,
)
from drumbay.configuration.replica_set import (
    REMOVE_AFTER_SECONDS,
    has_majority,
    plan_replica_set,
)
from drumbay.configuration.state import ApplyOutcome, ConfigurationState
from drumbay.identifiers import NodeId, Revision
from drumbay.storage.writer_thread import WriterThread

CHANGES = 12
SLOW_DISK_SECONDS = 5.0
"""How long the simulated disk write waits for the event loop to run."""


def entry(revision: int, key: str, *, removed: bool = False) -> ConfigurationEntry:
    value = None if removed else f"{key}@{revision}".encode()
    return ConfigurationEntry(key=key, mod_revision=Revision(revision), value=value)


def ids(names: str) -> tuple[NodeId, ...]:
    return tuple(NodeId(name) for name in names)


def peer(name: str, zone: str, region: str = "lima") -> PeerView:
    return PeerView(node_id=NodeId(name), address=Address(name, 1), zone=zone, region=region)


class StateTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        keys=st.lists(st.sampled_from("abc"), min_size=CHANGES, max_size=CHANGES),
        removals=st.lists(st.booleans(), min_size=CHANGES, max_size=CHANGES),
        pieces=st.lists(
            st.tuples(st.integers(0, CHANGES), st.integers(1, CHANGES), st.booleans()),
            max_size=25,
        ),
        log_entries=st.integers(0, CHANGES),
    )
    def test_any_order_of_deltas_and_snapshots_gives_a_prefix_and_never_goes_back(
        self,
        keys: list[str],
        removals: list[bool],
        pieces: list[tuple[int, int, bool]],
        log_entries: int,
    ) -> None:
        changes = [
            entry(index + 1, key, removed=removed)
            for index, (key, removed) in enumerate(zip(keys, removals, strict=True))
        ]

        def prefix(revision: int) -> dict[str, ConfigurationEntry]:
            content: dict[str, ConfigurationEntry] = {}
            for change in changes[:revision]:
                content.pop(change.key, None)
                if change.value is not None:
                    content[change.key] = change
            return content

        state = ConfigurationState(log_entries)
        for base, revision, is_snapshot in pieces:
            before = state.revision
            content = tuple(prefix(revision).values())
            update = ConfigurationUpdate(
                revision=Revision(revision),
                base_revision=None if is_snapshot else Revision(base),
                entries=content if is_snapshot else tuple(changes[base:revision]),
            )
            state.apply(update)
            self.assertGreaterEqual(state.revision, before)
            self.assertEqual({one.key: one for one in state.entries()}, prefix(state.revision))
            copy = ConfigurationState()
            copy.apply(state.snapshot())
            self.assertEqual(copy.content_hash, state.content_hash)
            self.assertEqual(copy.size_bytes, state.size_bytes)
            self.check_catch_up(state, prefix)

    def check_catch_up(self, state: ConfigurationState, prefix: object) -> None:
        assert callable(prefix)
        for revision in range(state.revision):
            lagging = ConfigurationState()
            content = tuple(prefix(revision).values())
            lagging.apply(
                ConfigurationUpdate(
                    revision=Revision(revision), base_revision=None, entries=content
                )
            )
            update = state.update_since(lagging.revision)
            assert update is not None
            self.assertEqual(lagging.apply(update), ApplyOutcome.APPLIED)
            self.assertEqual(lagging.entries(), state.entries())

    def test_gap_is_reported(self) -> None:
        update = ConfigurationUpdate(
            revision=Revision(5), base_revision=Revision(4), entries=(entry(5, "a"),)
        )
        self.assertEqual(ConfigurationState().apply(update), ApplyOutcome.GAP)


class ReplicaSetTest(unittest.TestCase):
    def test_change_needs_both_majorities(self) -> None:
        changing = ReplicaSet(members=ids("cde"), previous=ids("abc"))
        self.assertFalse(has_majority(changing, ids("ab")))
        self.assertFalse(has_majority(changing, ids("de")))
        self.assertTrue(has_majority(changing, ids("bcd")))
        self.assertEqual(plan_replica_set(changing, ids("cde"), {}), ReplicaSet(members=ids("cde")))

    def test_minority_partition_proposes_nothing(self) -> None:
        absent = dict.fromkeys(ids("bc"), REMOVE_AFTER_SECONDS)
        current = ReplicaSet(members=ids("abc"))
        self.assertIsNone(plan_replica_set(current, ids("a"), absent))
        self.assertIsNone(plan_replica_set(current, ids("ad"), absent))

    def test_lost_replica_is_replaced_after_a_while(self) -> None:
        current = ReplicaSet(members=ids("abc"))
        self.assertIsNone(plan_replica_set(current, ids("ab"), {NodeId("c"): 1.0}))
        planned = plan_replica_set(current, ids("abd"), {NodeId("c"): REMOVE_AFTER_SECONDS})
        self.assertEqual(planned, ReplicaSet(members=ids("abd"), previous=ids("abc")))


class GossipTest(unittest.TestCase):
    def test_watchers_of_a_zone(self) -> None:
        members = [peer(f"node-{index}", f"zone-{index % 3}") for index in range(30)]
        for zone in ("zone-0", "zone-1", "zone-2"):
            chosen = [one for one in members if one.zone == zone and is_watcher(one, members)]
            self.assertEqual(len(chosen), WATCHERS_PER_ZONE)

    def test_gossip_targets_include_each_distance(self) -> None:
        own = peer("own", "a")
        members = [own, peer("near", "a"), peer("next", "b"), peer("far", "c", "nl-oost")]
        targets = PeerDirectory(own, members).gossip_targets(random.Random(1))
        self.assertEqual({target.node_id for target in targets}, {"near", "next", "far"})

    def test_reaction_to_a_digest(self) -> None:
        digest = ConfigurationDigest(
            sender=NodeId("peer"),
            reply_to=Address("peer", 1),
            revision=Revision(5),
            content_hash=1,
        )
        self.assertEqual(react_to_digest(digest, Revision(4), 2), DigestReaction.PULL)
        self.assertEqual(react_to_digest(digest, Revision(6), 2), DigestReaction.REPLY)
        self.assertEqual(react_to_digest(digest, Revision(5), 1), DigestReaction.NOTHING)
        self.assertEqual(react_to_digest(digest, Revision(5), 2), DigestReaction.REPORT_DIVERGENCE)


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.snapshot = ConfigurationUpdate(
            revision=Revision(3), base_revision=None, entries=(entry(3, "a"),)
        )

    def replica(self) -> ConfigurationReplica:
        return ConfigurationReplica(NodeId("a"), ReplicaFile(self.folder))

    async def test_content_and_completeness_survive_a_restart(self) -> None:
        await self.replica().store(ReplicaStore(update=self.snapshot))
        reply = self.replica().read(ReplicaRead(after_revision=Revision(0)))
        self.assertEqual((reply.complete, reply.revision), (False, 3))
        await self.replica().mark_complete(self.snapshot)
        reply = self.replica().read(ReplicaRead(after_revision=Revision(0)))
        self.assertEqual((reply.complete, reply.update), (True, self.snapshot))

    async def test_gap_is_not_acknowledged(self) -> None:
        replica = self.replica()
        await replica.store(ReplicaStore(update=self.snapshot))
        later = ConfigurationUpdate(revision=Revision(9), base_revision=Revision(7), entries=())
        self.assertEqual((await replica.store(ReplicaStore(update=later))).revision, 3)

    async def test_corrupt_file_counts_as_an_empty_disk(self) -> None:
        await self.replica().mark_complete(self.snapshot)
        path = self.folder / FILE_NAME
        content = bytearray(path.read_bytes())
        content[-3] ^= 0xFF
        path.write_bytes(bytes(content))
        with self.assertRaises(ReplicaFileError):
            ReplicaFile(self.folder).load()
        reply = self.replica().read(ReplicaRead(after_revision=Revision(0)))
        self.assertEqual((reply.complete, reply.revision), (False, 0))

    async def test_failed_write_is_not_acknowledged(self) -> None:
        class FullDisk(ReplicaFile):
            def save(self, content: ReplicaContent) -> None:
                raise OSError("no space left on device")

        replica = ConfigurationReplica(NodeId("a"), FullDisk(self.folder))
        with self.assertRaises(OSError):
            await replica.store(ReplicaStore(update=self.snapshot))
        self.assertEqual(replica.revision, 0)

    async def test_slow_disk_does_not_block_the_event_loop(self) -> None:
        """Guards against an fsync on the event loop, which would delay every request."""
        loop_ran = threading.Event()

        class SlowDisk(ReplicaFile):
            def save(self, content: ReplicaContent) -> None:
                self.waited_for_loop = loop_ran.wait(SLOW_DISK_SECONDS)
                super().save(content)

        file = SlowDisk(self.folder)
        replica = ConfigurationReplica(NodeId("a"), file, WriterThread("test").run)
        storing = asyncio.ensure_future(replica.store(ReplicaStore(update=self.snapshot)))
        await asyncio.sleep(0)
        loop_ran.set()
        self.assertEqual((await storing).revision, 3)
        self.assertTrue(file.waited_for_loop)

    async def test_cancelled_store_keeps_the_file_intact_and_later_writes_in_order(self) -> None:
        replica = ConfigurationReplica(
            NodeId("a"), ReplicaFile(self.folder), WriterThread("test").run
        )
        first = asyncio.ensure_future(replica.store(ReplicaStore(update=self.snapshot)))
        await asyncio.sleep(0)
        first.cancel()
        later = ConfigurationUpdate(
            revision=Revision(9), base_revision=None, entries=(entry(9, "b"),)
        )
        self.assertEqual((await replica.store(ReplicaStore(update=later))).revision, 9)
        reply = self.replica().read(ReplicaRead(after_revision=Revision(0)))
        self.assertEqual(reply.update, later)


if __name__ == "__main__":
    unittest.main()
