"""Views of the cluster membership for the other services of a node."""

from collections.abc import Iterable, Iterator

from drumbay.api.schema import MemberBody
from drumbay.claims.reconfigurator import ReplicaCandidate
from drumbay.comm.interface import Address
from drumbay.configuration.messages import PeerView
from drumbay.identifiers import NodeId
from drumbay.membership.records import Member
from drumbay.membership.service import MembershipService
from drumbay.routing.subsets import NodeMember

DATA_FOLDER_LABEL = "has_data_folder"
DATA_FOLDER_LABEL_VALUE = "true"


class ClusterView:
    """Converts the membership to the types that other services use.

    Results are cached: the same tuple object is returned until its content changes, so that
    callers can detect changes by identity.

    Args:
        membership: This node's membership service.
    """

    def __init__(self, membership: MembershipService) -> None:
        """Create a view of ``membership``."""
        self._membership = membership
        self._members: tuple[Member, ...] = ()
        self._peers: tuple[PeerView, ...] = ()
        self._node_ids: tuple[NodeId, ...] = ()
        self._addresses: dict[NodeId, Address] = {}
        self._subset_nodes: tuple[NodeMember, ...] = ()

    def _refresh(self) -> None:
        members = self._membership.members()
        # An unchanged member is the same object, so this comparison is cheap.
        if members == self._members:
            return
        self._members = members
        peers = tuple(sorted(_peers_of(members), key=lambda peer: peer.node_id))
        if peers == self._peers:
            return
        self._peers = peers
        self._node_ids = tuple(peer.node_id for peer in peers)
        self._addresses = {peer.node_id: peer.address for peer in peers}
        self._subset_nodes = tuple(
            NodeMember(node_id=peer.node_id, zone=peer.zone) for peer in peers
        )

    def peers(self) -> tuple[PeerView, ...]:
        """Return the live nodes including this one, sorted by identifier."""
        self._refresh()
        return self._peers

    def node_ids(self) -> tuple[NodeId, ...]:
        """Return the identifiers of the live nodes, sorted."""
        self._refresh()
        return self._node_ids

    def subset_nodes(self) -> tuple[NodeMember, ...]:
        """Return the live nodes among which backends are divided, sorted by identifier."""
        self._refresh()
        return self._subset_nodes

    def peer_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the live nodes, including this one."""
        self._refresh()
        return tuple(self._addresses.values())

    def address_of(self, node_id: NodeId) -> Address | None:
        """Return the address of a live node; ``None`` if it is not live."""
        self._refresh()
        return self._addresses.get(node_id)

    def replica_candidates(self) -> tuple[ReplicaCandidate, ...]:
        """Return the live nodes that have a data folder."""
        return tuple(
            ReplicaCandidate(node_id=peer.node_id, address=peer.address, zone=peer.zone)
            for peer in self.peers()
            if peer.has_data_folder
        )

    def member_bodies(self) -> tuple[MemberBody, ...]:
        """Return every known member for the status endpoint."""
        return tuple(
            MemberBody(
                node_id=member.node_id,
                zone=member.zone,
                region=member.region,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
            )
            for member in sorted(self._membership.members(), key=lambda entry: entry.node_id)
        )


def _peers_of(members: Iterable[Member]) -> Iterator[PeerView]:
    """Yield the reachable members."""
    for member in members:
        if member.is_reachable:
            yield PeerView(
                node_id=member.node_id,
                address=member.address,
                zone=member.zone,
                region=member.region,
                has_data_folder=_has_data_folder(member),
            )


def _has_data_folder(member: Member) -> bool:
    return member.labels.get(DATA_FOLDER_LABEL) == DATA_FOLDER_LABEL_VALUE
