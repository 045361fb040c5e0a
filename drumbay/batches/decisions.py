"""Decisions of the batch scheduler, its inputs, and the outcomes of item runs."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from drumbay.batches.records import BatchItem, ItemId, RewardRequest
from drumbay.batches.slot_contention import Contention
from drumbay.identifiers import BackendId


class StartLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Restrictions on starting items.

    Attributes:
        held_back: Items that must not start now.
        isolated: Items that may start only on a worker that runs no other isolated item and no
            request that is likely to crash it, so that a crash can be attributed.
        isolated_workers: Workers on which such an item or request runs already.
        start_allowances: Items that may start now, for workers with a limit: none at a worker out
            of service, few at one that may be cold.
        workers_in_service: Workers in service; ``None`` if all are.
        distant_workers: Workers in another region than this node.
    """

    held_back: frozenset[ItemId] = frozenset()
    isolated: frozenset[ItemId] = frozenset()
    isolated_workers: frozenset[BackendId] = frozenset()
    start_allowances: Mapping[BackendId, int] = msgspec.field(default_factory=dict)
    workers_in_service: frozenset[BackendId] | None = None
    distant_workers: frozenset[BackendId] = frozenset()


class SlotShare(msgspec.Struct, frozen=True, kw_only=True):
    """The worker slots that other batch jobs leave to one job.

    Attributes:
        used_by_others: Runs of other owners by worker; ``None`` to use the workers' load reports.
        contention: Demand of the other jobs; ``None`` if no other job competes.
        long_items_only: Whether only long items may start, as the demand of others is not known
            yet.
    """

    used_by_others: Mapping[BackendId, int] | None = None
    contention: Contention | None = None
    long_items_only: bool = False


class StopReason(StrEnum):
    """Why a run is stopped."""

    SILENT = "silent"
    """The worker sent events before and now sends none for any run."""
    UNSTARTED = "unstarted"
    """The run got no event, and no other run on the worker got one recently."""
    QUEUED = "queued"
    """The run got no event while others did: it waits in the worker's queue."""
    STALLED = "stalled"
    """The run's events stopped while its worker serves other runs."""
    SLOW_WORKER = "slow_worker"
    """The item moves to a faster worker."""
    GIVEN_UP = "given_up"
    """The item has a result, so its run is no longer needed."""


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Starts an item on a worker, resuming after event number ``resume_after``.

    With ``fresh_connection``, a connection of an earlier request is not reused.
    """

    item: BatchItem
    worker_id: BackendId
    resume_after: int | None
    priority: int
    fresh_connection: bool = False


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Stops the run of an item. Unless the item is given up, it is started again."""

    item_id: ItemId
    worker_id: BackendId
    reason: StopReason


class ScoreText(msgspec.Struct, frozen=True, kw_only=True):
    """Sends the reward request of an item whose text is complete."""

    item_id: ItemId
    request: RewardRequest


Decision = StartRun | StopRun | ScoreText


class RunFailure(StrEnum):
    """How a run ended without a complete text."""

    REFUSED = "refused"
    """The worker was unreachable or did not accept the request."""
    BROKEN = "broken"
    """The stream broke or timed out; its text can be resumed."""
    CUT_OFF = "cut_off"
    """The worker accepted the request, but nothing of its text arrived."""
    FAILED = "failed"
    """The worker reported a failure; the text is discarded."""
    REJECTED = "rejected"
    """The worker rejected the request for good."""
    STOPPED = "stopped"
    """This node stopped the run."""
