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
from collections.abc import Iterable, Mapping, Set

import msgspec

from drumbay.batches.places import START_STEP_SECONDS, JobPlaces
from drumbay.batches.records import BatchId
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import BackendId

TOLD_LIFETIME_SECONDS = 1.2
"""What an owner told counts for so long: more than two of its regular notices. An owner that ended
must not keep places from the others for longer than its runs go on."""

LATE_SHARE = 0.15
"""Share of the places that late items may hold while others wait that can still be in time, divided
evenly between the jobs that have some: a late step still ends, and its trainer goes on."""


TOLERANCE_SECONDS = 0.5
"""A step that is expected late by less than this counts as in time: its work is an expectation, and
leaving it out costs its trainer many times as much."""


class Competition(msgspec.Struct, frozen=True, kw_only=True):
    """What other batch jobs want beside one.

    Attributes:
        is_promised: Whether there is room for the job to be in time, beside others that are.
        places: Places of the service's workers, taken ones included.
        others_work_seconds: For how long one place would be taken by the other jobs.
        free: Places of the service that nobody holds.
        starts: How many items of jobs that go after this one must start by when, by step of the
            time of day.
        starts_before: The same for jobs that go before this one where both are as urgent.
        deferrable: How many items of others wait that are late, or waited for by nobody, and
            whose jobs began before.
        late_places: How many places the job may hold whatever others want.
        offset: What added to this owner's monotonic time gives its time of day.
    """

    is_promised: bool
    places: int
    others_work_seconds: float
    free: int
    starts: Mapping[int, int]
    starts_before: Mapping[int, int]
    deferrable: int
    late_places: int
    offset: float = 0.0

    def before(self, step: int | None) -> int:
        """Return how many waiting items of others go before one.

        Args:
            step: By when the item must start; ``None`` if it is late, or waited for by nobody.
        """
        if step is None:
            return sum(self.starts.values()) + sum(self.starts_before.values()) + self.deferrable
        sooner = sum(count for start, count in self.starts.items() if start < step)
        return sooner + sum(count for start, count in self.starts_before.items() if start <= step)


class _Told(msgspec.Struct, frozen=True):
    """What an owner told at a monotonic time."""

    at: float
    jobs: tuple[JobPlaces, ...]


class SharedPlaces:
    """What the owners of batch jobs have told each other, as one of them knows it."""

    def __init__(self) -> None:
        """Know of no other owner."""
        self._told: dict[NetworkAddress, _Told] = {}
        self._held: Counter[BackendId] = Counter()

    @property
    def holders(self) -> tuple[NetworkAddress, ...]:
        """Return the owners that told of open jobs lately."""
        return tuple(self._told)

    def take(self, holder: NetworkAddress, jobs: tuple[JobPlaces, ...], now: float) -> None:
        """Take what an owner tells; it replaces what it told before."""
        self._drop(holder)
        if jobs:
            self._told[holder] = _Told(now, jobs)
            for job in jobs:
                self._held.update(job.running)

    def expire(self, now: float) -> tuple[NetworkAddress, ...]:
        """Forget the owners that say nothing any more, and return them."""
        silent = tuple(h for h, t in self._told.items() if now - t.at > TOLD_LIFETIME_SECONDS)
        for holder in silent:
            self._drop(holder)
        return silent

    def _drop(self, holder: NetworkAddress) -> None:
        told = self._told.pop(holder, None)
        for job in told.jobs if told is not None else ():
            self._held.subtract(job.running)

    def held_by_others(self) -> Mapping[BackendId, int] | None:
        """Return the runs of other owners by worker; ``None`` if none told of any job."""
        return self._held if self._told else None

    def competition(
        self, job: JobPlaces, own: Iterable[JobPlaces], places: int, now: float, offset: float
    ) -> Competition | None:
        """Return what others want beside a job; ``None`` if no other one competes.

        Args:
            job: The job.
            own: All jobs of this owner.
            places: Places of the service's workers, taken ones included.
            now: Monotonic time.
            offset: What added to this owner's monotonic time gives its time of day.
        """
        others = [other for other in self._jobs(own) if other.batch_id != job.batch_id]
        rivals = [other for other in others if other.service == job.service and other.wanted]
        if not any(rival.waiting for rival in rivals):
            return None
        promised = _promised((job, *rivals), places, offset + now)
        earlier = [rival for rival in rivals if _order(rival) < _order(job)]
        later = [rival for rival in rivals if _order(rival) > _order(job)]
        held = sum(sum(rival.running.values()) for rival in (*rivals, job))
        late_jobs = 1 + sum(rival.deferrable > 0 for rival in rivals)
        return Competition(
            is_promised=job.batch_id in promised,
            places=places,
            others_work_seconds=sum(rival.work_seconds for rival in rivals),
            free=max(0, places - held),
            starts=_starts_of(later, promised),
            starts_before=_starts_of(earlier, promised),
            deferrable=sum(
                rival.deferrable if rival.batch_id in promised else rival.waiting
                for rival in earlier
            ),
            late_places=int(LATE_SHARE * places / late_jobs),
            offset=offset,
        )

    def _jobs(self, own: Iterable[JobPlaces]) -> Iterable[JobPlaces]:
        yield from own
        for told in self._told.values():
            yield from told.jobs


def _starts_of(jobs: Iterable[JobPlaces], promised: Set[BatchId]) -> Counter[int]:
    starts: Counter[int] = Counter()
    for job in jobs:
        if job.batch_id in promised:
            starts.update(job.starts)
    return starts


def _promised(jobs: Iterable[JobPlaces], places: int, wall_seconds: float) -> frozenset[BatchId]:
    """Return the jobs that can all be in time; some places are left to the others, if any."""
    ordered = sorted(jobs, key=lambda job: (job.due_step, _order(job)))
    taken = _in_time(ordered, places, wall_seconds)
    if len(taken) < len(ordered):
        taken = _in_time(ordered, places * (1 - LATE_SHARE), wall_seconds)
    return frozenset(job.batch_id for job in taken)


def _in_time(jobs: Iterable[JobPlaces], places: float, wall_seconds: float) -> list[JobPlaces]:
    """Return as many jobs, given by their due times, as there is room for.

    The algorithm of Moore (1968), "An n job, one machine sequencing algorithm for minimizing the
    number of late jobs": take one after the other, and leave out the longest so far whenever the
    newest would be late. A trainer whose last steps were late is not left out before others.
    """
    taken: list[JobPlaces] = []
    for job in jobs:
        taken.append(job)
        seconds = max(0.0, job.due_step * START_STEP_SECONDS + TOLERANCE_SECONDS - wall_seconds)
        if sum(other.work_seconds for other in taken) > places * seconds:
            taken.remove(max(taken, key=lambda o: (-o.missed, o.work_seconds, _order(o))))
    return taken


def _order(job: JobPlaces) -> tuple[int, int, BatchId]:
    """Return by what jobs are put into order where their items are as urgent."""
    return job.priority, job.began_step, job.batch_id
