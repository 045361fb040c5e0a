"""Pure decisions: how batch jobs of several owners share the places of their workers.

The load: several training steps are open at once, and ask for more places than their workers have.
Owners that fill each free place for themselves oversubscribe the workers: runs wait in the
workers' queues, are given up there, and all steps are late alike. So each owner tells the others
what its jobs hold and want, and all put the waiting items into one order, as one queue for all
would: those first that must start soonest to be in time. What is late already, or waited for by
nobody, goes after them: a place that it takes makes another step late too, and where there is room
for some steps only, all would be late. A part of the places stays open to it, so that a trainer
whose step is late is not left behind for good.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set

import msgspec

from drumbay.batches.places import TIME_SLOT_SECONDS, JobPlaces, NoticeNumber
from drumbay.batches.records import BatchId
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import BackendId

NOTICE_LIFETIME_SECONDS = 1.2
"""What an owner told counts for so long: more than two of its regular notices. An owner that ended
must not keep places from the others for longer than its runs go on."""

MOST_HOLDERS = 1_024
"""Owners whose newest notice is remembered, also after their last job: more than nodes own batch
jobs within the time that a notice may be late."""

LATE_SHARE = 0.15
"""Share of the places, one at least, that late items may hold while items that can still be in time
wait; divided between the jobs with late items, so that a late step still ends."""

TOLERANCE_SECONDS = 0.5
"""A step that is expected late by less than this counts as in time: its work is an expectation, and
leaving it out costs its trainer many times as much."""


class Competition(msgspec.Struct, frozen=True, kw_only=True):
    """What other batch jobs want beside one.

    Attributes:
        is_feasible: Whether there is room for the job to be in time, beside others that are.
        is_scarce: Whether there is no room for all jobs to be in time.
        places: Places of the service's workers, taken ones included.
        others_work_seconds: For how long one place would be taken by the other jobs.
        free: Places of the service that nobody holds.
        starts: How many items of jobs that go after this one must start by which time slot.
        starts_before: The same for jobs that go before this one where both are as urgent.
        deferrable: How many items of others wait that are late, or waited for by nobody, and
            whose jobs go before.
        late_places: How many places the job may hold whatever others want.
        offset: What added to this owner's monotonic time gives its time of day.
    """

    is_feasible: bool
    is_scarce: bool
    places: int
    others_work_seconds: float
    free: int
    starts: Mapping[int, int]
    starts_before: Mapping[int, int]
    deferrable: int
    late_places: int
    offset: float = 0.0

    def count_ahead(self, slot: int | None) -> int:
        """Return how many waiting items of others go before one.

        Args:
            slot: By when the item must start; ``None`` if it is late, or waited for by nobody.
        """
        if slot is None:
            return sum(self.starts.values()) + sum(self.starts_before.values()) + self.deferrable
        sooner = sum(count for start, count in self.starts.items() if start < slot)
        return sooner + sum(count for start, count in self.starts_before.items() if start <= slot)


class Room(msgspec.Struct, frozen=True):
    """The places of the workers of a service that take items: all of them, and the free ones."""

    places: int
    free: int


class _Told(msgspec.Struct, frozen=True):
    """What an owner told at a monotonic time."""

    at: float
    jobs: tuple[JobPlaces, ...]


class SharedPlaces:
    """What the owners of batch jobs have told each other, as one of them knows it."""

    def __init__(self) -> None:
        """Know of no other owner."""
        self._told: dict[NetworkAddress, _Told] = {}
        self._newest: dict[NetworkAddress, NoticeNumber] = {}
        self._held: dict[str, Counter[BackendId]] = {}

    @property
    def holders(self) -> tuple[NetworkAddress, ...]:
        """Return the owners that told of jobs lately."""
        return tuple(self._told)

    def take(
        self,
        holder: NetworkAddress,
        jobs: tuple[JobPlaces, ...],
        now: float,
        number: NoticeNumber,
    ) -> bool:
        """Take what an owner tells, in place of what it told before.

        Returns:
            Whether it is news: a notice that comes after a newer one is passed over.
        """
        newest = self._newest.pop(holder, None)
        if newest is not None and newest.boot == number.boot and newest.number >= number.number:
            self._newest[holder] = newest
            return False
        if len(self._newest) >= MOST_HOLDERS:
            del self._newest[next(iter(self._newest))]
        self._newest[holder] = number
        self._drop(holder)
        if jobs:
            self._told[holder] = _Told(now, jobs)
            for job in jobs:
                self._held.setdefault(job.service, Counter()).update(job.running)
        return True

    def expire(self, now: float) -> tuple[NetworkAddress, ...]:
        """Forget the owners that say nothing any more, and return them."""
        silent = tuple(h for h, t in self._told.items() if now - t.at > NOTICE_LIFETIME_SECONDS)
        for holder in silent:
            self._drop(holder)
        return silent

    def _drop(self, holder: NetworkAddress) -> None:
        told = self._told.pop(holder, None)
        jobs = told.jobs if told is not None else ()
        for job in jobs:
            self._held[job.service] -= Counter(job.running)
        for service in {job.service for job in jobs}:
            if not self._is_told(service):
                del self._held[service]

    def _is_told(self, service: str) -> bool:
        return any(job.service == service for told in self._told.values() for job in told.jobs)

    def held_by_others(self, service: str) -> Mapping[BackendId, int] | None:
        """Return the runs of other owners by worker; ``None`` if none told of any job there."""
        return self._held.get(service)

    def competition(
        self, job: JobPlaces, own: Iterable[JobPlaces], room: Room, now: float, offset: float
    ) -> Competition | None:
        """Return what others want beside a job; ``None`` if no other one competes.

        Args:
            job: The job.
            own: All jobs of this owner.
            room: The places of the service.
            now: Monotonic time.
            offset: What added to this owner's monotonic time gives its time of day.
        """
        rivals = [
            other
            for other in self._jobs(own)
            if other.batch_id != job.batch_id and other.service == job.service and other.wanted
        ]
        if not any(rival.startable for rival in rivals):
            return None
        feasible = _feasible((job, *rivals), room.places, offset + now)
        earlier = [rival for rival in rivals if _tie_break(rival) < _tie_break(job)]
        later = [rival for rival in rivals if _tie_break(rival) > _tie_break(job)]
        return Competition(
            is_feasible=job.batch_id in feasible,
            is_scarce=len(feasible) < len(rivals) + 1,
            places=room.places,
            others_work_seconds=sum(rival.work_seconds for rival in rivals),
            free=room.free,
            starts=_starts_of(later, feasible),
            starts_before=_starts_of(earlier, feasible),
            deferrable=sum(_late_items(rival, feasible) for rival in earlier),
            late_places=_late_places(job, rivals, feasible, room.places),
            offset=offset,
        )

    def _jobs(self, own: Iterable[JobPlaces]) -> Iterable[JobPlaces]:
        yield from own
        for told in self._told.values():
            yield from told.jobs


def _starts_of(jobs: Iterable[JobPlaces], feasible: Set[BatchId]) -> Counter[int]:
    starts: Counter[int] = Counter()
    for job in jobs:
        if job.batch_id in feasible:
            starts.update(job.starts)
    return starts


def _late_items(job: JobPlaces, feasible: Set[BatchId]) -> int:
    """Return how many items of a job wait behind those that can be in time."""
    return job.deferrable if job.batch_id in feasible else job.startable


def _late_places(
    job: JobPlaces, rivals: Iterable[JobPlaces], feasible: Set[BatchId], places: int
) -> int:
    """Return the part of a job of the places for late items; jobs that go before get more."""
    late = [rival for rival in rivals if _late_items(rival, feasible)]
    share, rest = divmod(max(1, int(LATE_SHARE * places)), len(late) + 1)
    position = sum(_tie_break(rival) < _tie_break(job) for rival in late)
    return share + (position < rest)


def _feasible(jobs: Sequence[JobPlaces], places: int, wall_seconds: float) -> frozenset[BatchId]:
    """Return the jobs that can all be in time; some places are left to the others, if any."""
    taken = _in_time(jobs, places, wall_seconds)
    if len(taken) < len(jobs):
        taken = _in_time(jobs, places * (1 - LATE_SHARE), wall_seconds)
    return frozenset(job.batch_id for job in taken)


def _in_time(jobs: Sequence[JobPlaces], places: float, wall_seconds: float) -> list[JobPlaces]:
    """Return the jobs for which there is room, those of a higher rank before others.

    Among jobs of one rank these are as many as there is room for, by the algorithm of Moore (1968),
    "An n job, one machine sequencing algorithm for minimizing the number of late jobs": take one
    after the other by their due times, and leave out the longest so far while one would be late.
    Each late step in a row raises the rank of its trainer's next one.
    """
    taken: list[JobPlaces] = []
    for rank in sorted({_rank(job) for job in jobs}):
        for job in sorted((j for j in jobs if _rank(j) == rank), key=_due_key):
            taken.append(job)
            while not _fits(taken, places, wall_seconds):
                removable = [other for other in taken if _rank(other) == rank]
                too_long = [o for o in removable if not _fits([o], places, wall_seconds)]
                taken.remove(max(too_long or removable, key=_removal_key))
    return taken


def _fits(jobs: Iterable[JobPlaces], places: float, wall_seconds: float) -> bool:
    """Return whether all jobs can be in time, one after the other by their due times."""
    work_seconds = 0.0
    for job in sorted(jobs, key=_due_key):
        if job.due_slot is None:
            continue
        work_seconds += job.work_seconds
        due_in_seconds = job.due_slot * TIME_SLOT_SECONDS - wall_seconds
        if work_seconds > places * max(0.0, due_in_seconds + TOLERANCE_SECONDS):
            return False
    return True


def _rank(job: JobPlaces) -> int:
    return max(0, job.priority - job.missed)


def _due_key(job: JobPlaces) -> tuple[bool, int, tuple[int, int, BatchId]]:
    return job.due_slot is None, job.due_slot or 0, _tie_break(job)


def _removal_key(job: JobPlaces) -> tuple[int, float, tuple[int, int, BatchId]]:
    """Return the key of the job to leave out, the greatest first.

    Fewest late steps in a row, then the longest.
    """
    return -job.missed, job.work_seconds, _tie_break(job)


def _tie_break(job: JobPlaces) -> tuple[int, int, BatchId]:
    """Return by what jobs are put into order where their items are as urgent."""
    return _rank(job), job.began_slot, job.batch_id
