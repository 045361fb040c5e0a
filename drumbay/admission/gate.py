"""Performs the decisions about admission: requests wait here for their turn."""

import asyncio

from drumbay.admission.records import (
    AdmissionRejectedError,
    AdmissionRequest,
    Admitted,
    Queued,
    Rejected,
    ServiceRoom,
)
from drumbay.admission.room import room_of
from drumbay.admission.service import ServiceAdmission
from drumbay.clock import Clock
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.workers.directory import WorkerDirectory

ADVANCE_INTERVAL_SECONDS = 0.02
"""While requests wait, the node looks so often whether pauses have ended or workers have come: a
lookup takes about as long."""


class AdmissionGate:
    """The requests of one node that wait for services, and those that are under way."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        metrics: ServingMetrics,
        *,
        is_enabled: bool,
    ) -> None:
        """Create a gate before the workers of a directory; one that is disabled stands open."""
        self._is_enabled = is_enabled
        self._clock = clock
        self._directory = directory
        self._metrics = metrics
        self._services: dict[str, _ServiceGate] = {}

    def ask(self, service: str, request: AdmissionRequest) -> "AdmissionPass":
        """Return a pass with which a request can go out to a service."""
        gate = self._services.get(service)
        if gate is None:
            gate = _ServiceGate(service, self._clock, self._directory, self._metrics)
            self._services[service] = gate
        return AdmissionPass(gate, request, is_enabled=self._is_enabled)


class AdmissionPass:
    """One request at the gate; it is closed when the request has its final answer."""

    def __init__(
        self, gate: "_ServiceGate", request: AdmissionRequest, *, is_enabled: bool
    ) -> None:
        """Create one that has not asked yet; one that is not enabled need not ask."""
        self.is_enabled = is_enabled
        self._gate = gate
        self._request = request
        self._is_under_way = False

    async def enter(self) -> None:
        """Return when the request may go out: at once, while the service has no limit.

        Raises:
            AdmissionRejectedError: It can't be served in time.
        """
        if not self.is_enabled:
            return
        await self._gate.enter(self._request)
        self._is_under_way = True

    async def enter_again(self) -> None:
        """Wait anew for a turn: every worker has refused the request, which has not run.

        Raises:
            AdmissionRejectedError: It can't be served in time.
        """
        self._is_under_way = False
        await self._gate.enter_again(self._request)
        self._is_under_way = True

    def close(self, answer_seconds: float | None) -> None:
        """Give the place back, with the time a worker took if one answered."""
        if self._is_under_way:
            self._is_under_way = False
            self._gate.close(answer_seconds)


class _ServiceGate:
    """The gate before one service."""

    def __init__(
        self, service: str, clock: Clock, directory: WorkerDirectory, metrics: ServingMetrics
    ) -> None:
        self._service = service
        self._clock = clock
        self._directory = directory
        self._metrics = metrics
        self._admission = ServiceAdmission()
        self._waiters: dict[AdmissionRequest, asyncio.Future[Admitted | Rejected]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def enter(self, request: AdmissionRequest) -> None:
        room = self._room() if self._admission.needs_room else None
        decision = self._admission.arrive(request, self._clock.monotonic(), room)
        await self._carry_out(decision)

    async def enter_again(self, request: AdmissionRequest) -> None:
        decision = self._admission.take_back(request, self._clock.monotonic(), self._room())
        await self._carry_out(decision)

    def close(self, answer_seconds: float | None) -> None:
        if answer_seconds is None:
            self._admission.ended()
        else:
            self._admission.answered(answer_seconds, self._clock.monotonic())
        self._advance()

    def _room(self) -> ServiceRoom:
        records = self._directory.of_service(self._service)
        return room_of(records, self._clock.monotonic())

    async def _carry_out(self, decision: Admitted | Queued | Rejected) -> None:
        request = decision.request
        if isinstance(decision, Queued):
            decision = await self._wait(request)
        if isinstance(decision, Rejected):
            self._note_rejected(decision)
            raise AdmissionRejectedError(decision)
        self._metrics.count_admitted(self._service, self._clock.monotonic() - request.arrived_at)

    async def _wait(self, request: AdmissionRequest) -> Admitted | Rejected:
        waiter: asyncio.Future[Admitted | Rejected]
        waiter = self._waiters[request] = asyncio.get_running_loop().create_future()
        self._note_waiting()
        self._set_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._take_out(request, waiter)
            raise
        finally:
            del self._waiters[request]
            self._note_waiting()

    def _take_out(
        self, request: AdmissionRequest, waiter: "asyncio.Future[Admitted | Rejected]"
    ) -> None:
        """Let a request go whose caller has left, also in the moment of its admission."""
        is_decided = waiter.done() and not waiter.cancelled()
        if not is_decided:
            self._admission.leave(request, self._clock.monotonic())
        elif isinstance(waiter.result(), Admitted):
            self._admission.ended()
        log_event(
            "admission_left",
            request=request.request_id,
            service=self._service,
            waited_seconds=round(self._clock.monotonic() - request.arrived_at, 4),
        )

    def _set_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(ADVANCE_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()

    def _advance(self) -> None:
        if not self._admission.waiting:
            return
        for decision in self._admission.advance(self._clock.monotonic(), self._room()):
            waiter = self._waiters[decision.request]
            if not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, Admitted):
                # Its caller has left, and its task has not run since.
                self._admission.ended()
        if self._admission.waiting:
            self._set_timer()

    def _note_waiting(self) -> None:
        self._metrics.set_waiting(self._service, self._admission.waiting)

    def _note_rejected(self, decision: Rejected) -> None:
        request = decision.request
        self._metrics.count_rejected(self._service, decision.reason, request.rank)
        log_event(
            "admission_rejected",
            level="WARNING",
            request=request.request_id,
            service=self._service,
            reason=decision.reason,
            rank=request.rank,
            reward=request.is_reward,
            waited_seconds=round(self._clock.monotonic() - request.arrived_at, 4),
            predicted_wait_seconds=round(decision.predicted_wait_seconds, 4),
            queue_length=decision.queue_length,
            limit=decision.limit,
            under_way=self._admission.under_way,
            report_age_seconds=round(self._room().report_age_seconds, 3),
            retry_after_seconds=decision.retry_after_seconds,
        )
