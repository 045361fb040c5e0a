"""Ending of background tasks, also when a cancellation meets a result."""

import asyncio
import unittest

from drumbay.clock import SystemClock
from drumbay.membership.wake_timer import WakeTimer
from drumbay.tasks import TaskOwner

LIMIT_SECONDS = 20.0


class WaitForTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_wins_over_a_result_of_the_same_moment(self) -> None:
        clock = SystemClock()
        result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        waiting = asyncio.ensure_future(clock.wait_for(result, LIMIT_SECONDS))
        await asyncio.sleep(0)
        result.set_result(1)
        waiting.cancel()
        await asyncio.wait((waiting,), timeout=LIMIT_SECONDS)
        self.assertTrue(waiting.cancelled())


class WakeTimerTest(unittest.IsolatedAsyncioTestCase):
    """The loop of the membership service, woken by a peer's datagram while the node stops."""

    async def test_a_loop_that_is_woken_and_cancelled_in_one_moment_ends(self) -> None:
        for steps_between in range(4):
            with self.subTest(steps_between=steps_between):
                clock = SystemClock()
                timer = WakeTimer(clock)
                loop = asyncio.ensure_future(_wait_for_ever(timer, clock))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                timer.wake_before(0.0)
                for _ in range(steps_between):
                    await asyncio.sleep(0)
                loop.cancel()
                for _ in range(8):
                    await asyncio.sleep(0)
                self.assertTrue(loop.done())


async def _wait_for_ever(timer: WakeTimer, clock: SystemClock) -> None:
    while True:
        await timer.wait_until(clock.monotonic() + LIMIT_SECONDS)


class TaskOwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_task_that_misses_one_cancellation_ends(self) -> None:
        owner = TaskOwner()

        async def miss_one_cancellation() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                await asyncio.Event().wait()

        owner.spawn(miss_one_cancellation(), "stubborn")
        await asyncio.sleep(0)
        closing = asyncio.ensure_future(owner.close())
        await asyncio.wait((closing,), timeout=LIMIT_SECONDS)
        self.assertTrue(closing.done())

    async def test_a_task_that_never_ends_does_not_hold_up_the_close(self) -> None:
        owner = TaskOwner(close_rounds=2)
        is_released = False

        async def ignore_cancellations() -> None:
            while not is_released:
                try:
                    await asyncio.sleep(LIMIT_SECONDS)
                except asyncio.CancelledError:
                    continue

        task = owner.spawn(ignore_cancellations(), "deaf")
        await asyncio.sleep(0)
        await asyncio.wait_for(owner.close(), LIMIT_SECONDS)
        self.assertFalse(task.done())
        is_released = True
        task.cancel()
        await asyncio.wait((task,))
