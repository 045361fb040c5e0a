"""Forwards a client request to workers, with retries, hedging and a deadline.

Idempotent requests are sent to at most ``route.attempts`` workers; the first complete response wins
and the other attempts are cancelled. At-most-once requests are resent only if the previous
worker certainly did not run the request.
"""

import asyncio
from collections.abc import Callable, Coroutine

import msgspec

from drumbay.admission.gate import AdmissionGate
from drumbay.admission.service import MAX_WAIT_FRACTION, retry_after_seconds
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.forwarding.hedge_timing import STALLED_CONNECTION_TARGET_SHARE, HedgeTiming
from drumbay.forwarding.records import (
    ClientRequest,
    ForwardingError,
    NoWorkerError,
    RequestQuarantinedError,
    RequestTimedOutError,
    ResponseLostError,
)
from drumbay.forwarding.request_admission import RequestAdmission
from drumbay.forwarding.request_log import (
    RequestTrace,
    log_not_served,
    log_run_broken,
    log_run_failed,
    log_served,
)
from drumbay.forwarding.routes import RequestKind, Route, RouteTable
from drumbay.forwarding.worker_call import WorkerCaller
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.forwarding.worker_picker import SendCriteria, WorkerPicker
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.quarantine.records import Decision, Verdict
from drumbay.quarantine.service import Quarantine
from drumbay.usage.counter import UsageCounter
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import (
    Worker,
    WorkerBrokenError,
    WorkerError,
    WorkerMisdirectedError,
    WorkerNotEligibleError,
    WorkerRefusedError,
    WorkerRequest,
    WorkerResponse,
    WorkerTimedOutError,
    WorkerUnreachableError,
)
from drumbay.workers.worker_record import WorkerRecord

MIN_BUDGET_SECONDS = 0.02
"""Minimum time left for which another attempt is started."""

MAX_REFUSALS_PER_ADMISSION = 6
"""Refusals by workers after which a request goes back to the admission queue, or pauses."""

RETRY_AFTER_SECONDS = 0.25
"""Retry-After for services without an available worker; another node may already see one."""

FREE_WORKER_POLL_SECONDS = 0.05
"""Polling interval while no attempt is in flight and no worker is free or may get a request."""

MISDIRECTED_PAUSE_SECONDS = 5.0
"""Pause for a worker whose address now serves another one, until discovery is updated."""

INELIGIBLE_PAUSE_SECONDS = 0.02
"""Pause after a send that the placement constraint stopped as its last step."""

EXCLUSION_POLL_SECONDS = 0.05
"""Interval at which a restricted request in the queue checks whether a worker may still get it."""

REGION_RETRY_SECONDS = 0.1
"""Pause after which a request tries the workers of its regions again that have refused it."""

MAX_REGION_WAIT_FRACTION = 0.5
"""Longest wait for the workers of the allowed regions, as a fraction of the time from arrival to
deadline; a retry needs the rest."""

QUARANTINE_POLL_SECONDS = 0.02
"""Polling interval while the quarantine checks whether a request crashed its worker."""


