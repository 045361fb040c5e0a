"""The key-value store straight on the in-process model, for simulations and tests."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import TypeVar

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    LONGEST_QUIET_SECONDS,
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
from drumbay.standins.kv_faults import WriteFate
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_watch import watch_model

ResultT = TypeVar("ResultT")

DEFAULT_TIMEOUT_SECONDS = 2.0


class MemoryKeyValueStore:
    """A client of the model; it acts out the faults as a client would meet them.

    Attributes:
        reachable: Whether this client reaches the service; others may while it does not.
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
            model: The service.
            clock: The client's clock.
            timeout_seconds: How long the client waits for an answer.
        """
        self.reachable = True
        self._model = model
        self._clock = clock
        self._timeout_seconds = timeout_seconds
        # NOTE: a request in flight takes effect even if its caller gave up; asyncio keeps
        # only weak references to tasks.
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
        """Carry out ``operations`` atomically if all ``compares`` hold, else nothing."""
        return await self._write(lambda: self._model.transact(compares, operations))

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease."""
        return await self._write(lambda: self._model.grant_lease(ttl_seconds))

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds."""
        return await self._write(lambda: self._model.keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        await self._write(lambda: self._model.revoke_lease(lease_id))

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = LONGEST_QUIET_SECONDS,
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
            raise KeyValueUnavailableError("no route to the service")

    async def _read(self, operation: Callable[[], ResultT]) -> ResultT:
        try:
            self._admit()
            return await self._exchange(operation, WriteFate.ANSWERED)
        except DeadlineExceededError as error:
            raise KeyValueUnavailableError("no answer to a read") from error

    async def _write(self, operation: Callable[[], ResultT]) -> ResultT:
        self._admit()
        fate = self._model.injector.draw_write_fate()
        try:
            return await self._exchange(operation, fate)
        except DeadlineExceededError as error:
            raise KeyValueOutcomeUnknownError("no answer to a write") from error

    async def _exchange(self, operation: Callable[[], ResultT], fate: WriteFate) -> ResultT:
        """Send one operation and wait for its answer.

        Raises:
            DeadlineExceededError: No answer in time; the operation may take effect later.
        """
        answer: asyncio.Future[ResultT] = asyncio.get_running_loop().create_future()
        if not self._is_delayed() and fate is WriteFate.ANSWERED:
            return operation()
        task = asyncio.get_running_loop().create_task(self._serve(operation, fate, answer))
        self._in_flight[task] = None
        task.add_done_callback(lambda done: self._in_flight.pop(done, None))
        return await self._clock.wait_for(answer, self._timeout_seconds)

    def _is_delayed(self) -> bool:
        faults = self._model.injector.faults
        return faults.request_delay_seconds > 0 or faults.answer_delay_seconds > 0

    async def _serve(
        self,
        operation: Callable[[], ResultT],
        fate: WriteFate,
        answer: asyncio.Future[ResultT],
    ) -> None:
        """Act as the service for one operation, whether or not the client still waits."""
        faults = self._model.injector.faults
        clock = self._model.clock
        await clock.sleep(faults.request_delay_seconds)
        if fate is WriteFate.REQUEST_LOST:
            return
        try:
            self._model.injector.check_outage()
            result = operation()
        except Exception as error:
            await clock.sleep(faults.answer_delay_seconds)
            if fate is WriteFate.ANSWERED and not answer.done():
                answer.set_exception(error)
            return
        await clock.sleep(faults.answer_delay_seconds)
        if fate is WriteFate.ANSWERED and not answer.done():
            answer.set_result(result)
