"""Typed records of decisions, with the inputs that each decision used."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import BackendId, NodeId, Revision, WeightVersion


class SubjectKind(StrEnum):
    """What a decision is about."""

    REQUEST = "request"
    SAMPLE = "sample"
    BACKEND = "backend"


class RejectionReason(StrEnum):
    """Why a candidate back end was not taken."""

    SELECTOR = "selector"
    DRAINED = "drained"
    ZONE_EVACUATED = "zone_evacuated"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    CIRCUIT_OPEN = "circuit_open"
    VERSION = "version"
    MODEL = "model"
    REGION_NOT_ALLOWED = "region_not_allowed"
    ALREADY_TRIED = "already_tried"
    OVERLOADED = "overloaded"
    NOT_SAMPLED = "not_sampled"
    HIGHER_COST = "higher_cost"


class CandidateVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """One back end as a decision saw it; ``rejection`` is ``None`` for the chosen one."""

    backend_id: BackendId
    rejection: RejectionReason | None = None
    cost: float | None = None
    weight_version: WeightVersion | None = None
    outstanding: int | None = None


class DecisionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One decision.

    Attributes:
        subject_kind: Kind of the subject.
        subject_id: Request, sample or back-end identifier.
        event: What was decided, e.g. ``dispatched``, ``refused``, ``drained``.
        node_id: Node that decided.
        wall_time_seconds: Wall clock of that node, seconds since the Unix epoch.
        configuration_revision: Revision of the configuration that was in force there.
        detail: One sentence for a person.
        candidates: Back ends considered, chosen one first.
    """

    subject_kind: SubjectKind
    subject_id: str
    event: str
    node_id: NodeId
    wall_time_seconds: float
    configuration_revision: Revision
    detail: str = ""
    candidates: tuple[CandidateVerdict, ...] = ()