class Forwarder:
    """Serves synchronous requests, one response per request."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        routes: RouteTable,
        client: WorkerClient,
        placement: PlacementGate,
        metrics: ServingMetrics,
        usage: UsageCounter,
        quarantine: Quarantine,
        machine: str,
        *,
        has_admission: bool = True,
    ) -> None:
        """Create a forwarder.

        ``placement`` decides which workers may get a request. ``machine`` seeds the order in which
        equally good workers are tried, so that nodes spread over them.
        """
        self.quarantine = quarantine
        self.clock = clock
        self.directory = directory
        self.client = client
        self.metrics = metrics
        self.hedge_timing = HedgeTiming(clock.monotonic())
        self.picker = WorkerPicker(directory, client, self.hedge_timing, placement, machine)
        self.caller = WorkerCaller(
            clock, directory, client, self.hedge_timing, quarantine, placement
        )
        self._routes = routes
        self._usage = usage
        self.admission = AdmissionGate(
            clock, directory, placement, metrics, is_enabled=has_admission
        )

    async def forward(self, route: Route, request: ClientRequest) -> WorkerResponse:
        """Return a worker's complete response.

        Raises:
            ForwardingError: The request failed; ``execution`` says whether it may have run.
        """
        service = self._routes.choose_service(route)
        regions = self._routes.allowed_regions(route, request.tenant)
        forwarding = _ForwardedRequest(
            self,
            route,
            service,
            request,
            self._routes.priority_levels_of(service),
            lambda: self._routes.regions_in_force(route.name, request.tenant, regions).intersect(
                request.allowed_regions()
            ),
        )
        started_at = self.clock.monotonic()
        ticket = self._usage.open() if request.tenant is not None else None
        outcome = "cancelled"
        try:
            response = await forwarding.run()
            outcome = "answered"
            forwarding.log_success(response)
            return response
        except ForwardingError as error:
            outcome = error.code
            forwarding.log_failure(error)
            raise
        finally:
            forwarding.close(has_succeeded=outcome == "answered")
            if ticket is not None and request.tenant is not None:
                self._usage.close(ticket, request.tenant, forwarding.first_run_at)
            self.metrics.count_request(route.name, outcome, self.clock.monotonic() - started_at)


class _Attempt(msgspec.Struct, frozen=True):
    """One attempt at one worker; ``sent_at`` is monotonic.

    ``reused_connection`` says whether the client held an idle connection to the worker.
    """

    record: WorkerRecord
    choice: ChosenWorker
    sent_at: float
    reused_connection: bool


class _ForwardedRequest:
    """State of one client request: finished attempts and those in flight."""

    def __init__(
        self,
        forwarder: Forwarder,
        route: Route,
        service: str,
        request: ClientRequest,
        priority_levels: frozenset[int],
        allowed_regions: Callable[[], AllowedRegions],
    ) -> None:
        self._clock = forwarder.clock
        self._directory = forwarder.directory
        self._client = forwarder.client
        self._picker = forwarder.picker
        self._caller = forwarder.caller
        self._metrics = forwarder.metrics
        self._hedge_timing = forwarder.hedge_timing
        self._quarantine = forwarder.quarantine
        self._route = route
        self._service = service
        self._request = request
        self._allowed_regions = allowed_regions
        self._fingerprint = request.fingerprint
        self._started_at = self._clock.monotonic()
        limit_seconds = min(request.budget_seconds, route.timeout_seconds)
        self._deadline = self._started_at + limit_seconds
        self._region_wait_ends_at = self._started_at + MAX_REGION_WAIT_FRACTION * limit_seconds
        self._next_send_at = self._started_at
        self._last_sent_at = self._started_at
        self._is_hedge_next = False
        self._successful_attempt: _Attempt | None = None
        self._admission = RequestAdmission(
            forwarder.admission, service, request, self._started_at, self._deadline, self._regions
        )
        self._worker_priority = request.priority if len(priority_levels) > 1 else None
        """Passed to workers only if the service receives requests of several priorities."""

        self._attempts: dict[asyncio.Task[WorkerResponse], _Attempt] = {}
        self.first_run_at: float | None = None
        """Monotonic time of the earliest send that may have run; final once the request
        has finished."""

        self._send_count = 0
        self._refusal_count = 0
        self._refusals_before_admission = 0
        self._is_service_full = False
        self._response_seconds: float | None = None
        self._worker_failures = 0
        self._failed_workers: list[Worker] = []
        self._may_have_run = False
        self._tried: set[BackendId] = set()
        self._avoided_workers: frozenset[BackendId] = frozenset()

    @property
    def _regions(self) -> AllowedRegions:
        """Return the regions in which the request may run now."""
        return self._allowed_regions()

    async def run(self) -> WorkerResponse:
        """Send attempts until one succeeds or no further attempt is allowed."""
        self._raise_if_excluded()
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
            if self._regions.is_restricted:
                self._delay_until_region_is_free(now)
            if self._needs_readmission(now):
                await self._wait_for_readmission()
                continue
            is_due = now >= self._next_send_at and self._may_send()
            if is_due and self._passes_quarantine(now) and self._may_send_hedge(now):
                self._send_to_next_worker(now, remaining)
            if self._attempts:
                response = await self._wait_for_attempt(now, remaining)
                if response is not None:
                    return response
            elif self._may_send():
                pause_seconds = max(self._next_send_at - now, QUARANTINE_POLL_SECONDS)
                await self._clock.sleep(min(pause_seconds, FREE_WORKER_POLL_SECONDS, remaining))
            else:
                raise self._forwarding_error(timed_out=False)

    async def _wait_for_admission(self, acquire: Callable[[], Coroutine[None, None, None]]) -> None:
        """Wait for admission; a restricted request only while its regions have a worker for it.

        Raises:
            NoWorkerError: The request was not admitted, or no worker may get it any more.
        """
        if not self._regions.is_restricted:
            await acquire()
            return
        admission = asyncio.get_running_loop().create_task(acquire())
        try:
            while not (await asyncio.wait({admission}, timeout=EXCLUSION_POLL_SECONDS))[0]:
                self._raise_if_region_stays_full()
            admission.result()
        finally:
            admission.cancel()

    def _raise_if_excluded(self) -> None:
        """End a request without an attempt in flight that no worker may get, as far as is known.

        Raises:
            ForwardingError: Every worker is in an evacuated zone or outside the allowed regions.
        """
        if self._is_excluded():
            raise self._exclusion_error()

    def _is_excluded(self) -> bool:
        regions = self._regions
        return regions.is_empty or self._picker.is_excluded(self._service, regions)

    def _raise_if_region_stays_full(self) -> None:
        """End a queued request whose regions have no worker for too long.

        Raises:
            ForwardingError: It may not wait for the capacity of other regions.
        """
        regions, ends_at = self._regions, self._region_wait_ends_at
        if regions.is_restricted and not self._picker.is_free_by(
            self._service, self._avoided_workers, regions, ends_at
        ):
            raise self._exclusion_error()

    def _exclusion_error(self) -> ForwardingError:
        regions = self._regions
        log_event(
            "request_excluded",
            request=self._request.request_id,
            route=self._route.name,
            service=self._service,
            reason="no_worker" if self._is_excluded() else "workers_full",
            restricted=regions.is_restricted,
            allowed_regions=",".join(regions.names()),
        )
        return self._forwarding_error(timed_out=False)

    def _delay_until_region_is_free(self, now: float) -> None:
        """Wait for the workers of the regions, not in the queue of the whole service.

        Raises:
            ForwardingError: They stay full for too long.
        """
        if not self._may_wait_after_refusal():
            return
        send_at = self._picker.free_from(self._service, self._avoided_workers, self._regions)
        if self._refusal_count - self._refusals_before_admission > MAX_REFUSALS_PER_ADMISSION:
            self._refusals_before_admission = self._refusal_count
            send_at = max(send_at, now + REGION_RETRY_SECONDS)
        if send_at > self._region_wait_ends_at:
            raise self._exclusion_error()
        self._next_send_at = max(self._next_send_at, send_at)

    def _needs_readmission(self, now: float) -> bool:
        """Return whether the request should queue for admission again after refusals by workers."""
        if self._regions.is_restricted or not self._may_wait_after_refusal():
            return False
        return (
            self._refusal_count - self._refusals_before_admission > MAX_REFUSALS_PER_ADMISSION
            or not any(
                record.is_available(now)
                for record in self._picker.allowed_workers(
                    self._service, self._avoided_workers, self._regions
                )
            )
        )

    def _may_wait_after_refusal(self) -> bool:
        """Return whether admission control decides when a refused request is sent again."""
        return (
            self._is_service_full
            and not self._attempts
            and self._has_not_run()
            and self._admission.is_limited
        )

    async def _wait_for_readmission(self) -> None:
        await self._wait_for_admission(self._admission.reacquire)
        self._refusals_before_admission = self._refusal_count
        self._is_service_full = False
        self._next_send_at = self._clock.monotonic()

    def _has_not_run(self) -> bool:
        return not self._may_have_run and self._send_count == self._refusal_count

    def _passes_quarantine(self, now: float) -> bool:
        """Return whether the quarantine allows another run of the request.

        Raises:
            RequestQuarantinedError: The request must not run and no attempt is in flight.
        """
        if self._quarantine.is_idle:
            return True
        verdict = self._quarantine.verdict(self._fingerprint, self._service)
        if verdict.decision is Decision.RUN:
            self._avoided_workers = verdict.avoided_workers
            return True
        if verdict.decision is Decision.HOLD and not self._attempts:
            self._quarantine.log_held(self._request.request_id, self._fingerprint, verdict)
            raise self._quarantine_error(verdict)
        self._next_send_at = now + QUARANTINE_POLL_SECONDS
        return False

    def _may_send_hedge(self, now: float) -> bool:
        """Return whether the next send is allowed if it is a hedge.

        Without hedge budget it is delayed until a reused connection may be considered stalled.
        """
        if not self._is_hedge_next or not self._attempts:
            return True
        stalled_at = (
            self._last_sent_at + self._route.target_seconds * STALLED_CONNECTION_TARGET_SHARE
        )
        may_be_stalled = self._unconfirmed_attempt() is not None
        is_in_budget = self._hedge_timing.try_withdraw(
            now, is_interactive=self._request.is_interactive
        )
        if is_in_budget or (may_be_stalled and now >= stalled_at):
            self._metrics.count_hedge("sent")
            return True
        self._metrics.count_hedge("no_budget")
        self._next_send_at = stalled_at if may_be_stalled else self._deadline
        return False

    def _quarantine_error(self, verdict: Verdict) -> RequestQuarantinedError:
        has_run = self._may_have_run
        return RequestQuarantinedError(
            f"{verdict.consecutive_crashes} workers ended under it: {verdict.reason}",
            execution=Execution.MAY_HAVE_RUN if has_run else Execution.NOT_RUN,
            retry_after_seconds=None if has_run else verdict.retry_after_seconds,
            worker_failures=self._worker_failures,
        )

    def close(self, *, has_succeeded: bool) -> None:
        """Cancel attempts in flight; their workers stop processing.

        Unless the request has succeeded, the workers that were still running it are reported to
        the quarantine.
        """
        for task, attempt in self._attempts.items():
            self._record_run_start(attempt)
            task.cancel()
            if not has_succeeded:
                self._quarantine.record_unanswered_run(
                    self._fingerprint,
                    self._request.request_id,
                    attempt.record.worker,
                    attempt.sent_at,
                )
        self._admission.close(self._response_seconds)

    def _record_run_start(self, attempt: _Attempt) -> None:
        if self.first_run_at is None or attempt.sent_at < self.first_run_at:
            self.first_run_at = attempt.sent_at

    def log_success(self, response: WorkerResponse) -> None:
        """Log the response, the attempts made and the expected latency of the selected worker."""
        choice = self._successful_attempt.choice if self._successful_attempt is not None else None
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
            sent=self._send_count,
            refusals=self._refusal_count,
            workers=self._tried,
            elapsed_seconds=self._clock.monotonic() - self._started_at,
        )

    def _record_worker_alive(self, attempt: _Attempt) -> None:
        """Tell the quarantine that a worker has responded, successfully or not."""
        if not self._quarantine.is_idle:
            self._quarantine.record_worker_response(attempt.record.worker)
            self._quarantine.record_response(self._fingerprint)

    def _record_broken_run(self, attempt: _Attempt, error: WorkerBrokenError) -> None:
        """Record a run that ended without a response; the worker may have crashed."""
        self._quarantine.record_broken_run(
            self._fingerprint, self._request.request_id, attempt.record.worker, attempt.sent_at
        )
        log_run_broken(
            self._request.request_id,
            self._fingerprint,
            attempt.record.worker,
            error,
            self._clock.monotonic() - attempt.sent_at,
            was_kept=attempt.reused_connection,
        )

    async def _wait_for_attempt(self, now: float, remaining: float) -> WorkerResponse | None:
        """Wait until an attempt finishes or the next one may be sent."""
        wait_seconds = remaining
        if self._may_send():
            seconds_until_send = max(self._next_send_at - now, MIN_BUDGET_SECONDS)
            wait_seconds = min(remaining, seconds_until_send)
        done, _ = await asyncio.wait(
            self._attempts, timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            response = self._handle_finished(task, self._attempts.pop(task))
            if response is not None:
                return response
            self._is_hedge_next = False
        return None

    def _may_send(self) -> bool:
        if self._refusal_count - self._refusals_before_admission > MAX_REFUSALS_PER_ADMISSION:
            return False
        if self._route.kind is RequestKind.AT_MOST_ONCE:
            return not self._attempts and not self._may_have_run
        return self._has_attempts_left() or self._unconfirmed_attempt() is not None

    def _has_attempts_left(self) -> bool:
        return self._send_count - self._refusal_count < self._route.attempts

    def _unconfirmed_attempt(self) -> _Attempt | None:
        """Return an attempt to repeat over a new connection, if all attempts used idle connections.

        The idle connection may be stalled, in which case the worker never saw the request. Such a
        repeat does not count against ``route.attempts``.
        """
        reused = [attempt for attempt in self._attempts.values() if attempt.reused_connection]
        return (
            reused[0] if reused and len(reused) == self._send_count - self._refusal_count else None
        )

    def _send_to_next_worker(self, now: float, remaining: float) -> None:
        self._next_send_at = now + self._hedge_timing.delay_seconds(
            self._route.name,
            self._route.target_seconds,
            is_interactive=self._request.is_interactive,
        )
        self._last_sent_at = now
        self._is_hedge_next = True
        if not self._has_attempts_left():
            unconfirmed = self._unconfirmed_attempt()
            if unconfirmed is not None and self._picker.may_send(unconfirmed.record, self._regions):
                self._send(unconfirmed.record, unconfirmed.choice, remaining)
            return
        choice = self._picker.choose(self._send_criteria(), now)
        record = self._directory.get(choice.worker_id) if choice is not None else None
        if choice is not None and record is not None:
            self._send(record, choice, remaining)
        elif not self._attempts:
            self._wait_for_start(now)

    def _wait_for_start(self, now: float) -> None:
        """Postpone the next send if a worker will soon take another request of this node.

        Raises:
            ForwardingError: None will, or not in time.
        """
        next_start_at = self._picker.next_start_at(
            self._service, self._avoided_workers, self._regions
        )
        next_poll_at = now + FREE_WORKER_POLL_SECONDS
        if max(next_start_at, next_poll_at) > self._start_wait_ends_at():
            raise self._forwarding_error(timed_out=False)
        self._next_send_at = next_poll_at

    def _start_wait_ends_at(self) -> float:
        """Return until when the request may wait for a start.

        One that has not run is rejected early enough for a retry at another node.
        """
        if not self._has_not_run():
            return self._deadline
        return self._started_at + MAX_WAIT_FRACTION * (self._deadline - self._started_at)

    def _send_criteria(self) -> SendCriteria:
        return SendCriteria(
            route=self._route,
            service=self._service,
            body_bytes=len(self._request.body),
            tried=self._tried,
            avoided_workers=self._avoided_workers,
            regions=self._regions,
        )

    def _send(self, record: WorkerRecord, choice: ChosenWorker, remaining: float) -> None:
        # Only the first attempt may reuse an idle connection: if idle connections have stalled,
        # each reuse would waste an attempt.
        needs_new_connection = self._send_count > self._refusal_count
        reused_connection = not needs_new_connection and self._client.has_idle_connection(
            record.worker
        )
        self._send_count += 1
        self._tried.add(record.worker.worker_id)
        request = self._request
        worker_request = WorkerRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            budget_seconds=remaining,
            repeatable=self._route.kind is RequestKind.IDEMPOTENT,
            tenant=request.tenant,
            priority=self._worker_priority,
            fresh_connection=needs_new_connection,
            allowed_regions=self._allowed_regions,
        )
        record.in_flight += 1
        record.body_bytes += len(request.body)
        task = asyncio.get_running_loop().create_task(
            self._caller.call(record.worker, worker_request, self._route, self._fingerprint)
        )
        # A task that is cancelled before it starts never reaches a ``finally`` block of its own.
        task.add_done_callback(lambda _: _subtract_in_flight(record, len(request.body)))
        self._attempts[task] = _Attempt(record, choice, self._clock.monotonic(), reused_connection)

    def _handle_finished(
        self, task: "asyncio.Task[WorkerResponse]", attempt: _Attempt
    ) -> WorkerResponse | None:
        """Process a finished attempt; return its response if it succeeded."""
        now = self._next_send_at = self._clock.monotonic()
        worker_id = attempt.record.worker.worker_id
        worker_started_at_ms = attempt.record.worker.started_at_ms
        try:
            response = task.result()
            self._response_seconds = now - attempt.sent_at
            self._record_run_start(attempt)
            self._record_worker_alive(attempt)
            self._successful_attempt = attempt
            expected_seconds = attempt.choice.expected_seconds
            self._metrics.observe_expected_time(expected_seconds, now - attempt.sent_at)
            self._record_worker_failures(now)
            return response
        except WorkerNotEligibleError:
            # Not sent, so no refusal by a worker: it must not use up those of the admission.
            self._send_count -= 1
            self._next_send_at = now + INELIGIBLE_PAUSE_SECONDS
        except WorkerMisdirectedError:
            self._refusal_count += 1
            self._directory.pause(worker_id, now, MISDIRECTED_PAUSE_SECONDS, worker_started_at_ms)
        except WorkerUnreachableError:
            self._refusal_count += 1
            self._directory.observe_failed_run(worker_id, now, worker_started_at_ms)
            self._directory.observe_failure(
                worker_id, now, worker_started_at_ms, is_unreachable=True
            )
        except WorkerRefusedError:
            self._refusal_count += 1
            self._is_service_full = True
            self._metrics.count_worker_refusal(self._route.name)
            pause_seconds = self._picker.refusal_backoff_seconds(attempt.record, self._route, now)
            self._directory.pause(worker_id, now, pause_seconds, worker_started_at_ms)
        except WorkerBrokenError as error:
            self._record_run_start(attempt)
            self._may_have_run = True
            self._record_broken_run(attempt, error)
            self._failed_workers.append(attempt.record.worker)
            self._directory.observe_failure(worker_id, now, worker_started_at_ms)
        except WorkerTimedOutError as error:
            self._log_failed_run(attempt, error, now)
            self._record_run_start(attempt)
            self._record_worker_alive(attempt)
            self._may_have_run = True
        except WorkerError as error:
            self._log_failed_run(attempt, error, now)
            self._record_run_start(attempt)
            self._record_worker_alive(attempt)
            self._may_have_run = True
            self._worker_failures += 1
            self._failed_workers.append(attempt.record.worker)
        return None

    def _log_failed_run(self, attempt: _Attempt, error: WorkerError, now: float) -> None:
        elapsed_seconds = now - attempt.sent_at
        log_run_failed(self._request.request_id, attempt.record.worker, error, elapsed_seconds)

    def _record_worker_failures(self, now: float) -> None:
        """Record failed runs against their workers, now that another worker has succeeded.

        A request that fails on every worker says nothing about the workers.
        """
        for worker in self._failed_workers:
            self._directory.observe_failed_run(worker.worker_id, now, worker.started_at_ms)

    def _forwarding_error(self, *, timed_out: bool) -> ForwardingError:
        """Return the error for the client, which says whether the request may have run."""
        if self._has_not_run():
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
            worker_failures=self._worker_failures,
        )


def _subtract_in_flight(record: WorkerRecord, body_bytes: int) -> None:
    record.in_flight -= 1
    record.body_bytes -= body_bytes
