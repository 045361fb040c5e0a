"""One client request on its way: admission, sends to workers, waits, and the outcome.

Idempotent requests are sent to at most ``route.attempts`` workers; the first complete response wins
and the other attempts are cancelled. At-most-once requests are resent only if the previous
worker certainly did not run the request.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine

import msgspec

from drumbay.admission.gate import AdmissionGate
from drumbay.admission.service import retry_after_seconds
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.forwarding.answer_watch import AnswerWatch
from drumbay.forwarding.attempt_outcomes import AttemptOutcome, AttemptOutcomes
from drumbay.forwarding.attempts import Attempt, RequestAttempts
from drumbay.forwarding.hedge_timing import STALLED_CONNECTION_TARGET_SHARE, HedgeTiming
from drumbay.forwarding.records import (
    ClientRequest,
    ForwardingError,
    NoWorkerError,
    RequestTimedOutError,
    ResponseLostError,
)
from drumbay.forwarding.request_admission import RequestAdmission
from drumbay.forwarding.request_log import (
    RequestTrace,
    log_not_served,
    log_run_abandoned,
    log_served,
)
from drumbay.forwarding.request_quarantine import RequestQuarantine
from drumbay.forwarding.request_waits import (
    MAX_LOAN_WAIT_SECONDS,
    QueueAgain,
    Reject,
    SendFrom,
    WaitLimits,
    after_refusal,
    after_refusal_in_regions,
    without_start,
)
from drumbay.forwarding.request_workers import RequestWorkers
from drumbay.forwarding.routes import RequestKind, Route
from drumbay.forwarding.start_borrower import StartBorrower
from drumbay.forwarding.worker_call import WorkerCaller
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.forwarding.worker_picker import WorkerPicker
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.regions import AllowedRegions
from drumbay.quarantine.service import Quarantine
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import WorkerRequest, WorkerResponse
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers
from drumbay.workers.worker_record import WorkerRecord

MIN_BUDGET_SECONDS = 0.02
"""Minimum time left for which another attempt is started."""

RETRY_AFTER_SECONDS = 0.25
"""Retry-After for services without an available worker; another node may already see one."""

FREE_WORKER_POLL_SECONDS = 0.05
"""Polling interval while no attempt is in flight and no worker is free or may get a request."""

QUEUE_CHECK_SECONDS = 0.05
"""Interval at which a queued request bound to regions checks that these have a worker for it."""

MAX_WAITING_SUSPECTS = 8
"""Requests of this node that may wait for a worker that does not respond, for other nodes to be
told of them as suspects."""

QUARANTINE_POLL_SECONDS = 0.02
"""Polling interval while the quarantine checks whether a request crashed its worker."""


class ForwardingServices(msgspec.Struct, frozen=True, kw_only=True):
    """What all requests of a node share."""

    clock: Clock
    directory: WorkerDirectory
    client: WorkerClient
    picker: WorkerPicker
    caller: WorkerCaller
    metrics: ServingMetrics
    hedge_timing: HedgeTiming
    quarantine: Quarantine
    admission: AdmissionGate
    start_borrower: StartBorrower
    unresponsive_workers: UnresponsiveWorkers


class ForwardedRequest:
    """Serves one client request: decides when to send, and handles the attempts that end."""

    def __init__(
        self,
        services: ForwardingServices,
        route: Route,
        service: str,
        request: ClientRequest,
        priority_levels: frozenset[int],
        allowed_regions: Callable[[], AllowedRegions],
    ) -> None:
        """Create a request that has not been sent.

        ``priority_levels`` are those of the service's requests. ``allowed_regions`` returns the
        regions in which the request may run now.
        """
        self._clock = services.clock
        self._directory = services.directory
        self._client = services.client
        self._caller = services.caller
        self._metrics = services.metrics
        self._hedge_timing = services.hedge_timing
        self._route = route
        self._service = service
        self._request = request
        self._allowed_regions = allowed_regions
        self._fingerprint = request.fingerprint
        self._attempts = RequestAttempts(route)
        self._answer_watch = AnswerWatch(services.unresponsive_workers, request.request_id)
        self._quarantine = RequestQuarantine(
            services.quarantine,
            request.request_id,
            self._fingerprint,
            request.crash_policy,
            service,
            self._attempts,
        )
        self._workers = RequestWorkers(services.picker, self._quarantine, service, allowed_regions)
        self._outcomes = AttemptOutcomes(
            services.directory,
            services.picker,
            services.metrics,
            self._quarantine,
            route,
            request.request_id,
            self._attempts,
        )
        self._started_at = self._clock.monotonic()
        self._deadline = self._started_at + min(request.budget_seconds, route.timeout_seconds)
        self._wait_limits = WaitLimits(arrived_at=self._started_at, deadline=self._deadline)
        self._next_send_at = self._started_at
        self._last_sent_at = self._started_at
        self._is_hedge_next = False
        self._is_service_full = False
        self._start_borrower = services.start_borrower
        self._lacks_start_since = math.inf
        self._admission = RequestAdmission(
            services.admission,
            service,
            request,
            self._started_at,
            self._deadline,
            self._workers.regions,
        )
        self._worker_priority = request.priority if len(priority_levels) > 1 else None
        """Passed to workers only if the service receives requests of several priorities."""

    @property
    def first_run_at(self) -> float | None:
        """Return the monotonic time of the earliest send that may have run."""
        return self._attempts.first_run_at

    async def run(self) -> WorkerResponse:
        """Send attempts until one succeeds or no further attempt is allowed."""
        self._reject_without_workers()
        await self._wait_for_admission(self._admission.acquire)
        self._next_send_at = self._clock.monotonic()
        self._hedge_timing.record_request(
            self._next_send_at, is_interactive=self._request.is_interactive
        )
        while True:
            now = self._clock.monotonic()
            remaining = self._deadline - now
            if remaining < MIN_BUDGET_SECONDS:
                raise self._forwarding_error(timed_out=True)
            if self._may_wait_after_refusal():
                step = self._step_after_refusal(now)
                if isinstance(step, QueueAgain):
                    await self._wait_for_readmission()
                    continue
                self._apply(step)
            is_due = now >= self._next_send_at and self._attempts.may_send
            if is_due and self._passes_quarantine(now) and self._may_send_hedge(now):
                self._send_to_next_worker(now, remaining)
            if self._attempts.in_flight:
                response = await self._wait_for_attempt(now, remaining)
                if response is not None:
                    return response
            elif self._attempts.may_send:
                pause_seconds = max(self._next_send_at - now, QUARANTINE_POLL_SECONDS)
                await self._clock.sleep(min(pause_seconds, FREE_WORKER_POLL_SECONDS, remaining))
            else:
                raise self._forwarding_error(timed_out=False)

    async def _wait_for_admission(self, acquire: Callable[[], Coroutine[None, None, None]]) -> None:
        """Wait for admission; a restricted request only while its regions have a worker for it.

        Raises:
            NoWorkerError: The request was not admitted, or no worker may get it any more.
        """
        if not self._workers.regions.is_restricted:
            await acquire()
            return
        admission = asyncio.get_running_loop().create_task(acquire())
        try:
            while not (await asyncio.wait({admission}, timeout=QUEUE_CHECK_SECONDS))[0]:
                self._reject_if_regions_stay_full()
            admission.result()
        finally:
            admission.cancel()

    def _reject_without_workers(self) -> None:
        """Reject a request for which no worker is in service, before it queues.

        Raises:
            ForwardingError: Every worker is in an evacuated zone or outside the allowed regions.
        """
        if self._workers.are_lacking():
            raise self._rejection()

    def _reject_if_regions_stay_full(self) -> None:
        """Reject a queued request if the workers of its regions stay full for too long.

        Raises:
            ForwardingError: They stay full; the queue itself moves with other regions too.
        """
        ends_at = self._wait_limits.region_wait_ends_at
        if self._workers.regions.is_restricted and not self._workers.are_free_by(ends_at):
            raise self._rejection()

    def _rejection(self) -> ForwardingError:
        """Log that no worker is in service, or all are full; return the error for the client."""
        regions = self._workers.regions
        log_event(
            "request_excluded",
            request=self._request.request_id,
            route=self._route.name,
            service=self._service,
            reason="no_worker" if self._workers.are_lacking() else "workers_full",
            restricted=regions.is_restricted,
            allowed_regions=",".join(regions.names()),
        )
        return self._forwarding_error(timed_out=False)

    def _step_after_refusal(self, now: float) -> SendFrom | QueueAgain | Reject | None:
        has_too_many_refusals = self._attempts.has_too_many_refusals
        if self._workers.regions.is_restricted:
            return after_refusal_in_regions(
                self._wait_limits,
                self._workers.free_from(),
                now,
                has_too_many_refusals=has_too_many_refusals,
            )
        return after_refusal(
            has_too_many_refusals=has_too_many_refusals,
            has_free_worker=self._workers.are_available(now),
        )

    def _apply(self, step: SendFrom | Reject | None) -> None:
        """Postpone the next send, if need be.

        Raises:
            ForwardingError: The request is rejected.
        """
        match step:
            case SendFrom(time=time, forgives_refusals=forgives_refusals):
                self._next_send_at = max(self._next_send_at, time)
                if forgives_refusals:
                    self._attempts.forgive_refusals()
            case Reject():
                raise self._rejection()

    def _may_wait_after_refusal(self) -> bool:
        """Return whether admission control decides when a refused request is sent again."""
        return (
            self._is_service_full
            and not self._attempts.in_flight
            and self._attempts.has_not_run
            and self._admission.is_limited
        )

    async def _wait_for_readmission(self) -> None:
        await self._wait_for_admission(self._admission.reacquire)
        self._attempts.forgive_refusals()
        self._is_service_full = False
        self._next_send_at = self._clock.monotonic()

    def _passes_quarantine(self, now: float) -> bool:
        """Return whether the request may run; if not yet, postpone the next send.

        Raises:
            RequestQuarantinedError: The request must not run and no attempt is in flight.
        """
        if self._quarantine.allows_run(now):
            return True
        self._next_send_at = now + QUARANTINE_POLL_SECONDS
        return False

    def _may_send_hedge(self, now: float) -> bool:
        """Return whether the next send is allowed if it is a hedge.

        Without hedge budget it is delayed until a reused connection may be considered stalled. It
        needs none if another worker responds, but none of those that have the request.
        """
        if not self._is_hedge_next or not self._attempts.in_flight:
            return True
        are_unresponsive = self._attempts.are_unresponsive(now)
        if are_unresponsive and self._workers.has_responsive_untried(self._attempts.tried, now):
            return True
        stalled_at = (
            self._last_sent_at + self._route.target_seconds * STALLED_CONNECTION_TARGET_SHARE
        )
        may_be_stalled = self._attempts.unconfirmed() is not None
        is_in_budget = self._hedge_timing.try_withdraw(
            now, is_interactive=self._request.is_interactive
        )
        if is_in_budget or (may_be_stalled and now >= stalled_at):
            self._metrics.count_hedge("sent")
            return True
        self._metrics.count_hedge("no_budget")
        self._next_send_at = stalled_at if may_be_stalled else self._deadline
        if are_unresponsive:
            self._next_send_at = now + FREE_WORKER_POLL_SECONDS
        return False

    def close(self, *, has_succeeded: bool) -> None:
        """Cancel attempts in flight; their workers stop processing.

        Unless the request has succeeded, the workers that were still running it are reported to
        the quarantine.
        """
        for task, attempt in self._attempts.in_flight.items():
            self._attempts.record_run_start(attempt)
            task.cancel()
            log_run_abandoned(
                self._request.request_id,
                attempt.record.worker,
                self._clock.monotonic() - attempt.sent_at,
                was_kept=attempt.reused_connection,
            )
            if not has_succeeded:
                self._quarantine.record_unanswered_run(attempt)
        self._admission.close(self._attempts.response_seconds)

    def log_success(self, response: WorkerResponse) -> None:
        """Log the response, the attempts made and the expected latency of the selected worker."""
        successful = self._attempts.successful
        choice = successful.choice if successful is not None else None
        log_served(self._trace(), response.status, choice)

    def log_failure(self, error: ForwardingError) -> None:
        """Log the final failure."""
        log_not_served(self._trace(), error)

    def _trace(self) -> RequestTrace:
        return RequestTrace(
            request_id=self._request.request_id,
            fingerprint=self._fingerprint,
            route=self._route.name,
            service=self._service,
            sent=self._attempts.sent,
            refusals=self._attempts.refusals,
            workers=self._attempts.tried,
            elapsed_seconds=self._clock.monotonic() - self._started_at,
        )

    async def _wait_for_attempt(self, now: float, remaining: float) -> WorkerResponse | None:
        """Wait until an attempt finishes or the next one may be sent."""
        wait_seconds = remaining
        if self._attempts.may_send:
            seconds_until_send = max(self._next_send_at - now, MIN_BUDGET_SECONDS)
            wait_seconds = min(remaining, seconds_until_send)
        in_flight = self._attempts.in_flight
        seconds_until_check = max(self._answer_watch.next_check_at(in_flight) - now, 0.0)
        done, _ = await asyncio.wait(
            in_flight,
            timeout=min(wait_seconds, seconds_until_check),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            outcome = self._record_outcome(task)
            if outcome.response is not None:
                return outcome.response
            self._is_hedge_next = False
        self._check_unanswered(self._clock.monotonic())
        return None

    def _check_unanswered(self, now: float) -> None:
        """Tell the quarantine of workers that do not respond, and send to another one.

        Where many requests wait for a worker, any of them may have crashed it, or it is overloaded:
        other nodes are told only of those that get no response in the end.
        """
        in_flight = self._attempts.in_flight
        self._answer_watch.check(in_flight, now)
        for attempt in self._answer_watch.take_unresponsive(in_flight, now):
            if attempt.record.in_flight <= MAX_WAITING_SUSPECTS:
                self._quarantine.record_unanswered_run(attempt)
            self._next_send_at = min(self._next_send_at, now)

    def _record_outcome(self, task: asyncio.Task[WorkerResponse]) -> AttemptOutcome:
        now = self._clock.monotonic()
        outcome = self._outcomes.record(task, self._attempts.in_flight.pop(task), now)
        self._next_send_at = now + outcome.pause_seconds
        self._is_service_full = self._is_service_full or outcome.is_worker_full
        return outcome

    def _send_to_next_worker(self, now: float, remaining: float) -> None:
        hedge_delay_seconds = self._hedge_timing.delay_seconds(
            self._route.name,
            self._route.target_seconds,
            is_interactive=self._request.is_interactive,
        )
        self._answer_watch.set_patience(hedge_delay_seconds)
        self._next_send_at = now + hedge_delay_seconds
        self._last_sent_at = now
        self._is_hedge_next = True
        if not self._attempts.is_any_left:
            self._repeat(remaining)
            return
        choice = self._workers.choose(self._route, len(self._request.body), self._attempts, now)
        record = self._directory.get(choice.worker_id) if choice is not None else None
        if choice is not None and record is not None:
            self._send(record, choice, remaining)
        elif not self._attempts.in_flight:
            self._wait_for_start(now)

    def _repeat(self, remaining: float) -> None:
        """Send to a worker again whose reused connection stalls, or has closed.

        Raises:
            ForwardingError: The worker must not get the request any more, and no other has it.
        """
        repeatable = self._attempts.repeatable()
        self._attempts.closed = None
        if repeatable is not None and self._workers.may_send(repeatable.record):
            self._send(repeatable.record, repeatable.choice, remaining)
        elif not self._attempts.in_flight:
            raise self._forwarding_error(timed_out=False)

    def _wait_for_start(self, now: float) -> None:
        """Postpone the next send if a worker will soon take another request of this node.

        Raises:
            ForwardingError: None will, or not in time.
        """
        step = without_start(
            self._wait_limits,
            self._workers.next_start_at(),
            now,
            has_not_run=self._attempts.has_not_run,
            may_borrow=self._ask_for_start(now),
        )
        if isinstance(step, Reject):
            raise self._forwarding_error(timed_out=False)
        self._next_send_at = step.time

    def _ask_for_start(self, now: float) -> bool:
        """Ask other nodes for a start, for a short time; return whether one may come."""
        self._lacks_start_since = min(self._lacks_start_since, now)
        if now - self._lacks_start_since > MAX_LOAN_WAIT_SECONDS:
            return False
        workers = self._workers.lacking_starts()
        return self._start_borrower.ask(self._service, workers)

    def _send(self, record: WorkerRecord, choice: ChosenWorker, remaining: float) -> None:
        # Only the first attempt may reuse an idle connection: if idle connections have stalled,
        # each reuse would waste an attempt.
        needs_new_connection = self._attempts.sent > self._attempts.refusals
        reused_connection = not needs_new_connection and self._client.has_idle_connection(
            record.worker
        )
        self._attempts.sent += 1
        self._attempts.tried.add(record.worker.worker_id)
        request = self._request
        worker_request = WorkerRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            budget_seconds=request.worker_budget_seconds(remaining, self._clock.monotonic()),
            repeatable=self._route.kind is RequestKind.IDEMPOTENT,
            tenant=request.tenant,
            priority=self._worker_priority,
            fresh_connection=needs_new_connection,
            allowed_regions=self._allowed_regions,
        )
        record.in_flight += 1
        record.body_bytes += len(request.body)
        task = asyncio.get_running_loop().create_task(
            self._caller.call(
                record.worker,
                worker_request,
                self._route,
                self._fingerprint,
                self._request.crash_policy,
            )
        )
        # A task that is cancelled before it starts never reaches a ``finally`` block of its own.
        task.add_done_callback(lambda _: _subtract_in_flight(record, len(request.body)))
        self._attempts.in_flight[task] = Attempt(
            record, choice, self._clock.monotonic(), reused_connection
        )

    def _forwarding_error(self, *, timed_out: bool) -> ForwardingError:
        """Return the error for the client, which says whether the request may have run."""
        if self._attempts.has_not_run:
            remaining_seconds = self._deadline - self._clock.monotonic()
            return NoWorkerError(
                "no worker took the request",
                execution=Execution.NOT_RUN,
                retry_after_seconds=retry_after_seconds(
                    self._request.request_id, RETRY_AFTER_SECONDS, remaining_seconds
                ),
            )
        error_class = RequestTimedOutError if timed_out else ResponseLostError
        return error_class(
            "no whole answer came",
            execution=Execution.MAY_HAVE_RUN,
            worker_failures=self._attempts.worker_failures,
        )


def _subtract_in_flight(record: WorkerRecord, body_bytes: int) -> None:
    record.in_flight -= 1
    record.body_bytes -= body_bytes
