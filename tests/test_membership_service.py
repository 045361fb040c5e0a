"""The membership service over the network transport on loopback."""

import asyncio
import random
import unittest

from drumbay.clock import SystemClock
from drumbay.comm.interface import Address
from drumbay.comm.tornado_transport import TornadoTransport
from drumbay.identifiers import NodeId
from drumbay.membership.records import MemberChange, MemberChangeKind, MembershipSettings
from drumbay.membership.service import (
    MemberRecordTooLargeError,
    MembershipConfiguration,
    MembershipNotStartedError,
    MembershipService,
)
from drumbay.tasks import TaskOwner

KEY = b"a cluster key of 32 bytes length"
FAST = MembershipSettings(
    probe_interval_seconds=0.1,
    probe_timeout_seconds=0.04,
    gossip_interval_seconds=0.02,
    sync_retry_seconds=0.1,
)


class MembershipServiceTest(unittest.IsolatedAsyncioTestCase):
    async def start_node(
        self, name: str, seeds: tuple[Address, ...], labels: dict[str, str] | None = None
    ) -> MembershipService:
        owner, clock = TaskOwner(), SystemClock()
        transport = TornadoTransport(Address("127.0.0.1", 0), KEY, clock, owner)
        await transport.start()
        self.addAsyncCleanup(owner.close)
        self.addAsyncCleanup(transport.close)
        configuration = MembershipConfiguration(
            node_id=NodeId(name),
            boot_id=transport.boot_id,
            zone="zone-a",
            region="region-a",
            labels=labels or {},
            seeds=seeds,
            settings=FAST,
        )
        service = MembershipService(clock, transport, configuration, random.Random(1), owner)
        with self.assertRaises(MembershipNotStartedError):
            service.members()
        self.transports[name] = transport
        service.start()
        return service

    async def asyncSetUp(self) -> None:
        self.transports: dict[str, TornadoTransport] = {}

    async def test_nodes_discover_each_other_and_detect_leaving_and_death(self) -> None:
        first = await self.start_node("first", (), {"has_data_folder": "true"})
        seeds = (first.self_member.address,)
        seen: dict[tuple[str, MemberChangeKind], asyncio.Event] = {}

        def expect(name: str, kind: MemberChangeKind) -> asyncio.Event:
            return seen.setdefault((name, kind), asyncio.Event())

        def listen(change: MemberChange) -> None:
            expect(change.member.node_id, change.kind).set()
            raise ValueError("listener failed")

        first.add_change_listener(listen)
        second = await self.start_node("second", seeds)
        await self.start_node("third", seeds)
        await expect("second", MemberChangeKind.JOINED).wait()
        await expect("third", MemberChangeKind.JOINED).wait()
        leaving = asyncio.create_task(second.leave())
        await expect("second", MemberChangeKind.LEFT).wait()
        await self.transports["third"].close()
        await expect("third", MemberChangeKind.DIED).wait()
        leaving.cancel()
        labels = {each.node_id: each.labels for each in second.members()}
        self.assertEqual(labels[NodeId("first")], {"has_data_folder": "true"})

    async def test_oversize_record_is_a_typed_error(self) -> None:
        with self.assertRaises(MemberRecordTooLargeError):
            await self.start_node("first", (), {"label": "x" * 300})
