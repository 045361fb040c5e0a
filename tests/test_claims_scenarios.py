"""Each mechanism of the claims, with and without it: the checker tells the difference."""

import unittest
from collections.abc import Awaitable, Callable
from math import inf

import msgspec
from loguru import logger

from drumbay.claims.acceptor import Acceptor, AcceptorDecision
from drumbay.claims.claimant import Claimant
from drumbay.claims.messages import ClaimKey, ClaimRejection, ReleaseClaim
from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimFailure
from drumbay.claims.policy import ClaimPolicy
from drumbay.claims.reconfigurator import Reconfigurator
from drumbay.claims.record_table import TableLimits
from drumbay.claims.records import Claim
from drumbay.claims.replica import ClaimReplica
from drumbay.claims.replica_set import ReplicaMember, ReplicaSet
from drumbay.claims.service import ClaimService
from drumbay.comm.interface import Message
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.virtual_time import run_simulation
from tests.claims_world import Classes, Settings, World

KEY = "pallet-1"
Scenario = Callable[[World], Awaitable[None]]


def setUpModule() -> None:
    logger.disable("drumbay")


def tearDownModule() -> None:
    logger.enable("drumbay")


class OneGrantSuffices(ClaimService):
    def create_claimant(self, claim: Claim, replica_set: ReplicaSet) -> Claimant:
        class OneVote(Claimant):
            @property
            def votes_needed(self) -> int:
                return 1

        return OneVote(claim, replica_set)


class ReleaseAfterBrokenExchange(ClaimService):
    @staticmethod
    def proves_not_run(error: Exception) -> bool:
        return True


class NoTombstone(Acceptor):
    def release(self, request: ReleaseClaim, now: float) -> AcceptorDecision:
        decision = super().release(request, now)
        record = self.table.get(request.key, now)
        assert record is not None
        return msgspec.structs.replace(
            decision, rows=(self.table.put(msgspec.structs.replace(record, released=())),)
        )


class EmptyStoreVotes(Acceptor):
    def _rejection_of(self, request: ClaimKey) -> ClaimRejection | None:
        return None


class SealIgnored(Acceptor):
    def _rejection_of(self, request: ClaimKey) -> ClaimRejection | None:
        reason = super()._rejection_of(request)
        return None if reason is ClaimRejection.SEALED else reason


class NoStateCopy(Reconfigurator):
    async def copy_records(self, sources: tuple[ReplicaMember, ...], current: ReplicaSet) -> None:
        return


class ReplyBeforeDurable(ClaimReplica):
    async def make_durable(self, decision: AcceptorDecision) -> Message:
        self._task_owner.spawn(super().make_durable(decision), "later")
        return decision.reply


async def two_sides_of_a_partition(world: World) -> None:
    """One dispatcher reaches one replica, the other one reaches the other two."""
    await world.start_all()
    world.cut("n1", "d2")
    world.cut("n1", "d3")
    world.cut("n2", "d1")
    await world.call("n1", KEY)
    await world.call("n2", KEY)


async def release_overtakes_claim(world: World) -> None:
    """The claims of a dispatcher that gave up arrive after its releases."""
    await world.start_all()
    world.network.latency = LatencyModel(same_zone_seconds=1.0, same_region_seconds=1.0)
    first = world.nodes["n1"].process.spawn(world.call("n1", KEY), "caller")
    await world.clock.sleep(0.4)
    world.network.latency = LatencyModel()
    await first
    await world.clock.sleep(2.0)
    await world.call("n2", KEY)


async def majority_loses_its_disks(world: World) -> None:
    """After an execution without answer two of three disks are lost, the third is down."""
    await world.start_all()
    await world.call("n1", KEY, "broken")
    await world.kill("d3")
    await world.restart("d1", lose_disk=True)
    await world.restart("d2", lose_disk=True)
    await world.clock.sleep(5.0)
    await world.call("n2", KEY)


async def change_members(world: World, names: tuple[str, ...]) -> None:
    """Order a change to these nodes and wait until it is complete."""
    current = world.replica_set()
    assert current is not None
    world.order_change(current, world.members(names))
    while (newest := world.replica_set()) is None or newest.epoch == current.epoch:
        await world.clock.sleep(0.1)


async def stale_dispatcher_during_change(world: World) -> None:
    """A dispatcher that has not heard of the change claims at the two replaced members."""
    await world.start_all()
    old_set = world.replica_set()
    await change_members(world, ("d1", "d4", "d5"))
    world.nodes["n1"].view = lambda: old_set
    await world.call("n1", KEY, "broken")
    await world.call("n2", KEY)


