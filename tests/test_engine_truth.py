"""The emulated engine matches its execution log, and enforces fences of orders."""

import asyncio
import unittest
from unittest import mock

from drumbay.backends.interface import (
    BackendRefusedError,
    ExchangeBrokenError,
    FinishReason,
    GenerationRequest,
    StaleFenceError,
    TokenChunk,
)
from drumbay.identifiers import AttemptId, WeightVersion
from drumbay.standins.engine_decoder import EngineDecoder
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.execution_log import (
    GenerationEnded,
    GenerationOutcome,
    GenerationRefused,
    OrderHandled,
    OrderOutcome,
)
from drumbay.standins.faults import FaultKind
from drumbay.standins.generation import Generation
from drumbay.standins.token_source import token_at, tokens_digest
from tests.engine_world import (
    ADDRESS,
    MODEL,
    URL,
    EngineHarness,
    request,
    run,
    spans_of,
)


async def find_mismatches_across_a_swap(harness: EngineHarness) -> list[AttemptId]:
    """Return the attempts whose response differs from the log or the expected tokens."""
    requests = [request(f"a{number}", 40 + 40 * number) for number in range(24)]
    generations = (harness.generate(item) for item in requests)
    await asyncio.gather(harness.load(2, 1), *generations)
    ended = harness.ended()
    return [
        item.attempt_id
        for item in requests
        if not matches_log(harness.responses[item.attempt_id], ended[item.attempt_id], item)
    ]


def matches_log(chunks: list[TokenChunk], record: GenerationEnded, item: GenerationRequest) -> bool:
    tokens = [token for chunk in chunks for token in chunk.token_ids]
    expected_tokens = [
        token_at(MODEL, item.seed, item.prompt, chunk.weight_version, chunk.first_index + offset)
        for chunk in chunks
        for offset in range(len(chunk.token_ids))
    ]
    is_complete = len(tokens) == item.max_tokens and chunks[-1].finish_reason is FinishReason.STOP
    is_logged = record.spans == spans_of(chunks) and record.digest == tokens_digest(tokens)
    return is_complete and is_logged and tokens == expected_tokens


class ExecutionLogTest(unittest.TestCase):
    def test_responses_match_the_log_across_a_weight_swap(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            self.assertEqual(await find_mismatches_across_a_swap(harness), [])
            versions = {
                span.weight_version for end in harness.ended().values() for span in end.spans
            }
            self.assertEqual(versions, {1, 2})

        run(scenario)

    def test_wrong_version_stamps_are_detected(self) -> None:
        class NextVersionDecoder(EngineDecoder):
            """Stamps chunks with the version after the one that produced them."""

            def _emit(
                self,
                generation: Generation,
                first: int,
                tokens: tuple[int, ...],
                version: WeightVersion,
            ) -> None:
                super()._emit(generation, first, tokens, WeightVersion(version + 1))

        async def scenario() -> None:
            with mock.patch("drumbay.standins.engine_process.EngineDecoder", NextVersionDecoder):
                harness = EngineHarness()
            self.assertEqual(len(await find_mismatches_across_a_swap(harness)), 24)

        run(scenario)

    def test_acknowledged_swap_without_effect_is_visible_in_stamps_and_log_only(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            harness.arm(FaultKind.SWAP_FAILS_ACKNOWLEDGED)
            await harness.load(2, 1)
            status = await harness.client.status(ADDRESS, timeout_seconds=1.0)
            self.assertEqual(status.weight_version, 2)
            chunks = await harness.generate(request("a", weight_version=WeightVersion(2)))
            self.assertEqual({chunk.weight_version for chunk in chunks}, {1})
            orders = [r for r in harness.engine.log.records() if isinstance(r, OrderHandled)]
            self.assertEqual([r.outcome for r in orders], [OrderOutcome.FAILED_ACKNOWLEDGED])

        run(scenario)

    def test_refused_requests_did_not_run(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness(EngineParameters(max_batch=2, max_waiting=2))
            names = [f"a{number}" for number in range(8)]
            results = await asyncio.gather(
                *(harness.generate(request(name)) for name in names), return_exceptions=True
            )
            refused = {
                name
                for name, result in zip(names, results, strict=True)
                if isinstance(result, BackendRefusedError)
            }
            records = harness.engine.log.records()
            logged = {r.attempt_id for r in records if isinstance(r, GenerationRefused)}
            self.assertEqual(len(refused), 4)
            self.assertEqual(logged, refused)
            self.assertTrue(refused.isdisjoint(harness.ended()))

        run(scenario)

    def test_crash_breaks_streams_and_logs_the_produced_tokens(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            stream = asyncio.ensure_future(harness.generate(request("a", 400)))
            await asyncio.sleep(1.0)
            first_boot = harness.engine.boot_id
            harness.engine.crash()
            with self.assertRaises(ExchangeBrokenError):
                await stream
            record = harness.ended()[AttemptId("a")]
            self.assertEqual(record.outcome, GenerationOutcome.CRASHED)
            self.assertEqual(record.spans, spans_of(harness.responses[AttemptId("a")]))
            harness.engine.restart()
            chunks = await harness.generate(request("b"))
            self.assertNotEqual(chunks[0].boot_id, first_boot)

        run(scenario)

    def test_restart_with_the_same_seed_has_a_new_boot_id(self) -> None:
        async def scenario() -> None:
            first = EngineHarness().engine.boot_id
            await asyncio.sleep(1.0)
            self.assertNotEqual(EngineHarness().engine.boot_id, first)

        run(scenario)

    def test_generations_continue_after_a_disconnect_until_cancelled(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            streams = [
                asyncio.ensure_future(harness.generate(request(name, 400))) for name in ("a", "b")
            ]
            await asyncio.sleep(1.0)
            harness.network.drop_responses(URL)
            results = await asyncio.gather(*streams, return_exceptions=True)
            self.assertTrue(all(isinstance(r, ExchangeBrokenError) for r in results))
            self.assertEqual(harness.ended(), {})
            await harness.client.cancel(ADDRESS, AttemptId("b"))
            await asyncio.sleep(60.0)
            outcomes = {name: record.outcome for name, record in harness.ended().items()}
            expected = {"a": GenerationOutcome.FINISHED, "b": GenerationOutcome.CANCELLED}
            self.assertEqual(outcomes, expected)

        run(scenario)


class FencedOrderTest(unittest.TestCase):
    def test_stale_fence_is_refused_before_and_during_a_load(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            slow_load = asyncio.ensure_future(harness.load(2, 5))
            await asyncio.sleep(0.5)
            with self.assertRaises(StaleFenceError):
                await harness.load(3, 4)
            await harness.load(4, 6)
            with self.assertRaises(StaleFenceError):
                await slow_load
            self.assertEqual(harness.engine.actual_version, 4)

        run(scenario)

    def test_order_continues_after_a_disconnect(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            harness.network.drop_responses(URL)
            with self.assertRaises(ExchangeBrokenError):
                await harness.load(2, 1)
            self.assertEqual(harness.engine.actual_version, 2)

        run(scenario)

    def test_order_with_a_lost_response_takes_effect(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            harness.arm(FaultKind.ORDER_ANSWER_LOST)
            with self.assertRaises(ExchangeBrokenError):
                await harness.load(2, 1)
            self.assertEqual(harness.engine.actual_version, 2)

        run(scenario)

    def test_request_for_an_unloaded_version_is_refused(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            with self.assertRaises(BackendRefusedError) as caught:
                await harness.generate(request("a", weight_version=WeightVersion(2)))
            self.assertEqual(caught.exception.reason, "version_not_loaded")

        run(scenario)
