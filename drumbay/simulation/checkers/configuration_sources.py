"""When anybody could vouch for the newest configuration.

That is the key-value service, which orders the changes, or a majority of the replicas, one of
which then holds the newest change. With neither, no node that starts can know whether what it
is told was in force last, and acting on it could take a change back.
"""

from drumbay.configuration.messages import ReplicaSet
from drumbay.configuration.replica_set import has_majority
from drumbay.identifiers import NodeId
from drumbay.simulation.checkers.spans import Span
from drumbay.simulation.history import (
    ConfigurationInForce,
    History,
    KeyValueOutage,
    NodeDisturbed,
    NodeRestored,
    ReplicaSetCommitted,
)

SourceEvent = (
    KeyValueOutage | ReplicaSetCommitted | NodeDisturbed | NodeRestored | ConfigurationInForce
)


class _Sources:
    """Who can vouch for the configuration, event by event."""

    def __init__(self) -> None:
        self._outages = 0
        self._replica_set = ReplicaSet(members=())
        self._away: dict[NodeId, int] = {}
        self._without_disk: dict[NodeId, None] = {}

    def handle(self, event: SourceEvent) -> None:
        """Take in the next event."""
        match event:
            case KeyValueOutage():
                self._outages += 1 if event.began else -1
            case ReplicaSetCommitted():
                self._replica_set = ReplicaSet(members=event.members, previous=event.previous)
            case NodeDisturbed():
                self._handle_disturbed(event)
            case NodeRestored() if not event.cut_off:
                self._away[event.node_id] = max(0, self._away.get(event.node_id, 0) - 1)
            case ConfigurationInForce():
                # Once it has loaded, its disk holds again all that it ever acknowledged.
                self._without_disk.pop(event.node_id, None)
            case _:
                pass

    def _handle_disturbed(self, event: NodeDisturbed) -> None:
        if event.cut_off:
            return
        self._away[event.node_id] = self._away.get(event.node_id, 0) + 1
        if event.disk_lost:
            self._without_disk[event.node_id] = None

    def can_vouch(self) -> bool:
        """Return whether the service or a majority of the replicas is there."""
        if self._outages == 0:
            return True
        members = {*self._replica_set.members, *self._replica_set.previous}
        voters = [
            member
            for member in members
            if not self._away.get(member) and member not in self._without_disk
        ]
        return has_majority(self._replica_set, voters)


def find_vouched_spans(history: History) -> list[Span]:
    """Return the times at which the newest configuration could be had from somebody."""
    events: list[SourceEvent] = [
        *history.of(KeyValueOutage),
        *history.of(ReplicaSetCommitted),
        *history.of(NodeDisturbed),
        *history.of(NodeRestored),
        *history.of(ConfigurationInForce),
    ]
    events.sort(key=lambda event: event.time_seconds)
    sources = _Sources()
    spans = []
    since: float | None = 0.0
    for event in events:
        sources.handle(event)
        if sources.can_vouch():
            since = event.time_seconds if since is None else since
        elif since is not None:
            spans.append(Span(start_seconds=since, end_seconds=event.time_seconds))
            since = None
    if since is not None:
        spans.append(Span(start_seconds=since, end_seconds=history.end_seconds()))
    return spans
