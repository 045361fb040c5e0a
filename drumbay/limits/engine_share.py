"""How many of an engine's places rollouts may hold beside live requests.

Rollouts hold a place for minutes and engines do not interrupt a running request, so a live
request that finds all places taken waits for one to end, whatever its priority. Rollouts
therefore get what a weighted max-min fair allocation (:mod:`drumbay.limits.fair_share`)
leaves beside the recent live demand and a few places kept free for what comes next. On an
engine that live requests have not used for a while they get all places; under sustained live
demand they keep their weight's part.
"""

import math

import msgspec

from drumbay.limits.demand import RecentPeak
from drumbay.limits.fair_share import ShareDemand, fair_allocation
from drumbay.resources.schema import EngineSharing

DEMAND_WINDOW_SECONDS = 5.0
HEADROOM_MEMORY_SECONDS = 60.0
"""How long after the last live request on an engine its headroom is kept."""


class EngineObservation(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one engine's load.

    Attributes:
        running: Requests in its batch by its last report.
        waiting: Requests in its queue by its last report.
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
    """What rollouts may do on one engine.

    Attributes:
        live_load: Requests of other work on it.
        rollout_slots: Rollouts that may run there at once.
        excess: Rollouts to stop now, because live requests wait for their places.
        contended: Whether live requests ask for more than their share, so that the slots
            are what the weights guarantee.
    """

    live_load: int
    rollout_slots: int
    excess: int
    contended: bool


class EngineShare:
    """Allots the places of one engine from what is observed over time."""

    def __init__(self, sharing: EngineSharing, now: float) -> None:
        """Create a share that has seen no demand."""
        self._sharing = sharing
        self._live_peak = RecentPeak(DEMAND_WINDOW_SECONDS, now)
        self._last_live_at = -math.inf

    @property
    def sharing(self) -> EngineSharing:
        """Return the operator's weights in use."""
        return self._sharing

    def allot(self, observation: EngineObservation, now: float) -> EngineAllotment:
        """Take in an observation and return what rollouts may hold now."""
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
        in_use = now - self._last_live_at <= HEADROOM_MEMORY_SECONDS
        return self._sharing.headroom_places if in_use else 0

    def _rollout_slots(self, live_demand: int) -> int:
        sharing = self._sharing
        places = sharing.engine_places
        demands = (
            ShareDemand(weight=sharing.live_weight, places=live_demand),
            ShareDemand(weight=sharing.rollout_weight, places=places),
        )
        live_places = fair_allocation(places, demands)[0]
        return places - math.floor(live_places)

    def _excess(self, observation: EngineObservation, slots: int) -> int:
        """Return how many rollouts beyond their places keep live requests waiting."""
        if not self._sharing.preempt:
            return 0
        beyond = observation.rollouts - slots
        crowded_out = observation.own_live + observation.rollouts - self._sharing.engine_places
        waiting_live = max(observation.waiting, crowded_out)
        return max(0, min(beyond, waiting_live))
