"""Division of worker slots between the batch jobs of several owners. No I/O.

If several training steps together need more slots than the workers have and each owner fills free
slots on its own, runs pile up in the workers' queues and all steps finish late. Therefore owners
exchange the usage and demand of their jobs, and each derives the same global start order: earliest
latest start time first. Items that are late already or not needed by their trainer go last, since
they would only delay other steps; a small share of slots is reserved for them to avoid starvation.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set

import msgspec

from drumbay.batches.records import BatchId
from drumbay.batches.slot_usage import TIME_SLOT_SECONDS, JobSlotUsage, NoticeNumber
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId

NOTICE_TTL_SECONDS = 1.2
"""A report expires after two missed notices, so that an ended owner does not block slots."""

MAX_TRACKED_OWNERS = 1_024
"""Owners whose latest notice number is kept, to reject delayed notices."""

LATE_SLOT_SHARE = 0.15
"""Share of slots, at least one, that late items may use while others can still be in time; divided
between the jobs with late items. Without any, a late step would never end.
"""

LATENESS_TOLERANCE_SECONDS = 0.5
"""A step expected to be late by less than this still counts as in time."""


class Contention(msgspec.Struct, frozen=True, kw_only=True):
    """Demand of the batch jobs that compete with one job for slots.

    Attributes:
        is_feasible: Whether the job can finish in time together with the other feasible jobs.
        is_overloaded: Whether not all jobs can finish in time.
        total_slots: All slots of the service's workers.
        others_work_seconds: Slot-seconds that the other jobs need.
        free_slots: Slots of the service that are not in use.
        later_job_starts: Number of items by the time slot in which they must start, for jobs that
            go after this one on equal urgency.
        earlier_job_starts: The same for jobs that go before this one on equal urgency.
        deferrable_ahead: Number of waiting items of jobs that go before this one which are late or
            not needed by their trainer.
        late_slots: Slots reserved for the job's late items, whatever the other jobs need.
        wall_offset: Difference between this owner's wall clock and its monotonic clock.
    """

    is_feasible: bool
    is_overloaded: bool
    total_slots: int
    others_work_seconds: float
    free_slots: int
    later_job_starts: Mapping[int, int]
    earlier_job_starts: Mapping[int, int]
    deferrable_ahead: int
    late_slots: int
    wall_offset: float = 0.0

    def count_ahead(self, start_time_slot: int | None) -> int:
        """Return how many waiting items of other jobs go before an item.

        Args:
            start_time_slot: Time slot by which the item must start; ``None`` if it is deferrable.
        """
        if start_time_slot is None:
            return (
                sum(self.later_job_starts.values())
                + sum(self.earlier_job_starts.values())
                + self.deferrable_ahead
            )
        sooner = sum(
            count
            for time_slot, count in self.later_job_starts.items()
            if time_slot < start_time_slot
        )
        return sooner + sum(
            count
            for time_slot, count in self.earlier_job_starts.items()
            if time_slot <= start_time_slot
        )


class SlotCapacity(msgspec.Struct, frozen=True):
    """Total and free slots of the available workers of a service."""

    total: int
    free: int


class _OwnerReport(msgspec.Struct, frozen=True):
    """Slot usage received from an owner, with its monotonic arrival time."""

    received_at: float
    jobs: tuple[JobSlotUsage, ...]


class RemoteSlotUsage:
    """Slot usage reported by the other owners of batch jobs."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[NetworkAddress, _OwnerReport] = {}
        self._latest_numbers: dict[NetworkAddress, NoticeNumber] = {}
        self._used: dict[str, Counter[BackendId]] = {}

    @property
    def owners(self) -> tuple[NetworkAddress, ...]:
        """Return the owners with a current report."""
        return tuple(self._reports)

    @property
    def idle_owners(self) -> frozenset[NetworkAddress]:
        """Return the owners that have reported that no item waits."""
        return frozenset(
            owner
            for owner, report in self._reports.items()
            if not any(job.waiting for job in report.jobs)
        )

    def update(
        self,
        owner: NetworkAddress,
        jobs: tuple[JobSlotUsage, ...],
        now: float,
        number: NoticeNumber,
    ) -> bool:
        """Replace the report of an owner.

        Returns:
            Whether the report was applied; one that arrives after a newer one is ignored.
        """
        latest = self._latest_numbers.pop(owner, None)
        if latest is not None and latest.boot == number.boot and latest.number >= number.number:
            self._latest_numbers[owner] = latest
            return False
        if len(self._latest_numbers) >= MAX_TRACKED_OWNERS:
            del self._latest_numbers[next(iter(self._latest_numbers))]
        self._latest_numbers[owner] = number
        self._drop(owner)
        if jobs:
            self._reports[owner] = _OwnerReport(now, jobs)
            for job in jobs:
                self._used.setdefault(job.service, Counter()).update(job.running)
        return True

    def expire(self, now: float) -> tuple[NetworkAddress, ...]:
        """Drop and return the owners whose reports have expired."""
        expired = tuple(
            o for o, r in self._reports.items() if now - r.received_at > NOTICE_TTL_SECONDS
        )
        for owner in expired:
            self._drop(owner)
        return expired

    def _drop(self, owner: NetworkAddress) -> None:
        report = self._reports.pop(owner, None)
        jobs = report.jobs if report is not None else ()
        for job in jobs:
            self._used[job.service] -= Counter(job.running)
        for service in {job.service for job in jobs}:
            if not self._has_report_for(service):
                del self._used[service]

    def _has_report_for(self, service: str) -> bool:
        return any(
            job.service == service for report in self._reports.values() for job in report.jobs
        )

    def used_by_others(self, service: str) -> Mapping[BackendId, int] | None:
        """Return the runs of other owners by worker; ``None`` without reports for the service."""
        return self._used.get(service)

    def contention(
        self,
        job: JobSlotUsage,
        own: Iterable[JobSlotUsage],
        capacity: SlotCapacity,
        now: float,
        wall_offset: float,
    ) -> Contention | None:
        """Return the contention that a job faces; ``None`` if no other job competes.

        Args:
            job: The job.
            own: All jobs of this owner.
            capacity: Slots of the service.
            now: Monotonic time.
            wall_offset: Difference between this owner's wall clock and its monotonic clock.
        """
        competitors = [
            other
            for other in self._jobs(own)
            if other.batch_id != job.batch_id and other.service == job.service and other.wanted
        ]
        if not any(competitor.startable for competitor in competitors):
            return None
        feasible = _feasible_jobs((job, *competitors), capacity.total, wall_offset + now)
        earlier = [
            competitor
            for competitor in competitors
            if _tie_break_key(competitor) < _tie_break_key(job)
        ]
        later = [
            competitor
            for competitor in competitors
            if _tie_break_key(competitor) > _tie_break_key(job)
        ]
        return Contention(
            is_feasible=job.batch_id in feasible,
            is_overloaded=len(feasible) < len(competitors) + 1,
            total_slots=capacity.total,
            others_work_seconds=sum(competitor.work_seconds for competitor in competitors),
            free_slots=capacity.free,
            later_job_starts=_count_starts(later, feasible),
            earlier_job_starts=_count_starts(earlier, feasible),
            deferrable_ahead=sum(_deferrable_items(competitor, feasible) for competitor in earlier),
            late_slots=_late_slot_share(job, competitors, feasible, capacity.total),
            wall_offset=wall_offset,
        )

    def _jobs(self, own: Iterable[JobSlotUsage]) -> Iterable[JobSlotUsage]:
        yield from own
        for report in self._reports.values():
            yield from report.jobs


