"""Admission control: queueing order, rejection and retry delays, in virtual time."""

import asyncio
import heapq
import unittest
from collections import Counter

import msgspec

from drumbay.admission.capacity import capacity_of
from drumbay.admission.limit import ConcurrencyLimit
from drumbay.admission.queue import TURNS_PER_REWARD, AdmissionQueue
from drumbay.admission.records import (
    AdmissionRequest,
    Admitted,
    Queued,
    Rejected,
    RejectionReason,
    ServiceCapacity,
)
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
from tests.serving_world import ServingWorld, run_in_world
from tests.test_forwarding import LOOKUPS, forwarder_of, request, route

BUDGET_SECONDS = 1.5
SLOTS = 4
CAPACITY = ServiceCapacity(
    available_workers=1, max_in_flight=SLOTS, pause_ends_at=None, report_age_seconds=0.1
)


def make_request(name: str, at: float = 0.0, **fields: object) -> AdmissionRequest:
    values = {"flow": "tenant", "rank": 0, "deadline": at + BUDGET_SECONDS} | fields
    return msgspec.convert({"request_id": name, "arrived_at": at} | values, AdmissionRequest)


def overloaded_admission(seconds: float = 0.03) -> ServiceAdmission:
    """Return the admission of a service that refused a request and serves normally since."""
    admission = ServiceAdmission()
    refused = make_request("refused", at=-0.5)
    for _ in range(SLOTS * 2):
        admission.try_admit(make_request("filler", at=-0.5), -0.5, CAPACITY)
    admission.try_admit(refused, -0.5, CAPACITY)
    admission.requeue(refused, -0.5, CAPACITY)
    admission.cancel(refused, -0.5)
    for _ in range(SLOTS * 2):
        admission.complete(seconds, -0.4)
    return admission


class Replay:
    """Replays arrivals against a service with ``SLOTS`` slots and a latency of ``seconds``."""

    def __init__(self, arrivals: list[AdmissionRequest], seconds: float) -> None:
        self.admission = overloaded_admission(seconds)
        self.admitted: list[AdmissionRequest] = []
        self.rejected: list[Rejected] = []
        self.completed_at: dict[str, float] = {}
        self._seconds = seconds
        self._completions: list[tuple[float, str]] = []
        for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_at):
            self._run_until(arrival.arrived_at)
            decision = self.admission.try_admit(arrival, arrival.arrived_at, CAPACITY)
            if not isinstance(decision, Queued):
                self._apply(decision, arrival.arrived_at)
        self._run_until(60.0)

    def _run_until(self, until: float) -> None:
        while self._completions and self._completions[0][0] <= until:
            now, name = heapq.heappop(self._completions)
            self.completed_at[name] = now
            self.admission.complete(self._seconds, now)
            for decision in self.admission.dispatch(now, CAPACITY):
                self._apply(decision, now)

    def _apply(self, decision: Admitted | Rejected, now: float) -> None:
        if isinstance(decision, Rejected):
            self.rejected.append(decision)
            return
        self.admitted.append(decision.request)
        heapq.heappush(self._completions, (now + self._seconds, decision.request.request_id))

    def latency_of(self, arrival: AdmissionRequest) -> float:
        return self.completed_at[arrival.request_id] - arrival.arrived_at


