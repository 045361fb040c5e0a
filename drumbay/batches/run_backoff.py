"""When an item runs again after runs that ended without any answer. No I/O.

The worker of such a run may have failed the item, may have crashed, or may just be cut off: an
owner cannot tell a lost failure from a lost text. So the item runs again, but after an
exponentially growing delay.
"""

MIN_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 3.2
"""An item that no worker has failed must not wait for longer than a few seconds."""

_MAX_DOUBLINGS = 8


def delay_seconds(unanswered: int) -> float:
    """Return the delay after the last of a number of runs without an answer; 0 without one."""
    if not unanswered:
        return 0.0
    doublings = min(unanswered - 1, _MAX_DOUBLINGS)
    return min(MAX_DELAY_SECONDS, MIN_DELAY_SECONDS * 2.0**doublings)
