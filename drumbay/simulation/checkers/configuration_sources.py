"""Time spans in which an authoritative source of the newest configuration was available.

Such a source is the key-value service, which orders the changes, or a majority of the
replicas, at least one of which has stored the newest change. Without either, a starting node
cannot know whether a configuration is the newest, and applying it could revert a change.
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


class _SourceTracker:
    """Tracks the availability of authoritative sources over the events of a history."""

    def __init__(self) -> None:
        self._outages = 0
        self._replica_set = ReplicaSet(members=())
        self._unavailable: dict[NodeId, int] = {}
        self._without_disk: dict[NodeId, None] = {}

    def handle(self, event: SourceEvent) -> None:
        """Apply the next event."""
        match event:
            case KeyValueOutage():
                self._outages += 1 if event.began else -1
            case ReplicaSetCommitted():
                self._replica_set = ReplicaSet(members=event.members, previous=event.previous)
            case NodeDisturbed():
                self._handle_disturbed(event)
            case NodeRestored() if not event.cut_off:
                self._unavailable[event.node_id] = max(
                    0, self._unavailable.get(event.node_id, 0) - 1
                )
            case ConfigurationInForce():
                # A node that has loaded the configuration has stored it on its disk again.
                self._without_disk.pop(event.node_id, None)
            case _:
                pass

    def _handle_disturbed(self, event: NodeDisturbed) -> None:
        if event.cut_off:
            return
        self._unavailable[event.node_id] = self._unavailable.get(event.node_id, 0) + 1
        if event.disk_lost:
            self._without_disk[event.node_id] = None

    def has_authoritative_source(self) -> bool:
        """Return whether the service or a majority of the replicas is available."""
        if self._outages == 0:
            return True
        members = {*self._replica_set.members, *self._replica_set.previous}
        available = [
            member
            for member in members
            if not self._unavailable.get(member) and member not in self._without_disk
        ]
        return has_majority(self._replica_set, available)


def find_authoritative_spans(history: History) -> list[Span]:
    """Return the time spans in which an authoritative source was available."""
    events: list[SourceEvent] = [
        *history.of(KeyValueOutage),
        *history.of(ReplicaSetCommitted),
        *history.of(NodeDisturbed),
        *history.of(NodeRestored),
        *history.of(ConfigurationInForce),
    ]
    events.sort(key=lambda event: event.time_seconds)
    tracker = _SourceTracker()
    spans = []
    since: float | None = 0.0
    for event in events:
        tracker.handle(event)
        if tracker.has_authoritative_source():
            since = event.time_seconds if since is None else since
        elif since is not None:
            spans.append(Span(start_seconds=since, end_seconds=event.time_seconds))
            since = None
    if since is not None:
        spans.append(Span(start_seconds=since, end_seconds=history.end_seconds()))
    return spans
