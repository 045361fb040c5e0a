"""Who the other nodes are, in the forms in which the services ask for it."""

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
LABEL_SET = "true"


class ClusterView:
    """Adapts the membership to what each service needs.

    What it returns is worked out again only when the members change. The same tuple is
    returned until then, also after news that does not concern its content, so that callers
    can tell by identity that nothing changed.

    Args:
        membership: The membership of this node.
    """

    def __init__(self, membership: MembershipService) -> None:
        """Read from ``membership``."""
        self._membership = membership
        self._members: tuple[Member, ...] = ()
        self._peers: tuple[PeerView, ...] = ()
        self._node_ids: tuple[NodeId, ...] = ()
        self._addresses: dict[NodeId, Address] = {}
        self._subset_nodes: tuple[NodeMember, ...] = ()

    def _refresh(self) -> None:
        members = self._membership.members()
        # NOTE: a member that did not change is the same object, so this compares pointers.
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
        """Return the live nodes, this one included, sorted by identifier."""
        self._refresh()
        return self._peers

    def node_ids(self) -> tuple[NodeId, ...]:
        """Return the identifiers of the live nodes, sorted."""
        self._refresh()
        return self._node_ids

    def subset_nodes(self) -> tuple[NodeMember, ...]:
        """Return the live nodes among which back ends are shared out, sorted."""
        self._refresh()
        return self._subset_nodes

    def peer_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the live nodes, this one included."""
        self._refresh()
        return tuple(self._addresses.values())

    def address_of(self, node_id: NodeId) -> Address | None:
        """Return the address of a live node; ``None`` if it is not live."""
        self._refresh()
        return self._addresses.get(node_id)

    def replica_candidates(self) -> tuple[ReplicaCandidate, ...]:
        """Return the live nodes that have a disk."""
        return tuple(
            ReplicaCandidate(node_id=peer.node_id, address=peer.address, zone=peer.zone)
            for peer in self.peers()
            if peer.has_data_folder
        )

    def bodies(self) -> tuple[MemberBody, ...]:
        """Return every known member as operators see it."""
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
    """Yield the members that count as live."""
    for member in members:
        if member.is_reachable:
            yield PeerView(
                node_id=member.node_id,
                address=member.address,
                zone=member.zone,
                region=member.region,
                has_data_folder=_has_disk(member),
            )


def _has_disk(member: Member) -> bool:
    return member.labels.get(DATA_FOLDER_LABEL) == LABEL_SET