def _count_starts(jobs: Iterable[JobSlotUsage], feasible: Set[BatchId]) -> Counter[int]:
    starts: Counter[int] = Counter()
    for job in jobs:
        if job.batch_id in feasible:
            starts.update(job.starts)
    return starts


def _deferrable_items(job: JobSlotUsage, feasible: Set[BatchId]) -> int:
    """Return how many startable items of a job wait behind those that can be in time."""
    return job.deferrable if job.batch_id in feasible else job.startable


def _late_slot_share(
    job: JobSlotUsage, competitors: Iterable[JobSlotUsage], feasible: Set[BatchId], slots: int
) -> int:
    """Return the job's part of the slots for late items; the first jobs share the remainder."""
    late = [competitor for competitor in competitors if _deferrable_items(competitor, feasible)]
    share, rest = divmod(max(1, int(LATE_SLOT_SHARE * slots)), len(late) + 1)
    position = sum(_tie_break_key(competitor) < _tie_break_key(job) for competitor in late)
    return share + (position < rest)


def _feasible_jobs(
    jobs: Sequence[JobSlotUsage], slots: int, wall_seconds: float
) -> frozenset[BatchId]:
    """Return the jobs that can all be in time.

    If these are not all jobs, part of the slots is reserved for late items.
    """
    accepted = _select_feasible(jobs, slots, wall_seconds)
    if len(accepted) < len(jobs):
        accepted = _select_feasible(jobs, slots * (1 - LATE_SLOT_SHARE), wall_seconds)
    return frozenset(job.batch_id for job in accepted)


def _select_feasible(
    jobs: Sequence[JobSlotUsage], slots: float, wall_seconds: float
) -> list[JobSlotUsage]:
    """Return a set of jobs that fits into the slots, higher priorities first.

    Within a priority the set is as large as possible, by the algorithm of Moore (1968), "An n job,
    one machine sequencing algorithm for minimizing the number of late jobs": add jobs by due time,
    and remove the longest one while any is late. A late streak raises the priority of the next
    step.
    """
    accepted: list[JobSlotUsage] = []
    for priority in sorted({_effective_priority(job) for job in jobs}):
        for job in sorted((j for j in jobs if _effective_priority(j) == priority), key=_due_key):
            accepted.append(job)
            while not _fits(accepted, slots, wall_seconds):
                removable = [other for other in accepted if _effective_priority(other) == priority]
                too_long = [o for o in removable if not _fits([o], slots, wall_seconds)]
                accepted.remove(max(too_long or removable, key=_removal_key))
    return accepted


def _fits(jobs: Iterable[JobSlotUsage], slots: float, wall_seconds: float) -> bool:
    """Return whether all jobs can finish in time when run by due time."""
    work_seconds = 0.0
    for job in sorted(jobs, key=_due_key):
        if job.due_slot is None:
            continue
        work_seconds += job.work_seconds
        due_in_seconds = job.due_slot * TIME_SLOT_SECONDS - wall_seconds
        if work_seconds > slots * max(0.0, due_in_seconds + LATENESS_TOLERANCE_SECONDS):
            return False
    return True


def _effective_priority(job: JobSlotUsage) -> int:
    return max(0, job.priority - job.missed)


def _due_key(job: JobSlotUsage) -> tuple[bool, int, tuple[int, int, BatchId]]:
    return job.due_slot is None, job.due_slot or 0, _tie_break_key(job)


def _removal_key(job: JobSlotUsage) -> tuple[int, float, tuple[int, int, BatchId]]:
    """Sort key of the job to remove, greatest first: shortest late streak, then longest work."""
    return -job.missed, job.work_seconds, _tie_break_key(job)


def _tie_break_key(job: JobSlotUsage) -> tuple[int, int, BatchId]:
    """Sort key of jobs whose items are equally urgent."""
    return _effective_priority(job), job.began_slot, job.batch_id
