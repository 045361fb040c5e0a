"""Follows a prefix of the key-value service: a snapshot, then its changes, for ever.

When a watch breaks, a new snapshot is read: the store passed in may have another way to the
service than watches have. While the service is away, what was read last stays.
"""

import random
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    KeyValue,
    KeyValueError,
    KeyValueStore,
    WatchCompactedError,
    WatchEvent,
)
from drumbay.observability.logs import log_event

FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 0.8


class PrefixFeed(msgspec.Struct, frozen=True, kw_only=True):
    """What is followed, and who is told.

    ``pause_seconds`` passes after each batch of changes, so that changes that come together
    cost one call.
    """

    prefix: str
    on_snapshot: Callable[[tuple[KeyValue, ...]], None]
    on_event: Callable[[WatchEvent], None]
    pause_seconds: float = 0.1


class PrefixFollower:
    """Keeps one feed up to date."""

    def __init__(
        self, clock: Clock, store: KeyValueStore, feed: PrefixFeed, generator: random.Random
    ) -> None:
        """Create a follower that has read nothing."""
        self._clock = clock
        self._store = store
        self._feed = feed
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, longest_seconds=LONGEST_RETRY_SECONDS
        )
        self._revision: Revision | None = None
        self._connected = True

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
            except WatchCompactedError:
                log_event("store_history_lost", level="WARNING", prefix=self._feed.prefix)
                self._revision = None
            except KeyValueError as error:
                self._note_connection(False, error.code)
                self._revision = None
                await self._clock.sleep(self._backoff.next_delay_seconds())

    async def _follow(self) -> None:
        if self._revision is None:
            found = await self._store.range_prefix(self._feed.prefix)
            self._feed.on_snapshot(found.items)
            self._revision = found.revision
        start = Revision(self._revision + 1)
        async for batch in self._store.watch_prefix(self._feed.prefix, start):
            self._note_connection(True, None)
            for event in batch.events:
                self._feed.on_event(event)
            self._revision = max(self._revision, batch.revision)
            if batch.events:
                await self._clock.sleep(self._feed.pause_seconds)

    def _note_connection(self, connected: bool, error: str | None) -> None:
        if connected:
            self._backoff.reset()
        if connected == self._connected:
            return
        self._connected = connected
        event = "store_regained" if connected else "store_lost"
        log_event(
            event,
            level="INFO" if connected else "WARNING",
            prefix=self._feed.prefix,
            revision=self._revision,
            error=error,
        )
