"""The outgoing connection to one peer, which carries many calls at once."""

import asyncio

import msgspec
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from drumbay.comm.call_server import NOT_HANDLED_CODES
from drumbay.comm.codec import (
    MAX_FRAME_BYTES,
    FrameError,
    FrameKind,
    FrameTooLargeError,
    decode_envelope,
    encode_envelope,
)
from drumbay.comm.frame_stream import MAX_WRITE_BUFFER_BYTES, read_frame, write_frame
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
    """The connection to the peer already carries as many calls as it may."""

    code = "too_many_outstanding_calls"


class _PendingCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that waits for its reply on the stream that carried the request."""

    stream: IOStream
    reply: asyncio.Future[Message]


class PeerConnection:
    """Calls to one peer over one TCP connection, opened at need and opened again if lost."""

    def __init__(self, peer: Address, session: TransportSession) -> None:
        """Create a connection that is not open."""
        self._peer = peer
        self._session = session
        self._client = TCPClient()
        self._stream: IOStream | None = None
        self._connecting: asyncio.Task[IOStream | PeerUnreachableError] | None = None
        self._last_call_id = 0
        self._pending: dict[int, _PendingCall] = {}

    @property
    def outstanding_calls(self) -> int:
        """Return how many calls wait for a reply."""
        return len(self._pending)

    async def call(self, request: Message, timeout_seconds: float) -> Message:
        """Send a request and return the reply; errors as of ``Transport.call``."""
        clock = self._session.clock
        deadline = clock.monotonic() + timeout_seconds
        stream = await self._connected_stream(timeout_seconds)
        if len(self._pending) >= MAX_OUTSTANDING_CALLS:
            raise TooManyOutstandingCallsError(f"{MAX_OUTSTANDING_CALLS} calls wait for replies")
        self._last_call_id += 1
        call_id = self._last_call_id
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = _PendingCall(stream=stream, reply=reply)
        try:
            self._send_request(stream, call_id, request)
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

    def _send_request(self, stream: IOStream, call_id: int, request: Message) -> None:
        payload = encode_envelope(FrameKind.REQUEST, call_id, request)
        frame = self._session.sealer.seal(destination_of(self._peer), payload)
        try:
            write_frame(stream, frame)
        except (StreamClosedError, StreamBufferFullError, FrameTooLargeError) as error:
            # Each of these is raised before a byte was queued.
            raise PeerUnreachableError(f"request not sent: {error}") from error

    async def _connected_stream(self, timeout_seconds: float) -> IOStream:
        if self._stream is not None and not self._stream.closed():
            return self._stream
        if self._connecting is None:
            self._connecting = self._session.task_owner.spawn(
                self._connect(), name=f"connect-{destination_of(self._peer)}"
            )
            self._connecting.add_done_callback(self._handle_connected)
        try:
            # The shield keeps a caller that gives up from ending the attempt for the others.
            outcome = await self._session.clock.wait_for(
                asyncio.shield(self._connecting), timeout_seconds
            )
        except DeadlineExceededError as error:
            raise PeerUnreachableError("no connection in time") from error
        if isinstance(outcome, PeerUnreachableError):
            raise PeerUnreachableError(str(outcome)) from outcome
        return outcome

    def _handle_connected(self, task: asyncio.Task[IOStream | PeerUnreachableError]) -> None:
        self._connecting = None

    async def _connect(self) -> IOStream | PeerUnreachableError:
        try:
            stream = await self._session.clock.wait_for(
                self._client.connect(
                    self._peer.host, self._peer.port, max_buffer_size=MAX_FRAME_BYTES
                ),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, StreamClosedError, DeadlineExceededError) as error:
            # Returned, not raised: a peer that is down is no failure of this task.
            return PeerUnreachableError(f"cannot connect: {error}")
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        self._stream = stream
        self._session.task_owner.spawn(
            self._read_replies(stream), name=f"replies-{destination_of(self._peer)}"
        )
        return stream

    async def _read_replies(self, stream: IOStream) -> None:
        try:
            while True:
                self._handle_reply(await read_frame(stream))
        except StreamClosedError:
            pass
        except FrameError as error:
            self._session.note_refusal(self._peer, error)
        finally:
            stream.close()
            if self._stream is stream:
                self._stream = None
            self._fail_pending(stream)

    def _handle_reply(self, frame: bytes) -> None:
        opened = self._session.reply_opener.open(self._session.boot_id, frame)
        envelope = decode_envelope(opened.payload)
        pending = self._pending.get(envelope.call_id)
        if envelope.kind is not FrameKind.REPLY or pending is None or pending.reply.done():
            # The caller has given up on this call.
            return
        try:
            message = self._session.registry.decode(envelope)
        except FrameError as error:
            pending.reply.set_exception(ReplyLostError(f"reply cannot be decoded: {error}"))
            return
        pending.reply.set_result(message)

    def _fail_pending(self, stream: IOStream) -> None:
        for pending in list(self._pending.values()):
            if pending.stream is stream and not pending.reply.done():
                error = ReplyLostError("the connection broke before the reply")
                pending.reply.set_exception(error)

    def close(self) -> None:
        """Close the connection; waiting calls fail with :class:`ReplyLostError`."""
        if self._stream is not None:
            self._stream.close()
            self._fail_pending(self._stream)
            self._stream = None
        self._client.close()
