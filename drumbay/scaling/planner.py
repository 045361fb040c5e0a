"""Decides which worker counts to order.

Scales up in one large step, since new workers take seconds to boot, and down by one worker at a
time after a long time of low demand. Orders are repeated when workers stay missing, as after the
outage of a zone, but not for workers that restart by themselves. The counts of an evacuated zone
stay as they are; what is missing there is ordered in the other zones.
"""

from collections.abc import Iterable, Mapping, Set

import msgspec

from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.scaling.demand import WorkerEstimate
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.scaling.spread import DEFAULT_PRICE, ZoneBounds, add_workers, remove_worker

BASELINE_WINDOW_SECONDS = 8.0
"""The lowest count in this window becomes the baseline. Longer than workers take to register or to
be replaced."""

REPLACEMENT_MARGIN_SECONDS = 4.0
"""Time beyond the boot time for missing workers to recover by themselves, before their count is
ordered again."""

RETRY_DELAY_SECONDS = 1.0
"""Delay after an order that the platform did not accept."""

SCALE_UP_THRESHOLD = 0.1
"""Scale up if at least this fraction more is needed; less is within the error of the estimate."""

SCALE_DOWN_THRESHOLD = 0.2
"""Scale down if more than this fraction is in excess, since draining a worker interrupts runs."""

SCALE_DOWN_INTERVAL_SECONDS = 10.0
"""Interval between removals, so that a shortage is detected before the next removal."""


class _ReadySample(msgspec.Struct, frozen=True):
    """The number of ready workers since a monotonic time."""

    at: float
    ready: int


class _ZoneState(msgspec.Struct, kw_only=True):
    """State of one service in one zone.

    Attributes:
        baseline: Number of workers provided without an order; ``None`` if not known yet.
        demand_target: Number of workers required by demand; 0 if demand never exceeded the
            baseline.
        ordered: The last ordered count; ``None`` if there is none, or if it may be lost.
        ordered_at: Time of that order.
        unconfirmed: Count of an unanswered order. It is repeated until the platform accepts it;
            nothing else is ordered meanwhile.
        ready: Number of ready workers.
        is_scaling_down: Whether a removal is not accepted by the platform yet.
        samples: Recent changes of the number of ready workers.
        below_target_since: Start of the current shortage; reset by each order.
        missing_since: Start of the current shortage, not reset by orders.
        not_before: Earliest time of the next order.
    """

    baseline: int | None = None
    demand_target: int = 0
    ordered: int | None = None
    ordered_at: float = float("-inf")
    unconfirmed: int | None = None
    is_scaling_down: bool = False
    ready: int = 0
    samples: list[_ReadySample] = msgspec.field(default_factory=list)
    below_target_since: float | None = None
    missing_since: float | None = None
    not_before: float = float("-inf")


class WorkerCountPlanner:
    """Plans orders by demand, and repeats orders when workers stay missing.

    Counts never fall below the baseline, and exceed it only if there is a shortage of slots.
    """

    def __init__(self) -> None:
        """Create a planner without known zones."""
        self._zones: dict[ServiceZone, _ZoneState] = {}
        self._changed_at: dict[str, float] = {}

    @property
    def baselines(self) -> dict[ServiceZone, int]:
        """Return the known baselines by zone."""
        return {
            service_zone: state.baseline
            for service_zone, state in self._zones.items()
            if state.baseline is not None
        }

    @property
    def demand_targets(self) -> dict[ServiceZone, int]:
        """Return the demand targets by zone, where set."""
        return {
            service_zone: state.demand_target
            for service_zone, state in self._zones.items()
            if state.demand_target
        }

    def restore(
        self,
        baselines: Mapping[ServiceZone, int],
        demand_targets: Mapping[ServiceZone, int] | None = None,
    ) -> None:
        """Restore the state of a previous planner."""
        for service_zone, count in baselines.items():
            self._zones.setdefault(service_zone, _ZoneState()).baseline = count
        for service_zone, count in (demand_targets or {}).items():
            self._zones.setdefault(service_zone, _ZoneState()).demand_target = count

    def total_target(self, scaling: ServiceScaling) -> int:
        """Return the target number of workers of a service in all zones."""
        return sum(
            _target_count(scaling, state)
            for service_zone, state in self._zones.items()
            if service_zone.service == scaling.service and state.baseline is not None
        )

    def plan(
        self,
        scaling: ServiceScaling,
        workers: Iterable[ZoneWorkers],
        now: float,
        estimate: WorkerEstimate | None = None,
        evacuated_zones: Set[str] = frozenset(),
    ) -> tuple[WorkerCount, ...]:
        """Return the counts to order now.

        Args:
            scaling: Configured bounds.
            workers: Ready workers by zone.
            now: Monotonic time.
            estimate: Workers needed by batch jobs, if known.
            evacuated_zones: Zones whose workers get nothing new and whose counts stay.
        """
        zones: dict[ServiceZone, _ZoneState] = {}
        for zone in workers:
            state = self._zones.setdefault(zone.place, _ZoneState())
            if zone.place.zone in evacuated_zones:
                _forget_recent(state)
                continue
            _record_ready(state, zone.ready, now)
            if state.baseline is not None:
                zones[zone.place] = state
        if estimate is not None:
            self._adjust_targets(scaling, zones, estimate, now)
        return tuple(
            _create_order(service_zone, state, _target_count(scaling, state), now)
            for service_zone, state in zones.items()
            if _is_order_due(scaling, state, now)
        )

    def _adjust_targets(
        self,
        scaling: ServiceScaling,
        zones: Mapping[ServiceZone, _ZoneState],
        estimate: WorkerEstimate,
        now: float,
    ) -> None:
        """Adjust the demand targets of the zones."""
        # Zones in which the service never ran may be unable to run it.
        bounds = {
            service_zone: _zone_bounds(scaling, service_zone, state, now)
            for service_zone, state in zones.items()
            if state.baseline
        }
        total = sum(zone_bounds.workers for zone_bounds in bounds.values())
        if estimate.workers >= total * (1 + SCALE_UP_THRESHOLD):
            counts = add_workers(bounds, estimate.workers)
        elif self._may_scale_down(scaling.service, total, estimate, now):
            counts = remove_worker(bounds)
        else:
            return
        for service_zone, zone_bounds in bounds.items():
            if counts[service_zone] != zone_bounds.workers:
                self._changed_at[scaling.service] = now
                zones[service_zone].demand_target = counts[service_zone]
                zones[service_zone].is_scaling_down = counts[service_zone] < zone_bounds.workers
                zones[service_zone].missing_since = None

    def _may_scale_down(
        self, service: str, total: int, estimate: WorkerEstimate, now: float
    ) -> bool:
        since = self._changed_at.get(service, float("-inf"))
        return (
            estimate.long_term_workers is not None
            and total > estimate.long_term_workers * (1 + SCALE_DOWN_THRESHOLD)
            and now - since >= SCALE_DOWN_INTERVAL_SECONDS
        )

    def record_outcome(self, order: WorkerCount, outcome: DutyOutcome, now: float) -> None:
        """Record the outcome of an order; schedule its repetition unless it was accepted."""
        state = self._zones.get(ServiceZone(order.service, order.zone))
        if state is None:
            return
        state.unconfirmed = None
        if outcome is DutyOutcome.ACCEPTED:
            state.is_scaling_down = False
            return
        # An order that may have been executed is repeated unchanged, which is idempotent.
        if outcome is DutyOutcome.UNANSWERED:
            state.unconfirmed = order.workers
        state.ordered = None
        state.ordered_at = float("-inf")
        state.below_target_since = float("-inf")
        state.not_before = now + RETRY_DELAY_SECONDS


