"""Tests of ownership in a simulated cluster, with and without its safety mechanisms."""

import asyncio
import functools
import random
import unittest
from collections.abc import Callable

import msgspec
from loguru import logger

from drumbay.bench.ownership_cluster import (
    OrderReceiver,
    OwnershipClaim,
    OwnershipCluster,
    OwnershipNode,
    find_invalid_claims,
    find_stale_orders,
    read_ownership_periods,
)
from drumbay.identifiers import Fence
from drumbay.kv.interface import Delete
from drumbay.ownership.fence_guard import FenceGuard
from drumbay.ownership.lease_state import LeaseDecision, LeaseEvent, LeaseHeld, LeaseState
from drumbay.ownership.records import OWNERSHIP_PREFIX, ChangeReason, OwnershipParameters, Standing
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_records import ChangeCause, LoggedChange

NAME = "stream/drafts"
PARAMETERS = OwnershipParameters()
OUTAGE = KeyValueFaults(outage=True)
HEALTHY = KeyValueFaults()


def setUpModule() -> None:
    logger.disable("drumbay")


def tearDownModule() -> None:
    logger.enable("drumbay")


class UncheckedFenceGuard(FenceGuard):
    """Fault: the receiver accepts every fence."""

    def admit(self, name: str, fence: Fence) -> None:
        del name, fence


class ReceiptTimeLeaseState(LeaseState):
    """Fault: validity is measured from the receipt of the response."""

    def handle(self, now: float, event: LeaseEvent) -> tuple[LeaseDecision, ...]:
        if isinstance(event, LeaseHeld):
            event = msgspec.structs.replace(event, sent_at=now)
        return super().handle(now, event)


def standings(node: OwnershipNode) -> list[tuple[Standing, ChangeReason]]:
    return [(change.standing, change.reason) for change in node.changes]


async def start_pair(seed: int = 1) -> tuple[OwnershipCluster, OwnershipNode, OwnershipNode]:
    """Return a cluster of two nodes, the owner and the other node."""
    cluster = OwnershipCluster(seed=seed, node_count=2)
    for node in cluster.nodes.values():
        node.start([NAME])
    owner = await cluster.wait_for_owner(NAME)
    # The other candidate first reads the owners within this time.
    await asyncio.sleep(PARAMETERS.standby_spread_seconds)
    (other,) = [node for node in cluster.nodes.values() if node is not owner]
    return cluster, owner, other


async def pause_owner_before_an_order(guard: FenceGuard) -> OrderReceiver:
    """Freeze the owner between its check and its order until another node takes over."""
    cluster, owner, other = await start_pair()
    receiver = OrderReceiver(guard)
    for node in cluster.nodes.values():
        node.start_sending_orders(NAME, receiver, gap_seconds=0.5)
    await asyncio.sleep(5.25)
    owner.host.freeze()
    await asyncio.sleep(60.0)
    owner.host.resume()
    await asyncio.sleep(10.0)
    assert {order.node for order in receiver.accepted} == {owner.host.name, other.host.name}
    return receiver


async def partition_owner(guard: FenceGuard) -> tuple[OrderReceiver, OwnershipNode]:
    """Partition only the owner from the key-value store for three minutes."""
    cluster, owner, _ = await start_pair()
    receiver = OrderReceiver(guard)
    for node in cluster.nodes.values():
        node.start_sending_orders(NAME, receiver, gap_seconds=0.5)
    owner.store.reachable = False
    await asyncio.sleep(180.0)
    owner.store.reachable = True
    await asyncio.sleep(10.0)
    assert {order.node for order in receiver.accepted} == set(cluster.nodes)
    return receiver, owner


async def claim_under_faults(
    seed: int, make_state: Callable[[OwnershipParameters], LeaseState]
) -> tuple[OwnershipCluster, list[OwnershipClaim]]:
    """Sample claims during random delays, lost responses, outages and freezes."""
    cluster = OwnershipCluster(seed=seed, node_count=3, make_state=make_state)
    generator = random.Random(seed)
    claims: list[OwnershipClaim] = []
    for node in cluster.nodes.values():
        node.start([NAME])
    for _ in range(12):
        faults = KeyValueFaults(
            outage=generator.random() < 0.2,
            request_delay_seconds=generator.choice([0.0, 0.1, 1.0]),
            answer_delay_seconds=generator.choice([0.0, 0.1, 3.5]),
            lost_answer_probability=generator.choice([0.0, 0.3]),
            lost_request_probability=generator.choice([0.0, 0.3]),
        )
        cluster.model.set_faults(faults)
        node = generator.choice(list(cluster.nodes.values()))
        if generator.random() < 0.5:
            node.host.freeze()
        claims.extend(await cluster.run_for(generator.uniform(5.0, 30.0), [NAME]))
        node.host.resume()
    return cluster, claims


