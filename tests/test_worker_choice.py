"""The choice of a worker for requests that are answered at once, under uneven and stale news."""

import math
import random
import unittest
from collections import Counter
from collections.abc import Mapping

import msgspec

from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.worker_choice import (
    LONGEST_REFUSAL_SECONDS,
    SHORTEST_REFUSAL_SECONDS,
    ChosenWorker,
    WorkerNews,
    choose_worker,
    refusal_seconds,
    relative_time_of,
)
from drumbay.identifiers import BackendId
from drumbay.workers.answer_pace import AnswerPace
from drumbay.workers.records import WorkerLoad

NOW = 100.0
SLOTS = 6
USUAL_SECONDS = 0.025
NODES = 77


def news(name: str, **known: object) -> WorkerNews:
    worker = WorkerNews(worker_id=BackendId(name), slots=SLOTS)
    return msgspec.structs.replace(worker, **known)


def chosen(workers: list[WorkerNews], node: str = "node-1") -> ChosenWorker:
    choice = choose_worker(workers, USUAL_SECONDS, node, NOW)
    assert choice is not None
    return choice


def shares(workers: list[WorkerNews], nodes: int = NODES) -> Counter[str]:
    """Return how many nodes, all with the same news, choose each worker."""
    return Counter(str(chosen(workers, f"node-{number}").worker_id) for number in range(nodes))


class NewsTest(unittest.TestCase):
    """Nodes with the same news of six workers, each asking once."""

    def test_nodes_without_news_spread_over_all_workers(self) -> None:
        counts = shares([news(f"w{number}") for number in range(6)], nodes=600)
        self.assertLess(max(counts.values()), 1.3 * 100)
        self.assertGreater(min(counts.values()), 0.7 * 100)

    def test_one_fast_worker_in_a_stale_report_draws_no_herd(self) -> None:
        workers = [news(f"w{n}", others=3, reported_at=NOW - 3.0) for n in range(5)]
        workers.append(news("free", others=0, reported_at=NOW - 3.0))
        self.assertLess(shares(workers)["free"], NODES / 3)

    def test_workers_that_are_slow_get_nothing_while_others_have_places(self) -> None:
        workers = [news(f"slow{n}", relative_time=4.0) for n in range(2)]
        workers += [news(f"w{n}") for n in range(4)]
        counts = shares(workers)
        self.assertEqual(counts["slow0"] + counts["slow1"], 0)

    def test_a_noisy_moment_counts_while_it_is_new(self) -> None:
        noisy = {"slowdown": 2.5, "keeps_connection": True}
        fresh = [news("noisy", reported_at=NOW - 0.05, **noisy), news("quiet")]
        stale = [news("noisy", reported_at=NOW - 3.0, **noisy), news("quiet")]
        self.assertEqual(shares(fresh)["noisy"], 0)
        self.assertEqual(shares(stale)["noisy"], NODES)

    def test_a_queue_counts_as_turns_of_the_places(self) -> None:
        full = news("full", others=12, reported_at=NOW, keeps_connection=True)
        self.assertEqual(shares([full, news("w", own=3, reported_at=NOW)])["full"], 0)
        alone = chosen([full])
        self.assertGreater(alone.expected_seconds, 2 * USUAL_SECONDS)

    def test_a_worker_without_news_is_not_taken_for_free(self) -> None:
        workers = [news(f"told{n}", others=4, reported_at=NOW) for n in range(3)]
        workers.append(news("untold"))
        self.assertLess(shares(workers)["untold"], NODES / 2)

    def test_a_kept_connection_is_left_for_a_clearly_faster_worker_only(self) -> None:
        kept = news("kept", relative_time=1.2, keeps_connection=True)
        self.assertEqual(shares([kept, news("w")])["kept"], NODES)
        slower = msgspec.structs.replace(kept, relative_time=1.5)
        self.assertEqual(shares([slower, news("w")])["kept"], 0)

    def test_a_worker_that_fails_part_of_its_runs_is_avoided(self) -> None:
        grey = news("grey", failure_share=0.3, keeps_connection=True)
        self.assertEqual(shares([grey, news("sound")])["grey"], 0)

    def test_where_every_worker_is_paused_the_shortest_pause_decides(self) -> None:
        workers = [news("long", paused_until=NOW + 4.0), news("short", paused_until=NOW + 0.1)]
        self.assertEqual(shares(workers)["short"], NODES)

    def test_no_worker_is_no_choice(self) -> None:
        self.assertIsNone(choose_worker([], USUAL_SECONDS, "node-1", NOW))

    def test_a_refusal_lasts_as_long_as_a_turn_of_the_places(self) -> None:
        self.assertEqual(refusal_seconds(news("w"), 0.2, NOW), 0.2)
        slow = news("w", slowdown=2.0, reported_at=NOW)
        self.assertEqual(refusal_seconds(slow, 0.2, NOW), 0.4)
        self.assertEqual(refusal_seconds(news("w"), 0.001, NOW), SHORTEST_REFUSAL_SECONDS)
        self.assertEqual(refusal_seconds(news("w"), 9.0, NOW), LONGEST_REFUSAL_SECONDS)

    def test_a_reported_slowdown_and_wait_are_no_lasting_slowness(self) -> None:
        load = WorkerLoad(running=SLOTS, waiting=SLOTS, slots=SLOTS, slowdown=2.5)
        self.assertEqual(relative_time_of(0.125, USUAL_SECONDS, load), 1.0)
        self.assertEqual(relative_time_of(0.125, USUAL_SECONDS, None), 5.0)


