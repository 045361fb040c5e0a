"""What the scheduler of a batch job decides, and how runs of its items end."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from drumbay.batches.records import BatchItem, ItemId, RewardRequest
from drumbay.batches.shared_places import Competition
from drumbay.identifiers import BackendId


class StartLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Which items must not start as others do, since workers have ended under them.

    Attributes:
        held: Those that must not start now.
        apart: Those that start on a worker where no other of them runs, nor one that is likely
            to end it: then it is known which of them does.
        apart_from: Workers where such a one runs already.
    """

    held: frozenset[ItemId] = frozenset()
    apart: frozenset[ItemId] = frozenset()
    apart_from: frozenset[BackendId] = frozenset()


class PlaceShare(msgspec.Struct, frozen=True, kw_only=True):
    """What other batch jobs leave to one.

    Attributes:
        held: Runs of other owners by worker; ``None`` to go by the workers' reports.
        competition: What others want; ``None`` if no other job competes.
        long_only: Whether only long items may start: what others hold and want is not known yet.
    """

    held: Mapping[BackendId, int] | None = None
    competition: Competition | None = None
    long_only: bool = False


class StopReason(StrEnum):
    """Why a run is stopped."""

    SILENT = "silent"
    """Its worker made events and makes none any more, for any run."""
    UNSTARTED = "unstarted"
    """It never made an event there, nor did another one lately."""
    QUEUED = "queued"
    """It never made an event there, while others did: it waits for a place."""
    STALLED = "stalled"
    SLOW_WORKER = "slow_worker"
    GIVEN_UP = "given_up"


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: run an item on a worker, continuing after ``resume_after`` events."""

    item: BatchItem
    worker_id: BackendId
    resume_after: int | None
    priority: int


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: stop the run of an item; unless it is given up, the item is run again."""

    item_id: ItemId
    worker_id: BackendId
    reason: StopReason


class ScoreText(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: make the reward request of an item whose text is whole."""

    item_id: ItemId
    request: RewardRequest


Decision = StartRun | StopRun | ScoreText


class RunFailure(StrEnum):
    """How a run ended without a whole text."""

    REFUSED = "refused"
    BROKEN = "broken"
    FAILED = "failed"
    REJECTED = "rejected"
    STOPPED = "stopped"
