"""Forwards one client request to workers: choice, retries, hedging, deadline.

Idempotent requests may go to several workers, at most ``route.attempts``; the first whole
answer wins and the others are closed. A request that may run once only is sent again only
when the worker before has proved that it did not run.
"""

import asyncio

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.forwarding.records import (
    AnswerLostError,
    ClientRequest,
    ForwardingError,
    NoWorkerError,
    RequestHeldBackError,
    RequestTimedOutError,
)
from drumbay.forwarding.routes import RequestKind, Route, RouteTable
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.quarantine.records import Decision, Verdict
from drumbay.quarantine.service import Quarantine
from drumbay.usage.counter import UsageCounter
from drumbay.workers.directory import WorkerDirectory, WorkerRecord
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import (
    WorkerAnswer,
    WorkerBrokenError,
    WorkerError,
    WorkerMisdirectedError,
    WorkerRefusedError,
    WorkerRequest,
    WorkerTimedOutError,
    WorkerUnreachableError,
)

MINIMUM_BUDGET_SECONDS = 0.02
"""With less time left, no worker is asked any more."""

HEDGE_SHARE_OF_TARGET = 0.45
"""A second worker is asked once this share of the route's target has passed."""

LATENCY_STEP_SECONDS = 0.04
UNKNOWN_LATENCY_SECONDS = 0.03
"""A worker that was never asked counts as a sound one."""

LOAD_STEPS = 2
"""Workers up to half full count as equally loaded."""

MAXIMUM_REFUSALS = 6
RETRY_AFTER_SECONDS = 0.25
REFUSAL_PAUSE_SECONDS = 0.05
MISDIRECTED_PAUSE_SECONDS = 5.0

SUSPECT_PAUSE_SECONDS = 0.02
"""A request under which a worker may have ended asks so often whether it may run: the look at the
worker takes a few milliseconds, and another run of the same request as long as a request."""


