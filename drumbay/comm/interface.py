"""The transport interface between nodes, and the base class of messages."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec

from drumbay.exceptions import UnavailableError


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of every message between nodes.

    The class name of a subclass is its tag on the wire, so it must be unique among all messages. A
    transport accepts the classes for which handlers are registered.
    """


class Failure(Message, frozen=True, kw_only=True):
    """Reply that represents an exception raised by the handler of a call."""

    code: str
    detail: str


class TransportError(UnavailableError):
    """A message could not be exchanged with a peer."""

    code = "transport"


class PeerUnreachableError(TransportError):
    """The request was not sent: the peer has not handled it."""

    code = "peer_unreachable"


class ReplyLostError(TransportError):
    """No reply arrived in time: the peer may have handled the request."""

    code = "reply_lost"


class RemoteFailureError(TransportError):
    """The peer handled the request and raised an exception.

    Attributes:
        remote_code: Code of the exception that the peer raised.
    """

    code = "remote_failure"

    def __init__(self, remote_code: str, detail: str) -> None:
        """Store the peer's failure code and detail."""
        super().__init__(f"{remote_code}: {detail}")
        self.remote_code = remote_code


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and port; TCP and UDP use the same port number."""

    host: str
    port: int


# NOTE: a handler's argument is the message class for which it is registered. The type system cannot
# express this relation, hence Any.
CallHandler = Callable[[Any], Awaitable[Message]]
DatagramHandler = Callable[[Address, Any], None]


class Transport(Protocol):
    """Exchange of typed messages with other nodes."""

    @property
    def address(self) -> Address:
        """Return the address at which this process is reached."""
        ...

    def handle_calls(self, request_type: type[Message], handler: CallHandler) -> None:
        """Serve calls whose request is a ``request_type`` with ``handler``.

        An exception raised by the handler reaches the caller as :class:`RemoteFailureError`.
        """
        ...

    def handle_datagrams(self, message_type: type[Message], handler: DatagramHandler) -> None:
        """Serve datagrams that carry a ``message_type`` with ``handler``."""
        ...

    async def call(self, peer: Address, request: Message, *, timeout_seconds: float) -> Message:
        """Send a request and return the peer's reply.

        Raises:
            PeerUnreachableError: The request was not handled.
            ReplyLostError: The request may have been handled.
            RemoteFailureError: The peer's handler raised.
        """
        ...

    def send_datagram(self, peer: Address, message: Message) -> None:
        """Send one message without delivery guarantee; never raises for network reasons."""
        ...
