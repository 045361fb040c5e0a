"""Allots the slots of engines to the sample streams of a node.

A status report lags behind, and does not distinguish rollouts from live requests. The number of
rollouts of this node on each engine is therefore recorded over time, and compared with a report
as of the time the report was taken.
"""

from collections import deque

import msgspec

from drumbay.identifiers import BackendId, StreamName
from drumbay.limits.engine_share import EngineAllotment, EngineObservation, EngineShare
from drumbay.resources.schema import EngineSharing
from drumbay.routing.backend_choice import BackendView

HISTORY_SECONDS = 20.0
REPORT_TIME_TOLERANCE_SECONDS = 1.0
"""The largest count within this distance from a report applies, so that a rollout that started
or ended at that time is not mistaken for a live request."""


class _RolloutCount(msgspec.Struct, frozen=True, kw_only=True):
    """Number of rollouts on an engine at a time."""

    time_seconds: float
    rollouts: int


class _EngineState:
    """Recent rollout counts of one engine, and its shares by stream."""

    def __init__(self) -> None:
        self.counts: deque[_RolloutCount] = deque()
        self.shares: dict[StreamName, EngineShare] = {}

    def record_count(self, rollouts: int, now: float) -> None:
        self.counts.append(_RolloutCount(time_seconds=now, rollouts=rollouts))
        while self.counts[0].time_seconds < now - HISTORY_SECONDS:
            self.counts.popleft()

    def max_rollouts_near(self, report_time: float) -> int:
        nearby_counts = (
            count.rollouts
            for count in self.counts
            if abs(count.time_seconds - report_time) <= REPORT_TIME_TOLERANCE_SECONDS
        )
        return max(nearby_counts, default=self.counts[-1].rollouts)

    def share(self, stream: StreamName, sharing: EngineSharing, now: float) -> EngineShare:
        share = self.shares.get(stream)
        if share is None or share.sharing != sharing:
            share = EngineShare(sharing, now)
            self.shares[stream] = share
        return share


class EngineAllotments:
    """Determines how many rollouts of each stream may run on each engine."""

    def __init__(self) -> None:
        """Create allotments without engines."""
        self._engines: dict[BackendId, _EngineState] = {}

    def remove_stream(self, stream: StreamName) -> None:
        """Drop the shares of a stream that this node no longer owns."""
        for state in self._engines.values():
            state.shares.pop(stream, None)

    def allot(
        self,
        stream: StreamName,
        sharing: EngineSharing,
        view: BackendView,
        rollouts: dict[StreamName, int],
        now: float,
    ) -> EngineAllotment:
        """Return the slots of an engine that one stream may use.

        Args:
            stream: The stream.
            sharing: Configured weights of live requests and rollouts.
            view: Snapshot of the engine.
            rollouts: Number of rollouts on the engine now, by stream of this node.
            now: Monotonic time in seconds.
        """
        state = self._engines.setdefault(view.backend_id, _EngineState())
        total = sum(rollouts.values())
        state.record_count(total, now)
        report_time = now if view.reported_at is None else view.reported_at
        observation = EngineObservation(
            running=view.running,
            waiting=view.waiting,
            reported_rollouts=state.max_rollouts_near(report_time),
            own_live=view.own_outstanding,
            rollouts=total,
        )
        allotment = state.share(stream, sharing, now).allot(observation, now)
        own_rollouts = rollouts.get(stream, 0)
        slots = _slots_for_stream(allotment.rollout_slots, own_rollouts, rollouts)
        return msgspec.structs.replace(
            allotment,
            rollout_slots=slots,
            excess=max(0, min(allotment.excess, own_rollouts - slots)),
        )


def _slots_for_stream(slots: int, own_rollouts: int, rollouts: dict[StreamName, int]) -> int:
    """Return a stream's slots: those that other streams leave free, but at least an equal share."""
    total = sum(rollouts.values())
    other_stream_count = sum(1 for count in rollouts.values() if count > 0) - (
        1 if own_rollouts > 0 else 0
    )
    equal_share = slots // (other_stream_count + 1)
    return max(equal_share, slots - (total - own_rollouts))
