"""The durable log keeps acknowledged records and rejects writes after a failed one."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from drumbay.claims.acceptor import Acceptor
from drumbay.claims.record_table import ClaimVote, TableLimits
from drumbay.claims.records import Claim
from drumbay.claims.store import ReplicaStore
from drumbay.identifiers import AttemptId, BootId, IdempotencyKey, NodeId
from drumbay.storage.durable_log import DurableLog
from drumbay.storage.interface import (
    RecordLog,
    StorageClosedError,
    StorageCorruptError,
    StorageError,
    StorageFullError,
    StoreId,
)

NAME = "records"


class DurableLogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)

    def open(self, store_id: str = "first", max_bytes: int = 1 << 24) -> DurableLog:
        return DurableLog.open(
            self.folder, NAME, new_store_id=StoreId(store_id), max_bytes=max_bytes
        )

    async def test_records_and_store_id_are_persistent(self) -> None:
        log = self.open()
        await log.append([b"a", b"b"])
        await log.append([b"c"])
        await log.close()
        reopened = self.open("second")
        self.assertEqual(reopened.store_id, "first")
        self.assertEqual(list(reopened.replay()), [b"a", b"b", b"c"])
        await reopened.close()

    async def test_concurrent_appends_share_commits_and_keep_their_order(self) -> None:
        log = self.open()
        payloads = [b"%d" % index for index in range(200)]
        await asyncio.gather(*(log.append([payload]) for payload in payloads))
        self.assertEqual(list(log.replay()), payloads)
        self.assertLess(log.commits, 20)
        await log.close()

    async def test_snapshot_replaces_only_what_came_before(self) -> None:
        log = self.open()
        await asyncio.gather(log.append([b"old"]), log.snapshot([b"state"]), log.append([b"new"]))
        self.assertEqual(list(log.replay()), [b"state", b"new"])
        await log.close()

    async def test_full_store_raises_and_rejects_later_writes(self) -> None:
        log = self.open(max_bytes=64 * 1024)
        await log.append([b"kept"])
        with self.assertRaises(StorageFullError):
            await log.append([bytes(256 * 1024)])
        with self.assertRaises(StorageClosedError):
            await log.append([b"later"])
        self.assertEqual(list(log.replay()), [b"kept"])
        await log.close()

    async def test_claims_are_persistent(self) -> None:
        def create(log: RecordLog) -> Acceptor:
            return Acceptor(log.store_id, TableLimits())

        key = IdempotencyKey("key")
        claims = [
            Claim(
                attempt_id=AttemptId(name),
                node_id=NodeId("n"),
                boot_id=BootId("b"),
                digest=b"",
                claimed_at_seconds=0.0,
            )
            for name in ("first", "second")
        ]
        store = ReplicaStore(self.open(), create)
        row = store.acceptor.table.claim(key, claims[0], 7.0).row
        assert row is not None
        await store.append([row])
        await store.take_snapshot()
        await store.close()
        reopened = ReplicaStore(self.open(), create)
        self.assertEqual(reopened.running_seconds, 7.0)
        vote = reopened.acceptor.table.claim(key, claims[1], 7.0).vote
        self.assertIs(vote, ClaimVote.HELD)
        await reopened.close()

    async def test_second_open_is_rejected(self) -> None:
        log = self.open()
        with self.assertRaises(StorageError):
            self.open()
        await log.close()

    def copy_truncated(self, wal_bytes: int, copy: Path) -> None:
        """Copy the files as after a crash, with a truncated write-ahead log."""
        copy.mkdir()
        for source in self.folder.glob(f"{NAME}*"):
            (copy / source.name).write_bytes(source.read_bytes())
        with (copy / f"{NAME}.sqlite3-wal").open("r+b") as wal:
            wal.truncate(wal_bytes)

    async def replay_truncated(self, wal_bytes: int, copy: Path) -> list[bytes]:
        """Return the replayed records if the write-ahead log ends after ``wal_bytes``."""
        self.copy_truncated(wal_bytes, copy)
        log = DurableLog.open(copy, NAME, new_store_id=StoreId("new"))
        records = list(log.replay())
        await log.close()
        return records

    async def test_torn_tail_at_any_point_leaves_a_prefix(self) -> None:
        log = self.open()
        payloads = [b"record %d " % index * 40 for index in range(12)]
        wal = self.folder / f"{NAME}.sqlite3-wal"
        durable_at: list[int] = []
        for payload in payloads:
            await log.append([payload])
            durable_at.append(wal.stat().st_size)
        for wal_length in range(durable_at[0], durable_at[-1] + 1, 1021):
            with tempfile.TemporaryDirectory() as other:
                records = await self.replay_truncated(wal_length, Path(other) / "copy")
            acknowledged = sum(1 for size in durable_at if size <= wal_length)
            self.assertEqual(records, payloads[: len(records)])
            self.assertGreaterEqual(len(records), acknowledged)
        await log.close()

    async def test_corrupt_record_is_detected(self) -> None:
        log = self.open()
        await log.append([b"the original content"])
        await log.close()
        path = self.folder / f"{NAME}.sqlite3"
        path.write_bytes(path.read_bytes().replace(b"the original", b"xxx original"))
        reopened = self.open()
        with self.assertRaises(StorageCorruptError):
            list(reopened.replay())
        await reopened.close()
