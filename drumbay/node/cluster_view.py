"""Who the other nodes are, in the forms in which the services ask for it."""

from drumbay.api.schema import MemberBody
from drumbay.claims.reconfigurator import ReplicaCandidate
from drumbay.comm.interface import Address
from drumbay.configuration.messages import PeerView
from drumbay.identifiers import NodeId
from drumbay.membership.records import Member
from drumbay.membership.service import MembershipService

DATA_FOLDER_LABEL = "has_data_folder"
LABEL_SET = "true"


class ClusterView:
    """Adapts the membership to what each service needs.

    Args:
        membership: The membership of this node.
    """

    def __init__(self, membership: MembershipService) -> None:
        """Read from ``membership``."""
        self._membership = membership

    def _reachable(self) -> list[Member]:
        return [member for member in self._membership.members() if member.is_reachable]

    def peers(self) -> tuple[PeerView, ...]:
        """Return the live nodes, this one included, sorted by identifier."""
        peers = (
            PeerView(
                node_id=member.node_id,
                address=member.address,
                zone=member.zone,
                region=member.region,
                has_data_folder=_has_disk(member),
            )
            for member in self._reachable()
        )
        return tuple(sorted(peers, key=lambda peer: peer.node_id))

    def node_ids(self) -> tuple[NodeId, ...]:
        """Return the identifiers of the live nodes, sorted."""
        return tuple(sorted(member.node_id for member in self._reachable()))

    def peer_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the live nodes, this one included."""
        return tuple(peer.address for peer in self.peers())

    def address_of(self, node_id: NodeId) -> Address | None:
        """Return the address of a live node; ``None`` if it is not live."""
        for member in self._reachable():
            if member.node_id == node_id:
                return member.address
        return None

    def replica_candidates(self) -> tuple[ReplicaCandidate, ...]:
        """Return the live nodes that have a disk."""
        return tuple(
            ReplicaCandidate(node_id=member.node_id, address=member.address, zone=member.zone)
            for member in self._reachable()
            if _has_disk(member)
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


def _has_disk(member: Member) -> bool:
    return member.labels.get(DATA_FOLDER_LABEL) == LABEL_SET
