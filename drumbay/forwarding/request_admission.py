"""Admission of one request to a service with limited concurrency."""

from collections.abc import Awaitable

from drumbay.admission.gate import AdmissionGate
from drumbay.admission.records import AdmissionRejectedError, AdmissionRequest
from drumbay.exceptions import Execution
from drumbay.forwarding.records import ClientRequest, NoWorkerError
from drumbay.placement.regions import AllowedRegions


class RequestAdmission:
    """Waits for admission of a request and releases its slot when it is finished."""

    def __init__(
        self,
        gate: AdmissionGate,
        service: str,
        request: ClientRequest,
        arrived_at: float,
        deadline: float,
        allowed_regions: AllowedRegions,
    ) -> None:
        """Create an unadmitted request. Times are monotonic."""
        self._ticket = gate.new_ticket(
            service, _admission_request(request, arrived_at, deadline, allowed_regions)
        )

    @property
    def is_limited(self) -> bool:
        """Return whether admission control is enabled, so that refused requests can queue again."""
        return self._ticket.is_enabled

    async def acquire(self) -> None:
        """Wait for the first admission.

        Raises:
            NoWorkerError: The request can't be served before its deadline; it has not run.
        """
        await _translate_rejection(self._ticket.acquire())

    async def reacquire(self) -> None:
        """Wait for another admission after all workers have refused the request.

        Raises:
            NoWorkerError: The request can't be served before its deadline; it has not run.
        """
        await _translate_rejection(self._ticket.reacquire())

    def close(self, response_seconds: float | None) -> None:
        """Release the slot; ``response_seconds`` is the response time of a successful attempt."""
        self._ticket.release(response_seconds)


async def _translate_rejection(acquisition: Awaitable[None]) -> None:
    try:
        await acquisition
    except AdmissionRejectedError as error:
        raise NoWorkerError(
            f"not admitted: {error.decision.reason}",
            execution=Execution.NOT_RUN,
            retry_after_seconds=error.decision.retry_after_seconds,
        ) from error


def _admission_request(
    request: ClientRequest, arrived_at: float, deadline: float, allowed_regions: AllowedRegions
) -> AdmissionRequest:
    order = request.reward_order
    return AdmissionRequest(
        request_id=request.request_id,
        flow="" if order is not None else request.tenant or request.caller_address,
        rank=request.priority,
        arrived_at=arrived_at,
        deadline=deadline,
        is_reward=order is not None,
        batch_started_at=order.batch_started_at if order is not None else 0.0,
        batch_priority=order.batch_priority if order is not None else 0,
        allowed_regions=allowed_regions,
    )
