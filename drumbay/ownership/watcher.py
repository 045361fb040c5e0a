"""Keeps a node's view of the owners up to date with reads and watches."""

import random
from collections.abc import Callable
from enum import StrEnum

from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    KeyValueError,
    KeyValueStore,
    WatchCompactedError,
    WatchEvent,
)
from drumbay.observability.logs import log_event
from drumbay.ownership.records import OWNERSHIP_PREFIX, OwnerRecord, OwnershipParameters
from drumbay.ownership.view import OwnershipView

MIN_RESYNC_INTERVAL_FRACTION = 0.75
"""Minimum time between full reads, as a fraction of the maximum."""

STANDBY_RETRY_FACTOR = 6.0
"""Factor on the retry delay of a standby candidate."""


class WatchPriority(StrEnum):
    """How urgently a node must know the owners."""

    NONE = "none"
    STANDBY = "standby"
    """It campaigns only if better candidates do not, and leaves them the store's rate limit."""

    FIRST = "first"
    """It owns a resource or is the first candidate of one."""


class OwnershipWatcher:
    """Reads all owners, follows their changes, and restarts when the watch breaks."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        view: OwnershipView,
        generator: random.Random,
        parameters: OwnershipParameters,
        *,
        watch_priority: Callable[[], WatchPriority],
        on_owner: Callable[[OwnerRecord], None],
        on_removal: Callable[[OwnerRecord], None],
        on_loaded: Callable[[], None],
    ) -> None:
        """Create a watcher.

        Args:
            clock: Time source.
            store: The key-value store.
            view: Updated with the owners.
            generator: Source of randomness for jitter.
            parameters: Timing.
            watch_priority: Returns how urgently this node must know the owners.
            on_owner: Called with an owner that was read.
            on_removal: Called with an owner whose key was removed.
            on_loaded: Called after a read of all owners.
        """
        self._clock = clock
        self._store = store
        self._view = view
        self._generator = generator
        self._parameters = parameters
        self._watch_priority = watch_priority
        self._on_owner = on_owner
        self._on_removal = on_removal
        self._on_loaded = on_loaded
        self._backoff = Backoff(
            generator,
            first_seconds=parameters.initial_retry_seconds,
            max_seconds=parameters.max_retry_seconds,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._wait_until_needed()
        if self._watch_priority() is WatchPriority.STANDBY:
            await self._sleep_up_to(self._parameters.standby_spread_seconds)
        while True:
            await self._wait_until_needed()
            try:
                if self._view.loaded_revision == 0:
                    await self._load()
                await self._follow()
            except WatchCompactedError:
                self._view.require_reload()
            except KeyValueError as error:
                log_event("ownership_watch_broken", level="WARNING", error=error.code)
            await self._clock.sleep(self._next_retry_seconds())

    async def run_resync(self) -> None:
        """Read all owners at intervals until cancelled, in case the watch stalls."""
        while True:
            jitter = self._generator.uniform(MIN_RESYNC_INTERVAL_FRACTION, 1.0)
            await self._clock.sleep(self._parameters.resync_interval_seconds * jitter)
            if self._view.loaded_revision == 0:
                continue
            try:
                await self._load()
            except KeyValueError as error:
                log_event("ownership_read_failed", level="WARNING", error=error.code)

    async def _wait_until_needed(self) -> None:
        while self._watch_priority() is WatchPriority.NONE:
            await self._clock.sleep(self._parameters.check_interval_seconds)

    async def _sleep_up_to(self, seconds: float) -> None:
        await self._clock.sleep(self._generator.uniform(0.0, seconds))

    def _next_retry_seconds(self) -> float:
        delay_seconds = self._backoff.next_delay_seconds()
        if self._watch_priority() is WatchPriority.FIRST:
            return delay_seconds
        return delay_seconds * STANDBY_RETRY_FACTOR

    async def _load(self) -> None:
        result = await self._store.range_prefix(OWNERSHIP_PREFIX)
        for removed in self._view.load(result, self._clock.monotonic()):
            self._on_removal(removed)
        for owner in self._view.owners():
            self._on_owner(owner)
        self._on_loaded()

    async def _follow(self) -> None:
        start_revision = Revision(self._view.complete_revision + 1)
        async for batch in self._store.watch_prefix(OWNERSHIP_PREFIX, start_revision):
            self._backoff.reset()
            for event in batch.events:
                self._apply(event)
            self._view.mark_complete(batch.revision)

    def _apply(self, event: WatchEvent) -> None:
        for removed in self._view.apply(event, self._clock.monotonic()):
            self._on_removal(removed)
        owner = self._view.owner(event.key.removeprefix(OWNERSHIP_PREFIX))
        if owner is not None:
            self._on_owner(owner)
