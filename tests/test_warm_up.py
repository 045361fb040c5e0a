"""Which workers count as cold, and each node's part of the starts at them: pure decisions."""

import math
import random
import unittest
from collections.abc import Mapping
from unittest.mock import patch

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.routes import RouteTable
from drumbay.forwarding.worker_choice import WorkerSnapshot, choose_worker
from drumbay.identifiers import BackendId
from drumbay.placement import start_limits
from drumbay.placement.cold_workers import ColdReason, ColdWorkers
from drumbay.placement.start_limits import (
    SAFE_SENDERS,
    WINDOW_SECONDS,
    Senders,
    StartLimits,
    budget_of,
    part_of,
    rank_of,
    warm_part_of,
)
from drumbay.placement.warm_up import WarmUp, WarmUpTolerance
from drumbay.serving.warm_up import (
    ASSUMED_OWNERS,
    OWNER_LEARNING_SECONDS,
    SENDER_MEMORY_SECONDS,
    START_LEARNING_SECONDS,
    KnownSenders,
)
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerState, WorkerStatus
from drumbay.workers.worker_record import WorkerChange

WARM_UP = WarmUp(service="engines", seconds=20.0, requests_per_second=12.0)
TOLERANCE = WarmUpTolerance(factor=1.5, extra_requests=5.0)
LIMIT = 23
W = BackendId("w")
WORKER = Worker(
    worker_id=W,
    service="engines",
    address=NetworkAddress("w", 80),
    zone="zone-2",
    slots=64,
    state=WorkerState.READY,
    versions={},
    started_at_ms=1_000,
)


def entry(left_seconds: float = 0.0, started_at_ms: int = 1_000) -> Worker:
    """Return an entry of the worker."""
    return msgspec.structs.replace(
        WORKER, warm_up_left_seconds=left_seconds, started_at_ms=started_at_ms
    )


def addresses(count: int, first: int = 0) -> tuple[NetworkAddress, ...]:
    """Return the addresses of some nodes."""
    return tuple(NetworkAddress(f"10.0.0.{number}", 1) for number in range(first, first + count))


class ColdWorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cold = ColdWorkers()

    def reason(self, now: float) -> ColdReason | None:
        period = self.cold.last_period(W, WARM_UP.seconds)
        return period.reason if now < period.until else None

    def check_cold_until(self, until: float, reason: ColdReason) -> None:
        self.assertEqual(self.reason(until - 0.1), reason)
        self.assertIsNone(self.reason(until))

    def test_time_left_in_an_entry_counts_from_its_arrival(self) -> None:
        # An entry may be old when it arrives; counting from its writing could end too early.
        self.cold.handle_entry(entry(left_seconds=8.0), WorkerChange.LISTED, now=100.0)
        self.check_cold_until(108.0, ColdReason.REPORTED)

    def test_an_entry_read_again_does_not_prolong(self) -> None:
        # An entry replayed with each snapshot would keep its worker cold for ever.
        for now in (100.0, 105.0):
            self.cold.handle_entry(entry(left_seconds=8.0), WorkerChange.UPDATED, now)
        self.check_cold_until(108.0, ColdReason.REPORTED)

    def test_a_later_entry_without_time_left_does_not_shorten(self) -> None:
        # The entry may have been written before the worker turned cold.
        self.cold.handle_response(W, 8.0, asked_at=99.9, now=100.0)
        self.cold.handle_entry(entry(), WorkerChange.UPDATED, now=101.0)
        self.check_cold_until(108.0, ColdReason.REPORTED)

    def test_a_worker_turns_cold_again(self) -> None:
        for now in (100.0, 200.0):
            self.cold.handle_entry(entry(left_seconds=8.0), WorkerChange.UPDATED, now)
            self.check_cold_until(now + 8.0, ColdReason.REPORTED)
            self.cold.handle_entry(entry(), WorkerChange.UPDATED, now + 20.0)

    def test_assumed_causes_last_for_the_warm_up_time(self) -> None:
        # Each is a moment after which a worker has lost its caches, whatever its entry says.
        self.cold.handle_entry(entry(), WorkerChange.STARTED, now=100.0)
        self.check_cold_until(120.0, ColdReason.STARTED)
        self.cold.handle_zone_return(W, now=300.0)
        self.check_cold_until(320.0, ColdReason.ZONE_RETURNED)

    def test_an_unreachable_worker_is_cold_until_some_time_after_it_responds(self) -> None:
        # A node that does not try it for a while would count it as warm at its return.
        self.cold.handle_contact(W, now=100.0, is_reachable=False)
        self.check_cold_until(160.0, ColdReason.WAS_UNREACHABLE)
        self.cold.handle_contact(W, now=150.0, is_reachable=True)
        self.check_cold_until(170.0, ColdReason.WAS_UNREACHABLE)

    def test_only_a_later_response_ends_what_was_assumed(self) -> None:
        # A response to a request of before the event was made by the process of before.
        self.cold.handle_zone_return(W, now=100.0)
        self.cold.handle_response(W, 0.0, asked_at=99.0, now=101.0)
        self.cold.handle_response(W, None, asked_at=101.0, now=101.0)
        self.assertIsNotNone(self.reason(102.0))
        self.cold.handle_response(W, 0.0, asked_at=101.0, now=102.0)
        self.assertIsNone(self.reason(102.0))

    def test_unlisted_workers_are_forgotten(self) -> None:
        # States of workers that were replaced would add up.
        self.cold.handle_zone_return(W, now=100.0)
        self.cold.forget_except(())
        self.assertIsNone(self.reason(100.0))


class DirectoryListenerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = WorkerDirectory()
        self.changes: list[WorkerChange] = []
        self.contacts: list[bool] = []
        self.directory.add_entry_listener(lambda worker, change: self.changes.append(change))
        self.directory.add_contact_listener(lambda worker_id, is_up: self.contacts.append(is_up))

    def test_only_the_first_snapshot_lists_workers_without_a_start(self) -> None:
        # A node that starts must not take all workers for cold, nor miss a start later.
        self.directory.replace_all([entry()])
        self.directory.put(entry())
        self.directory.put(entry(started_at_ms=2_000))
        self.directory.remove(W)
        self.directory.put(entry(started_at_ms=2_000))
        expected = ["listed", "updated", "started", "started"]
        self.assertEqual(self.changes, expected)

    def test_an_entry_that_lapsed_with_the_store_is_no_start(self) -> None:
        # After each outage of the store all workers would count as cold though they ran on.
        self.directory.replace_all([entry()])
        self.directory.replace_all([], missing_until=10.0)
        self.directory.put(entry())
        self.assertEqual(self.changes[-1], WorkerChange.UPDATED)

    def test_a_status_report_reveals_a_start_and_the_time_left(self) -> None:
        left: list[float | None] = []
        self.directory.add_warm_up_listener(lambda w, seconds, asked_at, now: left.append(seconds))
        self.directory.replace_all([entry()])
        status = WorkerStatus(
            busy=False, sequence=0, versions={}, started_at_ms=2_000, warm_up_left_seconds=9.0
        )
        self.directory.apply_status(W, status, now=1.0, asked_at=0.9)
        self.assertEqual(self.changes[-1], WorkerChange.STARTED)
        self.assertEqual(left, [9.0])

    def test_one_broken_connection_is_no_lost_contact(self) -> None:
        # All runs of a worker break at once; it must not count as cold at this node for that.
        self.directory.replace_all([entry()])
        self.directory.observe_failure(W, now=2.0)
        self.directory.observe_failure(W, now=2.1)
        self.directory.observe_response(W, None, now=3.0)
        self.assertEqual(self.contacts, [])

    def test_a_connection_that_cannot_be_opened_is_lost_contact_at_once(self) -> None:
        # Its choice among others may not try the worker again before it is back.
        self.directory.replace_all([entry()])
        self.directory.observe_failure(W, now=2.0, is_unreachable=True)
        self.assertEqual(self.contacts, [False])

    def test_an_unreachable_worker_and_its_first_response_are_reported(self) -> None:
        self.directory.replace_all([entry()])
        self.directory.observe_failure(W, now=2.0)
        self.directory.observe_failure(W, now=5.0)
        self.assertEqual(self.contacts, [False])
        self.directory.observe_acceptance(W, "m")
        self.directory.observe_acceptance(W, "m")
        self.assertEqual(self.contacts, [False, True])


