"""A machine that was elected and gave no order does not shorten the turn of the one before it.

Symptom: a worker got orders of two machines 2.87 s apart, though turns are 3 s, in a soak with
planned stops of all nodes that overlapped. Sequence: a leader gives an order and stops; its
successor stops within its quiet time; that machine is elected again after its restart. Cause: it
finds itself noted as the last leader (``leader_elected successor=false``) and waits for nobody.
"""

import asyncio
import unittest

from tests.serving_world import ServingWorld, WorldNode, play

TURN_SECONDS = 3.0


class LeaderTurnsTest(unittest.TestCase):
    def test_a_successor_that_restarts_in_its_quiet_time_still_waits_for_the_turn(self) -> None:
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
            again = WorldNode(world, 2, 2)
            again.lead()
            for _ in range(100):
                await asyncio.sleep(0.05)
                now = world.clock.monotonic()
                if now - ordered_at < TURN_SECONDS:
                    self.assertIsNone(again.leader.fence(now))

        play(scenario)


if __name__ == "__main__":
    unittest.main()
