"""When a request crashes the emulated workers that run it."""

import zlib
from enum import StrEnum

CRASH_SOON_SECONDS = 0.005
CRASH_LATER_SECONDS = 0.3
CRASHING_SHARE = 1 / 3


class CrashTiming(StrEnum):
    """When a request crashes its workers."""

    BEFORE_ANSWER = "before_answer"
    WITHIN_ANSWER = "within_answer"
    """After a part of the answer; an emulated worker that has no connections sends none."""
    AFTER_ANSWER = "after_answer"
    """A moment after a whole answer."""
    LATER = "later"
    """A while after a whole answer."""
    AFTER_FAILURE = "after_failure"
    """A moment after a whole answer that says that the run has failed."""
    SOMETIMES = "sometimes"
    """Before the answer, in a share of its runs; the others are sound."""

    def crashes_before_answer(self, run_stamp: str) -> bool:
        """Return whether the run with a stamp crashes its worker before its whole answer."""
        if self is CrashTiming.SOMETIMES:
            return zlib.crc32(run_stamp.encode()) / 2**32 < CRASHING_SHARE
        return self in (CrashTiming.BEFORE_ANSWER, CrashTiming.WITHIN_ANSWER)


def crashes_in(timing: CrashTiming) -> float | None:
    """Return the seconds from an answer to the crash; ``None`` if none follows."""
    if timing in (CrashTiming.AFTER_ANSWER, CrashTiming.AFTER_FAILURE):
        return CRASH_SOON_SECONDS
    return CRASH_LATER_SECONDS if timing is CrashTiming.LATER else None
