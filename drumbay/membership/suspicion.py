"""Timers of suspected members, shortened by independent suspicions.

Lifeguard (Dadgar, Phillips and Currey 2018, section IV.B): a suspicion starts with the longest
timeout; each further accuser brings it closer to the shortest.
"""

import math

from drumbay.identifiers import NodeId
from drumbay.membership.records import MembershipSettings


class _Suspicion:
    """One suspected member."""

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
        """Return when the suspicion runs out, given its accusers so far."""
        if self.confirmations == 0:
            return self.started + self.shortest
        # The first accuser starts the timer; the others confirm.
        confirmed = max(0, len(self.accusers) - 1)
        share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        timeout = self.longest - (self.longest - self.shortest) * share
        return self.started + max(self.shortest, timeout)


def shortest_suspicion_seconds(settings: MembershipSettings, member_count: int) -> float:
    """Return the suspicion timeout once it is confirmed; grows with log10 of the size."""
    scale = max(1.0, math.log10(max(1, member_count)))
    return settings.suspicion_multiplier * scale * settings.probe_interval_seconds


class SuspicionTimers:
    """Running suspicions, by member."""

    def __init__(self, settings: MembershipSettings) -> None:
        """Create without suspicions."""
        self._settings = settings
        self._suspicions: dict[NodeId, _Suspicion] = {}
        self._deadlines: dict[NodeId, float] = {}
        self._next_deadline = math.inf

    @property
    def next_deadline(self) -> float:
        """Return when the next suspicion runs out; infinity without any."""
        return self._next_deadline

    def accuse(
        self, now: float, node_id: NodeId, incarnation: int, accuser: NodeId, member_count: int
    ) -> bool:
        """Start a suspicion or confirm a running one.

        Returns:
            Whether the accusation counts and should be passed on: it started the suspicion,
            or is one of the few that shorten it.
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
        self._find_next()
        return True

    def end(self, node_id: NodeId) -> None:
        """End a suspicion, if there is one."""
        if self._suspicions.pop(node_id, None) is not None:
            del self._deadlines[node_id]
            self._find_next()

    def extend(self, seconds: float) -> None:
        """Give every suspicion more time: this process did not run for so long."""
        for node_id, suspicion in self._suspicions.items():
            suspicion.started += seconds
            self._deadlines[node_id] = suspicion.deadline()
        self._find_next()

    def expired(self, now: float) -> list[NodeId]:
        """Return the members whose suspicion has run out; they stay until ended."""
        if now < self._next_deadline:
            return []
        return [node_id for node_id, deadline in self._deadlines.items() if deadline <= now]

    def _find_next(self) -> None:
        self._next_deadline = min(self._deadlines.values(), default=math.inf)

    def _new_suspicion(self, now: float, incarnation: int, member_count: int) -> _Suspicion:
        shortest = shortest_suspicion_seconds(self._settings, member_count)
        longest = shortest * self._settings.suspicion_max_factor
        # Neither the suspect nor this node can confirm.
        confirmations = max(0, min(self._settings.suspicion_confirmations, member_count - 2))
        return _Suspicion(now, shortest, longest, confirmations, incarnation)
