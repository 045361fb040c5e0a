"""Records of the membership protocol: members, updates, changes and settings."""

from enum import IntEnum, StrEnum

import msgspec
import xxhash

from drumbay.comm.interface import Address
from drumbay.identifiers import BootId, NodeId

NO_ACCUSER = NodeId("")
"""Accuser of an update that is not a suspicion."""


class MemberState(IntEnum):
    """State of a member; at equal incarnation the larger value overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One member as a node knows it.

    Attributes:
        node_id: Name of the node; stable across restarts.
        address: Address of the node.
        zone: Failure domain within a region.
        region: Group of zones with short delays between them.
        boot_id: Identifies one run of the process.
        incarnation: Incremented by the member to override updates about it, also those about
            an earlier boot.
        labels: Properties of the node, such as ``has_data_folder``.
        state: Alive, suspect, dead or left.
        application_revision: Revision that the application on the node last announced.
    """

    node_id: NodeId
    address: Address
    zone: str
    region: str
    boot_id: BootId
    incarnation: int = 1
    labels: dict[str, str] = {}
    state: MemberState = MemberState.ALIVE
    application_revision: int = 0

    @property
    def is_reachable(self) -> bool:
        """Return whether the member counts as running: alive or suspect."""
        return self.state <= MemberState.SUSPECT


class StateUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Compact update about a member whose full record the receivers have.

    Attributes:
        node_id: The member.
        boot_mark: Short hash of the member's boot; receivers that know another boot need
            the full record.
        incarnation: Incarnation of the member that the update is about.
        state: The state.
        accuser: Node that raised a suspicion; empty for other states.
    """

    node_id: NodeId
    boot_mark: int
    incarnation: int
    state: MemberState
    accuser: NodeId = NO_ACCUSER

    @property
    def is_reachable(self) -> bool:
        """Return whether the member counts as running."""
        return self.state <= MemberState.SUSPECT


def boot_mark_of(boot_id: BootId) -> int:
    """Return the short hash of a boot for compact updates."""
    return xxhash.xxh32_intdigest(boot_id.encode())


def state_update_of(member: Member, accuser: NodeId = NO_ACCUSER) -> StateUpdate:
    """Return the compact update of a member's current state."""
    return StateUpdate(
        node_id=member.node_id,
        boot_mark=boot_mark_of(member.boot_id),
        incarnation=member.incarnation,
        state=member.state,
        accuser=accuser,
    )


class MemberChangeKind(StrEnum):
    """Kind of a membership change, as seen by one node."""

    JOINED = "joined"
    RESTARTED = "restarted"
    SUSPECTED = "suspected"
    REFUTED = "refuted"
    DIED = "died"
    RETURNED = "returned"
    LEFT = "left"
    IDENTITY_CONFLICT = "identity_conflict"


class MemberChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the membership.

    Attributes:
        kind: What happened.
        member: The member after the change.
        previous: The member before the change; ``None`` if it was not known.
    """

    kind: MemberChangeKind
    member: Member
    previous: Member | None


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timing and fan-out of the membership protocol.

    Attributes:
        probe_interval_seconds: Protocol period (SWIM, section 4): one probe starts in each.
        probe_timeout_seconds: Timeout of a direct acknowledgement within the region.
        remote_timeout_factor: Timeout factor for members of other regions.
        indirect_probes: Number of helpers that probe an unresponsive member (SWIM, k).
        max_remote_probe_share: Largest fraction of probes that go to other regions.
        suspicion_multiplier: Shortest suspicion timeout, as a multiple of the period times log10
            of the cluster size.
        suspicion_max_factor: Ratio of the longest to the shortest timeout (Lifeguard, beta).
        suspicion_confirmations: Confirmations after which the timeout is the shortest.
        retransmit_multiplier: Transmissions of an update, as a multiple of log10 of the
            cluster size.
        gossip_interval_seconds: Period of extra gossip while updates are queued.
        gossip_fanout: Members that each round of extra gossip is sent to.
        sync_interval_seconds: Mean time between anti-entropy exchanges.
        sync_retry_seconds: Mean time to the next exchange after one that changed the table.
        reconnect_interval_seconds: Mean time between attempts to contact a dead member or seed.
        dead_retention_seconds: How long a dead member stays in the table and is contacted.
        left_retention_seconds: How long a member that left stays in the table.
        max_local_health: Largest local health score (Lifeguard, S).
    """

    probe_interval_seconds: float = 1.0
    probe_timeout_seconds: float = 0.3
    remote_timeout_factor: float = 2.0
    indirect_probes: int = 3
    max_remote_probe_share: float = 0.25
    suspicion_multiplier: float = 3.0
    suspicion_max_factor: float = 4.0
    suspicion_confirmations: int = 3
    retransmit_multiplier: float = 4.0
    gossip_interval_seconds: float = 0.25
    gossip_fanout: int = 2
    sync_interval_seconds: float = 30.0
    sync_retry_seconds: float = 1.0
    reconnect_interval_seconds: float = 10.0
    dead_retention_seconds: float = 24 * 3600.0
    left_retention_seconds: float = 3600.0
    max_local_health: int = 8