class AnswerPaceTest(unittest.TestCase):
    def test_what_was_seen_of_a_worker_ages_towards_usual(self) -> None:
        pace = AnswerPace()
        for _ in range(5):
            pace.observe_answer(6.0, NOW)
            pace.observe_failure(NOW)
        self.assertGreater(pace.relative_time(NOW), 4.0)
        self.assertGreater(pace.failure_share(NOW), 0.4)
        self.assertLess(pace.relative_time(NOW + 60.0), 1.1)
        self.assertLess(pace.failure_share(NOW + 60.0), 0.02)

    def test_a_run_that_was_given_up_early_says_nothing(self) -> None:
        pace = AnswerPace()
        pace.observe_unanswered(0.5, NOW)
        self.assertEqual(pace.relative_time(NOW), 1.0)
        pace.observe_unanswered(3.0, NOW)
        self.assertGreater(pace.relative_time(NOW), 1.0)


class HedgeTimingTest(unittest.TestCase):
    def timing(self, *seconds: float) -> HedgeTiming:
        timing = HedgeTiming(NOW)
        for each in seconds:
            timing.observe("route", each)
        return timing

    def delay(self, timing: HedgeTiming, *, is_awaited: bool = True) -> float:
        return timing.delay_seconds("route", 0.15, is_awaited=is_awaited)

    def test_the_second_copy_follows_what_nearly_all_requests_take(self) -> None:
        timing = self.timing(*(0.02 + 0.0004 * number for number in range(50)))
        self.assertAlmostEqual(self.delay(timing), 0.02 + 0.0004 * 47)

    def test_it_stays_within_shares_of_the_objective(self) -> None:
        self.assertAlmostEqual(self.delay(self.timing()), 0.45 * 0.15)
        self.assertAlmostEqual(self.delay(self.timing(*[0.001] * 50)), 0.2 * 0.15)
        self.assertAlmostEqual(self.delay(self.timing(*[1.0] * 50)), 0.45 * 0.15)

    def test_a_request_that_nobody_waits_for_is_hedged_later(self) -> None:
        timing = self.timing(*[0.025] * 50)
        self.assertGreater(self.delay(timing, is_awaited=False), 2 * self.delay(timing))

    def test_second_copies_stay_a_tenth_of_many_requests(self) -> None:
        timing = self.timing()
        sent = 0
        for number in range(1_000):
            now = NOW + number * 0.01
            timing.record_request(now, is_awaited=True)
            sent += timing.try_withdraw(now, is_awaited=True)
        self.assertLessEqual(sent, 10 + 100 + 5)
        self.assertGreaterEqual(sent, 100)

    def test_a_burst_of_the_systems_requests_leaves_the_callers_budget(self) -> None:
        timing = self.timing()
        while timing.try_withdraw(NOW, is_awaited=False):
            pass
        self.assertTrue(timing.try_withdraw(NOW, is_awaited=True))

    def test_few_requests_may_all_be_slow(self) -> None:
        timing = self.timing()
        for number in range(50):
            now = NOW + number * 5.0
            timing.record_request(now, is_awaited=True)
            self.assertTrue(timing.try_withdraw(now, is_awaited=True))

    def test_the_times_of_unused_routes_are_forgotten(self) -> None:
        timing = self.timing(0.02, 0.02, 0.02)
        self.assertEqual(timing.usual_seconds("route", 0.15), 0.02)
        for number in range(300):
            timing.observe(f"other-{number}", 0.5)
        self.assertFalse(timing.knows("route"))
        self.assertAlmostEqual(timing.usual_seconds("route", 0.15), 0.2 * 0.15)


SPEEDS: Mapping[str, float] = {"w0": 1.0, "w1": 1.0, "w2": 1.0, "w3": 1.0, "w4": 2.4, "w5": 2.4}
"""Workers by the time of a request there: a third of them is slow."""

SIZES = (0.5, 0.7, 0.9, 1.0, 1.1, 1.3, 1.5)
"""Times of single requests of the route, relative to the usual."""

