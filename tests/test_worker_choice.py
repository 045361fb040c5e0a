"""Tests of worker selection with uneven and outdated load reports."""

import math
import random
import unittest
from collections import Counter
from collections.abc import Mapping

import msgspec

from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.worker_choice import (
    MAX_REFUSAL_SECONDS,
    MIN_REFUSAL_SECONDS,
    ChosenWorker,
    WorkerSnapshot,
    choose_worker,
    refusal_backoff_seconds,
    relative_latency_of,
)
from drumbay.identifiers import BackendId
from drumbay.workers.records import WorkerLoad
from drumbay.workers.response_stats import ResponseStats

NOW = 100.0
SLOTS = 6
TYPICAL_SECONDS = 0.025
NODES = 77


def snapshot(name: str, **fields: object) -> WorkerSnapshot:
    worker = WorkerSnapshot(worker_id=BackendId(name), slots=SLOTS)
    return msgspec.structs.replace(worker, **fields)


def selected(workers: list[WorkerSnapshot], node: str = "node-1") -> ChosenWorker:
    choice = choose_worker(workers, TYPICAL_SECONDS, node, NOW)
    assert choice is not None
    return choice


def selection_counts(workers: list[WorkerSnapshot], nodes: int = NODES) -> Counter[str]:
    """Return how many of ``nodes`` select each worker, given the same data."""
    return Counter(str(selected(workers, f"node-{number}").worker_id) for number in range(nodes))


class SelectionTest(unittest.TestCase):
    """Selections by many nodes that share the same snapshots of the workers."""

    def test_nodes_without_data_spread_over_all_workers(self) -> None:
        counts = selection_counts([snapshot(f"w{number}") for number in range(6)], nodes=600)
        self.assertLess(max(counts.values()), 1.3 * 100)
        self.assertGreater(min(counts.values()), 0.7 * 100)

    def test_outdated_report_does_not_attract_all_nodes(self) -> None:
        workers = [snapshot(f"w{n}", other_requests=3, reported_at=NOW - 3.0) for n in range(5)]
        workers.append(snapshot("free", other_requests=0, reported_at=NOW - 3.0))
        self.assertLess(selection_counts(workers)["free"], NODES / 3)

    def test_slow_workers_get_nothing_while_others_have_slots(self) -> None:
        workers = [snapshot(f"slow{n}", relative_latency=4.0) for n in range(2)]
        workers += [snapshot(f"w{n}") for n in range(4)]
        counts = selection_counts(workers)
        self.assertEqual(counts["slow0"] + counts["slow1"], 0)

    def test_slowdown_counts_while_report_is_recent(self) -> None:
        noisy = {"slowdown": 2.5, "has_idle_connection": True}
        fresh = [snapshot("noisy", reported_at=NOW - 0.05, **noisy), snapshot("quiet")]
        stale = [snapshot("noisy", reported_at=NOW - 3.0, **noisy), snapshot("quiet")]
        self.assertEqual(selection_counts(fresh)["noisy"], 0)
        self.assertEqual(selection_counts(stale)["noisy"], NODES)

    def test_queue_length_increases_expected_latency(self) -> None:
        full = snapshot("full", other_requests=12, reported_at=NOW, has_idle_connection=True)
        self.assertEqual(
            selection_counts([full, snapshot("w", own_requests=3, reported_at=NOW)])["full"], 0
        )
        alone = selected([full])
        self.assertGreater(alone.expected_seconds, 2 * TYPICAL_SECONDS)

    def test_worker_without_data_is_not_assumed_idle(self) -> None:
        workers = [snapshot(f"told{n}", other_requests=4, reported_at=NOW) for n in range(3)]
        workers.append(snapshot("untold"))
        self.assertLess(selection_counts(workers)["untold"], NODES / 2)

    def test_idle_connection_is_abandoned_only_for_clearly_faster_worker(self) -> None:
        connected = snapshot("kept", relative_latency=1.2, has_idle_connection=True)
        self.assertEqual(selection_counts([connected, snapshot("w")])["kept"], NODES)
        slower = msgspec.structs.replace(connected, relative_latency=1.5)
        self.assertEqual(selection_counts([slower, snapshot("w")])["kept"], 0)

    def test_partially_failing_worker_is_avoided(self) -> None:
        failing = snapshot("grey", failure_rate=0.3, has_idle_connection=True)
        self.assertEqual(selection_counts([failing, snapshot("sound")])["grey"], 0)

    def test_shortest_pause_is_selected_if_all_are_paused(self) -> None:
        workers = [
            snapshot("long", paused_until=NOW + 4.0),
            snapshot("short", paused_until=NOW + 0.1),
        ]
        self.assertEqual(selection_counts(workers)["short"], NODES)

    def test_no_candidates_returns_none(self) -> None:
        self.assertIsNone(choose_worker([], TYPICAL_SECONDS, "node-1", NOW))

    def test_refusal_backoff_equals_one_request_time(self) -> None:
        self.assertEqual(refusal_backoff_seconds(snapshot("w"), 0.2, NOW), 0.2)
        slow = snapshot("w", slowdown=2.0, reported_at=NOW)
        self.assertEqual(refusal_backoff_seconds(slow, 0.2, NOW), 0.4)
        self.assertEqual(refusal_backoff_seconds(snapshot("w"), 0.001, NOW), MIN_REFUSAL_SECONDS)
        self.assertEqual(refusal_backoff_seconds(snapshot("w"), 9.0, NOW), MAX_REFUSAL_SECONDS)

    def test_reported_slowdown_and_queue_are_factored_out(self) -> None:
        load = WorkerLoad(running=SLOTS, waiting=SLOTS, slots=SLOTS, slowdown=2.5)
        self.assertEqual(relative_latency_of(0.125, TYPICAL_SECONDS, load), 1.0)
        self.assertEqual(relative_latency_of(0.125, TYPICAL_SECONDS, None), 5.0)


