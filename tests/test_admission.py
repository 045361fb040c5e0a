"""Admission of requests: who goes out, who waits, who is rejected, replayed in virtual time."""

import asyncio
import heapq
import unittest
from collections import Counter

import msgspec

from drumbay.admission.limit import ConcurrencyLimit
from drumbay.admission.queue import TURNS_A_REWARD, AdmissionQueue
from drumbay.admission.records import (
    AdmissionRequest,
    Admitted,
    Queued,
    Rejected,
    RejectionReason,
    ServiceRoom,
)
from drumbay.admission.room import room_of
from drumbay.admission.service import ServiceAdmission, retry_after_seconds
from drumbay.exceptions import Execution
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import NoWorkerError
from drumbay.forwarding.routes import (
    RequestKind,
    RequestLimits,
    RoutingConfiguration,
    ServiceShare,
)
from drumbay.identifiers import BackendId
from drumbay.tenants.records import KeyTable, TenantName
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import WorkerLoad
from tests.serving_world import ServingWorld, play
from tests.test_forwarding import LOOKUPS, forwarder_of, request, route

BUDGET_SECONDS = 1.5
PLACES = 4
ROOM = ServiceRoom(available_workers=1, places=PLACES, pause_ends_at=None, report_age_seconds=0.1)


def ask(name: str, at: float = 0.0, **fields: object) -> AdmissionRequest:
    values = {"flow": "tenant", "rank": 0, "deadline": at + BUDGET_SECONDS} | fields
    return msgspec.convert({"request_id": name, "arrived_at": at} | values, AdmissionRequest)


def limited_admission(seconds: float = 0.03) -> ServiceAdmission:
    """Return the admission of a service that had refused, and now answers at its usual pace."""
    admission = ServiceAdmission()
    refused = ask("refused", at=-0.5)
    for _ in range(PLACES * 2):
        admission.arrive(ask("filler", at=-0.5), -0.5, ROOM)
    admission.arrive(refused, -0.5, ROOM)
    admission.take_back(refused, -0.5, ROOM)
    admission.leave(refused, -0.5)
    for _ in range(PLACES * 2):
        admission.answered(seconds, -0.4)
    return admission


