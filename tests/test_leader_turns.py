"""Regression: orders of two leaders could be closer together than the leader's turn.

A leader that stops before its first order, and is elected again after its restart, must still wait
for the turn of its predecessor to end.
"""

import asyncio
import random
import unittest

from drumbay.kv.interface import (
    Delete,
    KeyValueOutcomeUnknownError,
    ModRevisionIs,
    Put,
    TransactionResult,
)
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.ownership.leader import LAST_LEADER_KEY, LeaderElection, LeaderRecord, LeadershipPolicy
from tests.serving_world import ServingWorld, WorldNode, run_in_world

TURN_SECONDS = 3.0


class LeaderTurnsTest(unittest.TestCase):
    def test_successor_that_restarts_before_its_first_order_waits_for_the_turn(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            first = world.nodes[0]
            first.lead()
            await asyncio.sleep(5.0)
            successor = WorldNode(world, 2, 1)
            successor.lead()
            await asyncio.sleep(1.0)
            self.assertIsNotNone(first.leader.fence(world.clock.monotonic()))
            ordered_at = world.clock.monotonic()
            await first.leader.resign()
            await first.kill()
            await asyncio.sleep(1.0)
            await successor.leader.resign()
            await successor.kill()
            restarted = WorldNode(world, 2, 2)
            restarted.lead()
            for _ in range(100):
                await asyncio.sleep(0.05)
                now = world.clock.monotonic()
                if now - ordered_at < TURN_SECONDS:
                    self.assertIsNone(restarted.leader.fence(now))

        run_in_world(scenario)


class LostResponseTest(unittest.TestCase):
    def test_lease_renewals_continue_while_responses_are_lost(self) -> None:
        """A leader that waited for this write would lose its lease."""

        async def scenario(world: ServingWorld) -> None:
            store = ResponseLosingStore(world.model, world.clock, timeout_seconds=1.0)
            first_record = LeaderRecord(machine="m1", boot="b1")
            policy = LeadershipPolicy(order_delay_seconds=0.0)
            store.loses_responses = False
            first = LeaderElection(
                world.clock, store, first_record, random.Random(1), policy, lambda: True
            )
            election_task = asyncio.ensure_future(first.run())
            await asyncio.sleep(1.0)
            election_task.cancel()
            await first.resign()
            store.loses_responses = True
            second_record = LeaderRecord(machine="m2", boot="b2")
            second = LeaderElection(
                world.clock, store, second_record, random.Random(2), policy, lambda: True
            )
            election_task = asyncio.ensure_future(second.run())
            await asyncio.sleep(1.0)
            for _ in range(200):
                await asyncio.sleep(0.05)
                now = world.clock.monotonic()
                self.assertIsNotNone(second.fence(now))
                self.assertIsNone(second.duty_fence(now))
            store.loses_responses = False
            await asyncio.sleep(2.0)
            self.assertIsNotNone(second.duty_fence(world.clock.monotonic()))
            election_task.cancel()

        run_in_world(scenario, node_count=0)


class ResponseLosingStore(MemoryKeyValueStore):
    """Store that loses the responses to writes of the last leader's key."""

    loses_responses = True

    async def transact(
        self, compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        if self.loses_responses and [operation.key for operation in operations] == [
            LAST_LEADER_KEY
        ]:
            await asyncio.sleep(1.0)
            raise KeyValueOutcomeUnknownError("lost")
        return await super().transact(compares, operations)


if __name__ == "__main__":
    unittest.main()
