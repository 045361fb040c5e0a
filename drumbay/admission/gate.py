"""Applies admission decisions: admits requests, lets them wait, or raises their rejection."""

import asyncio

from drumbay.admission.capacity import capacity_in_service
from drumbay.admission.records import (
    AdmissionRejectedError,
    AdmissionRequest,
    Admitted,
    Queued,
    Rejected,
    ServiceCapacity,
)
from drumbay.admission.service import ServiceAdmission
from drumbay.clock import Clock
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.workers.directory import WorkerDirectory

DISPATCH_INTERVAL_SECONDS = 0.02
"""Interval at which the queue is dispatched again, since pauses end and workers are added."""


class AdmissionGate:
    """Admission of the requests of one node to all services."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        placement: PlacementGate,
        metrics: ServingMetrics,
        *,
        is_enabled: bool,
    ) -> None:
        """Create a gate for the workers of a directory; a disabled gate admits every request.

        Only workers that are in service by ``placement`` are capacity.
        """
        self._is_enabled = is_enabled
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._metrics = metrics
        self._services: dict[str, _ServiceGate] = {}
        placement.evacuations.add_listener(self._dispatch)

    def _dispatch(self) -> None:
        for gate in self._services.values():
            gate.dispatch()

    def new_ticket(self, service: str, request: AdmissionRequest) -> "AdmissionTicket":
        """Return a ticket with which a request can be admitted to a service."""
        gate = self._services.get(service)
        if gate is None:
            gate = _ServiceGate(
                service, self._clock, self._directory, self._placement, self._metrics
            )
            self._services[service] = gate
        return AdmissionTicket(gate, request, is_enabled=self._is_enabled)


class AdmissionTicket:
    """Admission of one request; it must be released once the request has its final response."""

    def __init__(
        self, gate: "_ServiceGate", request: AdmissionRequest, *, is_enabled: bool
    ) -> None:
        """Create a ticket that is not admitted yet; a disabled one is admitted without a wait."""
        self.is_enabled = is_enabled
        self._gate = gate
        self._request = request
        self._is_in_flight = False

    async def acquire(self) -> None:
        """Wait until the request is admitted; no wait while the service has no limit.

        Raises:
            AdmissionRejectedError: The request cannot be served in time.
        """
        if not self.is_enabled:
            return
        await self._gate.acquire(self._request)
        self._is_in_flight = True

    async def reacquire(self) -> None:
        """Wait for admission again, after every worker refused the request without running it.

        Raises:
            AdmissionRejectedError: The request cannot be served in time.
        """
        self._is_in_flight = False
        await self._gate.reacquire(self._request)
        self._is_in_flight = True

    def release(self, latency_seconds: float | None) -> None:
        """End the request; ``latency_seconds`` is the worker's latency, if one responded."""
        if self._is_in_flight:
            self._is_in_flight = False
            self._gate.release(latency_seconds)


class _ServiceGate:
    """Admission to one service."""

    def __init__(
        self,
        service: str,
        clock: Clock,
        directory: WorkerDirectory,
        placement: PlacementGate,
        metrics: ServingMetrics,
    ) -> None:
        self._service = service
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._metrics = metrics
        self._admission = ServiceAdmission()
        self._waiters: dict[AdmissionRequest, asyncio.Future[Admitted | Rejected]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, request: AdmissionRequest) -> None:
        capacity = self._capacity() if self._admission.needs_capacity else None
        decision = self._admission.try_admit(request, self._clock.monotonic(), capacity)
        await self._apply(decision)

    async def reacquire(self, request: AdmissionRequest) -> None:
        decision = self._admission.requeue(request, self._clock.monotonic(), self._capacity())
        await self._apply(decision)

    def release(self, latency_seconds: float | None) -> None:
        if latency_seconds is None:
            self._admission.release()
        else:
            self._admission.complete(latency_seconds, self._clock.monotonic())
        self.dispatch()

    def _capacity(self) -> ServiceCapacity:
        records = self._directory.of_service(self._service)
        return capacity_in_service(records, self._placement, self._clock.monotonic())

    async def _apply(self, decision: Admitted | Queued | Rejected) -> None:
        request = decision.request
        if isinstance(decision, Queued):
            decision = await self._wait(request)
        if isinstance(decision, Rejected):
            self._report_rejection(decision)
            raise AdmissionRejectedError(decision)
        self._metrics.count_admitted(self._service, self._clock.monotonic() - request.arrived_at)

    async def _wait(self, request: AdmissionRequest) -> Admitted | Rejected:
        waiter: asyncio.Future[Admitted | Rejected]
        waiter = self._waiters[request] = asyncio.get_running_loop().create_future()
        self._report_queue_length()
        self._set_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon(request, waiter)
            raise
        finally:
            del self._waiters[request]
            self._report_queue_length()

    def _abandon(
        self, request: AdmissionRequest, waiter: "asyncio.Future[Admitted | Rejected]"
    ) -> None:
        """Remove a request whose caller disconnected, possibly just as it was admitted."""
        is_decided = waiter.done() and not waiter.cancelled()
        if not is_decided:
            self._admission.cancel(request, self._clock.monotonic())
        elif isinstance(waiter.result(), Admitted):
            self._admission.release()
        log_event(
            "admission_left",
            request=request.request_id,
            service=self._service,
            waited_seconds=round(self._clock.monotonic() - request.arrived_at, 4),
        )

    def _set_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(DISPATCH_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.dispatch()

    def dispatch(self) -> None:
        """Decide on the queued requests again, as the capacity has changed."""
        if not self._admission.queue_length:
            return
        for decision in self._admission.dispatch(self._clock.monotonic(), self._capacity()):
            waiter = self._waiters[decision.request]
            if not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, Admitted):
                # The caller disconnected, but its task has not run since.
                self._admission.release()
        if self._admission.queue_length:
            self._set_timer()

    def _report_queue_length(self) -> None:
        self._metrics.set_waiting(self._service, self._admission.queue_length)

    def _report_rejection(self, decision: Rejected) -> None:
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
            under_way=self._admission.in_flight,
            report_age_seconds=round(self._capacity().report_age_seconds, 3),
            retry_after_seconds=decision.retry_after_seconds,
        )
