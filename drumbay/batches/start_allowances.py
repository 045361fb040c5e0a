"""Limits on the items that may start at each worker, from the placement constraints."""

import math
from collections.abc import Iterable

from drumbay.identifiers import BackendId
from drumbay.placement.gate import LASTING_REASONS, PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.worker_record import WorkerRecord


def start_allowances(
    placement: PlacementGate, records: Iterable[WorkerRecord], regions: AllowedRegions
) -> dict[BackendId, int]:
    """Return how many items may start now at each worker that is limited."""
    allowances: dict[BackendId, int] = {}
    may_exclude = placement.may_exclude(regions)
    if not may_exclude and not placement.limits_starts:
        return allowances
    for record in records:
        worker = record.worker
        if may_exclude and placement.check(worker, regions) in LASTING_REASONS:
            allowances[worker.worker_id] = 0
            continue
        remaining = placement.remaining_starts(worker)
        if not math.isinf(remaining):
            allowances[worker.worker_id] = max(0, int(remaining))
    return allowances
