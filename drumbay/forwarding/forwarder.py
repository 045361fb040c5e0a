"""Forwards one client request to workers: choice, retries, hedging, deadline.

Idempotent requests may go to several workers, at most ``route.attempts``; the first whole
answer wins and the others are closed. A request that may run once only is sent again only
when the worker before has proved that it did not run.
"""

import asyncio

import msgspec

from drumbay.admission.gate import AdmissionGate
from drumbay.admission.service import retry_after_seconds
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.forwarding.hedge_timing import LATEST_SHARE_WITHOUT_BUDGET, HedgeTiming
from drumbay.forwarding.records import (
    AnswerLostError,
    ClientRequest,
    ForwardingError,
    NoWorkerError,
    RequestHeldBackError,
    RequestTimedOutError,
)
from drumbay.forwarding.request_log import (
    RequestTrace,
    log_not_served,
    log_run_broken,
    log_run_failed,
    log_served,
)
from drumbay.forwarding.routes import RequestKind, Route, RouteTable
from drumbay.forwarding.service_turn import ServiceTurn
from drumbay.forwarding.worker_call import WorkerCaller
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.forwarding.worker_picker import NextSend, WorkerPicker
from drumbay.identifiers import BackendId
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.quarantine.records import Decision, Verdict
from drumbay.quarantine.service import Quarantine
from drumbay.usage.counter import UsageCounter
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import (
    Worker,
    WorkerAnswer,
    WorkerBrokenError,
    WorkerError,
    WorkerMisdirectedError,
    WorkerRefusedError,
    WorkerRequest,
    WorkerTimedOutError,
    WorkerUnreachableError,
)
from drumbay.workers.worker_record import WorkerRecord

MINIMUM_BUDGET_SECONDS = 0.02
"""With less time left, no worker is asked any more."""

MAXIMUM_REFUSALS = 6
"""After as many refusals in one turn a request waits again: each costs its worker a connection."""

RETRY_AFTER_SECONDS = 0.25
"""Callers of a service without a worker come back then, before their deadline: workers start in
seconds, yet another node may see one already."""

FREE_WORKER_CHECK_SECONDS = 0.05
"""A request with nothing under way looks so often whether a worker has come free."""

MISDIRECTED_PAUSE_SECONDS = 5.0
"""Another worker stands at the address: discovery tells of that within seconds."""

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
        machine: str,
        *,
        has_admission: bool = True,
    ) -> None:
        """Create a forwarder for a node in ``zone``.

        It counts the requests of tenants, and asks the quarantine before each run. Nodes on
        different machines choose differently between equal workers.
        """
        self.quarantine = quarantine
        self.clock = clock
        self.directory = directory
        self.client = client
        self.metrics = metrics
        self.hedge_timing = HedgeTiming(clock.monotonic())
        self.picker = WorkerPicker(directory, client, self.hedge_timing, zone, machine)
        self.caller = WorkerCaller(clock, directory, client, self.hedge_timing, quarantine)
        self._routes = routes
        self._usage = usage
        self.admission = AdmissionGate(clock, directory, metrics, is_enabled=has_admission)

    async def forward(self, route: Route, request: ClientRequest) -> WorkerAnswer:
        """Return a worker's whole answer.

        Raises:
            ForwardingError: The final answer is a failure; says whether it may have run.
        """
        service = self._routes.choose_service(route)
        forwarding = _Forwarding(self, route, service, request, self._routes.ranks_at(service))
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
            self.metrics.count_request(route.name, outcome, self.clock.monotonic() - started_at)


class _Attempt(msgspec.Struct, frozen=True):
    """A send to one worker, at a monotonic time; ``was_kept`` if its connection seemed kept.

    ``choice`` tells why the worker was chosen.
    """

    record: WorkerRecord
    choice: ChosenWorker
    sent_at: float
    was_kept: bool


