"""Live generation requests: streamed to the caller, resumed on another engine if broken.

A generation has no effect outside the engine, so it may be repeated. Its answer is whole or
ends in a typed error: a stream that breaks off goes on from the last token delivered.
"""

from collections import OrderedDict
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from drumbay.api.schema import VersionSpan
from drumbay.backends.interface import (
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    BackendRefusedError,
    EngineClient,
    ExchangeBrokenError,
    TokenChunk,
)
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import AttemptId, BackendId, RequestId
from drumbay.limits.deadline import Deadline
from drumbay.limits.engine_priority import live_engine_priority
from drumbay.limits.retry_budget import RetryBudget
from drumbay.observability.logs import log_event
from drumbay.requests.admission_gate import AdmissionGate
from drumbay.requests.dispatcher import AttemptNeeds, Dispatcher
from drumbay.requests.errors import (
    BackendFailedError,
    NoBackendError,
    RequestTimeoutError,
    no_route,
)
from drumbay.requests.identity import attempt_of
from drumbay.requests.progress import CompletionProgress, attempt_request
from drumbay.requests.records import LiveRequest
from drumbay.requests.route_table import CompiledRoute, RouteTable
from drumbay.resources.schema import RouteKind

MAXIMUM_SPAN_RECORDS = 2_000
RETRY_AFTER_SECONDS = 1.0


