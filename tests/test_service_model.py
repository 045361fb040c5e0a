"""Emulated services run what reaches them, log it, and fail as switched."""

import asyncio
import random
import unittest
from collections import Counter

from drumbay.backends.interface import (
    AnswerMismatchError,
    ApplicationAnswer,
    ApplicationRequest,
    BackendAddress,
    BackendNotReachedError,
    BackendRefusedError,
    ExchangeBrokenError,
)
from drumbay.backends.memory import BackendNetwork, MemoryApplicationClient
from drumbay.identifiers import AttemptId, BackendId
from drumbay.simulation.outside_clock import OutsideClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.application_model import ApplicationModel, answer_digest
from drumbay.standins.execution_log import ApplicationExecuted, ApplicationRefused
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.service_model import ServiceParameters

URL = "http://application"
ADDRESS = BackendAddress(BackendId("application"), URL)


class Bench:
    """One application server and a client of it."""

    def __init__(self, parameters: ServiceParameters | None = None) -> None:
        clock = OutsideClock()
        backend_id = BackendId("application")
        self.server = ApplicationModel(clock, backend_id, random.Random(3), parameters)
        self.network = BackendNetwork(clock)
        self.client = MemoryApplicationClient(clock, {URL: self.server}, self.network)

    async def book(self, name: str) -> ApplicationAnswer:
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
            bench = Bench()
            answers = [await bench.book("a"), await bench.book("a"), await bench.book("b")]
            self.assertEqual(bench.executions(), {"a": 2, "b": 1})
            self.assertEqual(len({answer.body for answer in answers}), 3)
            records = bench.server.log.records()
            digests = [r.answer_digest for r in records if isinstance(r, ApplicationExecuted)]
            self.assertEqual(digests, [answer_digest(answer.body) for answer in answers])

        run_simulation(scenario)

    def test_effects_stay_when_the_answer_is_lost(self) -> None:
        async def scenario() -> None:
            for fault in (
                FaultKind.CRASH_AFTER_EFFECT,
                FaultKind.TRUNCATED_ANSWER,
                FaultKind.LATE_ANSWER,
            ):
                with self.subTest(fault=fault):
                    bench = Bench()
                    bench.arm(fault)
                    with self.assertRaises(ExchangeBrokenError):
                        await bench.book("a")
                    self.assertEqual(bench.executions(), {"a": 1})

        run_simulation(scenario)

    def test_a_lost_answer_is_broken_and_a_cut_request_never_ran(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            bench.network.cut_answers(URL)
            with self.assertRaises(ExchangeBrokenError):
                await bench.book("a")
            bench.network.cut_requests(URL)
            with self.assertRaises(BackendNotReachedError):
                await bench.book("b")
            self.assertEqual(bench.executions(), {"a": 1})

        run_simulation(scenario)

    def test_a_crossed_answer_is_a_mismatch(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            await bench.book("a")
            bench.arm(FaultKind.CROSSED_ANSWER)
            with self.assertRaises(AnswerMismatchError):
                await bench.book("b")
            self.assertEqual(bench.executions(), {"a": 1, "b": 1})

        run_simulation(scenario)

    def test_refused_requests_did_not_run(self) -> None:
        async def scenario() -> None:
            bench = Bench(ServiceParameters(max_running=1, max_waiting=1))
            names = ("a", "b", "c", "d")
            results = await asyncio.gather(*map(bench.book, names), return_exceptions=True)
            refused = [r for r in results if isinstance(r, BackendRefusedError)]
            self.assertEqual(len(refused), 2)
            records = bench.server.log.records()
            logged = {r.attempt_id for r in records if isinstance(r, ApplicationRefused)}
            self.assertEqual(len(logged), 2)
            self.assertTrue(logged.isdisjoint(bench.executions()))

        run_simulation(scenario)

    def test_a_crash_loses_what_had_not_run(self) -> None:
        async def scenario() -> None:
            bench = Bench(ServiceParameters(service_seconds=1.0, max_running=1))
            waiting = [asyncio.ensure_future(bench.book(name)) for name in ("a", "b")]
            await asyncio.sleep(0.001)
            bench.server.crash()
            results = await asyncio.gather(*waiting, return_exceptions=True)
            self.assertTrue(all(isinstance(r, ExchangeBrokenError) for r in results))
            with self.assertRaises(BackendNotReachedError):
                await bench.book("c")
            bench.server.restart()
            await bench.book("d")
            self.assertEqual(bench.executions(), {"d": 1})

        run_simulation(scenario)
