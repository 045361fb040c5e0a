"""Cancellation of background tasks, also when it coincides with a result."""

import asyncio
import unittest

from drumbay.clock import SystemClock
from drumbay.membership.wake_timer import WakeTimer
from drumbay.tasks import TaskOwner

LIMIT_SECONDS = 20.0


class WaitForTest(unittest.IsolatedAsyncioTestCase):
    async def test_cancellation_takes_precedence_over_a_simultaneous_result(self) -> None:
        clock = SystemClock()
        result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        waiting = asyncio.ensure_future(clock.wait_for(result, LIMIT_SECONDS))
        await asyncio.sleep(0)
        result.set_result(1)
        waiting.cancel()
        await asyncio.wait((waiting,), timeout=LIMIT_SECONDS)
        self.assertTrue(waiting.cancelled())


class WakeTimerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a membership loop that misses its cancellation when woken at the same time."""

    async def test_loop_woken_and_cancelled_at_the_same_time_ends(self) -> None:
        for steps_between in range(4):
            with self.subTest(steps_between=steps_between):
                clock = SystemClock()
                timer = WakeTimer(clock)
                loop = asyncio.ensure_future(_wait_forever(timer, clock))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                timer.wake_before(0.0)
                for _ in range(steps_between):
                    await asyncio.sleep(0)
                loop.cancel()
                for _ in range(8):
                    await asyncio.sleep(0)
                self.assertTrue(loop.done())


async def _wait_forever(timer: WakeTimer, clock: SystemClock) -> None:
    while True:
        await timer.wait_until(clock.monotonic() + LIMIT_SECONDS)


class TaskOwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_task_that_ignores_one_cancellation_ends(self) -> None:
        owner = TaskOwner()

        async def ignore_one_cancellation() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                await asyncio.Event().wait()

        owner.spawn(ignore_one_cancellation(), "ignores-one")
        await asyncio.sleep(0)
        closing = asyncio.ensure_future(owner.close())
        await asyncio.wait((closing,), timeout=LIMIT_SECONDS)
        self.assertTrue(closing.done())

    async def test_task_that_never_ends_does_not_block_close(self) -> None:
        owner = TaskOwner(close_rounds=2)
        is_released = False

        async def ignore_cancellations() -> None:
            while not is_released:
                try:
                    await asyncio.sleep(LIMIT_SECONDS)
                except asyncio.CancelledError:
                    continue

        task = owner.spawn(ignore_cancellations(), "never-ends")
        await asyncio.sleep(0)
        await asyncio.wait_for(owner.close(), LIMIT_SECONDS)
        self.assertFalse(task.done())
        is_released = True
        task.cancel()
        await asyncio.wait((task,))
