"""Lists the results of one owned batch job durably, and serves them to readers."""

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
"""Results wait this long for others: each write is one priced call to the store."""

LAST_FLUSH_INTERVAL_SECONDS = 1.0
"""The same while few items are left, whose results come one by one. A trainer that has just read
pauses for half a second: results listed shortly before the last ones make it read those late."""

URGENT_FLUSH_SECONDS = 0.03
"""An urgent result hardly waits: only for those that end in the same moment, less than one event of
0.04 s apart."""

FLUSH_BYTES = 500_000
PAGE_BYTES = 900_000
STORE_RETRY_SECONDS = 0.15
OWNER_CHECK_SECONDS = 1.2
"""Without a successful write for this long, the owner lists what it has, or else asks the store
whether it still owns. A little longer than results and saved texts wait for a write."""

WATCH_OWNER_SECONDS = 6.0
"""How often the owner of a wholly listed batch job looks whether it has ended."""


class ResultListing:
    """The results of a batch job: those that the store has, and those that it shall get."""

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
        """Create a listing.

        Args:
            clock: Time.
            ledger: Where results are listed.
            spec: The batch job.
            revision: The owner's revision in the ledger.
            listed: Results that stand in the store already.
            flush_interval_seconds: Returns how long results wait for others.
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
        self._confirmed_at = clock.monotonic()
        self._closed = False

    @property
    def listed_count(self) -> int:
        """Return how many results the store has."""
        return len(self._listed)

    @property
    def is_whole(self) -> bool:
        """Return whether every item is listed."""
        return len(self._listed) == len(self._spec.items)

    @property
    def results(self) -> tuple[ItemResult, ...]:
        """Return all results, also those that the store has not taken yet."""
        return (*self._listed, *self._pending)

    def add(self, result: ItemResult, *, is_urgent: bool) -> None:
        """List a result soon; an urgent one, with all that wait, at once."""
        if not self._pending:
            self._pending_since = self._clock.monotonic()
        self._pending.append(result)
        self._pending_changed.set()
        if is_urgent:
            self._urgent.set()

    def confirm(self) -> None:
        """Note that the store has just taken a write of this owner."""
        self._confirmed_at = self._clock.monotonic()

    def close(self) -> None:
        """Let waiting readers go."""
        self._closed = True
        self._announce()

    async def read(self, position: int, wait_seconds: float, size_bytes: int) -> ResultPage:
        """Return results from a position on, waiting until there is one or time is up.

        The page has at least one result if there is one, and otherwise up to ``size_bytes``.
        """
        deadline = self._clock.monotonic() + wait_seconds
        while len(self._listed) <= position and not self._closed and not self.is_whole:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                break
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._listed_changed.wait()
        return page_of(self._listed, len(self._spec.items), position, size_bytes)

    async def run(self) -> None:
        """List results until all are, then watch the ownership, until it is lost."""
        try:
            while not self.is_whole:
                await self._wait_until(self._pending_changed, self._check_due_at())
                self._pending_changed.clear()
                await self._list_pending()
                await self._check_owner()
            log_event("batch_listed", batch=self._spec.batch_id, items=len(self._listed))
            while True:
                await self._clock.sleep(WATCH_OWNER_SECONDS)
                await self._check_owner()
        except BatchError as error:
            self._on_lost(error)

    def _check_due_at(self) -> float:
        return self._confirmed_at + OWNER_CHECK_SECONDS

    async def _wait_until(self, event: asyncio.Event, until: float) -> None:
        """Wait for an event, at the longest until a monotonic time."""
        remaining_seconds = until - self._clock.monotonic()
        if remaining_seconds <= 0 or event.is_set():
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(remaining_seconds):
                await event.wait()

    async def _list_pending(self) -> None:
        if not self._pending:
            return
        flush_at = self._pending_since + self._flush_interval_seconds()
        await self._wait_until(self._urgent, min(flush_at, self._check_due_at()))
        if self._urgent.is_set():
            await self._clock.sleep(URGENT_FLUSH_SECONDS)
        self._urgent.clear()
        while self._pending:
            count = self._fitting()
            await self._append(tuple(self._pending[:count]))
            self._listed.extend(self._pending[:count])
            del self._pending[:count]
            self._pending_since = self._clock.monotonic()
            self._announce()

    def _fitting(self) -> int:
        used_bytes = 0
        some = self._pending[:RESULTS_PER_WRITE]
        for count, result in enumerate(some):
            used_bytes += result.size_bytes()
            if count and used_bytes > FLUSH_BYTES:
                return count
        return len(some)

    async def _append(self, results: tuple[ItemResult, ...]) -> None:
        """Write results, always the same, until the store says that they stand."""
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
            self.confirm()
            log_event(
                "results_listed",
                batch=self._spec.batch_id,
                position=position,
                results=len(results),
            )
            return

    async def _check_owner(self) -> None:
        if self._clock.monotonic() < self._check_due_at():
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
        self.confirm()

    def _announce(self) -> None:
        self._listed_changed.set()
        self._listed_changed = asyncio.Event()
