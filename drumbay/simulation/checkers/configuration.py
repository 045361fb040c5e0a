"""Checks that accepted configuration changes are in force in time and never revert."""

from bisect import bisect_right

from drumbay.identifiers import NodeId, Revision
from drumbay.simulation.checkers.configuration_sources import find_authoritative_spans
from drumbay.simulation.checkers.linearizability import is_linearizable
from drumbay.simulation.checkers.spans import Span, intersect
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import (
    ConfigurationAccepted,
    ConfigurationInForce,
    History,
    NodeDisturbed,
    NodeRestored,
    NodeStarted,
    RegisterOperation,
)


def check_configuration_linearizable(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report keys whose operations are not linearizable."""
    by_key: dict[str, list[RegisterOperation]] = {}
    for operation in history.of(RegisterOperation):
        by_key.setdefault(operation.key, []).append(operation)
    return tuple(
        Violation(
            promise=Promise.CONFIGURATION_LINEARIZABLE,
            subject=key,
            time_seconds=operations[-1].time_seconds,
            detail=f"no order explains the outcomes of its {len(operations)} operations",
        )
        for key, operations in by_key.items()
        if not is_linearizable(operations)
    )


def check_configuration_monotonic(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report nodes that reverted to an older revision, also across restarts."""
    highest: dict[NodeId, Revision] = {}
    violations = []
    for event in history.of(ConfigurationInForce):
        before = highest.get(event.node_id, event.revision)
        if event.revision < before:
            detail = f"went back from revision {before} to {event.revision}"
            violations.append(
                Violation(
                    promise=Promise.CONFIGURATION_MONOTONIC,
                    subject=event.node_id,
                    time_seconds=event.time_seconds,
                    detail=detail,
                )
            )
        highest[event.node_id] = max(before, event.revision)
    return tuple(violations)


def check_configuration_in_force(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Report nodes on which an accepted change was not in force in time.

    The limit starts at the acceptance of the change or when the node starts or recovers. It
    applies only if the node is undisturbed and the newest configuration is available from an
    authoritative source throughout.
    """
    accepted = history.of(ConfigurationAccepted)
    in_force = _revisions_by_node(history)
    authoritative_spans = find_authoritative_spans(history)
    violations = []
    for node_id, undisturbed_spans in _undisturbed_spans(history).items():
        revisions = in_force.get(node_id, _NodeRevisions())
        for span in intersect(undisturbed_spans, authoritative_spans):
            for change in accepted:
                due = max(change.time_seconds, span.start_seconds) + limits.configuration_seconds
                if due <= span.end_seconds and revisions.at(due) < change.revision:
                    violations.append(_late_change_violation(node_id, change, due))
    return tuple(violations)


def _late_change_violation(node_id: NodeId, change: ConfigurationAccepted, due: float) -> Violation:
    return Violation(
        promise=Promise.CONFIGURATION_IN_FORCE,
        subject=node_id,
        time_seconds=due,
        detail=(
            f"revision {change.revision}, accepted at {change.time_seconds:.3f} s,"
            f" not in force at {due:.3f} s"
        ),
    )


def _undisturbed_spans(history: History) -> dict[NodeId, list[Span]]:
    """Return the undisturbed time spans of each node."""
    events: list[NodeStarted | NodeDisturbed | NodeRestored] = [
        *history.of(NodeStarted),
        *history.of(NodeDisturbed),
        *history.of(NodeRestored),
    ]
    events.sort(key=lambda event: event.time_seconds)
    disturbances: dict[NodeId, int] = {}
    since: dict[NodeId, float] = {}
    spans: dict[NodeId, list[Span]] = {}
    for event in events:
        node_id = event.node_id
        now = event.time_seconds
        if isinstance(event, NodeDisturbed):
            disturbances[node_id] = disturbances.get(node_id, 0) + 1
            if node_id in since:
                span = Span(start_seconds=since.pop(node_id), end_seconds=now)
                spans.setdefault(node_id, []).append(span)
            continue
        if isinstance(event, NodeRestored):
            disturbances[node_id] = max(0, disturbances.get(node_id, 0) - 1)
        if disturbances.get(node_id, 0) == 0:
            since.setdefault(node_id, now)
    end = history.end_seconds()
    for node_id, start in since.items():
        spans.setdefault(node_id, []).append(Span(start_seconds=start, end_seconds=end))
    return spans


class _NodeRevisions:
    """Newest revision in force on one node over time."""

    def __init__(self) -> None:
        self._times: list[float] = []
        self._revisions: list[Revision] = []

    def add(self, time_seconds: float, revision: Revision) -> None:
        """Add a revision; times must not decrease."""
        self._times.append(time_seconds)
        self._revisions.append(max(revision, self._revisions[-1] if self._revisions else revision))

    def at(self, time_seconds: float) -> Revision:
        """Return the newest revision at a time, -1 before the first."""
        position = bisect_right(self._times, time_seconds)
        return self._revisions[position - 1] if position else Revision(-1)


def _revisions_by_node(history: History) -> dict[NodeId, _NodeRevisions]:
    revisions: dict[NodeId, _NodeRevisions] = {}
    for event in history.of(ConfigurationInForce):
        node_revisions = revisions.setdefault(event.node_id, _NodeRevisions())
        node_revisions.add(event.time_seconds, event.revision)
    return revisions
