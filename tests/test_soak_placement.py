"""Tests of the soak's zones: checks of evacuations, cold workers and regions, and its stand-ins."""

import asyncio
import base64
import unittest

import msgspec
from drumbay_soak.body_watch import BodyWatch, item_body
from drumbay_soak.checks import MIN_CHECKED_CALLS, check
from drumbay_soak.fault_plan import (
    MODIFIER_KINDS,
    PLACEMENT_KINDS,
    RESTRICTION_KINDS,
    Fault,
    FaultKind,
    FaultSchedule,
    draw_faults,
)
from drumbay_soak.history import (
    AcceptedConfiguration,
    BatchHistory,
    BodySeen,
    ClientCall,
    Evacuation,
    History,
    Restriction,
)
from drumbay_soak.zones import EVACUATION_SECONDS

from drumbay.clock import SystemClock
from drumbay.identifiers import BackendId
from drumbay.standins.worker_log import LoggedArrival
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.tenants.records import TenantName
from drumbay.workers.records import Worker, WorkerBrokenError, WorkerRefusedError, WorkerRequest

STARTED_AT = 1_000.0
TENANT = TenantName("t")


def arrival(at: float, zone: str = "zone-1", **changes: object) -> LoggedArrival:
    arrived = LoggedArrival(
        worker_id=BackendId(f"worker-{zone}"),
        service="application",
        zone=zone,
        request_id=f"r{at}",
        target="/lookup/x",
        at=STARTED_AT + at,
    )
    return msgspec.structs.replace(arrived, **changes)


def fault(kind: FaultKind, at: float) -> Fault:
    return Fault(start_seconds=at, kind=kind, target=0, duration_seconds=1.0)


def configuration(
    version: int, at: float, restriction: Restriction | None = None
) -> AcceptedConfiguration:
    return AcceptedConfiguration(
        version=version, accepted_at=STARTED_AT + at, restriction=restriction
    )


