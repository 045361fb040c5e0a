"""The transport of a simulated process; implements :class:`drumbay.comm.interface.Transport`."""

import asyncio
from functools import cache

import msgspec

from drumbay.comm.interface import (
    Address,
    CallHandler,
    DatagramHandler,
    Failure,
    Message,
    PeerUnreachableError,
    RemoteFailureError,
    ReplyLostError,
)
from drumbay.exceptions import DrumbayError
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.process import SimulatedProcess

_ESTABLISHED_CONNECTION_PROBABILITY = 0.5
"""Probability that a call over a cut path used an open connection, so its outcome is unknown."""


class MissingHandlerError(DrumbayError):
    """A message arrived for which no handler is registered."""

    code = "missing_handler"


@cache
def _decoder(message_type: type[Message]) -> "msgspec.msgpack.Decoder[Message]":
    return msgspec.msgpack.Decoder(message_type)


class _Frame:
    """A message in its encoded form."""

    __slots__ = ("message_type", "payload")

    def __init__(self, message: Message) -> None:
        self.message_type = type(message)
        self.payload = msgspec.msgpack.encode(message)

    def decode(self) -> Message:
        """Return the message as the receiver sees it."""
        return _decoder(self.message_type).decode(self.payload)


class SimulatedTransport:
    """Transport of one process over a :class:`SimulatedNetwork`.

    Messages are encoded and decoded as on a real network, so that types that cannot be
    encoded fail in simulations too.

    Attributes:
        process: Process that owns the transport.
    """

    def __init__(
        self, network: SimulatedNetwork, address: Address, process: SimulatedProcess
    ) -> None:
        """Attach ``process`` to the network at the address of its host."""
        self.process = process
        self._network = network
        self._address = address
        self._call_handlers: dict[type[Message], CallHandler] = {}
        self._datagram_handlers: dict[type[Message], DatagramHandler] = {}
        network.attach(self)

    @property
    def address(self) -> Address:
        """Return the address of this process."""
        return self._address

    def handle_calls(self, request_type: type[Message], handler: CallHandler) -> None:
        """Serve calls whose request is a ``request_type`` with ``handler``."""
        self._call_handlers[request_type] = handler

    def handle_datagrams(self, message_type: type[Message], handler: DatagramHandler) -> None:
        """Serve datagrams that carry a ``message_type`` with ``handler``."""
        self._datagram_handlers[message_type] = handler

    async def call(self, peer: Address, request: Message, *, timeout_seconds: float) -> Message:
        """Send a request and return the peer's reply.

        Raises:
            PeerUnreachableError: The request was not handled.
            ReplyLostError: The request may have been handled.
            RemoteFailureError: The peer's handler raised.
        """
        self.process.raise_if_killed()
        frame = _Frame(request)
        outcome: asyncio.Future[_Frame] = asyncio.get_running_loop().create_future()
        timeout_error = self._timeout_error(peer, timeout_seconds)
        timer = self.process.schedule(timeout_seconds, lambda: _set_error(outcome, timeout_error))
        try:
            self._send_request(peer, frame, outcome)
            reply = (await outcome).decode()
        finally:
            timer.cancel()
        if isinstance(reply, Failure):
            raise RemoteFailureError(reply.code, reply.detail)
        return reply

    def _timeout_error(self, peer: Address, timeout_seconds: float) -> Exception:
        """Return the error of a call that times out."""
        cut = self._network.is_cut(self._address, peer)
        if cut and self._network.random.random() > _ESTABLISHED_CONNECTION_PROBABILITY:
            return PeerUnreachableError(f"no connection to {peer.host} in {timeout_seconds:.3f} s")
        return ReplyLostError(f"no reply from {peer.host} in {timeout_seconds:.3f} s")

    def _send_request(
        self, peer: Address, frame: _Frame, outcome: "asyncio.Future[_Frame]"
    ) -> None:
        network = self._network
        network.trace.record(
            "call", self._address.host, peer.host, frame.message_type.__name__, frame.payload
        )
        if network.is_cut(self._address, peer):
            # The request never arrives: either no connection was established or its frames
            # are lost. _timeout_error decides which of the two the caller observes.
            return
        if network.transport_at(peer) is None:
            round_trip = 2 * network.draw_delay(self._address, peer)
            refused_error = PeerUnreachableError(f"connection refused by {peer.host}")
            self.process.schedule(round_trip, lambda: _set_error(outcome, refused_error))
            return

        def on_arrival() -> None:
            receiver = network.transport_at(peer)
            if receiver is None:
                self.receive_reset(peer, outcome)
                return
            receiver.process.deliver(lambda: receiver.serve(self, frame, outcome))

        network.transmit_frame(self._address, peer, len(frame.payload), on_arrival)

    def receive_reset(self, peer: Address, outcome: "asyncio.Future[_Frame]") -> None:
        """Handle a connection that ``peer`` closed before it replied."""
        reset_error = ReplyLostError(f"connection reset by {peer.host}")
        self._network.transmit_frame(
            peer,
            self._address,
            0,
            lambda: self.process.deliver(lambda: _set_error(outcome, reset_error)),
        )

    def serve(
        self, caller: "SimulatedTransport", frame: _Frame, outcome: "asyncio.Future[_Frame]"
    ) -> None:
        """Handle a request that has arrived and send the reply to ``caller``."""
        name = f"serve {frame.message_type.__name__}"
        self.process.spawn(self._serve(caller, frame, outcome), name)

    async def _serve(
        self, caller: "SimulatedTransport", frame: _Frame, outcome: "asyncio.Future[_Frame]"
    ) -> None:
        try:
            reply = _Frame(await self._handle(frame))
        except asyncio.CancelledError:
            # The operating system closes the connections of an exiting process.
            caller.receive_reset(self._address, outcome)
            raise
        self._network.trace.record("reply", self._address.host, caller.address.host, reply.payload)
        self._network.transmit_frame(
            self._address,
            caller.address,
            len(reply.payload),
            lambda: caller.process.deliver(lambda: _set_reply(outcome, reply)),
        )

    async def _handle(self, frame: _Frame) -> Message:
        handler = self._call_handlers.get(frame.message_type)
        try:
            if handler is None:
                raise MissingHandlerError(f"no handler for {frame.message_type.__name__}")
            return await handler(frame.decode())
        except DrumbayError as error:
            return Failure(code=error.code, detail=str(error))
        except Exception as error:
            # An unexpected error in the handler is reported to the peer as well.
            return Failure(code=DrumbayError.code, detail=f"{type(error).__name__}: {error}")

    def send_datagram(self, peer: Address, message: Message) -> None:
        """Send one message without delivery guarantee; network failures raise no error."""
        if not self.process.alive:
            return
        network = self._network
        frame = _Frame(message)
        network.trace.record(
            "datagram", self._address.host, peer.host, frame.message_type.__name__, frame.payload
        )

        def on_arrival() -> None:
            receiver = network.transport_at(peer)
            if receiver is not None:
                receiver.process.deliver(lambda: receiver.receive_datagram(self._address, frame))

        network.transmit_datagram(self._address, peer, len(frame.payload), on_arrival)

    def receive_datagram(self, source: Address, frame: _Frame) -> None:
        """Pass a datagram to its handler; drop it if there is none."""
        handler = self._datagram_handlers.get(frame.message_type)
        if handler is not None:
            self.process.run(lambda: handler(source, frame.decode()))


def _set_reply(outcome: "asyncio.Future[_Frame]", reply: _Frame) -> None:
    if not outcome.done():
        outcome.set_result(reply)


def _set_error(outcome: "asyncio.Future[_Frame]", error: Exception) -> None:
    if not outcome.done():
        outcome.set_exception(error)
