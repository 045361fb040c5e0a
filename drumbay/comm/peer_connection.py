"""Outgoing connection to one peer, which multiplexes concurrent calls."""

import asyncio

import msgspec
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from drumbay.comm.authentication import ConnectionOpener
from drumbay.comm.call_server import NOT_HANDLED_CODES
from drumbay.comm.codec import (
    MAX_FRAME_BYTES,
    FrameError,
    FrameKind,
    FrameTooLargeError,
    decode_envelope,
    encode_envelope,
)
from drumbay.comm.frame_stream import (
    MAX_WRITE_BUFFER_BYTES,
    bind_to_connection,
    read_frame,
    receive_nonce,
    write_frame,
)
from drumbay.comm.interface import (
    Address,
    Failure,
    Message,
    PeerUnreachableError,
    RemoteFailureError,
    ReplyLostError,
)
from drumbay.comm.session import TransportSession, destination_of
from drumbay.exceptions import DeadlineExceededError

MAX_OUTSTANDING_CALLS = 1024
CONNECT_TIMEOUT_SECONDS = 5.0


class TooManyOutstandingCallsError(PeerUnreachableError):
    """The connection has reached the limit of concurrent calls."""

    code = "too_many_outstanding_calls"


class _Link(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """An open connection: its stream, its nonce and the verifier of its replies."""

    stream: IOStream
    nonce: str
    opener: ConnectionOpener


class _PendingCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call waiting for its reply on the connection that carried the request."""

    link: _Link
    reply: asyncio.Future[Message]


class PeerConnection:
    """Calls to one peer over one TCP connection, opened on demand and reopened if lost."""

    def __init__(self, peer: Address, session: TransportSession) -> None:
        """Create a connection that is not open."""
        self._peer = peer
        self._session = session
        self._client = TCPClient()
        self._link: _Link | None = None
        self._connecting: asyncio.Task[_Link | PeerUnreachableError] | None = None
        self._pending: dict[int, _PendingCall] = {}

    @property
    def outstanding_calls(self) -> int:
        """Return the number of calls that wait for a reply."""
        return len(self._pending)

    async def call(self, request: Message, timeout_seconds: float) -> Message:
        """Send a request and return the reply; raises the errors of ``Transport.call``."""
        clock = self._session.clock
        deadline = clock.monotonic() + timeout_seconds
        link = await self._open_link(timeout_seconds)
        if len(self._pending) >= MAX_OUTSTANDING_CALLS:
            raise TooManyOutstandingCallsError(f"{MAX_OUTSTANDING_CALLS} calls wait for replies")
        call_id = self._session.next_call_id()
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = _PendingCall(link=link, reply=reply)
        try:
            self._send_request(link, call_id, request)
            message = await clock.wait_for(reply, max(0.0, deadline - clock.monotonic()))
        except DeadlineExceededError as error:
            raise ReplyLostError(f"no reply within {timeout_seconds:.3f} s") from error
        finally:
            self._pending.pop(call_id, None)
        if isinstance(message, Failure) and message.code in NOT_HANDLED_CODES:
            raise PeerUnreachableError(f"not handled: {message.code}")
        if isinstance(message, Failure):
            raise RemoteFailureError(message.code, message.detail)
        return message

    def _send_request(self, link: _Link, call_id: int, request: Message) -> None:
        payload = encode_envelope(FrameKind.REQUEST, call_id, request)
        destination = bind_to_connection(destination_of(self._peer), link.nonce)
        frame = self._session.sealer.seal(destination, payload)
        try:
            write_frame(link.stream, frame)
        except (StreamClosedError, StreamBufferFullError, FrameTooLargeError) as error:
            # Each of these is raised before any byte is queued.
            raise PeerUnreachableError(f"request not sent: {error}") from error

    async def _open_link(self, timeout_seconds: float) -> _Link:
        if self._link is not None and not self._link.stream.closed():
            return self._link
        if self._connecting is None:
            self._connecting = self._session.task_owner.spawn(
                self._connect(), name=f"connect-{destination_of(self._peer)}"
            )
            self._connecting.add_done_callback(self._handle_connected)
        try:
            # The shield keeps one caller's timeout from cancelling the attempt for the others.
            outcome = await self._session.clock.wait_for(
                asyncio.shield(self._connecting), timeout_seconds
            )
        except DeadlineExceededError as error:
            raise PeerUnreachableError("no connection in time") from error
        if isinstance(outcome, PeerUnreachableError):
            raise PeerUnreachableError(str(outcome)) from outcome
        return outcome

    def _handle_connected(self, task: asyncio.Task[_Link | PeerUnreachableError]) -> None:
        self._connecting = None

    async def _connect(self) -> _Link | PeerUnreachableError:
        try:
            link = await self._session.clock.wait_for(self._connect_link(), CONNECT_TIMEOUT_SECONDS)
        except (OSError, StreamClosedError, FrameError, DeadlineExceededError) as error:
            # Returned, not raised: an unreachable peer is not a failure of this task.
            return PeerUnreachableError(f"cannot connect: {error}")
        self._link = link
        self._session.task_owner.spawn(
            self._read_replies(link), name=f"replies-{destination_of(self._peer)}"
        )
        return link

    async def _connect_link(self) -> _Link:
        stream = await self._client.connect(
            self._peer.host, self._peer.port, max_buffer_size=MAX_FRAME_BYTES
        )
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        try:
            nonce = await receive_nonce(stream)
        except BaseException:
            stream.close()
            raise
        return _Link(stream=stream, nonce=nonce, opener=self._session.new_connection_opener())

    async def _read_replies(self, link: _Link) -> None:
        try:
            while True:
                self._handle_reply(link, await read_frame(link.stream))
        except StreamClosedError:
            pass
        except FrameError as error:
            self._session.record_rejected_frame(self._peer, error)
        finally:
            link.stream.close()
            if self._link is link:
                self._link = None
            self._fail_pending(link)

    def _handle_reply(self, link: _Link, frame: bytes) -> None:
        destination = bind_to_connection(self._session.boot_id, link.nonce)
        opened = link.opener.open(destination, frame)
        envelope = decode_envelope(opened.payload)
        pending = self._pending.get(envelope.call_id)
        if envelope.kind is not FrameKind.REPLY or pending is None or pending.reply.done():
            # The caller no longer waits for this reply.
            return
        try:
            message = self._session.registry.decode(envelope)
        except FrameError as error:
            pending.reply.set_exception(ReplyLostError(f"reply cannot be decoded: {error}"))
            return
        pending.reply.set_result(message)

    def _fail_pending(self, link: _Link) -> None:
        for pending in list(self._pending.values()):
            if pending.link is link and not pending.reply.done():
                error = ReplyLostError("the connection broke before the reply")
                pending.reply.set_exception(error)

    def close(self) -> None:
        """Close the connection; pending calls fail with :class:`ReplyLostError`."""
        if self._link is not None:
            self._link.stream.close()
            self._fail_pending(self._link)
            self._link = None
        self._client.close()
