"""Sends a request to a worker and records its latency and load."""

import asyncio

from drumbay.clock import Clock
from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.routes import Route
from drumbay.forwarding.worker_choice import cross_region_seconds, relative_latency_of
from drumbay.placement.gate import PlacementGate
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import CrashPolicy
from drumbay.quarantine.service import Quarantine
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerError, WorkerRequest, WorkerResponse
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers


class WorkerCaller:
    """Sends one node's requests and records each worker's latency and load."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        hedge_timing: HedgeTiming,
        quarantine: Quarantine,
        placement: PlacementGate,
        unresponsive_workers: UnresponsiveWorkers,
    ) -> None:
        """Create a caller that reports to the directory and the others."""
        self._clock = clock
        self._directory = directory
        self._client = client
        self._hedge_timing = hedge_timing
        self._quarantine = quarantine
        self._placement = placement
        self._unresponsive_workers = unresponsive_workers

    async def call(
        self,
        worker: Worker,
        request: WorkerRequest,
        route: Route,
        fingerprint: Fingerprint,
        crash_policy: CrashPolicy,
    ) -> WorkerResponse:
        """Return the worker's complete response.

        Raises:
            WorkerNotEligibleError: The worker must not get the request now; it was not sent.
            WorkerError: No complete response arrived.
        """
        self._placement.admit(worker, request.allowed_regions(), request.request_id)
        started_at = self._clock.monotonic()
        self._quarantine.begin_run(fingerprint, worker.worker_id, crash_policy)
        try:
            response = await self._client.call(worker, request)
        except asyncio.CancelledError:
            self._record_cancelled_run(worker, route, started_at)
            raise
        except WorkerError as error:
            if error.is_response:
                self._unresponsive_workers.record_response(worker)
            raise
        finally:
            self._quarantine.end_run(fingerprint, worker.worker_id, crash_policy)
        self._unresponsive_workers.record_response(worker)
        self._record_response(worker, route, started_at, response)
        return response

    def _record_response(
        self, worker: Worker, route: Route, started_at: float, response: WorkerResponse
    ) -> None:
        now = self._clock.monotonic()
        elapsed_seconds = now - started_at
        typical_seconds = self._typical_seconds(route)
        worker_seconds = max(0.0, elapsed_seconds - self._round_trip_seconds(worker))
        relative_latency = relative_latency_of(worker_seconds, typical_seconds, response.load)
        is_known = self._hedge_timing.has_typical_latency(route.name)
        self._directory.observe_response(
            worker.worker_id, relative_latency if is_known else None, now, worker.started_at_ms
        )
        self._hedge_timing.observe(route.name, elapsed_seconds)
        if response.load is not None:
            self._directory.observe_load(worker.worker_id, response.load, now, worker.started_at_ms)
        self._directory.observe_warm_up(
            worker.worker_id, response.warm_up_left_seconds, started_at, now
        )

    def _record_cancelled_run(self, worker: Worker, route: Route, started_at: float) -> None:
        """Record the time of a slow cancelled run, a lower bound of its latency."""
        now = self._clock.monotonic()
        elapsed_seconds = now - started_at
        typical_seconds = self._typical_seconds(route)
        worker_seconds = elapsed_seconds - self._round_trip_seconds(worker)
        if worker_seconds > typical_seconds:
            self._directory.observe_cancelled_run(
                worker.worker_id, worker_seconds / typical_seconds, now, worker.started_at_ms
            )
            self._hedge_timing.observe(route.name, elapsed_seconds)

    def _round_trip_seconds(self, worker: Worker) -> float:
        """Return the part of the response time that does not count as the worker's."""
        return cross_region_seconds(self._placement.topology.distance_to(worker.zone))

    def _typical_seconds(self, route: Route) -> float:
        return self._hedge_timing.typical_seconds(route.name, route.target_seconds)
