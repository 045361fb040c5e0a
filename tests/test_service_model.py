"""Emulated services run and log the requests they receive, and inject configured faults."""

import asyncio
import random
import unittest
from collections import Counter

from drumbay.backends.interface import (
    ApplicationRequest,
    ApplicationResponse,
    BackendAddress,
    BackendNotReachedError,
    BackendRefusedError,
    ExchangeBrokenError,
    ResponseMismatchError,
)
from drumbay.backends.memory import BackendNetwork, MemoryApplicationClient
from drumbay.identifiers import AttemptId, BackendId
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.application_model import ApplicationModel, answer_digest
from drumbay.standins.execution_log import ApplicationExecuted, ApplicationRefused
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.service_model import ServiceParameters

URL = "http://application"
ADDRESS = BackendAddress(BackendId("application"), URL)


class ServiceHarness:
    """One application server with a client."""

    def __init__(self, parameters: ServiceParameters | None = None) -> None:
        clock = SimulationClock()
        backend_id = BackendId("application")
        self.server = ApplicationModel(clock, backend_id, random.Random(3), parameters)
        self.network = BackendNetwork(clock)
        self.client = MemoryApplicationClient(clock, {URL: self.server}, self.network)

    async def send(self, name: str) -> ApplicationResponse:
        request = ApplicationRequest(
            attempt_id=AttemptId(name), method="POST", path="/orders/tile", idempotency_key="k"
        )
        return await self.client.exchange(ADDRESS, request, timeout_seconds=3.0)

    def arm(self, fault: FaultKind) -> None:
        self.server.faults.apply(FaultCommand(fault=fault, count=1))

    def executions(self) -> Counter[str]:
        records = self.server.log.records()
        return Counter(r.attempt_id for r in records if isinstance(r, ApplicationExecuted))


class ServiceModelTest(unittest.TestCase):
    def test_each_execution_is_counted_and_nothing_is_deduplicated(self) -> None:
        async def scenario() -> None:
            harness = ServiceHarness()
            responses = [await harness.send("a"), await harness.send("a"), await harness.send("b")]
            self.assertEqual(harness.executions(), {"a": 2, "b": 1})
            self.assertEqual(len({response.body for response in responses}), 3)
            records = harness.server.log.records()
            digests = [r.answer_digest for r in records if isinstance(r, ApplicationExecuted)]
            self.assertEqual(digests, [answer_digest(response.body) for response in responses])

        run_simulation(scenario)

    def test_effects_remain_when_the_response_is_lost(self) -> None:
        async def scenario() -> None:
            for fault in (
                FaultKind.CRASH_AFTER_EFFECT,
                FaultKind.TRUNCATED_ANSWER,
                FaultKind.LATE_ANSWER,
            ):
                with self.subTest(fault=fault):
                    harness = ServiceHarness()
                    harness.arm(fault)
                    with self.assertRaises(ExchangeBrokenError):
                        await harness.send("a")
                    self.assertEqual(harness.executions(), {"a": 1})

        run_simulation(scenario)

    def test_lost_response_is_broken_and_blocked_request_did_not_run(self) -> None:
        async def scenario() -> None:
            harness = ServiceHarness()
            harness.network.drop_responses(URL)
            with self.assertRaises(ExchangeBrokenError):
                await harness.send("a")
            harness.network.block_requests(URL)
            with self.assertRaises(BackendNotReachedError):
                await harness.send("b")
            self.assertEqual(harness.executions(), {"a": 1})

        run_simulation(scenario)

    def test_response_of_another_request_is_a_mismatch(self) -> None:
        async def scenario() -> None:
            harness = ServiceHarness()
            await harness.send("a")
            harness.arm(FaultKind.CROSSED_ANSWER)
            with self.assertRaises(ResponseMismatchError):
                await harness.send("b")
            self.assertEqual(harness.executions(), {"a": 1, "b": 1})

        run_simulation(scenario)

    def test_refused_requests_did_not_run(self) -> None:
        async def scenario() -> None:
            harness = ServiceHarness(ServiceParameters(max_running=1, max_waiting=1))
            names = ("a", "b", "c", "d")
            results = await asyncio.gather(*map(harness.send, names), return_exceptions=True)
            refused = [r for r in results if isinstance(r, BackendRefusedError)]
            self.assertEqual(len(refused), 2)
            records = harness.server.log.records()
            logged = {r.attempt_id for r in records if isinstance(r, ApplicationRefused)}
            self.assertEqual(len(logged), 2)
            self.assertTrue(logged.isdisjoint(harness.executions()))

        run_simulation(scenario)

    def test_crash_drops_requests_that_have_not_run(self) -> None:
        async def scenario() -> None:
            harness = ServiceHarness(ServiceParameters(service_seconds=1.0, max_running=1))
            pending = [asyncio.ensure_future(harness.send(name)) for name in ("a", "b")]
            await asyncio.sleep(0.001)
            harness.server.crash()
            results = await asyncio.gather(*pending, return_exceptions=True)
            self.assertTrue(all(isinstance(r, ExchangeBrokenError) for r in results))
            with self.assertRaises(BackendNotReachedError):
                await harness.send("c")
            harness.server.restart()
            await harness.send("d")
            self.assertEqual(harness.executions(), {"d": 1})

        run_simulation(scenario)
