"""Request services: complete responses, correct "not run" errors and bounded retries."""

import asyncio
import gc
import unittest
import warnings
from unittest import mock

from drumbay.backends.interface import (
    ApplicationResponse,
    BackendAddress,
    BackendNotReachedError,
    BackendRefusedError,
    TokenChunk,
)
from drumbay.backends.memory import MemoryEngineClient
from drumbay.exceptions import Execution, RequestFailedError
from drumbay.explain.records import RejectionReason
from drumbay.limits.circuit_breaker import CircuitPolicy
from drumbay.limits.retry_budget import RetryBudget
from drumbay.requests import application as application_module
from drumbay.requests.errors import NoRouteError, NotReadyError, OverloadedError
from drumbay.requests.progress import CompletionProgress
from drumbay.requests.route_table import RouteTable
from drumbay.standins.execution_log import (
    ApplicationExecuted,
    GenerationAccepted,
    GenerationEnded,
    GenerationOutcome,
)
from drumbay.standins.faults import FaultKind
from tests.requests_world import (
    RequestsWorld,
    RouteLimits,
    TruncationIgnoringEngineClient,
    simulate,
    url_of,
)

MAX_TOKENS = 40
LONG_COMPLETION_TOKENS = 400
FAILING_REQUESTS = 60
NEVER_OPENING_CIRCUIT = CircuitPolicy(min_failures=1_000_000)


def tokens_of(chunks: list[TokenChunk]) -> list[int]:
    return [token for chunk in chunks for token in chunk.token_ids]


def generations_of(world: RequestsWorld) -> list[GenerationEnded]:
    records = [entry for engine in world.engines for entry in engine.log.records()]
    return [entry for entry in records if isinstance(entry, GenerationEnded)]


def executions_of(world: RequestsWorld) -> list[ApplicationExecuted]:
    records = [entry for server in world.servers for entry in server.log.records()]
    return [entry for entry in records if isinstance(entry, ApplicationExecuted)]


async def tokens_without_fault(world: RequestsWorld) -> list[int]:
    return tokens_of(await world.generate(MAX_TOKENS))


class WholeAnswerTest(unittest.TestCase):
    def generate_under_fault(
        self, fault: FaultKind, client_type: type[MemoryEngineClient] = MemoryEngineClient
    ) -> tuple[list[int], list[GenerationEnded]]:
        async def scenario(world: RequestsWorld) -> tuple[list[int], list[GenerationEnded]]:
            world.arm(fault)
            return tokens_of(await world.generate(MAX_TOKENS)), generations_of(world)

        return simulate(scenario, client_type=client_type)

    def test_truncated_stream_is_resumed_after_its_last_token(self) -> None:
        expected = simulate(tokens_without_fault)
        tokens, generations = self.generate_under_fault(FaultKind.TRUNCATED_ANSWER)
        self.assertEqual(tokens, expected)
        outcomes = [entry.outcome for entry in generations]
        self.assertIn(GenerationOutcome.TRUNCATED, outcomes)

    def test_truncated_stream_is_short_without_the_finish_check(self) -> None:
        expected = simulate(tokens_without_fault)
        with mock.patch.object(CompletionProgress, "is_finished", True):
            tokens, _ = self.generate_under_fault(
                FaultKind.TRUNCATED_ANSWER, TruncationIgnoringEngineClient
            )
        self.assertLess(len(tokens), len(expected))
        tokens, _ = self.generate_under_fault(
            FaultKind.TRUNCATED_ANSWER, TruncationIgnoringEngineClient
        )
        self.assertEqual(tokens, expected)

    def test_response_of_another_request_is_not_delivered(self) -> None:
        async def scenario(world: RequestsWorld) -> list[list[int]]:
            first = tokens_of(await world.generate(MAX_TOKENS))
            world.arm(FaultKind.CROSSED_ANSWER, count=2)
            return [first, tokens_of(await world.generate(MAX_TOKENS))]

        first, second = simulate(scenario)
        self.assertEqual(first, second)

    def test_permanent_truncation_ends_in_a_typed_error(self) -> None:
        async def scenario(world: RequestsWorld) -> RequestFailedError | None:
            world.arm(FaultKind.TRUNCATED_ANSWER, count=None)
            try:
                await world.generate(LONG_COMPLETION_TOKENS)
            except RequestFailedError as error:
                return error
            return None

        error = simulate(scenario)
        self.assertIsInstance(error, RequestFailedError)
        assert error is not None
        self.assertEqual(error.execution, Execution.MAY_HAVE_RUN)


