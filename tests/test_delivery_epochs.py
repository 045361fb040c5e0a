"""Tests of stream logs during changes of the replica set and after losses of disks."""

import unittest
from collections.abc import Callable
from typing import cast

from loguru import logger

from drumbay.claims.state_copy import EpochStateCopier
from drumbay.comm.interface import Transport
from drumbay.delivery.exceptions import QuorumUnavailableError
from drumbay.delivery.quorum import ReplicaView
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.service import DeliveryService
from drumbay.delivery.state_copy import StreamStateCopier
from drumbay.delivery.transfer import StreamTransfer
from drumbay.identifiers import Epoch, Fence, NodeId, StreamName, WeightVersion
from drumbay.node.streams import StreamService
from drumbay.ownership.manager import OwnershipManager
from drumbay.simulation.virtual_time import run_simulation
from drumbay.storage.interface import StoreId
from drumbay.storage.simulated_log import SimulatedLog
from tests.claims_world import Node, Settings, World
from tests.delivery_cluster import STREAM, RecordingTrainer, finish_missing, prompts


class StreamWorld(World):
    """A cluster whose disk nodes also store stream logs."""

    def __init__(self, *, copies_streams: bool, follows_store: bool, coordinate: bool) -> None:
        super().__init__(settings=Settings(disk_nodes=4, coordinate=coordinate))
        self.copies_streams = copies_streams
        self.follows_store = follows_store
        self.trainer = RecordingTrainer()

    def other_copiers(self, transport: Transport) -> tuple[EpochStateCopier, ...]:
        return (StreamStateCopier(transport),) if self.copies_streams else ()

    def start(self, name: str) -> None:
        super().start(name)
        node = self.nodes[name]
        if name in self.disks:
            node.process.run(lambda: self.start_streams(name, node))

    def start_streams(self, name: str, node: Node) -> None:
        log = SimulatedLog(
            self.disks[name],
            "streams",
            clock=node.clock,
            new_store_id=StoreId(name),
            commit_seconds=0.0005,
        )
        epoch = node.replica.voting_epoch if self.follows_store else self.view_epoch(node)
        replica = DeliveryReplica(node.transport, log, epoch)
        replica.start()
        StreamTransfer(node.transport, replica).start()

    @staticmethod
    def view_epoch(node: Node) -> Callable[[], Epoch]:
        """Return a callable for the node's known epoch, regardless of its disk."""

        def epoch() -> Epoch:
            view = node.watcher.replica_set()
            return Epoch(0) if view is None else view.epoch

        return epoch

    def view(self, node: Node) -> ReplicaView:
        current = node.watcher.replica_set()
        assert current is not None
        members = tuple(member.address for member in current.members)
        return ReplicaView(epoch=current.epoch, members=members)

    def delivery(self, node: Node) -> DeliveryService:
        return DeliveryService(
            node.transport,
            node.clock,
            node.task_owner,
            node.process.boot_id,
            lambda: self.view(node),
        )

    async def pull_as_owner(self, name: str, fence: int) -> None:
        """Take over the stream at a node and pull its first batch."""
        node = self.nodes[name]
        owner = self.delivery(node)

        async def run() -> None:
            await owner.take_over(STREAM, Fence(fence))
            await owner.submit_step(STREAM, 0, prompts(4))
            finish_missing(owner, 1, name)
            await self.trainer.pull(owner, 0, 0)

        await node.process.spawn(run(), "owner")


class PermanentOwnership:
    """Permanent ownership of every stream under one fence."""

    def add_listener(self, _listener: object) -> None:
        return

    def fence_to_continue(self, _name: str, _now: float) -> Fence:
        return Fence(1)


class IdleWorker:
    """A worker that generates no samples."""

    def start_stream(self, stream: StreamName, fence: Fence) -> None:
        return

    def stop_stream(self, stream: StreamName) -> None:
        return

    def observe_oldest_accepted(self, stream: StreamName, oldest_version: WeightVersion) -> None:
        return


class StreamEpochTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("drumbay")
        self.addCleanup(logger.enable, "drumbay")

    def run_world(self, world: Callable[[], StreamWorld], *, lose_disk: bool) -> list[str]:
        """Deliver a batch stored only by d1 and d2, lose d1, and deliver the batch again.

        The second owner reaches d3 and either the replacement of d1 or d1 with an empty disk.
        """

        async def main() -> list[str]:
            cluster = world()
            await cluster.start_all()
            if not cluster.settings.coordinate:
                await self.start_first_epoch(cluster)
            cluster.cut("n1", "d3")
            await cluster.pull_as_owner("n1", 1)
            if lose_disk:
                await cluster.restart("d1", lose_disk=True)
            else:
                await cluster.kill("d1")
            await cluster.clock.sleep(20.0)
            cluster.cut("n2", "d2")
            try:
                await cluster.pull_as_owner("n2", 2)
            except QuorumUnavailableError:
                return ["refused"]
            return cluster.trainer.violations()

        return run_simulation(main)

    async def start_first_epoch(self, cluster: StreamWorld) -> None:
        """Let one coordinator create the first replica set, which is not changed later."""
        reconfigurator = cluster.nodes["d1"].reconfigurator
        await cluster.nodes["d1"].process.spawn(reconfigurator.step(), "step")
        await cluster.clock.sleep(1.0)

    def test_new_member_receives_stream_logs(self) -> None:
        def world(copies: bool) -> Callable[[], StreamWorld]:
            return lambda: StreamWorld(copies_streams=copies, follows_store=True, coordinate=True)

        self.assertEqual(self.run_world(world(True), lose_disk=False), [])
        faulty = self.run_world(world(False), lose_disk=False)
        self.assertIn("cursor changed its bytes", faulty)

    def test_store_that_lost_its_disk_does_not_vote(self) -> None:
        def world(follows: bool) -> Callable[[], StreamWorld]:
            return lambda: StreamWorld(copies_streams=True, follows_store=follows, coordinate=False)

        self.assertEqual(self.run_world(world(True), lose_disk=True), ["refused"])
        faulty = self.run_world(world(False), lose_disk=True)
        self.assertIn("cursor changed its bytes", faulty)

    def test_owner_recovers_its_streams_after_replica_set_change(self) -> None:
        async def main() -> None:
            cluster = StreamWorld(copies_streams=True, follows_store=True, coordinate=True)
            await cluster.start_all()
            node = cluster.nodes["n1"]
            owner = cluster.delivery(node)
            service = StreamService(
                clock=node.clock,
                transport=node.transport,
                node_id=NodeId("n1"),
                ownership=cast(OwnershipManager, PermanentOwnership()),
                delivery=owner,
                sample_generator=IdleWorker(),
                address_of=lambda _node_id: None,
                task_owner=node.task_owner,
            )

            async def work() -> None:
                service.start()
                await owner.take_over(STREAM, Fence(1))
                await owner.submit_step(STREAM, 0, prompts(4))
                finish_missing(owner, 1, "first")
                await cluster.trainer.pull(owner, 0, 0)
                await cluster.kill("d1")
                await node.clock.sleep(20.0)
                finish_missing(owner, 1, "second")
                await cluster.trainer.pull(owner, 0, 0)
                await cluster.trainer.pull(owner, 1, 0)

            await node.process.spawn(work(), "owner")
            self.assertEqual(cluster.view(node).epoch, 2)
            self.assertEqual([each.cursor for each in cluster.trainer.log], [0, 0, 1])
            self.assertEqual(cluster.trainer.violations(), [])

        run_simulation(main)
