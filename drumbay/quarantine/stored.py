"""The quarantine's copy in the key-value service, for nodes that start later.

Below ``PREFIX``, each request under which workers have ended twice in a row has a key of its own,
written by the node that saw the last death; the others write it only if it is still missing after
some seconds. The key goes when the request is cleared, and a key that goes clears it at every node.
While the service is away, writes wait, and nodes know from each other.
"""

import asyncio
import random
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
from drumbay.quarantine.ledger import DEATHS_UNTIL_TRIAL, MOST_REQUESTS
from drumbay.quarantine.records import WorkerDeath, WorkerKind
from drumbay.quarantine.service import Quarantine
from drumbay.workers.records import WorkerStart

PREFIX = "drumbay/quarantine/"

SHORTEST_TURN_SECONDS = 2.0
LONGEST_TURN_SECONDS = 6.0
"""A node that was only told of a death writes it in this time if nobody has: the one that saw it
may have ended. Spread, so that one of many nodes writes and the others see it."""

FIRST_RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 4.0
"""Each try is a priced call, and other nodes know meanwhile."""

IDLE_SECONDS = 60.0
"""How often requests of long ago are looked for."""


class StoredDeath(msgspec.Struct, frozen=True, kw_only=True):
    """A death as the store keeps it; times are seconds since the Unix epoch.

    ``started_at_ms`` is the start of the worker that ended, by its own account; 0 where the
    worker does not tell it, or the entry lacks it.
    """

    worker_id: BackendId
    kind: WorkerKind
    began_at: float
    ended_at: float
    started_at_ms: int = 0

    @property
    def start(self) -> WorkerStart:
        """Return which start of which worker ended."""
        return WorkerStart(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[StoredDeath, ...])


class StoredQuarantine:
    """Writes what this node's quarantine knows, and feeds it with what others have written."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        quarantine: Quarantine,
        generator: random.Random,
    ) -> None:
        """Create a copy that nobody has read yet; ``generator`` draws delays."""
        self._clock = clock
        self._store = store
        self._quarantine = quarantine
        self._generator = generator
        self._stored: dict[Fingerprint, frozenset[WorkerStart]] = {}
        self._due: dict[Fingerprint, float] = {}
        self._changed = asyncio.Event()
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, longest_seconds=LONGEST_RETRY_SECONDS
        )
        quarantine.add_listener(self._note_change)

    # Reading

    @property
    def feed(self) -> PrefixFeed:
        """Return the feed of what all nodes have written."""
        return PrefixFeed(
            prefix=PREFIX,
            on_snapshot=self._take_snapshot,
            on_event=self._take_event,
            tells_age=False,
        )

    def _take_snapshot(self, items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
        del unseen_seconds
        before = set(self._stored)
        self._stored.clear()
        for item in items:
            self._take_item(item)
        for fingerprint in before - set(self._stored):
            self._quarantine.take_cleared(fingerprint)

    def _take_event(self, event: WatchEvent) -> None:
        if event.item is not None:
            self._take_item(event.item)
            return
        fingerprint = Fingerprint(event.key.removeprefix(PREFIX))
        self._stored.pop(fingerprint, None)
        self._quarantine.take_cleared(fingerprint)

    def _take_item(self, item: KeyValue) -> None:
        fingerprint = Fingerprint(item.key.removeprefix(PREFIX))
        try:
            stored = _decoder.decode(item.value)
        except msgspec.DecodeError as error:
            log_event("quarantine_not_understood", level="WARNING", key=item.key, detail=str(error))
            return
        self._stored[fingerprint] = frozenset(death.start for death in stored)
        self._quarantine.take_deaths(fingerprint, tuple(map(self._read, stored)))

    def _read(self, stored: StoredDeath) -> WorkerDeath:
        """Return a death in this node's time; never one of the future, whatever the clocks say."""
        age_seconds = max(0.0, self._clock.wall() - stored.ended_at)
        now = self._clock.monotonic()
        ended_at = now - age_seconds
        return WorkerDeath(
            worker_id=stored.worker_id,
            kind=stored.kind,
            began_at=ended_at - (stored.ended_at - stored.began_at),
            ended_at=ended_at,
            started_at_ms=stored.started_at_ms,
            learnt_at=now,
        )

    # Writing

    def _note_change(self, fingerprint: Fingerprint, was_seen: bool) -> None:
        now = self._clock.monotonic()
        turn_seconds = self._generator.uniform(SHORTEST_TURN_SECONDS, LONGEST_TURN_SECONDS)
        self._due[fingerprint] = now if was_seen else now + turn_seconds
        self._changed.set()

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            now = self._clock.monotonic()
            for fingerprint in self._quarantine.ledger.expire(now):
                self._note_change(fingerprint, was_seen=False)
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
        seconds = min(self._due.values(), default=now + IDLE_SECONDS) - now
        if seconds > 0:
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._changed.wait(), seconds)

    async def _write_due(self, fingerprint: Fingerprint) -> None:
        # A change that comes during the write is due again after it.
        due_at = self._due.pop(fingerprint)
        try:
            await self._write(fingerprint)
        except KeyValueError:
            self._due.setdefault(fingerprint, due_at)
            raise

    async def _write(self, fingerprint: Fingerprint) -> None:
        """Bring the key of one request up to what this node knows.

        Raises:
            KeyValueError: The store did not take it.
        """
        ledger = self._quarantine.ledger
        key = f"{PREFIX}{fingerprint}"
        deaths = ledger.deaths(fingerprint)
        if not deaths:
            if fingerprint in self._stored:
                await self._store.transact((), (Delete(key=key),))
            return
        if ledger.in_a_row(fingerprint) < DEATHS_UNTIL_TRIAL:
            return
        is_known = {death.start for death in deaths} <= self._stored.get(fingerprint, set())
        has_room = fingerprint in self._stored or len(self._stored) < MOST_REQUESTS
        if not is_known and has_room:
            value = _encoder.encode(tuple(map(self._to_store, deaths)))
            await self._store.transact((), (Put(key=key, value=value),))

    def _to_store(self, death: WorkerDeath) -> StoredDeath:
        offset = self._clock.wall() - self._clock.monotonic()
        return StoredDeath(
            worker_id=death.worker_id,
            kind=death.kind,
            began_at=death.began_at + offset,
            ended_at=death.ended_at + offset,
            started_at_ms=death.started_at_ms,
        )
