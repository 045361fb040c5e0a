"""What the application client says of each attempt agrees with what the server ran."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Iterator
from unittest import mock

from drumbay.backends.connector import HttpConnector
from drumbay.backends.http_application import HttpApplicationClient
from drumbay.backends.interface import (
    ApplicationAnswer,
    ApplicationRequest,
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    BackendRefusedError,
)
from drumbay.backends.transfer import Transfer
from drumbay.clock import SystemClock
from drumbay.identifiers import AttemptId, BackendId
from drumbay.standins.application_model import ApplicationModel, answer_digest
from drumbay.standins.execution_log import ApplicationExecuted
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.http_shell import ProcessAction, ProcessCommand
from drumbay.standins.service_model import ServiceParameters
from drumbay.standins.service_server import ServiceServer

ATTEMPTS = 400
WORKERS = 16
ANSWER_FAULTS = (
    FaultKind.CROSSED_ANSWER,
    FaultKind.TRUNCATED_ANSWER,
    FaultKind.CRASH_AFTER_EFFECT,
    FaultKind.SLOW,
)

Outcome = ApplicationAnswer | BackendError


class ForgetfulTransfer(Transfer):
    """Test-only fault: every failure is reported as if nothing had been sent."""

    def _failure(self) -> BackendError | None:
        failure = super()._failure()
        return None if failure is None else BackendNotReachedError(str(failure))


class PromisesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.source = random.Random(11)
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
        numbers = iter(range(ATTEMPTS))
        await asyncio.gather(*(self.work(numbers) for _ in range(WORKERS)))

    async def work(self, numbers: Iterator[int]) -> None:
        for number in numbers:
            self.disturb(number)
            name = AttemptId(f"a{number}")
            method = "POST" if number % 3 else "GET"
            request = ApplicationRequest(attempt_id=name, method=method, path="/shop/tile")
            try:
                answer = await self.client.exchange(self.address, request, timeout_seconds=0.5)
            except BackendError as error:
                self.outcomes[name] = error
                await asyncio.sleep(0.002)
            else:
                self.outcomes[name] = answer

    def disturb(self, number: int) -> None:
        if number % 100 == 50:
            action = ProcessAction.CRASH if number % 200 == 50 else ProcessAction.FREEZE
            command = ProcessCommand(action=action, recover_after_seconds=0.1)
            self.server.carry_out(command)
        elif number % 9 == 4:
            fault = self.source.choice(ANSWER_FAULTS)
            self.model.faults.apply(FaultCommand(fault=fault, count=1))

    def violations(self) -> list[AttemptId]:
        """Return the attempts whose outcome the log contradicts."""
        records = [r for r in self.model.log.records() if isinstance(r, ApplicationExecuted)]
        executions = Counter(r.attempt_id for r in records)
        digests = {r.attempt_id: r.answer_digest for r in records}
        found = [name for name, count in executions.items() if count > 1]
        for name, outcome in self.outcomes.items():
            if isinstance(outcome, ApplicationAnswer):
                agrees = digests.get(name) == answer_digest(outcome.body)
            else:
                claims_not_run = isinstance(outcome, BackendNotReachedError | BackendRefusedError)
                agrees = not (claims_not_run and executions[name] > 0)
            if not agrees:
                found.append(name)
        return found

    async def test_outcomes_agree_with_the_log_under_faults(self) -> None:
        await self.run_attempts()
        self.assertEqual(len(self.outcomes), ATTEMPTS)
        self.assertEqual(self.violations(), [])
        kinds = {type(outcome).__name__ for outcome in self.outcomes.values()}
        self.assertLessEqual({"ApplicationAnswer", "ExchangeBrokenError"}, kinds)

    async def test_a_client_that_forgets_what_it_sent_is_found(self) -> None:
        with mock.patch("drumbay.backends.connector.Transfer", ForgetfulTransfer):
            await self.run_attempts()
        self.assertGreater(len(self.violations()), 0)
