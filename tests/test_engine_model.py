"""The emulated engine does what its execution log says, and behaves as an engine does."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec

from drumbay.backends.interface import (
    BackendAddress,
    BackendRefusedError,
    ExchangeBrokenError,
    FencedOrder,
    FinishReason,
    GenerationRequest,
    OrderKind,
    StaleFenceError,
    TokenChunk,
)
from drumbay.backends.memory import BackendNetwork, MemoryEngineClient
from drumbay.backends.prefix_hash import prefix_hashes
from drumbay.identifiers import AttemptId, BackendId, Fence, WeightVersion
from drumbay.simulation.outside_clock import OutsideClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.cache_transfer import CACHE_VERSION_MISMATCH, MixedVersionsError
from drumbay.standins.engine_decoder import EngineDecoder
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.execution_log import (
    GenerationEnded,
    GenerationOutcome,
    GenerationRefused,
    OrderHandled,
    OrderOutcome,
    VersionSpan,
)
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.generation import Generation
from drumbay.standins.token_source import token_at, tokens_digest

MODEL = "advies"
URL = "http://engine"
ADDRESS = BackendAddress(BackendId("engine"), URL)
TIMEOUT_SECONDS = 1000.0


class Bench:
    """One engine and a client of it."""

    def __init__(self, parameters: EngineParameters | None = None) -> None:
        clock = OutsideClock()
        source = random.Random(7)
        version = WeightVersion(1)
        self.engine = EngineModel(clock, BackendId("engine"), MODEL, version, source, parameters)
        self.network = BackendNetwork(clock)
        self.client = MemoryEngineClient(clock, {URL: self.engine}, self.network)
        self.answers: dict[AttemptId, list[TokenChunk]] = {}

    async def generate(self, request: GenerationRequest) -> list[TokenChunk]:
        chunks = self.answers.setdefault(request.attempt_id, [])
        stream = self.client.generate(ADDRESS, request, timeout_seconds=TIMEOUT_SECONDS)
        async for chunk in stream:
            chunks.append(chunk)
        return chunks

    async def load(self, version: int, fence: int) -> None:
        order = FencedOrder(
            fence=Fence(fence),
            kind=OrderKind.LOAD_VERSION,
            model=MODEL,
            weight_version=WeightVersion(version),
        )
        await self.client.order(ADDRESS, order, timeout_seconds=TIMEOUT_SECONDS)

    def arm(self, fault: FaultKind) -> None:
        self.engine.faults.apply(FaultCommand(fault=fault, count=1))

    def ended(self) -> dict[AttemptId, GenerationEnded]:
        records = self.engine.log.records()
        return {r.attempt_id: r for r in records if isinstance(r, GenerationEnded)}


def request(name: str, tokens: int = 64, **changes: object) -> GenerationRequest:
    arguments: dict[str, object] = {"prompt": "which glue holds on a wet floor? " * 8, **changes}
    return GenerationRequest(
        attempt_id=AttemptId(name),
        model=MODEL,
        max_tokens=tokens,
        target_tokens=tokens,
        **arguments,  # type: ignore[arg-type]
    )


def spans_of(chunks: list[TokenChunk]) -> tuple[VersionSpan, ...]:
    spans: list[VersionSpan] = []
    for chunk in chunks:
        count = len(chunk.token_ids)
        if spans and spans[-1].weight_version == chunk.weight_version:
            last = spans.pop()
            span = VersionSpan(
                weight_version=last.weight_version,
                first_index=last.first_index,
                count=last.count + count,
            )
        else:
            span = VersionSpan(
                weight_version=chunk.weight_version, first_index=chunk.first_index, count=count
            )
        spans.append(span)
    return tuple(spans)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    run_simulation(scenario)


async def serve_through_a_swap(bench: Bench) -> list[AttemptId]:
    """Return the attempts whose answer differs from the log or from its versions' tokens."""
    requests = [request(f"a{number}", 40 + 40 * number) for number in range(24)]
    served = (bench.generate(item) for item in requests)
    await asyncio.gather(bench.load(2, 1), *served)
    ended = bench.ended()
    return [
        item.attempt_id
        for item in requests
        if not answer_is_true(bench.answers[item.attempt_id], ended[item.attempt_id], item)
    ]


