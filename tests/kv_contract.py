"""Contract tests of a key-value store, run against every implementation."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator

from drumbay.clock import SystemClock
from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    Delete,
    KeyValueOutcomeUnknownError,
    KeyValueRateLimitedError,
    KeyValueStore,
    KeyValueUnavailableError,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
)
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import ChangeCause, LoggedChange

KEY_ABSENT = Revision(0)
RESPONSE_TIMEOUT_SECONDS = 2.0
"""Generous, so that results do not depend on the speed of the machine."""


class AdvancingClock(SystemClock):
    """The system clock plus an offset that a test increases."""

    def __init__(self) -> None:
        self.offset_seconds = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.offset_seconds


async def collect(watch: AsyncIterator[WatchBatch], count: int) -> list[WatchEvent]:
    events: list[WatchEvent] = []
    async for batch in watch:
        events.extend(batch.events)
        assert batch.revision >= batch.events[-1].mod_revision
        if len(events) >= count:
            break
    return events


class KeyValueContract(unittest.IsolatedAsyncioTestCase):
    """Subclasses implement ``make_store``."""

    store: KeyValueStore

    async def asyncSetUp(self) -> None:
        self.clock = AdvancingClock()
        self.model = KeyValueModel(self.clock, generator=random.Random(1), history_limit=100)
        self.store = await self.make_store()

    async def make_store(self) -> KeyValueStore:
        raise NotImplementedError

    async def put(self, key: str, value: bytes = b"value", lease_id: int = 0) -> Revision:
        operation = Put(key=key, value=value, lease_id=lease_id)
        return (await self.store.transact((), (operation,))).revision

    async def create(self, key: str) -> bool:
        compare = ModRevisionIs(key=key, mod_revision=KEY_ABSENT)
        result = await self.store.transact((compare,), (Put(key=key, value=b""),))
        return result.succeeded

    async def keys(self) -> list[str]:
        return [item.key for item in (await self.store.range_prefix("")).items]

    async def advance(self, seconds: float) -> None:
        self.clock.offset_seconds += seconds
        self.model.expire_leases()

    async def test_revisions_and_versions(self) -> None:
        first = await self.put("/a/x", b"\x00\xff")
        second = await self.put("/a/x", b"2")
        (item,) = (await self.store.range_prefix("/a/")).items
        self.assertEqual((item.create_revision, item.mod_revision), (first, second))
        self.assertEqual((item.version, item.value, second - first), (2, b"2", 1))
        self.assertTrue((await self.store.transact((), (Delete(key="/a/x"),))).succeeded)
        await self.put("/a/x", b"\x00\xff")
        (recreated,) = (await self.store.range_prefix("/a/")).items
        self.assertGreater(recreated.create_revision, second)
        self.assertEqual((recreated.version, recreated.value), (1, b"\x00\xff"))

    async def test_failed_compare_changes_nothing(self) -> None:
        self.assertTrue(await self.create("/k"))
        self.assertFalse(await self.create("/k"))
        before = (await self.store.range_prefix("")).revision
        compares = (
            ModRevisionIs(key="/k", mod_revision=before),
            ModRevisionIs(key="/k", mod_revision=Revision(before + 1)),
        )
        operations = (Delete(key="/k"), Put(key="/other", value=b""))
        self.assertFalse((await self.store.transact(compares, operations)).succeeded)
        self.assertTrue((await self.store.transact(compares[:1], operations)).succeeded)
        self.assertEqual(await self.keys(), ["/other"])

    async def test_range_is_sorted_and_bounded_by_prefix(self) -> None:
        for key in ("/b", "/a/2", "/a/1", "/a", "/aé"):
            await self.put(key)
        result = await self.store.range_prefix("/a/")
        self.assertEqual([item.key for item in result.items], ["/a/1", "/a/2"])
        self.assertEqual(await self.keys(), ["/a", "/a/1", "/a/2", "/aé", "/b"])

    async def test_lease_expiry_removes_keys_and_is_watched(self) -> None:
        grant = await self.store.grant_lease(4.2)
        self.assertEqual(grant.ttl_seconds, 5.0)
        put_revision = await self.put("/leased", lease_id=grant.lease_id)
        await self.advance(4.0)
        self.assertEqual(await self.store.keep_lease_alive(grant.lease_id), 5.0)
        await self.advance(4.0)
        self.assertEqual(await self.keys(), ["/leased"])
        await self.advance(1.1)
        self.assertEqual(await self.keys(), [])
        watch = self.store.watch_prefix("/leased", put_revision)
        put, removal = await collect(watch, 2)
        self.assertIsNotNone(put.item)
        self.assertIsNone(removal.item)
        self.assertGreater(removal.mod_revision, put.mod_revision)
        with self.assertRaises(LeaseNotFoundError):
            await self.store.keep_lease_alive(grant.lease_id)
        with self.assertRaises(LeaseNotFoundError):
            await self.put("/late", lease_id=grant.lease_id)
        with self.assertRaises(LeaseNotFoundError):
            await self.store.revoke_lease(grant.lease_id)
        change = self.model.log[-1]
        assert isinstance(change, LoggedChange)
        self.assertIs(change.cause, ChangeCause.LEASE_EXPIRED)

    async def test_revocation_removes_only_keys_still_attached(self) -> None:
        grant = await self.store.grant_lease(5.0)
        await self.put("/attached", lease_id=grant.lease_id)
        await self.put("/detached", lease_id=grant.lease_id)
        await self.put("/detached")
        await self.store.revoke_lease(grant.lease_id)
        self.assertEqual(await self.keys(), ["/detached"])

    async def test_watch_replays_then_follows(self) -> None:
        first = await self.put("/w/1")
        await self.put("/elsewhere")
        watch = self.store.watch_prefix("/w/", first)
        task = asyncio.create_task(collect(watch, 3))
        await asyncio.sleep(0)
        await self.store.transact((), (Put(key="/w/2", value=b"2"), Delete(key="/w/1")))
        events = await task
        self.assertEqual([event.key for event in events], ["/w/1", "/w/2", "/w/1"])
        self.assertEqual([event.item is None for event in events], [False, False, True])

    async def test_watch_from_compacted_revision_fails(self) -> None:
        first = await self.put("/w/1")
        last = await self.put("/w/2")
        self.model.compact(last)
        with self.assertRaises(WatchCompactedError):
            await collect(self.store.watch_prefix("/w/", first), 1)
        (event,) = await collect(self.store.watch_prefix("/w/", last), 1)
        self.assertEqual(event.key, "/w/2")

    async def test_history_is_bounded(self) -> None:
        first = await self.put("/w")
        for _ in range(100):
            last = await self.put("/w")
        with self.assertRaises(WatchCompactedError):
            await collect(self.store.watch_prefix("/w", first), 1)
        self.assertEqual(len(await collect(self.store.watch_prefix("/w", last), 1)), 1)

    async def test_stalled_watch_loses_events_to_compaction(self) -> None:
        start = await self.put("/w")
        self.model.set_faults(KeyValueFaults(watches_stalled=True))
        task = asyncio.create_task(collect(self.store.watch_prefix("/w", start), 1))
        await asyncio.sleep(0)
        self.model.compact(await self.put("/w"))
        self.model.set_faults(KeyValueFaults())
        with self.assertRaises(WatchCompactedError):
            await task

    async def test_outage_refuses_and_breaks_watches(self) -> None:
        revision = await self.put("/k")
        watch = self.store.watch_prefix("/k", revision)
        await anext(watch)
        self.model.set_faults(KeyValueFaults(outage=True))
        with self.assertRaises(KeyValueUnavailableError):
            await anext(watch)
        with self.assertRaises(KeyValueUnavailableError):
            await self.put("/k")
        with self.assertRaises(KeyValueUnavailableError):
            await self.store.range_prefix("")
        with self.assertRaises(KeyValueUnavailableError):
            await collect(self.store.watch_prefix("/k", revision), 1)
        self.model.set_faults(KeyValueFaults())
        self.assertEqual((await self.store.range_prefix("")).revision, revision)

    async def test_write_with_lost_response_took_effect(self) -> None:
        self.model.set_faults(KeyValueFaults(lost_answers=1))
        with self.assertRaises(KeyValueOutcomeUnknownError):
            await self.create("/k")
        self.assertEqual(await self.keys(), ["/k"])
        self.assertFalse(await self.create("/k"))
        self.assertEqual(len(self.model.log), 1)

    async def test_lost_write_request_had_no_effect(self) -> None:
        self.model.set_faults(KeyValueFaults(lost_requests=1))
        with self.assertRaises(KeyValueOutcomeUnknownError):
            await self.create("/k")
        self.assertEqual(await self.keys(), [])
        self.assertTrue(await self.create("/k"))

    async def test_write_takes_effect_after_its_caller_timed_out(self) -> None:
        delay_seconds = 3 * RESPONSE_TIMEOUT_SECONDS
        self.model.set_faults(KeyValueFaults(request_delay_seconds=delay_seconds))
        with self.assertRaises(KeyValueOutcomeUnknownError):
            await self.create("/k")
        with self.assertRaises(KeyValueUnavailableError):
            await self.store.range_prefix("")
        self.assertEqual(self.model.revision, 1)
        self.model.set_faults(KeyValueFaults())
        (event,) = await collect(self.store.watch_prefix("/k", Revision(1)), 1)
        self.assertEqual(event.key, "/k")

    async def test_rate_limit(self) -> None:
        self.model.set_faults(KeyValueFaults(rate_limit_per_second=0.001, rate_limit_burst=2))
        await self.put("/k")
        await self.put("/k")
        with self.assertRaises(KeyValueRateLimitedError):
            await self.put("/k")
        await self.advance(1000.0)
        await self.put("/k")
