"""The turn of one request at its service, where admission limits what is under way."""

from collections.abc import Awaitable

from drumbay.admission.gate import AdmissionGate
from drumbay.admission.records import AdmissionRejectedError, AdmissionRequest
from drumbay.exceptions import Execution
from drumbay.forwarding.records import ClientRequest, NoWorkerError


class ServiceTurn:
    """Waits for a request's turns, and gives its place back when it has its final answer."""

    def __init__(
        self,
        gate: AdmissionGate,
        service: str,
        request: ClientRequest,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Create one that has not asked yet. Times are monotonic."""
        self._pass = gate.ask(service, _admission_request(request, arrived_at, deadline))

    @property
    def is_limited(self) -> bool:
        """Return whether requests that workers refuse may wait for another turn."""
        return self._pass.is_enabled

    async def take(self) -> None:
        """Wait for the first turn.

        Raises:
            NoWorkerError: The request can't be served in time; it has not run.
        """
        await _admitted(self._pass.enter())

    async def take_another(self) -> None:
        """Wait for another turn, after every worker has refused the request.

        Raises:
            NoWorkerError: The request can't be served in time; it has not run.
        """
        await _admitted(self._pass.enter_again())

    def close(self, answer_seconds: float | None) -> None:
        """Give the place back, with the time that a worker took if one has answered."""
        self._pass.close(answer_seconds)


async def _admitted(turn: Awaitable[None]) -> None:
    try:
        await turn
    except AdmissionRejectedError as error:
        raise NoWorkerError(
            f"not admitted: {error.decision.reason}",
            execution=Execution.NOT_RUN,
            retry_after_seconds=error.decision.retry_after_seconds,
        ) from error


def _admission_request(
    request: ClientRequest, arrived_at: float, deadline: float
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
    )