class PlacementChecksTest(unittest.TestCase):
    def history(self, *faults: Fault) -> History:
        return History(
            started_at=STARTED_AT,
            faults=faults,
            cold_limits={"application": 3.0},
            regions={"zone-1": "north", "zone-2": "north", "zone-3": "south"},
            node_zones=("zone-1", "zone-3"),
            tenant=TENANT,
        )

    def assert_violations(self, history: History, promise: str, count: int) -> None:
        self.assertEqual([found.promise for found in check(history)], [promise] * count)

    def evacuated(self, *faults: Fault) -> History:
        history = self.history(*faults)
        evacuation = Evacuation(zone="zone-1", accepted_at=STARTED_AT, removed_at=STARTED_AT + 10.0)
        history.evacuations = [evacuation]
        return history

    def test_a_request_that_reaches_an_evacuated_zone(self) -> None:
        history = self.evacuated()
        allowed = [arrival(EVACUATION_SECONDS), arrival(10.0), arrival(8.0, "zone-2")]
        history.arrivals = allowed
        self.assertEqual(check(history), ())
        history.arrivals = [*allowed, arrival(EVACUATION_SECONDS + 0.1), arrival(9.9)]
        self.assert_violations(history, "evacuated_zones_get_nothing", 2)

    def test_nodes_out_of_touch_may_not_know_of_an_evacuation(self) -> None:
        for kind, count in ((FaultKind.STORE_CUT, 1), (FaultKind.NODE_KILLED, 2)):
            history = self.evacuated(fault(kind, 4.0))
            history.arrivals = [arrival(7.9), arrival(8.1)]
            self.assert_violations(history, "evacuated_zones_get_nothing", count)

    def test_a_cold_worker_that_gets_too_many_requests(self) -> None:
        history = self.history()
        cold = [arrival(at, is_cold=True) for at in (1.0, 1.5, 1.9, 2.0)]
        warm = [arrival(1.6), arrival(1.7)]
        other = [arrival(1.8, "zone-2", is_cold=True)]
        history.arrivals = [*cold, *warm, *other]
        self.assertEqual(check(history), ())
        history.arrivals.append(arrival(2.4, is_cold=True))
        self.assert_violations(history, "cold_workers_get_few", 1)
        history.faults = (fault(FaultKind.WORKER_SILENT, 1.2),)
        self.assertEqual(check(history), ())

    def restricted(self, restriction: Restriction) -> History:
        """Return a history whose restriction is changed from the north to the south."""
        history = self.history()
        north = msgspec.structs.replace(restriction, region="north")
        south = msgspec.structs.replace(restriction, region="south")
        history.configurations = [
            configuration(1, 0.0),
            configuration(2, 5.0, north),
            configuration(3, 10.0, south),
            configuration(4, 15.0),
        ]
        return history

    def test_a_restricted_request_that_reaches_another_region(self) -> None:
        history = self.restricted(Restriction(region="", routes=frozenset({"lookup"})))
        promise = "restricted_requests_stay_in_their_regions"
        for at, zone, count in (
            (6.9, "zone-3", 0),
            (7.1, "zone-3", 1),
            (11.9, "zone-2", 0),
            (12.1, "zone-2", 1),
            (12.1, "zone-3", 0),
            (15.1, "zone-2", 0),
        ):
            history.arrivals = [arrival(at, zone)]
            self.assert_violations(history, promise, count)
        history.arrivals = [arrival(7.1, "zone-3", target="/other/x")]
        self.assertEqual(check(history), ())

    def test_a_restriction_of_a_tenant_binds_its_requests_only(self) -> None:
        history = self.restricted(Restriction(region="", tenant=TENANT))
        history.arrivals = [
            arrival(8.0, "zone-3", tenant=TENANT),
            arrival(8.0, "zone-3", tenant=TenantName("crowd")),
            arrival(8.0, "zone-3"),
        ]
        self.assert_violations(history, "restricted_requests_stay_in_their_regions", 1)

    def test_a_body_that_reaches_a_node_outside(self) -> None:
        history = self.restricted(Restriction(region="", routes=frozenset({"alpha"})))
        batch = BatchHistory(
            batch_id="b", item_ids=("i",), minimum_version=1, attempts=3, route="alpha"
        )
        history.batches = [batch]
        history.bodies_seen = [
            BodySeen(node=node, batch_id="b", at=STARTED_AT + 8.0) for node in (0, 1)
        ]
        self.assert_violations(history, "bodies_stay_in_their_regions", 1)
        batch.submitted_to.add(1)
        self.assertEqual(check(history), ())
        batch.submitted_to.clear()
        batch.route = "beta"
        self.assertEqual(check(history), ())

    def test_lookups_are_judged_during_one_restriction_but_not_during_two(self) -> None:
        """Guards against lookups lost in an evacuated zone, which leaves workers enough."""
        evacuation = fault(FaultKind.ZONE_EVACUATED, 0.5)
        for second in (FaultKind.REGIONS_RESTRICTED, FaultKind.LOOKUP_CROWD):
            for faults, is_broken in (
                ((evacuation,), True),
                ((evacuation, fault(second, 0.6)), False),
            ):
                history = self.history(*faults)
                history.calls = [
                    ClientCall(
                        request_id=str(n),
                        node=0,
                        boot=1,
                        sent_at=STARTED_AT + 1.0,
                        ended_at=STARTED_AT + 1.1,
                        may_repeat=True,
                        status=504,
                    )
                    for n in range(MIN_CHECKED_CALLS)
                ]
                found = {violation.promise for violation in check(history)}
                self.assertEqual(found, {"lookups_are_served"} if is_broken else set())


