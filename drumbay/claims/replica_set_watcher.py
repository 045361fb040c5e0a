"""Keeps the newest known replica set of a node."""

from collections.abc import AsyncIterator
from random import Random

from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaSet,
    ReplicaSetError,
    VersionedReplicaSet,
    decode_replica_set,
)
from drumbay.clock import Clock
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValue, KeyValueStore, WatchBatch
from drumbay.observability.logs import log_event

FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0


class ReplicaSetWatcher:
    """Reads the replica set once and then watches it.

    A stale view costs no safety: replicas refuse claims of an epoch that is over.
    """

    def __init__(self, *, clock: Clock, key_value_store: KeyValueStore, random: Random) -> None:
        """Create a watcher that knows nothing yet."""
        self._clock = clock
        self._key_value_store = key_value_store
        self._random = random
        self._current: VersionedReplicaSet | None = None

    @property
    def versioned(self) -> VersionedReplicaSet | None:
        """Return the newest known record; ``None`` before the first read."""
        return self._current

    def replica_set(self) -> ReplicaSet | None:
        """Return the newest known replica set, if there is one."""
        return None if self._current is None else self._current.replica_set

    async def run(self) -> None:
        """Follow the key until cancelled."""
        delay_seconds = FIRST_RETRY_SECONDS
        while True:
            try:
                revision = await self.refresh()
                delay_seconds = FIRST_RETRY_SECONDS
                start = Revision(revision + 1)
                await self._follow(self._key_value_store.watch_prefix(REPLICA_SET_KEY, start))
            except UnavailableError as error:
                log_event("replica_set_watch_broken", level="WARNING", code=error.code)
            await self._clock.sleep(delay_seconds * self._random.uniform(0.5, 1.0))
            delay_seconds = min(2 * delay_seconds, MAX_RETRY_SECONDS)

    async def refresh(self) -> Revision:
        """Read the key; return the revision of the read.

        Raises:
            KeyValueError: The service could not be read.
        """
        result = await self._key_value_store.range_prefix(REPLICA_SET_KEY)
        items = {item.key: item for item in result.items}
        self._observe(items.get(REPLICA_SET_KEY))
        return result.revision

    async def _follow(self, batches: AsyncIterator[WatchBatch]) -> None:
        async for batch in batches:
            for event in batch.events:
                if event.key == REPLICA_SET_KEY and event.item is not None:
                    self._observe(event.item)

    def _observe(self, item: KeyValue | None) -> None:
        """Take a record unless a newer one is known."""
        if item is None:
            if self._current is None:
                self._current = VersionedReplicaSet(replica_set=None, mod_revision=Revision(0))
            return
        if self._current is not None and item.mod_revision <= self._current.mod_revision:
            return
        try:
            replica_set = decode_replica_set(item.value)
        except ReplicaSetError as error:
            log_event("replica_set_invalid", level="ERROR", detail=str(error))
            return
        self._current = VersionedReplicaSet(replica_set=replica_set, mod_revision=item.mod_revision)
        log_event(
            "replica_set_changed",
            epoch=replica_set.epoch,
            phase=replica_set.phase.value,
            members=len(replica_set.members),
        )