class PartTest(unittest.TestCase):
    def total(self, budget: int, view: tuple[str, ...]) -> int:
        return sum(part_of(budget, len(view), rank_of(view, node, W)) for node in view)

    def warm_part(self, budget: int, view: tuple[str, ...], node: str) -> int:
        return warm_part_of(budget, len(view), rank_of(view, node, W))

    def warm_total(self, budget: int, view: tuple[str, ...]) -> int:
        return sum(self.warm_part(budget, view, node) for node in view)

    def test_parts_of_one_view_add_up_to_the_budget(self) -> None:
        # Rounding up each part would exceed the limit with many nodes; down, waste most of it.
        for count in (1, 4, 11, 85, 410):
            view = tuple(str(address) for address in addresses(count))
            self.assertEqual(self.total(11, view), 11)

    def test_disjoint_views_stay_within_the_limit(self) -> None:
        # Nodes that lost each other both believe that the limit is theirs.
        budget = budget_of(WARM_UP, TOLERANCE, is_cold=True)
        generator = random.Random(1)
        names = [str(address) for address in addresses(85)]
        for size in (1, 2, 7, 40, 80):
            generator.shuffle(names)
            total = self.total(budget, tuple(names[:size])) + self.total(
                budget, tuple(names[size:])
            )
            self.assertLessEqual(total, LIMIT)

    def test_one_unknown_sender_fits_in_while_not_known_to_be_cold(self) -> None:
        budget = budget_of(WARM_UP, TOLERANCE, is_cold=False)
        self.assertEqual(budget, LIMIT)
        for count in range(1, 40):
            view = tuple(str(address) for address in addresses(count))
            for unknown in (f"10.9.9.{number}:1" for number in range(20)):
                part = self.warm_part(budget, (*view, unknown), unknown)
                self.assertLessEqual(self.warm_total(budget, view) + part, LIMIT)

    def test_a_few_senders_that_know_nothing_of_each_other_stay_within_the_limit(self) -> None:
        # Jobs of several trainers arrive at once, before the owners have heard of each other.
        alone = [self.warm_part(LIMIT, (f"n{n}",), f"n{n}") for n in range(SAFE_SENDERS)]
        self.assertLessEqual(sum(alone), LIMIT)
        self.assertGreaterEqual(min(alone), 3)

    def test_some_sender_always_has_a_start(self) -> None:
        # A worker whose starts were all kept for senders that do not exist would get nothing.
        for budget in range(1, LIMIT + 1):
            for count in range(1, 40):
                view = tuple(str(address) for address in addresses(count))
                self.assertGreater(self.warm_total(budget, view), 0, (budget, count))

    def test_workers_have_different_chosen_senders(self) -> None:
        # If the same few nodes were chosen everywhere, the others could send nothing.
        view = tuple(str(address) for address in addresses(85))
        chosen = {
            node
            for number in range(60)
            for node in view
            if part_of(11, len(view), rank_of(view, node, BackendId(f"w{number}")))
        }
        self.assertGreater(len(chosen), 80)

    def test_a_cold_budget_is_at_most_the_rate_and_at_least_one(self) -> None:
        wide = WarmUpTolerance(factor=10.0)
        self.assertEqual(budget_of(WARM_UP, wide, is_cold=True), 12)
        slow = WarmUp(service="engines", seconds=1.0, requests_per_second=0.5)
        self.assertEqual(budget_of(slow, WarmUpTolerance(), is_cold=True), 1)


class _FixedSenders:
    def __init__(self, senders: Senders) -> None:
        self.known = senders

    def senders(self, service: str, now: float) -> Senders:
        del service, now
        return self.known


class StartLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cold = ColdWorkers()
        self.warm_ups: Mapping[str, WarmUp] = {"engines": WARM_UP}
        names = ("a", "b", "c", "d")
        self.view = _FixedSenders(Senders(nodes=names, warm_nodes=names))
        self.limits = StartLimits(
            "a", lambda: self.warm_ups, TOLERANCE, self.cold, self.view, created_at=0.0
        )

    def remaining(self, now: float) -> float:
        return self.limits.remaining_starts(WORKER, now)

    def test_services_without_a_rate_are_not_limited(self) -> None:
        self.warm_ups = {}
        self.cold.handle_zone_return(W, now=10.0)
        self.assertEqual(self.remaining(10.0), math.inf)
        self.assertFalse(self.limits.is_cold(WORKER, 10.0))

    def test_clients_requests_are_limited_only_at_cold_workers(self) -> None:
        # With many nodes a part of each warm worker would refuse most requests.
        self.view.known = Senders(nodes=("a", "b"))
        self.assertEqual(self.remaining(10.0), math.inf)
        self.cold.handle_zone_return(W, now=10.0)
        self.assertLessEqual(self.remaining(10.0), 6)

    def test_clients_requests_return_to_a_warm_worker_gradually(self) -> None:
        # All nodes would send to it in the same moment, as the least recently used one.
        self.view.known = Senders(nodes=("a",))
        self.cold.handle_zone_return(W, now=10.0)
        warm_at = 10.0 + WARM_UP.seconds
        allowed = [self.remaining(warm_at + seconds) for seconds in (-0.1, 0.0, 1.0, 2.0, 6.0)]
        self.assertEqual(allowed, [11, 11, 22, 44, math.inf])

    def test_any_second_counts(self) -> None:
        # A count per calendar second would allow twice the part around its end.
        part = int(self.remaining(10.0))
        self.assertEqual(part, 3)
        for number in range(part):
            self.limits.record_start(WORKER, 10.0 + 0.2 * number)
        self.assertEqual(self.remaining(10.99), 0)
        self.assertEqual(self.remaining(11.1), 1)

    def test_the_next_start_is_when_the_oldest_one_that_counts_has_passed(self) -> None:
        # A request would wait for a start that never comes, or be rejected just before one.
        part = int(self.remaining(10.3))
        for number in range(part + 1):
            self.assertEqual(self.limits.next_start_at(WORKER, 10.3) > 10.3, number >= part)
            self.limits.record_start(WORKER, 10.0 + 0.1 * number)
        expected = self.limits.next_start_at(WORKER, 10.3)
        self.assertEqual(expected, 10.1 + WINDOW_SECONDS)
        self.assertEqual(self.remaining(expected - 0.01), 0)
        self.assertEqual(self.remaining(expected), 1)

    def test_there_is_no_next_start_without_a_part(self) -> None:
        names = tuple(str(address) for address in addresses(85))
        ranked = sorted(names, key=lambda name: rank_of(names, name, W))
        for own, has_part in ((ranked[0], True), (ranked[-1], False)):
            view = _FixedSenders(Senders(nodes=names, warm_nodes=names))
            limits = StartLimits(own, lambda: self.warm_ups, TOLERANCE, self.cold, view, 0.0)
            self.assertEqual(limits.next_start_at(WORKER, 10.0) == 10.0, has_part)
            self.assertEqual(math.isinf(limits.next_start_at(WORKER, 10.0)), not has_part)

    def test_a_worker_that_turns_cold_counts_the_starts_of_before(self) -> None:
        for _ in range(3):
            self.limits.record_start(WORKER, 10.0)
        self.cold.handle_zone_return(W, now=10.1)
        self.assertEqual(self.remaining(10.1), 0)
        self.assertTrue(self.limits.is_cold(WORKER, 10.1))

    def test_a_new_process_waits_for_the_starts_of_the_one_before(self) -> None:
        # A process restarted within a second would take its part twice.
        self.assertEqual(self.remaining(0.9), 0)
        self.assertGreater(self.remaining(1.1), 0)

    def test_a_changed_view_changes_the_part_at_once(self) -> None:
        self.assertEqual(self.remaining(10.0), 3)
        names = tuple("abcdefghijkl")
        self.view.known = Senders(nodes=names, warm_nodes=names)
        self.assertLessEqual(self.remaining(10.0), 2)

    def test_ranks_are_kept_while_the_budget_changes(self) -> None:
        # With hundreds of nodes and cold workers, each choice after a change would stall the node.
        self.view.known = Senders(nodes=("a", "b"))
        self.cold.handle_zone_return(W, now=10.0)
        with patch.object(start_limits, "rank_of", return_value=0) as worked_out:
            for now in (10.0, 11.0, 31.0, 32.0, 33.0):
                self.remaining(now)
                self.limits.forget_except({W}, now)
            self.assertEqual(worked_out.call_count, 1)
            self.limits.forget_except((), 34.0)
            self.remaining(34.0)
            self.assertEqual(worked_out.call_count, 2)


class KnownSendersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.owners = set(addresses(4))
        self.nodes = addresses(5)
        self.known = KnownSenders(addresses(1)[0], RouteTable(), created_at=0.0)
        self.is_out_of_touch = False
        self.known.connect(
            lambda: self.owners,
            lambda: self.nodes,
            lambda: self.is_out_of_touch,
        )

    def names(self, now: float) -> tuple[str, ...]:
        return self.known.senders("engines", now).nodes

    def warm_count(self, now: float) -> int:
        return len(self.known.senders("engines", now).warm_nodes or ())

    def test_a_new_node_assumes_owners_that_it_does_not_know(self) -> None:
        # It would otherwise take the part of a node alone beside the parts of all others.
        self.names(START_LEARNING_SECONDS - 1.8)
        self.assertEqual(len(self.names(START_LEARNING_SECONDS - 0.1)), ASSUMED_OWNERS)
        self.assertEqual(len(self.names(START_LEARNING_SECONDS + 0.1)), 4)

    def test_a_new_owner_assumes_others_that_begin_with_it(self) -> None:
        # Jobs of several trainers arrive at once, before the owners have heard of each other.
        own = addresses(1)[0]
        self.owners.remove(own)
        self.assertEqual(len(self.names(20.0)), ASSUMED_OWNERS)
        self.owners.add(own)
        self.assertEqual(len(self.names(20.2)), ASSUMED_OWNERS)
        self.assertEqual(self.warm_count(20.2), 4)
        self.assertEqual(len(self.names(20.3 + OWNER_LEARNING_SECONDS)), 4)

    def test_a_node_out_of_touch_assumes_owners_that_it_has_not_heard_of(self) -> None:
        # Several nodes cut off one by one would each take the part of a node alone.
        self.names(20.0)
        self.assertEqual(len(self.names(21.8)), 4)
        self.is_out_of_touch = True
        self.assertEqual(len(self.names(22.0)), ASSUMED_OWNERS)

    def test_an_owner_counts_on_for_a_while(self) -> None:
        # Owners of one step end as those of the next begin, within the same second.
        self.names(20.0)
        self.assertEqual(len(self.names(22.0)), 4)
        self.owners = {addresses(1)[0], *addresses(2, first=7)}
        self.assertEqual(len(self.names(22.2)), 6)
        self.assertEqual(len(self.names(21.9 + SENDER_MEMORY_SECONDS)), 6)
        self.assertEqual(len(self.names(22.3 + SENDER_MEMORY_SECONDS)), 3)


class ChoiceTest(unittest.TestCase):
    def test_warm_workers_come_first_at_equal_cost(self) -> None:
        # The least recently used worker would be the one that is just back, for every node.
        cold = WorkerSnapshot(worker_id=BackendId("cold"), slots=4, is_cold=True)
        warm = WorkerSnapshot(worker_id=BackendId("warm"), slots=4, last_run_at=9.0)
        chosen = choose_worker([cold, warm], typical_seconds=0.1, machine="m", now=10.0)
        assert chosen is not None
        self.assertEqual(chosen.worker_id, "warm")
