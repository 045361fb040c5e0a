"""When accepted work runs again after crashes of its workers. No I/O.

Items of batch jobs and their reward requests must run, however often workers crash under them, so
they are never held. They run again after a capped exponential backoff, at first isolated from other
requests that may crash their worker. After a short wait for that, they run like any other request.
If several workers have crashed under them, the last one is left to others for as long as the
longest backoff takes.
"""

from drumbay.quarantine.records import Decision, Reason, RequestActivity, Verdict

CRASHES_UNTIL_BACKOFF = 2
"""A single crash may be coincidence."""

MIN_BACKOFF_SECONDS = 0.25
BACKOFF_FACTOR = 2.0
MAX_BACKOFF_SECONDS = 4.0
MAX_CHECK_WAIT_SECONDS = 1.0
MAX_ISOLATION_WAIT_SECONDS = 0.5
"""Together less than the 5 s for which accepted work may wait while workers are idle."""

LAST_WORKER_CHECK_SECONDS = 0.5
"""Interval at which it is seen whether more than one worker is left again."""

CRASHES_UNTIL_LAST_WORKER_IS_SPARED = 2

_MAX_DOUBLINGS = 8


def backoff_seconds(crash_count: int) -> float:
    """Return the delay from the last of a number of consecutive crashes to the next run."""
    if crash_count < CRASHES_UNTIL_BACKOFF:
        return 0.0
    doublings = min(crash_count - CRASHES_UNTIL_BACKOFF, _MAX_DOUBLINGS)
    return min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * BACKOFF_FACTOR**doublings)


def isolation_ends_at(crash_count: int, last_crash_at: float) -> float:
    """Return until when a run must be isolated; a monotonic time."""
    if crash_count < CRASHES_UNTIL_BACKOFF:
        return last_crash_at
    return last_crash_at + backoff_seconds(crash_count) + MAX_ISOLATION_WAIT_SECONDS


def decide_retry(
    crash_count: int,
    last_crash_at: float,
    activity: RequestActivity,
    max_trials: int,
    now: float,
    *,
    is_last_worker: bool = False,
) -> Verdict:
    """Decide on the next run of accepted work.

    Args:
        crash_count: Consecutive crashes under it.
        last_crash_at: Monotonic time of the last one.
        activity: The runs in progress at this node, and the checks of the last
            ``MAX_CHECK_WAIT_SECONDS``.
        max_trials: How many isolated runs this node may have in progress.
        now: Monotonic time.
        is_last_worker: Whether several workers crashed under it, and one of many is left.
    """
    if activity.checks and crash_count + activity.checks >= CRASHES_UNTIL_BACKOFF:
        return Verdict(
            decision=Decision.WAIT,
            reason=Reason.CHECK_IN_PROGRESS,
            consecutive_crashes=crash_count,
        )
    remaining = last_crash_at + backoff_seconds(crash_count) - now
    if remaining > 0:
        return Verdict(
            decision=Decision.HOLD,
            reason=Reason.BACKOFF_AFTER_CRASHES,
            consecutive_crashes=crash_count,
            retry_after_seconds=remaining,
        )
    remaining = last_crash_at + MAX_BACKOFF_SECONDS - now
    if is_last_worker and remaining > 0:
        return Verdict(
            decision=Decision.HOLD,
            reason=Reason.FEW_WORKERS_LEFT,
            consecutive_crashes=crash_count,
            retry_after_seconds=min(remaining, LAST_WORKER_CHECK_SECONDS),
        )
    if now >= isolation_ends_at(crash_count, last_crash_at):
        return Verdict(decision=Decision.RUN, consecutive_crashes=crash_count)
    if activity.runs or activity.trials >= max_trials:
        return Verdict(
            decision=Decision.WAIT,
            reason=Reason.RUN_IN_PROGRESS,
            consecutive_crashes=crash_count,
        )
    return Verdict(decision=Decision.RUN, consecutive_crashes=crash_count, is_trial=True)