def answer_is_true(
    chunks: list[TokenChunk], record: GenerationEnded, item: GenerationRequest
) -> bool:
    tokens = [token for chunk in chunks for token in chunk.token_ids]
    truth = [
        token_at(MODEL, item.seed, item.prompt, chunk.weight_version, chunk.first_index + offset)
        for chunk in chunks
        for offset in range(len(chunk.token_ids))
    ]
    whole = len(tokens) == item.max_tokens and chunks[-1].finish_reason is FinishReason.STOP
    as_logged = record.spans == spans_of(chunks) and record.digest == tokens_digest(tokens)
    return whole and as_logged and tokens == truth


class TruthTest(unittest.TestCase):
    def test_answers_agree_with_the_log_and_with_the_versions(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            self.assertEqual(await serve_through_a_swap(bench), [])
            versions = {span.weight_version for end in bench.ended().values() for span in end.spans}
            self.assertEqual(versions, {1, 2})

        run(scenario)

    def test_an_engine_that_stamps_the_wrong_version_is_found(self) -> None:
        class NextVersionDecoder(EngineDecoder):
            """Test-only fault: chunks name the version after the one that made them."""

            def _emit(
                self,
                generation: Generation,
                first: int,
                tokens: tuple[int, ...],
                version: WeightVersion,
            ) -> None:
                super()._emit(generation, first, tokens, WeightVersion(version + 1))

        async def scenario() -> None:
            with mock.patch("drumbay.standins.engine_run.EngineDecoder", NextVersionDecoder):
                bench = Bench()
            self.assertEqual(len(await serve_through_a_swap(bench)), 24)

        run(scenario)

    def test_a_swap_acknowledged_without_effect_shows_in_stamps_and_log_only(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            bench.arm(FaultKind.SWAP_FAILS_ACKNOWLEDGED)
            await bench.load(2, 1)
            status = await bench.client.status(ADDRESS, timeout_seconds=1.0)
            self.assertEqual(status.weight_version, 2)
            chunks = await bench.generate(request("a", weight_version=WeightVersion(2)))
            self.assertEqual({chunk.weight_version for chunk in chunks}, {1})
            orders = [r for r in bench.engine.log.records() if isinstance(r, OrderHandled)]
            self.assertEqual([r.outcome for r in orders], [OrderOutcome.FAILED_ACKNOWLEDGED])

        run(scenario)

    def test_refused_requests_did_not_run(self) -> None:
        async def scenario() -> None:
            bench = Bench(EngineParameters(max_batch=2, max_waiting=2))
            names = [f"a{number}" for number in range(8)]
            results = await asyncio.gather(
                *(bench.generate(request(name)) for name in names), return_exceptions=True
            )
            refused = {
                name
                for name, result in zip(names, results, strict=True)
                if isinstance(result, BackendRefusedError)
            }
            records = bench.engine.log.records()
            logged = {r.attempt_id for r in records if isinstance(r, GenerationRefused)}
            self.assertEqual(len(refused), 4)
            self.assertEqual(logged, refused)
            self.assertTrue(refused.isdisjoint(bench.ended()))

        run(scenario)

    def test_a_crash_breaks_streams_and_the_log_holds_what_was_produced(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            stream = asyncio.ensure_future(bench.generate(request("a", 400)))
            await asyncio.sleep(1.0)
            first_boot = bench.engine.boot_id
            bench.engine.crash()
            with self.assertRaises(ExchangeBrokenError):
                await stream
            record = bench.ended()[AttemptId("a")]
            self.assertEqual(record.outcome, GenerationOutcome.CRASHED)
            self.assertEqual(record.spans, spans_of(bench.answers[AttemptId("a")]))
            bench.engine.restart()
            chunks = await bench.generate(request("b"))
            self.assertNotEqual(chunks[0].boot_id, first_boot)

        run(scenario)

    def test_a_process_started_again_with_its_seed_has_another_identity(self) -> None:
        async def scenario() -> None:
            first = Bench().engine.boot_id
            await asyncio.sleep(1.0)
            self.assertNotEqual(Bench().engine.boot_id, first)

        run(scenario)

    def test_an_engine_behind_a_cut_goes_on_until_it_is_cancelled(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            streams = [
                asyncio.ensure_future(bench.generate(request(name, 400))) for name in ("a", "b")
            ]
            await asyncio.sleep(1.0)
            bench.network.cut_answers(URL)
            results = await asyncio.gather(*streams, return_exceptions=True)
            self.assertTrue(all(isinstance(r, ExchangeBrokenError) for r in results))
            self.assertEqual(bench.ended(), {})
            await bench.client.cancel(ADDRESS, AttemptId("b"))
            await asyncio.sleep(60.0)
            outcomes = {name: record.outcome for name, record in bench.ended().items()}
            expected = {"a": GenerationOutcome.FINISHED, "b": GenerationOutcome.CANCELLED}
            self.assertEqual(outcomes, expected)

        run(scenario)


class OrderTest(unittest.TestCase):
    def test_an_older_fence_is_refused_before_and_during_a_load(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            slow = asyncio.ensure_future(bench.load(2, 5))
            await asyncio.sleep(0.5)
            with self.assertRaises(StaleFenceError):
                await bench.load(3, 4)
            await bench.load(4, 6)
            with self.assertRaises(StaleFenceError):
                await slow
            self.assertEqual(bench.engine.true_version, 4)

        run(scenario)

    def test_an_order_goes_on_when_its_answer_is_lost(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            bench.network.cut_answers(URL)
            with self.assertRaises(ExchangeBrokenError):
                await bench.load(2, 1)
            self.assertEqual(bench.engine.true_version, 2)

        run(scenario)

    def test_an_order_whose_answer_was_lost_took_effect(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            bench.arm(FaultKind.ORDER_ANSWER_LOST)
            with self.assertRaises(ExchangeBrokenError):
                await bench.load(2, 1)
            self.assertEqual(bench.engine.true_version, 2)

        run(scenario)

    def test_a_version_that_is_not_loaded_is_refused(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            with self.assertRaises(BackendRefusedError) as caught:
                await bench.generate(request("a", weight_version=WeightVersion(2)))
            self.assertEqual(caught.exception.reason, "version_not_loaded")

        run(scenario)


class BehaviourTest(unittest.TestCase):
    def test_each_request_is_slower_in_a_larger_batch(self) -> None:
        async def scenario() -> None:
            elapsed = []
            for batch in (1, 12):
                bench = Bench()
                began = bench.engine.log.records()[0].time_seconds
                await asyncio.gather(*(bench.generate(request(f"a{n}")) for n in range(batch)))
                elapsed.append(asyncio.get_running_loop().time() - began)
            self.assertGreater(elapsed[1], 1.5 * elapsed[0])
            self.assertLess(elapsed[1], 12 * elapsed[0])

        run(scenario)

    def test_a_larger_priority_leaves_the_queue_first(self) -> None:
        async def scenario() -> None:
            bench = Bench(EngineParameters(max_batch=1))
            requests = [request("first"), request("low"), request("high", priority=5)]
            await asyncio.gather(*(bench.generate(item) for item in requests))
            self.assertEqual(list(bench.ended()), ["first", "high", "low"])

        run(scenario)

    def test_a_cached_prefix_shortens_prefill_until_the_weights_change(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            prompt = "a long conversation " * 2000
            clock = asyncio.get_running_loop().time
            elapsed = []
            for name in ("cold", "warm", "new weights"):
                if name == "new weights":
                    await bench.load(2, 1)
                began = clock()
                await bench.generate(request(name, 1, prompt=prompt))
                elapsed.append(clock() - began)
            self.assertLess(elapsed[1], elapsed[0] / 10)
            self.assertAlmostEqual(elapsed[2], elapsed[0])

        run(scenario)

    def test_cache_events_are_late_and_have_gaps(self) -> None:
        async def scenario() -> None:
            parameters = EngineParameters(cache_event_delay_seconds=5.0, cache_event_loss=0.3)
            bench = Bench(parameters)
            prompt = "x" * 64 * 40
            await bench.generate(request("a", 1, prompt=prompt))
            early = await bench.client.cache_events(ADDRESS, 0, timeout_seconds=1.0)
            await asyncio.sleep(6.0)
            events = await bench.client.cache_events(ADDRESS, 0, timeout_seconds=1.0)
            self.assertEqual(early, ())
            self.assertGreater(len(events), 0)
            self.assertLess(len(events), 40)
            hashes = prefix_hashes(MODEL, prompt)
            for event in events:
                self.assertEqual(event.prefix_hash, hashes[event.sequence - 1])

        run(scenario)

    def test_a_resumed_completion_continues_the_tokens(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            whole = await bench.generate(request("whole", 96))
            tokens = tuple(token for chunk in whole for token in chunk.token_ids)
            resumed = await bench.generate(request("rest", 96, resume_tokens=tokens[:40]))
            rest = tuple(token for chunk in resumed for token in chunk.token_ids)
            self.assertEqual(tokens[:40] + rest, tokens)
            self.assertEqual(resumed[0].first_index, 40)

        run(scenario)

    def test_cancel_ends_the_stream_and_frees_the_place(self) -> None:
        async def scenario() -> None:
            bench = Bench(EngineParameters(max_batch=1))
            running = asyncio.ensure_future(bench.generate(request("a", 5000)))
            waiting = asyncio.ensure_future(bench.generate(request("b", 16)))
            await asyncio.sleep(1.0)
            await bench.client.cancel(ADDRESS, AttemptId("a"))
            self.assertEqual((await running)[-1].finish_reason, FinishReason.CANCELLED)
            self.assertEqual((await waiting)[-1].finish_reason, FinishReason.STOP)

        run(scenario)

    def test_a_frozen_engine_answers_nothing_and_goes_on_after_it(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            stream = asyncio.ensure_future(bench.generate(request("a")))
            await asyncio.sleep(0.1)
            bench.engine.freeze()
            with self.assertRaises(ExchangeBrokenError):
                await bench.client.status(ADDRESS, timeout_seconds=30.0)
            before = len(bench.answers[AttemptId("a")])
            self.assertFalse(stream.done())
            bench.engine.thaw()
            self.assertGreater(len(await stream), before)

        run(scenario)

    def test_the_load_report_lags(self) -> None:
        async def scenario() -> None:
            bench = Bench(EngineParameters(load_report_lag_seconds=2.0))
            stream = asyncio.ensure_future(bench.generate(request("a", 1000)))
            await asyncio.sleep(1.0)
            fresh = await bench.client.status(ADDRESS, timeout_seconds=1.0)
            await asyncio.sleep(2.0)
            later = await bench.client.status(ADDRESS, timeout_seconds=1.0)
            self.assertEqual((fresh.running, later.running), (0, 1))
            await stream

        run(scenario)


class CacheTransferTest(unittest.TestCase):
    async def resume_elsewhere(self, bench: Bench) -> GenerationRequest:
        """Export half a completion, import it into another engine and return the resumption."""
        first = Bench()
        item = request("first", 100, prompt="a long conversation " * 2000)
        half = await first.generate(msgspec.structs.replace(item, max_tokens=48))
        export = await first.engine.export_cache(item.attempt_id)
        await bench.engine.import_cache(export)
        tokens = tuple(token for chunk in half for token in chunk.token_ids)
        attempt_id = AttemptId("second")
        return msgspec.structs.replace(item, attempt_id=attempt_id, resume_tokens=tokens)

    def test_an_imported_cache_spares_prefill(self) -> None:
        async def scenario() -> None:
            clock = asyncio.get_running_loop().time
            elapsed: list[float] = []
            for bench in (Bench(), Bench()):
                resumed = await self.resume_elsewhere(Bench() if elapsed else bench)
                began = clock()
                chunks = await bench.generate(resumed)
                elapsed.append(clock() - began)
                self.assertEqual(chunks[0].first_index, 48)
            self.assertLess(elapsed[0], elapsed[1] - 1.0)

        run(scenario)

    def test_a_cache_of_other_weights_is_refused(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            resumed = await self.resume_elsewhere(bench)
            await bench.load(2, 1)
            with self.assertRaises(BackendRefusedError) as caught:
                await bench.generate(resumed)
            self.assertEqual(caught.exception.reason, CACHE_VERSION_MISMATCH)
            chunks = await bench.generate(resumed)
            self.assertEqual(chunks[-1].finish_reason, FinishReason.STOP)
            with self.assertRaises(BackendRefusedError):
                await self.resume_elsewhere(bench)

        run(scenario)

    def test_a_cache_of_mixed_weights_is_not_exported(self) -> None:
        async def scenario() -> None:
            bench = Bench()
            served = bench.generate(request("a", 600))
            await asyncio.gather(served, bench.load(2, 1))
            with self.assertRaises(MixedVersionsError):
                await bench.engine.export_cache(AttemptId("a"))

        run(scenario)