class ResponseStatsTest(unittest.TestCase):
    def test_observations_decay_to_default(self) -> None:
        stats = ResponseStats()
        for _ in range(5):
            stats.observe_response(6.0, NOW)
            stats.observe_failure(NOW)
        self.assertGreater(stats.relative_latency(NOW), 4.0)
        self.assertGreater(stats.failure_rate(NOW), 0.4)
        self.assertLess(stats.relative_latency(NOW + 60.0), 1.1)
        self.assertLess(stats.failure_rate(NOW + 60.0), 0.02)

    def test_early_cancelled_run_is_ignored(self) -> None:
        stats = ResponseStats()
        stats.observe_cancelled_run(0.5, NOW)
        self.assertEqual(stats.relative_latency(NOW), 1.0)
        stats.observe_cancelled_run(3.0, NOW)
        self.assertGreater(stats.relative_latency(NOW), 1.0)


class HedgeTimingTest(unittest.TestCase):
    def timing(self, *seconds: float) -> HedgeTiming:
        timing = HedgeTiming(NOW)
        for latency_seconds in seconds:
            timing.observe("route", latency_seconds)
        return timing

    def delay(self, timing: HedgeTiming, *, is_interactive: bool = True) -> float:
        return timing.delay_seconds("route", 0.15, is_interactive=is_interactive)

    def test_hedge_delay_follows_high_percentile(self) -> None:
        timing = self.timing(*(0.02 + 0.0004 * number for number in range(50)))
        self.assertAlmostEqual(self.delay(timing), 0.02 + 0.0004 * 47)

    def test_hedge_delay_is_bounded_by_target_shares(self) -> None:
        self.assertAlmostEqual(self.delay(self.timing()), 0.45 * 0.15)
        self.assertAlmostEqual(self.delay(self.timing(*[0.001] * 50)), 0.2 * 0.15)
        self.assertAlmostEqual(self.delay(self.timing(*[1.0] * 50)), 0.45 * 0.15)

    def test_background_request_is_hedged_later(self) -> None:
        timing = self.timing(*[0.025] * 50)
        self.assertGreater(self.delay(timing, is_interactive=False), 2 * self.delay(timing))

    def test_hedges_are_limited_to_a_tenth_of_requests(self) -> None:
        timing = self.timing()
        sent = 0
        for number in range(1_000):
            now = NOW + number * 0.01
            timing.record_request(now, is_interactive=True)
            sent += timing.try_withdraw(now, is_interactive=True)
        self.assertLessEqual(sent, 10 + 100 + 5)
        self.assertGreaterEqual(sent, 100)

    def test_background_burst_does_not_use_interactive_budget(self) -> None:
        timing = self.timing()
        while timing.try_withdraw(NOW, is_interactive=False):
            pass
        self.assertTrue(timing.try_withdraw(NOW, is_interactive=True))

    def test_low_request_rate_may_hedge_every_request(self) -> None:
        timing = self.timing()
        for number in range(50):
            now = NOW + number * 5.0
            timing.record_request(now, is_interactive=True)
            self.assertTrue(timing.try_withdraw(now, is_interactive=True))

    def test_latencies_of_unused_routes_are_evicted(self) -> None:
        timing = self.timing(0.02, 0.02, 0.02)
        self.assertEqual(timing.typical_seconds("route", 0.15), 0.02)
        for number in range(300):
            timing.observe(f"other-{number}", 0.5)
        self.assertFalse(timing.has_typical_latency("route"))
        self.assertAlmostEqual(timing.typical_seconds("route", 0.15), 0.2 * 0.15)


LATENCY_FACTORS: Mapping[str, float] = {
    "w0": 1.0,
    "w1": 1.0,
    "w2": 1.0,
    "w3": 1.0,
    "w4": 2.4,
    "w5": 2.4,
}
"""Latency factor of each worker; a third of them is slow."""

REQUEST_FACTORS = (0.5, 0.7, 0.9, 1.0, 1.1, 1.3, 1.5)
"""Latencies of single requests relative to the typical one."""

