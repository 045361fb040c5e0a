"""Pure decisions: how batch jobs of several owners share the places of their workers.

The load: several training steps are open at once, and ask for more places than their workers have.
Owners that fill each free place for themselves oversubscribe the workers: runs wait in the
workers' queues, are given up there, and all steps are late alike. So each owner tells the others
what its jobs hold and want, and all put the jobs into one order. A job takes what is free beyond
what the jobs before it still want. That is the order in which one queue for all would serve them:
a step that began early is whole early, and its trainer goes on.

Each job may hold a part of the places whatever stands before it: the longest items of a step decide
when it is whole, and must not wait for the shortest of another one.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from drumbay.batches.places import JobPlaces
from drumbay.batches.records import BatchId
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import BackendId

TOLD_LIFETIME_SECONDS = 1.2
"""What an owner told counts for so long: more than two of its regular notices. An owner that ended
must not keep places from the others for longer than its runs go on."""

ASSURED_SHARE = 0.5
"""Share of the places that is divided evenly; the rest goes by the order of the jobs. Trainers are
told apart by no more than half, and the longest items of each step start at once."""

PRIORITY_SECONDS = 1.0
"""A job goes before those of the next lower rank that began less than this earlier: a fraction of
the time a step takes, so that a lower rank is delayed and never starved."""


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

    def start_limit(self, job: JobPlaces, own: Iterable[JobPlaces], places: int) -> int | None:
        """Return how many items of a job may start now; ``None`` if no other job competes.

        Args:
            job: The job.
            own: All jobs of this owner.
            places: Places of the workers that the job may use, taken ones included.
        """
        others = [other for other in self._jobs(own) if other.batch_id != job.batch_id]
        rivals = [o for o in others if o.service == job.service and o.wanted]
        if not rivals:
            return None
        held = sum(sum(rival.running.values()) for rival in rivals)
        running = sum(job.running.values())
        before = sum(rival.waiting for rival in rivals if _order(rival) < _order(job))
        free = max(0, places - held - running)
        assured = int(ASSURED_SHARE * places / (1 + len(rivals))) - running
        return max(free - before, min(free, assured), 0)

    def _jobs(self, own: Iterable[JobPlaces]) -> Iterable[JobPlaces]:
        yield from own
        for told in self._told.values():
            yield from told.jobs


def _order(job: JobPlaces) -> tuple[float, BatchId]:
    """Return by what jobs are put into order, the smallest first."""
    return job.began_at + PRIORITY_SECONDS * job.priority, job.batch_id
