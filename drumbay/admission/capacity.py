"""Estimates the capacity of a service from this node's worker records."""

import math
from collections.abc import Sequence

import msgspec

from drumbay.admission.records import ServiceCapacity
from drumbay.placement.gate import PlacementGate
from drumbay.workers.records import WorkerState
from drumbay.workers.worker_record import WorkerRecord

QUEUED_REQUESTS_PER_WORKER = 1
"""Requests sent beyond a worker's free slots, so that a freed slot gets the next one at once."""

SHORT_PAUSE_SECONDS = 0.2
"""Workers whose pause lasts longer than this, as after a failure, do not count as capacity."""


def capacity_in_service(
    records: Sequence[WorkerRecord], placement: PlacementGate, now: float
) -> ServiceCapacity:
    """Return the capacity of the workers outside evacuated zones, with their regions."""
    in_service = placement.in_service(records)
    capacity = capacity_of(in_service, now)
    if not records:
        return capacity
    zones = {record.worker.zone for record in in_service}
    regions = frozenset(map(placement.topology.region_of, zones))
    return msgspec.structs.replace(capacity, regions=regions)


def capacity_of(records: Sequence[WorkerRecord], now: float) -> ServiceCapacity:
    """Return the estimated capacity of a service for this node."""
    ready = [record for record in records if record.worker.state is WorkerState.READY]
    available = [record for record in ready if record.is_available(now)]
    pause_ends = [record.paused_until for record in ready if not record.is_available(now)]
    newest_report_at = max((record.reported_at for record in ready), default=-math.inf)
    usable = [record for record in ready if record.paused_until <= now + SHORT_PAUSE_SECONDS]
    return ServiceCapacity(
        available_workers=len(available),
        max_in_flight=sum(
            max(0, record.worker.slots - record.reported_other_requests(now))
            + QUEUED_REQUESTS_PER_WORKER
            for record in usable
        ),
        pause_ends_at=min(pause_ends, default=None),
        report_age_seconds=now - newest_report_at,
    )