class Forwarder:
    """Serves requests of routes that are answered at once."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        routes: RouteTable,
        client: WorkerClient,
        zone: str,
        metrics: ServingMetrics,
        usage: UsageCounter,
        quarantine: Quarantine,
    ) -> None:
        """Create a forwarder for a node in ``zone``.

        It counts the requests of tenants, and asks the quarantine before each run.
        """
        self.quarantine = quarantine
        self.clock = clock
        self.directory = directory
        self.client = client
        self.zone = zone
        self._routes = routes
        self._metrics = metrics
        self._usage = usage

    async def forward(self, route: Route, request: ClientRequest) -> WorkerAnswer:
        """Return a worker's whole answer.

        Raises:
            ForwardingError: The final answer is a failure; says whether it may have run.
        """
        forwarding = _Forwarding(self, route, self._routes.choose_service(route), request)
        started_at = self.clock.monotonic()
        ticket = self._usage.open() if request.tenant is not None else None
        outcome = "cancelled"
        try:
            answer = await forwarding.run()
            outcome = "answered"
            forwarding.log_answer(answer)
            return answer
        except ForwardingError as error:
            outcome = error.code
            forwarding.log_failure(error)
            raise
        finally:
            forwarding.close(is_answered=outcome == "answered")
            if ticket is not None and request.tenant is not None:
                self._usage.close(ticket, request.tenant, forwarding.began_at)
            self._metrics.count_request(route.name, outcome, self.clock.monotonic() - started_at)


class _Attempt(msgspec.Struct, frozen=True):
    """A send to one worker, at a monotonic time; ``was_kept`` if its connection seemed kept."""

    record: WorkerRecord
    sent_at: float
    was_kept: bool


class _Forwarding:
    """One client request on its way: the attempts so far and those under way."""

    def __init__(
        self, forwarder: Forwarder, route: Route, service: str, request: ClientRequest
    ) -> None:
        self._clock = forwarder.clock
        self._directory = forwarder.directory
        self._client = forwarder.client
        self._zone = forwarder.zone
        self._quarantine = forwarder.quarantine
        self._route = route
        self._service = service
        self._request = request
        self._fingerprint = request.fingerprint
        self._started_at = self._clock.monotonic()
        limit_seconds = min(request.budget_seconds, route.timeout_seconds)
        self._deadline = self._started_at + limit_seconds
        self._next_send = self._started_at
        self._attempts: dict[asyncio.Task[WorkerAnswer], _Attempt] = {}
        self.began_at: float | None = None
        """When the first run may have begun; known for good once the request has its answer."""

        self._sent = 0
        self._refusals = 0
        self._worker_failures = 0
        self._may_have_run = False
        self._tried: set[str] = set()
        self._apart_from: frozenset[BackendId] = frozenset()

    async def run(self) -> WorkerAnswer:
        """Send until an answer is whole or nothing more can be done."""
        while True:
            now = self._clock.monotonic()
            remaining = self._deadline - now
            if remaining < MINIMUM_BUDGET_SECONDS:
                raise self._failure(timed_out=True)
            if now >= self._next_send and self._may_send() and self._is_let_through(now):
                self._send_to_next(now, remaining)
            if self._attempts:
                answer = await self._wait(now, remaining)
                if answer is not None:
                    return answer
            elif self._may_send():
                pause_seconds = max(self._next_send - now, SUSPECT_PAUSE_SECONDS)
                await self._clock.sleep(min(pause_seconds, REFUSAL_PAUSE_SECONDS, remaining))
            else:
                raise self._failure(timed_out=False)

    def _is_let_through(self, now: float) -> bool:
        """Return whether the request may run once more, as far as its workers have survived it.

        Raises:
            RequestHeldBackError: It must not, and nothing of it is under way.
        """
        if self._quarantine.is_idle:
            return True
        verdict = self._quarantine.verdict(self._fingerprint, self._service)
        if verdict.decision is Decision.RUN:
            self._apart_from = verdict.apart_from
            return True
        if verdict.decision is Decision.HOLD and not self._attempts:
            self._quarantine.log_held(self._request.request_id, self._fingerprint, verdict)
            raise self._held_back(verdict)
        self._next_send = now + SUSPECT_PAUSE_SECONDS
        return False

    def _held_back(self, verdict: Verdict) -> RequestHeldBackError:
        has_run = self._may_have_run
        return RequestHeldBackError(
            f"{verdict.deaths_in_a_row} workers ended under it: {verdict.reason}",
            execution=Execution.MAY_HAVE_RUN if has_run else Execution.NOT_RUN,
            retry_after_seconds=None if has_run else verdict.retry_after_seconds,
            worker_failures=self._worker_failures,
        )

    def close(self, *, is_answered: bool) -> None:
        """Close what is under way; its workers stop working on it.

        Where no other worker has answered, theirs may have gone dark under it.
        """
        for task, attempt in self._attempts.items():
            self._note_began(attempt)
            task.cancel()
            if not is_answered:
                self._quarantine.note_unanswered(
                    self._fingerprint,
                    self._request.request_id,
                    attempt.record.worker,
                    attempt.sent_at,
                )

    def _note_began(self, attempt: _Attempt) -> None:
        if self.began_at is None or attempt.sent_at < self.began_at:
            self.began_at = attempt.sent_at

    def log_answer(self, answer: WorkerAnswer) -> None:
        """Log the answer and the attempts that led to it."""
        log_event(
            "request_served",
            request=self._request.request_id,
            fingerprint=self._fingerprint,
            route=self._route.name,
            service=self._service,
            status=answer.status,
            sent=self._sent,
            refusals=self._refusals,
            workers=",".join(sorted(self._tried)),
            elapsed_seconds=round(self._clock.monotonic() - self._started_at, 4),
        )

    def log_failure(self, error: ForwardingError) -> None:
        """Log the final failure with what led to it."""
        log_event(
            "request_not_served",
            level="WARNING",
            request=self._request.request_id,
            fingerprint=self._fingerprint,
            route=self._route.name,
            service=self._service,
            error=error.code,
            execution=error.execution,
            sent=self._sent,
            refusals=self._refusals,
            workers=",".join(sorted(self._tried)),
            elapsed_seconds=round(self._clock.monotonic() - self._started_at, 4),
        )

    def _note_survived(self, attempt: _Attempt) -> None:
        """Note that a worker has answered, were it with a failure."""
        if not self._quarantine.is_idle:
            self._quarantine.note_alive(attempt.record.worker)
            self._quarantine.note_answer(self._fingerprint)

    def _note_broken(self, attempt: _Attempt, error: WorkerBrokenError) -> None:
        """Note a run that ended without an answer: its worker may have ended under it."""
        self._quarantine.note_broken(
            self._fingerprint, self._request.request_id, attempt.record.worker, attempt.sent_at
        )
        log_event(
            "request_run_broken",
            level="WARNING",
            request=self._request.request_id,
            fingerprint=self._fingerprint,
            worker=attempt.record.worker.worker_id,
            kept_connection=attempt.was_kept,
            elapsed_seconds=round(self._clock.monotonic() - attempt.sent_at, 4),
            detail=str(error),
        )

    async def _wait(self, now: float, remaining: float) -> WorkerAnswer | None:
        """Wait for an attempt to end, or until another may be sent."""
        wait_seconds = remaining
        if self._may_send():
            until_send = max(self._next_send - now, MINIMUM_BUDGET_SECONDS)
            wait_seconds = min(remaining, until_send)
        done, _ = await asyncio.wait(
            self._attempts, timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            answer = self._settle(task, self._attempts.pop(task))
            if answer is not None:
                return answer
            self._next_send = self._clock.monotonic()
        return None

    def _may_send(self) -> bool:
        if self._refusals > MAXIMUM_REFUSALS:
            return False
        if self._route.kind is RequestKind.AT_MOST_ONCE:
            return not self._attempts and not self._may_have_run
        return self._has_attempts_left() or self._unproved() is not None

    def _has_attempts_left(self) -> bool:
        return self._sent - self._refusals < self._route.attempts

    def _unproved(self) -> WorkerRecord | None:
        """Return the worker to ask again, over a new connection, if none was used so far.

        It may not have seen the request, whose kept connection may be silent: asking it again
        uses up none of the workers that the route allows.
        """
        kept = [attempt.record for attempt in self._attempts.values() if attempt.was_kept]
        return kept[0] if kept and len(kept) == self._sent - self._refusals else None

    def _send_to_next(self, now: float, remaining: float) -> None:
        self._next_send = now + self._route.target_seconds * HEDGE_SHARE_OF_TARGET
        record = self._choose(now) if self._has_attempts_left() else self._unproved()
        if record is not None:
            self._send(record, remaining)
        elif not self._attempts:
            raise self._failure(timed_out=False)

    def _choose(self, now: float) -> WorkerRecord | None:
        records = self._directory.of_service(self._service)
        records = [r for r in records if r.worker.worker_id not in self._apart_from]
        available = [record for record in records if record.is_available(now)]
        untried = [r for r in available if r.worker.worker_id not in self._tried]
        candidates = untried or available
        if not candidates and not self._sent:
            candidates = [record for record in records if record.worker.state == "ready"]
        if not candidates:
            return None
        return min(candidates, key=lambda record: self._cost(record, now))

    def _cost(self, record: WorkerRecord, now: float) -> tuple[bool, int, int, bool, bool, str]:
        """Order by a free place, time, load, a kept connection, then the zone.

        Times that differ by less than a step tell nothing: single requests differ by more.
        A connection costs more than what a request weighs between zones.
        """
        latency = record.latency_seconds or UNKNOWN_LATENCY_SECONDS
        waiting = record.busy(now) / max(1, record.worker.slots)
        return (
            record.free_slots(now) == 0,
            round(latency / LATENCY_STEP_SECONDS),
            int(LOAD_STEPS * waiting),
            not self._client.keeps_connection(record.worker),
            record.worker.zone != self._zone,
            record.worker.worker_id,
        )

    def _send(self, record: WorkerRecord, remaining: float) -> None:
        # The first send may take a kept connection. What follows a send without an answer does
        # not: if kept ones have fallen silent, each of them would cost an attempt.
        is_fresh = self._sent > self._refusals
        was_kept = not is_fresh and self._client.keeps_connection(record.worker)
        self._sent += 1
        self._tried.add(record.worker.worker_id)
        request = self._request
        outgoing = WorkerRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            budget_seconds=remaining,
            repeatable=self._route.kind is RequestKind.IDEMPOTENT,
            tenant=request.tenant,
            fresh_connection=is_fresh,
        )
        record.in_flight += 1
        task = asyncio.get_running_loop().create_task(self._attempt(record, outgoing))
        # A task that is cancelled before it runs never comes to a ``finally`` of its own.
        task.add_done_callback(lambda _: _note_ended(record))
        self._attempts[task] = _Attempt(record, self._clock.monotonic(), was_kept)

    async def _attempt(self, record: WorkerRecord, request: WorkerRequest) -> WorkerAnswer:
        started_at = self._clock.monotonic()
        worker_id = record.worker.worker_id
        worker_start = record.worker.started_at_ms
        self._quarantine.begin(self._fingerprint, worker_id)
        try:
            answer = await self._client.call(record.worker, request)
        except asyncio.CancelledError:
            # Slower than the hedge or the deadline: remember at least the time it took.
            elapsed_seconds = self._clock.monotonic() - started_at
            if elapsed_seconds > (record.latency_seconds or 0.0):
                self._directory.observe_latency(worker_id, elapsed_seconds, worker_start)
            raise
        finally:
            self._quarantine.end(self._fingerprint, worker_id)
        now = self._clock.monotonic()
        self._directory.observe_latency(worker_id, now - started_at, worker_start)
        if answer.load is not None:
            self._directory.observe_load(worker_id, answer.load, now, worker_start)
        return answer

    def _settle(self, task: "asyncio.Task[WorkerAnswer]", attempt: _Attempt) -> WorkerAnswer | None:
        """Take a finished attempt; return its answer if it is final."""
        now = self._clock.monotonic()
        worker_id = attempt.record.worker.worker_id
        worker_start = attempt.record.worker.started_at_ms
        try:
            answer = task.result()
            self._note_began(attempt)
            self._note_survived(attempt)
            return answer
        except WorkerMisdirectedError:
            self._refusals += 1
            self._directory.pause(worker_id, now, MISDIRECTED_PAUSE_SECONDS, worker_start)
        except WorkerUnreachableError:
            self._refusals += 1
            self._directory.observe_failure(worker_id, now, worker_start)
        except WorkerRefusedError:
            self._refusals += 1
            self._directory.pause(worker_id, now, REFUSAL_PAUSE_SECONDS, worker_start)
        except WorkerBrokenError as error:
            self._note_began(attempt)
            self._may_have_run = True
            self._note_broken(attempt, error)
            self._directory.observe_failure(worker_id, now, worker_start)
        except WorkerTimedOutError:
            self._note_began(attempt)
            self._note_survived(attempt)
            self._may_have_run = True
        except WorkerError:
            self._note_began(attempt)
            self._note_survived(attempt)
            self._may_have_run = True
            self._worker_failures += 1
        return None

    def _failure(self, *, timed_out: bool) -> ForwardingError:
        """Return the final answer: what the client may conclude about the request."""
        if not self._may_have_run and self._sent == self._refusals:
            return NoWorkerError(
                "no worker took the request",
                execution=Execution.NOT_RUN,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        kind = RequestTimedOutError if timed_out else AnswerLostError
        return kind(
            "no whole answer came",
            execution=Execution.MAY_HAVE_RUN,
            worker_failures=self._worker_failures,
        )


def _note_ended(record: WorkerRecord) -> None:
    record.in_flight -= 1
