"""Timers of simulated processes always advance virtual time."""

import unittest

from drumbay.comm.interface import Address
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.virtual_time import run_simulation

SLEEP_COUNT = 1_000


class ShortTimerTest(unittest.TestCase):
    def test_timers_below_the_clock_resolution_advance_time(self) -> None:
        async def main() -> float:
            host = SimulatedHost("h", Address("10.0.0.1", 1), Location(zone="z", region="r"))
            host.start()
            clock = host.clock()
            for _ in range(SLEEP_COUNT):
                await clock.sleep(1e-12)
            return clock.monotonic()

        self.assertGreaterEqual(run_simulation(main), SLEEP_COUNT * 1e-6)
