"""The emulated engine behaves as an engine does."""

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
    Bench,
    request,
    run,
)


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