class PlacementPlanTest(unittest.TestCase):
    schedule = FaultSchedule(length_seconds=120.0, node_count=4, worker_count=9, zone_count=3)

    def test_other_faults_of_a_seed_stay_as_they_were(self) -> None:
        others = frozenset(FaultKind) - set(PLACEMENT_KINDS)
        only_others = msgspec.structs.replace(self.schedule, kinds=others)
        for seed in range(20):
            self.assertEqual(
                [f for f in draw_faults(seed, self.schedule) if f.kind not in PLACEMENT_KINDS],
                [
                    f
                    for f in draw_faults(seed, only_others)
                    if f.kind not in MODIFIER_KINDS or f in draw_faults(seed, self.schedule)
                ],
            )

    def test_restrictions_outlast_their_bounds_and_every_zone_is_drawn(self) -> None:
        drawn = [f for seed in range(50) for f in draw_faults(seed, self.schedule)]
        restrictions = [f for f in drawn if f.kind in RESTRICTION_KINDS]
        shortest = min(f.duration_seconds for f in restrictions)
        self.assertGreater(shortest, EVACUATION_SECONDS + 2.0)
        for kind in (FaultKind.ZONE_EVACUATED, FaultKind.WORKERS_COLD):
            self.assertEqual({f.target for f in drawn if f.kind is kind}, {0, 1, 2})


class BodyWatchTest(unittest.TestCase):
    def test_bodies_are_recognized_between_nodes_and_in_calls_of_the_store(self) -> None:
        body = b"\x83" + item_body("batch-000012-3") + b"." * 40 + b"body of lookup-1;"
        value = base64.b64encode(body)
        watch = BodyWatch()
        watch.observe(1, body)
        watch.observe_store_call(2, b'{"value": "' + value + b'"}')
        watch.observe_store_call(3, b'{"value":"' + value[:50])
        seen = [(found.node, found.batch_id) for found in watch.seen]
        self.assertEqual(seen, [(node, "batch-000012") for node in (1, 2, 3)])


class ColdWorkersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.pool = EmulatedWorkerPool(SystemClock(), response_seconds=0.0)
        self.worker = self.pool.add("w", "application", zone="zone-3").worker
        self.published: list[Worker] = []
        self.pool.add_listener(self.published.append)

    async def call(self) -> None:
        await self.pool.call(
            self.worker,
            WorkerRequest(
                request_id="r",
                method="GET",
                target="/lookup/x",
                host="h",
                headers=(),
                body=b"",
                budget_seconds=1.0,
                resume_after=None,
                repeatable=True,
            ),
        )

    async def test_requests_are_logged_with_zone_and_warm_up_even_if_refused(self) -> None:
        await self.call()
        self.pool.turn_cold("w", 10.0)
        self.pool["w"].faults.full = True
        with self.assertRaises(WorkerRefusedError):
            await self.call()
        logged = [(arrived.zone, arrived.is_cold) for arrived in self.pool.arrivals]
        self.assertEqual(logged, [("zone-3", False), ("zone-3", True)])

    async def test_an_unannounced_warm_up_is_announced_later_and_ends(self) -> None:
        self.pool.turn_cold("w", 0.2, unannounced_seconds=0.05)
        self.assertEqual(self.pool.entries()[0].warm_up_left_seconds, 0.0)
        self.assertEqual(self.published, [])
        await asyncio.sleep(0.3)
        left = [entry.warm_up_left_seconds for entry in self.published]
        self.assertTrue(0.0 < left[0] < 0.2, left)
        self.assertEqual(left[1:], [0.0])

    async def test_a_cold_worker_ends_above_its_rate_and_a_warm_one_does_not(self) -> None:
        self.pool.cold_crash_rates["application"] = 2.0
        for _ in range(3):
            await self.call()
        self.pool.turn_cold("w", 10.0)
        for _ in range(2):
            await self.call()
        await asyncio.sleep(0)
        self.assertEqual(self.pool.crashes, [])
        with self.assertRaises(WorkerBrokenError):
            await self.call()
        self.assertEqual(len(self.pool.crashes), 1)


if __name__ == "__main__":
    unittest.main()