class Replay:
    """Plays arrivals against a service with a few places; ``seconds`` is the time of an answer."""

    def __init__(self, arrivals: list[AdmissionRequest], seconds: float) -> None:
        self.admission = limited_admission(seconds)
        self.admitted: list[AdmissionRequest] = []
        self.rejected: list[Rejected] = []
        self.answered_at: dict[str, float] = {}
        self._seconds = seconds
        self._ends: list[tuple[float, str]] = []
        for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_at):
            self._run_until(arrival.arrived_at)
            decision = self.admission.arrive(arrival, arrival.arrived_at, ROOM)
            if not isinstance(decision, Queued):
                self._take(decision, arrival.arrived_at)
        self._run_until(60.0)

    def _run_until(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            now, name = heapq.heappop(self._ends)
            self.answered_at[name] = now
            self.admission.answered(self._seconds, now)
            for decision in self.admission.advance(now, ROOM):
                self._take(decision, now)

    def _take(self, decision: Admitted | Rejected, now: float) -> None:
        if isinstance(decision, Rejected):
            self.rejected.append(decision)
            return
        self.admitted.append(decision.request)
        heapq.heappush(self._ends, (now + self._seconds, decision.request.request_id))

    def seconds_of(self, arrival: AdmissionRequest) -> float:
        return self.answered_at[arrival.request_id] - arrival.arrived_at


class ReplayedLoadTest(unittest.TestCase):
    def test_a_large_tenants_burst_takes_no_place_of_the_others(self) -> None:
        burst = [ask(f"large-{n}", flow="large") for n in range(200)]
        # The others alone ask for half of what the service bears.
        others = [ask(f"small-{n}", at=0.01 + 0.015 * n, flow=f"t{n}") for n in range(80)]
        replay = Replay(burst + others, seconds=0.03)
        slowest = max(replay.seconds_of(small) for small in others)
        self.assertLess(slowest, 0.15)
        rejected = {decision.request.flow for decision in replay.rejected}
        self.assertLessEqual(rejected, {"large"})
        served = sum(1 for name in replay.answered_at if name.startswith("large"))
        self.assertGreater(served, 30)

    def test_at_a_quarter_of_the_pace_what_is_served_is_in_time_and_the_rest_knows_at_once(
        self,
    ) -> None:
        arrivals = [ask(f"r{n}", at=0.02 * n, flow=f"t{n % 9}") for n in range(250)]
        replay = Replay(arrivals, seconds=0.12)
        served = [a for a in arrivals if a.request_id in replay.answered_at]
        # Four places of 0.12 s serve 33 a second; 50 a second come, for five seconds.
        self.assertGreater(len(served), 0.9 * 33 * 5)
        self.assertTrue(all(replay.seconds_of(a) < BUDGET_SECONDS * 0.75 for a in served))
        at_once = [d for d in replay.rejected if d.reason is RejectionReason.QUEUE_TOO_LONG]
        self.assertEqual(at_once, replay.rejected)
        for decision in at_once:
            self.assertGreater(decision.retry_after_seconds, 0.0)
            self.assertLessEqual(decision.retry_after_seconds, BUDGET_SECONDS / 3)

    def test_a_smaller_rank_goes_first_and_no_rank_is_starved(self) -> None:
        urgent = [ask(f"u{n}", at=0.008 * n, rank=0, flow=f"t{n % 5}") for n in range(150)]
        others = [
            ask(f"o{n}", at=0.1 * n, rank=2, flow=f"t{n % 5}", deadline=0.1 * n + 4.0)
            for n in range(10)
        ]
        replay = Replay(urgent + others, seconds=0.03)
        waits = [replay.seconds_of(a) for a in urgent if a.request_id in replay.answered_at]
        self.assertGreater(len(waits), 140)
        self.assertTrue(all(other.request_id in replay.answered_at for other in others))
        self.assertLess(sum(waits) / len(waits), replay.seconds_of(others[1]))

    def test_reward_requests_wait_behind_lookups_and_keep_a_part(self) -> None:
        # Whatever the ranks of their routes.
        rewards = [ask(f"reward-{n}", flow="", is_reward=True) for n in range(60)]
        lookups = [ask(f"l{n}", at=0.001 + 0.01 * n, flow=f"t{n}", rank=2) for n in range(40)]
        replay = Replay(rewards + lookups, seconds=0.03)
        self.assertLess(max(replay.seconds_of(lookup) for lookup in lookups), 0.1)
        order = [request.is_reward for request in replay.admitted]
        self.assertGreaterEqual(sum(order[:40]), 40 // TURNS_A_REWARD)

    def test_lookups_that_fill_the_service_starve_no_reward_request(self) -> None:
        # 133 a second are served, and 200 lookups a second come while a step waits for its scores.
        rewards = [ask(f"reward-{n}", flow="", is_reward=True, deadline=8.0) for n in range(40)]
        lookups = [ask(f"l{n}", at=0.001 + 0.005 * n, flow=f"t{n % 9}") for n in range(400)]
        replay = Replay(rewards + lookups, seconds=0.03)
        self.assertLess(max(replay.seconds_of(reward) for reward in rewards), 1.5)
        rewards_first = sum(request.is_reward for request in replay.admitted[:100])
        self.assertGreaterEqual(rewards_first, 20)
        self.assertLessEqual(rewards_first, 30)


class QueueTest(unittest.TestCase):
    def test_the_oldest_batch_job_and_its_priority_decide_between_reward_requests(self) -> None:
        queue = AdmissionQueue()
        for name, started_at, priority in (("c", 2.0, 0), ("b", 1.0, 3), ("a", 1.0, 1)):
            queue.push(
                ask(
                    name,
                    flow="",
                    is_reward=True,
                    batch_started_at=started_at,
                    batch_priority=priority,
                )
            )
        self.assertEqual([queue.pop(0.0).request_id for _ in range(3)], ["a", "b", "c"])

    def test_within_a_flow_the_earliest_deadline_goes_first(self) -> None:
        queue = AdmissionQueue()
        queue.push(ask("late", deadline=2.0))
        queue.push(ask("early", deadline=1.0))
        self.assertEqual(queue.pop(0.0).request_id, "early")

    def test_flows_take_turns_whatever_their_number_of_requests(self) -> None:
        queue = AdmissionQueue()
        for number in range(6):
            queue.push(ask(f"large-{number}", flow="large"))
        for number in range(2):
            queue.push(ask(f"small-{number}", flow="small"))
        first = Counter(queue.pop(0.0).flow for _ in range(4))
        self.assertEqual(first, {"large": 2, "small": 2})

    def test_a_rank_rises_with_the_wait(self) -> None:
        queue = AdmissionQueue()
        queue.push(ask("old", at=0.0, rank=2, flow="a"))
        queue.push(ask("soon", at=0.4, rank=0, flow="b"))
        self.assertEqual(queue.pop(0.4).request_id, "soon")
        queue.push(ask("later", at=1.01, rank=0, flow="c"))
        self.assertEqual(queue.count_ahead(ask("x", at=1.01, rank=0, flow="d"), 1.01), 2)
        self.assertEqual(queue.pop(1.01).request_id, "old")


class ServiceAdmissionTest(unittest.TestCase):
    def test_nothing_waits_while_nothing_was_refused(self) -> None:
        admission = ServiceAdmission()
        for number in range(100):
            decision = admission.arrive(ask(f"r{number}"), 0.0, None)
            self.assertIsInstance(decision, Admitted)
            self.assertFalse(admission.needs_room)

    def test_a_request_that_all_refuse_waits_and_goes_out_again(self) -> None:
        admission = ServiceAdmission()
        first = ask("first")
        admission.arrive(first, 0.0, None)
        self.assertIsInstance(admission.take_back(first, 0.0, ROOM), Queued)
        self.assertEqual(admission.advance(0.01, ROOM), [])
        self.assertEqual(admission.advance(0.06, ROOM), [Admitted(request=first)])

    def test_a_service_that_answers_nothing_leaves_the_caller_time_for_another_node(self) -> None:
        admission = ServiceAdmission()
        first = ask("first")
        admission.arrive(first, 0.0, None)
        admission.take_back(first, 0.0, ROOM)
        full = msgspec.structs.replace(ROOM, available_workers=0, places=0, pause_ends_at=0.45)
        (decision,) = admission.advance(0.38, full)
        assert isinstance(decision, Rejected)
        self.assertEqual(decision.reason, RejectionReason.WAITED_TOO_LONG)

    def test_a_service_that_has_answered_of_late_is_waited_for_longer(self) -> None:
        admission = ServiceAdmission()
        admission.arrive(ask("earlier", at=-3.0), -3.0, None)
        admission.answered(0.03, -2.9)
        first = ask("first")
        admission.arrive(first, 0.0, None)
        admission.take_back(first, 0.0, ROOM)
        full = msgspec.structs.replace(ROOM, available_workers=0, places=0, pause_ends_at=0.74)
        self.assertEqual(admission.advance(0.6, full), [])
        self.assertEqual(admission.advance(0.74, ROOM), [Admitted(request=first)])

    def test_the_limit_is_lowered_once_in_the_time_of_an_answer(self) -> None:
        limit = ConcurrencyLimit()
        room = msgspec.structs.replace(ROOM, places=50)
        for _ in range(30):
            limit.note_answered(1.2)
        for number in range(11):
            limit.note_refused(40, 0.1 * number)
        self.assertEqual(limit.current(room), 28)
        limit.note_refused(40, 1.25)
        self.assertEqual(limit.current(room), 19)

    def test_two_requests_under_one_id_are_two(self) -> None:
        queue = AdmissionQueue()
        first, second = ask("same"), ask("same")
        queue.push(first)
        self.assertFalse(queue.remove(second))
        queue.push(second)
        self.assertTrue(queue.remove(first))
        self.assertIs(queue.pop(0.0), second)

    def test_the_limit_ends_after_a_calm_time(self) -> None:
        admission = limited_admission()
        self.assertTrue(admission.needs_room)
        admission.arrive(ask("later", at=1.0), 1.0, ROOM)
        self.assertFalse(admission.needs_room)

    def test_a_client_that_leaves_holds_no_turn(self) -> None:
        admission = limited_admission()
        for number in range(PLACES):
            admission.arrive(ask(f"r{number}"), 0.0, ROOM)
        left, waiting = ask("left"), ask("waiting")
        admission.arrive(left, 0.0, ROOM)
        admission.arrive(waiting, 0.0, ROOM)
        admission.leave(left, 0.01)
        admission.answered(0.03, 0.03)
        self.assertEqual(admission.advance(0.03, ROOM), [Admitted(request=waiting)])

    def test_callers_come_back_at_different_times_within_what_they_have(self) -> None:
        waits = [retry_after_seconds(f"r{number}", 0.2, 1.5) for number in range(50)]
        self.assertGreater(len(set(waits)), 30)
        self.assertTrue(all(0.2 <= wait <= 0.3 for wait in waits))
        capped = [retry_after_seconds(f"r{number}", 5.0, 1.5) for number in range(50)]
        self.assertGreater(len(set(capped)), 30)
        self.assertTrue(all(0.33 <= wait <= 0.5 for wait in capped))


class RoomTest(unittest.TestCase):
    def test_workers_that_pause_for_a_moment_still_count(self) -> None:
        world = ServingWorld(node_count=0)
        for number in (1, 2, 3):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        directory = WorkerDirectory()
        directory.replace_all(world.workers.entries())
        records = directory.of_service(LOOKUPS)
        self.assertEqual(room_of(records, 0.0).places, 3 * (4 + 1))
        for number in (1, 2, 3):
            directory.pause(BackendId(f"lookup-{number}"), 0.0, 0.05)
        room = room_of(records, 0.0)
        self.assertEqual((room.available_workers, room.places), (0, 15))
        self.assertEqual(room.pause_ends_at, 0.05)
        directory.pause(BackendId("lookup-3"), 0.0, 0.8)
        self.assertEqual(room_of(records, 0.0).places, 10)
        directory.observe_load(
            BackendId("lookup-1"), WorkerLoad(running=4, waiting=2, slots=4), 0.0
        )
        self.assertEqual(room_of(records, 0.0).places, 6)


class ForwarderAdmissionTest(unittest.TestCase):
    """A node before a service whose workers refuse for a moment."""

    def forwarder(self, world: ServingWorld) -> Forwarder:
        for number in (1, 2, 3):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        return forwarder_of(world.clock, world.workers)

    def set_full(self, world: ServingWorld, *, full: bool) -> None:
        for number in (1, 2, 3):
            world.workers[f"lookup-{number}"].faults.full = full

    def test_requests_outlast_a_moment_in_which_all_workers_are_full(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.set_full(world, full=True)
            sends = [
                asyncio.ensure_future(forwarder.forward(route(), request(f"r{number}")))
                for number in range(5)
            ]
            await asyncio.sleep(0.12)
            self.set_full(world, full=False)
            answers = await asyncio.gather(*sends)
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertLess(world.clock.monotonic(), 0.5)

        play(scenario)

    def test_a_burst_beyond_the_workers_places_is_served_whole(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            sends = (forwarder.forward(route(), request(f"r{number}")) for number in range(90))
            answers = await asyncio.gather(*sends)
            self.assertEqual(len(answers), 90)
            self.assertLess(world.clock.monotonic(), 0.75)

        play(scenario)

    def test_a_client_that_leaves_while_it_waits_reaches_no_worker(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.set_full(world, full=True)
            task = asyncio.ensure_future(forwarder.forward(route(), request("gone")))
            await asyncio.sleep(0.03)
            task.cancel()
            await asyncio.sleep(0.0)
            self.set_full(world, full=False)
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers.runs, [])

        play(scenario)

    def test_a_rejected_request_has_not_run_and_its_caller_is_told_when_to_come_back(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.set_full(world, full=True)
            with self.assertRaises(NoWorkerError) as raised:
                await forwarder.forward(route(RequestKind.AT_MOST_ONCE), request())
            self.assertEqual(raised.exception.execution, Execution.NOT_RUN)
            wait_seconds = raised.exception.retry_after_seconds
            assert wait_seconds is not None
            self.assertLessEqual(wait_seconds, (1.5 - world.clock.monotonic()) / 3)
            self.set_full(world, full=False)
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers.runs, [])

        play(scenario)


class RankTest(unittest.TestCase):
    def configuration(self, *priorities: int) -> RoutingConfiguration:
        routes = tuple(
            msgspec.structs.replace(
                route(),
                name=f"route-{number}",
                priority=priority,
                shares=(ServiceShare(service=LOOKUPS, weight=1.0),),
            )
            for number, priority in enumerate(priorities)
        )
        return RoutingConfiguration(version=1, routes=routes, limits=RequestLimits())

    def test_workers_are_told_ranks_only_where_several_meet(self) -> None:
        self.assertEqual(self.configuration(2, 2).ranks_at(LOOKUPS), {2})
        self.assertEqual(self.configuration(2, 0).ranks_at(LOOKUPS), {0, 2})
        self.assertEqual(self.configuration(2, 0).ranks_at("other"), set())
        keys = KeyTable(owners={}, priorities={TenantName("a"): 1})
        ranked = msgspec.structs.replace(self.configuration(2), keys=keys)
        self.assertEqual(ranked.ranks_at(LOOKUPS), {1, 2})


if __name__ == "__main__":
    unittest.main()
