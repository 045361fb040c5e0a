"""Creates decision records, with the node, time and configuration revision of each decision."""

from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.explain.records import CandidateVerdict, DecisionRecord, SubjectKind
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import NodeId, Revision


class DecisionRecorder:
    """Records the decisions of one node.

    Args:
        clock: Source of the record times.
        node_id: This node.
        revision: Returns the current configuration revision.
        store: Stores the records.
    """

    def __init__(
        self,
        clock: Clock,
        node_id: NodeId,
        revision: Callable[[], Revision],
        store: DecisionStore,
    ) -> None:
        """Create a recorder."""
        self._clock = clock
        self._node_id = node_id
        self._revision = revision
        self._store = store

    def record(
        self,
        subject_kind: SubjectKind,
        subject_id: str,
        event: str,
        *,
        detail: str = "",
        candidates: tuple[CandidateVerdict, ...] = (),
    ) -> None:
        """Record one decision."""
        self._store.add(
            DecisionRecord(
                subject_kind=subject_kind,
                subject_id=subject_id,
                event=event,
                node_id=self._node_id,
                wall_time_seconds=self._clock.wall(),
                configuration_revision=self._revision(),
                detail=detail,
                candidates=candidates,
            )
        )

    def find(self, kind: SubjectKind, subject_id: str) -> tuple[DecisionRecord, ...]:
        """Return the records of one subject, oldest first."""
        return self._store.find(kind, subject_id)