NOISE_PERIOD_SECONDS = 6.0
NOISE_SECONDS = 0.6
NOISE_FACTOR = 2.5


class Arrival(msgspec.Struct, frozen=True):
    """A request of one node."""

    at: float
    node: str


def arrivals(nodes: int, per_second: float, seconds: float) -> list[Arrival]:
    generator = random.Random(7)
    count = int(per_second * seconds)
    times = sorted(generator.uniform(0.0, seconds) for _ in range(count))
    return [Arrival(at, f"node-{generator.randrange(nodes)}") for at in times]


def slowdown_of(worker: int, at: float) -> float:
    """Return the noise on a worker: a moment in each period, at another time on each worker."""
    phase = (at + worker * NOISE_PERIOD_SECONDS / len(SPEEDS)) % NOISE_PERIOD_SECONDS
    return NOISE_FACTOR if phase < NOISE_SECONDS else 1.0


class Replay:
    """Plays arrivals against workers whose times are known; each node has its own news."""

    def __init__(self) -> None:
        self._generator = random.Random(3)
        self.known: dict[tuple[str, str], WorkerNews] = {}
        self.paces: dict[tuple[str, str], AnswerPace] = {}
        self.ends: dict[str, list[float]] = {name: [] for name in SPEEDS}
        self.connected_until: dict[tuple[str, str], float] = {}
        self.counts: Counter[str] = Counter()
        self.connections = 0
        self.seconds: list[float] = []

    def play(self, arrival: Arrival) -> None:
        workers = [self._news(arrival, name) for name in SPEEDS]
        choice = choose_worker(workers, USUAL_SECONDS, arrival.node, arrival.at)
        assert choice is not None
        self._run(arrival, str(choice.worker_id))

    def _news(self, arrival: Arrival, name: str) -> WorkerNews:
        key = (arrival.node, name)
        pace = self.paces.setdefault(key, AnswerPace())
        known = self.known.get(key, news(name))
        return msgspec.structs.replace(
            known,
            relative_time=pace.relative_time(arrival.at),
            ran_at=pace.ran_at,
            keeps_connection=self.connected_until.get(key, -math.inf) > arrival.at,
        )

    def _run(self, arrival: Arrival, name: str) -> None:
        key = (arrival.node, name)
        busy = [end for end in self.ends[name] if end > arrival.at]
        wait = sorted(busy)[-SLOTS] - arrival.at if len(busy) >= SLOTS else 0.0
        slowdown = slowdown_of(list(SPEEDS).index(name), arrival.at)
        size = self._generator.choice(SIZES)
        seconds = wait + USUAL_SECONDS * SPEEDS[name] * size * slowdown
        end = arrival.at + seconds
        self.ends[name] = [*busy, end]
        self.counts[name] += 1
        self.seconds.append(seconds)
        self.connections += self.connected_until.get(key, -math.inf) <= arrival.at
        self.connected_until[key] = end + 10.0
        load = WorkerLoad(running=len(busy), waiting=0, slots=SLOTS, slowdown=slowdown)
        self.paces[key].observe_answer(relative_time_of(seconds, USUAL_SECONDS, load), end)
        self.known[key] = news(name, others=len(busy), slowdown=slowdown, reported_at=end)


class ReplayTest(unittest.TestCase):
    """A third of the workers slow, noisy moments, and nodes whose reports are stale."""

    def play(self, nodes: int, per_second: float) -> Replay:
        replay = Replay()
        for arrival in arrivals(nodes, per_second, 60.0):
            replay.play(arrival)
        return replay

    def test_a_node_with_many_requests_keeps_off_the_slow_workers(self) -> None:
        replay = self.play(nodes=2, per_second=120.0)
        slow = replay.counts["w4"] + replay.counts["w5"]
        self.assertLess(slow, 0.08 * len(replay.seconds))
        self.assertLess(sum(replay.seconds) / len(replay.seconds), 1.15 * USUAL_SECONDS)

    def test_many_nodes_with_few_requests_do_not_herd(self) -> None:
        replay = self.play(nodes=NODES, per_second=60.0)
        sound = [replay.counts[name] for name, factor in SPEEDS.items() if factor == 1.0]
        self.assertLess(max(sound), 1.3 * sum(sound) / len(sound))

    def test_a_node_keeps_to_few_workers_and_their_connections(self) -> None:
        replay = self.play(nodes=NODES, per_second=60.0)
        self.assertLess(replay.connections, 4 * NODES)

    def test_queues_of_a_high_load_stay_short(self) -> None:
        replay = self.play(nodes=NODES, per_second=300.0)
        late = sum(seconds > 6 * USUAL_SECONDS for seconds in replay.seconds)
        self.assertLess(late, 0.001 * len(replay.seconds))


if __name__ == "__main__":
    unittest.main()