class RefusalTest(unittest.TestCase):
    def test_not_run_only_if_no_engine_accepted_it(self) -> None:
        async def scenario(world: RequestsWorld) -> tuple[Execution, int]:
            for engine in world.engines:
                world.network.block_requests(url_of(engine.backend_id))
            try:
                await world.generate()
            except RequestFailedError as error:
                records = [entry for engine in world.engines for entry in engine.log.records()]
                accepted = [entry for entry in records if isinstance(entry, GenerationAccepted)]
                return error.execution, len(accepted)
            raise AssertionError("the request was answered")

        self.assertEqual(simulate(scenario), (Execution.NOT_RUN, 0))

    def call_with_lost_response(self) -> tuple[RequestFailedError, int]:
        async def scenario(world: RequestsWorld) -> tuple[RequestFailedError, int]:
            for server in world.servers:
                world.network.drop_responses(url_of(server.backend_id))
            error = await world.call("POST")
            await world.clock.sleep(1.0)
            assert isinstance(error, RequestFailedError)
            return error, len(executions_of(world))

        return simulate(scenario, limits=RouteLimits(timeout_seconds=5.0))

    def test_lost_response_may_have_run_and_is_not_repeated(self) -> None:
        error, executions = self.call_with_lost_response()
        self.assertEqual(error.execution, Execution.MAY_HAVE_RUN)
        self.assertEqual(executions, 1)

    def test_lost_response_reported_as_not_run_contradicts_the_log(self) -> None:
        all_errors = (BackendNotReachedError, BackendRefusedError, Exception)
        with mock.patch.object(application_module, "NOT_RUN_ERRORS", all_errors):
            error, executions = self.call_with_lost_response()
        self.assertEqual(error.execution, Execution.NOT_RUN)
        self.assertGreater(executions, 0)

    def test_get_request_is_retried_on_another_server(self) -> None:
        async def scenario(world: RequestsWorld) -> ApplicationResponse | RequestFailedError:
            world.network.drop_responses(url_of(world.servers[0].backend_id))
            world.network.drop_responses(url_of(world.servers[1].backend_id))
            return await world.call("GET")

        self.assertIsInstance(simulate(scenario), ApplicationResponse)

    def test_node_without_configuration_is_not_ready(self) -> None:
        """A ``NoRouteError`` would tell the caller not to retry."""

        async def scenario(world: RequestsWorld) -> list[type[object]]:
            empty = RouteTable(())
            world.services.live.set_routes(empty)
            world.services.applications.set_routes(empty)
            errors: list[type[object]] = []
            for world.is_ready in (False, True):
                errors.append(type(await world.call("GET")))
                try:
                    await world.generate()
                except RequestFailedError as error:
                    errors.append(type(error))
            return errors

        expected = [NotReadyError, NotReadyError, NoRouteError, NoRouteError]
        self.assertEqual(simulate(scenario), expected)

    def test_cancelled_call_leaves_no_unawaited_coroutine(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            backend = BackendAddress(backend_id=world.engines[0].backend_id, base_url="there")
            client = MemoryEngineClient(world.clock, {"there": world.engines[0]}, world.network)
            call = asyncio.ensure_future(client.status(backend, timeout_seconds=1.0))
            await asyncio.sleep(world.network.latency_seconds / 2)
            call.cancel()
            await asyncio.wait([call])

        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always")
            simulate(scenario)
            gc.collect()
        self.assertEqual([str(warning.message) for warning in caught], [])

    def test_overload_is_rejected_immediately_with_retry_after(self) -> None:
        async def scenario(world: RequestsWorld) -> tuple[float, RequestFailedError]:
            running_request = asyncio.ensure_future(world.generate(200))
            await world.clock.sleep(0.1)
            before = world.clock.monotonic()
            try:
                await world.generate()
            except RequestFailedError as error:
                running_request.cancel()
                return world.clock.monotonic() - before, error
            raise AssertionError("the request was admitted")

        waited_seconds, error = simulate(scenario, limits=RouteLimits(max_concurrency=1))
        self.assertIsInstance(error, OverloadedError)
        self.assertEqual(error.execution, Execution.NOT_RUN)
        self.assertEqual(waited_seconds, 0.0)
        self.assertIsNotNone(error.retry_after_seconds)


class RetryTest(unittest.TestCase):
    def attempts_while_all_fail(self) -> int:
        async def scenario(world: RequestsWorld) -> int:
            world.arm(FaultKind.TRUNCATED_ANSWER, count=None)
            for _ in range(FAILING_REQUESTS):
                try:
                    await world.generate(LONG_COMPLETION_TOKENS)
                except RequestFailedError:
                    await world.clock.sleep(0.1)
            return len(generations_of(world))

        return simulate(scenario, limits=RouteLimits(circuit=NEVER_OPENING_CIRCUIT))

    def test_retry_budget_limits_attempts(self) -> None:
        limited = self.attempts_while_all_fail()
        with mock.patch.object(RetryBudget, "try_withdraw", lambda budget, now: True):
            unlimited = self.attempts_while_all_fail()
        self.assertLess(limited, 0.7 * unlimited)


class DecisionRecordTest(unittest.TestCase):
    def test_decision_record_lists_every_candidate(self) -> None:
        async def scenario(world: RequestsWorld) -> int:
            await world.generate()
            records = world.decision_records("node~boot~1")
            rejections = [verdict.rejection for verdict in records[0].candidates]
            self.assertEqual(rejections[0], None)
            self.assertEqual(rejections.count(RejectionReason.MODEL), 3)
            return len(rejections)

        self.assertEqual(simulate(scenario), 6)