class _Forwarding:
    """One client request on its way: the attempts so far and those under way."""

    def __init__(
        self,
        forwarder: Forwarder,
        route: Route,
        service: str,
        request: ClientRequest,
        ranks: frozenset[int],
    ) -> None:
        self._clock = forwarder.clock
        self._directory = forwarder.directory
        self._client = forwarder.client
        self._picker = forwarder.picker
        self._caller = forwarder.caller
        self._metrics = forwarder.metrics
        self._timing = forwarder.hedge_timing
        self._quarantine = forwarder.quarantine
        self._route = route
        self._service = service
        self._request = request
        self._fingerprint = request.fingerprint
        self._started_at = self._clock.monotonic()
        limit_seconds = min(request.budget_seconds, route.timeout_seconds)
        self._deadline = self._started_at + limit_seconds
        self._next_send = self._started_at
        self._last_sent_at = self._started_at
        self._is_hedge_next = False
        self._answered_by: _Attempt | None = None
        self._turn = ServiceTurn(
            forwarder.admission, service, request, self._started_at, self._deadline
        )
        self._worker_priority = request.priority if len(ranks) > 1 else None
        """Told to workers only where requests of several ranks meet there."""

        self._attempts: dict[asyncio.Task[WorkerAnswer], _Attempt] = {}
        self.began_at: float | None = None
        """When the first run may have begun; known for good once the request has its answer."""

        self._sent = 0
        self._refusals = 0
        self._refusals_before_turn = 0
        self._is_service_full = False
        self._answered_attempt_seconds: float | None = None
        self._worker_failures = 0
        self._failed_at: list[Worker] = []
        self._may_have_run = False
        self._tried: set[BackendId] = set()
        self._apart_from: frozenset[BackendId] = frozenset()

    async def run(self) -> WorkerAnswer:
        """Send until an answer is whole or nothing more can be done."""
        await self._turn.take()
        self._next_send = self._clock.monotonic()
        self._timing.record_request(self._next_send, is_awaited=self._request.is_awaited)
        while True:
            now = self._clock.monotonic()
            remaining = self._deadline - now
            if remaining < MINIMUM_BUDGET_SECONDS:
                raise self._failure(timed_out=True)
            if self._was_refused_by_all(now):
                await self._wait_for_another_turn()
                continue
            is_due = now >= self._next_send and self._may_send()
            if is_due and self._is_let_through(now) and self._may_hedge(now):
                self._send_to_next(now, remaining)
            if self._attempts:
                answer = await self._wait(now, remaining)
                if answer is not None:
                    return answer
            elif self._may_send():
                pause_seconds = max(self._next_send - now, SUSPECT_PAUSE_SECONDS)
                await self._clock.sleep(min(pause_seconds, FREE_WORKER_CHECK_SECONDS, remaining))
            else:
                raise self._failure(timed_out=False)

    def _was_refused_by_all(self, now: float) -> bool:
        """Return whether workers have refused the request for want of room, and none is left."""
        if not self._is_service_full or self._attempts or not self._has_not_run():
            return False
        if not self._turn.is_limited:
            return False
        return self._refusals - self._refusals_before_turn > MAXIMUM_REFUSALS or not any(
            record.is_available(now)
            for record in self._picker.allowed(self._service, self._apart_from)
        )

    async def _wait_for_another_turn(self) -> None:
        await self._turn.take_another()
        self._refusals_before_turn = self._refusals
        self._is_service_full = False
        self._next_send = self._clock.monotonic()

    def _has_not_run(self) -> bool:
        return not self._may_have_run and self._sent == self._refusals

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

    def _may_hedge(self, now: float) -> bool:
        """Return whether the budget allows the next send, if that is a second copy.

        Without budget, it is put off until a kept connection may be taken for a silent one.
        """
        if not self._is_hedge_next or not self._attempts:
            return True
        silent_at = self._last_sent_at + self._route.target_seconds * LATEST_SHARE_WITHOUT_BUDGET
        may_be_silent = self._unproved() is not None
        is_in_budget = self._timing.try_withdraw(now, is_awaited=self._request.is_awaited)
        if is_in_budget or (may_be_silent and now >= silent_at):
            self._metrics.count_hedge("sent")
            return True
        self._metrics.count_hedge("no_budget")
        self._next_send = silent_at if may_be_silent else self._deadline
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
        self._turn.close(self._answered_attempt_seconds)

    def _note_began(self, attempt: _Attempt) -> None:
        if self.began_at is None or attempt.sent_at < self.began_at:
            self.began_at = attempt.sent_at

    def log_answer(self, answer: WorkerAnswer) -> None:
        """Log the answer, and why its worker was chosen."""
        choice = self._answered_by.choice if self._answered_by is not None else None
        log_served(self._trace(), answer.status, choice)

    def log_failure(self, error: ForwardingError) -> None:
        """Log the final failure with what led to it."""
        log_not_served(self._trace(), error)

    def _trace(self) -> RequestTrace:
        return RequestTrace(
            request_id=self._request.request_id,
            fingerprint=self._fingerprint,
            route=self._route.name,
            service=self._service,
            sent=self._sent,
            refusals=self._refusals,
            workers=self._tried,
            elapsed_seconds=self._clock.monotonic() - self._started_at,
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
        log_run_broken(
            self._request.request_id,
            self._fingerprint,
            attempt.record.worker,
            error,
            self._clock.monotonic() - attempt.sent_at,
            was_kept=attempt.was_kept,
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
            self._is_hedge_next = False
        return None

    def _may_send(self) -> bool:
        if self._refusals - self._refusals_before_turn > MAXIMUM_REFUSALS:
            return False
        if self._route.kind is RequestKind.AT_MOST_ONCE:
            return not self._attempts and not self._may_have_run
        return self._has_attempts_left() or self._unproved() is not None

    def _has_attempts_left(self) -> bool:
        return self._sent - self._refusals < self._route.attempts

    def _unproved(self) -> _Attempt | None:
        """Return the attempt to make again, over a new connection, if none was used so far.

        Its worker may not have seen the request, whose kept connection may be silent: asking it
        again uses up none of the workers that the route allows.
        """
        kept = [attempt for attempt in self._attempts.values() if attempt.was_kept]
        return kept[0] if kept and len(kept) == self._sent - self._refusals else None

    def _send_to_next(self, now: float, remaining: float) -> None:
        self._next_send = now + self._timing.delay_seconds(
            self._route.name, self._route.target_seconds, is_awaited=self._request.is_awaited
        )
        self._last_sent_at = now
        self._is_hedge_next = True
        if not self._has_attempts_left():
            unproved = self._unproved()
            if unproved is not None:
                self._send(unproved.record, unproved.choice, remaining)
            return
        choice = self._picker.choose(self._next(), now)
        record = self._directory.get(choice.worker_id) if choice is not None else None
        if choice is not None and record is not None:
            self._send(record, choice, remaining)
        elif not self._attempts:
            raise self._failure(timed_out=False)

    def _next(self) -> NextSend:
        return NextSend(
            route=self._route,
            service=self._service,
            body_bytes=len(self._request.body),
            tried=self._tried,
            apart_from=self._apart_from,
        )

    def _send(self, record: WorkerRecord, choice: ChosenWorker, remaining: float) -> None:
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
            priority=self._worker_priority,
            fresh_connection=is_fresh,
        )
        record.in_flight += 1
        record.body_bytes += len(request.body)
        task = asyncio.get_running_loop().create_task(
            self._caller.call(record.worker, outgoing, self._route, self._fingerprint)
        )
        # A task that is cancelled before it runs never comes to a ``finally`` of its own.
        task.add_done_callback(lambda _: _note_ended(record, len(request.body)))
        self._attempts[task] = _Attempt(record, choice, self._clock.monotonic(), was_kept)

    def _settle(self, task: "asyncio.Task[WorkerAnswer]", attempt: _Attempt) -> WorkerAnswer | None:
        """Take a finished attempt; return its answer if it is final."""
        now = self._clock.monotonic()
        worker_id = attempt.record.worker.worker_id
        worker_start = attempt.record.worker.started_at_ms
        try:
            answer = task.result()
            self._answered_attempt_seconds = now - attempt.sent_at
            self._note_began(attempt)
            self._note_survived(attempt)
            self._answered_by = attempt
            expected_seconds = attempt.choice.expected_seconds
            self._metrics.observe_expected_time(expected_seconds, now - attempt.sent_at)
            self._blame_workers(now)
            return answer
        except WorkerMisdirectedError:
            self._refusals += 1
            self._directory.pause(worker_id, now, MISDIRECTED_PAUSE_SECONDS, worker_start)
        except WorkerUnreachableError:
            self._refusals += 1
            self._directory.observe_failed_run(worker_id, now, worker_start)
            self._directory.observe_failure(worker_id, now, worker_start)
        except WorkerRefusedError:
            self._refusals += 1
            self._is_service_full = True
            self._metrics.count_worker_refusal(self._route.name)
            pause_seconds = self._picker.refusal_seconds(attempt.record, self._route, now)
            self._directory.pause(worker_id, now, pause_seconds, worker_start)
        except WorkerBrokenError as error:
            self._note_began(attempt)
            self._may_have_run = True
            self._note_broken(attempt, error)
            self._failed_at.append(attempt.record.worker)
            self._directory.observe_failure(worker_id, now, worker_start)
        except WorkerTimedOutError as error:
            self._log_failed_run(attempt, error, now)
            self._note_began(attempt)
            self._note_survived(attempt)
            self._may_have_run = True
        except WorkerError as error:
            self._log_failed_run(attempt, error, now)
            self._note_began(attempt)
            self._note_survived(attempt)
            self._may_have_run = True
            self._worker_failures += 1
            self._failed_at.append(attempt.record.worker)
        return None

    def _log_failed_run(self, attempt: _Attempt, error: WorkerError, now: float) -> None:
        elapsed_seconds = now - attempt.sent_at
        log_run_failed(self._request.request_id, attempt.record.worker, error, elapsed_seconds)

    def _blame_workers(self, now: float) -> None:
        """Hold failed runs against their workers, now that another one has answered.

        A request that fails on every worker says nothing about any of them.
        """
        for worker in self._failed_at:
            self._directory.observe_failed_run(worker.worker_id, now, worker.started_at_ms)

    def _failure(self, *, timed_out: bool) -> ForwardingError:
        """Return the final answer: what the client may conclude about the request."""
        if self._has_not_run():
            left_seconds = self._deadline - self._clock.monotonic()
            return NoWorkerError(
                "no worker took the request",
                execution=Execution.NOT_RUN,
                retry_after_seconds=retry_after_seconds(
                    self._request.request_id, RETRY_AFTER_SECONDS, left_seconds
                ),
            )
        kind = RequestTimedOutError if timed_out else AnswerLostError
        return kind(
            "no whole answer came",
            execution=Execution.MAY_HAVE_RUN,
            worker_failures=self._worker_failures,
        )


def _note_ended(record: WorkerRecord, body_bytes: int) -> None:
    record.in_flight -= 1
    record.body_bytes -= body_bytes
