"""A stream whose replicas' disks are slow still gets an owner.

What happened: the test of real processes (``tests.test_processes``) failed once beside heavy other
work, since no node owned the stream within 30 s of its owner's pause. With writers that filled
the page cache beside it (a small fsync took 2.1 s at the 99th percentile, 8.5 s at most), the
nodes' logs said why, again and again, and trainers' steps were refused with 503:

    take_over_failed error=quorum_unavailable
        detail="reply_lost: no reply within 1.000 s; reply_lost: no reply within 1.000 s"

Why: an owner reads the log from a majority of its replicas, each of which makes its promise durable
first, and so for each entry. With one replica paused both others have to answer. An owner gave each
of them one second and then began anew with a higher ballot, which has to be made durable again: on
a disk that takes longer than the limit no attempt ever succeeds, however many follow.
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
REPLICAS = 3

BUSY_COMMIT_SECONDS = 2.1
"""What one small write took at the 99th percentile beside writers that filled the page cache."""

SUCCESSOR_SECONDS = 30.0
"""Within this, its lease included, a paused owner has a successor (``tests.test_processes``)."""

LEASE_SECONDS = 15.0
RETRY_SECONDS = 0.5

ONE_SECOND_CALLS = DeliveryParameters(call_timeout_seconds=1.0)
"""Fault: a call to a replica ends before a busy disk has made its reply durable."""


def setUpModule() -> None:
    logger.remove()


class SlowDisksTest(unittest.TestCase):
    def own_stream(self, parameters: DeliveryParameters | None = None) -> bool:
        """Tell whether a successor owns the stream in time and takes a step of its trainer.

        The third replica is paused: it was the owner's.
        """
        return run_simulation(lambda: self._own_stream(parameters))

    async def _own_stream(self, parameters: DeliveryParameters | None) -> bool:
        network = SimulatedNetwork(random.Random(1), LatencyModel(), Trace(kept_events=0))
        hosts = [
            SimulatedHost(f"node-{number}", Address(f"10.0.0.{number + 1}", 7000), LOCATION)
            for number in range(REPLICAS)
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
        owning = hosts[0].process.spawn(self._own(successor), "successor")
        done, _ = await asyncio.wait([owning], timeout=SUCCESSOR_SECONDS - LEASE_SECONDS)
        owning.cancel()
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
    async def _own(successor: DeliveryService) -> None:
        """Take the stream over as a node does, and have a step recorded as its trainer does."""
        prompts = (RolloutPrompt(text="prompt", group="1", max_tokens=4, seed=1),)
        while True:
            try:
                if STREAM not in successor.owned_streams:
                    await successor.take_over(STREAM, Fence(2))
                await successor.submit_step(STREAM, 0, prompts)
                return
            except QuorumUnavailableError:
                await asyncio.sleep(RETRY_SECONDS)

    def test_a_successor_is_found_however_busy_the_disks_are(self) -> None:
        self.assertFalse(self.own_stream(ONE_SECOND_CALLS))
        self.assertTrue(self.own_stream())


class ReplicaSetTest(unittest.TestCase):
    """Without a replica set there are neither streams nor bookings.

    In one trial beside such writers the first set took 25 s, in which an owner that had been
    elected logged ``take_over_failed`` 49 times: a member has to make the order that lets it vote
    durable, and was given 2 s.
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
        ends_at = world.clock.monotonic() + SUCCESSOR_SECONDS
        while world.clock.monotonic() < ends_at:
            found = world.replica_set()
            if found is not None and found.is_active and found.epoch >= epoch:
                return True
            await world.clock.sleep(0.1)
        return False

    def test_a_first_set_forms(self) -> None:
        async def scenario(world: World) -> None:
            self.assertTrue(await self.wait_active(world, epoch=1))

        self.run_world(scenario)

    def test_a_frozen_member_is_replaced(self) -> None:
        async def scenario(world: World) -> None:
            self.assertTrue(await self.wait_active(world, epoch=1))
            first = world.replica_set()
            assert first is not None
            world.hosts[first.members[0].node_id].freeze()
            self.assertTrue(await self.wait_active(world, epoch=first.epoch + 1))

        self.run_world(scenario)


class BookingTest(unittest.TestCase):
    """Beside such writers eight of eight plays of the test of real processes lost bookings.

    Each vote of a replica had 0.5 s, so that every booking was refused as not run for as long as
    the disks were busy: ``the victim dispatched nothing``.
    """

    def run_world(
        self, scenario: Callable[[World], Awaitable[None]], *, commit_seconds: float
    ) -> None:
        async def main() -> None:
            world = World(settings=Settings(commit_seconds=commit_seconds, coordinate=True))
            await world.start_all()
            await scenario(world)

        run_simulation(main)

    def test_a_booking_runs_however_busy_the_disks_are(self) -> None:
        async def scenario(world: World) -> None:
            outcome = await world.call("n1", "booking", patience=SUCCESSOR_SECONDS)
            self.assertIsInstance(outcome, ClaimAnswered)
            self.assertEqual(world.violations(), [])

        self.run_world(scenario, commit_seconds=BUSY_COMMIT_SECONDS)

    def test_while_a_majority_is_silent_bookings_are_refused_soon(self) -> None:
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
                world.hosts[name].wake()
            await world.clock.sleep(1.0)
            outcome = await world.call("n1", "back", patience=SUCCESSOR_SECONDS)
            self.assertIsInstance(outcome, ClaimAnswered)
            self.assertEqual(world.violations(), [])

        self.run_world(scenario, commit_seconds=0.0005)


class BusyDisksScenarioTest(unittest.TestCase):
    """Whole nodes under every kind of fault, on disks whose writes take up to four seconds."""

    def test_every_promise_holds(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                report = run_scenario(find_scenario("busy-disks"), seed, Node).report
                self.assertEqual(report.violations, ())


if __name__ == "__main__":
    unittest.main()
