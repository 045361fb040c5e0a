"""Verifies that the watchers' mirrors are complete, with few calls to the store.

An idle watch does not prove that nothing has changed: its connection may be silently dead while new
connections work. When a mirror has not been confirmed for a while, one watcher polls the store for
changes over a new connection and announces the revision up to which it is complete. A watcher that
has reached that revision counts as confirmed too; one that has not polls the store itself. If a
poll returns a change that the node's own watch does not deliver in time, or finds that the store
has forgotten changes, open connections have gone silent.
"""

import asyncio
import random
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    KeyValueError,
    KeyValueStore,
    WatchBatch,
    WatchCompactedError,
)
from drumbay.kv.mirror import FeedMirror
from drumbay.observability.logs import log_event
from drumbay.peers.messages import FeedConfirmed
from drumbay.tasks import TaskOwner

MIN_WAIT_SECONDS = 0.001
"""Prevents zero-length waits caused by clock rounding."""

VERIFY_FRACTION = 0.28
"""Interval between verifications, as a fraction of the configuration propagation bound. It leaves
time for a slow response before followers consider the data too old. A watch alone does not verify
anything: while connections were silent, every node would miss changes until its watch timed out."""

MAX_JITTER_FACTOR = 1.3
"""The interval is multiplied by a random factor between 1 and this, so that usually one watcher
polls first and confirms the mirrors of the others."""

POLL_SECONDS = 0.001
NEXT_POLL_SECONDS = 0.6
"""How long a poll goes unanswered before another one is sent over a new connection."""

WATCH_GRACE_SECONDS = 0.3
"""How much later than a poll a watch may deliver the same change; allows for debouncing."""

DISCONNECTED_CHECK_SECONDS = 0.1
"""How often to check whether a broken watch has been re-established."""

MAX_RETRY_SECONDS = 4.0


class _AnsweredPoll(msgspec.Struct, frozen=True, kw_only=True):
    """The changes that a poll returned, and the monotonic time at which it was sent."""

    batch: WatchBatch
    started_at: float


