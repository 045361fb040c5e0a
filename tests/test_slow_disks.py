"""Ownership, replica sets and claims on disks whose writes take seconds.

Timeouts for durable replies must exceed the commit time of a busy disk: with shorter ones no
attempt to take over a stream, to form a replica set or to claim a booking ever succeeds.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from loguru import logger

from drumbay.claims.member_timeouts import UNRESPONSIVE_CALL_TIMEOUT_SECONDS
from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed
from drumbay.comm.interface import Address
from drumbay.delivery.exceptions import QuorumUnavailableError
from drumbay.delivery.quorum import ReplicaView
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.replicated_log import DeliveryParameters
from drumbay.delivery.service import DeliveryService
from drumbay.identifiers import BootId, Epoch, Fence, StreamName
from drumbay.node.node import Node
from drumbay.rollout.sample import RolloutPrompt
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.runner import run_scenario
from drumbay.simulation.scenario import find_scenario
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.simulation.virtual_time import run_simulation
from drumbay.storage.interface import StoreId
from drumbay.storage.simulated_log import SimulatedDisk, SimulatedLog
from drumbay.tasks import TaskOwner
from tests.claims_world import Settings, World

STREAM = StreamName("drafts")
LOCATION = Location(zone="callao", region="lima")
REPLICA_COUNT = 3

BUSY_COMMIT_SECONDS = 2.1

SUCCESSOR_SECONDS = 30.0
"""Time limit for replacing a paused owner, including its lease."""

LEASE_SECONDS = 15.0
RETRY_SECONDS = 0.5

ONE_SECOND_CALLS = DeliveryParameters(call_timeout_seconds=1.0)
"""Fault: calls to replicas time out before a busy disk has committed the reply."""


def setUpModule() -> None:
    logger.remove()


class SlowDisksTest(unittest.TestCase):
    def takes_over_in_time(self, parameters: DeliveryParameters | None = None) -> bool:
        """Return whether a successor takes the stream over and records a step in time.

        The third replica, on the previous owner's node, is frozen.
        """
        return run_simulation(lambda: self._take_over_in_time(parameters))

    async def _take_over_in_time(self, parameters: DeliveryParameters | None) -> bool:
        network = SimulatedNetwork(random.Random(1), LatencyModel(), Trace(kept_events=0))
        hosts = [
            SimulatedHost(f"node-{number}", Address(f"10.0.0.{number + 1}", 7000), LOCATION)
            for number in range(REPLICA_COUNT)
        ]
        transports = [self._start_replica(network, host) for host in hosts]
        hosts[-1].freeze()
        view = ReplicaView(epoch=Epoch(1), members=tuple(host.address for host in hosts))
        successor = DeliveryService(
            transports[0],
            hosts[0].clock(),
            TaskOwner(),
            BootId("boot"),
            lambda: view,
            parameters=parameters,
        )
        takeover = hosts[0].process.spawn(self._take_over_and_submit(successor), "successor")
        done, _ = await asyncio.wait([takeover], timeout=SUCCESSOR_SECONDS - LEASE_SECONDS)
        takeover.cancel()
        return bool(done)

    @staticmethod
    def _start_replica(network: SimulatedNetwork, host: SimulatedHost) -> SimulatedTransport:
        network.add_host(host)
        transport = SimulatedTransport(network, host.address, host.start())
        log = SimulatedLog(
            SimulatedDisk(),
            "streams",
            clock=host.clock(),
            new_store_id=StoreId(host.name),
            commit_seconds=BUSY_COMMIT_SECONDS,
        )
        host.process.run(DeliveryReplica(transport, log, lambda: Epoch(1)).start)
        return transport

    @staticmethod
    async def _take_over_and_submit(successor: DeliveryService) -> None:
        """Take the stream over and submit a step, with retries."""
        prompts = (RolloutPrompt(text="prompt", group="1", max_tokens=4, seed=1),)
        while True:
            try:
                if STREAM not in successor.owned_streams:
                    await successor.take_over(STREAM, Fence(2))
                await successor.submit_step(STREAM, 0, prompts)
                return
            except QuorumUnavailableError:
                await asyncio.sleep(RETRY_SECONDS)

    def test_stream_is_taken_over_on_busy_disks(self) -> None:
        self.assertFalse(self.takes_over_in_time(ONE_SECOND_CALLS))
        self.assertTrue(self.takes_over_in_time())


class ReplicaSetTest(unittest.TestCase):
    """Replica sets form and replace members on busy disks.

    A member must durably store the order that lets it vote before it replies.
    """

    def run_world(self, scenario: Callable[[World], Awaitable[None]]) -> None:
        async def main() -> None:
            world = World(settings=Settings(commit_seconds=BUSY_COMMIT_SECONDS, disk_nodes=4))
            for name in world.hosts:
                world.start(name)
            await scenario(world)

        run_simulation(main)

    @staticmethod
    async def wait_active(world: World, epoch: int) -> bool:
        deadline = world.clock.monotonic() + SUCCESSOR_SECONDS
        while world.clock.monotonic() < deadline:
            found = world.replica_set()
            if found is not None and found.is_active and found.epoch >= epoch:
                return True
            await world.clock.sleep(0.1)
        return False

    def test_first_replica_set_forms(self) -> None:
        async def scenario(world: World) -> None:
            self.assertTrue(await self.wait_active(world, epoch=1))

        self.run_world(scenario)

    def test_frozen_member_is_replaced(self) -> None:
        async def scenario(world: World) -> None:
            self.assertTrue(await self.wait_active(world, epoch=1))
            first = world.replica_set()
            assert first is not None
            world.hosts[first.members[0].node_id].freeze()
            self.assertTrue(await self.wait_active(world, epoch=first.epoch + 1))

        self.run_world(scenario)


class BookingTest(unittest.TestCase):
    """Bookings succeed on busy disks and fail fast without a responsive majority."""

    def run_world(
        self, scenario: Callable[[World], Awaitable[None]], *, commit_seconds: float
    ) -> None:
        async def main() -> None:
            world = World(settings=Settings(commit_seconds=commit_seconds, coordinate=True))
            await world.start_all()
            await scenario(world)

        run_simulation(main)

    def test_booking_runs_on_busy_disks(self) -> None:
        async def scenario(world: World) -> None:
            outcome = await world.call("n1", "booking", patience=SUCCESSOR_SECONDS)
            self.assertIsInstance(outcome, ClaimAnswered)
            self.assertEqual(world.violations(), [])

        self.run_world(scenario, commit_seconds=BUSY_COMMIT_SECONDS)

    def test_bookings_fail_fast_without_a_responsive_majority(self) -> None:
        async def scenario(world: World) -> None:
            for name in ("d1", "d2"):
                world.hosts[name].freeze()
            await world.call("n1", "first", patience=SUCCESSOR_SECONDS)
            for number in range(5):
                started_at = world.clock.monotonic()
                outcome = await world.call("n1", f"later-{number}", patience=SUCCESSOR_SECONDS)
                self.assertIsInstance(outcome, ClaimFailed)
                self.assertLess(
                    world.clock.monotonic() - started_at, 2 * UNRESPONSIVE_CALL_TIMEOUT_SECONDS
                )
            for name in ("d1", "d2"):
                world.hosts[name].resume()
            await world.clock.sleep(1.0)
            outcome = await world.call("n1", "back", patience=SUCCESSOR_SECONDS)
            self.assertIsInstance(outcome, ClaimAnswered)
            self.assertEqual(world.violations(), [])

        self.run_world(scenario, commit_seconds=0.0005)


class BusyDisksScenarioTest(unittest.TestCase):
    """Whole nodes under every kind of fault, on busy disks."""

    def test_no_violations(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                report = run_scenario(find_scenario("busy-disks"), seed, Node).report
                self.assertEqual(report.violations, ())


if __name__ == "__main__":
    unittest.main()
