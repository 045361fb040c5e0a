"""Faults and log records of emulated workers."""

import math

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.tenants.records import TenantName
from drumbay.workers.records import LoadOrder, OrderOutcome, WorkerIncarnation


class WorkerFaults(msgspec.Struct, kw_only=True):
    """Active faults of a worker; the default is a healthy worker.

    Attributes:
        unreachable: The worker does not respond and accepts no connections.
        stands_still: Calls reach the process, which goes on with them when it does.
        slowdown: Factor applied to every duration.
        break_after_events: Number of events after which each stream breaks.
        lose_responses: Run requests, but break the connection before the response.
        lost_answer_share: Share of the runs of streams whose connection breaks in place of any
            answer.
        spoilt_answer_share: Share of the runs of streams that bytes of no answer answer.
        spoils_failures: Whether bytes of no answer come in place of all failures of streams.
        closes_idle_connections: Run requests that come over idle connections, but close these
            before the response.
        failing: Fail every run.
        rejecting: Reject every stream request as invalid.
        failure_delay_seconds: Time until the caller gets the answer to a stream that failed.
        full: Refuse every request without running it.
        orders_unanswered: Orders get no response.
        orders_late_seconds: Delay after which unanswered orders are executed; never if 0.
    """

    unreachable: bool = False
    stands_still: bool = False
    slowdown: float = 1.0
    break_after_events: int | None = None
    lose_responses: bool = False
    lost_answer_share: float = 0.0
    spoilt_answer_share: float = 0.0
    spoils_failures: bool = False
    closes_idle_connections: bool = False
    failing: bool = False
    rejecting: bool = False
    failure_delay_seconds: float = 0.0
    full: bool = False
    orders_unanswered: bool = False
    orders_late_seconds: float = 0.0


class LoggedRun(msgspec.Struct, kw_only=True):
    """Execution of a request by a worker.

    ``failed_with`` is the HTTP status with which the worker failed it, if it did.
    """

    worker_id: BackendId
    worker_started_at_ms: int = 0
    request_id: str
    started_at: float
    budget_seconds: float
    resume_after: int | None = None
    tenant: TenantName | None = None
    headers: tuple[tuple[str, str], ...] = ()
    ended_at: float | None = None
    events: int = 0
    versions: list[WeightVersion] = []
    failed_with: int | None = None

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Return the incarnation of the worker."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.worker_started_at_ms)

    @property
    def stamp(self) -> str:
        """Return the worker's unique stamp for this run."""
        return f"{self.worker_id}/{self.request_id}/{self.started_at}"


class LoggedArrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that reached its worker, whether or not the worker ran it.

    ``cold_seconds`` is the time since the worker turned cold, 0 if it is not cold.
    ``budget_seconds`` is the time left by the deadline handed over, infinite without a deadline.
    """

    worker_id: BackendId
    service: str
    zone: str
    request_id: str
    target: str
    at: float
    tenant: TenantName | None = None
    is_cold: bool = False
    cold_seconds: float = 0.0
    budget_seconds: float = math.inf


class LoggedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order received by a worker."""

    worker_id: BackendId
    order: LoadOrder
    at: float
    outcome: OrderOutcome


class LoggedCrash(msgspec.Struct, frozen=True, kw_only=True):
    """Unexpected end of a worker."""

    worker_id: BackendId
    worker_started_at_ms: int = 0
    at: float

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Return the incarnation of the worker."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.worker_started_at_ms)


LogRecord = LoggedArrival | LoggedRun | LoggedOrder | LoggedCrash
