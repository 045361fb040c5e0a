"""Calls between nodes: msgpack over HTTP/1.1, served and sent by tornado."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from drumbay.clock import Clock
from drumbay.comm.http_exchange import (
    ExchangeBrokenError,
    ExchangeNotSentError,
    ExchangeRefusedError,
    HttpExchange,
    HttpRequest,
)
from drumbay.comm.listener import Listener
from drumbay.comm.network_address import NetworkAddress
from drumbay.comm.response_writer import DeliveryOutcome, HttpResponse, write_response
from drumbay.comm.transfer_limits import MAX_HEAD_BYTES
from drumbay.exceptions import DeadlineExceededError, UnavailableError
from drumbay.observability.logs import log_event
from drumbay.peers.messages import PeerReply, PeerRequest

CONNECT_TIMEOUT_SECONDS = 0.3
STALL_TIMEOUT_SECONDS = 5.0
"""How long a reader may stall before its reply is dropped; exceeds the timeout of any call."""

MAX_CALL_BYTES = 67_108_864
"""A call may hand over a batch job, with the bodies of its items encoded."""

MAX_CALL_SECONDS = 30.0
"""Time for the head of a call, and for its body; callers give up long before."""

PEER_PATH = "/peer"
METRICS_PATH = "/metrics"

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(PeerRequest)
_reply_decoder = msgspec.msgpack.Decoder(PeerReply)


class PeerUnavailableError(UnavailableError):
    """A node did not reply to a call."""

    code = "peer_unavailable"


class PeerGoneError(PeerUnavailableError):
    """The connection was refused: the node's process has ended."""

    code = "peer_gone"


class PeerClient(Protocol):
    """Client for calls to other nodes."""

    async def call(
        self, address: NetworkAddress, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        """Return the node's reply.

        Raises:
            PeerUnavailableError: No reply came in time.
        """
        ...


class HttpPeerClient:
    """Calls other nodes over HTTP, with one connection per call."""

    def __init__(self, clock: Clock) -> None:
        """Use ``clock`` for timeouts."""
        self._clock = clock

    async def call(
        self, address: NetworkAddress, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        """Return the node's reply.

        Raises:
            PeerGoneError: The node's process has ended.
            PeerUnavailableError: No reply came in time.
        """
        outgoing = HttpRequest(
            method="POST",
            target=PEER_PATH,
            headers=(("Host", str(address)),),
            body=_encoder.encode(request),
        )
        try:
            body = await self._clock.wait_for(_exchange(address, outgoing), timeout_seconds)
            return _reply_decoder.decode(body)
        except ExchangeRefusedError as error:
            raise PeerGoneError(str(address)) from error
        except (
            ExchangeNotSentError,
            ExchangeBrokenError,
            DeadlineExceededError,
            msgspec.DecodeError,
        ) as error:
            raise PeerUnavailableError(f"{address}: {type(error).__name__}") from error


async def _exchange(address: NetworkAddress, request: HttpRequest) -> bytes:
    exchange = await HttpExchange.open(address, request, CONNECT_TIMEOUT_SECONDS)
    try:
        await exchange.read_status()
        return await exchange.read_body()
    finally:
        exchange.close()


class PeerServer:
    """Serves calls from other nodes, and the node's metrics."""

    def __init__(
        self,
        handle: Callable[[PeerRequest], Awaitable[PeerReply]],
        render_metrics: Callable[[], bytes],
    ) -> None:
        """Answer calls with ``handle``, and ``GET /metrics`` with ``render_metrics``."""
        self._handle = handle
        self._render_metrics = render_metrics
        self._server = HTTPServer(
            self._accept,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=MAX_CALL_BYTES,
            idle_connection_timeout=MAX_CALL_SECONDS,
            body_timeout=MAX_CALL_SECONDS,
        )
        self._listener = Listener(self._server)
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: NetworkAddress) -> None:
        """Listen on an address.

        Raises:
            OSError: The address is in use.
        """
        self._listener.listen(address)

    async def stop_listening(self) -> None:
        """Accept queued connections, then no more; open connections stay open."""
        await self._listener.close()

    async def wait_idle(self, timeout_seconds: float) -> None:
        """Wait until no call is running, or until the time is up."""
        if self._tasks:
            _, running = await asyncio.wait(self._tasks, timeout=timeout_seconds)
            if running:
                log_event("peer_calls_cut_off", calls=len(running))

    def _accept(self, request: HTTPServerRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._handle_request(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_request(self, request: HTTPServerRequest) -> None:
        if request.path == METRICS_PATH:
            await _reply(request, HttpResponse(status=200, body=self._render_metrics()))
            return
        try:
            decoded = _request_decoder.decode(request.body)
        except msgspec.DecodeError:
            await _reply(request, HttpResponse(status=400))
            return
        body = _encoder.encode(await self._handle(decoded))
        await _reply(request, HttpResponse(status=200, body=body))


async def _reply(request: HTTPServerRequest, response: HttpResponse) -> None:
    if request.connection is None:
        return
    if await write_response(request.connection, response, _is_stalled) is DeliveryOutcome.STALLED:
        log_event("peer_reply_not_read", peer=request.remote_ip, body_bytes=len(response.body))


def _is_stalled(stalled_seconds: float) -> bool:
    return stalled_seconds >= STALL_TIMEOUT_SECONDS
