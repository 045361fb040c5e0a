"""The serving side of calls: accepts connections and runs the handlers."""

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from drumbay.comm.authentication import ConnectionOpener
from drumbay.comm.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameError,
    FrameKind,
    FrameTooLargeError,
    InvalidFrameError,
    decode_envelope,
    encode_envelope,
    type_tag_of,
)
from drumbay.comm.frame_stream import (
    MAX_WRITE_BUFFER_BYTES,
    bind_to_connection,
    read_frame,
    send_nonce,
    write_frame,
)
from drumbay.comm.interface import Address, CallHandler, Failure, Message
from drumbay.comm.session import TransportSession, destination_of
from drumbay.exceptions import DeadlineExceededError, DrumbayError
from drumbay.identifiers import BootId
from drumbay.observability.logs import log_event

MAX_INBOUND_CONNECTIONS = 2048
MAX_RUNNING_CALLS_PER_CONNECTION = 1024
FIRST_FRAME_TIMEOUT_SECONDS = 10.0


class CallNotHandledError(DrumbayError):
    """The peer replied without running a handler."""

    code = "call_not_handled"


class NoHandlerError(CallNotHandledError):
    """The peer does not serve calls of this type."""

    code = "no_handler"


class PeerOverloadedError(CallNotHandledError):
    """The peer has reached the limit of concurrent calls on this connection."""

    code = "peer_overloaded"


NOT_HANDLED_CODES = frozenset({NoHandlerError.code, PeerOverloadedError.code})
"""Failure codes which guarantee that no handler ran."""


class _InboundConnection:
    """State of one accepted connection."""

    def __init__(self, stream: IOStream, nonce: str, opener: ConnectionOpener) -> None:
        self.stream = stream
        self.nonce = nonce
        self.opener = opener
        self.running_calls = 0


class CallServer(TCPServer):
    """Serves the calls of peers with the registered handlers."""

    def __init__(self, address: Address, session: TransportSession) -> None:
        """Create a server for calls addressed to ``address``; it does not listen yet."""
        super().__init__(max_buffer_size=MAX_FRAME_BYTES)
        self.address = address
        self._session = session
        self._call_handlers: dict[str, CallHandler] = {}
        self._connections: dict[_InboundConnection, None] = {}

    def add_handler(self, request_type: type[Message], handler: CallHandler) -> None:
        """Register the handler of a request type."""
        self._call_handlers[type_tag_of(request_type)] = handler

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection until it is closed."""
        peer = Address(address[0], address[1])
        if len(self._connections) >= MAX_INBOUND_CONNECTIONS:
            log_event("connection_refused", level="WARNING", peer=destination_of(peer))
            stream.close()
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        try:
            nonce = send_nonce(stream)
        except StreamClosedError:
            return
        connection = _InboundConnection(stream, nonce, self._session.new_connection_opener())
        await self._serve_until_closed(connection, peer)

    async def _serve_until_closed(self, connection: _InboundConnection, peer: Address) -> None:
        self._connections[connection] = None
        try:
            await self._serve(connection)
        except (StreamClosedError, DeadlineExceededError):
            pass
        except FrameError as error:
            self._session.record_rejected_frame(peer, error)
        finally:
            connection.stream.close()
            del self._connections[connection]

    async def _serve(self, connection: _InboundConnection) -> None:
        # Closes connections that never authenticate.
        frame = await self._session.clock.wait_for(
            read_frame(connection.stream), FIRST_FRAME_TIMEOUT_SECONDS
        )
        self._handle_request(connection, frame)
        while True:
            self._handle_request(connection, await read_frame(connection.stream))

    def _handle_request(self, connection: _InboundConnection, frame: bytes) -> None:
        destination = bind_to_connection(destination_of(self.address), connection.nonce)
        opened = connection.opener.open(destination, frame)
        envelope = decode_envelope(opened.payload)
        if envelope.kind is not FrameKind.REQUEST:
            raise InvalidFrameError(f"expected a request, got a {envelope.kind.name} frame")
        if connection.running_calls >= MAX_RUNNING_CALLS_PER_CONNECTION:
            failure = _to_failure(PeerOverloadedError("too many calls are running"))
            self._reply(connection, opened.boot_id, envelope.call_id, failure)
            return
        connection.running_calls += 1
        self._session.task_owner.spawn(
            self._run_call(connection, opened.boot_id, envelope), name=f"call-{envelope.type_tag}"
        )

    async def _run_call(
        self, connection: _InboundConnection, caller_boot: BootId, envelope: Envelope
    ) -> None:
        try:
            reply = await self._run_handler(envelope)
        finally:
            connection.running_calls -= 1
        self._reply(connection, caller_boot, envelope.call_id, reply)

    async def _run_handler(self, envelope: Envelope) -> Message:
        handler = self._call_handlers.get(envelope.type_tag)
        if handler is None:
            return _to_failure(NoHandlerError(f"no handler for {envelope.type_tag!r}"))
        try:
            request = self._session.registry.decode(envelope)
            return await handler(request)
        except DrumbayError as error:
            return _to_failure(error)
        except Exception as error:
            log_event(
                "call_handler_failed",
                level="ERROR",
                call=envelope.type_tag,
                error=type(error).__name__,
                detail=str(error),
            )
            return Failure(code=DrumbayError.code, detail=type(error).__name__)

    def _reply(
        self, connection: _InboundConnection, caller_boot: BootId, call_id: int, reply: Message
    ) -> None:
        payload = encode_envelope(FrameKind.REPLY, call_id, reply)
        destination = bind_to_connection(caller_boot, connection.nonce)
        try:
            write_frame(connection.stream, self._session.sealer.seal(destination, payload))
        except FrameTooLargeError as error:
            self._reply(connection, caller_boot, call_id, _to_failure(error))
        except (StreamClosedError, StreamBufferFullError):
            # Closing the connection tells the caller that the reply is lost.
            connection.stream.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for connection in list(self._connections):
            connection.stream.close()


def _to_failure(error: DrumbayError) -> Failure:
    return Failure(code=error.code, detail=str(error))
