"""Keeps a node's view of the owners up to date by reads and watches."""

import random
from collections.abc import Callable
from contextlib import suppress

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import KeyValueError, KeyValueStore, WatchEvent
from drumbay.observability.logs import log_event
from drumbay.ownership.records import OWNERSHIP_PREFIX, OwnerRecord, OwnershipParameters
from drumbay.ownership.view import OwnershipView

SHORTEST_RESYNC_SHARE = 0.75
"""Shortest time between full reads, as a share of the longest."""


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
        is_needed: Callable[[], bool],
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
            is_needed: Returns whether this node needs to know the owners; while it does
                not, nothing is sent.
            on_owner: Called with an owner that was read.
            on_removal: Called with an owner whose key is gone.
            on_loaded: Called after a read of all owners.
        """
        self._clock = clock
        self._store = store
        self._view = view
        self._generator = generator
        self._parameters = parameters
        self._is_needed = is_needed
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
        while True:
            if not self._is_needed():
                await self._clock.sleep(self._parameters.check_interval_seconds)
                continue
            try:
                await self._load()
                await self._follow()
            except KeyValueError as error:
                log_event("ownership_watch_broken", level="WARNING", error=error.code)
                await self._clock.sleep(self._backoff.next_delay_seconds())

    async def _load(self) -> None:
        result = await self._store.range_prefix(OWNERSHIP_PREFIX)
        for gone in self._view.load(result, self._clock.monotonic()):
            self._on_removal(gone)
        for owner in self._view.owners():
            self._on_owner(owner)
        self._on_loaded()

    async def _follow(self) -> None:
        """Apply changes until it is time to read all owners anew."""
        jitter = self._generator.uniform(SHORTEST_RESYNC_SHARE, 1.0)
        seconds = self._parameters.resync_interval_seconds * jitter
        with suppress(DeadlineExceededError):
            await self._clock.wait_for(self._follow_changes(), seconds)
        self._backoff.reset()

    async def _follow_changes(self) -> None:
        start_revision = Revision(self._view.loaded_revision + 1)
        async for batch in self._store.watch_prefix(OWNERSHIP_PREFIX, start_revision):
            self._backoff.reset()
            for event in batch.events:
                self._apply(event)

    def _apply(self, event: WatchEvent) -> None:
        for gone in self._view.apply(event, self._clock.monotonic()):
            self._on_removal(gone)
        owner = self._view.owner(event.key.removeprefix(OWNERSHIP_PREFIX))
        if owner is not None:
            self._on_owner(owner)
