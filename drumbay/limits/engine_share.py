"""Computes how many slots of an engine rollouts may use beside live requests.

Rollouts occupy a slot for minutes and engines do not interrupt a running request, so a live
request that finds all slots in use waits for one to end, whatever its priority. A weighted max-min
fair allocation (:mod:`drumbay.limits.fair_share`) therefore reserves slots for the recent live
demand plus some headroom, and rollouts get the rest. Rollouts may use the whole engine when it has
had no live requests for a while, and keep their weighted share under sustained live demand.
"""

import math

import msgspec

from drumbay.limits.demand import RecentPeak
from drumbay.limits.fair_share import ShareDemand, fair_allocation
from drumbay.resources.schema import EngineSharing

DEMAND_WINDOW_SECONDS = 5.0
HEADROOM_HOLD_SECONDS = 60.0
"""How long after the last live request on an engine its headroom is kept."""


class EngineObservation(msgspec.Struct, frozen=True, kw_only=True):
    """Observed load of one engine.

    Attributes:
        running: Running requests in its last report.
        waiting: Queued requests in its last report.
        reported_rollouts: This node's rollouts that the report may contain.
        own_live: This node's live requests on it now.
        rollouts: This node's rollouts on it now.
    """

    running: int
    waiting: int
    reported_rollouts: int
    own_live: int
    rollouts: int

    @property
    def live_load(self) -> int:
        """Return the requests on the engine that are not this node's rollouts."""
        return max(self.own_live, self.running + self.waiting - self.reported_rollouts)


class EngineAllotment(msgspec.Struct, frozen=True, kw_only=True):
    """Slots that rollouts may use on one engine.

    Attributes:
        live_load: Requests on it that are not rollouts.
        rollout_slots: Maximum number of concurrent rollouts.
        excess: Rollouts to preempt now, because live requests wait for their slots.
        contended: Whether live demand exceeds its share, so that rollouts get only the share
            guaranteed by their weight.
    """

    live_load: int
    rollout_slots: int
    excess: int
    contended: bool


class EngineShare:
    """Divides the slots of one engine, based on its recent load."""

    def __init__(self, sharing: EngineSharing, now: float) -> None:
        """Create a share without observed demand."""
        self._sharing = sharing
        self._live_peak = RecentPeak(DEMAND_WINDOW_SECONDS, now)
        self._last_live_at = -math.inf

    @property
    def sharing(self) -> EngineSharing:
        """Return the configured sharing weights."""
        return self._sharing

    def allot(self, observation: EngineObservation, now: float) -> EngineAllotment:
        """Record an observation and return the slots that rollouts may use now."""
        live_load = observation.live_load
        self._live_peak.observe(now, live_load)
        demand = self._live_peak.peak(now, live_load) + self._headroom(live_load, now)
        slots = self._rollout_slots(demand)
        return EngineAllotment(
            live_load=live_load,
            rollout_slots=slots,
            excess=self._excess(observation, slots),
            contended=demand > self._sharing.engine_places - slots,
        )

    def _headroom(self, live_load: int, now: float) -> int:
        if live_load > 0:
            self._last_live_at = now
        had_recent_live = now - self._last_live_at <= HEADROOM_HOLD_SECONDS
        return self._sharing.headroom_places if had_recent_live else 0

    def _rollout_slots(self, live_demand: int) -> int:
        sharing = self._sharing
        total_slots = sharing.engine_places
        demands = (
            ShareDemand(weight=sharing.live_weight, amount=live_demand),
            ShareDemand(weight=sharing.rollout_weight, amount=total_slots),
        )
        live_slots = fair_allocation(total_slots, demands)[0]
        return total_slots - math.floor(live_slots)

    def _excess(self, observation: EngineObservation, slots: int) -> int:
        """Return how many rollouts beyond their share occupy slots that live requests wait for."""
        if not self._sharing.preempt:
            return 0
        over_share = observation.rollouts - slots
        over_capacity = observation.own_live + observation.rollouts - self._sharing.engine_places
        waiting_live = max(observation.waiting, over_capacity)
        return max(0, min(over_share, waiting_live))
