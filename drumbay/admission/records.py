"""Admission requests, decisions about them, and the capacity of a service."""

from enum import StrEnum

import msgspec

from drumbay.exceptions import UnavailableError
from drumbay.placement.regions import ANY_REGION, AllowedRegions


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """A request to be admitted to a service.

    Compared by identity, since callers choose the request ids and may reuse one.

    Attributes:
        request_id: Id given by the caller.
        flow: Unit of fair sharing: the tenant, or the caller where there are no tenants.
        rank: Priority level; 0 goes first.
        arrived_at: Monotonic time of arrival.
        deadline: Monotonic time by which the caller needs the response.
        is_reward: Whether it is a reward request of a batch job.
        batch_started_at: Monotonic submission time of a reward request's batch job; the oldest job
            goes first.
        batch_priority: Priority of that batch job; for equal times, smaller values go first.
        allowed_regions: The regions in which it may run.
    """

    request_id: str
    flow: str
    rank: int
    arrived_at: float
    deadline: float
    is_reward: bool = False
    batch_started_at: float = 0.0
    batch_priority: int = 0
    allowed_regions: AllowedRegions = ANY_REGION

    @property
    def order_in_flow(self) -> tuple[float, int, float, float]:
        """Return the sort key of the request within its flow."""
        return (self.batch_started_at, self.batch_priority, self.deadline, self.arrived_at)


class RejectionReason(StrEnum):
    """Why a request was rejected."""

    QUEUE_TOO_LONG = "queue_too_long"
    """Its predicted wait exceeds the longest allowed wait."""

    WAITED_TOO_LONG = "waited_too_long"
    """It was queued and exceeded the longest allowed wait."""

    NO_WORKER_IN_SERVICE = "no_worker_in_service"
    """Every worker of the service is in an evacuated zone or outside the allowed regions."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request may be sent now."""

    request: AdmissionRequest


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits in the queue."""

    request: AdmissionRequest


class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """The request is rejected; the other fields hold the inputs and outcome of the decision."""

    request: AdmissionRequest
    reason: RejectionReason
    predicted_wait_seconds: float
    retry_after_seconds: float
    queue_length: int
    limit: int


class AdmissionRejectedError(UnavailableError):
    """A request was not admitted.

    Attributes:
        decision: The reason, and when the caller should retry.
    """

    code = "admission_rejected"

    def __init__(self, decision: Rejected) -> None:
        """Store the decision."""
        super().__init__(decision.reason)
        self.decision = decision


class ServiceCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a service's workers, as known to this node.

    Attributes:
        available_workers: Workers that accept requests now.
        max_in_flight: Requests that this node may have in flight at the available and the briefly
            paused workers, given the load from other nodes.
        pause_ends_at: When the first pause of a worker ends; ``None`` if no worker is paused.
        report_age_seconds: Age of the newest load report; infinite if there is none.
        regions: Regions of the workers outside evacuated zones; ``None`` if no worker is known.
    """

    available_workers: int
    max_in_flight: int
    pause_ends_at: float | None
    report_age_seconds: float
    regions: frozenset[str] | None = None

    def lacks_workers_for(self, request: AdmissionRequest) -> bool:
        """Return whether the service has workers, but none in service for the request."""
        if self.regions is None:
            return False
        return not any(request.allowed_regions.permits(region) for region in self.regions)
