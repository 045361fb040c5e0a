"""Estimates how many workers the open batch jobs of a service need.

Trainers submit hundreds of items at once, every few seconds, so demand alternates between zero and
a peak. The estimate is sized so that the last item of a peak starts after an acceptable wait. With
N items, P slots and runs of S seconds, the last item waits about (N / P - 1) * S; a wait of
W seconds therefore takes N * S / (S + W) slots.
"""

import math
from collections.abc import Mapping
from itertools import pairwise

import msgspec

from drumbay.batches.records import BatchId
from drumbay.batches.slot_usage import JobSlotUsage

ACCEPTABLE_WAIT_SECONDS = 1.0
"""Acceptable wait of the last item of a peak."""

TARGET_UTILIZATION = 0.85
"""Usable fraction of the slots; the others load weights or belong to paused workers."""

MIN_WAITING_FRACTION = 0.1
"""Up to this fraction of the slots, waiting items soon get a slot and are no shortage."""

MIN_BUSY_FRACTION = 0.5
"""If a smaller fraction of the slots is busy, items wait for other reasons, such as weights."""

RECENT_WINDOW_SECONDS = 10.0
"""Window for scaling up; covers about two steps of a trainer."""

SCALE_DOWN_WINDOW_SECONDS = 60.0
"""Demand must be low for this time before scaling down; covers several steps and a pause."""

DEFAULT_RUN_SECONDS = 1.0
"""Assumed run duration until some runs have completed."""

MAX_RUN_SECONDS = 5.0
"""Upper bound; longer runs indicate stalled workers, which scaling up would not help."""

DEFAULT_RUN_WEIGHT = 20
"""Weight of the default, in runs. Without it, the start of a step, when no run has completed yet,
would look like endless runs."""

MAX_SAMPLE_INTERVAL_SECONDS = 3.0
"""Intervals longer than this are not used to measure runs."""


class DemandSample(msgspec.Struct, frozen=True, kw_only=True):
    """Workers and demand at one point in time.

    Attributes:
        at: Monotonic time.
        workers: Number of ready workers of the service.
        slots: Number of their slots.
        jobs: The open batch jobs of the service.
    """

    at: float
    workers: int
    slots: int
    jobs: tuple[JobSlotUsage, ...]


class WorkerEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Estimated number of workers needed.

    Attributes:
        workers: Workers needed for a sustained shortage; 0 without a shortage.
        long_term_workers: Workers needed for the peak demand of the scale-down window; ``None``
            if that window is not covered yet.
        wanted_slots: Slots that the batch jobs could use now, including busy ones.
        waiting_items: Items waiting for a slot now.
        run_seconds: Mean time for which an item occupies a slot.
    """

    workers: int
    long_term_workers: int | None
    wanted_slots: int = 0
    waiting_items: int = 0
    run_seconds: float


class _DemandPoint(msgspec.Struct, frozen=True, kw_only=True):
    """One evaluated sample.

    Attributes:
        at: Monotonic time.
        busy_slots: Slots occupied by runs.
        completed_runs: Runs completed since the previous sample.
        interval_seconds: Time since the previous sample; 0 if it is too long ago.
        is_saturated: Whether items waited for slots.
        required_workers: Workers needed for an acceptable wait.
    """

    at: float
    busy_slots: int
    completed_runs: int
    interval_seconds: float
    is_saturated: bool = False
    required_workers: int = 0


class DemandHistory:
    """Recent demand for the workers of one service."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._points: list[_DemandPoint] = []
        self._jobs: dict[BatchId, JobSlotUsage] = {}
        self._run_seconds = DEFAULT_RUN_SECONDS

    def observe(self, sample: DemandSample) -> None:
        """Add a sample."""
        jobs = {job.batch_id: job for job in sample.jobs}
        interval_seconds = sample.at - self._points[-1].at if self._points else 0.0
        is_continuous = interval_seconds <= MAX_SAMPLE_INTERVAL_SECONDS
        running = sum(sum(job.running.values()) for job in sample.jobs)
        point = _DemandPoint(
            at=sample.at,
            # Runs beyond the slots are queued at the workers.
            busy_slots=min(running, sample.slots),
            completed_runs=_completed_runs(self._jobs, jobs) if is_continuous else 0,
            interval_seconds=interval_seconds if is_continuous else 0.0,
        )
        self._jobs = jobs
        self._update_run_seconds(point)
        self._points.append(
            msgspec.structs.replace(
                point,
                is_saturated=_is_saturated(sample, point.busy_slots),
                required_workers=self._required_workers(sample, point.busy_slots),
            )
        )
        while len(self._points) > 1 and self._points[1].at <= sample.at - SCALE_DOWN_WINDOW_SECONDS:
            self._points.pop(0)

    def _update_run_seconds(self, newest: _DemandPoint) -> None:
        recent = [point for point in self._points if point.at > newest.at - RECENT_WINDOW_SECONDS]
        completed_runs = DEFAULT_RUN_WEIGHT
        busy_seconds = DEFAULT_RUN_WEIGHT * DEFAULT_RUN_SECONDS
        for point in (*recent, newest):
            completed_runs += point.completed_runs
            busy_seconds += point.busy_slots * point.interval_seconds
        self._run_seconds = min(MAX_RUN_SECONDS, busy_seconds / completed_runs)

    def _required_workers(self, sample: DemandSample, busy_slots: int) -> int:
        """Return the number of workers needed for an acceptable wait."""
        if not sample.slots:
            return 0
        slot_fraction = self._run_seconds / (self._run_seconds + ACCEPTABLE_WAIT_SECONDS)
        slots = max(busy_slots, _wanted_slots(sample) * slot_fraction) / TARGET_UTILIZATION
        return math.ceil(slots * sample.workers / sample.slots)

    def estimate(self) -> WorkerEstimate:
        """Return the current estimate."""
        if not self._points:
            return WorkerEstimate(workers=0, long_term_workers=None, run_seconds=self._run_seconds)
        last_at = self._points[-1].at
        recent = [point for point in self._points if point.at > last_at - RECENT_WINDOW_SECONDS]
        # A shortage in a single sample may be over already.
        sustained = [
            max(current.required_workers, following.required_workers)
            for current, following in pairwise(recent)
            if current.is_saturated and following.is_saturated
        ]
        covers_window = last_at - self._points[0].at >= SCALE_DOWN_WINDOW_SECONDS
        return WorkerEstimate(
            workers=max(sustained, default=0),
            long_term_workers=max(point.required_workers for point in self._points)
            if covers_window
            else None,
            wanted_slots=sum(job.wanted for job in self._jobs.values()),
            waiting_items=sum(job.waiting for job in self._jobs.values()),
            run_seconds=self._run_seconds,
        )


def _wanted_slots(sample: DemandSample) -> int:
    return sum(job.wanted for job in sample.jobs)


def _is_saturated(sample: DemandSample, busy_slots: int) -> bool:
    """Return whether items wait for slots rather than for something else."""
    waiting = sum(job.waiting for job in sample.jobs)
    return (
        waiting > MIN_WAITING_FRACTION * sample.slots
        and busy_slots >= MIN_BUSY_FRACTION * sample.slots
    )


def _completed_runs(
    previous: Mapping[BatchId, JobSlotUsage], current: Mapping[BatchId, JobSlotUsage]
) -> int:
    """Estimate how many runs completed between two samples."""
    return sum(_completed_runs_of(job, current.get(job.batch_id)) for job in previous.values())


def _completed_runs_of(previous: JobSlotUsage, current: JobSlotUsage | None) -> int:
    if current is None:
        # Waiting items of a batch job that ended are dropped without a run.
        return sum(previous.running.values())
    return max(0, previous.wanted - current.wanted)
