"""Transport between nodes over TCP (calls) and UDP (datagrams) on the same port."""

import asyncio
import secrets
import socket

from tornado.netutil import bind_sockets

from drumbay.clock import Clock
from drumbay.comm.authentication import UnknownBootError
from drumbay.comm.call_server import CallServer
from drumbay.comm.codec import (
    MAX_DATAGRAM_BYTES,
    FrameError,
    FrameKind,
    FrameTooLargeError,
    InvalidFrameError,
    decode_envelope,
    encode_envelope,
    type_tag_of,
)
from drumbay.comm.interface import (
    Address,
    CallHandler,
    DatagramHandler,
    Message,
    PeerUnreachableError,
    TransportError,
)
from drumbay.comm.introduction import (
    BOOT_QUERY_TIMEOUT_SECONDS,
    BootQuestion,
    BootVerifier,
)
from drumbay.comm.peer_connection import PeerConnection
from drumbay.comm.session import TransportSession, destination_of
from drumbay.identifiers import BootId
from drumbay.tasks import TaskOwner

MAX_PEER_CONNECTIONS = 1024
MAX_BIND_ATTEMPTS = 16
BOOT_ID_BYTES = 8


class ListenError(TransportError):
    """The transport cannot listen on its address."""

    code = "listen"


def new_boot_id() -> BootId:
    """Return a random id for one run of a process."""
    return BootId(secrets.token_hex(BOOT_ID_BYTES))


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes the datagrams of a socket to the transport."""

    def __init__(self, transport: "TornadoTransport") -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._transport.receive_datagram(Address(addr[0], addr[1]), data)

    def error_received(self, exc: Exception) -> None:
        # An ICMP error for an earlier datagram; delivery is not guaranteed anyway.
        pass


class TornadoTransport:
    """Implements :class:`drumbay.comm.interface.Transport` over the network."""

    def __init__(
        self,
        address: Address,
        cluster_key: bytes,
        clock: Clock,
        task_owner: TaskOwner,
        *,
        boot_id: BootId | None = None,
        bind_host: str | None = None,
    ) -> None:
        """Create a transport that does not listen yet.

        Args:
            address: Address at which peers reach this process; port 0 selects a free port.
            cluster_key: Secret shared by all nodes.
            clock: Clock of this process.
            task_owner: Owner of the transport's tasks.
            boot_id: Id of this run of the process; random by default.
            bind_host: Local address to listen on, if it differs from ``address``.

        Raises:
            InvalidClusterKeyError: The key is too short.
        """
        self._address = address
        self._bind_host = bind_host if bind_host is not None else address.host
        self._session = TransportSession(
            cluster_key, boot_id if boot_id is not None else new_boot_id(), clock, task_owner
        )
        self._server = CallServer(address, self._session)
        self._datagram_handlers: dict[str, DatagramHandler] = {}
        self._datagram_endpoint: asyncio.DatagramTransport | None = None
        self._connections: dict[Address, PeerConnection] = {}
        self._closed = False
        self._boot_verifier = BootVerifier(self._session, self._query_boot)
        self.handle_calls(BootQuestion, self._boot_verifier.reply)

    @property
    def address(self) -> Address:
        """Return the address at which this process is reached."""
        return self._address

    @property
    def boot_id(self) -> BootId:
        """Return the id of this run of the process."""
        return self._session.boot_id

    @property
    def rejected_frame_counts(self) -> dict[str, int]:
        """Return the number of rejected frames by error code."""
        return dict(self._session.rejected_frame_counts)

    def handle_calls(self, request_type: type[Message], handler: CallHandler) -> None:
        """Serve calls whose request is a ``request_type`` with ``handler``."""
        self._server.add_handler(request_type, handler)

    def handle_datagrams(self, message_type: type[Message], handler: DatagramHandler) -> None:
        """Serve datagrams that carry a ``message_type`` with ``handler``."""
        self._datagram_handlers[type_tag_of(message_type)] = handler

    async def start(self) -> None:
        """Listen on TCP and UDP.

        Raises:
            ListenError: The address is in use or does not belong to this machine.
        """
        attempts = MAX_BIND_ATTEMPTS if self._address.port == 0 else 1
        for attempt in range(1, attempts + 1):
            try:
                await self._listen()
                return
            except OSError as error:
                # The selected TCP port is in use for UDP: try another one.
                if attempt == attempts:
                    raise ListenError(f"{destination_of(self._address)}: {error}") from error

    async def _listen(self) -> None:
        sockets = bind_sockets(self._address.port, address=self._bind_host)
        port = int(sockets[0].getsockname()[1])
        try:
            endpoint, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _DatagramProtocol(self), local_addr=(self._bind_host, port)
            )
        except OSError:
            _close_sockets(sockets)
            raise
        self._datagram_endpoint = endpoint
        self._address = Address(self._address.host, port)
        self._server.address = self._address
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close every connection; pending calls fail."""
        self._closed = True
        self._server.close()
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        if self._datagram_endpoint is not None:
            self._datagram_endpoint.close()
            self._datagram_endpoint = None

    async def call(self, peer: Address, request: Message, *, timeout_seconds: float) -> Message:
        """Send a request and return the peer's reply.

        Raises:
            PeerUnreachableError: The request was not handled.
            ReplyLostError: The request may have been handled.
            RemoteFailureError: The peer's handler raised.
        """
        if self._closed:
            raise PeerUnreachableError("the transport is closed")
        return await self._connection_to(peer).call(request, timeout_seconds)

    async def _query_boot(self, peer: Address, question: Message) -> Message:
        return await self.call(peer, question, timeout_seconds=BOOT_QUERY_TIMEOUT_SECONDS)

    def _connection_to(self, peer: Address) -> PeerConnection:
        connection = self._connections.pop(peer, None)
        if connection is None:
            self._evict_idle_connection()
            connection = PeerConnection(peer, self._session)
        # Keeps the dict in least recently used order.
        self._connections[peer] = connection
        return connection

    def _evict_idle_connection(self) -> None:
        if len(self._connections) < MAX_PEER_CONNECTIONS:
            return
        for peer, connection in self._connections.items():
            if connection.outstanding_calls == 0:
                connection.close()
                del self._connections[peer]
                return

    def send_datagram(self, peer: Address, message: Message) -> None:
        """Send one message without delivery guarantee; never raises for network reasons.

        Raises:
            FrameTooLargeError: The message does not fit into one datagram.
        """
        payload = encode_envelope(FrameKind.DATAGRAM, 0, message)
        frame = self._session.sealer.seal(destination_of(peer), payload)
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise FrameTooLargeError(f"datagram of {len(frame)} bytes, limit {MAX_DATAGRAM_BYTES}")
        if self._datagram_endpoint is not None:
            self._datagram_endpoint.sendto(frame, (peer.host, peer.port))

    def receive_datagram(self, sender: Address, frame: bytes) -> None:
        """Verify, decode and handle one datagram; an invalid one is counted and dropped."""
        try:
            if len(frame) > MAX_DATAGRAM_BYTES:
                raise FrameTooLargeError(f"datagram of {len(frame)} bytes")
            opened = self._session.datagram_opener.open(destination_of(self._address), frame)
            envelope = decode_envelope(opened.payload)
            if envelope.kind is not FrameKind.DATAGRAM:
                raise InvalidFrameError(f"unexpected {envelope.kind.name} frame in a datagram")
            handler = self._datagram_handlers.get(envelope.type_tag)
            if handler is None:
                return
            message = self._session.registry.decode(envelope)
        except UnknownBootError as error:
            self._session.record_rejected_frame(sender, error)
            self._boot_verifier.request(sender)
            return
        except FrameError as error:
            self._session.record_rejected_frame(sender, error)
            return
        handler(sender, message)


def _close_sockets(sockets: list[socket.socket]) -> None:
    for listener in sockets:
        listener.close()
