"""Watch of the configuration in the key-value service, run by a few nodes per zone."""

import random
from collections.abc import Awaitable, Callable

from drumbay.clock import Clock
from drumbay.configuration.errors import ReplicaMajorityError
from drumbay.configuration.messages import (
    RESOURCE_PREFIX,
    ConfigurationEntry,
    ConfigurationUpdate,
)
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    KeyValueError,
    KeyValueStore,
    RangeResult,
    WatchBatch,
    WatchCompactedError,
)
from drumbay.observability.logs import log_event

FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0


def retry_backoff(generator: random.Random) -> Backoff:
    """Return the backoff between attempts to read or store the configuration."""
    return Backoff(generator, first_seconds=FIRST_RETRY_SECONDS, max_seconds=MAX_RETRY_SECONDS)


def update_from_range(result: RangeResult) -> ConfigurationUpdate:
    """Return a range read of the configuration's prefix as a snapshot."""
    entries = [
        ConfigurationEntry(key=item.key, mod_revision=item.mod_revision, value=item.value)
        for item in result.items
    ]
    entries.sort(key=lambda entry: (entry.mod_revision, entry.key))
    return ConfigurationUpdate(revision=result.revision, base_revision=None, entries=tuple(entries))


def update_from_batch(batch: WatchBatch, base_revision: Revision) -> ConfigurationUpdate:
    """Return a watch batch as a delta."""
    entries = [
        ConfigurationEntry(
            key=event.key,
            mod_revision=event.mod_revision,
            value=None if event.item is None else event.item.value,
        )
        for event in batch.events
    ]
    return ConfigurationUpdate(
        revision=batch.revision, base_revision=base_revision, entries=tuple(entries)
    )


class ConfigurationWatcher:
    """Passes every change of the configuration to ``deliver``, across reconnects and compaction."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        generator: random.Random,
        applied_revision: Callable[[], Revision],
        deliver: Callable[[ConfigurationUpdate], Awaitable[None]],
    ) -> None:
        """Create a watcher.

        Args:
            clock: Time.
            store: The key-value service.
            generator: Source of jitter.
            applied_revision: Returns the revision applied on this node.
            deliver: Processes an update; raises ReplicaMajorityError if it must be retried.
        """
        self._clock = clock
        self._store = store
        self._applied_revision = applied_revision
        self._deliver = deliver
        self._generator = generator
        self._backoff = retry_backoff(generator)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._watch_once()
            except WatchCompactedError:
                await self._read_snapshot()
            except KeyValueError as error:
                log_event("configuration_watch_broken", level="WARNING", error=error.code)
            await self._clock.sleep(self._backoff.next_delay_seconds())

    async def _watch_once(self) -> None:
        # NOTE: empty batches are skipped, so each update builds on the last delivered one.
        base_revision = self._applied_revision()
        start_revision = Revision(base_revision + 1)
        async for batch in self._store.watch_prefix(RESOURCE_PREFIX, start_revision):
            self._backoff.reset()
            if not batch.events:
                continue
            await self._deliver_until_durable(update_from_batch(batch, base_revision))
            base_revision = batch.revision

    async def _read_snapshot(self) -> None:
        log_event("configuration_watch_compacted", revision=self._applied_revision())
        try:
            result = await self._store.range_prefix(RESOURCE_PREFIX)
        except KeyValueError as error:
            log_event("configuration_read_failed", level="WARNING", error=error.code)
            return
        await self._deliver_until_durable(update_from_range(result))

    async def _deliver_until_durable(self, update: ConfigurationUpdate) -> None:
        backoff = retry_backoff(self._generator)
        while True:
            try:
                await self._deliver(update)
                return
            except ReplicaMajorityError as error:
                log_event(
                    "configuration_not_durable",
                    level="WARNING",
                    revision=update.revision,
                    detail=str(error),
                )
                await self._clock.sleep(backoff.next_delay_seconds())
