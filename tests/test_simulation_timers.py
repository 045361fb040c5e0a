"""Timers of simulated processes always let time move on."""

import unittest

from drumbay.comm.interface import Address
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.virtual_time import run_simulation

WAKE_UPS = 1_000


class ShortWaitTest(unittest.TestCase):
    def test_waits_below_the_clock_resolution_move_time(self) -> None:
        async def main() -> float:
            host = SimulatedHost("h", Address("10.0.0.1", 1), Location(zone="z", region="r"))
            host.start()
            clock = host.clock()
            for _ in range(WAKE_UPS):
                await clock.sleep(1e-12)
            return clock.monotonic()

        self.assertGreaterEqual(run_simulation(main), WAKE_UPS * 1e-6)
