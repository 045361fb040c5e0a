"""Records of injectable faults."""

from enum import StrEnum

import msgspec

from drumbay.simulation.network import Cut
from drumbay.standins.faults import FaultKind as BackendFaultKind


class FaultKind(StrEnum):
    """Kinds of faults that a scenario can enable."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    BAD_NETWORK = "bad_network"
    KEY_VALUE = "key_value"
    COMPACTION = "compaction"
    ENGINE_CRASH = "engine_crash"
    SWAP_FAILURE = "swap_failure"
    APPLICATION_CRASH = "application_crash"
    ANSWERS = "answers"
    MACHINE_LIST_LAG = "machine_list_lag"
    CLOCK = "clock"
    DISK = "disk"
    BUSY_DISKS = "busy_disks"


DEFAULT_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.BUSY_DISKS)
"""Kinds of a scenario that lists none. Excludes ``busy_disks``: including it would change the
fault plans of existing seeds."""


class Fault(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of faults.

    Attributes:
        at_seconds: Virtual time at which it begins.
        duration_seconds: Time until it ends; 0 for an instantaneous fault.
    """

    at_seconds: float
    duration_seconds: float = 0.0


class KillHost(Fault, frozen=True, kw_only=True):
    """A process is killed; a new one starts after the duration, without its memory."""

    host: str


class FreezeHost(Fault, frozen=True, kw_only=True):
    """A process is suspended and resumes after the duration."""

    host: str


class CutPath(Fault, frozen=True, kw_only=True):
    """Messages between hosts, zones or regions are lost, in one or both directions."""

    cut: Cut
    both_ways: bool


class DegradeNetwork(Fault, frozen=True, kw_only=True):
    """Messages are delayed, lost, duplicated and reordered."""

    delay_factor: float
    loss_probability: float
    duplicate_probability: float
    reorder_probability: float


class KeyValueCondition(StrEnum):
    """Unhealthy conditions of the key-value service."""

    OUTAGE = "outage"
    SLOW = "slow"
    RATE_LIMITED = "rate_limited"
    ANSWERS_LOST = "answers_lost"
    WATCHES_BROKEN = "watches_broken"
    WATCHES_STALLED = "watches_stalled"


class DisturbKeyValue(Fault, frozen=True, kw_only=True):
    """The key-value service is in an unhealthy condition."""

    condition: KeyValueCondition


class CompactKeyValue(Fault, frozen=True, kw_only=True):
    """The key-value service compacts its history, which ends watches of old revisions."""


class CrashBackend(Fault, frozen=True, kw_only=True):
    """An engine or application server crashes and restarts after the duration."""

    backend: str


class FailSwaps(Fault, frozen=True, kw_only=True):
    """An engine's next weight swaps fail.

    Attributes:
        backend: The engine.
        count: How many swaps fail, unless the duration ends first.
        acknowledged: Whether the engine reports a failed swap as done.
    """

    backend: str
    count: int
    acknowledged: bool


class DisturbAnswers(Fault, frozen=True, kw_only=True):
    """The next responses of a back end are swapped, truncated or late.

    Attributes:
        backend: The back end.
        disturbance: Kind of the fault.
        count: How many responses are affected, unless the duration ends first.
    """

    backend: str
    disturbance: BackendFaultKind
    count: int


class DelayMachineList(Fault, frozen=True, kw_only=True):
    """The machine list shows changes later than usual."""

    lag_seconds: float


class JumpClock(Fault, frozen=True, kw_only=True):
    """A host's wall clock jumps."""

    host: str
    jump_seconds: float


class FillDisk(Fault, frozen=True, kw_only=True):
    """A host's disk is full and rejects writes."""

    host: str


class SlowDisks(Fault, frozen=True, kw_only=True):
    """Writes to some hosts' disks are slow, as under contention for the page cache.

    Attributes:
        hosts: The hosts.
        commit_seconds: Minimum time of a write.
    """

    hosts: tuple[str, ...]
    commit_seconds: float


class LoseDisk(Fault, frozen=True, kw_only=True):
    """A host loses its process and its disk; a new process starts after the duration."""

    host: str


AnyFault = (
    KillHost
    | FreezeHost
    | CutPath
    | DegradeNetwork
    | DisturbKeyValue
    | CompactKeyValue
    | CrashBackend
    | FailSwaps
    | DisturbAnswers
    | DelayMachineList
    | JumpClock
    | FillDisk
    | SlowDisks
    | LoseDisk
)


class FaultPlan(msgspec.Struct, frozen=True, kw_only=True):
    """All faults of one run, ordered by start time."""

    faults: tuple[AnyFault, ...]

    def end_seconds(self) -> float:
        """Return the virtual time at which the last fault ends."""
        ends = (fault.at_seconds + fault.duration_seconds for fault in self.faults)
        return max(ends, default=0.0)
