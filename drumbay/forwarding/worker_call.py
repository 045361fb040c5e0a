"""One send of a request to a worker, and what its answer or silence tells about the worker."""

import asyncio

from drumbay.clock import Clock
from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.routes import Route
from drumbay.forwarding.worker_choice import relative_time_of
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.service import Quarantine
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerAnswer, WorkerRequest


class WorkerCaller:
    """Sends the requests of one node, and notes each worker's times and loads."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        timing: HedgeTiming,
        quarantine: Quarantine,
    ) -> None:
        """Create a caller that notes in a directory what workers tell."""
        self._clock = clock
        self._directory = directory
        self._client = client
        self._timing = timing
        self._quarantine = quarantine

    async def call(
        self, worker: Worker, request: WorkerRequest, route: Route, fingerprint: Fingerprint
    ) -> WorkerAnswer:
        """Return the worker's whole answer to a request of a route.

        Raises:
            WorkerError: There is none.
        """
        started_at = self._clock.monotonic()
        self._quarantine.begin(fingerprint, worker.worker_id)
        try:
            answer = await self._client.call(worker, request)
        except asyncio.CancelledError:
            self._note_given_up(worker, route, started_at)
            raise
        finally:
            self._quarantine.end(fingerprint, worker.worker_id)
        self._note_answer(worker, route, started_at, answer)
        return answer

    def _note_answer(
        self, worker: Worker, route: Route, started_at: float, answer: WorkerAnswer
    ) -> None:
        now = self._clock.monotonic()
        elapsed_seconds = now - started_at
        usual_seconds = self._usual_seconds(route)
        relative_time = relative_time_of(elapsed_seconds, usual_seconds, answer.load)
        is_known = self._timing.knows(route.name)
        self._directory.observe_answer(
            worker.worker_id, relative_time if is_known else None, now, worker.started_at_ms
        )
        self._timing.observe(route.name, elapsed_seconds)
        if answer.load is not None:
            self._directory.observe_load(worker.worker_id, answer.load, now, worker.started_at_ms)

    def _note_given_up(self, worker: Worker, route: Route, started_at: float) -> None:
        """Remember at least the time that a run took which was slower than another or too late."""
        now = self._clock.monotonic()
        elapsed_seconds = now - started_at
        usual_seconds = self._usual_seconds(route)
        if elapsed_seconds > usual_seconds:
            self._directory.observe_unanswered(
                worker.worker_id, elapsed_seconds / usual_seconds, now, worker.started_at_ms
            )
            self._timing.observe(route.name, elapsed_seconds)

    def _usual_seconds(self, route: Route) -> float:
        return self._timing.usual_seconds(route.name, route.target_seconds)