class FencingTest(unittest.TestCase):
    def test_order_of_paused_owner_is_rejected(self) -> None:
        receiver = run_simulation(lambda: pause_owner_before_an_order(FenceGuard()))
        self.assertEqual(find_stale_orders(receiver.accepted), [])
        self.assertEqual(receiver.refused, 1)

    def test_checker_reports_paused_owner_without_fence_check(self) -> None:
        receiver = run_simulation(lambda: pause_owner_before_an_order(UncheckedFenceGuard()))
        self.assertEqual(len(find_stale_orders(receiver.accepted)), 1)

    def test_order_of_partitioned_owner_is_rejected(self) -> None:
        receiver, owner = run_simulation(lambda: partition_owner(FenceGuard()))
        self.assertEqual(find_stale_orders(receiver.accepted), [])
        self.assertEqual(receiver.refused, 1)
        self.assertEqual(
            standings(owner)[1:4],
            [
                (Standing.SUSPENDED, ChangeReason.VALIDITY_ENDED),
                (Standing.UNCONFIRMED, ChangeReason.SERVICE_UNREACHABLE),
                (Standing.NOT_HELD, ChangeReason.SUPERSEDED),
            ],
        )

    def test_checker_reports_partitioned_owner_without_fence_check(self) -> None:
        receiver, _ = run_simulation(lambda: partition_owner(UncheckedFenceGuard()))
        self.assertGreater(len(find_stale_orders(receiver.accepted)), 100)


class ClaimTest(unittest.TestCase):
    def test_claims_end_before_the_lease_expires(self) -> None:
        total = 0
        for seed in range(10):
            scenario = functools.partial(claim_under_faults, seed, LeaseState)
            cluster, claims = run_simulation(scenario)
            self.assertEqual(find_invalid_claims(cluster.model, claims), [], f"seed {seed}")
            total += len(claims)
        self.assertGreater(total, 1000)

    def test_checker_reports_claims_measured_from_receipt(self) -> None:
        invalid_claims: list[OwnershipClaim] = []
        for seed in range(10):
            scenario = functools.partial(claim_under_faults, seed, ReceiptTimeLeaseState)
            cluster, claims = run_simulation(scenario)
            invalid_claims.extend(find_invalid_claims(cluster.model, claims))
            if invalid_claims:
                break
        self.assertNotEqual(invalid_claims, [])

    def test_same_seed_gives_the_same_history(self) -> None:
        logs = [
            run_simulation(lambda: claim_under_faults(3, LeaseState))[0].model.log for _ in range(2)
        ]
        self.assertEqual(logs[0], logs[1])


