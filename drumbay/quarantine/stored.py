"""Copy of the quarantine in the key-value service, read by nodes that start later.

Each request with at least two consecutive confirmed crashes has a key below ``PREFIX``. The node
that saw the last crash writes it; other nodes write it only if it is still missing after a delay.
The key is deleted when the request is cleared, and its deletion clears it at every node. While the
service is unavailable, writes are retried, and nodes rely on broadcasts.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import BackendId
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import Delete, KeyValue, KeyValueError, KeyValueStore, Put, WatchEvent
from drumbay.kv.mirror import PrefixFeed
from drumbay.observability.logs import log_event
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.ledger import CRASHES_UNTIL_TRIAL, MAX_REQUESTS
from drumbay.quarantine.records import WorkerCrash, WorkerKind
from drumbay.quarantine.service import Quarantine
from drumbay.workers.records import WorkerIncarnation

PREFIX = "drumbay/quarantine/"

MIN_WRITE_DELAY_SECONDS = 2.0
MAX_WRITE_DELAY_SECONDS = 6.0
"""Delay after which a node writes a crash seen by another node, in case that node failed. Random,
so that usually only one node writes."""

BROADCAST_OUTCOME_SECONDS = 0.5
"""Delay after which it is known whether a broadcast has arrived."""

INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
"""Exponential backoff between writes that fail."""

MIN_WAIT_SECONDS = 0.001
"""Longer than the rounding error of a due time, which would be waited for again and again."""

EXPIRY_CHECK_INTERVAL_SECONDS = 60.0
"""Interval at which old requests are dropped."""


class StoredCrash(msgspec.Struct, frozen=True, kw_only=True):
    """A crash as stored; times are seconds since the Unix epoch.

    ``started_at_ms`` is the start time reported by the worker; 0 if unknown.
    """

    worker_id: BackendId
    kind: WorkerKind
    began_at: float
    ended_at: float
    started_at_ms: int = 0

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Return the worker incarnation that crashed."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[StoredCrash, ...])


class StoredQuarantine:
    """Stores the quarantine of this node, and loads what other nodes have stored."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        quarantine: Quarantine,
        generator: random.Random,
        is_cut_off: Callable[[], bool],
    ) -> None:
        """Create a copy that is not loaded yet.

        ``generator`` randomizes delays, and ``is_cut_off`` returns whether the last broadcasts of
        this node have not arrived.
        """
        self._clock = clock
        self._store = store
        self._quarantine = quarantine
        self._generator = generator
        self._is_cut_off = is_cut_off
        self._stored: dict[Fingerprint, frozenset[WorkerIncarnation]] = {}
        self._due: dict[Fingerprint, float] = {}
        self._changed = asyncio.Event()
        self._backoff = Backoff(
            generator, first_seconds=INITIAL_RETRY_SECONDS, max_seconds=MAX_RETRY_SECONDS
        )
        quarantine.add_listener(self._on_change)

    # Reading

    @property
    def feed(self) -> PrefixFeed:
        """Return the feed of the entries written by all nodes."""
        return PrefixFeed(
            prefix=PREFIX,
            on_snapshot=self._on_snapshot,
            on_event=self._on_event,
            counts_toward_age=False,
        )

    def _on_snapshot(self, items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
        del unseen_seconds
        before = set(self._stored)
        self._stored.clear()
        for item in items:
            self._load_item(item)
        for fingerprint in before - set(self._stored):
            self._quarantine.clear(fingerprint)

    def _on_event(self, event: WatchEvent) -> None:
        if event.item is not None:
            self._load_item(event.item)
            return
        fingerprint = Fingerprint(event.key.removeprefix(PREFIX))
        self._stored.pop(fingerprint, None)
        self._quarantine.clear(fingerprint)

    def _load_item(self, item: KeyValue) -> None:
        fingerprint = Fingerprint(item.key.removeprefix(PREFIX))
        try:
            stored = _decoder.decode(item.value)
        except msgspec.DecodeError as error:
            log_event("quarantine_not_understood", level="WARNING", key=item.key, detail=str(error))
            return
        self._stored[fingerprint] = frozenset(crash.incarnation for crash in stored)
        self._quarantine.add_crashes(fingerprint, tuple(map(self._to_crash, stored)))

    def _to_crash(self, stored: StoredCrash) -> WorkerCrash:
        """Convert to monotonic time; a time in the future (clock difference) becomes now."""
        age_seconds = max(0.0, self._clock.wall() - stored.ended_at)
        now = self._clock.monotonic()
        ended_at = now - age_seconds
        return WorkerCrash(
            worker_id=stored.worker_id,
            kind=stored.kind,
            began_at=ended_at - (stored.ended_at - stored.began_at),
            ended_at=ended_at,
            started_at_ms=stored.started_at_ms,
            learned_at=now,
        )

    # Writing

    def _on_change(self, fingerprint: Fingerprint, is_local: bool) -> None:
        delay_seconds = self._generator.uniform(MIN_WRITE_DELAY_SECONDS, MAX_WRITE_DELAY_SECONDS)
        if is_local:
            has_single_crash = self._crash_count(fingerprint) == 1
            delay_seconds = BROADCAST_OUTCOME_SECONDS if has_single_crash else 0.0
        self._due[fingerprint] = self._clock.monotonic() + delay_seconds
        self._changed.set()

    def _crash_count(self, fingerprint: Fingerprint) -> int:
        return self._quarantine.ledger.confirmed_consecutive_crashes(fingerprint)

    async def run(self) -> None:
        """Write changes when they are due, until cancelled."""
        while True:
            now = self._clock.monotonic()
            for fingerprint in self._quarantine.ledger.expire(now):
                self._on_change(fingerprint, is_local=False)
            try:
                for fingerprint in [f for f, at in self._due.items() if at <= now]:
                    await self._write_due(fingerprint)
                self._backoff.reset()
            except KeyValueError as error:
                log_event("quarantine_not_stored", level="WARNING", error=error.code)
                await self._clock.sleep(self._backoff.next_delay_seconds())
                continue
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        self._changed.clear()
        now = self._clock.monotonic()
        seconds = min(self._due.values(), default=now + EXPIRY_CHECK_INTERVAL_SECONDS) - now
        if seconds > 0:
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._changed.wait(), max(seconds, MIN_WAIT_SECONDS))

    async def _write_due(self, fingerprint: Fingerprint) -> None:
        # A change during the write schedules another write.
        due_at = self._due.pop(fingerprint)
        try:
            await self._write(fingerprint)
        except KeyValueError:
            self._due.setdefault(fingerprint, due_at)
            raise

    async def _write(self, fingerprint: Fingerprint) -> None:
        """Update the key of one request.

        Raises:
            KeyValueError: The write failed.
        """
        ledger = self._quarantine.ledger
        key = f"{PREFIX}{fingerprint}"
        if fingerprint not in ledger:
            if fingerprint in self._stored:
                await self._store.transact((), (Delete(key=key),))
            return
        crashes = ledger.confirmed(fingerprint)
        min_crashes = 1 if self._is_cut_off() else CRASHES_UNTIL_TRIAL
        if self._crash_count(fingerprint) < min_crashes:
            return
        is_stored = {crash.incarnation for crash in crashes} <= self._stored.get(fingerprint, set())
        has_capacity = fingerprint in self._stored or len(self._stored) < MAX_REQUESTS
        if not is_stored and has_capacity:
            value = _encoder.encode(tuple(map(self._to_stored, crashes)))
            await self._store.transact((), (Put(key=key, value=value),))

    def _to_stored(self, crash: WorkerCrash) -> StoredCrash:
        offset = self._clock.wall() - self._clock.monotonic()
        return StoredCrash(
            worker_id=crash.worker_id,
            kind=crash.kind,
            began_at=crash.began_at + offset,
            ended_at=crash.ended_at + offset,
            started_at_ms=crash.started_at_ms,
        )
