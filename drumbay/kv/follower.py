"""Follows a prefix of the key-value store: reads a snapshot, then watches for changes.

When a watch breaks, a new snapshot is read, since reads may be relayed through other nodes while
watches are not. During an outage of the store, the mirror keeps its last contents.
"""

import random
from collections.abc import AsyncIterator, Callable

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    KeyValueError,
    KeyValueStore,
    WatchBatch,
    WatchCompactedError,
    WatchEndedError,
    WatchSilentError,
)
from drumbay.kv.mirror import FeedMirror
from drumbay.kv.recovery_signal import RecoverySignal
from drumbay.observability.logs import log_event

FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 3.0
"""Limits billed calls during an outage, since a retry may be relayed as well. The cheaper heartbeat
detects when the store has recovered."""

WATCH_MARGIN_SECONDS = 0.6
"""How late a batch of a watch may be before the watch is considered dead."""

PROMPT_RESPONSE_SECONDS = 0.3
"""If a snapshot takes no longer than this after a watch timed out, the store was available and only
the connection of the watch was dead."""


class PrefixFollower:
    """Keeps one mirror up to date from the store itself."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        mirror: FeedMirror,
        generator: random.Random,
        store_recovered: RecoverySignal | None = None,
        quiet_seconds: float = MAX_QUIET_SECONDS,
        on_silent_connection: Callable[[], None] | None = None,
    ) -> None:
        """Create a follower that continues from the mirror's current revision.

        Args:
            clock: Time source.
            store: The key-value store.
            mirror: The mirror to keep up to date.
            generator: Random source for jitter.
            store_recovered: Signals that the store has recovered, to retry immediately.
            quiet_seconds: How long a watch may be silent before it is considered dead.
            on_silent_connection: Called when a watch was dead although the store responds.
        """
        self._quiet_seconds = quiet_seconds
        self._on_silent_connection = on_silent_connection
        self._watch_was_silent = False
        self._store_recovered = store_recovered or RecoverySignal()
        self._clock = clock
        self._store = store
        self._mirror = mirror
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, max_seconds=MAX_RETRY_SECONDS
        )
        self._needs_snapshot = mirror.revision is None
        self._missed_since: float | None = None
        self._disconnected_at: float | None = None
        self._last_received_at = clock.monotonic()

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
        except WatchEndedError as error:
            # Not a sign of a silent connection. Otherwise the followers would keep ending each
            # other's watches, with growing backoff.
            self._handle_broken_watch(error)
            await self._store_recovered.wait(self._clock, FIRST_RETRY_SECONDS)
        except KeyValueError as error:
            self._handle_broken_watch(error)
            self._watch_was_silent = isinstance(error, WatchSilentError)
            await self._store_recovered.wait(self._clock, self._backoff.next_delay_seconds())

    def _handle_broken_watch(self, error: KeyValueError) -> None:
        self._log_disconnected(error.code)
        self._needs_snapshot = True
        self._mirror.is_connected = False

    async def _follow(self) -> None:
        mirror = self._mirror
        if self._needs_snapshot:
            request_sent_at = self._clock.monotonic()
            found = await self._store.range_prefix(mirror.feed.prefix)
            mirror.apply_snapshot(found, self._missed_seconds())
            mirror.watched_to = found.revision
            self._record_received()
            mirror.confirm(request_sent_at)
            self._check_silence(self._last_received_at - request_sent_at)
            self._needs_snapshot = False
            self._missed_since = None
        mirror.is_connected = True
        start = Revision((mirror.revision or 0) + 1)
        batches = self._store.watch_prefix(mirror.feed.prefix, start, self._quiet_seconds)
        while True:
            batch = await self._next(batches)
            self._backoff.reset()
            self._record_received()
            self._log_reconnected()
            mirror.apply_batch(batch)
            mirror.watched_to = batch.revision
            if batch.events:
                await self._clock.sleep(mirror.feed.debounce_seconds)

    async def _next(self, batches: AsyncIterator[WatchBatch]) -> WatchBatch:
        """Return the next batch of a watch.

        Only messages on the watch itself show that it is alive: its connection may be dead while
        other connections to the store work.

        Raises:
            WatchSilentError: No message arrived in time.
        """
        timeout_seconds = self._quiet_seconds + WATCH_MARGIN_SECONDS
        try:
            return await self._clock.wait_for(anext(batches), timeout_seconds)
        except DeadlineExceededError as error:
            raise WatchSilentError(f"no message for {timeout_seconds:.1f} s") from error

    def _record_received(self) -> None:
        self._last_received_at = self._clock.monotonic()

    def _check_silence(self, response_seconds: float) -> None:
        """Report silent connections if the store was available all the time."""
        watch_was_silent, self._watch_was_silent = self._watch_was_silent, False
        if (
            watch_was_silent
            and response_seconds <= PROMPT_RESPONSE_SECONDS
            and self._on_silent_connection
        ):
            self._on_silent_connection()

    def _missed_seconds(self) -> float:
        """Return for how long changes may have been missed."""
        if self._missed_since is None:
            return 0.0
        return self._clock.monotonic() - self._missed_since

    def _log_disconnected(self, error: str) -> None:
        now = self._clock.monotonic()
        if self._missed_since is None:
            self._missed_since = now
        if self._disconnected_at is not None:
            return
        self._disconnected_at = now
        log_event(
            "store_lost",
            level="WARNING",
            prefix=self._mirror.feed.prefix,
            revision=self._mirror.revision,
            error=error,
            unheard_seconds=round(now - self._last_received_at, 3),
        )

    def _log_reconnected(self) -> None:
        """Log that the watch works again; snapshots may have been relayed before."""
        if self._disconnected_at is None:
            return
        log_event(
            "store_regained",
            prefix=self._mirror.feed.prefix,
            revision=self._mirror.revision,
            watch_lost_seconds=round(self._clock.monotonic() - self._disconnected_at, 3),
        )
        self._disconnected_at = None