async def change_after_execution(world: World) -> None:
    """Two of three members are replaced after an execution without answer."""
    await world.start_all()
    await world.call("n1", KEY, "broken")
    await change_members(world, ("d1", "d4", "d5"))
    await world.call("n2", KEY)


async def retry_after_broken_exchange(world: World) -> None:
    await world.start_all()
    await world.call("n1", KEY, "broken")
    await world.clock.sleep(1.0)
    await world.call("n2", KEY)


async def replicas_killed_before_commit(world: World) -> None:
    """Two replicas are killed and restarted while the claim is on its way to their disks."""
    await world.start_all()
    first = world.nodes["n1"].process.spawn(world.call("n1", KEY, "broken"), "caller")
    await world.clock.sleep(0.03)
    await world.restart("d1")
    await world.restart("d2")
    await first
    await world.clock.sleep(1.0)
    await world.call("n2", KEY)


async def frozen_longer_than_retention(world: World) -> None:
    """A dispatcher is stopped while it waits for votes; its claim expires meanwhile."""
    await world.start_all()
    first = world.nodes["n1"].process.spawn(world.call("n1", KEY, patience=60.0), "caller")
    await world.clock.sleep(0.0012)
    world.hosts["n1"].freeze()
    await world.clock.sleep(30.0)
    await world.call("n2", KEY)
    world.hosts["n1"].wake()
    await first


SHORT_RETENTION = TableLimits(retention_seconds=20.0)
FIVE_DISKS = Settings(disk_nodes=5)


class MechanismTest(unittest.TestCase):
    def run_scenario(
        self, scenario: Scenario, classes: Classes | None, settings: Settings | None
    ) -> World:
        async def main() -> World:
            world = World(classes, settings)
            await scenario(world)
            await world.clock.sleep(5.0)
            return world

        return run_simulation(main)

    def assert_needed(
        self,
        scenario: Scenario,
        mutation: Classes,
        settings: Settings | None = None,
        mutated_settings: Settings | None = None,
    ) -> None:
        """Assert that the scenario is violated with the mutation and only with it."""
        sound = self.run_scenario(scenario, None, settings)
        self.assertEqual(sound.violations(), [])
        self.assertEqual(len(sound.executions), 1)
        mutated = self.run_scenario(scenario, mutation, mutated_settings or settings)
        self.assertEqual(mutated.violations(), [f"{KEY} ran 2 times"])

    def test_quorum_is_needed(self) -> None:
        self.assert_needed(two_sides_of_a_partition, Classes(service=OneGrantSuffices))

    def test_store_identity_is_needed(self) -> None:
        self.assert_needed(majority_loses_its_disks, Classes(acceptor=EmptyStoreVotes))

    def test_seal_is_needed(self) -> None:
        self.assert_needed(
            stale_dispatcher_during_change, Classes(acceptor=SealIgnored), FIVE_DISKS
        )

    def test_state_copy_is_needed(self) -> None:
        self.assert_needed(change_after_execution, Classes(reconfigurator=NoStateCopy), FIVE_DISKS)

    def test_claim_must_stay_after_broken_exchange(self) -> None:
        self.assert_needed(retry_after_broken_exchange, Classes(service=ReleaseAfterBrokenExchange))

    def test_claim_must_be_durable_before_the_reply(self) -> None:
        self.assert_needed(
            replicas_killed_before_commit,
            Classes(replica=ReplyBeforeDurable),
            Settings(commit_seconds=0.05),
        )

    def test_age_limit_of_a_claim_is_needed(self) -> None:
        self.assert_needed(
            frozen_longer_than_retention,
            Classes(),
            Settings(limits=SHORT_RETENTION),
            Settings(
                limits=SHORT_RETENTION,
                policy=ClaimPolicy(max_claim_age_seconds=inf, vote_timeout_seconds=inf),
            ),
        )

    def test_tombstone_is_needed(self) -> None:
        """Without it a key on which nothing ever ran can no longer be used."""
        # The dispatcher gives up before its claims arrive after a second.
        settings = Settings(policy=ClaimPolicy(vote_timeout_seconds=0.5))
        sound = self.run_scenario(release_overtakes_claim, None, settings)
        self.assertIsInstance(sound.calls[-1].outcome, ClaimAnswered)
        forgetful = Classes(acceptor=NoTombstone)
        mutated = self.run_scenario(release_overtakes_claim, forgetful, settings)
        outcome = mutated.calls[-1].outcome
        assert isinstance(outcome, ClaimFailed)
        self.assertIs(outcome.failure, ClaimFailure.IN_PROGRESS)
        self.assertEqual(mutated.executions, [])