class LiveRequestService:
    """Serves live generation requests of one node.

    Args:
        clock: Time.
        engine_client: Talks to engines.
        dispatcher: Chooses engines.
        gate: Admission.
        retry_budget: Bounds the retries of the node.
        is_ready: Returns whether this node has a configuration.
    """

    def __init__(
        self,
        clock: Clock,
        engine_client: EngineClient,
        dispatcher: Dispatcher,
        gate: AdmissionGate,
        retry_budget: RetryBudget,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create a service without routes."""
        self._clock = clock
        self._engine_client = engine_client
        self._dispatcher = dispatcher
        self._gate = gate
        self._retry_budget = retry_budget
        self._is_ready = is_ready
        self._routes = RouteTable(())
        self._spans: OrderedDict[RequestId, tuple[VersionSpan, ...]] = OrderedDict()

    def set_routes(self, routes: RouteTable) -> None:
        """Take in the routes in force."""
        self._routes = routes

    def spans_of(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        """Return the version spans of a recent request; empty if it is not known."""
        return self._spans.get(request_id, ())

    async def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve one request; yields the chunks of one whole completion.

        Raises:
            NoRouteError: No live route carries the model.
            NotReadyError: This node has no configuration yet.
            OverloadedError: A limit is reached.
            NoBackendError: No engine can serve now.
            BackendFailedError: Every attempt broke.
            RequestTimeoutError: The time limit passed.
        """
        compiled = self._routes.for_model(RouteKind.LIVE, request.model)
        if compiled is None:
            raise no_route(
                f"no live route carries the model {request.model}", is_ready=self._is_ready()
            )
        with self._gate.admitted(compiled.route):
            run = _LiveRun(self._clock, request, compiled)
            self._retry_budget.record_request(self._clock.monotonic())
            async with aclosing(self._attempts(run)) as chunks:
                async for chunk in chunks:
                    yield chunk
            self._remember_spans(request.request_id, run.progress.spans)

    def _remember_spans(self, request_id: RequestId, spans: tuple[VersionSpan, ...]) -> None:
        self._spans[request_id] = spans
        if len(self._spans) > MAXIMUM_SPAN_RECORDS:
            self._spans.popitem(last=False)

    async def _attempts(self, run: "_LiveRun") -> AsyncGenerator[TokenChunk, None]:
        while True:
            address, attempt_id = self._choose(run)
            try:
                async with aclosing(self._attempt(run, address, attempt_id)) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except BackendError as error:
                run.note_failure(address.backend_id, error)
                log_event(
                    "attempt_failed",
                    request_id=run.request.request_id,
                    attempt_id=attempt_id,
                    backend_id=address.backend_id,
                    error=error.code,
                    detail=str(error),
                )
                self._check_may_retry(run, error)

    def _choose(self, run: "_LiveRun") -> tuple[BackendAddress, AttemptId]:
        """Choose an engine, at the version of the earlier tokens if one has it."""
        attempt_id = run.next_attempt()
        version = run.progress.last_version
        needs = AttemptNeeds(
            subject_kind=SubjectKind.REQUEST,
            subject_id=run.request.request_id,
            attempt_id=attempt_id,
            compiled=run.compiled,
            prompt=run.request.prompt,
            required_version=version,
            already_tried=run.failed_backends,
        )
        try:
            return self._dispatcher.choose(needs), attempt_id
        except NoBackendError as error:
            if version is None:
                raise run.as_final(error) from error
        any_version = AttemptNeeds(
            subject_kind=needs.subject_kind,
            subject_id=needs.subject_id,
            attempt_id=attempt_id,
            compiled=needs.compiled,
            prompt=needs.prompt,
            already_tried=needs.already_tried,
        )
        try:
            return self._dispatcher.choose(any_version), attempt_id
        except NoBackendError as error:
            raise run.as_final(error) from error

    async def _attempt(
        self, run: "_LiveRun", address: BackendAddress, attempt_id: AttemptId
    ) -> AsyncGenerator[TokenChunk, None]:
        request = run.request
        generation = attempt_request(
            attempt_id=attempt_id,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            progress=run.progress,
            priority=live_engine_priority(run.compiled.route.priority),
            seed=request.seed,
            target_tokens=request.target_tokens,
        )
        remaining = run.deadline.remaining_seconds(self._clock.monotonic())
        completed = False
        try:
            with self._dispatcher.attempt(address, attempt_id):
                stream = self._engine_client.generate(
                    address, generation, timeout_seconds=remaining
                )
                async for chunk in stream:
                    run.progress.accept(address.backend_id, generation, chunk)
                    completed = run.progress.is_finished
                    yield chunk
                if not completed:
                    raise ExchangeBrokenError("the stream ended without its last chunk")
        finally:
            if not completed:
                await self._engine_client.cancel(address, attempt_id)

    def _check_may_retry(self, run: "_LiveRun", error: BackendError) -> None:
        now = self._clock.monotonic()
        if run.deadline.is_expired(now):
            raise RequestTimeoutError("the time limit passed", execution=run.execution) from error
        attempts_left = run.attempt_count < run.compiled.route.max_attempts
        if attempts_left and self._retry_budget.try_withdraw(now):
            return
        raise BackendFailedError(
            f"the last of {run.attempt_count} attempts failed: {error}",
            execution=run.execution,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ) from error


class _LiveRun:
    """State of one request over its attempts."""

    def __init__(self, clock: Clock, request: LiveRequest, compiled: CompiledRoute) -> None:
        self.request = request
        self.compiled = compiled
        self.progress = CompletionProgress()
        self.attempt_count = 0
        self.execution = Execution.NOT_RUN
        self.failed_backends: frozenset[BackendId] = frozenset()
        limit = compiled.route.timeout_seconds
        seconds = min(limit, request.timeout_seconds or limit)
        self.deadline = Deadline.after(seconds, clock.monotonic())

    def next_attempt(self) -> AttemptId:
        self.attempt_count += 1
        return attempt_of(self.request.request_id, self.attempt_count)

    def note_failure(self, backend_id: BackendId, error: BackendError) -> None:
        self.failed_backends |= {backend_id}
        if not isinstance(error, BackendNotReachedError | BackendRefusedError):
            self.execution = Execution.MAY_HAVE_RUN

    def as_final(self, error: NoBackendError) -> NoBackendError:
        """Return the error with what is known about the earlier attempts."""
        return NoBackendError(
            error.detail,
            execution=self.execution,
            retry_after_seconds=error.retry_after_seconds,
        )
