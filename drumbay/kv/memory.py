"""Key-value store client of the in-process model, for simulations and tests."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import TypeVar

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    Delete,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    LeaseGrant,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)
from drumbay.standins.kv_faults import EmulatedWriteOutcome
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_watch import watch_model

ResultT = TypeVar("ResultT")

DEFAULT_TIMEOUT_SECONDS = 2.0


class MemoryKeyValueStore:
    """Client of the model; simulates faults as seen by a client.

    Attributes:
        reachable: Whether this client reaches the store, independently of other clients.
    """

    def __init__(
        self,
        model: KeyValueModel,
        clock: Clock,
        *,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        """Create a client.

        Args:
            model: Model of the store.
            clock: Clock of the client.
            timeout_seconds: How long the client waits for a response.
        """
        self.reachable = True
        self._model = model
        self._clock = clock
        self._timeout_seconds = timeout_seconds
        # NOTE: a request in flight takes effect even after its caller timed out, and asyncio
        # keeps only weak references to tasks.
        self._in_flight: dict[asyncio.Task[None], None] = {}

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``."""
        return await self._read(lambda: self._model.range_prefix(prefix))

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return the keys of ``prefix`` that sort after a key."""
        return await self._read(lambda: self._model.range_page(prefix, after))

    async def transact(
        self,
        compares: tuple[ModRevisionIs, ...],
        operations: tuple[Put | Delete, ...],
    ) -> TransactionResult:
        """Execute ``operations`` atomically if all ``compares`` hold, else nothing."""
        return await self._write(lambda: self._model.transact(compares, operations))

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease."""
        return await self._write(lambda: self._model.grant_lease(ttl_seconds))

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds."""
        return await self._write(lambda: self._model.keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._write(lambda: self._model.revoke_lease(lease_id))

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled."""
        self._admit()
        watch = watch_model(self._model, prefix, start_revision, quiet_seconds)
        async with aclosing(watch) as batches:
            async for batch in batches:
                self._check_reachable()
                yield batch

    def _admit(self) -> None:
        self._check_reachable()
        self._model.injector.admit(self._model.now())

    def _check_reachable(self) -> None:
        if not self.reachable:
            raise KeyValueUnavailableError("no route to the store")

    async def _read(self, operation: Callable[[], ResultT]) -> ResultT:
        try:
            self._admit()
            return await self._exchange(operation, EmulatedWriteOutcome.ANSWERED)
        except DeadlineExceededError as error:
            raise KeyValueUnavailableError("no response to a read") from error

    async def _write(self, operation: Callable[[], ResultT]) -> ResultT:
        self._admit()
        outcome = self._model.injector.draw_write_outcome()
        try:
            return await self._exchange(operation, outcome)
        except DeadlineExceededError as error:
            raise KeyValueOutcomeUnknownError("no response to a write") from error

    async def _exchange(
        self, operation: Callable[[], ResultT], outcome: EmulatedWriteOutcome
    ) -> ResultT:
        """Send one operation and wait for its response.

        Raises:
            DeadlineExceededError: No response in time; the operation may take effect later.
        """
        response: asyncio.Future[ResultT] = asyncio.get_running_loop().create_future()
        if not self._is_delayed() and outcome is EmulatedWriteOutcome.ANSWERED:
            return operation()
        task = asyncio.get_running_loop().create_task(self._serve(operation, outcome, response))
        self._in_flight[task] = None
        task.add_done_callback(lambda done: self._in_flight.pop(done, None))
        return await self._clock.wait_for(response, self._timeout_seconds)

    def _is_delayed(self) -> bool:
        faults = self._model.injector.faults
        return faults.request_delay_seconds > 0 or faults.answer_delay_seconds > 0

    async def _serve(
        self,
        operation: Callable[[], ResultT],
        outcome: EmulatedWriteOutcome,
        response: asyncio.Future[ResultT],
    ) -> None:
        """Execute one operation as the store would, whether or not the client still waits."""
        faults = self._model.injector.faults
        clock = self._model.clock
        await clock.sleep(faults.request_delay_seconds)
        if outcome is EmulatedWriteOutcome.REQUEST_LOST:
            return
        try:
            self._model.injector.check_outage()
            result = operation()
        except Exception as error:
            await clock.sleep(faults.answer_delay_seconds)
            if outcome is EmulatedWriteOutcome.ANSWERED and not response.done():
                response.set_exception(error)
            return
        await clock.sleep(faults.answer_delay_seconds)
        if outcome is EmulatedWriteOutcome.ANSWERED and not response.done():
            response.set_result(result)
