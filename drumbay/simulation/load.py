"""Arrival times of the load: a Poisson process with bursts."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from drumbay.simulation.scenario import LoadSection


class BurstSchedule:
    """Bursts of load at random times."""

    def __init__(self, random: Random, load: LoadSection) -> None:
        """Draw the start of the first burst."""
        self._random = random
        self._load = load
        self._starts_at = self._draw_gap()

    def rate_factor(self, now: float) -> float:
        """Return the rate factor at a time; times must not decrease."""
        while now >= self._starts_at + self._load.burst_seconds:
            self._starts_at += self._load.burst_seconds + self._draw_gap()
        return self._load.burst_factor if now >= self._starts_at else 1.0

    def _draw_gap(self) -> float:
        return self._random.expovariate(1.0 / self._load.burst_interval_seconds)


async def generate_arrivals(
    random: Random,
    rate_per_second: float,
    bursts: BurstSchedule,
    until_seconds: float,
    on_arrival: Callable[[int], Awaitable[None]],
) -> None:
    """Start ``on_arrival(number)`` at random times and return when all have finished."""
    if rate_per_second <= 0:
        return
    loop = asyncio.get_running_loop()
    tasks = []
    number = 0
    while True:
        rate = rate_per_second * bursts.rate_factor(loop.time())
        await asyncio.sleep(random.expovariate(rate))
        if loop.time() >= until_seconds:
            break
        tasks.append(asyncio.ensure_future(on_arrival(number)))
        number += 1
    await asyncio.gather(*tasks)