NOISE_PERIOD_SECONDS = 6.0
NOISE_DURATION_SECONDS = 0.6
NOISE_FACTOR = 2.5


class Arrival(msgspec.Struct, frozen=True):
    """A request that arrives at a node."""

    at: float
    node: str


def arrivals(nodes: int, per_second: float, seconds: float) -> list[Arrival]:
    generator = random.Random(7)
    count = int(per_second * seconds)
    times = sorted(generator.uniform(0.0, seconds) for _ in range(count))
    return [Arrival(at, f"node-{generator.randrange(nodes)}") for at in times]


def slowdown_of(worker: int, at: float) -> float:
    """Return the periodic slowdown of a worker, with a different phase for each."""
    phase = (at + worker * NOISE_PERIOD_SECONDS / len(LATENCY_FACTORS)) % NOISE_PERIOD_SECONDS
    return NOISE_FACTOR if phase < NOISE_DURATION_SECONDS else 1.0


class Replay:
    """Replays arrivals against workers with known latencies; each node has its own snapshots."""

    def __init__(self) -> None:
        self._generator = random.Random(3)
        self.snapshots: dict[tuple[str, str], WorkerSnapshot] = {}
        self.response_stats: dict[tuple[str, str], ResponseStats] = {}
        self.ends: dict[str, list[float]] = {name: [] for name in LATENCY_FACTORS}
        self.connected_until: dict[tuple[str, str], float] = {}
        self.counts: Counter[str] = Counter()
        self.connections = 0
        self.seconds: list[float] = []

    def play(self, arrival: Arrival) -> None:
        workers = [self._snapshot(arrival, name) for name in LATENCY_FACTORS]
        choice = choose_worker(workers, TYPICAL_SECONDS, arrival.node, arrival.at)
        assert choice is not None
        self._run(arrival, str(choice.worker_id))

    def _snapshot(self, arrival: Arrival, name: str) -> WorkerSnapshot:
        key = (arrival.node, name)
        stats = self.response_stats.setdefault(key, ResponseStats())
        last_snapshot = self.snapshots.get(key, snapshot(name))
        return msgspec.structs.replace(
            last_snapshot,
            relative_latency=stats.relative_latency(arrival.at),
            last_run_at=stats.last_run_at,
            has_idle_connection=self.connected_until.get(key, -math.inf) > arrival.at,
        )

    def _run(self, arrival: Arrival, name: str) -> None:
        key = (arrival.node, name)
        busy = [end for end in self.ends[name] if end > arrival.at]
        wait = sorted(busy)[-SLOTS] - arrival.at if len(busy) >= SLOTS else 0.0
        slowdown = slowdown_of(list(LATENCY_FACTORS).index(name), arrival.at)
        size = self._generator.choice(REQUEST_FACTORS)
        seconds = wait + TYPICAL_SECONDS * LATENCY_FACTORS[name] * size * slowdown
        end = arrival.at + seconds
        self.ends[name] = [*busy, end]
        self.counts[name] += 1
        self.seconds.append(seconds)
        self.connections += self.connected_until.get(key, -math.inf) <= arrival.at
        self.connected_until[key] = end + 10.0
        load = WorkerLoad(running=len(busy), waiting=0, slots=SLOTS, slowdown=slowdown)
        self.response_stats[key].observe_response(
            relative_latency_of(seconds, TYPICAL_SECONDS, load), end
        )
        self.snapshots[key] = snapshot(
            name, other_requests=len(busy), slowdown=slowdown, reported_at=end
        )


class ReplayTest(unittest.TestCase):
    """A third of the workers is slow, all are noisy at times, and load reports are outdated."""

    def play(self, nodes: int, per_second: float) -> Replay:
        replay = Replay()
        for arrival in arrivals(nodes, per_second, 60.0):
            replay.play(arrival)
        return replay

    def test_busy_node_avoids_slow_workers(self) -> None:
        replay = self.play(nodes=2, per_second=120.0)
        slow = replay.counts["w4"] + replay.counts["w5"]
        self.assertLess(slow, 0.08 * len(replay.seconds))
        self.assertLess(sum(replay.seconds) / len(replay.seconds), 1.15 * TYPICAL_SECONDS)

    def test_many_idle_nodes_do_not_herd(self) -> None:
        replay = self.play(nodes=NODES, per_second=60.0)
        counts = [replay.counts[name] for name, factor in LATENCY_FACTORS.items() if factor == 1.0]
        self.assertLess(max(counts), 1.3 * sum(counts) / len(counts))

    def test_node_reuses_few_connections(self) -> None:
        replay = self.play(nodes=NODES, per_second=60.0)
        self.assertLess(replay.connections, 4 * NODES)

    def test_queues_stay_short_under_high_load(self) -> None:
        replay = self.play(nodes=NODES, per_second=300.0)
        late = sum(seconds > 6 * TYPICAL_SECONDS for seconds in replay.seconds)
        self.assertLess(late, 0.001 * len(replay.seconds))


if __name__ == "__main__":
    unittest.main()
