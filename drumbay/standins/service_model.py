"""Emulated request/response service.

A :class:`ServiceOperation` implements the request itself, such as a stock lookup, a booking or
a score. The service adds queueing, service times, crashes, freezes and faults. It does not
deduplicate requests.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from drumbay.backends.interface import (
    ApplicationRequest,
    ApplicationResponse,
    BackendError,
    BackendNotReachedError,
    BackendRefusedError,
    ExchangeBrokenError,
)
from drumbay.clock import Clock
from drumbay.identifiers import BackendId, BootId
from drumbay.standins.batch_slots import BatchSlots, Ticket
from drumbay.standins.execution_log import AnyExecutionRecord, ApplicationRefused, ExecutionLog
from drumbay.standins.faults import FaultKind, FaultSwitches
from drumbay.standins.process_context import ProcessContext

SERVICE_FAULTS = (
    FaultKind.CROSSED_ANSWER,
    FaultKind.TRUNCATED_ANSWER,
    FaultKind.LATE_ANSWER,
    FaultKind.SLOW,
    FaultKind.CRASH_AFTER_EFFECT,
)


class ServiceParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and times of an emulated service.

    Attributes:
        max_running: Maximum number of concurrent requests.
        max_waiting: Maximum queue length; further requests are refused as overloaded.
        service_seconds: Mean service time; service times are exponentially distributed.
        late_answer_seconds: Response delay with the fault ``late_answer``.
        overload_retry_seconds: ``Retry-After`` value of an overload refusal.
    """

    max_running: int = 8
    max_waiting: int = 64
    service_seconds: float = 0.02
    late_answer_seconds: float = 5.0
    overload_retry_seconds: float = 0.5


class TruncatedResponseError(ExchangeBrokenError):
    """Only a part of the response is sent.

    Attributes:
        response: The complete response, of which a server sends a part.
    """

    code = "truncated_answer"

    def __init__(self, response: ApplicationResponse) -> None:
        """Store the complete response."""
        super().__init__("the answer was cut off")
        self.response = response


class ExecutionContext(msgspec.Struct, frozen=True, kw_only=True):
    """Time and process of an execution, for its log record."""

    time_seconds: float
    source: str
    boot_id: BootId


class ServiceResult(msgspec.Struct, frozen=True, kw_only=True):
    """Response of an operation and the log record of its execution."""

    response: ApplicationResponse
    record: AnyExecutionRecord


class ServiceOperation(Protocol):
    """Implementation of the requests of a service."""

    def rejection_reason(self, request: ApplicationRequest) -> str | None:
        """Return why a request is invalid, or ``None``."""
        ...

    def execute(self, context: ExecutionContext, request: ApplicationRequest) -> ServiceResult:
        """Execute a request; called once per execution."""
        ...


class _ProcessState:
    """State of one process, lost when it crashes."""

    def __init__(self, boot_id: BootId, max_running: int) -> None:
        self.boot_id = boot_id
        self.ended = False
        self.slots = BatchSlots(max_running, lambda: None)
        self.pending: dict[asyncio.Future[ApplicationResponse], asyncio.Task[None]] = {}
        self.previous_response: ApplicationResponse | None = None


