"""Limits on the items that may start at each worker, from the placement constraint."""

import math
from collections.abc import Iterable, Mapping

import msgspec

from drumbay.batches.decisions import StartLimits
from drumbay.identifiers import BackendId
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.placement.topology import Distance, Topology
from drumbay.workers.worker_record import WorkerRecord


def add_placement_limits(
    limits: StartLimits,
    placement: PlacementGate,
    workers: Mapping[BackendId, WorkerRecord],
    regions: AllowedRegions,
    *,
    holds_starts: bool,
) -> StartLimits:
    """Return limits with those of the workers added; with ``holds_starts`` no item may start."""
    return msgspec.structs.replace(
        limits,
        start_allowances=dict.fromkeys(workers, 0)
        if holds_starts
        else start_allowances(placement, workers.values(), regions),
        workers_in_service=workers_in_service(placement, workers.values(), regions),
        distant_workers=distant_workers(placement.topology, workers.values()),
    )


def workers_in_service(
    placement: PlacementGate, records: Iterable[WorkerRecord], regions: AllowedRegions
) -> frozenset[BackendId] | None:
    """Return the workers in service; ``None`` if all are."""
    if not placement.may_be_out_of_service(regions):
        return None
    in_service = placement.in_service(records, regions)
    return frozenset(record.worker.worker_id for record in in_service)


def distant_workers(topology: Topology, records: Iterable[WorkerRecord]) -> frozenset[BackendId]:
    """Return the workers in another region than this node."""
    if not topology.regions:
        return frozenset()
    return frozenset(
        record.worker.worker_id
        for record in records
        if topology.distance_to(record.worker.zone) is Distance.OTHER_REGION
    )


def start_allowances(
    placement: PlacementGate, records: Iterable[WorkerRecord], regions: AllowedRegions
) -> dict[BackendId, int]:
    """Return how many items may start now at each worker that is limited."""
    records = list(records)
    in_service = placement.in_service(records, regions)
    allowances: dict[BackendId, int] = {}
    if len(in_service) < len(records):
        allowances = dict.fromkeys((record.worker.worker_id for record in records), 0)
        for record in in_service:
            del allowances[record.worker.worker_id]
    if not placement.limits_starts:
        return allowances
    for record in in_service:
        remaining = placement.remaining_starts(record.worker)
        if not math.isinf(remaining):
            allowances[record.worker.worker_id] = max(0, int(remaining))
    return allowances
