"""Faults as typed records with times."""

from enum import StrEnum

import msgspec

from drumbay.simulation.network import Cut
from drumbay.standins.faults import FaultKind as BackendFaultKind


class FaultKind(StrEnum):
    """Kinds of faults that a scenario can ask for."""

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


USUAL_KINDS = tuple(kind for kind in FaultKind if kind is not FaultKind.BUSY_DISKS)
"""What a scenario draws that names no kinds. Busy disks are asked for by name: the plans of the
seeds that stand in pages and tests were drawn without them."""


class Fault(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of faults.

    Attributes:
        at_seconds: Virtual time at which it begins.
        duration_seconds: Time until it ends; 0 for one that only happens.
    """

    at_seconds: float
    duration_seconds: float = 0.0


class KillHost(Fault, frozen=True, kw_only=True):
    """A process dies at once; after the duration another starts with nothing kept."""

    host: str


class FreezeHost(Fault, frozen=True, kw_only=True):
    """A process stops and continues after the duration, unaware."""

    host: str


class CutPath(Fault, frozen=True, kw_only=True):
    """Messages between hosts, zones or regions are lost, one way or both ways."""

    cut: Cut
    both_ways: bool


class DegradeNetwork(Fault, frozen=True, kw_only=True):
    """Messages are delayed, lost, duplicated and reordered."""

    delay_factor: float
    loss_probability: float
    duplicate_probability: float
    reorder_probability: float


class KeyValueCondition(StrEnum):
    """States of the key-value service other than healthy."""

    OUTAGE = "outage"
    SLOW = "slow"
    RATE_LIMITED = "rate_limited"
    ANSWERS_LOST = "answers_lost"
    WATCHES_BROKEN = "watches_broken"
    WATCHES_STALLED = "watches_stalled"


class DisturbKeyValue(Fault, frozen=True, kw_only=True):
    """The key-value service is in another state than healthy."""

    condition: KeyValueCondition


class CompactKeyValue(Fault, frozen=True, kw_only=True):
    """The key-value service drops its history, so that old watches cannot go on."""


class CrashBackend(Fault, frozen=True, kw_only=True):
    """An engine or application server dies and restarts after the duration."""

    backend: str


class FailSwaps(Fault, frozen=True, kw_only=True):
    """An engine's next weight swaps fail, some acknowledged as done.

    Attributes:
        backend: The engine.
        count: How many swaps fail, unless the duration ends first.
        acknowledged: Whether a failed swap is answered as done.
    """

    backend: str
    count: int
    acknowledged: bool


class DisturbAnswers(Fault, frozen=True, kw_only=True):
    """The next answers of a back end are crossed, cut off or late.

    Attributes:
        backend: The back end.
        disturbance: What happens to an answer.
        count: How many answers it happens to, unless the duration ends first.
    """

    backend: str
    disturbance: BackendFaultKind
    count: int


class DelayMachineList(Fault, frozen=True, kw_only=True):
    """The list of machines shows changes later than usual."""

    lag_seconds: float


class JumpClock(Fault, frozen=True, kw_only=True):
    """A host's wall clock jumps."""

    host: str
    jump_seconds: float


class FillDisk(Fault, frozen=True, kw_only=True):
    """A host's disk takes no more writes."""

    host: str


class SlowDisks(Fault, frozen=True, kw_only=True):
    """Writes to some hosts' disks take seconds, as beside programs that fill the page cache.

    Attributes:
        hosts: The hosts.
        commit_seconds: What a write takes.
    """

    hosts: tuple[str, ...]
    commit_seconds: float


class LoseDisk(Fault, frozen=True, kw_only=True):
    """A host loses its disk and its process; after the duration it starts anew."""

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
    """All faults of one run, in order of time."""

    faults: tuple[AnyFault, ...]

    def until_seconds(self) -> float:
        """Return when the last fault has ended."""
        ends = (fault.at_seconds + fault.duration_seconds for fault in self.faults)
        return max(ends, default=0.0)
