"""An emulated request/answer service: the process around an operation.

The operation itself (a stock lookup, a booking, a score) is a :class:`ServiceOperation`.
The process adds queueing, service times, crashes, freezes and faults. It does not
deduplicate: whatever reaches it, runs.
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
        max_running: Requests that run together.
        max_waiting: Requests that may queue; more are refused as overloaded.
        service_seconds: Mean time of one execution; times are exponentially distributed.
        late_answer_seconds: Delay of an answer under the fault ``late_answer``.
        overload_retry_seconds: Retry time given with a refusal.
    """

    max_running: int = 8
    max_waiting: int = 64
    service_seconds: float = 0.02
    late_answer_seconds: float = 5.0
    overload_retry_seconds: float = 0.5


class TruncatedAnswerError(ExchangeBrokenError):
    """Only a part of the answer arrives.

    Attributes:
        answer: The whole answer, of which a server sends a part.
    """

    code = "truncated_answer"

    def __init__(self, answer: ApplicationResponse) -> None:
        """Store the whole answer."""
        super().__init__("the answer was cut off")
        self.answer = answer


class ExecutionContext(msgspec.Struct, frozen=True, kw_only=True):
    """Where and when an operation runs, for its log record."""

    time_seconds: float
    source: str
    boot_id: BootId