class ReplayedLoadTest(unittest.TestCase):
    def test_a_large_tenants_burst_takes_no_place_of_the_others(self) -> None:
        burst = [make_request(f"large-{n}", flow="large") for n in range(200)]
        # The other tenants alone use half of the capacity.
        others = [make_request(f"small-{n}", at=0.01 + 0.015 * n, flow=f"t{n}") for n in range(80)]
        replay = Replay(burst + others, seconds=0.03)
        slowest = max(replay.latency_of(small) for small in others)
        self.assertLess(slowest, 0.15)
        rejected = {decision.request.flow for decision in replay.rejected}
        self.assertLessEqual(rejected, {"large"})
        served = sum(1 for name in replay.completed_at if name.startswith("large"))
        self.assertGreater(served, 30)

    def test_at_a_quarter_of_the_pace_what_is_served_is_in_time_and_the_rest_knows_at_once(
        self,
    ) -> None:
        arrivals = [make_request(f"r{n}", at=0.02 * n, flow=f"t{n % 9}") for n in range(250)]
        replay = Replay(arrivals, seconds=0.12)
        served = [a for a in arrivals if a.request_id in replay.completed_at]
        # Four slots of 0.12 s serve 33 requests/s; 50 requests/s arrive for five seconds.
        self.assertGreater(len(served), 0.9 * 33 * 5)
        self.assertTrue(all(replay.latency_of(a) < BUDGET_SECONDS * 0.75 for a in served))
        at_once = [d for d in replay.rejected if d.reason is RejectionReason.QUEUE_TOO_LONG]
        self.assertEqual(at_once, replay.rejected)
        for decision in at_once:
            self.assertGreater(decision.retry_after_seconds, 0.0)
            self.assertLessEqual(decision.retry_after_seconds, BUDGET_SECONDS / 3)

    def test_smaller_rank_goes_first_without_starvation(self) -> None:
        urgent = [make_request(f"u{n}", at=0.008 * n, rank=0, flow=f"t{n % 5}") for n in range(150)]
        others = [
            make_request(f"o{n}", at=0.1 * n, rank=2, flow=f"t{n % 5}", deadline=0.1 * n + 4.0)
            for n in range(10)
        ]
        replay = Replay(urgent + others, seconds=0.03)
        delays = [replay.latency_of(a) for a in urgent if a.request_id in replay.completed_at]
        self.assertGreater(len(delays), 140)
        self.assertTrue(all(other.request_id in replay.completed_at for other in others))
        self.assertLess(sum(delays) / len(delays), replay.latency_of(others[1]))

    def test_reward_requests_yield_to_lookups_but_keep_a_share(self) -> None:
        # Lookups go before reward requests, whatever their rank.
        rewards = [make_request(f"reward-{n}", flow="", is_reward=True) for n in range(60)]
        lookups = [
            make_request(f"l{n}", at=0.001 + 0.01 * n, flow=f"t{n}", rank=2) for n in range(40)
        ]
        replay = Replay(rewards + lookups, seconds=0.03)
        self.assertLess(max(replay.latency_of(lookup) for lookup in lookups), 0.1)
        order = [request.is_reward for request in replay.admitted]
        self.assertGreaterEqual(sum(order[:40]), 40 // TURNS_PER_REWARD)

    def test_lookups_that_fill_the_service_starve_no_reward_request(self) -> None:
        # 133 requests/s are served, and 200 lookups/s arrive while a step waits for its scores.
        rewards = [
            make_request(f"reward-{n}", flow="", is_reward=True, deadline=8.0) for n in range(40)
        ]
        lookups = [
            make_request(f"l{n}", at=0.001 + 0.005 * n, flow=f"t{n % 9}") for n in range(400)
        ]
        replay = Replay(rewards + lookups, seconds=0.03)
        self.assertLess(max(replay.latency_of(reward) for reward in rewards), 1.5)
        rewards_first = sum(request.is_reward for request in replay.admitted[:100])
        self.assertGreaterEqual(rewards_first, 20)
        self.assertLessEqual(rewards_first, 30)


class QueueTest(unittest.TestCase):
    def test_reward_requests_are_ordered_by_batch_age_and_priority(self) -> None:
        queue = AdmissionQueue()
        for name, started_at, priority in (("c", 2.0, 0), ("b", 1.0, 3), ("a", 1.0, 1)):
            queue.push(
                make_request(
                    name,
                    flow="",
                    is_reward=True,
                    batch_started_at=started_at,
                    batch_priority=priority,
                )
            )
        self.assertEqual([queue.pop(0.0).request_id for _ in range(3)], ["a", "b", "c"])

    def test_earliest_deadline_goes_first_within_a_flow(self) -> None:
        queue = AdmissionQueue()
        queue.push(make_request("late", deadline=2.0))
        queue.push(make_request("early", deadline=1.0))
        self.assertEqual(queue.pop(0.0).request_id, "early")

    def test_flows_take_turns_regardless_of_size(self) -> None:
        queue = AdmissionQueue()
        for number in range(6):
            queue.push(make_request(f"large-{number}", flow="large"))
        for number in range(2):
            queue.push(make_request(f"small-{number}", flow="small"))
        first = Counter(queue.pop(0.0).flow for _ in range(4))
        self.assertEqual(first, {"large": 2, "small": 2})

    def test_a_rank_rises_with_the_wait(self) -> None:
        queue = AdmissionQueue()
        queue.push(make_request("old", at=0.0, rank=2, flow="a"))
        queue.push(make_request("soon", at=0.4, rank=0, flow="b"))
        self.assertEqual(queue.pop(0.4).request_id, "soon")
        queue.push(make_request("later", at=1.01, rank=0, flow="c"))
        self.assertEqual(queue.count_ahead(make_request("x", at=1.01, rank=0, flow="d"), 1.01), 2)
        self.assertEqual(queue.pop(1.01).request_id, "old")


class ServiceAdmissionTest(unittest.TestCase):
    def test_all_requests_are_admitted_before_the_first_refusal(self) -> None:
        admission = ServiceAdmission()
        for number in range(100):
            decision = admission.try_admit(make_request(f"r{number}"), 0.0, None)
            self.assertIsInstance(decision, Admitted)
            self.assertFalse(admission.needs_capacity)

    def test_refused_request_is_queued_and_admitted_again(self) -> None:
        admission = ServiceAdmission()
        first = make_request("first")
        admission.try_admit(first, 0.0, None)
        self.assertIsInstance(admission.requeue(first, 0.0, CAPACITY), Queued)
        self.assertEqual(admission.dispatch(0.01, CAPACITY), [])
        self.assertEqual(admission.dispatch(0.06, CAPACITY), [Admitted(request=first)])

    def test_unresponsive_service_shortens_the_wait_limit(self) -> None:
        admission = ServiceAdmission()
        first = make_request("first")
        admission.try_admit(first, 0.0, None)
        admission.requeue(first, 0.0, CAPACITY)
        full = msgspec.structs.replace(
            CAPACITY, available_workers=0, max_in_flight=0, pause_ends_at=0.45
        )
        (decision,) = admission.dispatch(0.38, full)
        assert isinstance(decision, Rejected)
        self.assertEqual(decision.reason, RejectionReason.WAITED_TOO_LONG)

    def test_responsive_service_keeps_the_longer_wait_limit(self) -> None:
        admission = ServiceAdmission()
        admission.try_admit(make_request("earlier", at=-3.0), -3.0, None)
        admission.complete(0.03, -2.9)
        first = make_request("first")
        admission.try_admit(first, 0.0, None)
        admission.requeue(first, 0.0, CAPACITY)
        full = msgspec.structs.replace(
            CAPACITY, available_workers=0, max_in_flight=0, pause_ends_at=0.74
        )
        self.assertEqual(admission.dispatch(0.6, full), [])
        self.assertEqual(admission.dispatch(0.74, CAPACITY), [Admitted(request=first)])

    def test_limit_decreases_at_most_once_per_latency(self) -> None:
        limit = ConcurrencyLimit()
        capacity = msgspec.structs.replace(CAPACITY, max_in_flight=50)
        for _ in range(30):
            limit.record_response(1.2)
        for number in range(11):
            limit.record_refusal(40, 0.1 * number)
        self.assertEqual(limit.current(capacity), 28)
        limit.record_refusal(40, 1.25)
        self.assertEqual(limit.current(capacity), 19)

    def test_requests_with_the_same_id_are_distinct(self) -> None:
        queue = AdmissionQueue()
        first, second = make_request("same"), make_request("same")
        queue.push(first)
        self.assertFalse(queue.remove(second))
        queue.push(second)
        self.assertTrue(queue.remove(first))
        self.assertIs(queue.pop(0.0), second)

    def test_limit_expires_without_refusals(self) -> None:
        admission = overloaded_admission()
        self.assertTrue(admission.needs_capacity)
        admission.try_admit(make_request("later", at=1.0), 1.0, CAPACITY)
        self.assertFalse(admission.needs_capacity)

    def test_cancelled_request_does_not_hold_a_slot(self) -> None:
        admission = overloaded_admission()
        for number in range(SLOTS):
            admission.try_admit(make_request(f"r{number}"), 0.0, CAPACITY)
        left, waiting = make_request("left"), make_request("waiting")
        admission.try_admit(left, 0.0, CAPACITY)
        admission.try_admit(waiting, 0.0, CAPACITY)
        admission.cancel(left, 0.01)
        admission.complete(0.03, 0.03)
        self.assertEqual(admission.dispatch(0.03, CAPACITY), [Admitted(request=waiting)])

    def test_callers_come_back_at_different_times_within_what_they_have(self) -> None:
        delays = [retry_after_seconds(f"r{number}", 0.2, 1.5) for number in range(50)]
        self.assertGreater(len(set(delays)), 30)
        self.assertTrue(all(0.2 <= wait <= 0.3 for wait in delays))
        capped = [retry_after_seconds(f"r{number}", 5.0, 1.5) for number in range(50)]
        self.assertGreater(len(set(capped)), 30)
        self.assertTrue(all(0.33 <= wait <= 0.5 for wait in capped))


class CapacityTest(unittest.TestCase):
    def test_briefly_paused_workers_count_toward_capacity(self) -> None:
        world = ServingWorld(node_count=0)
        for number in (1, 2, 3):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        directory = WorkerDirectory()
        directory.replace_all(world.workers.entries())
        records = directory.of_service(LOOKUPS)
        self.assertEqual(capacity_of(records, 0.0).max_in_flight, 3 * (4 + 1))
        for number in (1, 2, 3):
            directory.pause(BackendId(f"lookup-{number}"), 0.0, 0.05)
        capacity = capacity_of(records, 0.0)
        self.assertEqual((capacity.available_workers, capacity.max_in_flight), (0, 15))
        self.assertEqual(capacity.pause_ends_at, 0.05)
        directory.pause(BackendId("lookup-3"), 0.0, 0.8)
        self.assertEqual(capacity_of(records, 0.0).max_in_flight, 10)
        directory.observe_load(
            BackendId("lookup-1"), WorkerLoad(running=4, waiting=2, slots=4), 0.0
        )
        self.assertEqual(capacity_of(records, 0.0).max_in_flight, 6)


class ForwarderAdmissionTest(unittest.TestCase):
    """Forwarding to a service whose workers refuse requests for a short time."""

    def forwarder(self, world: ServingWorld) -> Forwarder:
        for number in (1, 2, 3):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        return forwarder_of(world.clock, world.workers)

    def set_overloaded(self, world: ServingWorld, *, full: bool) -> None:
        for number in (1, 2, 3):
            world.workers[f"lookup-{number}"].faults.full = full

    def test_requests_survive_a_short_overload_of_all_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.set_overloaded(world, full=True)
            calls = [
                asyncio.ensure_future(forwarder.forward(route(), request(f"r{number}")))
                for number in range(5)
            ]
            await asyncio.sleep(0.12)
            self.set_overloaded(world, full=False)
            responses = await asyncio.gather(*calls)
            self.assertEqual({response.status for response in responses}, {200})
            self.assertLess(world.clock.monotonic(), 0.5)

        run_in_world(scenario)

    def test_burst_beyond_the_worker_slots_is_served_completely(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            calls = (forwarder.forward(route(), request(f"r{number}")) for number in range(90))
            responses = await asyncio.gather(*calls)
            self.assertEqual(len(responses), 90)
            self.assertLess(world.clock.monotonic(), 0.75)

        run_in_world(scenario)

    def test_request_cancelled_while_queued_reaches_no_worker(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.set_overloaded(world, full=True)
            task = asyncio.ensure_future(forwarder.forward(route(), request("gone")))
            await asyncio.sleep(0.03)
            task.cancel()
            await asyncio.sleep(0.0)
            self.set_overloaded(world, full=False)
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers.runs, [])

        run_in_world(scenario)

    def test_a_rejected_request_has_not_run_and_its_caller_is_told_when_to_come_back(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.set_overloaded(world, full=True)
            with self.assertRaises(NoWorkerError) as raised:
                await forwarder.forward(route(RequestKind.AT_MOST_ONCE), request())
            self.assertEqual(raised.exception.execution, Execution.NOT_RUN)
            wait_seconds = raised.exception.retry_after_seconds
            assert wait_seconds is not None
            self.assertLessEqual(wait_seconds, (1.5 - world.clock.monotonic()) / 3)
            self.set_overloaded(world, full=False)
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers.runs, [])

        run_in_world(scenario)


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

    def test_priority_levels_of_a_service(self) -> None:
        self.assertEqual(self.configuration(2, 2).priority_levels_of(LOOKUPS), {2})
        self.assertEqual(self.configuration(2, 0).priority_levels_of(LOOKUPS), {0, 2})
        self.assertEqual(self.configuration(2, 0).priority_levels_of("other"), set())
        keys = KeyTable(tenants_by_digest={}, priorities={TenantName("a"): 1})
        with_keys = msgspec.structs.replace(self.configuration(2), keys=keys)
        self.assertEqual(with_keys.priority_levels_of(LOOKUPS), {1, 2})


if __name__ == "__main__":
    unittest.main()
