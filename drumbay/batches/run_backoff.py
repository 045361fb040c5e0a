"""When an item runs again after runs that ended without any answer. No I/O.

The worker of such a run may have failed the item, may have crashed, or may just be cut off: an
owner cannot tell a lost failure from a lost text. So the item runs again: at once after the first
such run, as most are the fault of one worker, and after an exponentially growing delay then.
"""

MIN_DELAY_SECONDS = 0.025
DELAY_GROWTH_FACTOR = 2.5
MAX_DELAY_SECONDS = 4.0
"""An item that no worker has failed must not wait for longer than a few seconds."""

MAX_DELAY_OF_FAILED_ITEM_SECONDS = 0.8
"""An item that has failed gets a limited number of runs; its step waits for the last of them."""

_MAX_GROWTH_STEPS = 8


def delay_seconds(unanswered: int, *, has_failed: bool) -> float:
    """Return the delay after the last of a number of runs without an answer.

    ``has_failed`` states whether a worker is known to have failed the item.
    """
    if unanswered <= 1:
        return 0.0
    longest = MAX_DELAY_OF_FAILED_ITEM_SECONDS if has_failed else MAX_DELAY_SECONDS
    growth_steps = min(unanswered - 2, _MAX_GROWTH_STEPS)
    return min(longest, MIN_DELAY_SECONDS * DELAY_GROWTH_FACTOR**growth_steps)


def remaining_delay_seconds(delay: float, unanswered_at: float, wall_now: float) -> float:
    """Return what is left of a delay after a run that ended at a wall clock time.

    Clocks of machines may differ: it is never more than the delay.
    """
    return min(delay, max(0.0, unanswered_at + delay - wall_now))
