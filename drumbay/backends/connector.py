"""HTTP requests to back ends, with proof of what may have been sent.

Built on tornado's curl client, which reuses connections. Three of its habits would break
the promises of :mod:`drumbay.backends.interface` and are switched off:

* libcurl sends a request again by itself when a reused connection dies before any byte of
  the answer. The engine or application may then run it twice. The callback that libcurl makes
  before it sends a request admits the first sending only, and tells whether any byte may have left.
* tornado queues requests when all handles are busy, and cancelling the caller leaves them
  in the queue. A request that finds no free handle is refused here before it is queued.
* tornado cannot abort a request. The progress callback of libcurl aborts it here.
"""

import asyncio

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from drumbay.backends.interface import BackendNotReachedError
from drumbay.backends.transfer import HttpAnswer, Transfer

DEFAULT_MAX_CONNECTIONS = 256
DEFAULT_CONNECT_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 64 << 20
USER_AGENT = "drumbay"


class HttpCall(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        headers: Request headers.
        body: Body; ``None`` for methods without one.
        timeout_seconds: Limit of the whole exchange.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None = None
    timeout_seconds: float


class HttpConnector:
    """Sends requests over reused connections."""

    def __init__(
        self,
        *,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        connect_timeout_seconds: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
        certificate_authority_file: str | None = None,
    ) -> None:
        """Create a connector.

        Args:
            max_connections: Requests in flight; more are refused.
            connect_timeout_seconds: Limit for establishing a connection.
            certificate_authority_file: PEM file that signs the back ends' certificates.
        """
        self._max_connections = max_connections
        self._connect_timeout_seconds = connect_timeout_seconds
        self._certificate_authority_file = certificate_authority_file
        self._in_flight = 0
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_connections, max_body_size=MAX_ANSWER_BYTES
        )

    @property
    def in_flight(self) -> int:
        """Requests that hold a connection."""
        return self._in_flight

    async def exchange(self, call: HttpCall) -> HttpAnswer:
        """Send a request and return once the head of its answer has arrived.

        Raises:
            BackendNotReachedError: No byte of the request was sent.
            ExchangeBrokenError: No answer arrived; the request may have run.
        """
        if self._in_flight >= self._max_connections:
            raise BackendNotReachedError("all connections are in use")
        transfer = Transfer()
        response = self._client.fetch(self._request(call, transfer), raise_error=False)
        self._in_flight += 1
        response.add_done_callback(self._release)
        transfer.follow(response)
        try:
            return await transfer.head()
        except asyncio.CancelledError:
            transfer.abort()
            raise

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _release(self, response: "asyncio.Future[HTTPResponse]") -> None:
        self._in_flight -= 1

    def _request(self, call: HttpCall, transfer: Transfer) -> HTTPRequest:
        return HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(call.headers),
            body=call.body,
            connect_timeout=min(self._connect_timeout_seconds, call.timeout_seconds),
            request_timeout=call.timeout_seconds,
            follow_redirects=False,
            user_agent=USER_AGENT,
            decompress_response=False,
            streaming_callback=transfer.add_part,
            prepare_curl_callback=transfer.prepare,
            ca_certs=self._certificate_authority_file,
            allow_nonstandard_methods=True,
        )