class FailureTest(unittest.TestCase):
    """Tests single failures and the changes that the nodes report."""

    def test_freeze_longer_than_the_lease(self) -> None:
        async def scenario() -> None:
            cluster, owner, other = await start_pair()
            first = owner.manager.valid_fence(NAME, cluster.model.now())
            owner.host.freeze()
            await asyncio.sleep(60.0)
            second = other.manager.valid_fence(NAME, cluster.model.now())
            assert first is not None and second is not None
            self.assertGreater(second, first)
            now = cluster.model.now()
            self.assertIs(owner.manager.standing(NAME, now), Standing.SUSPENDED)
            self.assertIsNone(owner.manager.fence_to_continue(NAME, now))
            owner.host.resume()
            await asyncio.sleep(1.0)
            # The watch events received during the freeze are processed first.
            self.assertEqual(standings(owner)[-1], (Standing.NOT_HELD, ChangeReason.KEY_REMOVED))

        run_simulation(scenario)

    def test_outage_longer_than_the_lease(self) -> None:
        async def scenario() -> None:
            cluster, owner, other = await start_pair()
            fence = owner.manager.valid_fence(NAME, cluster.model.now())
            cluster.model.set_faults(OUTAGE)
            await asyncio.sleep(600.0)
            now = cluster.model.now()
            self.assertIsNone(owner.manager.valid_fence(NAME, now))
            self.assertEqual(owner.manager.fence_to_continue(NAME, now), fence)
            self.assertEqual(other.changes, [])
            cluster.model.set_faults(HEALTHY)
            await cluster.wait_for_owner(NAME)
            self.assertEqual(
                standings(owner)[:4],
                [
                    (Standing.VALID, ChangeReason.CAMPAIGN_WON),
                    (Standing.SUSPENDED, ChangeReason.VALIDITY_ENDED),
                    (Standing.UNCONFIRMED, ChangeReason.SERVICE_UNREACHABLE),
                    (Standing.NOT_HELD, ChangeReason.KEY_REMOVED),
                ],
            )
            fences = [reign.fence for reign in read_ownership_periods(cluster.model, NAME)]
            self.assertEqual(len(fences), 2)
            self.assertLess(fences[0], fences[1])

        run_simulation(scenario)

    def test_outage_shorter_than_the_lease_changes_nothing(self) -> None:
        async def scenario() -> None:
            cluster, owner, _ = await start_pair()
            cluster.model.set_faults(OUTAGE)
            await asyncio.sleep(6.0)
            cluster.model.set_faults(HEALTHY)
            await asyncio.sleep(30.0)
            self.assertEqual(len(owner.changes), 1)
            self.assertEqual(len(read_ownership_periods(cluster.model, NAME)), 1)

        run_simulation(scenario)

    def test_lost_responses_to_grant_and_campaign(self) -> None:
        async def scenario() -> None:
            cluster = OwnershipCluster(seed=1, node_count=1)
            node = cluster.nodes["node-000"]
            cluster.model.set_faults(KeyValueFaults(lost_answers=1))

            def lose_campaign_response() -> None:
                # The first grant lost its response, so the campaign follows the second grant.
                if len(cluster.model.log) == 2:
                    cluster.model.remove_listener(lose_campaign_response)
                    cluster.model.set_faults(KeyValueFaults(lost_answers=1))

            cluster.model.add_listener(lose_campaign_response)
            node.start([NAME])
            await cluster.wait_for_owner(NAME)
            (reign,) = read_ownership_periods(cluster.model, NAME)
            (change,) = node.changes
            self.assertEqual(change.fence, reign.fence)
            self.assertEqual(cluster.model.injector.unanswered, 2)

        run_simulation(scenario)

    def test_two_nodes_without_knowledge_of_each_other(self) -> None:
        async def scenario() -> None:
            cluster = OwnershipCluster(seed=1, node_count=2)
            cluster.live_members = lambda observer: [observer]
            for node in cluster.nodes.values():
                node.start([NAME])
            claims = await cluster.run_for(30.0, [NAME])
            self.assertEqual(len({claim.node for claim in claims}), 1)
            self.assertEqual(len(read_ownership_periods(cluster.model, NAME)), 1)
            await cluster.nodes[claims[0].node].host.kill()
            successor = await cluster.wait_for_owner(NAME)
            self.assertNotEqual(successor.host.name, claims[0].node)

        run_simulation(scenario)

    def test_graceful_stop_hands_over_immediately(self) -> None:
        async def scenario() -> None:
            cluster, owner, _ = await start_pair()
            stopped_at = cluster.model.now()
            await owner.manager.stop()
            await owner.host.kill()
            await cluster.wait_for_owner(NAME)
            self.assertLess(cluster.model.now() - stopped_at, 1.0)
            self.assertEqual(standings(owner)[-1], (Standing.NOT_HELD, ChangeReason.RESIGNED))

        run_simulation(scenario)

    def test_withdrawal_keeps_other_resources(self) -> None:
        async def scenario() -> None:
            cluster = OwnershipCluster(seed=1, node_count=1)
            node = cluster.nodes["node-000"]
            node.start(["a", "b"])
            await cluster.wait_for_owner("a")
            await cluster.wait_for_owner("b")
            await node.manager.withdraw("a")
            await asyncio.sleep(100.0)
            claims = cluster.claims(["a", "b"])
            self.assertEqual([claim.name for claim in claims], ["b"])
            self.assertIsNone(await node.manager.find_owner("a"))

        run_simulation(scenario)

    def test_key_removed_by_operator(self) -> None:
        async def scenario() -> None:
            cluster, owner, _ = await start_pair()
            cluster.model.transact((), (Delete(key=OWNERSHIP_PREFIX + NAME),))
            await asyncio.sleep(0.01)
            self.assertEqual(standings(owner)[1], (Standing.NOT_HELD, ChangeReason.KEY_REMOVED))
            await cluster.wait_for_owner(NAME)

        run_simulation(scenario)

    def test_stalled_watch_delays_successor_until_next_full_read(self) -> None:
        async def scenario() -> None:
            cluster, owner, other = await start_pair()
            cluster.model.set_faults(KeyValueFaults(watches_stalled=True))
            await owner.host.kill()
            limit_seconds = PARAMETERS.ttl_seconds + 1.5 * PARAMETERS.resync_interval_seconds
            self.assertIs(await cluster.wait_for_owner(NAME, limit_seconds), other)

        run_simulation(scenario)

    def test_resources_are_spread_and_only_those_of_a_dead_node_move(self) -> None:
        async def scenario() -> None:
            names = [f"group/{index}" for index in range(40)]
            cluster = OwnershipCluster(seed=1, node_count=10)
            for node in cluster.nodes.values():
                node.start(names)
            await asyncio.sleep(10.0)
            before = {claim.name: claim for claim in cluster.claims(names)}
            self.assertEqual(len(before), 40)
            owners = [claim.node for claim in before.values()]
            self.assertLessEqual(max(owners.count(name) for name in cluster.nodes), 10)
            await cluster.nodes["node-003"].host.kill()
            await asyncio.sleep(30.0)
            after = {claim.name: claim for claim in cluster.claims(names)}
            moved = [
                name
                for name in names
                if before[name]
                != msgspec.structs.replace(after[name], at_seconds=before[name].at_seconds)
            ]
            self.assertEqual(moved, [name for name in names if before[name].node == "node-003"])
            expired = [
                entry
                for entry in cluster.model.log
                if isinstance(entry, LoggedChange) and entry.cause is ChangeCause.LEASE_EXPIRED
            ]
            self.assertEqual(len(expired), 1)

        run_simulation(scenario)
