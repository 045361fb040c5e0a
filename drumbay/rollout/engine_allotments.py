"""Allotments of the engines that a node's sample streams use.

A report lags, and says nothing about whose requests it counts. The rollouts of this node on
each engine are therefore remembered for a while, so that a report can be compared with those
that ran at the moment it refers to.
"""

from collections import deque

import msgspec

from drumbay.identifiers import BackendId, StreamName
from drumbay.limits.engine_share import EngineAllotment, EngineObservation, EngineShare
from drumbay.resources.schema import EngineSharing
from drumbay.routing.engine_choice import BackendView

HISTORY_SECONDS = 20.0
UNCERTAIN_SECONDS = 1.0
"""Around the moment of a report; the largest count within it is taken, so that a rollout
that started or ended then is not mistaken for a live request."""


class _Count(msgspec.Struct, frozen=True, kw_only=True):
    time_seconds: float
    rollouts: int


class _EngineState:
    """Recent counts of rollouts on one engine, and the shares by stream."""

    def __init__(self) -> None:
        self.counts: deque[_Count] = deque()
        self.shares: dict[StreamName, EngineShare] = {}

    def note(self, rollouts: int, now: float) -> None:
        self.counts.append(_Count(time_seconds=now, rollouts=rollouts))
        while self.counts[0].time_seconds < now - HISTORY_SECONDS:
            self.counts.popleft()

    def rollouts_around(self, moment: float) -> int:
        near = (
            count.rollouts
            for count in self.counts
            if abs(count.time_seconds - moment) <= UNCERTAIN_SECONDS
        )
        return max(near, default=self.counts[-1].rollouts)

    def share(self, stream: StreamName, sharing: EngineSharing, now: float) -> EngineShare:
        share = self.shares.get(stream)
        if share is None or share.sharing != sharing:
            share = EngineShare(sharing, now)
            self.shares[stream] = share
        return share


class EngineAllotments:
    """Says how many rollouts of each stream may run on each engine."""

    def __init__(self) -> None:
        """Create allotments that know no engine."""
        self._engines: dict[BackendId, _EngineState] = {}

    def forget_stream(self, stream: StreamName) -> None:
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
        """Return what one stream may hold on an engine.

        Args:
            stream: The stream.
            sharing: The operator's weights.
            view: The engine as this node sees it.
            rollouts: Rollouts on the engine now by stream of this node.
            now: Monotonic time in seconds.
        """
        state = self._engines.setdefault(view.backend_id, _EngineState())
        total = sum(rollouts.values())
        state.note(total, now)
        moment = now if view.reported_at is None else view.reported_at
        observation = EngineObservation(
            running=view.running,
            waiting=view.waiting,
            reported_rollouts=state.rollouts_around(moment),
            own_live=view.own_outstanding,
            rollouts=total,
        )
        allotment = state.share(stream, sharing, now).allot(observation, now)
        own = rollouts.get(stream, 0)
        slots = _slots_of_stream(allotment.rollout_slots, own, rollouts)
        return msgspec.structs.replace(
            allotment, rollout_slots=slots, excess=max(0, min(allotment.excess, own - slots))
        )


def _slots_of_stream(slots: int, own: int, rollouts: dict[StreamName, int]) -> int:
    """Return a stream's part: what other streams leave, and at least an equal part."""
    total = sum(rollouts.values())
    others = sum(1 for count in rollouts.values() if count > 0) - (1 if own > 0 else 0)
    equal_part = slots // (others + 1)
    return max(equal_part, slots - (total - own))
