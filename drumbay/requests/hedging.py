"""Hedged requests: a second attempt on another backend when the first one is slow.

See Dean and Barroso, "The Tail at Scale" (CACM 56(2), 2013), section "Within request
short-term adaptations": hedging after the 95th percentile of the latency limits the extra
load to about 5%. Only requests that may be repeated are hedged.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.requests.errors import NOT_RUN_ERRORS

ResultT = TypeVar("ResultT")


async def first_response(
    clock: Clock,
    first: Coroutine[Any, Any, ResultT],
    delay_seconds: float,
    start_hedge: Callable[[], Coroutine[Any, Any, ResultT] | None],
) -> ResultT:
    """Return the first success of an attempt and, if that is slow, of a hedged second one.

    Args:
        clock: Time source.
        first: First attempt.
        delay_seconds: Time after which the second attempt is started.
        start_hedge: Returns the second attempt, or ``None`` if none is allowed.

    Raises:
        BackendError: All attempts failed; if one of them may have run, this is its error.
    """
    attempts = [asyncio.ensure_future(first)]
    try:
        try:
            return await clock.wait_for(asyncio.shield(attempts[0]), delay_seconds)
        except DeadlineExceededError:
            hedge = start_hedge()
        if hedge is not None:
            attempts.append(asyncio.ensure_future(hedge))
        return await _first_success(attempts)
    finally:
        for attempt in attempts:
            attempt.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)


async def _first_success(attempts: Sequence["asyncio.Future[ResultT]"]) -> ResultT:
    while True:
        pending = [attempt for attempt in attempts if not attempt.done()]
        finished = [attempt for attempt in attempts if attempt.done()]
        for attempt in finished:
            if attempt.exception() is None:
                return attempt.result()
        if not pending:
            errors = [error for attempt in finished if (error := attempt.exception())]
            raise max(errors, key=lambda error: not isinstance(error, NOT_RUN_ERRORS))
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
