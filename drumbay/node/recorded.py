"""Requests with a decision record and metrics of how each one ended."""

from collections.abc import AsyncGenerator, Iterator
from contextlib import aclosing, contextmanager

from drumbay.backends.interface import ApplicationResponse, TokenChunk
from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError, RequestFailedError
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import RequestId
from drumbay.node.request_services import RequestServices
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.records import ApplicationCall, LiveRequest

ANSWERED = "answered"
CANCELLED = "cancelled"


class RecordedRequests:
    """Serves callers' requests and records their ends.

    Args:
        services: Serve the requests.
        recorder: Takes the decision records.
        clock: Time.
        metrics: Counts requests and measures their durations.
    """

    def __init__(
        self,
        services: RequestServices,
        recorder: DecisionRecorder,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Record what the services do."""
        self._services = services
        self._recorder = recorder
        self._clock = clock
        self._metrics = metrics

    async def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request.

        Raises:
            RequestFailedError: It was not served.
        """
        route = self._services.live_route_name(request.model)
        with self._recorded(request.request_id, route):
            async with aclosing(self._services.live.generate(request)) as chunks:
                async for chunk in chunks:
                    yield chunk

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        """Run an application request.

        Raises:
            RequestFailedError: It was not served.
        """
        with self._recorded(call.request_id, self._services.application_route_name(call.path)):
            return await self._services.applications.run(call)

    @contextmanager
    def _recorded(self, request_id: RequestId, route: str) -> Iterator[None]:
        """Record how the block ends; a caller that goes away cancels it."""
        started_at = self._clock.monotonic()
        outcome = CANCELLED
        try:
            yield
            outcome = ANSWERED
            self._recorder.record(SubjectKind.REQUEST, request_id, ANSWERED)
        except RequestFailedError as error:
            outcome = error.code
            self._record_failure(request_id, error)
            raise
        except Exception:
            outcome = DrumbayError.code
            raise
        finally:
            duration_seconds = self._clock.monotonic() - started_at
            self._metrics.record_request(route, outcome, duration_seconds)

    def _record_failure(self, request_id: RequestId, error: RequestFailedError) -> None:
        self._recorder.record(
            SubjectKind.REQUEST,
            request_id,
            "failed",
            detail=f"{error.code}, {error.execution.value}: {error.detail}",
        )
