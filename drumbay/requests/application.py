"""Application requests: repeatable ones may be retried, others run at most once."""

from collections.abc import Callable, Coroutine
from typing import Any

import xxhash

from drumbay.backends.interface import (
    ApplicationClient,
    ApplicationRequest,
    ApplicationResponse,
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
from drumbay.requests.at_most_once import AtMostOnceRunner
from drumbay.requests.dispatcher import AttemptRequirements, Dispatcher
from drumbay.requests.errors import (
    NOT_RUN_ERRORS,
    BackendFailedError,
    NoBackendError,
    RequestTimeoutError,
    invalid_request_error,
    no_route_error,
)
from drumbay.requests.hedging import first_response
from drumbay.requests.identity import attempt_id_of
from drumbay.requests.records import ApplicationCall
from drumbay.requests.route_table import CompiledRoute, RouteTable

RETRY_AFTER_SECONDS = 1.0
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ApplicationRequestService:
    """Serves application requests of one node.

    Args:
        clock: Time source.
        client: Sends requests to application servers.
        dispatcher: Selects servers.
        gate: Admits or rejects requests.
        retry_budget: Limits the retries of this node.
        once: Runs requests that are not repeatable, at most once each.
        is_ready: Returns whether this node has a configuration.
    """

    def __init__(
        self,
        clock: Clock,
        client: ApplicationClient,
        dispatcher: Dispatcher,
        gate: AdmissionGate,
        retry_budget: RetryBudget,
        once: AtMostOnceRunner,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create a service without routes."""
        self._clock = clock
        self._client = client
        self._dispatcher = dispatcher
        self._gate = gate
        self._retry_budget = retry_budget
        self._at_most_once = once
        self._is_ready = is_ready
        self._routes = RouteTable(())
        self._latencies: dict[str, RecentLatency] = {}

    def set_routes(self, routes: RouteTable) -> None:
        """Replace the routes with those of the current configuration."""
        self._routes = routes

    async def run(self, call: ApplicationCall) -> ApplicationResponse:
        """Run one request and return its complete response.

        Raises:
            NoRouteError: No application route matches the path.
            NotReadyError: This node has no configuration yet.
            InvalidRequestError: The request is not repeatable and has no idempotency key.
            RequestFailedError: The request failed; the error states whether it may have run.
        """
        compiled = self._routes.for_path(call.path)
        if compiled is None:
            raise no_route_error(
                f"no application route carries the path {call.path}", is_ready=self._is_ready()
            )
        repeatable = _is_repeatable(call, compiled)
        with self._gate.admitted(compiled.route):
            state = _ApplicationRequestState(self._clock, call, compiled)
            self._retry_budget.record_request(self._clock.monotonic())
            if repeatable:
                return await self._dispatch(state, may_repeat=True)
            return await self._run_at_most_once(state)

    async def _run_at_most_once(self, state: "_ApplicationRequestState") -> ApplicationResponse:
        call = state.call
        if call.idempotency_key is None:
            raise invalid_request_error(
                "a request that may not be repeated needs an Idempotency-Key"
            )
        return await self._at_most_once.run(
            scope=state.compiled.route.name,
            key=call.idempotency_key,
            digest=_request_digest(call),
            dispatch=lambda: self._dispatch(state, may_repeat=False),
            remaining_seconds=state.deadline.remaining_seconds(self._clock.monotonic()),
        )

    async def _dispatch(
        self, state: "_ApplicationRequestState", *, may_repeat: bool
    ) -> ApplicationResponse:
        """Run attempts until a server responds.

        A request that may have run is tried again only if ``may_repeat`` is set.

        Raises:
            RequestFailedError: No attempt succeeded.
        """
        while True:
            try:
                return await self._run_attempt(state, may_repeat=may_repeat)
            except BackendError as error:
                state.record_failure(error)
                self._raise_unless_retriable(state, error, may_repeat)

    async def _run_attempt(
        self, state: "_ApplicationRequestState", *, may_repeat: bool
    ) -> ApplicationResponse:
        """Run an attempt, hedged if it is slow and the request may be repeated."""
        started_at = self._clock.monotonic()
        first = self._start_attempt(state)
        latency = self._latencies.setdefault(state.compiled.route.name, RecentLatency())
        delay_seconds = latency.hedge_delay_seconds()
        if delay_seconds is None or not may_repeat:
            response = await first
        else:
            response = await first_response(
                self._clock, first, delay_seconds, lambda: self._start_hedge(state)
            )
        # Measured from the first attempt: the latency of a hedge alone would bias the estimate, and
        # with it the hedge delay of later requests, towards short values.
        latency.observe(self._clock.monotonic() - started_at)
        return response

    def _start_hedge(
        self, state: "_ApplicationRequestState"
    ) -> Coroutine[Any, Any, ApplicationResponse] | None:
        """Return an attempt on another server; ``None`` if not allowed or none is eligible."""
        if state.attempt_count >= state.compiled.route.max_attempts:
            return None
        if not self._retry_budget.try_withdraw(self._clock.monotonic()):
            return None
        if state.current_backend is not None:
            state.failed_backends |= {state.current_backend}
        try:
            return self._start_attempt(state)
        except NoBackendError:
            return None

    def _start_attempt(
        self, state: "_ApplicationRequestState"
    ) -> Coroutine[Any, Any, ApplicationResponse]:
        """Select a server and return the coroutine that performs the exchange with it.

        Raises:
            NoBackendError: No server is eligible.
        """
        call = state.call
        state.attempt_count += 1
        attempt_id = attempt_id_of(call.request_id, state.attempt_count)
        requirements = AttemptRequirements(
            subject_kind=SubjectKind.REQUEST,
            subject_id=call.request_id,
            attempt_id=attempt_id,
            compiled=state.compiled,
            already_tried=state.failed_backends,
        )
        try:
            address = self._dispatcher.choose(requirements)
        except NoBackendError as error:
            raise NoBackendError(
                error.detail,
                execution=state.execution,
                retry_after_seconds=error.retry_after_seconds,
            ) from error
        state.current_backend = address.backend_id
        request = ApplicationRequest(
            attempt_id=attempt_id,
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            idempotency_key=call.idempotency_key,
        )
        return self._exchange(state, address, request)

    async def _exchange(
        self,
        state: "_ApplicationRequestState",
        address: BackendAddress,
        request: ApplicationRequest,
    ) -> ApplicationResponse:
        remaining_seconds = state.deadline.remaining_seconds(self._clock.monotonic())
        with self._dispatcher.attempt(address, request.attempt_id):
            return await self._client.exchange(address, request, timeout_seconds=remaining_seconds)

    def _raise_unless_retriable(
        self, state: "_ApplicationRequestState", error: BackendError, may_repeat: bool
    ) -> None:
        now = self._clock.monotonic()
        log_event(
            "attempt_failed",
            request_id=state.call.request_id,
            backend_id=state.current_backend,
            error=error.code,
            detail=str(error),
        )
        if state.deadline.is_expired(now):
            raise RequestTimeoutError("the time limit passed", execution=state.execution) from error
        may_not_repeat = state.execution is Execution.MAY_HAVE_RUN and not may_repeat
        attempts_left = state.attempt_count < state.compiled.route.max_attempts
        if not may_not_repeat and attempts_left and self._retry_budget.try_withdraw(now):
            return
        raise BackendFailedError(
            f"the last of {state.attempt_count} attempts failed: {error}",
            execution=state.execution,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ) from error


class _ApplicationRequestState:
    """State of one request across its attempts."""

    def __init__(self, clock: Clock, call: ApplicationCall, compiled: CompiledRoute) -> None:
        self.call = call
        self.compiled = compiled
        self.attempt_count = 0
        self.execution = Execution.NOT_RUN
        self.current_backend: BackendId | None = None
        self.failed_backends: frozenset[BackendId] = frozenset()
        route_timeout_seconds = compiled.route.timeout_seconds
        timeout_seconds = min(route_timeout_seconds, call.timeout_seconds or route_timeout_seconds)
        self.deadline = Deadline.after(timeout_seconds, clock.monotonic())

    def record_failure(self, error: BackendError) -> None:
        """Exclude the failed backend from retries, and record whether the request may have run."""
        if self.current_backend is not None:
            self.failed_backends |= {self.current_backend}
        if not isinstance(error, NOT_RUN_ERRORS):
            self.execution = Execution.MAY_HAVE_RUN


def _is_repeatable(call: ApplicationCall, compiled: CompiledRoute) -> bool:
    """Return the caller's choice, or else the default of the method or route.

    Safe methods are read-only and may be repeated (RFC 9110, section 9.2.1).
    """
    if call.repeatable is not None:
        return call.repeatable
    return call.method in SAFE_METHODS or compiled.route.repeatable


def _request_digest(call: ApplicationCall) -> str:
    """Return a digest that detects an idempotency key reused for a different request."""
    digest = xxhash.xxh3_128()
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
