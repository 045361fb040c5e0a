"""Outgoing datagrams of the state machine, with piggybacked updates."""

import msgspec

from drumbay.comm.codec import MAX_DATAGRAM_MESSAGE_BYTES
from drumbay.comm.interface import Address
from drumbay.identifiers import NodeId
from drumbay.membership.dissemination import DisseminationQueue
from drumbay.membership.member_table import MemberTable
from drumbay.membership.messages import MembershipDatagram, OutgoingDatagram
from drumbay.membership.records import MemberState, StateUpdate, state_update_of


class Outbox:
    """Collects datagrams until the membership service sends them."""

    def __init__(self, table: MemberTable, queue: DisseminationQueue) -> None:
        """Create an empty outbox."""
        self._table = table
        self._queue = queue
        self._datagrams: list[OutgoingDatagram] = []

    def send(self, address: Address, recipient: NodeId | None, message: MembershipDatagram) -> None:
        """Queue a message with updates; one about the recipient comes first if it is not alive.

        A member informed of its own suspicion (Lifeguard's buddy system, section IV.C) can
        refute at once; one informed of its death can rejoin after a pause or a partition.
        """
        revision = self._table.self_member.application_revision
        message = msgspec.structs.replace(message, application_revision=revision)
        message = self._queue.attach(
            message,
            MAX_DATAGRAM_MESSAGE_BYTES,
            self._table.reachable_count + 1,
            first=self._update_about_recipient(recipient),
        )
        self._datagrams.append(OutgoingDatagram(address=address, message=message))

    def send_plain(self, address: Address, message: MembershipDatagram) -> None:
        """Queue a message without updates, as it may already fill a datagram."""
        self._datagrams.append(OutgoingDatagram(address=address, message=message))

    def drain(self) -> tuple[OutgoingDatagram, ...]:
        """Return and clear the collected datagrams."""
        datagrams = tuple(self._datagrams)
        self._datagrams.clear()
        return datagrams

    def _update_about_recipient(self, recipient: NodeId | None) -> StateUpdate | None:
        member = None if recipient is None else self._table.get(recipient)
        if member is None or member.state is MemberState.ALIVE:
            return None
        return state_update_of(member)
