"""Serves requests and records the outcome of each in decision records and metrics."""

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


class RecordingRequestService:
    """Serves callers' requests and records their outcomes.

    Args:
        services: Services that handle the requests.
        recorder: Receives the decision records.
        clock: Source of the current time.
        metrics: Request counts and durations.
    """

    def __init__(
        self,
        services: RequestServices,
        recorder: DecisionRecorder,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Wrap the services."""
        self._services = services
        self._recorder = recorder
        self._clock = clock
        self._metrics = metrics

    async def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request.

        Raises:
            RequestFailedError: The request failed.
        """
        route = self._services.live_route_name(request.model)
        with self._record_outcome(request.request_id, route):
            async with aclosing(self._services.live.generate(request)) as chunks:
                async for chunk in chunks:
                    yield chunk

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        """Run an application request.

        Raises:
            RequestFailedError: The request failed.
        """
        with self._record_outcome(
            call.request_id, self._services.application_route_name(call.path)
        ):
            return await self._services.applications.run(call)

    @contextmanager
    def _record_outcome(self, request_id: RequestId, route: str) -> Iterator[None]:
        """Record the outcome of the block; it is ``CANCELLED`` if the caller disconnects."""
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
