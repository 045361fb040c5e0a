"""A stream owner releases its lease once the replicas have promised a newer owner."""

import unittest
from unittest import mock

from drumbay.clock import SystemClock
from drumbay.comm.interface import Address, Message
from drumbay.delivery.exceptions import OwnerDeposedError
from drumbay.delivery.service import DeliveryService
from drumbay.identifiers import Cursor, Fence, NodeId, StreamName, WeightVersion
from drumbay.node.stream_messages import PullRequest
from drumbay.node.streams import OWNERSHIP_PREFIX, StreamService
from drumbay.ownership.manager import OwnershipManager
from drumbay.simulation.transport import SimulatedTransport
from drumbay.tasks import TaskOwner

STREAM = StreamName("drafts")
FENCE = Fence(7)
PULL = PullRequest(stream=STREAM, cursor=Cursor(0), max_samples=4, oldest_version=WeightVersion(1))


class DeposedOwnerTest(unittest.IsolatedAsyncioTestCase):
    def make_service(self) -> StreamService:
        self.ownership = mock.create_autospec(OwnershipManager, instance=True)
        self.ownership.fence_to_continue.return_value = FENCE
        self.delivery = mock.create_autospec(DeliveryService, instance=True)
        self.delivery.owned_streams = (STREAM,)
        self.delivery.pull.side_effect = OwnerDeposedError("2 replicas promised a newer owner")
        return StreamService(
            clock=SystemClock(),
            transport=mock.create_autospec(SimulatedTransport, instance=True),
            node_id=NodeId("node-1"),
            ownership=self.ownership,
            delivery=self.delivery,
            sample_generator=mock.Mock(),
            address_of=lambda node_id: Address("10.0.0.1", 1),
            task_owner=TaskOwner(),
        )

    async def pull(self) -> Message:
        return await self.make_service().pull(PULL)

    async def test_deposed_owner_reports_its_lease(self) -> None:
        with self.assertRaises(OwnerDeposedError):
            await self.pull()
        self.ownership.report_stale_fence.assert_awaited_once_with(OWNERSHIP_PREFIX + STREAM, FENCE)

    async def test_lease_is_kept_without_the_report(self) -> None:
        with (
            mock.patch.object(StreamService, "_report_deposed", mock.AsyncMock()),
            self.assertRaises(OwnerDeposedError),
        ):
            await self.pull()
        self.ownership.report_stale_fence.assert_not_awaited()
