"""How many workers the open batch jobs of a service need: a pure estimate.

The load: trainers hand in hundreds of items at once, every few seconds, so that the places wanted
swing between none and a peak. Enough is not the peak but what lets the last item of a peak begin
after an acceptable wait. With N items, P places and runs of S seconds, the last one waits about
(N / P - 1) * S; a wait of W seconds therefore takes N * S / (S + W) places.
"""

import math
from collections.abc import Mapping
from itertools import pairwise

import msgspec

from drumbay.batches.places import JobPlaces
from drumbay.batches.records import BatchId

ACCEPTABLE_WAIT_SECONDS = 1.0
"""A trainer waits for the last item of its step. A wait of a second is small beside the time that
the longest items run."""

TARGET_OCCUPANCY = 0.85
"""Share of the places that can be counted on: the others load weights, or their workers pause."""

SHORT_SHARE = 0.1
"""Fewer waiting items than this share of the places get one within tenths of a second."""

BUSY_SHARE = 0.5
"""Items that wait while fewer places than this share are held wait for something else than room,
as for weights."""

RECENT_SECONDS = 10.0
"""Steps come every few seconds: two of them show how high demand goes."""

CALM_SECONDS = 60.0
"""Demand must have been low for so long, several steps and a pause of a trainer, before workers are
given back: too few cost every step its time, too many cost their price only."""

DEFAULT_RUN_SECONDS = 1.0
"""Taken for the length of a run until some have ended."""

LONGEST_RUN_SECONDS = 5.0
"""Beyond this, workers stand still rather than run: more of them would stand still too."""

DEFAULT_RUN_WEIGHT = 20
"""The default counts as so many runs: at the start of a step places are held while no run has
ended, which alone would tell of endless runs."""

LONGEST_SAMPLE_SECONDS = 3.0
"""What happened in a longer gap between two samples is not known."""


class PlacesSample(msgspec.Struct, frozen=True, kw_only=True):
    """What was there and wanted at one moment.

    Attributes:
        at: Monotonic time.
        workers: Ready workers of the service.
        places: Their places.
        jobs: The open batch jobs of the service.
    """

    at: float
    workers: int
    places: int
    jobs: tuple[JobPlaces, ...]


class WorkerNeed(msgspec.Struct, frozen=True, kw_only=True):
    """What demand asks for.

    Attributes:
        workers: Enough for the lack that has lasted; 0 if there is no such lack.
        calm_workers: Enough for all demand of a long time; ``None`` if it was not seen for so long.
        wanted: Places wanted now, those that are held included.
        waiting: Items without a place now.
        run_seconds: Mean time for which an item holds a place.
    """

    workers: int
    calm_workers: int | None
    wanted: int = 0
    waiting: int = 0
    run_seconds: float


class _Moment(msgspec.Struct, frozen=True, kw_only=True):
    """One sample, and what went on since the one before.

    Attributes:
        at: Monotonic time.
        busy: Places that were held.
        ended_runs: Runs that have ended since the sample before.
        seconds: Time since the sample before; 0 if it is too long ago.
        is_short: Whether items waited for room.
        enough: Workers that would have made the longest wait acceptable.
    """

    at: float
    busy: int
    ended_runs: int
    seconds: float
    is_short: bool = False
    enough: int = 0


class DemandHistory:
    """The demand for the workers of one service, lately."""

    def __init__(self) -> None:
        """Know nothing."""
        self._moments: list[_Moment] = []
        self._jobs: dict[BatchId, JobPlaces] = {}
        self._run_seconds = DEFAULT_RUN_SECONDS

    def observe(self, sample: PlacesSample) -> None:
        """Take a sample."""
        jobs = {job.batch_id: job for job in sample.jobs}
        gap_seconds = sample.at - self._moments[-1].at if self._moments else 0.0
        is_known = gap_seconds <= LONGEST_SAMPLE_SECONDS
        running = sum(sum(job.running.values()) for job in sample.jobs)
        moment = _Moment(
            at=sample.at,
            # Runs beyond the places wait in the queues of the workers.
            busy=min(running, sample.places),
            ended_runs=_ended_runs(self._jobs, jobs) if is_known else 0,
            seconds=gap_seconds if is_known else 0.0,
        )
        self._jobs = jobs
        self._measure_runs(moment)
        self._moments.append(
            msgspec.structs.replace(
                moment,
                is_short=_is_short(sample, moment.busy),
                enough=self._enough_workers(sample, moment.busy),
            )
        )
        while len(self._moments) > 1 and self._moments[1].at <= sample.at - CALM_SECONDS:
            self._moments.pop(0)

    def _measure_runs(self, newest: _Moment) -> None:
        recent = [moment for moment in self._moments if moment.at > newest.at - RECENT_SECONDS]
        ended_runs = DEFAULT_RUN_WEIGHT
        held_seconds = DEFAULT_RUN_WEIGHT * DEFAULT_RUN_SECONDS
        for moment in (*recent, newest):
            ended_runs += moment.ended_runs
            held_seconds += moment.busy * moment.seconds
        self._run_seconds = min(LONGEST_RUN_SECONDS, held_seconds / ended_runs)

    def _enough_workers(self, sample: PlacesSample, busy: int) -> int:
        """Return how many workers would have made the longest wait acceptable."""
        if not sample.places:
            return 0
        share = self._run_seconds / (self._run_seconds + ACCEPTABLE_WAIT_SECONDS)
        places = max(busy, _wanted(sample) * share) / TARGET_OCCUPANCY
        return math.ceil(places * sample.workers / sample.places)

    def need(self) -> WorkerNeed:
        """Return what demand asks for by now."""
        if not self._moments:
            return WorkerNeed(workers=0, calm_workers=None, run_seconds=self._run_seconds)
        last_at = self._moments[-1].at
        recent = [moment for moment in self._moments if moment.at > last_at - RECENT_SECONDS]
        # A lack that only one sample saw may be over.
        lasting = [
            max(one.enough, next_one.enough)
            for one, next_one in pairwise(recent)
            if one.is_short and next_one.is_short
        ]
        is_long = last_at - self._moments[0].at >= CALM_SECONDS
        return WorkerNeed(
            workers=max(lasting, default=0),
            calm_workers=max(moment.enough for moment in self._moments) if is_long else None,
            wanted=sum(job.wanted for job in self._jobs.values()),
            waiting=sum(job.waiting for job in self._jobs.values()),
            run_seconds=self._run_seconds,
        )


def _wanted(sample: PlacesSample) -> int:
    return sum(job.wanted for job in sample.jobs)


def _is_short(sample: PlacesSample, busy: int) -> bool:
    """Return whether items wait for room, rather than for something else."""
    waiting = sum(job.waiting for job in sample.jobs)
    return waiting > SHORT_SHARE * sample.places and busy >= BUSY_SHARE * sample.places


def _ended_runs(before: Mapping[BatchId, JobPlaces], now: Mapping[BatchId, JobPlaces]) -> int:
    """Return about how many runs have ended between two samples."""
    return sum(_ended_runs_of(job, now.get(job.batch_id)) for job in before.values())


def _ended_runs_of(before: JobPlaces, now: JobPlaces | None) -> int:
    if now is None:
        # Items of a batch job that has ended are dropped without a run.
        return sum(before.running.values())
    return max(0, before.wanted - now.wanted)
