"""Typed records of the membership: members, updates, changes and settings."""

from enum import IntEnum, StrEnum

import msgspec
import xxhash

from drumbay.comm.interface import Address
from drumbay.identifiers import BootId, NodeId

NO_ACCUSER = NodeId("")
"""Accuser of news that is no suspicion."""


class MemberState(IntEnum):
    """State of a member; at equal incarnation the larger value overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known about one member.

    Attributes:
        node_id: Name of the node; kept over restarts.
        address: Where the node is reached.
        zone: Failure domain within a region.
        region: Group of zones with short delays between them.
        boot_id: Run of the process.
        incarnation: Grows whenever the member overrides what is said about it, and with
            every new boot.
        labels: What the node offers, such as ``has_data_folder``.
        state: Alive, suspect, dead or left.
        application_revision: Number that the application on the node last announced.
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
        """Return whether the member counts as running: alive, or merely suspected."""
        return self.state <= MemberState.SUSPECT


class StateUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Compact news about a member whose full record the receivers hold.

    Attributes:
        node_id: The member.
        boot_mark: Short hash of the member's boot; receivers that know another boot wait
            for the full record.
        incarnation: Incarnation of the member that the news is about.
        state: The state.
        accuser: Who raised a suspicion; empty for other states.
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
    """Return the short hash of a boot that compact updates carry."""
    return xxhash.xxh32_intdigest(boot_id.encode())


def state_update_of(member: Member, accuser: NodeId = NO_ACCUSER) -> StateUpdate:
    """Return the compact news of a member's present state."""
    return StateUpdate(
        node_id=member.node_id,
        boot_mark=boot_mark_of(member.boot_id),
        incarnation=member.incarnation,
        state=member.state,
        accuser=accuser,
    )


class MemberChangeKind(StrEnum):
    """What happened to a member, as one node sees it."""

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
        member: The member as it is now known.
        previous: The member as it was known before; ``None`` if it was not.
    """

    kind: MemberChangeKind
    member: Member
    previous: Member | None


class MembershipSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timing and fan-out of the membership protocol.

    Attributes:
        probe_interval_seconds: Protocol period (SWIM, section 4): one probe starts in each.
        probe_timeout_seconds: Wait for a direct acknowledgement within the region.
        remote_timeout_factor: Factor on the wait for members of other regions.
        indirect_probes: Members asked to probe one that did not answer (SWIM, k).
        max_remote_probe_share: Largest share of probes that go to other regions.
        suspicion_multiplier: Shortest suspicion, in periods times log10 of the members.
        suspicion_max_factor: Longest suspicion over the shortest (Lifeguard, beta).
        suspicion_confirmations: Independent suspicions that bring it to the shortest.
        retransmit_multiplier: Transmissions of an update over log10 of the members.
        gossip_interval_seconds: Period of extra gossip while there is fresh news.
        gossip_fanout: Members that extra gossip goes to.
        sync_interval_seconds: Mean time between anti-entropy exchanges.
        sync_retry_seconds: Mean time to the next exchange after one that brought news.
        reconnect_interval_seconds: Mean time between contacts to a dead member or a seed.
        dead_retention_seconds: How long a dead member is remembered and contacted.
        left_retention_seconds: How long a member that left is remembered.
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
