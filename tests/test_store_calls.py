"""Counting of calls to the key-value store by purpose."""

import asyncio
import random
import unittest
from unittest import mock

from drumbay.batches.ledger import (
    BATCH_INDEX_PREFIX,
    BATCH_PREFIX,
    ITEM_FAILURES_PREFIX,
    OPEN_BATCH_PREFIX,
)
from drumbay.clock import SystemClock
from drumbay.identifiers import Revision
from drumbay.kv.interface import Delete, ModRevisionIs, Put
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership import leader
from drumbay.peers import directory
from drumbay.quarantine import stored
from drumbay.scaling import controller
from drumbay.serving.store_calls import (
    CountedStore,
    StoreSubject,
    subject_of_key,
    subject_of_write,
)
from drumbay.standins.kv_model import KeyValueModel
from drumbay.usage import ledger as usage_ledger


class SubjectTest(unittest.TestCase):
    def test_subject_of_each_kind_of_key(self) -> None:
        table = {
            f"{BATCH_PREFIX}b1/owner": StoreSubject.BATCH_OWNER,
            f"{BATCH_PREFIX}b1/progress/000000000007-0001": StoreSubject.BATCH_PROGRESS,
            f"{BATCH_PREFIX}b1/results/00000064": StoreSubject.BATCH_RESULTS,
            f"{BATCH_PREFIX}b1/spec/0000": StoreSubject.BATCH_WHOLE,
            f"{BATCH_PREFIX}b1/": StoreSubject.BATCH_WHOLE,
            BATCH_INDEX_PREFIX: StoreSubject.BATCH_INDEX,
            f"{OPEN_BATCH_PREFIX}10.0.0.1:7000/b1": StoreSubject.BATCH_OPEN,
            f"{ITEM_FAILURES_PREFIX}b1/000000000007": StoreSubject.ITEM_FAILURES,
            directory.NODE_PREFIX: StoreSubject.NODES,
            leader.LEADER_KEY: StoreSubject.LEADER,
            stored.PREFIX: StoreSubject.QUARANTINE,
            controller.STORED_COUNTS_KEY: StoreSubject.SCALING,
            usage_ledger.REPORT_PREFIX: StoreSubject.USAGE,
            "anything/else": StoreSubject.ENTRIES,
        }
        self.assertEqual({key: subject_of_key(key) for key in table}, table)

    def test_new_batch_job_is_distinguished_from_an_owner_change(self) -> None:
        owner = f"{BATCH_PREFIX}b1/owner"
        put = Put(key=owner, value=b"")
        is_new = ModRevisionIs(key=owner, mod_revision=Revision(0))
        is_old = ModRevisionIs(key=owner, mod_revision=Revision(7))
        self.assertIs(subject_of_write((is_new,), (put,)), StoreSubject.BATCH_ACCEPT)
        self.assertIs(subject_of_write((is_old,), (put,)), StoreSubject.BATCH_OWNER)
        self.assertIs(subject_of_write((), (Delete(key=owner),)), StoreSubject.BATCH_OWNER)


class CountedStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_call_and_each_watch_response_is_counted(self) -> None:
        clock = SystemClock()
        model = KeyValueModel(clock, generator=random.Random(1))
        metrics = ServingMetrics()
        store = CountedStore(clock, MemoryKeyValueStore(model, clock), metrics)
        lease = await store.grant_lease(5.0)
        await store.keep_lease_alive(lease.lease_id)
        key = f"{directory.NODE_PREFIX}n1"
        await store.transact((), (Put(key=key, value=b"1", lease_id=lease.lease_id),))
        found = await store.range_prefix(directory.NODE_PREFIX)
        self.assertEqual([item.key for item in found.items], [key])
        watch = store.watch_prefix(directory.NODE_PREFIX, Revision(found.revision + 1))
        next_batch = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0)
        await store.revoke_lease(lease.lease_id)
        self.assertEqual([event.key for event in (await next_batch).events], [key])
        self.assertEqual(
            store.counts,
            {
                "lease_grant/lease": 1,
                "lease_renewal/lease": 1,
                "write/nodes": 1,
                "read/nodes": 1,
                "watch/nodes": 1,
                "lease_end/lease": 1,
            },
        )
        self.assertIn(
            b'drumbay_serving_store_purposes_total{operation="read",subject="nodes"} 1.0',
            metrics.render(),
        )
        with mock.patch("drumbay.serving.store_calls.log_event") as log:
            store.log_counts()
        self.assertEqual(log.call_args.kwargs["calls"], 6)
        self.assertIn("watch/nodes:1", log.call_args.kwargs["purposes"])


if __name__ == "__main__":
    unittest.main()
