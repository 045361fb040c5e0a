"""Applies the placement constraint to this node's sends to workers.

A worker is *in service* for a request unless its zone is evacuated or its region is not allowed. It
is *eligible* if it is in service and this node may start another request there now.
"""

import math
from collections.abc import Iterable
from typing import Protocol

from drumbay.clock import Clock
from drumbay.observability.logs import log_event
from drumbay.placement.eligibility import (
    Ineligibility,
    WorkerPlace,
    ineligibility,
    may_start,
)
from drumbay.placement.evacuations import EvacuatedZones
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.topology import Topology
from drumbay.placement.warm_up import StartLimiter, UnlimitedStarts
from drumbay.workers.records import Worker, WorkerNotEligibleError
from drumbay.workers.worker_record import WorkerRecord


class PlacementMetrics(Protocol):
    """Counts refused sends."""

    def count_ineligible(self, reason: str) -> None:
        """Count a send that was refused as its last step, by reason."""
        ...


class PlacementGate:
    """Decides which workers may get a request from this node now.

    Attributes:
        topology: The zones and regions.
        evacuations: The evacuated zones.
        limits_starts: Whether workers may be limited in the requests that start there.
    """

    def __init__(
        self,
        clock: Clock,
        topology: Topology,
        evacuations: EvacuatedZones,
        metrics: PlacementMetrics,
        starts: StartLimiter | None = None,
    ) -> None:
        """Create a gate; without ``starts`` the number of starts is not limited."""
        self.topology = topology
        self.evacuations = evacuations
        self._clock = clock
        self._metrics = metrics
        self._starts: StartLimiter = starts or UnlimitedStarts()
        self.limits_starts = starts is not None

    def may_be_out_of_service(self, regions: AllowedRegions = ANY_REGION) -> bool:
        """Return whether any worker may be out of service, because of its zone or region."""
        return regions.is_restricted or bool(self.evacuations.zones)

    def check(self, worker: Worker, regions: AllowedRegions = ANY_REGION) -> Ineligibility | None:
        """Return why a worker is not eligible for a request; ``None`` if it is."""
        return self._ineligibility(worker.zone, regions, self.remaining_starts(worker))

    def _ineligibility(
        self, zone: str, regions: AllowedRegions, remaining_starts: float
    ) -> Ineligibility | None:
        place = WorkerPlace(
            zone=zone,
            region=self.topology.region_of(zone),
            remaining_starts=remaining_starts,
        )
        return ineligibility(place, regions, self.evacuations.zones)

    def remaining_starts(self, worker: Worker) -> float:
        """Return how many requests this node may start at a worker now."""
        return self._starts.remaining_starts(worker, self._clock.monotonic())

    def next_start_at(self, workers: Iterable[Worker]) -> float:
        """Return when this node may start a request at a worker where it may not start one now.

        Monotonic time; infinite if there is no such worker.
        """
        now = self._clock.monotonic()
        times = (self._starts.next_start_at(worker, now) for worker in workers)
        return min((time for time in times if time > now), default=math.inf)

    def is_cold(self, worker: Worker) -> bool:
        """Return whether a worker is known to be cold."""
        return self._starts.is_cold(worker, self._clock.monotonic())

    def eligible(
        self, records: Iterable[WorkerRecord], regions: AllowedRegions = ANY_REGION
    ) -> list[WorkerRecord]:
        """Return the eligible workers."""
        in_service = self.in_service(records, regions)
        if not self.limits_starts:
            return in_service
        now = self._clock.monotonic()
        remaining_starts = self._starts.remaining_starts
        return [r for r in in_service if may_start(remaining_starts(r.worker, now))]

    def in_service(
        self, records: Iterable[WorkerRecord], regions: AllowedRegions = ANY_REGION
    ) -> list[WorkerRecord]:
        """Return the workers in service, which are the capacity."""
        records = list(records)
        if not self.may_be_out_of_service(regions):
            return records
        # Asked for each zone once, as there may be hundreds of workers.
        zones = {
            zone
            for zone in {record.worker.zone for record in records}
            if self._ineligibility(zone, regions, math.inf) is None
        }
        return [record for record in records if record.worker.zone in zones]

    def is_in_service(self, worker: Worker, regions: AllowedRegions = ANY_REGION) -> bool:
        """Return whether a worker is in service."""
        return self._ineligibility(worker.zone, regions, math.inf) is None

    def admit(self, worker: Worker, regions: AllowedRegions, request_id: str) -> None:
        """Check a send as the last step before it, and count it.

        Raises:
            WorkerNotEligibleError: The request must not be sent to this worker now.
        """
        reason = self.check(worker, regions)
        if reason is None:
            self._starts.record_start(worker, self._clock.monotonic())
            return
        self._metrics.count_ineligible(reason)
        log_event(
            "worker_not_eligible",
            request=request_id,
            worker=worker.worker_id,
            zone=worker.zone,
            reason=reason,
            allowed_regions=",".join(regions.names()),
        )
        raise WorkerNotEligibleError(reason)

    def may_still_send(self, worker: Worker, regions: AllowedRegions) -> bool:
        """Return whether an admitted request may be sent now that its connection is open."""
        reason = self._ineligibility(worker.zone, regions, math.inf)
        if reason is None:
            return True
        self._metrics.count_ineligible(reason)
        log_event("request_withheld", worker=worker.worker_id, zone=worker.zone, reason=reason)
        return False
