"""Application requests: repeatable ones are retried, others run at most once."""

from collections.abc import Callable, Coroutine
from typing import Any

import xxhash

from drumbay.backends.interface import (
    ApplicationAnswer,
    ApplicationClient,
    ApplicationRequest,
    BackendAddress,
    BackendError,
)
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import BackendId
from drumbay.limits.deadline import Deadline
from drumbay.limits.recent_latency import RecentLatency
from drumbay.limits.retry_budget import RetryBudget
from drumbay.observability.logs import log_event
from drumbay.requests.admission_gate import AdmissionGate
from drumbay.requests.dispatcher import AttemptNeeds, Dispatcher
from drumbay.requests.errors import (
    PROVES_NOT_RUN,
    BackendFailedError,
    NoBackendError,
    RequestTimeoutError,
    no_route,
    not_run,
)
from drumbay.requests.hedging import first_answer
from drumbay.requests.identity import attempt_of
from drumbay.requests.once import OnceRunner
from drumbay.requests.records import ApplicationCall
from drumbay.requests.route_table import CompiledRoute, RouteTable

RETRY_AFTER_SECONDS = 1.0
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ApplicationRequestService:
    """Serves application requests of one node.

    Args:
        clock: Time.
        client: Talks to application servers.
        dispatcher: Chooses servers.
        gate: Admission.
        retry_budget: Bounds the retries of the node.
        once: Runs requests that may not be repeated at most once.
        is_ready: Returns whether this node has a configuration.
    """

    def __init__(
        self,
        clock: Clock,
        client: ApplicationClient,
        dispatcher: Dispatcher,
        gate: AdmissionGate,
        retry_budget: RetryBudget,
        once: OnceRunner,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create a service without routes."""
        self._clock = clock
        self._client = client
        self._dispatcher = dispatcher
        self._gate = gate
        self._retry_budget = retry_budget
        self._once = once
        self._is_ready = is_ready
        self._routes = RouteTable(())
        self._latencies: dict[str, RecentLatency] = {}

    def set_routes(self, routes: RouteTable) -> None:
        """Take in the routes in force."""
        self._routes = routes

    async def run(self, call: ApplicationCall) -> ApplicationAnswer:
        """Run one request and return its whole answer.

        Raises:
            NoRouteError: No application route carries the path.
            NotReadyError: This node has no configuration yet.
            InvalidRequestError: It may not be repeated and has no idempotency key.
            RequestFailedError: It was not served; the error says whether it may have run.
        """
        compiled = self._routes.for_path(call.path)
        if compiled is None:
            raise no_route(
                f"no application route carries the path {call.path}", is_ready=self._is_ready()
            )
        repeatable = _is_repeatable(call, compiled)
        with self._gate.admitted(compiled.route):
            run = _ApplicationRun(self._clock, call, compiled)
            self._retry_budget.record_request(self._clock.monotonic())
            if repeatable:
                return await self._dispatch(run, may_repeat=True)
            return await self._run_once(run)

    async def _run_once(self, run: "_ApplicationRun") -> ApplicationAnswer:
        call = run.call
        if call.idempotency_key is None:
            raise not_run("a request that may not be repeated needs an Idempotency-Key")
        return await self._once.run(
            scope=run.compiled.route.name,
            key=call.idempotency_key,
            digest=_digest(call),
            dispatch=lambda: self._dispatch(run, may_repeat=False),
            remaining_seconds=run.deadline.remaining_seconds(self._clock.monotonic()),
        )

    async def _dispatch(self, run: "_ApplicationRun", *, may_repeat: bool) -> ApplicationAnswer:
        """Try servers until one answers; a request that may have run is not tried again.

        Raises:
            RequestFailedError: It was not served.
        """
        while True:
            try:
                return await self._attempt(run, may_repeat=may_repeat)
            except BackendError as error:
                run.note_failure(error)
                self._check_may_retry(run, error, may_repeat)

    async def _attempt(self, run: "_ApplicationRun", *, may_repeat: bool) -> ApplicationAnswer:
        """Try one server, and a second one if it is slow and the request may be repeated."""
        started_at = self._clock.monotonic()
        first = self._start_attempt(run)
        latency = self._latencies.setdefault(run.compiled.route.name, RecentLatency())
        delay_seconds = latency.hedge_delay_seconds()
        if delay_seconds is None or not may_repeat:
            answer = await first
        else:
            answer = await first_answer(self._clock, first, delay_seconds, lambda: self._hedge(run))
        # NOTE: with a hedge, the time since the first attempt; else each hedge that wins
        # would shorten the delay of the next ones.
        latency.observe(self._clock.monotonic() - started_at)
        return answer

    def _hedge(self, run: "_ApplicationRun") -> Coroutine[Any, Any, ApplicationAnswer] | None:
        """Return an attempt at another server, if the limits on attempts allow one."""
        if run.attempt_count >= run.compiled.route.max_attempts:
            return None
        if not self._retry_budget.try_withdraw(self._clock.monotonic()):
            return None
        if run.current is not None:
            run.failed_backends |= {run.current}
        try:
            return self._start_attempt(run)
        except NoBackendError:
            return None

    def _start_attempt(self, run: "_ApplicationRun") -> Coroutine[Any, Any, ApplicationAnswer]:
        """Choose a server and return the exchange with it.

        Raises:
            NoBackendError: No server can serve now.
        """
        call = run.call
        run.attempt_count += 1
        attempt_id = attempt_of(call.request_id, run.attempt_count)
        needs = AttemptNeeds(
            subject_kind=SubjectKind.REQUEST,
            subject_id=call.request_id,
            attempt_id=attempt_id,
            compiled=run.compiled,
            already_tried=run.failed_backends,
        )
        try:
            address = self._dispatcher.choose(needs)
        except NoBackendError as error:
            raise NoBackendError(
                error.detail,
                execution=run.execution,
                retry_after_seconds=error.retry_after_seconds,
            ) from error
        run.current = address.backend_id
        request = ApplicationRequest(
            attempt_id=attempt_id,
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            idempotency_key=call.idempotency_key,
        )
        return self._exchange(run, address, request)

    async def _exchange(
        self, run: "_ApplicationRun", address: BackendAddress, request: ApplicationRequest
    ) -> ApplicationAnswer:
        remaining = run.deadline.remaining_seconds(self._clock.monotonic())
        with self._dispatcher.attempt(address, request.attempt_id):
            return await self._client.exchange(address, request, timeout_seconds=remaining)

    def _check_may_retry(
        self, run: "_ApplicationRun", error: BackendError, may_repeat: bool
    ) -> None:
        now = self._clock.monotonic()
        log_event(
            "attempt_failed",
            request_id=run.call.request_id,
            backend_id=run.current,
            error=error.code,
            detail=str(error),
        )
        if run.deadline.is_expired(now):
            raise RequestTimeoutError("the time limit passed", execution=run.execution) from error
        is_settled = run.execution is Execution.MAY_HAVE_RUN and not may_repeat
        attempts_left = run.attempt_count < run.compiled.route.max_attempts
        if not is_settled and attempts_left and self._retry_budget.try_withdraw(now):
            return
        raise BackendFailedError(
            f"the last of {run.attempt_count} attempts failed: {error}",
            execution=run.execution,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ) from error


class _ApplicationRun:
    """State of one request over its attempts."""

    def __init__(self, clock: Clock, call: ApplicationCall, compiled: CompiledRoute) -> None:
        self.call = call
        self.compiled = compiled
        self.attempt_count = 0
        self.execution = Execution.NOT_RUN
        self.current: BackendId | None = None
        self.failed_backends: frozenset[BackendId] = frozenset()
        limit = compiled.route.timeout_seconds
        seconds = min(limit, call.timeout_seconds or limit)
        self.deadline = Deadline.after(seconds, clock.monotonic())

    def note_failure(self, error: BackendError) -> None:
        """Remember the failed back end, and whether the request may have run there."""
        if self.current is not None:
            self.failed_backends |= {self.current}
        if not isinstance(error, PROVES_NOT_RUN):
            self.execution = Execution.MAY_HAVE_RUN


def _is_repeatable(call: ApplicationCall, compiled: CompiledRoute) -> bool:
    """Return what the caller declared, else what the method or the route says.

    Safe methods have no effect and may be repeated (RFC 9110, section 9.2.1).
    """
    if call.repeatable is not None:
        return call.repeatable
    return call.method in SAFE_METHODS or compiled.route.repeatable


def _digest(call: ApplicationCall) -> str:
    """Return the digest by which a reused key is recognised."""
    digest = xxhash.xxh3_128()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
