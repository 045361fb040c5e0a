"""The attempts of one client request at workers, and what they tell about it."""

import asyncio

import msgspec

from drumbay.forwarding.routes import RequestKind, Route
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.identifiers import BackendId
from drumbay.workers.records import Worker, WorkerResponse
from drumbay.workers.worker_record import WorkerRecord

MAX_REFUSALS_PER_ADMISSION = 6
"""Refusals by workers after which a request goes back to the admission queue, or pauses."""


class Attempt(msgspec.Struct, frozen=True):
    """One attempt at one worker; ``sent_at`` is monotonic.

    ``reused_connection`` says whether the client held an idle connection to the worker.
    """

    record: WorkerRecord
    choice: ChosenWorker
    sent_at: float
    reused_connection: bool


class RequestAttempts:
    """Attempts of one request: those in flight, and counts of those that have ended.

    Attributes:
        in_flight: The attempts that have not ended, by their tasks.
        successful: The attempt that got the response.
        response_seconds: How long that took from its send.
        first_run_at: Monotonic time of the earliest send that may have run; final once the request
            has finished.
        sent: Number of attempts.
        refusals: Number of attempts that certainly did not run.
        worker_failures: Number of workers that reported a failure.
        failed_workers: Workers on which an attempt broke or failed.
        may_have_run: Whether an attempt that has ended may have run.
        tried: The workers that have received the request.
        closed: The attempt whose reused connection closed before the response, until it is
            repeated.
    """

    def __init__(self, route: Route) -> None:
        """Start without an attempt."""
        self._route = route
        self.in_flight: dict[asyncio.Task[WorkerResponse], Attempt] = {}
        self.successful: Attempt | None = None
        self.response_seconds: float | None = None
        self.first_run_at: float | None = None
        self.sent = 0
        self.refusals = 0
        self._refusals_before_admission = 0
        self.worker_failures = 0
        self.failed_workers: list[Worker] = []
        self.may_have_run = False
        self.tried: set[BackendId] = set()
        self.closed: Attempt | None = None

    @property
    def has_not_run(self) -> bool:
        """Return whether every attempt so far certainly did not run."""
        return not self.may_have_run and self.sent == self.refusals

    @property
    def is_any_left(self) -> bool:
        """Return whether the route allows another attempt at another worker."""
        return self.sent - self.refusals < self._route.attempts

    @property
    def has_too_many_refusals(self) -> bool:
        """Return whether workers have refused the request too often since its last admission."""
        return self.refusals - self._refusals_before_admission > MAX_REFUSALS_PER_ADMISSION

    @property
    def may_send(self) -> bool:
        """Return whether another attempt is allowed while those in flight continue."""
        if self.has_too_many_refusals:
            return False
        if self._route.kind is RequestKind.AT_MOST_ONCE:
            return not self.in_flight and not self.may_have_run
        return self.is_any_left or self.repeatable() is not None

    def running_on(self) -> frozenset[BackendId]:
        """Return the workers of the attempts in flight."""
        return frozenset(attempt.record.worker.worker_id for attempt in self.in_flight.values())

    def are_unresponsive(self, now: float) -> bool:
        """Return whether no worker of an attempt in flight responds, as checks have shown."""
        return all(
            attempt.record.responsiveness.is_confirmed(now) for attempt in self.in_flight.values()
        )

    def repeatable(self) -> Attempt | None:
        """Return an attempt to repeat at its worker over a new connection, if no other is left.

        Such a repeat does not count against ``route.attempts``, which limits the workers.
        """
        is_only_one = self.sent - self.refusals == 1
        return self.unconfirmed() or (self.closed if is_only_one else None)

    def unconfirmed(self) -> Attempt | None:
        """Return an attempt to repeat over a new connection, if all attempts used idle connections.

        The idle connection may be stalled, in which case the worker never saw the request.
        """
        reused = [attempt for attempt in self.in_flight.values() if attempt.reused_connection]
        return reused[0] if reused and len(reused) == self.sent - self.refusals else None

    def forgive_refusals(self) -> None:
        """Allow the workers to refuse the request as often as after its first admission."""
        self._refusals_before_admission = self.refusals

    def record_run_start(self, attempt: Attempt) -> None:
        """Record that an attempt may have run."""
        if self.first_run_at is None or attempt.sent_at < self.first_run_at:
            self.first_run_at = attempt.sent_at
