"""Announcements of runs, so that nodes run a request under which workers crashed one at a time.

Nodes that get such a request in the same moment cannot know of each other's runs, and each run may
crash a worker. So a node announces its run to all others first, and waits as long as a notice takes
to arrive. Of the nodes that announce at the same time, the one with the lowest address runs the
request. Like Ricart and Agrawala, "An Optimal Algorithm for Mutual Exclusion in Computer Networks",
CACM 24(1), 1981, but without replies: it is an optimization, and need not exclude. No I/O.
"""

from collections.abc import Callable

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.quarantine.fingerprint import Fingerprint

ARRIVAL_SECONDS = 0.3
"""Time in which an announcement reaches every node."""

VALID_SECONDS = 1.0
"""How long other nodes wait for an announced run; its outcome is usually known by then."""

MAX_REQUESTS = 1_024
"""Bound on the requests with announcements; the oldest are dropped first."""


class RunAnnounced(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notice: a node is about to run a request under which workers crashed."""

    fingerprint: Fingerprint
    node: NetworkAddress


class RunAnnouncements:
    """The announcements of one node and those that it has received. Times are monotonic seconds."""

    def __init__(self, address: NetworkAddress, announce: Callable[[RunAnnounced], None]) -> None:
        """Create the announcements of the node with an address; ``announce`` tells all others."""
        self._address = address
        self._announce = announce
        self._own: dict[Fingerprint, float] = {}
        self._others: dict[Fingerprint, dict[NetworkAddress, float]] = {}

    def may_run(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether this node may run a request; announce the run if that is not done yet."""
        self._drop_old(fingerprint, now)
        others = self._others.get(fingerprint, {})
        own_at = self._own.get(fingerprint)
        if own_at is None:
            if not others:
                self._own[fingerprint] = now
                _bound(self._own)
                self._announce(RunAnnounced(fingerprint=fingerprint, node=self._address))
            return False
        if any(self._has_precedence(node, at, own_at) for node, at in others.items()):
            del self._own[fingerprint]
            return False
        return now - own_at >= ARRIVAL_SECONDS

    def _has_precedence(self, node: NetworkAddress, received_at: float, own_at: float) -> bool:
        """Return whether another node announced at the same time, and goes first."""
        is_concurrent = received_at - own_at < ARRIVAL_SECONDS
        return is_concurrent and str(node) < str(self._address)

    def receive(self, notice: RunAnnounced, now: float) -> None:
        """Record the announcement of another node."""
        self._others.setdefault(notice.fingerprint, {})[notice.node] = now
        _bound(self._others)

    def _drop_old(self, fingerprint: Fingerprint, now: float) -> None:
        own_at = self._own.get(fingerprint)
        if own_at is not None and now - own_at > VALID_SECONDS:
            del self._own[fingerprint]
        others = self._others.get(fingerprint, {})
        for node, received_at in list(others.items()):
            if now - received_at > VALID_SECONDS:
                del others[node]
        if not others:
            self._others.pop(fingerprint, None)


def _bound(
    announcements: dict[Fingerprint, float] | dict[Fingerprint, dict[NetworkAddress, float]],
) -> None:
    while len(announcements) > MAX_REQUESTS:
        del announcements[next(iter(announcements))]
