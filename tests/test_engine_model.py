"""Behaviour of the emulated engine: batching, priority, caching, cancellation and faults."""

import asyncio
import unittest

import msgspec

from drumbay.backends.interface import (
    BackendRefusedError,
    ExchangeBrokenError,
    FinishReason,
    GenerationRequest,
)
from drumbay.backends.prefix_hash import prefix_hashes
from drumbay.identifiers import AttemptId
from drumbay.standins.cache_transfer import CACHE_VERSION_MISMATCH, MixedVersionsError
from drumbay.standins.engine_parameters import EngineParameters
from tests.engine_world import (
    ADDRESS,
    MODEL,
    EngineHarness,
    request,
    run,
)


class EngineModelTest(unittest.TestCase):
    def test_each_request_is_slower_in_a_larger_batch(self) -> None:
        async def scenario() -> None:
            elapsed = []
            for batch in (1, 12):
                harness = EngineHarness()
                started_at = harness.engine.log.records()[0].time_seconds
                await asyncio.gather(*(harness.generate(request(f"a{n}")) for n in range(batch)))
                elapsed.append(asyncio.get_running_loop().time() - started_at)
            self.assertGreater(elapsed[1], 1.5 * elapsed[0])
            self.assertLess(elapsed[1], 12 * elapsed[0])

        run(scenario)

    def test_higher_priority_is_scheduled_first(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness(EngineParameters(max_batch=1))
            requests = [request("first"), request("low"), request("high", priority=5)]
            await asyncio.gather(*(harness.generate(item) for item in requests))
            self.assertEqual(list(harness.ended()), ["first", "high", "low"])

        run(scenario)

    def test_a_cached_prefix_shortens_prefill_until_the_weights_change(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            prompt = "a long conversation " * 2000
            clock = asyncio.get_running_loop().time
            elapsed = []
            for name in ("cold", "warm", "new weights"):
                if name == "new weights":
                    await harness.load(2, 1)
                started_at = clock()
                await harness.generate(request(name, 1, prompt=prompt))
                elapsed.append(clock() - started_at)
            self.assertLess(elapsed[1], elapsed[0] / 10)
            self.assertAlmostEqual(elapsed[2], elapsed[0])

        run(scenario)

    def test_cache_events_are_late_and_have_gaps(self) -> None:
        async def scenario() -> None:
            parameters = EngineParameters(cache_event_delay_seconds=5.0, cache_event_loss=0.3)
            harness = EngineHarness(parameters)
            prompt = "x" * 64 * 40
            await harness.generate(request("a", 1, prompt=prompt))
            events_before_delay = await harness.client.cache_events(ADDRESS, 0, timeout_seconds=1.0)
            await asyncio.sleep(6.0)
            events = await harness.client.cache_events(ADDRESS, 0, timeout_seconds=1.0)
            self.assertEqual(events_before_delay, ())
            self.assertGreater(len(events), 0)
            self.assertLess(len(events), 40)
            hashes = prefix_hashes(MODEL, prompt)
            for event in events:
                self.assertEqual(event.prefix_hash, hashes[event.sequence - 1])

        run(scenario)

    def test_a_resumed_completion_continues_the_tokens(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            complete = await harness.generate(request("whole", 96))
            tokens = tuple(token for chunk in complete for token in chunk.token_ids)
            resumed = await harness.generate(request("rest", 96, resume_tokens=tokens[:40]))
            rest = tuple(token for chunk in resumed for token in chunk.token_ids)
            self.assertEqual(tokens[:40] + rest, tokens)
            self.assertEqual(resumed[0].first_index, 40)

        run(scenario)

    def test_cancel_ends_the_stream_and_frees_its_batch_slot(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness(EngineParameters(max_batch=1))
            running = asyncio.ensure_future(harness.generate(request("a", 5000)))
            waiting = asyncio.ensure_future(harness.generate(request("b", 16)))
            await asyncio.sleep(1.0)
            await harness.client.cancel(ADDRESS, AttemptId("a"))
            self.assertEqual((await running)[-1].finish_reason, FinishReason.CANCELLED)
            self.assertEqual((await waiting)[-1].finish_reason, FinishReason.STOP)

        run(scenario)

    def test_frozen_engine_does_not_respond_and_continues_after_thaw(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            stream = asyncio.ensure_future(harness.generate(request("a")))
            await asyncio.sleep(0.1)
            harness.engine.freeze()
            with self.assertRaises(ExchangeBrokenError):
                await harness.client.status(ADDRESS, timeout_seconds=30.0)
            before = len(harness.responses[AttemptId("a")])
            self.assertFalse(stream.done())
            harness.engine.resume()
            self.assertGreater(len(await stream), before)

        run(scenario)

    def test_the_load_report_lags(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness(EngineParameters(load_report_lag_seconds=2.0))
            stream = asyncio.ensure_future(harness.generate(request("a", 1000)))
            await asyncio.sleep(1.0)
            fresh = await harness.client.status(ADDRESS, timeout_seconds=1.0)
            await asyncio.sleep(2.0)
            later = await harness.client.status(ADDRESS, timeout_seconds=1.0)
            self.assertEqual((fresh.running, later.running), (0, 1))
            await stream

        run(scenario)


class CacheTransferTest(unittest.TestCase):
    async def resume_with_imported_cache(self, harness: EngineHarness) -> GenerationRequest:
        """Import the cache of a partial completion into an engine; return the resuming request."""
        first = EngineHarness()
        first_request = request("first", 100, prompt="a long conversation " * 2000)
        partial = await first.generate(msgspec.structs.replace(first_request, max_tokens=48))
        export = await first.engine.export_cache(first_request.attempt_id)
        await harness.engine.import_cache(export)
        tokens = tuple(token for chunk in partial for token in chunk.token_ids)
        attempt_id = AttemptId("second")
        return msgspec.structs.replace(first_request, attempt_id=attempt_id, resume_tokens=tokens)

    def test_imported_cache_avoids_prefill(self) -> None:
        async def scenario() -> None:
            clock = asyncio.get_running_loop().time
            elapsed: list[float] = []
            for harness in (EngineHarness(), EngineHarness()):
                resumed = await self.resume_with_imported_cache(
                    EngineHarness() if elapsed else harness
                )
                started_at = clock()
                chunks = await harness.generate(resumed)
                elapsed.append(clock() - started_at)
                self.assertEqual(chunks[0].first_index, 48)
            self.assertLess(elapsed[0], elapsed[1] - 1.0)

        run(scenario)

    def test_a_cache_of_other_weights_is_refused(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            resumed = await self.resume_with_imported_cache(harness)
            await harness.load(2, 1)
            with self.assertRaises(BackendRefusedError) as caught:
                await harness.generate(resumed)
            self.assertEqual(caught.exception.reason, CACHE_VERSION_MISMATCH)
            chunks = await harness.generate(resumed)
            self.assertEqual(chunks[-1].finish_reason, FinishReason.STOP)
            with self.assertRaises(BackendRefusedError):
                await self.resume_with_imported_cache(harness)

        run(scenario)

    def test_a_cache_of_mixed_weights_is_not_exported(self) -> None:
        async def scenario() -> None:
            harness = EngineHarness()
            generating = harness.generate(request("a", 600))
            await asyncio.gather(generating, harness.load(2, 1))
            with self.assertRaises(MixedVersionsError):
                await harness.engine.export_cache(AttemptId("a"))

        run(scenario)
