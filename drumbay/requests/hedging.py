"""Hedged requests: a second attempt at another back end when the first one is slow.

See Dean and Barroso, "The Tail at Scale" (CACM 56(2), 2013), section "Within request
short-term adaptations": waiting for the 95th percentile of the usual latency bounds the
further load to about a twentieth. Only for requests that may be repeated.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.requests.errors import PROVES_NOT_RUN

ResultT = TypeVar("ResultT")


async def first_answer(
    clock: Clock,
    first: Coroutine[Any, Any, ResultT],
    delay_seconds: float,
    hedge: Callable[[], Coroutine[Any, Any, ResultT] | None],
) -> ResultT:
    """Return the first answer of an attempt and, if that is slow, of a second one.

    Args:
        clock: Time.
        first: The attempt.
        delay_seconds: How long it may take before the second one is started.
        hedge: Returns the second attempt, or ``None`` if there may be none.

    Raises:
        BackendError: No attempt was answered; if one of them may have run, its error.
    """
    attempts = [asyncio.ensure_future(first)]
    try:
        try:
            return await clock.wait_for(asyncio.shield(attempts[0]), delay_seconds)
        except DeadlineExceededError:
            second = hedge()
        if second is not None:
            attempts.append(asyncio.ensure_future(second))
        return await _first_of(attempts)
    finally:
        for attempt in attempts:
            attempt.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)


async def _first_of(attempts: Sequence["asyncio.Future[ResultT]"]) -> ResultT:
    while True:
        open_attempts = [attempt for attempt in attempts if not attempt.done()]
        ended = [attempt for attempt in attempts if attempt.done()]
        for attempt in ended:
            if attempt.exception() is None:
                return attempt.result()
        if not open_attempts:
            errors = [error for attempt in ended if (error := attempt.exception())]
            raise max(errors, key=lambda error: not isinstance(error, PROVES_NOT_RUN))
        await asyncio.wait(open_attempts, return_when=asyncio.FIRST_COMPLETED)
