"""Follows a prefix of the key-value service: a snapshot, then its changes, for ever.

When a watch breaks, a new snapshot is read: the store passed in may have another way to the
service than watches have. While the service is away, what was read last stays.
"""

import random

from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import KeyValueError, KeyValueStore, WatchCompactedError
from drumbay.kv.mirror import FeedMirror
from drumbay.kv.return_signal import ReturnSignal
from drumbay.observability.logs import log_event

FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 3.0
"""While the service is away, each retry is a priced call, and up to two more by other nodes. The
heartbeat of the node, at a tenth of the price, tells when the service is back."""


class PrefixFollower:
    """Keeps one copy up to date from the service itself."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        mirror: FeedMirror,
        generator: random.Random,
        returned: ReturnSignal | None = None,
    ) -> None:
        """Create a follower; it goes on from what the copy knows already.

        Args:
            clock: Time.
            store: The key-value service.
            mirror: The copy to keep up to date.
            generator: Source of jitter.
            returned: Tells that the service answers this node again; a retry then comes at once.
        """
        self._returned = returned or ReturnSignal()
        self._clock = clock
        self._store = store
        self._mirror = mirror
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, longest_seconds=LONGEST_RETRY_SECONDS
        )
        self._needs_snapshot = mirror.revision is None
        self._unseen_since: float | None = None
        self._lost_at: float | None = None
        self._heard_at = clock.monotonic()

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            self._mirror.is_connected = False

    async def _run_once(self) -> None:
        try:
            await self._follow()
        except WatchCompactedError:
            log_event("store_history_lost", level="WARNING", prefix=self._mirror.feed.prefix)
            self._needs_snapshot = True
            self._mirror.is_connected = False
        except KeyValueError as error:
            self._note_lost(error.code)
            self._needs_snapshot = True
            self._mirror.is_connected = False
            await self._returned.wait(self._clock, self._backoff.next_delay_seconds())

    async def _follow(self) -> None:
        mirror = self._mirror
        if self._needs_snapshot:
            found = await self._store.range_prefix(mirror.feed.prefix)
            mirror.take_snapshot(found, self._unseen_seconds())
            self._heard_at = self._clock.monotonic()
            self._needs_snapshot = False
            self._unseen_since = None
        mirror.is_connected = True
        start = Revision((mirror.revision or 0) + 1)
        async for batch in self._store.watch_prefix(mirror.feed.prefix, start):
            self._backoff.reset()
            self._heard_at = self._clock.monotonic()
            self._note_regained()
            mirror.take_batch(batch)
            if batch.events:
                await self._clock.sleep(mirror.feed.pause_seconds)

    def _unseen_seconds(self) -> float:
        """Return for how long neither a watch nor a snapshot has told of changes."""
        if self._unseen_since is None:
            return 0.0
        return self._clock.monotonic() - self._unseen_since

    def _note_lost(self, error: str) -> None:
        now = self._clock.monotonic()
        if self._unseen_since is None:
            self._unseen_since = now
        if self._lost_at is not None:
            return
        self._lost_at = now
        log_event(
            "store_lost",
            level="WARNING",
            prefix=self._mirror.feed.prefix,
            revision=self._mirror.revision,
            error=error,
            unheard_seconds=round(now - self._heard_at, 3),
        )

    def _note_regained(self) -> None:
        """Log that watches work again; snapshots may have come through other nodes before."""
        if self._lost_at is None:
            return
        log_event(
            "store_regained",
            prefix=self._mirror.feed.prefix,
            revision=self._mirror.revision,
            watch_lost_seconds=round(self._clock.monotonic() - self._lost_at, 3),
        )
        self._lost_at = None
