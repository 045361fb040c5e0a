"""The view of the cluster is recomputed only when the members change."""

import unittest
from typing import cast

import msgspec

from drumbay.comm.interface import Address
from drumbay.identifiers import BootId, NodeId
from drumbay.membership.records import Member, MemberState
from drumbay.membership.service import MembershipService
from drumbay.node.cluster_view import DATA_FOLDER_LABEL, DATA_FOLDER_LABEL_VALUE, ClusterView


class Members:
    def __init__(self) -> None:
        self.known = [
            Member(
                node_id=NodeId(name),
                address=Address("10.0.0.1", port),
                zone="z",
                region="r",
                boot_id=BootId(name),
                labels={DATA_FOLDER_LABEL: DATA_FOLDER_LABEL_VALUE} if name == "b" else {},
            )
            for port, name in enumerate(("c", "a", "b"))
        ]

    def members(self) -> tuple[Member, ...]:
        return tuple(self.known)

    def change(self, index: int, **fields: object) -> None:
        self.known[index] = msgspec.structs.replace(self.known[index], **fields)


class ClusterViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = Members()
        self.view = ClusterView(cast(MembershipService, self.members))

    def test_irrelevant_update_keeps_the_same_tuple(self) -> None:
        peers = self.view.peers()
        self.assertIs(self.view.peers(), peers)
        self.members.change(0, incarnation=7)
        self.members.change(1, state=MemberState.SUSPECT)
        self.assertIs(self.view.peers(), peers)

    def test_each_accessor_follows_the_members(self) -> None:
        self.assertEqual(self.view.node_ids(), ("a", "b", "c"))
        self.assertEqual([each.node_id for each in self.view.replica_candidates()], ["b"])
        self.members.change(2, state=MemberState.DEAD)
        self.assertEqual(self.view.node_ids(), ("a", "c"))
        self.assertIsNone(self.view.address_of(NodeId("b")))
        self.assertEqual(self.view.address_of(NodeId("a")), Address("10.0.0.1", 1))
        self.assertEqual(self.view.replica_candidates(), ())
        self.members.change(0, address=Address("10.0.0.9", 9))
        self.assertEqual(
            self.view.peer_addresses(), (Address("10.0.0.1", 1), Address("10.0.0.9", 9))
        )
        self.assertEqual([each.node_id for each in self.view.subset_nodes()], ["a", "c"])