class FreshnessVerifier:
    """Keeps one mirror confirmed while this node is a watcher."""

    def __init__(
        self,
        clock: Clock,
        direct: KeyValueStore,
        mirror: FeedMirror,
        generator: random.Random,
        task_owner: TaskOwner,
        in_force_seconds: float,
        announce: Callable[[FeedConfirmed], None],
        on_silent_connection: Callable[[], None],
    ) -> None:
        """Create a verifier.

        Args:
            clock: Time source.
            direct: The key-value store, reached directly.
            mirror: The mirror to verify.
            generator: Random source for jitter.
            task_owner: Owner of background tasks.
            in_force_seconds: Bound on the time from the acceptance of a configuration until it is
                in force at every node.
            announce: Sends a confirmation to the other watchers.
            on_silent_connection: Called when this node's watch has missed a change.
        """
        self._clock = clock
        self._direct = direct
        self._mirror = mirror
        self._generator = generator
        self._task_owner = task_owner
        self._in_force_seconds = in_force_seconds
        self._verify_interval_seconds = VERIFY_FRACTION * in_force_seconds
        self._announce = announce
        self._on_silent_connection = on_silent_connection
        self._backoff = Backoff(
            generator,
            first_seconds=self._verify_interval_seconds,
            max_seconds=MAX_RETRY_SECONDS,
        )
        self._behind = asyncio.Event()

    async def run(self) -> None:
        """Verify periodically until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                await self._verify()
                self._backoff.reset()
            except (KeyValueError, DeadlineExceededError) as error:
                log_event("copy_not_proved", level="DEBUG", error=error.code)
                await self._clock.sleep(self._backoff.next_delay_seconds())

    async def _wait_until_due(self) -> None:
        """Return once the last confirmation is too old, or the mirror is known to be behind."""
        interval_seconds = self._verify_interval_seconds * self._generator.uniform(
            1.0, MAX_JITTER_FACTOR
        )
        while not self._behind.is_set():
            if self._mirror.revision is None or not self._mirror.is_connected:
                await self._clock.sleep(DISCONNECTED_CHECK_SECONDS)
                continue
            remaining = self._mirror.confirmed_at + interval_seconds - self._clock.monotonic()
            if remaining < MIN_WAIT_SECONDS:
                return
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._behind.wait(), remaining)

    async def _verify(self) -> None:
        """Poll for changes over a new connection and announce the result."""
        mirror = self._mirror
        try:
            polled = await self._poll_until_answered()
        except WatchCompactedError:
            # The store no longer has the changes. A working watch reports this as well.
            self._schedule_watch_check(Revision(mirror.watched_to + 1), 0.0)
            raise
        self._behind.clear()
        mirror.apply_batch(polled.batch)
        mirror.confirm(polled.started_at)
        age_seconds = self._clock.monotonic() - polled.started_at
        prefix = mirror.feed.prefix
        self._announce(
            FeedConfirmed(prefix=prefix, last_change=mirror.last_change, age_seconds=age_seconds)
        )
        events = polled.batch.events
        if events:
            self._schedule_watch_check(events[-1].mod_revision, 2 * age_seconds)

    async def _poll_until_answered(self) -> _AnsweredPoll:
        """Return the first answer; a poll that takes long goes on beside the next one.

        A late answer still tells the state of the store when its poll was sent.

        Raises:
            KeyValueError: A poll failed.
            DeadlineExceededError: None was answered while its answer would have been of use.
        """
        started_at: dict[asyncio.Task[WatchBatch], float] = {}
        until = self._clock.monotonic() + self._in_force_seconds
        try:
            while self._clock.monotonic() < until:
                poll = asyncio.ensure_future(self._poll())
                started_at[poll] = self._clock.monotonic()
                done, _ = await asyncio.wait(
                    started_at, timeout=NEXT_POLL_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                for answered in done:
                    return _AnsweredPoll(batch=answered.result(), started_at=started_at[answered])
        finally:
            for poll in started_at:
                poll.cancel()
            await asyncio.gather(*started_at, return_exceptions=True)
        raise DeadlineExceededError("the store did not answer a poll")

    async def _poll(self) -> WatchBatch:
        start_revision = Revision((self._mirror.revision or 0) + 1)
        batches = self._direct.watch_prefix(self._mirror.feed.prefix, start_revision, POLL_SECONDS)
        try:
            return await anext(batches)
        finally:
            if isinstance(batches, AsyncGenerator):
                await batches.aclose()

    def _schedule_watch_check(self, revision: Revision, seconds: float) -> None:
        check = self._check_watch(revision, max(WATCH_GRACE_SECONDS, seconds))
        self._task_owner.spawn(check, "watch-expected")

    async def _check_watch(self, revision: Revision, seconds: float) -> None:
        """Report silent connections if the watch does not deliver a change in time."""
        await self._clock.sleep(seconds)
        if self._mirror.watched_to >= revision or not self._mirror.is_connected:
            return
        log_event(
            "watch_missed_change",
            level="WARNING",
            prefix=self._mirror.feed.prefix,
            revision=revision,
            watched_to=self._mirror.watched_to,
        )
        self._on_silent_connection()

    def apply_confirmation(self, confirmed: FeedConfirmed) -> None:
        """Apply a confirmation by another watcher for the same prefix."""
        if (self._mirror.revision or 0) >= confirmed.last_change:
            self._mirror.confirm(self._clock.monotonic() - confirmed.age_seconds)
            return
        # The watch may still deliver the change.
        self._task_owner.spawn(self._catch_up(confirmed.last_change), "copy-behind")

    async def _catch_up(self, revision: Revision) -> None:
        await self._clock.sleep(WATCH_GRACE_SECONDS)
        if (self._mirror.revision or 0) < revision:
            self._behind.set()
