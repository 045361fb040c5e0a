"""Keeps a node's view of the owners up to date by reads and watches."""

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

SHORTEST_RESYNC_SHARE = 0.75
"""Shortest time between full reads, as a share of the longest."""

STANDBY_RETRY_FACTOR = 6.0
"""How many times longer a node waits before a retry while others come before it."""


class Urgency(StrEnum):
    """How soon a node must know the owners."""

    NONE = "none"
    STANDBY = "standby"
    """It campaigns only if better candidates do not: it leaves them the service's rate."""

    FIRST = "first"
    """It owns a resource or is the first candidate of one."""


class OwnershipWatcher:
    """Reads all owners, follows their changes, and starts anew when the watch breaks."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        view: OwnershipView,
        generator: random.Random,
        parameters: OwnershipParameters,
        *,
        urgency: Callable[[], Urgency],
        on_owner: Callable[[OwnerRecord], None],
        on_removal: Callable[[OwnerRecord], None],
        on_loaded: Callable[[], None],
    ) -> None:
        """Create a watcher.

        Args:
            clock: Time.
            store: The key-value service.
            view: Takes in what is read.
            generator: Source of jitter.
            parameters: Timing.
            urgency: Returns how soon this node must know the owners.
            on_owner: Called with an owner that was read.
            on_removal: Called with an owner whose key is gone.
            on_loaded: Called after a read of all owners.
        """
        self._clock = clock
        self._store = store
        self._view = view
        self._generator = generator
        self._parameters = parameters
        self._urgency = urgency
        self._on_owner = on_owner
        self._on_removal = on_removal
        self._on_loaded = on_loaded
        self._backoff = Backoff(
            generator,
            first_seconds=parameters.first_retry_seconds,
            longest_seconds=parameters.longest_retry_seconds,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._wait_for_need()
        if self._urgency() is Urgency.STANDBY:
            await self._sleep_up_to(self._parameters.standby_spread_seconds)
        while True:
            await self._wait_for_need()
            try:
                if self._view.loaded_revision == 0:
                    await self._load()
                await self._follow()
            except WatchCompactedError:
                self._view.forget_loaded()
            except KeyValueError as error:
                log_event("ownership_watch_broken", level="WARNING", error=error.code)
            await self._clock.sleep(self._next_retry_seconds())

    async def run_resync(self) -> None:
        """Read all owners from time to time until cancelled.

        A watch may be open and deliver nothing.
        """
        while True:
            jitter = self._generator.uniform(SHORTEST_RESYNC_SHARE, 1.0)
            await self._clock.sleep(self._parameters.resync_interval_seconds * jitter)
            if self._view.loaded_revision == 0:
                continue
            try:
                await self._load()
            except KeyValueError as error:
                log_event("ownership_read_failed", level="WARNING", error=error.code)

    async def _wait_for_need(self) -> None:
        while self._urgency() is Urgency.NONE:
            await self._clock.sleep(self._parameters.check_interval_seconds)

    async def _sleep_up_to(self, seconds: float) -> None:
        await self._clock.sleep(self._generator.uniform(0.0, seconds))

    def _next_retry_seconds(self) -> float:
        delay_seconds = self._backoff.next_delay_seconds()
        if self._urgency() is Urgency.FIRST:
            return delay_seconds
        return delay_seconds * STANDBY_RETRY_FACTOR

    async def _load(self) -> None:
        result = await self._store.range_prefix(OWNERSHIP_PREFIX)
        for gone in self._view.load(result, self._clock.monotonic()):
            self._on_removal(gone)
        for owner in self._view.owners():
            self._on_owner(owner)
        self._on_loaded()

    async def _follow(self) -> None:
        start_revision = Revision(self._view.complete_revision + 1)
        async for batch in self._store.watch_prefix(OWNERSHIP_PREFIX, start_revision):
            self._backoff.reset()
            for event in batch.events:
                self._apply(event)
            self._view.advance(batch.revision)

    def _apply(self, event: WatchEvent) -> None:
        for gone in self._view.apply(event, self._clock.monotonic()):
            self._on_removal(gone)
        owner = self._view.owner(event.key.removeprefix(OWNERSHIP_PREFIX))
        if owner is not None:
            self._on_owner(owner)
