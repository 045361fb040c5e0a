"""Selects the worker for the next attempt from the node's records of a service's workers."""

import math
from collections.abc import Iterator, Set

import msgspec

from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.routes import Route
from drumbay.forwarding.worker_choice import (
    ChosenWorker,
    WorkerSnapshot,
    choose_worker,
    refusal_backoff_seconds,
)
from drumbay.identifiers import BackendId
from drumbay.limits.worker_bodies import may_send_body
from drumbay.placement.eligibility import may_start
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerState
from drumbay.workers.worker_record import WorkerRecord


class SendCriteria(msgspec.Struct, frozen=True, kw_only=True):
    """Constraints on the worker for the next attempt.

    ``tried`` workers have already received the request. ``avoided_workers`` and workers outside the
    allowed ``regions`` must not receive it. ``is_hedge`` states that other attempts are in flight.
    """

    route: Route
    service: str
    body_bytes: int
    tried: Set[BackendId]
    avoided_workers: Set[BackendId]
    regions: AllowedRegions = ANY_REGION
    is_hedge: bool = False


class WorkerPicker:
    """Selects workers for the requests of one node."""

    def __init__(
        self,
        directory: WorkerDirectory,
        client: WorkerClient,
        hedge_timing: HedgeTiming,
        placement: PlacementGate,
        machine: str,
    ) -> None:
        """Create a picker based on the records of a directory.

        ``machine`` breaks ties between workers, differently on each machine.
        """
        self._directory = directory
        self._client = client
        self._hedge_timing = hedge_timing
        self._placement = placement
        self._machine = machine

    def eligible_workers(
        self,
        service: str,
        avoided_workers: Set[BackendId],
        regions: AllowedRegions = ANY_REGION,
    ) -> list[WorkerRecord]:
        """Return the eligible workers of a service, except the avoided ones."""
        records = self._placement.eligible(self._directory.of_service(service), regions)
        return [record for record in records if record.worker.worker_id not in avoided_workers]

    def may_send(self, record: WorkerRecord, regions: AllowedRegions) -> bool:
        """Return whether a worker is eligible for a request."""
        return self._placement.check(record.worker, regions) is None

    def next_start_at(
        self, service: str, avoided_workers: Set[BackendId], regions: AllowedRegions
    ) -> float:
        """Return when this node may start a request at a worker that lacks only starts.

        Monotonic time; infinite if there is no such worker.
        """
        if not self._placement.limits_starts:
            return math.inf
        ready = self._ready_workers(service, avoided_workers, regions)
        return self._placement.next_start_at(record.worker for record in ready)

    def workers_lacking_starts(
        self, service: str, avoided_workers: Set[BackendId], regions: AllowedRegions
    ) -> list[Worker]:
        """Return the ready workers in service at which this node may start nothing now."""
        if not self._placement.limits_starts:
            return []
        ready = self._ready_workers(service, avoided_workers, regions)
        workers = [record.worker for record in ready]
        return [w for w in workers if not may_start(self._placement.remaining_starts(w))]

    def lacks_workers(self, service: str, regions: AllowedRegions) -> bool:
        """Return whether no worker is in service for a request, now or after a wait.

        An unrestricted request may wait for a worker of a service that has none at all.
        """
        if regions.is_restricted:
            return not any(self._ready_workers(service, frozenset(), regions))
        if not self._placement.may_be_out_of_service(regions):
            return False
        records = self._directory.of_service(service)
        return bool(records) and not self._placement.in_service(records, regions)

    def is_free_by(
        self, service: str, avoided_workers: Set[BackendId], regions: AllowedRegions, time: float
    ) -> bool:
        """Return whether a ready worker is in service whose pause has ended at a monotonic time."""
        ready = self._ready_workers(service, avoided_workers, regions)
        return any(record.paused_until <= time for record in ready)

    def free_from(
        self, service: str, avoided_workers: Set[BackendId], regions: AllowedRegions
    ) -> float:
        """Return from when a ready worker in service is not paused; infinite without any."""
        ready = self._ready_workers(service, avoided_workers, regions)
        return min((record.paused_until for record in ready), default=math.inf)

    def _ready_workers(
        self, service: str, avoided_workers: Set[BackendId], regions: AllowedRegions
    ) -> Iterator[WorkerRecord]:
        """Yield ready workers in service; one by one, as callers often need only the first."""
        for worker_id, record in self._directory.all_records().items():
            worker = record.worker
            if (
                worker.service == service
                and worker.state is WorkerState.READY
                and worker_id not in avoided_workers
                and self._placement.is_in_service(worker, regions)
            ):
                yield record

    def choose(self, criteria: SendCriteria, now: float) -> ChosenWorker | None:
        """Return the worker for the next attempt; ``None`` if none is eligible.

        Untried workers are preferred, after those that do not respond were left out. The first
        attempt may also use a paused worker if there is no other.
        """
        eligible = self.eligible_workers(
            criteria.service, criteria.avoided_workers, criteria.regions
        )
        records = [
            record
            for record in _without_unresponsive(eligible, now, is_hedge=criteria.is_hedge)
            if may_send_body(record.body_bytes, criteria.body_bytes)
        ]
        available = [record for record in records if record.is_available(now)]
        untried = [r for r in available if r.worker.worker_id not in criteria.tried]
        candidates = untried or available
        if not candidates and not criteria.tried:
            candidates = [record for record in records if record.worker.state == "ready"]
        snapshots = [self._snapshot_of(record, now) for record in candidates]
        return choose_worker(snapshots, self.typical_seconds(criteria.route), self._machine, now)

    def refusal_backoff_seconds(self, record: WorkerRecord, route: Route, now: float) -> float:
        """Return for how long a worker that refused a request counts as full."""
        return refusal_backoff_seconds(
            self._snapshot_of(record, now), self.typical_seconds(route), now
        )

    def typical_seconds(self, route: Route) -> float:
        """Return the typical latency of a route."""
        return self._hedge_timing.typical_seconds(route.name, route.target_seconds)

    def _snapshot_of(self, record: WorkerRecord, now: float) -> WorkerSnapshot:
        return WorkerSnapshot(
            worker_id=record.worker.worker_id,
            slots=record.worker.slots,
            own_requests=record.in_flight,
            other_requests=record.other_requests,
            slowdown=record.slowdown,
            reported_at=record.reported_at,
            relative_latency=record.response_stats.relative_latency(now),
            failure_rate=record.response_stats.failure_rate(now),
            last_run_at=record.response_stats.last_run_at,
            paused_until=record.paused_until,
            has_idle_connection=self._client.has_idle_connection(record.worker),
            distance=self._placement.topology.distance_to(record.worker.zone),
            is_cold=self._placement.is_cold(record.worker),
        )


def _without_unresponsive(
    records: list[WorkerRecord], now: float, *, is_hedge: bool
) -> list[WorkerRecord]:
    """Leave out workers that do not respond, but at most half of all: a service may just be slow.

    Of more, those are left out whose checks have failed for longest. For a hedge, all whose checks
    have failed for some time are left out.
    """
    avoided = [record for record in records if record.responsiveness.is_avoided(now)]
    avoided.sort(key=lambda record: record.responsiveness.confirmed_seconds, reverse=True)
    count = len(records) // 2
    if is_hedge:
        count = max(count, sum(record.responsiveness.is_confirmed(now) for record in avoided))
    left_out = {record.worker.worker_id for record in avoided[:count]}
    return [record for record in records if record.worker.worker_id not in left_out]
