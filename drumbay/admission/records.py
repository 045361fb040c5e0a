"""A request that asks to go out to a service, and what is decided about it."""

from enum import StrEnum

import msgspec

from drumbay.exceptions import UnavailableError


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """A request on its way to a service; times are monotonic seconds.

    Each is equal to itself only: callers choose the ids, and may use one twice.

    Requests of one ``flow`` share one part of the service: those of a tenant, or of a caller where
    there are no tenants. ``rank`` 0 goes first. Of reward requests, those of the batch job that
    began first (``batch_started_at``) go first, then the smaller ``batch_priority``.
    """

    request_id: str
    flow: str
    rank: int
    arrived_at: float
    deadline: float
    is_reward: bool = False
    batch_started_at: float = 0.0
    batch_priority: int = 0

    @property
    def order_in_flow(self) -> tuple[float, int, float, float]:
        """Return the key by which the requests of one flow follow each other."""
        return (self.batch_started_at, self.batch_priority, self.deadline, self.arrived_at)


class RejectionReason(StrEnum):
    """Why a request is not served."""

    QUEUE_TOO_LONG = "queue_too_long"
    """By the time the queue ahead is served, it would have waited too long."""

    WAITED_TOO_LONG = "waited_too_long"
    """No place came up for it in time."""


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request goes out now."""

    request: AdmissionRequest


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits."""

    request: AdmissionRequest


class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """The request gets its final answer now, with what the decision was based on."""

    request: AdmissionRequest
    reason: RejectionReason
    predicted_wait_seconds: float
    retry_after_seconds: float
    queue_length: int
    limit: int


class AdmissionRejectedError(UnavailableError):
    """A request was not admitted.

    Attributes:
        decision: Why, and when its caller should come back.
    """

    code = "admission_rejected"

    def __init__(self, decision: Rejected) -> None:
        """Store the decision."""
        super().__init__(decision.reason)
        self.decision = decision


class ServiceRoom(msgspec.Struct, frozen=True, kw_only=True):
    """What a service's workers bear, as far as this node knows.

    ``available_workers`` take requests now. ``places`` is how many requests this node may have at
    those and at the ones that pause for a moment, beside other nodes. ``pause_ends_at`` is when the
    first of those that pause may be asked again, ``None`` if none pauses; ``report_age_seconds`` is
    the age of the newest load report, infinite without one.
    """

    available_workers: int
    places: int
    pause_ends_at: float | None
    report_age_seconds: float