class ServiceResult(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an operation, and the record of its execution."""

    answer: ApplicationResponse
    record: AnyExecutionRecord


class ServiceOperation(Protocol):
    """What a service does with a request."""

    def rejection(self, request: ApplicationRequest) -> str | None:
        """Return why a request cannot be run at all, or ``None``."""
        ...

    def execute(self, context: ExecutionContext, request: ApplicationRequest) -> ServiceResult:
        """Run one request; called once for each execution."""
        ...


class _Run:
    """What the death of the process loses."""

    def __init__(self, boot_id: BootId, max_running: int) -> None:
        self.boot_id = boot_id
        self.ended = False
        self.slots = BatchSlots(max_running, lambda: None)
        self.pending: dict[asyncio.Future[ApplicationResponse], asyncio.Task[None]] = {}
        self.previous_answer: ApplicationResponse | None = None


class ServiceModel:
    """One emulated service over all runs of its process."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        operation: ServiceOperation,
        random_source: random.Random,
        parameters: ServiceParameters | None = None,
    ) -> None:
        """Create a service whose process has started."""
        self._parameters = parameters or ServiceParameters()
        self._context = ProcessContext(clock, backend_id, random_source, SERVICE_FAULTS)
        self._operation = operation
        self._run = _Run(self._context.start_run(), self._parameters.max_running)

    @property
    def backend_id(self) -> BackendId:
        """Name of the service."""
        return self._context.backend_id

    @property
    def log(self) -> ExecutionLog:
        """What the service truly did."""
        return self._context.log

    @property
    def faults(self) -> FaultSwitches:
        """Switchable faults."""
        return self._context.faults

    @property
    def boot_id(self) -> BootId:
        """Identity of the current or last run of the process."""
        return self._run.boot_id

    @property
    def crashed(self) -> bool:
        """Whether the process is down."""
        return self._run.ended

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._run.slots.running

    @property
    def waiting(self) -> int:
        """Requests that queue now."""
        return self._run.slots.waiting

    def watch_crashes(self, on_crash: Callable[[], None]) -> None:
        """Have ``on_crash`` called whenever the process dies."""
        self._context.on_crash = on_crash

    def crash(self) -> None:
        """End the process at once; every exchange breaks. Effects that happened stay."""
        run = self._run
        if run.ended:
            return
        run.ended = True
        self._context.log_crash(run.boot_id)
        for answer, task in list(run.pending.items()):
            self._settle(run, answer, ExchangeBrokenError("the service died"))
            if task is not asyncio.current_task():
                task.cancel()
        # NOTE: whoever waits for a frozen process must see that it died.
        self._context.thaw()

    def restart(self) -> None:
        """Start the process again."""
        self.crash()
        self._run = _Run(self._context.start_run(), self._parameters.max_running)

    def freeze(self) -> None:
        """Stop all work; requests are taken from the network but nothing is answered."""
        self._context.freeze()

    def thaw(self) -> None:
        """Let a frozen process go on where it stood."""
        self._context.thaw()

    async def close(self) -> None:
        """End the process and all background tasks."""
        self.crash()
        await self._context.tasks.close()

    async def exchange(self, request: ApplicationRequest) -> ApplicationResponse:
        """Run one request; the work goes on when the caller stops waiting.

        Raises:
            BackendNotReachedError: The process is down.
            BackendRefusedError: The service will not run the request.
            ExchangeBrokenError: The answer was lost; the request may have run.
        """
        run = self._run
        if run.ended:
            raise BackendNotReachedError(f"{self.backend_id} is down")
        await self._context.freeze_gate.passed()
        if run.ended:
            raise ExchangeBrokenError(f"{self.backend_id} died")
        self._check_accepted(run, request)
        answer: asyncio.Future[ApplicationResponse] = asyncio.get_running_loop().create_future()
        # NOTE: an error that no caller waits for any more is not an unhandled one.
        answer.add_done_callback(asyncio.Future.exception)
        ticket = run.slots.enqueue(0)
        task = self._context.tasks.spawn(
            self._serve(run, request, ticket, answer), f"exchange-{request.attempt_id}"
        )
        run.pending[answer] = task
        return await asyncio.shield(answer)

    def _check_accepted(self, run: _Run, request: ApplicationRequest) -> None:
        reason = self._operation.rejection(request)
        retry_after: float | None = None
        if run.slots.full and run.slots.waiting >= self._parameters.max_waiting:
            reason = "overloaded"
            retry_after = self._parameters.overload_retry_seconds
        if reason is None:
            return
        self.log.append(
            ApplicationRefused(
                time_seconds=self._context.clock.monotonic(),
                source=self.backend_id,
                boot_id=run.boot_id,
                attempt_id=request.attempt_id,
                idempotency_key=request.idempotency_key,
                reason=reason,
            )
        )
        raise BackendRefusedError(reason, retry_after)

    async def _serve(
        self,
        run: _Run,
        request: ApplicationRequest,
        ticket: Ticket,
        answer: asyncio.Future[ApplicationResponse],
    ) -> None:
        try:
            await ticket.granted
            rate = 1.0 / self._parameters.service_seconds
            await self._context.work(self._context.random_source.expovariate(rate))
            result = self._execute(run, request)
        finally:
            run.slots.leave(ticket)
        await self._answer(run, result, answer)

    def _execute(self, run: _Run, request: ApplicationRequest) -> ServiceResult:
        context = ExecutionContext(
            time_seconds=self._context.clock.monotonic(),
            source=self.backend_id,
            boot_id=run.boot_id,
        )
        result = self._operation.execute(context, request)
        self.log.append(result.record)
        return result

    async def _answer(
        self, run: _Run, result: ServiceResult, answer: asyncio.Future[ApplicationResponse]
    ) -> None:
        faults = self.faults
        if faults.strikes(FaultKind.CRASH_AFTER_EFFECT):
            self.crash()
            return
        if faults.strikes(FaultKind.LATE_ANSWER):
            await self._context.work(self._parameters.late_answer_seconds)
        if faults.strikes(FaultKind.TRUNCATED_ANSWER):
            self._settle(run, answer, TruncatedAnswerError(result.answer))
            return
        previous = run.previous_answer
        run.previous_answer = result.answer
        if previous is not None and faults.strikes(FaultKind.CROSSED_ANSWER):
            self._settle(run, answer, previous)
            return
        self._settle(run, answer, result.answer)

    def _settle(
        self,
        run: _Run,
        answer: asyncio.Future[ApplicationResponse],
        result: ApplicationResponse | BackendError,
    ) -> None:
        run.pending.pop(answer, None)
        if answer.done():
            return
        if isinstance(result, BackendError):
            answer.set_exception(result)
        else:
            answer.set_result(result)
