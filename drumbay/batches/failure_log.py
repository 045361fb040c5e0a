"""Stores how often workers fail the items of an owned batch job, and reads what others stored."""

import asyncio
from collections.abc import Callable

from drumbay.batches.item_failures import (
    NO_FAILURES,
    FailureHistory,
    ItemFailures,
    OwnerFailures,
    OwnerKey,
    PastFailures,
)
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchSpec, ItemId
from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event

WRITE_INTERVAL_SECONDS = 0.1
"""Shorter than the delay of a failed item's next run, so that its failure is stored before."""

STORE_RETRY_SECONDS = 0.5


class FailureLog:
    """The failures that one owner has seen, and its view of those that others have seen."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        history: FailureHistory,
        spec: BatchSpec,
        revision: Revision,
    ) -> None:
        """Create the empty log of the owner with a revision in the ledger.

        ``history`` is what this node knows of failures; it is kept up to date.
        """
        self._clock = clock
        self._ledger = ledger
        self._history = history
        self._spec = spec
        self._owner = OwnerKey(batch_id=spec.batch_id, revision=revision)
        self._items: dict[ItemId, ItemFailures] = {}
        self._changed = asyncio.Event()

    def record(self, item_id: ItemId, failures: ItemFailures) -> None:
        """Add failures of an item; :meth:`run` stores them."""
        self._items[item_id] = self._items.get(item_id, NO_FAILURES).plus(failures)
        self._history.put(self._owner, self._failures())
        self._changed.set()

    def past(self) -> dict[ItemId, PastFailures]:
        """Return what this node knows of the failures that other owners have seen."""
        return self._history.past(self._spec, self._owner)

    async def load(self, on_unavailable: Callable[[], None]) -> None:
        """Learn what other owners have stored; returns once the store answers.

        ``on_unavailable`` is called whenever it does not.
        """
        while True:
            try:
                for owner, failures in await self._ledger.read_failures():
                    if owner != self._owner:
                        self._history.put(owner, failures)
                return
            except KeyValueError as error:
                log_event(
                    "item_failures_unknown",
                    level="WARNING",
                    batch=self._spec.batch_id,
                    error=error.code,
                )
                on_unavailable()
                await self._clock.sleep(STORE_RETRY_SECONDS)

    async def run(self) -> None:
        """Store failures as they are recorded, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._store()
            await self._clock.sleep(WRITE_INTERVAL_SECONDS)

    def _failures(self) -> OwnerFailures:
        return OwnerFailures(
            host=self._spec.host, tenant=self._spec.tenant, items=dict(self._items)
        )

    async def _store(self) -> None:
        try:
            await self._ledger.save_failures(self._owner, self._failures())
        except KeyValueError as error:
            log_event(
                "item_failures_not_stored",
                level="WARNING",
                batch=self._spec.batch_id,
                error=error.code,
            )
            self._changed.set()
            await self._clock.sleep(STORE_RETRY_SECONDS)