def _target_count(scaling: ServiceScaling, state: _ZoneState) -> int:
    if state.unconfirmed is not None:
        return state.unconfirmed
    return min(scaling.maximum, max(state.baseline or 0, state.demand_target))


def _zone_bounds(
    scaling: ServiceScaling, service_zone: ServiceZone, state: _ZoneState, now: float
) -> ZoneBounds:
    """Return the bounds of a zone; a zone with missing workers is fixed at its ready ones."""
    target = _target_count(scaling, state)
    is_missing = (
        state.missing_since is not None
        and now - state.missing_since >= _replacement_timeout(scaling)
    )
    is_fixed = is_missing or state.unconfirmed is not None
    workers = min(state.ready, target) if is_missing else target
    return ZoneBounds(
        workers=workers,
        min_workers=workers if is_fixed else min(scaling.maximum, state.baseline or 0),
        max_workers=workers if is_fixed else scaling.maximum,
        price=scaling.zone_prices.get(service_zone.zone, DEFAULT_PRICE),
    )


def _create_order(
    service_zone: ServiceZone, state: _ZoneState, target: int, now: float
) -> WorkerCount:
    state.ordered = target
    state.ordered_at = now
    state.below_target_since = None
    return WorkerCount(service=service_zone.service, zone=service_zone.zone, workers=target)


def _record_ready(state: _ZoneState, ready: int, now: float) -> None:
    """Record the number of ready workers; update the baseline with the lowest recent number.

    The first number is too low while workers register one by one, and the largest is too high
    while old and new workers overlap. Workers ordered because of demand do not count.
    """
    state.ready = ready
    if not state.samples or state.samples[-1].ready != ready:
        state.samples.append(_ReadySample(at=now, ready=ready))
    since = now - BASELINE_WINDOW_SECONDS
    while len(state.samples) > 1 and state.samples[1].at <= since:
        state.samples.pop(0)
    if state.samples[0].at <= since:
        lowest = min(sample.ready for sample in state.samples)
        if lowest > state.demand_target and not state.is_scaling_down:
            state.baseline = max(state.baseline or 0, lowest)


def _forget_recent(state: _ZoneState) -> None:
    """Forget what was seen in a zone, so that after its evacuation windows begin anew."""
    state.samples.clear()
    state.below_target_since = None
    state.missing_since = None


def _is_order_due(scaling: ServiceScaling, state: _ZoneState, now: float) -> bool:
    """Return whether the target of a zone must be ordered now."""
    if (
        state.unconfirmed is not None
        and state.ready >= state.unconfirmed
        and not state.is_scaling_down
    ):
        state.unconfirmed = None
    target = _target_count(scaling, state)
    _update_shortage(state, target, now)
    if now < state.not_before:
        return False
    if state.is_scaling_down:
        return True
    if state.below_target_since is None:
        return False
    exceeds_ordered = target > (state.ordered or state.baseline or 0)
    return exceeds_ordered or now - max(
        state.below_target_since, state.ordered_at
    ) >= _replacement_timeout(scaling)


def _update_shortage(state: _ZoneState, target: int, now: float) -> None:
    if state.ready >= target:
        state.below_target_since = None
        state.missing_since = None
        return
    if state.below_target_since is None:
        state.below_target_since = now
    if state.missing_since is None:
        state.missing_since = now


def _replacement_timeout(scaling: ServiceScaling) -> float:
    return scaling.boot_seconds + REPLACEMENT_MARGIN_SECONDS
