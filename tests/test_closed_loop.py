"""The closed-loop load generator counts its requests and measures their latency."""

import asyncio
import os
import unittest

from drumbay.bench.closed_loop import ClosedLoopParameters, ratios, run_closed_loop
from drumbay.exceptions import UnavailableError
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation


class ClosedLoopTest(unittest.TestCase):
    def test_requests_failures_and_latencies_are_counted(self) -> None:
        sent: list[int] = []

        async def send(number: int) -> None:
            sent.append(number)
            await asyncio.sleep(0.010 if number % 100 else 1.0)
            if number % 10 == 3:
                raise UnavailableError("switched off")

        async def scenario() -> None:
            parameters = ClosedLoopParameters(
                concurrency=10, requests=1000, warmup_requests=50, max_seconds=100.0
            )
            result = await run_closed_loop(send, SimulationClock(), parameters, (os.getpid(),))
            self.assertEqual(sent, list(range(1050)))
            self.assertEqual(result.requests, 900)
            self.assertEqual(result.failures, {"unavailable": 100})
            self.assertAlmostEqual(result.p50_milliseconds, 10.0, delta=0.1)
            self.assertAlmostEqual(result.max_milliseconds, 1000.0, delta=2.0)
            self.assertEqual(ratios(result, result).p99, 1.0)

        run_simulation(scenario)

    def test_run_ends_at_its_time_limit(self) -> None:
        async def send(number: int) -> None:
            await asyncio.sleep(1.0)

        async def scenario() -> None:
            parameters = ClosedLoopParameters(
                concurrency=2, requests=1000, warmup_requests=0, max_seconds=4.5
            )
            result = await run_closed_loop(send, SimulationClock(), parameters, ())
            self.assertEqual(result.requests, 10)
            self.assertAlmostEqual(result.seconds, 5.0)

        run_simulation(scenario)
