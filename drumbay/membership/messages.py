"""Datagrams of the membership protocol (SWIM, Das, Gupta and Motivala 2002, section 3)."""

import msgspec

from drumbay.comm.interface import Address, Message
from drumbay.identifiers import NodeId
from drumbay.membership.records import Member, StateUpdate


class MembershipDatagram(Message, frozen=True, kw_only=True, array_like=True):
    """Base class: every datagram names its sender and piggybacks updates (SWIM, section 4.1).

    Attributes:
        sender: Node that sent the datagram.
        application_revision: The sender's application revision.
        updates: Compact updates about known members.
        records: Full records of members that are new or have restarted.
    """

    sender: NodeId
    application_revision: int = 0
    updates: tuple[StateUpdate, ...] = ()
    records: tuple[Member, ...] = ()


class Ping(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Requests an acknowledgement.

    Attributes:
        sequence: Sequence number, repeated in the acknowledgement.
        target: Node that should acknowledge; another node at its address ignores the ping.
    """

    sequence: int
    target: NodeId


class Ack(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Acknowledges a ping, directly or on behalf of the target of an indirect one.

    Attributes:
        sequence: Sequence number of the ping.
        target: Node that is alive.
    """

    sequence: int
    target: NodeId


class IndirectPing(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Asks a helper to ping the target (SWIM's ping-req).

    Attributes:
        sequence: Sequence number, repeated in the helper's response.
        target: Node to ping.
        target_address: Its address.
    """

    sequence: int
    target: NodeId
    target_address: Address


class Nack(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """A helper's response that the target did not acknowledge (Lifeguard, section IV.A).

    Attributes:
        sequence: Sequence number of the indirect ping.
    """

    sequence: int


class Gossip(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Carries only piggybacked updates."""


class SyncRequest(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Starts an anti-entropy exchange.

    Attributes:
        record: The sender's own record, so that a new node is known at once.
        digests: One digest per bucket of members.
    """

    record: Member
    digests: tuple[int, ...]


class SyncUpdates(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Carries compact updates of the members of buckets that differ.

    Attributes:
        bucket_updates: The members' states.
        wanted_buckets: Buckets that the receiver should send in return.
    """

    bucket_updates: tuple[StateUpdate, ...]
    wanted_buckets: tuple[int, ...] = ()


class SyncWanted(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Requests the full records of members that the sender does not know.

    Attributes:
        node_ids: The members.
    """

    node_ids: tuple[NodeId, ...]


class SyncMembers(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Carries the requested full records.

    Attributes:
        members: The members.
    """

    members: tuple[Member, ...]


class OutgoingDatagram(msgspec.Struct, frozen=True, kw_only=True):
    """A datagram to send."""

    address: Address
    message: MembershipDatagram
