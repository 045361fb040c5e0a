"""Datagrams of the membership protocol (SWIM, Das, Gupta and Motivala 2002, section 3)."""

import msgspec

from drumbay.comm.interface import Address, Message
from drumbay.identifiers import NodeId
from drumbay.membership.records import Member, StateUpdate


class MembershipDatagram(Message, frozen=True, kw_only=True, array_like=True):
    """Base class: every datagram names its sender and carries news (SWIM, section 4.1).

    Attributes:
        sender: Node that sent the datagram.
        application_revision: The sender's application revision.
        updates: News about members known to all.
        records: Full records of members that are new or have restarted.
    """

    sender: NodeId
    application_revision: int = 0
    updates: tuple[StateUpdate, ...] = ()
    records: tuple[Member, ...] = ()


class Ping(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Asks the target for an acknowledgement.

    Attributes:
        sequence: Number that the acknowledgement repeats.
        target: Node that should answer; another node at its address stays silent.
    """

    sequence: int
    target: NodeId


class Ack(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Acknowledges a ping, directly or on behalf of the target of an indirect one.

    Attributes:
        sequence: Number of the ping.
        target: Node that is alive.
    """

    sequence: int
    target: NodeId


class IndirectPing(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Asks a helper to ping the target (SWIM's ping-req).

    Attributes:
        sequence: Number that the helper's answer repeats.
        target: Node to ping.
        target_address: Its address.
    """

    sequence: int
    target: NodeId
    target_address: Address


class Nack(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """A helper's answer that the target is silent (Lifeguard, section IV.A).

    Attributes:
        sequence: Number of the indirect ping.
    """

    sequence: int


class Gossip(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Carries news alone."""


class SyncRequest(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Starts an anti-entropy exchange.

    Attributes:
        record: The sender itself, so that a new node is known at once.
        digests: One digest for each bucket of members.
    """

    record: Member
    digests: tuple[int, ...]


class SyncUpdates(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Tells, in short, of the members of buckets that differ.

    Attributes:
        bucket_updates: The members' states.
        wanted_buckets: Buckets whose members the receiver should tell of in return.
    """

    bucket_updates: tuple[StateUpdate, ...]
    wanted_buckets: tuple[int, ...] = ()


class SyncWanted(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Asks for the full records of members that the sender does not know.

    Attributes:
        node_ids: The members.
    """

    node_ids: tuple[NodeId, ...]


class SyncMembers(MembershipDatagram, frozen=True, kw_only=True, array_like=True):
    """Carries full records that were asked for.

    Attributes:
        members: The members.
    """

    members: tuple[Member, ...]


class OutgoingDatagram(msgspec.Struct, frozen=True, kw_only=True):
    """A datagram to send."""

    address: Address
    message: MembershipDatagram
