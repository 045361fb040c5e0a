"""Requests with a decision record of how each one ended."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from drumbay.backends.interface import ApplicationAnswer, TokenChunk
from drumbay.exceptions import RequestFailedError
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import RequestId
from drumbay.requests.application import ApplicationRequestService
from drumbay.requests.live import LiveRequestService
from drumbay.requests.records import ApplicationCall, LiveRequest


class RecordedRequests:
    """Serves callers' requests and records their ends.

    Args:
        live: Live generation requests.
        applications: Application requests.
        recorder: Takes the decision records.
    """

    def __init__(
        self,
        live: LiveRequestService,
        applications: ApplicationRequestService,
        recorder: DecisionRecorder,
    ) -> None:
        """Record what the two services do."""
        self._live = live
        self._applications = applications
        self._recorder = recorder

    async def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request.

        Raises:
            RequestFailedError: It was not served.
        """
        try:
            async with aclosing(self._live.generate(request)) as chunks:
                async for chunk in chunks:
                    yield chunk
        except RequestFailedError as error:
            self._record_failure(request.request_id, error)
            raise
        self._record_answer(request.request_id)

    async def run_application(self, call: ApplicationCall) -> ApplicationAnswer:
        """Run an application request.

        Raises:
            RequestFailedError: It was not served.
        """
        try:
            answer = await self._applications.run(call)
        except RequestFailedError as error:
            self._record_failure(call.request_id, error)
            raise
        self._record_answer(call.request_id)
        return answer

    def _record_answer(self, request_id: RequestId) -> None:
        self._recorder.record(SubjectKind.REQUEST, request_id, "answered")

    def _record_failure(self, request_id: RequestId, error: RequestFailedError) -> None:
        self._recorder.record(
            SubjectKind.REQUEST,
            request_id,
            "failed",
            detail=f"{error.code}, {error.execution.value}: {error.detail}",
        )
