"""Tests that the checker finds a violation when a safety mechanism of claims is removed."""

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
from tests.claims_world import Implementations, Settings, World

KEY = "pallet-1"
Scenario = Callable[[World], Awaitable[None]]


def setUpModule() -> None:
    logger.disable("drumbay")


def tearDownModule() -> None:
    logger.enable("drumbay")


class SingleVoteQuorum(ClaimService):
    def create_claimant(self, claim: Claim, replica_set: ReplicaSet) -> Claimant:
        class SingleVoteClaimant(Claimant):
            @property
            def votes_needed(self) -> int:
                return 1

        return SingleVoteClaimant(claim, replica_set)


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


class NoStoreIdentityCheck(Acceptor):
    def _check_request(self, request: ClaimKey) -> ClaimRejection | None:
        return None


class SealNotEnforced(Acceptor):
    def _check_request(self, request: ClaimKey) -> ClaimRejection | None:
        reason = super()._check_request(request)
        return None if reason is ClaimRejection.SEALED else reason


class NoStateCopy(Reconfigurator):
    async def copy_records(self, sources: tuple[ReplicaMember, ...], current: ReplicaSet) -> None:
        return


class ReplyBeforeDurable(ClaimReplica):
    async def make_durable(self, decision: AcceptorDecision) -> Message:
        self._task_owner.spawn(super().make_durable(decision), "later")
        return decision.reply


async def dispatchers_on_both_sides_of_a_partition(world: World) -> None:
    """One dispatcher reaches only one replica, the other one reaches the other two."""
    await world.start_all()
    world.cut("n1", "d2")
    world.cut("n1", "d3")
    world.cut("n2", "d1")
    await world.call("n1", KEY)
    await world.call("n2", KEY)


async def release_overtakes_claim(world: World) -> None:
    """The claims of an abandoned attempt arrive after its releases."""
    await world.start_all()
    world.network.latency = LatencyModel(same_zone_seconds=1.0, same_region_seconds=1.0)
    first = world.nodes["n1"].process.spawn(world.call("n1", KEY), "caller")
    await world.clock.sleep(0.4)
    world.network.latency = LatencyModel()
    await first
    await world.clock.sleep(2.0)
    await world.call("n2", KEY)


async def majority_loses_its_disks(world: World) -> None:
    """After an execution without answer, two of three disks are lost and the third node is down."""
    await world.start_all()
    await world.call("n1", KEY, "broken")
    await world.kill("d3")
    await world.restart("d1", lose_disk=True)
    await world.restart("d2", lose_disk=True)
    await world.clock.sleep(5.0)
    await world.call("n2", KEY)


async def change_members(world: World, names: tuple[str, ...]) -> None:
    """Start a change to these nodes and wait until it is complete."""
    current = world.replica_set()
    assert current is not None
    world.request_change(current, world.members(names))
    while (newest := world.replica_set()) is None or newest.epoch == current.epoch:
        await world.clock.sleep(0.1)


async def stale_dispatcher_during_change(world: World) -> None:
    """A dispatcher with an old replica set claims at the two replaced members."""
    await world.start_all()
    old_set = world.replica_set()
    await change_members(world, ("d1", "d4", "d5"))
    world.nodes["n1"].view = lambda: old_set
    await world.call("n1", KEY, "broken")
    await world.call("n2", KEY)


async def change_after_execution(world: World) -> None:
    """After an execution without answer, two of three members are replaced."""
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
    """Two replicas are killed and restarted before the claim is written to their disks."""
    await world.start_all()
    first = world.nodes["n1"].process.spawn(world.call("n1", KEY, "broken"), "caller")
    await world.clock.sleep(0.03)
    await world.restart("d1")
    await world.restart("d2")
    await first
    await world.clock.sleep(1.0)
    await world.call("n2", KEY)


async def frozen_longer_than_retention(world: World) -> None:
    """A dispatcher is frozen while it waits for votes until its claim has expired."""
    await world.start_all()
    first = world.nodes["n1"].process.spawn(world.call("n1", KEY, patience=60.0), "caller")
    await world.clock.sleep(0.0012)
    world.hosts["n1"].freeze()
    await world.clock.sleep(30.0)
    await world.call("n2", KEY)
    world.hosts["n1"].resume()
    await first


SHORT_RETENTION = TableLimits(retention_seconds=20.0)
FIVE_DISKS = Settings(disk_nodes=5)


class MechanismTest(unittest.TestCase):
    def run_scenario(
        self, scenario: Scenario, implementations: Implementations | None, settings: Settings | None
    ) -> World:
        async def main() -> World:
            world = World(implementations, settings)
            await scenario(world)
            await world.clock.sleep(5.0)
            return world

        return run_simulation(main)

    def assert_needed(
        self,
        scenario: Scenario,
        mutation: Implementations,
        settings: Settings | None = None,
        mutated_settings: Settings | None = None,
    ) -> None:
        """Assert that the scenario fails with the mutation and passes without it."""
        unmodified = self.run_scenario(scenario, None, settings)
        self.assertEqual(unmodified.violations(), [])
        self.assertEqual(len(unmodified.executions), 1)
        mutated = self.run_scenario(scenario, mutation, mutated_settings or settings)
        self.assertEqual(mutated.violations(), [f"{KEY} ran 2 times"])

    def test_quorum_is_needed(self) -> None:
        self.assert_needed(
            dispatchers_on_both_sides_of_a_partition, Implementations(service=SingleVoteQuorum)
        )

    def test_store_identity_is_needed(self) -> None:
        self.assert_needed(majority_loses_its_disks, Implementations(acceptor=NoStoreIdentityCheck))

    def test_seal_is_needed(self) -> None:
        self.assert_needed(
            stale_dispatcher_during_change, Implementations(acceptor=SealNotEnforced), FIVE_DISKS
        )

    def test_state_copy_is_needed(self) -> None:
        self.assert_needed(
            change_after_execution, Implementations(reconfigurator=NoStateCopy), FIVE_DISKS
        )

    def test_claim_is_kept_after_broken_exchange(self) -> None:
        self.assert_needed(
            retry_after_broken_exchange, Implementations(service=ReleaseAfterBrokenExchange)
        )

    def test_durable_claim_before_reply_is_needed(self) -> None:
        self.assert_needed(
            replicas_killed_before_commit,
            Implementations(replica=ReplyBeforeDurable),
            Settings(commit_seconds=0.05),
        )

    def test_age_limit_of_a_claim_is_needed(self) -> None:
        self.assert_needed(
            frozen_longer_than_retention,
            Implementations(),
            Settings(limits=SHORT_RETENTION),
            Settings(
                limits=SHORT_RETENTION,
                policy=ClaimPolicy(max_claim_age_seconds=inf, vote_timeout_seconds=inf),
            ),
        )

    def test_tombstone_is_needed(self) -> None:
        """Without it, a late claim blocks a key for which nothing ran."""
        # The voting round times out before the claims arrive after one second.
        settings = Settings(policy=ClaimPolicy(vote_timeout_seconds=0.5))
        unmodified = self.run_scenario(release_overtakes_claim, None, settings)
        self.assertIsInstance(unmodified.calls[-1].outcome, ClaimAnswered)
        without_tombstone = Implementations(acceptor=NoTombstone)
        mutated = self.run_scenario(release_overtakes_claim, without_tombstone, settings)
        outcome = mutated.calls[-1].outcome
        assert isinstance(outcome, ClaimFailed)
        self.assertIs(outcome.failure, ClaimFailure.IN_PROGRESS)
        self.assertEqual(mutated.executions, [])
