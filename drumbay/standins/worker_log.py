"""Faults of emulated workers, and the log of what befell them."""

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.tenants.records import TenantName
from drumbay.workers.records import LoadOrder, OrderOutcome, WorkerIncarnation


class WorkerFaults(msgspec.Struct, kw_only=True):
    """Faults of one worker; the default is a sound one.

    Attributes:
        dark: Nothing answers and no connection comes up.
        slowdown: Factor on every duration.
        break_after_events: Cut each stream after so many events.
        lose_answers: Run requests of clients, but break off before the answer.
        failing: Answer every run with a failure.
        rejecting: Say that no request can ever be served.
        full: Refuse everything without running it.
        orders_unanswered: Orders get no answer.
        orders_late_seconds: Unanswered orders are carried out after this time; never if 0.
    """

    dark: bool = False
    slowdown: float = 1.0
    break_after_events: int | None = None
    lose_answers: bool = False
    failing: bool = False
    rejecting: bool = False
    full: bool = False
    orders_unanswered: bool = False
    orders_late_seconds: float = 0.0


class LoggedRun(msgspec.Struct, kw_only=True):
    """One run of a request at a start of a worker."""

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

    @property
    def start(self) -> WorkerIncarnation:
        """Return which start of which worker it was."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.worker_started_at_ms)

    @property
    def stamp(self) -> str:
        """Return the worker's mark of this run, that no other run bears."""
        return f"{self.worker_id}/{self.request_id}/{self.started_at}"


class LoggedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One order that reached a worker."""

    worker_id: BackendId
    order: LoadOrder
    at: float
    outcome: OrderOutcome


class LoggedCrash(msgspec.Struct, frozen=True, kw_only=True):
    """A start of a worker that ended under a request."""

    worker_id: BackendId
    worker_started_at_ms: int = 0
    at: float

    @property
    def start(self) -> WorkerIncarnation:
        """Return which start of which worker it was."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.worker_started_at_ms)
