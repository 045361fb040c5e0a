"""Appends the results of an owned batch job to the store and serves them to readers."""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress

from drumbay.batches.exceptions import BatchError
from drumbay.batches.ledger import RESULTS_PER_WRITE, BatchLedger
from drumbay.batches.records import BatchSpec, ItemResult, ResultPage, page_of
from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event

FLUSH_INTERVAL_SECONDS = 0.4
"""Results are collected for this long and written together."""

TAIL_FLUSH_INTERVAL_SECONDS = 1.0
"""Flush interval while few items are left. Longer than a trainer's pause between reads, so that one
read returns the last results instead of two with a pause between them.
"""

URGENT_FLUSH_DELAY_SECONDS = 0.03
"""An urgent result waits only for results that finish at the same moment."""

MAX_FLUSH_BYTES = 500_000
RESULT_PAGE_BYTES = 900_000
STORE_RETRY_SECONDS = 0.15
OWNER_CHECK_INTERVAL_SECONDS = 1.2
"""Ownership is verified after this long without a successful write. Longer than the intervals of
result and progress writes, so that a check is needed only while there is nothing to write.
"""

OWNER_WATCH_INTERVAL_SECONDS = 6.0
"""Interval of ownership checks once all results are listed."""


class ResultLog:
    """The results of a batch job: those listed in the store, and pending ones."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        spec: BatchSpec,
        revision: Revision,
        listed: Sequence[ItemResult],
        *,
        flush_interval_seconds: Callable[[], float],
        on_lost: Callable[[BatchError], None],
    ) -> None:
        """Create the log.

        Args:
            clock: Time.
            ledger: Stores the results.
            spec: The batch job.
            revision: The owner's revision in the ledger.
            listed: Results that the store contains already.
            flush_interval_seconds: Returns how long results are collected before a write.
            on_lost: Called once when another node owns the batch job, or it has ended.
        """
        self._clock = clock
        self._ledger = ledger
        self._spec = spec
        self._revision = revision
        self._flush_interval_seconds = flush_interval_seconds
        self._on_lost = on_lost
        self._listed: list[ItemResult] = list(listed)
        self._pending: list[ItemResult] = []
        self._pending_since = float("inf")
        self._pending_changed = asyncio.Event()
        self._urgent = asyncio.Event()
        self._listed_changed = asyncio.Event()
        self._ownership_confirmed_at = clock.monotonic()
        self._closed = False

    @property
    def listed_count(self) -> int:
        """Return the number of stored results."""
        return len(self._listed)

    @property
    def is_complete(self) -> bool:
        """Return whether the results of all items are stored."""
        return len(self._listed) == len(self._spec.items)

    @property
    def has_pending(self) -> bool:
        """Return whether results are not yet stored."""
        return bool(self._pending)

    @property
    def results(self) -> tuple[ItemResult, ...]:
        """Return all results, including pending ones."""
        return (*self._listed, *self._pending)

    def add(self, result: ItemResult, *, is_urgent: bool) -> None:
        """Queue a result; an urgent one triggers an early flush."""
        if not self._pending:
            self._pending_since = self._clock.monotonic()
        self._pending.append(result)
        self._pending_changed.set()
        if is_urgent:
            self._urgent.set()

    def confirm_ownership(self) -> None:
        """Record that the store has just accepted a write of this owner."""
        self._ownership_confirmed_at = self._clock.monotonic()

    def close(self) -> None:
        """Wake waiting readers."""
        self._closed = True
        self._notify_readers()

    async def read(self, position: int, wait_seconds: float, size_bytes: int) -> ResultPage:
        """Return results from a position on, waiting until there is one or the time is up.

        The page is limited to ``size_bytes``, but has at least one result if there is any.
        """
        deadline = self._clock.monotonic() + wait_seconds
        while len(self._listed) <= position and not self._closed and not self.is_complete:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                break
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._listed_changed.wait()
        return page_of(self._listed, len(self._spec.items), position, size_bytes)

    async def run(self) -> None:
        """Write results until all are listed, then check the ownership until it is lost."""
        try:
            while not self.is_complete:
                await self._wait_until(self._pending_changed, self._next_check_at())
                self._pending_changed.clear()
                await self._flush_pending()
                await self._check_owner()
            log_event("batch_listed", batch=self._spec.batch_id, items=len(self._listed))
            while True:
                await self._clock.sleep(OWNER_WATCH_INTERVAL_SECONDS)
                await self._check_owner()
        except BatchError as error:
            self._on_lost(error)

    def _next_check_at(self) -> float:
        return self._ownership_confirmed_at + OWNER_CHECK_INTERVAL_SECONDS

    async def _wait_until(self, event: asyncio.Event, until: float) -> None:
        """Wait for an event, at most until a monotonic time."""
        remaining_seconds = until - self._clock.monotonic()
        if remaining_seconds <= 0 or event.is_set():
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(remaining_seconds):
                await event.wait()

    async def _flush_pending(self) -> None:
        if not self._pending:
            return
        flush_at = self._pending_since + self._flush_interval_seconds()
        await self._wait_until(self._urgent, min(flush_at, self._next_check_at()))
        if self._urgent.is_set():
            await self._clock.sleep(URGENT_FLUSH_DELAY_SECONDS)
        self._urgent.clear()
        while self._pending:
            count = self._flush_size()
            await self._append(tuple(self._pending[:count]))
            self._listed.extend(self._pending[:count])
            del self._pending[:count]
            self._pending_since = self._clock.monotonic()
            self._notify_readers()

    def _flush_size(self) -> int:
        used_bytes = 0
        candidates = self._pending[:RESULTS_PER_WRITE]
        for count, result in enumerate(candidates):
            used_bytes += result.size_bytes()
            if count and used_bytes > MAX_FLUSH_BYTES:
                return count
        return len(candidates)

    async def _append(self, results: tuple[ItemResult, ...]) -> None:
        """Write results, retrying unchanged until the store confirms them."""
        position = len(self._listed)
        while True:
            try:
                await self._ledger.append(self._spec.batch_id, self._revision, position, results)
            except KeyValueError as error:
                log_event(
                    "batch_append_failed",
                    level="WARNING",
                    batch=self._spec.batch_id,
                    position=position,
                    error=error.code,
                )
                await self._clock.sleep(STORE_RETRY_SECONDS)
                continue
            self.confirm_ownership()
            log_event(
                "results_listed",
                batch=self._spec.batch_id,
                position=position,
                results=len(results),
            )
            return

    async def _check_owner(self) -> None:
        if self._clock.monotonic() < self._next_check_at():
            return
        try:
            await self._ledger.check_owner(self._spec.batch_id, self._revision)
        except KeyValueError as error:
            log_event(
                "batch_owner_check_failed",
                level="DEBUG",
                batch=self._spec.batch_id,
                error=error.code,
            )
            await self._clock.sleep(STORE_RETRY_SECONDS)
            return
        self.confirm_ownership()

    def _notify_readers(self) -> None:
        self._listed_changed.set()
        self._listed_changed = asyncio.Event()
