"""The outcome that the application client reports agrees with the server's execution log."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Iterator
from unittest import mock

from drumbay.backends.connector import HttpConnector
from drumbay.backends.http_application import HttpApplicationClient
from drumbay.backends.interface import (
    ApplicationRequest,
    ApplicationResponse,
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    BackendRefusedError,
)
from drumbay.backends.transfer import Transfer
from drumbay.clock import SystemClock
from drumbay.identifiers import AttemptId, BackendId
from drumbay.standins.application_model import ApplicationModel, answer_digest
from drumbay.standins.emulator_server import ProcessAction, ProcessCommand
from drumbay.standins.execution_log import ApplicationExecuted
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.service_model import ServiceParameters
from drumbay.standins.service_server import ServiceServer

ATTEMPTS = 400
CONCURRENCY = 16
RESPONSE_FAULTS = (
    FaultKind.CROSSED_ANSWER,
    FaultKind.TRUNCATED_ANSWER,
    FaultKind.CRASH_AFTER_EFFECT,
    FaultKind.SLOW,
)

Outcome = ApplicationResponse | BackendError


class AlwaysNotReachedTransfer(Transfer):
    """Injected fault: reports every failure as if nothing had been sent."""

    def _failure(self) -> BackendError | None:
        failure = super()._failure()
        return None if failure is None else BackendNotReachedError(str(failure))


class OutcomeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.rng = random.Random(11)
        parameters = ServiceParameters(max_running=4, max_waiting=6, service_seconds=0.004)
        self.model = ApplicationModel(clock, BackendId("application"), random.Random(5), parameters)
        self.server = ServiceServer(self.model, clock, host="127.0.0.1", port=0)
        self.server.start()
        self.address = BackendAddress(BackendId("application"), self.server.base_url)
        self.connector = HttpConnector(max_connections=12)
        self.client = HttpApplicationClient(self.connector)
        self.outcomes: dict[AttemptId, Outcome] = {}

    async def asyncTearDown(self) -> None:
        await self.server.stop()
        self.connector.close()

    async def run_attempts(self) -> None:
        attempt_numbers = iter(range(ATTEMPTS))
        await asyncio.gather(*(self.run_worker(attempt_numbers) for _ in range(CONCURRENCY)))

    async def run_worker(self, attempt_numbers: Iterator[int]) -> None:
        for number in attempt_numbers:
            self.inject_fault(number)
            attempt_id = AttemptId(f"a{number}")
            method = "POST" if number % 3 else "GET"
            request = ApplicationRequest(attempt_id=attempt_id, method=method, path="/shop/tile")
            try:
                response = await self.client.exchange(self.address, request, timeout_seconds=0.5)
            except BackendError as error:
                self.outcomes[attempt_id] = error
                await asyncio.sleep(0.002)
            else:
                self.outcomes[attempt_id] = response

    def inject_fault(self, number: int) -> None:
        if number % 100 == 50:
            action = ProcessAction.CRASH if number % 200 == 50 else ProcessAction.FREEZE
            command = ProcessCommand(action=action, recover_after_seconds=0.1)
            self.server.execute_command(command)
        elif number % 9 == 4:
            fault = self.rng.choice(RESPONSE_FAULTS)
            self.model.faults.apply(FaultCommand(fault=fault, count=1))

    def contradicted_attempts(self) -> list[AttemptId]:
        """Return the attempts whose reported outcome contradicts the execution log."""
        records = [r for r in self.model.log.records() if isinstance(r, ApplicationExecuted)]
        executions = Counter(r.attempt_id for r in records)
        logged_digests = {r.attempt_id: r.answer_digest for r in records}
        contradicted = [attempt_id for attempt_id, count in executions.items() if count > 1]
        for attempt_id, outcome in self.outcomes.items():
            if isinstance(outcome, ApplicationResponse):
                agrees = logged_digests.get(attempt_id) == answer_digest(outcome.body)
            else:
                claims_not_run = isinstance(outcome, BackendNotReachedError | BackendRefusedError)
                agrees = not (claims_not_run and executions[attempt_id] > 0)
            if not agrees:
                contradicted.append(attempt_id)
        return contradicted

    async def test_outcomes_agree_with_the_log_under_faults(self) -> None:
        await self.run_attempts()
        self.assertEqual(len(self.outcomes), ATTEMPTS)
        self.assertEqual(self.contradicted_attempts(), [])
        outcome_types = {type(outcome).__name__ for outcome in self.outcomes.values()}
        self.assertLessEqual({"ApplicationResponse", "ExchangeBrokenError"}, outcome_types)

    async def test_failures_misreported_as_not_reached_are_detected(self) -> None:
        with mock.patch("drumbay.backends.connector.Transfer", AlwaysNotReachedTransfer):
            await self.run_attempts()
        self.assertGreater(len(self.contradicted_attempts()), 0)
