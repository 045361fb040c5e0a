"""What happens to a rollout, and what its planner decides. Typed records only."""

from enum import StrEnum

import msgspec

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion


class RolloutPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the rollouts of one model.

    Attributes:
        min_serving_share: Share of the engines that keeps serving.
        max_staleness_versions: Oldest version a running sample can still use.
        max_concurrent_loads: Engines that read from the weight store at once.
    """

    min_serving_share: float = 0.5
    max_staleness_versions: int = 1
    max_concurrent_loads: int = 256


class VersionNeed(msgspec.Struct, frozen=True, kw_only=True):
    """Running samples need engines that serve a version."""

    version: WeightVersion
    engines: int


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's rollback: versions above ``keep`` up to ``through`` are withdrawn."""

    keep: WeightVersion
    through: WeightVersion


class VersionPublished(msgspec.Struct, frozen=True, kw_only=True):
    """The trainer published a version."""

    version: WeightVersion


class PolicyChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' configuration changed."""

    policy: RolloutPolicy
    withdrawals: tuple[Withdrawal, ...] = ()


class EnginesChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The engines that hold the model, as selected by the operators."""

    engines: tuple[BackendId, ...]


class NeedsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Versions that running samples need."""

    needs: tuple[VersionNeed, ...]


class StatusReported(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's own report."""

    status: EngineStatus


class StatusMissed(msgspec.Struct, frozen=True, kw_only=True):
    """An engine gave no report."""

    engine: BackendId


class StampObserved(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of an engine named the version that truly produced them."""

    engine: BackendId
    boot_id: BootId
    version: WeightVersion


class OrderSucceeded(msgspec.Struct, frozen=True, kw_only=True):
    """An engine acknowledged an order."""

    engine: BackendId
    fence: Fence
    status: EngineStatus


class OrderFailed(msgspec.Struct, frozen=True, kw_only=True):
    """An order failed, or its outcome is not known.

    Attributes:
        engine: The engine.
        fence: Fence of the order.
        reason: Code of the failure.
        uncertain: The engine may still be working on it.
        stale: The engine has seen a newer fence.
    """

    engine: BackendId
    fence: Fence
    reason: str
    uncertain: bool = False
    stale: bool = False


class OwnershipChanged(msgspec.Struct, frozen=True, kw_only=True):
    """This node became or ceased to be the owner; ``None``: not the owner."""

    lease_fence: Fence | None


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Time passed."""


RolloutEvent = (
    VersionPublished
    | PolicyChanged
    | EnginesChanged
    | NeedsChanged
    | StatusReported
    | StatusMissed
    | StampObserved
    | OrderSucceeded
    | OrderFailed
    | OwnershipChanged
    | Tick
)


class OrderReason(StrEnum):
    """Why an engine is ordered to load a version now."""

    NEW_VERSION = "new_version"
    ROLLBACK = "rollback"
    RETRY = "retry"
    STATUS_BEHIND = "status_behind"
    SUPERSEDES = "supersedes"


class LoadEngine(msgspec.Struct, frozen=True, kw_only=True):
    """Order an engine to load a version."""

    engine: BackendId
    version: WeightVersion
    fence: Fence
    reason: OrderReason
    detail: str


class SetAside(msgspec.Struct, frozen=True, kw_only=True):
    """Leave an engine out of the rollout for a while; it serves what it has."""

    engine: BackendId
    until_seconds: float
    detail: str


class RolloutStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Another version is the target now."""

    version: WeightVersion
    detail: str


class RolloutDone(msgspec.Struct, frozen=True, kw_only=True):
    """Every engine that is not set aside serves the target."""

    version: WeightVersion
    seconds: float
    detail: str


RolloutDecision = LoadEngine | SetAside | RolloutStarted | RolloutDone
