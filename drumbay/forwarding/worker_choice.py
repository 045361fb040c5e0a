"""Selects a worker for a synchronous request.

Nodes have few requests each and share workers whose latency varies, and load reports are mostly
outdated when they are used. A request goes to the worker with the lowest expected latency. The
weight of an observation decays with age, so that a worker without recent data counts as average.

A node prefers workers to which it has idle connections, unless another one is clearly faster. Ties
are broken by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1),
1998), so that each node uses a limited set of workers, which grows with its load. Such sets carry
nearly the load of full flexibility (Tsitsiklis and Xu, "Flexible Queueing Architectures",
Operations Research 65(5), 2017, section 3), and nodes with the same data do not all select the same
worker.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from drumbay.identifiers import BackendId
from drumbay.placement.rendezvous import rendezvous_hash
from drumbay.placement.topology import Distance
from drumbay.workers.records import WorkerLoad
from drumbay.workers.response_stats import decay_weight

NEW_CONNECTION_FACTOR = 1.25
"""Factor on the expected latency of workers without an idle connection; limits the
number of new connections."""

CONNECT_SECONDS = 0.002
"""Time to open a connection."""

CROSS_ZONE_SECONDS = 0.002
CROSS_REGION_SECONDS = 0.024
"""Round trips to another zone of this region, and to another region."""

_ROUND_TRIP_SECONDS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: CROSS_ZONE_SECONDS,
    Distance.OTHER_REGION: CROSS_REGION_SECONDS,
}

COST_RESOLUTION_SECONDS = 0.001
"""Costs are rounded to this, as smaller differences say nothing about a worker. Among equals the
one with the oldest response is chosen, so that several stay known."""

CONTENTION_THRESHOLD = 0.5
CONTENTION_SLOWDOWN = 0.5
"""Above this occupancy a worker's latency rises, by the factor ``1 + CONTENTION_SLOWDOWN`` when it
is full."""

LOAD_DECAY_SECONDS = 0.6
"""Time constant of the exponential decay of load reports."""

FAILURE_PENALTY = 4.0
"""Latency penalty of an expected failure, in multiples of the latency."""

MIN_REFUSAL_SECONDS = 0.02
MAX_REFUSAL_SECONDS = 0.5
"""Bounds of the time for which a worker counts as full after a refusal."""


class WorkerSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A node's current data about one worker.

    ``own_requests`` counts the node's requests in flight there; ``other_requests`` and ``slowdown``
    come from the last load report, received at ``reported_at``. ``relative_latency`` is the
    expected latency relative to the typical one of the routes, without slowdown and queueing;
    ``failure_rate`` is the expected share of failed runs. The last run ended at ``last_run_at``.
    Times are monotonic.
    """

    worker_id: BackendId
    slots: int
    own_requests: int = 0
    other_requests: int = 0
    slowdown: float = 1.0
    reported_at: float = -math.inf
    relative_latency: float = 1.0
    failure_rate: float = 0.0
    last_run_at: float = -math.inf
    paused_until: float = -math.inf
    has_idle_connection: bool = False
    distance: Distance = Distance.SAME_ZONE
    is_cold: bool = False


class ChosenWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A selected worker, with the expected latency and the load data it is based on."""

    worker_id: BackendId
    expected_seconds: float
    load_age_seconds: float
    slowdown: float


def choose_worker(
    candidates: Sequence[WorkerSnapshot], typical_seconds: float, machine: str, now: float
) -> ChosenWorker | None:
    """Return the worker with the lowest expected latency.

    Args:
        candidates: The workers to choose from.
        typical_seconds: The median latency of the route.
        machine: The name of this node's machine, which breaks ties between workers.
        now: The monotonic time.
    """
    if not candidates:
        return None
    mean_other_requests = _mean_other_requests(candidates, now)
    ranked = sorted(candidates, key=lambda snapshot: rendezvous_hash(machine, snapshot.worker_id))

    def cost(snapshot: WorkerSnapshot) -> tuple[int, bool, float]:
        expected = typical_seconds * _expected_relative_latency(snapshot, mean_other_requests, now)
        if not snapshot.has_idle_connection:
            expected = NEW_CONNECTION_FACTOR * expected + CONNECT_SECONDS
        expected += _ROUND_TRIP_SECONDS[snapshot.distance]
        expected += max(0.0, snapshot.paused_until - now)
        # Of workers with equal cost a warm one, then the least recently used is selected.
        return round(expected / COST_RESOLUTION_SECONDS), snapshot.is_cold, snapshot.last_run_at

    chosen = min(ranked, key=cost)
    return ChosenWorker(
        worker_id=chosen.worker_id,
        expected_seconds=typical_seconds
        * _expected_relative_latency(chosen, mean_other_requests, now)
        + cross_region_seconds(chosen.distance),
        load_age_seconds=now - chosen.reported_at,
        slowdown=_estimated_slowdown(chosen, now),
    )


def refusal_backoff_seconds(snapshot: WorkerSnapshot, typical_seconds: float, now: float) -> float:
    """Return for how long a worker that has refused a request counts as full.

    The backoff is the duration of one request, after which each slot has been freed once.
    """
    service_seconds = (
        typical_seconds * snapshot.relative_latency * _estimated_slowdown(snapshot, now)
    )
    return min(MAX_REFUSAL_SECONDS, max(MIN_REFUSAL_SECONDS, service_seconds))


def cross_region_seconds(distance: Distance) -> float:
    """Return the round trip to another region, 0 within a region.

    It is not held against a worker's latency; round trips within a region are too short to matter.
    """
    return CROSS_REGION_SECONDS if distance is Distance.OTHER_REGION else 0.0


def relative_latency_of(
    elapsed_seconds: float, typical_seconds: float, load: WorkerLoad | None
) -> float:
    """Return a response's relative latency, with reported slowdown and queueing factored out."""
    relative_latency = elapsed_seconds / typical_seconds
    if load is None:
        return relative_latency
    wait = load.waiting / max(1, load.slots)
    return relative_latency / (max(1.0, load.slowdown) * (1.0 + wait))


def _expected_relative_latency(
    snapshot: WorkerSnapshot, mean_other_requests: float, now: float
) -> float:
    """Return the expected latency relative to the route's typical one."""
    occupancy = (
        snapshot.own_requests + _estimated_other_requests(snapshot, mean_other_requests, now) + 1.0
    ) / max(1, snapshot.slots)
    wait = max(0.0, occupancy - 1.0)
    contention = min(1.0, max(0.0, occupancy - CONTENTION_THRESHOLD) / (1.0 - CONTENTION_THRESHOLD))
    service_time = (
        snapshot.relative_latency
        * _estimated_slowdown(snapshot, now)
        * (1.0 + CONTENTION_SLOWDOWN * contention)
    )
    return service_time * (1.0 + wait) * (1.0 + FAILURE_PENALTY * snapshot.failure_rate)


def _estimated_slowdown(snapshot: WorkerSnapshot, now: float) -> float:
    weight = decay_weight(now - snapshot.reported_at, LOAD_DECAY_SECONDS)
    return 1.0 + (snapshot.slowdown - 1.0) * weight


def _mean_other_requests(candidates: Iterable[WorkerSnapshot], now: float) -> float:
    """Return the mean number of other nodes' requests per worker, weighted by report age."""
    total = weights = 0.0
    for snapshot in candidates:
        weight = decay_weight(now - snapshot.reported_at, LOAD_DECAY_SECONDS)
        total += weight * snapshot.other_requests
        weights += weight
    return total / weights if weights > 0.0 else 0.0


def _estimated_other_requests(
    snapshot: WorkerSnapshot, mean_other_requests: float, now: float
) -> float:
    weight = decay_weight(now - snapshot.reported_at, LOAD_DECAY_SECONDS)
    return mean_other_requests + (snapshot.other_requests - mean_other_requests) * weight
