"""Stream replicas with temporarily full disks or lost data."""

import asyncio
import unittest

from loguru import logger

from drumbay.delivery.exceptions import QuorumUnavailableError
from drumbay.delivery.reopening import ReplicaReopener
from drumbay.storage.interface import StorageClosedError, StoreId
from drumbay.storage.simulated_log import SimulatedDisk, SimulatedLog
from tests.delivery_cluster import STREAM, Cluster, RecordingTrainer, finish_missing, prompts


def setUpModule() -> None:
    logger.remove()


class FullDiskTest(unittest.IsolatedAsyncioTestCase):
    def reopen_after_failures(self, cluster: Cluster, index: int) -> None:
        def open_log() -> SimulatedLog:
            return SimulatedLog(
                cluster.disks[index],
                "delivery",
                clock=cluster.clock,
                new_store_id=StoreId(f"new-{index}"),
                commit_seconds=0.001,
            )

        replica = cluster.replicas[index]
        ReplicaReopener(replica, open_log, cluster.clock, cluster.tasks).start()

    async def submits_after_full_disks(self, *, reopens: bool) -> bool:
        """Fill two of three disks temporarily; return whether a later step can be submitted."""
        cluster = Cluster()
        if reopens:
            for index in range(3):
                self.reopen_after_failures(cluster, index)
        owner = await cluster.owner_with_step("a", 1)
        finish_missing(owner, 1, "a")
        trainer = RecordingTrainer()
        await trainer.pull(owner, 0, 1)
        for disk in cluster.disks[:2]:
            disk.full = True
        with self.assertRaises(QuorumUnavailableError):
            await owner.submit_step(STREAM, 1, prompts(4))
        for disk in cluster.disks[:2]:
            disk.full = False
        await self.settle()
        try:
            await owner.submit_step(STREAM, 1, prompts(4))
        except QuorumUnavailableError:
            return False
        await trainer.pull(owner, 0, 1)
        await trainer.pull(owner, 1, 1)
        self.assertEqual(trainer.violations(), [])
        self.assertEqual(len(owner.missing(STREAM)), 4)
        return True

    async def settle(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    async def test_replica_recovers_once_its_disk_has_space(self) -> None:
        self.assertFalse(await self.submits_after_full_disks(reopens=False))
        self.assertTrue(await self.submits_after_full_disks(reopens=True))

    async def test_replica_with_lost_data_does_not_serve(self) -> None:
        cluster = Cluster()
        self.reopen_after_failures(cluster, 0)
        owner = await cluster.owner_with_step("a", 1)
        cluster.disks[0].full = True
        await owner.submit_step(STREAM, 1, prompts(4))
        await self.settle()
        cluster.disks[0] = SimulatedDisk()
        await owner.submit_step(STREAM, 2, prompts(4))
        await self.settle()
        with self.assertRaises(StorageClosedError):
            _ = cluster.replicas[0].acceptors
        await cluster.tasks.close()


if __name__ == "__main__":
    unittest.main()
