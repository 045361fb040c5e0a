"""Live generation requests: streamed to the caller, resumed on another engine on failure.

Generation has no side effects outside the engine, so it may be retried. A broken stream is
resumed after the last token delivered. A response is either complete or ends with an error.
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
from drumbay.requests.dispatcher import AttemptRequirements, Dispatcher
from drumbay.requests.errors import (
    BackendFailedError,
    NoBackendError,
    RequestTimeoutError,
    no_route_error,
)
from drumbay.requests.identity import attempt_id_of
from drumbay.requests.progress import CompletionProgress, build_generation_request
from drumbay.requests.records import LiveRequest
from drumbay.requests.route_table import CompiledRoute, RouteTable
from drumbay.resources.schema import RouteKind

MAX_SPAN_RECORDS = 2_000
RETRY_AFTER_SECONDS = 1.0


class LiveRequestService:
    """Serves live generation requests of one node.

    Args:
        clock: Time source.
        engine_client: Sends requests to engines.
        dispatcher: Selects engines.
        gate: Admits or rejects requests.
        retry_budget: Limits the retries of this node.
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
        """Replace the routes with those of the current configuration."""
        self._routes = routes

    def spans_of(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        """Return the version spans of a recent request, or an empty tuple if it is unknown."""
        return self._spans.get(request_id, ())

    async def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve one request and yield the chunks of the complete completion.

        Raises:
            NoRouteError: No live route matches the model.
            NotReadyError: This node has no configuration yet.
            OverloadedError: A limit is reached.
            NoBackendError: No engine is eligible.
            BackendFailedError: All attempts failed.
            RequestTimeoutError: The request timed out.
        """
        compiled = self._routes.for_model(RouteKind.LIVE, request.model)
        if compiled is None:
            raise no_route_error(
                f"no live route carries the model {request.model}", is_ready=self._is_ready()
            )
        with self._gate.admitted(compiled.route):
            state = _LiveRequestState(self._clock, request, compiled)
            self._retry_budget.record_request(self._clock.monotonic())
            async with aclosing(self._run_attempts(state)) as chunks:
                async for chunk in chunks:
                    yield chunk
            self._record_spans(request.request_id, state.progress.spans)

    def _record_spans(self, request_id: RequestId, spans: tuple[VersionSpan, ...]) -> None:
        self._spans[request_id] = spans
        if len(self._spans) > MAX_SPAN_RECORDS:
            self._spans.popitem(last=False)

    async def _run_attempts(self, state: "_LiveRequestState") -> AsyncGenerator[TokenChunk, None]:
        while True:
            address, attempt_id = self._choose_engine(state)
            try:
                async with aclosing(self._run_attempt(state, address, attempt_id)) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except BackendError as error:
                state.record_failure(address.backend_id, error)
                log_event(
                    "attempt_failed",
                    request_id=state.request.request_id,
                    attempt_id=attempt_id,
                    backend_id=address.backend_id,
                    error=error.code,
                    detail=str(error),
                )
                self._raise_unless_retriable(state, error)

    def _choose_engine(self, state: "_LiveRequestState") -> tuple[BackendAddress, AttemptId]:
        """Select an engine, preferably with the weight version of the last token."""
        attempt_id = state.next_attempt_id()
        last_version = state.progress.last_version
        requirements = AttemptRequirements(
            subject_kind=SubjectKind.REQUEST,
            subject_id=state.request.request_id,
            attempt_id=attempt_id,
            compiled=state.compiled,
            prompt=state.request.prompt,
            required_version=last_version,
            already_tried=state.failed_backends,
        )
        try:
            return self._dispatcher.choose(requirements), attempt_id
        except NoBackendError as error:
            if last_version is None:
                raise state.with_execution(error) from error
        any_version_requirements = AttemptRequirements(
            subject_kind=requirements.subject_kind,
            subject_id=requirements.subject_id,
            attempt_id=attempt_id,
            compiled=requirements.compiled,
            prompt=requirements.prompt,
            already_tried=requirements.already_tried,
        )
        try:
            return self._dispatcher.choose(any_version_requirements), attempt_id
        except NoBackendError as error:
            raise state.with_execution(error) from error

    async def _run_attempt(
        self, state: "_LiveRequestState", address: BackendAddress, attempt_id: AttemptId
    ) -> AsyncGenerator[TokenChunk, None]:
        request = state.request
        generation = build_generation_request(
            attempt_id=attempt_id,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            progress=state.progress,
            priority=live_engine_priority(state.compiled.route.priority),
            seed=request.seed,
            target_tokens=request.target_tokens,
        )
        remaining_seconds = state.deadline.remaining_seconds(self._clock.monotonic())
        completed = False
        try:
            with self._dispatcher.attempt(address, attempt_id):
                stream = self._engine_client.generate(
                    address, generation, timeout_seconds=remaining_seconds
                )
                async for chunk in stream:
                    state.progress.accept(address.backend_id, generation, chunk)
                    completed = state.progress.is_finished
                    yield chunk
                if not completed:
                    raise ExchangeBrokenError("the stream ended without its last chunk")
        finally:
            if not completed:
                await self._engine_client.cancel(address, attempt_id)

    def _raise_unless_retriable(self, state: "_LiveRequestState", error: BackendError) -> None:
        now = self._clock.monotonic()
        if state.deadline.is_expired(now):
            raise RequestTimeoutError("the time limit passed", execution=state.execution) from error
        attempts_left = state.attempt_count < state.compiled.route.max_attempts
        if attempts_left and self._retry_budget.try_withdraw(now):
            return
        raise BackendFailedError(
            f"the last of {state.attempt_count} attempts failed: {error}",
            execution=state.execution,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ) from error


class _LiveRequestState:
    """State of one request across its attempts."""

    def __init__(self, clock: Clock, request: LiveRequest, compiled: CompiledRoute) -> None:
        self.request = request
        self.compiled = compiled
        self.progress = CompletionProgress()
        self.attempt_count = 0
        self.execution = Execution.NOT_RUN
        self.failed_backends: frozenset[BackendId] = frozenset()
        route_timeout_seconds = compiled.route.timeout_seconds
        timeout_seconds = min(
            route_timeout_seconds, request.timeout_seconds or route_timeout_seconds
        )
        self.deadline = Deadline.after(timeout_seconds, clock.monotonic())

    def next_attempt_id(self) -> AttemptId:
        self.attempt_count += 1
        return attempt_id_of(self.request.request_id, self.attempt_count)

    def record_failure(self, backend_id: BackendId, error: BackendError) -> None:
        self.failed_backends |= {backend_id}
        if not isinstance(error, BackendNotReachedError | BackendRefusedError):
            self.execution = Execution.MAY_HAVE_RUN

    def with_execution(self, error: NoBackendError) -> NoBackendError:
        """Return a copy of the error that states whether earlier attempts may have run."""
        return NoBackendError(
            error.detail,
            execution=self.execution,
            retry_after_seconds=error.retry_after_seconds,
        )
