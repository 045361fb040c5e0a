"""Timers of suspected members, shortened by independent suspicions.

Lifeguard (Dadgar, Phillips and Currey 2018, section IV.B): a suspicion starts with the longest
timeout; each further accuser brings it closer to the shortest.
"""

import math

from drumbay.identifiers import NodeId
from drumbay.membership.records import MembershipSettings


class _Suspicion:
    """One suspected member."""

    def __init__(self, started: float, shortest: float, longest: float, incarnation: int) -> None:
        self.started = started
        self.shortest = shortest
        self.longest = longest
        self.incarnation = incarnation
        self.accusers: dict[NodeId, None] = {}


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
            shortest = shortest_suspicion_seconds(self._settings, member_count)
            longest = shortest * self._settings.suspicion_max_factor
            running = _Suspicion(now, shortest, longest, incarnation)
            self._suspicions[node_id] = running
        elif running.incarnation > incarnation or accuser in running.accusers:
            return False
        # The first accuser starts the timer; the others confirm.
        if len(running.accusers) > self._confirmations(member_count):
            return False
        running.accusers[accuser] = None
        return True

    def end(self, node_id: NodeId) -> None:
        """End a suspicion, if there is one."""
        self._suspicions.pop(node_id, None)

    def extend(self, seconds: float) -> None:
        """Give every suspicion more time: this process did not run for so long."""
        for suspicion in self._suspicions.values():
            suspicion.started += seconds

    def expired(self, now: float, member_count: int) -> list[NodeId]:
        """Return the members whose suspicion has run out; they stay until ended."""
        return [
            node_id
            for node_id, suspicion in self._suspicions.items()
            if self._deadline(suspicion, member_count) <= now
        ]

    def next_deadline(self, member_count: int) -> float:
        """Return when the next suspicion runs out; infinity without any."""
        deadlines = (self._deadline(each, member_count) for each in self._suspicions.values())
        return min(deadlines, default=math.inf)

    def _confirmations(self, member_count: int) -> int:
        # Neither the suspect nor this node can confirm.
        return max(0, min(self._settings.suspicion_confirmations, member_count - 2))

    def _deadline(self, suspicion: _Suspicion, member_count: int) -> float:
        needed = self._confirmations(member_count)
        if needed == 0:
            return suspicion.started + suspicion.shortest
        confirmations = max(0, len(suspicion.accusers) - 1)
        share = math.log(confirmations + 1) / math.log(needed + 1)
        timeout = suspicion.longest - (suspicion.longest - suspicion.shortest) * share
        return suspicion.started + max(suspicion.shortest, timeout)
