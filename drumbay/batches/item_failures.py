"""How often workers have failed the items of batch jobs, over all owners and batch jobs. No I/O.

Each owner stores what it has seen in a record of its own, and the failures of an item are the sum
over all records, as in a grow-only counter (Shapiro et al., "A comprehensive study of convergent
and commutative replicated data types", INRIA RR-7506, 2011, section 3.1). So no write of one owner
replaces what another one has counted.
"""

import msgspec

from drumbay.batches.records import BatchId, BatchSpec, ItemId
from drumbay.identifiers import Revision
from drumbay.tenants.records import TenantName

TOTAL_ATTEMPTS_FACTOR = 2
"""Over all batch jobs, an item gets this many times the attempts that it has in one."""

POSSIBLE_FAILURES_FACTOR = 3
"""The same, with runs that may have failed unseen."""

UNSTORED_RUNS = 1
"""Runs of an item that an owner may not have stored when it ended."""

MIN_PROVING_FAILURES = 2
"""A single failure may be a worker's fault."""

MAX_OWNER_RECORDS = 1_024
"""Records that a node keeps in memory."""


class ItemFailures(msgspec.Struct, frozen=True, kw_only=True):
    """Failures of one item: runs that failed, runs that were rejected, and reward requests.

    ``unanswered`` counts runs that ended without any answer: the worker may have failed them, too,
    except in the ``crashed`` ones, where it crashed. ``unanswered_at`` is when the last of them
    ended, in seconds since the Unix epoch, or 0. ``lost`` counts those of them whose worker has run
    the item, and ``lost_evidence`` is what they say together (see ``answer_losses``).
    """

    runs: int = 0
    rejections: int = 0
    rewards: int = 0
    unanswered: int = 0
    crashed: int = 0
    unanswered_at: float = 0.0
    lost: int = 0
    lost_evidence: float = 0.0

    @property
    def possible_failures(self) -> int:
        """Return the runs that the worker may have failed unseen."""
        return max(0, self.unanswered - self.crashed)

    def plus(self, other: "ItemFailures") -> "ItemFailures":
        """Return the sum."""
        return ItemFailures(
            runs=self.runs + other.runs,
            rejections=self.rejections + other.rejections,
            rewards=self.rewards + other.rewards,
            unanswered=self.unanswered + other.unanswered,
            crashed=self.crashed + other.crashed,
            unanswered_at=max(self.unanswered_at, other.unanswered_at),
            lost=self.lost + other.lost,
            lost_evidence=self.lost_evidence + other.lost_evidence,
        )


NO_FAILURES = ItemFailures()


class PastFailures(msgspec.Struct, frozen=True, kw_only=True):
    """Failures of an item that other owners saw, in the same batch job and in others."""

    in_job: ItemFailures = NO_FAILURES
    in_other_jobs: ItemFailures = NO_FAILURES

    @property
    def unanswered_at(self) -> float:
        """Return when the last run without an answer ended; 0 if there was none."""
        return max(self.in_job.unanswered_at, self.in_other_jobs.unanswered_at)

    def plus(self, failures: ItemFailures, *, is_same_job: bool) -> "PastFailures":
        """Return the sum with what one owner saw."""
        if is_same_job:
            return msgspec.structs.replace(self, in_job=self.in_job.plus(failures))
        return msgspec.structs.replace(self, in_other_jobs=self.in_other_jobs.plus(failures))


NO_PAST_FAILURES = PastFailures()


class OwnerFailures(msgspec.Struct, frozen=True, kw_only=True):
    """What one owner of a batch job has seen; the host and the tenant tell whose items they are."""

    host: str
    tenant: TenantName | None
    items: dict[ItemId, ItemFailures]


class OwnerKey(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies an owner of a batch job, by its revision in the ledger."""

    batch_id: BatchId
    revision: Revision


class FailureHistory:
    """What a node knows of failures, from its own runs and from the store."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._records: dict[OwnerKey, OwnerFailures] = {}

    def put(self, key: OwnerKey, failures: OwnerFailures) -> None:
        """Set what an owner has seen, unless more of it is known already.

        The oldest records are dropped beyond the maximum.
        """
        known = self._records.pop(key, None)
        self._records[key] = failures if known is None else max(known, failures, key=_total)
        if len(self._records) > MAX_OWNER_RECORDS:
            del self._records[next(iter(self._records))]

    def past(self, spec: BatchSpec, owner: OwnerKey) -> dict[ItemId, PastFailures]:
        """Return the failures of a batch job's items that others than its present owner saw."""
        own_ids = {item.item_id for item in spec.items}
        past: dict[ItemId, PastFailures] = {}
        for key, failures in self._records.items():
            if key == owner or (failures.host, failures.tenant) != (spec.host, spec.tenant):
                continue
            for item_id in own_ids & failures.items.keys():
                past[item_id] = past.get(item_id, NO_PAST_FAILURES).plus(
                    failures.items[item_id], is_same_job=key.batch_id == spec.batch_id
                )
        return past


def _total(failures: OwnerFailures) -> float:
    """Return the sum of all counts, which only grows as an owner sees more."""
    return sum(
        item.runs
        + item.rejections
        + item.rewards
        + item.unanswered
        + item.crashed
        + item.lost
        + item.lost_evidence
        for item in failures.items.values()
    )


def are_used_up(in_job: int, in_other_jobs: int, attempts: int, unanswered: int = 0) -> bool:
    """Return whether an item with these numbers of failures has no attempt left in its job.

    Unanswered runs alone use up nothing: they may have been sound. With at least two failures they
    make up for one that is missing, as an item that is held back would hold up its steps.
    """
    total = in_job + in_other_jobs
    if in_job >= attempts or total >= TOTAL_ATTEMPTS_FACTOR * attempts:
        return True
    proving = max(MIN_PROVING_FAILURES, attempts - 1)
    return total >= proving and may_be_used_up(total, attempts, unanswered)


def may_be_used_up(failures: int, attempts: int, unanswered: int) -> bool:
    """Return whether an item has no attempt left if its runs without an answer failed, too.

    False for one that no worker is known to have failed: all its runs may have been sound.
    """
    possible = failures + unanswered + UNSTORED_RUNS
    return failures > 0 and possible >= POSSIBLE_FAILURES_FACTOR * attempts
