"""Notices to other nodes are batched and stay in order, regardless of slow nodes."""

import asyncio
import unittest

from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.peers.messages import DoneReply, LoadingNotice, Notices, PeerReply, PeerRequest
from drumbay.peers.notices import MAX_QUEUE_LENGTH, NoticeQueues
from drumbay.peers.transport import PeerUnavailableError
from drumbay.simulation.virtual_time import run_simulation
from drumbay.tasks import TaskOwner
from tests.serving_world import ServingWorld, run_in_world

NODES = tuple(NetworkAddress(f"10.0.0.{number}", 7000) for number in range(5))
SLOW = NODES[0]


def loading_notice(number: int) -> LoadingNotice:
    return LoadingNotice(
        worker_id=BackendId(f"w{number}"),
        model="m",
        version=WeightVersion(2),
        seconds=0.9,
        holder="n",
    )


class RecordingPeers:
    """Records the notices that each node receives; one node never replies."""

    def __init__(self) -> None:
        self.calls = 0
        self.received: dict[NetworkAddress, list[str]] = {}

    async def call(
        self, address: NetworkAddress, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        assert isinstance(request, Notices)
        self.calls += 1
        if address == SLOW:
            await asyncio.sleep(timeout_seconds)
            raise PeerUnavailableError(str(address))
        await asyncio.sleep(0.001)
        received = self.received.setdefault(address, [])
        received += [n.worker_id for n in request.notices if isinstance(n, LoadingNotice)]
        return DoneReply()


class NoticeQueuesTest(unittest.TestCase):
    def is_cut_off(self, reached: int, unreached: int) -> bool:
        async def main() -> bool:
            tasks = TaskOwner()
            queues = NoticeQueues(RecordingPeers(), tasks)
            for address in [SLOW] * unreached + list(NODES[1 : 1 + reached]):
                queues.send([address], loading_notice(1))
            await asyncio.sleep(2.0)
            await tasks.close()
            return queues.is_cut_off

        return run_simulation(main)

    def test_a_node_is_cut_off_if_most_notices_do_not_arrive(self) -> None:
        # A node with the store but without its peers would take itself for the only owner.
        self.assertFalse(self.is_cut_off(reached=0, unreached=0))
        self.assertFalse(self.is_cut_off(reached=1, unreached=1))
        self.assertTrue(self.is_cut_off(reached=0, unreached=1))

    def send_notices(self, count: int) -> RecordingPeers:
        async def main() -> RecordingPeers:
            peers, tasks = RecordingPeers(), TaskOwner()
            queues = NoticeQueues(peers, tasks)
            for number in range(count):
                queues.send(NODES, loading_notice(number))
            await asyncio.sleep(2.0)
            await tasks.close()
            return peers

        return run_simulation(main)

    def test_concurrent_notices_take_one_call_per_node(self) -> None:
        peers = self.send_notices(1_000)
        self.assertEqual(peers.calls, len(NODES))
        expected = [f"w{number}" for number in range(1_000)]
        self.assertEqual(peers.received, dict.fromkeys(NODES[1:], expected))

    def test_oldest_notices_are_dropped_when_a_queue_is_full(self) -> None:
        peers = self.send_notices(MAX_QUEUE_LENGTH + 10)
        self.assertEqual(peers.received[NODES[1]][0], "w10")
        self.assertEqual(len(peers.received[NODES[1]]), MAX_QUEUE_LENGTH)

    def test_loads_ordered_by_the_leader_reach_every_node(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(2))
            await asyncio.sleep(0.5)
            loads = [
                sorted(
                    r.worker.worker_id
                    for r in n.directory.all_records().values()
                    if r.pending_loads
                )
                for n in world.nodes
            ]
            self.assertTrue(loads[0])
            self.assertEqual(loads, [loads[0]] * len(loads))

        run_in_world(scenario, node_count=4, worker_count=6, workers_check_fences=True)


if __name__ == "__main__":
    unittest.main()