class ServiceModel:
    """Emulated service across restarts of its process."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        operation: ServiceOperation,
        random_source: random.Random,
        parameters: ServiceParameters | None = None,
    ) -> None:
        """Create a service with a running process."""
        self._parameters = parameters or ServiceParameters()
        self._context = ProcessContext(clock, backend_id, random_source, SERVICE_FAULTS)
        self._operation = operation
        self._process = _ProcessState(self._context.start_run(), self._parameters.max_running)

    @property
    def backend_id(self) -> BackendId:
        """Name of the service."""
        return self._context.backend_id

    @property
    def log(self) -> ExecutionLog:
        """Execution log of the service."""
        return self._context.log

    @property
    def faults(self) -> FaultSwitches:
        """Injectable faults."""
        return self._context.faults

    @property
    def boot_id(self) -> BootId:
        """Identity of the current or last process."""
        return self._process.boot_id

    @property
    def crashed(self) -> bool:
        """Whether the process is down."""
        return self._process.ended

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._process.slots.running

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._process.slots.waiting

    def set_crash_callback(self, on_crash: Callable[[], None]) -> None:
        """Set the function that is called when the process crashes."""
        self._context.on_crash = on_crash

    def crash(self) -> None:
        """Crash the process; every exchange breaks, but effects of executed requests stay."""
        process = self._process
        if process.ended:
            return
        process.ended = True
        self._context.log_crash(process.boot_id)
        for response, task in list(process.pending.items()):
            self._complete(process, response, ExchangeBrokenError("the service died"))
            if task is not asyncio.current_task():
                task.cancel()
        # Wakes callers that wait for a frozen process, so that they see the crash.
        self._context.resume()

    def restart(self) -> None:
        """Restart the process."""
        self.crash()
        self._process = _ProcessState(self._context.start_run(), self._parameters.max_running)

    def freeze(self) -> None:
        """Pause all work; requests are still accepted but get no response."""
        self._context.freeze()

    def resume(self) -> None:
        """Resume the work of a frozen process."""
        self._context.resume()

    async def close(self) -> None:
        """Stop the process and all background tasks."""
        self.crash()
        await self._context.tasks.close()

    async def exchange(self, request: ApplicationRequest) -> ApplicationResponse:
        """Run a request; it continues when the caller stops waiting.

        Raises:
            BackendNotReachedError: The process is down.
            BackendRefusedError: The service rejected the request.
            ExchangeBrokenError: The response was lost; the request may have run.
        """
        process = self._process
        if process.ended:
            raise BackendNotReachedError(f"{self.backend_id} is down")
        await self._context.freeze_gate.wait_open()
        if process.ended:
            raise ExchangeBrokenError(f"{self.backend_id} died")
        self._check_admission(process, request)
        response: asyncio.Future[ApplicationResponse] = asyncio.get_running_loop().create_future()
        # Marks the exception as retrieved even if the caller has stopped waiting.
        response.add_done_callback(asyncio.Future.exception)
        ticket = process.slots.enqueue(0)
        task = self._context.tasks.spawn(
            self._serve(process, request, ticket, response), f"exchange-{request.attempt_id}"
        )
        process.pending[response] = task
        return await asyncio.shield(response)

    def _check_admission(self, process: _ProcessState, request: ApplicationRequest) -> None:
        reason = self._operation.rejection_reason(request)
        retry_after: float | None = None
        if process.slots.full and process.slots.waiting >= self._parameters.max_waiting:
            reason = "overloaded"
            retry_after = self._parameters.overload_retry_seconds
        if reason is None:
            return
        self.log.append(
            ApplicationRefused(
                time_seconds=self._context.clock.monotonic(),
                source=self.backend_id,
                boot_id=process.boot_id,
                attempt_id=request.attempt_id,
                idempotency_key=request.idempotency_key,
                reason=reason,
            )
        )
        raise BackendRefusedError(reason, retry_after)

    async def _serve(
        self,
        process: _ProcessState,
        request: ApplicationRequest,
        ticket: Ticket,
        response: asyncio.Future[ApplicationResponse],
    ) -> None:
        try:
            await ticket.granted
            rate = 1.0 / self._parameters.service_seconds
            await self._context.work(self._context.random_source.expovariate(rate))
            result = self._execute(process, request)
        finally:
            process.slots.release(ticket)
        await self._respond(process, result, response)

    def _execute(self, process: _ProcessState, request: ApplicationRequest) -> ServiceResult:
        context = ExecutionContext(
            time_seconds=self._context.clock.monotonic(),
            source=self.backend_id,
            boot_id=process.boot_id,
        )
        result = self._operation.execute(context, request)
        self.log.append(result.record)
        return result

    async def _respond(
        self,
        process: _ProcessState,
        result: ServiceResult,
        response: asyncio.Future[ApplicationResponse],
    ) -> None:
        faults = self.faults
        if faults.should_inject(FaultKind.CRASH_AFTER_EFFECT):
            self.crash()
            return
        if faults.should_inject(FaultKind.LATE_ANSWER):
            await self._context.work(self._parameters.late_answer_seconds)
        if faults.should_inject(FaultKind.TRUNCATED_ANSWER):
            self._complete(process, response, TruncatedResponseError(result.response))
            return
        previous = process.previous_response
        process.previous_response = result.response
        if previous is not None and faults.should_inject(FaultKind.CROSSED_ANSWER):
            self._complete(process, response, previous)
            return
        self._complete(process, response, result.response)

    def _complete(
        self,
        process: _ProcessState,
        response: asyncio.Future[ApplicationResponse],
        result: ApplicationResponse | BackendError,
    ) -> None:
        process.pending.pop(response, None)
        if response.done():
            return
        if isinstance(result, BackendError):
            response.set_exception(result)
        else:
            response.set_result(result)
