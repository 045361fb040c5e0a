"""Suspicion timers, shortened by independent confirmations.

Lifeguard (Dadgar, Phillips and Currey 2018, section IV.B): a suspicion starts with the longest
timeout; each further accuser reduces it towards the shortest.
"""

import math

from drumbay.identifiers import NodeId
from drumbay.membership.records import MembershipSettings


class _Suspicion:
    """Timer of one suspected member."""

    def __init__(
        self, started: float, shortest: float, longest: float, confirmations: int, incarnation: int
    ) -> None:
        self.started = started
        self.shortest = shortest
        self.longest = longest
        self.confirmations = confirmations
        self.incarnation = incarnation
        self.accusers: dict[NodeId, None] = {}

    def deadline(self) -> float:
        """Return when the suspicion times out with its present accusers."""
        if self.confirmations == 0:
            return self.started + self.shortest
        # The first accuser starts the timer; only further ones are confirmations.
        confirmed = max(0, len(self.accusers) - 1)
        progress = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        timeout = self.longest - (self.longest - self.shortest) * progress
        return self.started + max(self.shortest, timeout)


def shortest_suspicion_seconds(settings: MembershipSettings, member_count: int) -> float:
    """Return the shortest timeout of a suspicion; grows with log10 of the cluster size."""
    scale = max(1.0, math.log10(max(1, member_count)))
    return settings.suspicion_multiplier * scale * settings.probe_interval_seconds


class SuspicionTimers:
    """Running suspicions, by member."""

    def __init__(self, settings: MembershipSettings) -> None:
        """Create timers without suspicions."""
        self._settings = settings
        self._suspicions: dict[NodeId, _Suspicion] = {}
        self._deadlines: dict[NodeId, float] = {}
        self._next_deadline = math.inf

    @property
    def next_deadline(self) -> float:
        """Return when the next suspicion times out; infinity without any."""
        return self._next_deadline

    def record_suspicion(
        self, now: float, node_id: NodeId, incarnation: int, accuser: NodeId, member_count: int
    ) -> bool:
        """Start a suspicion or confirm a running one.

        Returns:
            Whether to forward the suspicion: it was new, or a confirmation that shortens the
            timeout.
        """
        running = self._suspicions.get(node_id)
        if running is None or running.incarnation < incarnation:
            running = self._new_suspicion(now, incarnation, member_count)
            self._suspicions[node_id] = running
        elif running.incarnation > incarnation or accuser in running.accusers:
            return False
        if len(running.accusers) > running.confirmations:
            return False
        running.accusers[accuser] = None
        self._deadlines[node_id] = running.deadline()
        self._update_next_deadline()
        return True

    def end(self, node_id: NodeId) -> None:
        """End a suspicion, if there is one."""
        if self._suspicions.pop(node_id, None) is not None:
            del self._deadlines[node_id]
            self._update_next_deadline()

    def extend(self, seconds: float) -> None:
        """Extend every suspicion by the time for which this process was paused."""
        for node_id, suspicion in self._suspicions.items():
            suspicion.started += seconds
            self._deadlines[node_id] = suspicion.deadline()
        self._update_next_deadline()

    def expired(self, now: float) -> list[NodeId]:
        """Return the members whose suspicion has timed out; :meth:`end` removes them."""
        if now < self._next_deadline:
            return []
        return [node_id for node_id, deadline in self._deadlines.items() if deadline <= now]

    def _update_next_deadline(self) -> None:
        self._next_deadline = min(self._deadlines.values(), default=math.inf)

    def _new_suspicion(self, now: float, incarnation: int, member_count: int) -> _Suspicion:
        shortest = shortest_suspicion_seconds(self._settings, member_count)
        longest = shortest * self._settings.suspicion_max_factor
        # Neither the suspect nor this node can confirm the suspicion.
        confirmations = max(0, min(self._settings.suspicion_confirmations, member_count - 2))
        return _Suspicion(now, shortest, longest, confirmations, incarnation)
