"""HTTP client for backends that tracks whether any byte of a request may have been sent.

Built on tornado's curl client, which reuses connections. Three of its defaults violate the
contract of :mod:`drumbay.backends.interface` and are overridden:

* libcurl resends a request when a reused connection closes before any byte of the response, so
  the backend may run it twice. libcurl's pre-request callback allows only the first send and
  records whether any byte may have been sent.
* tornado queues requests when all handles are busy, and cancelling the caller leaves them in the
  queue. A request without a free handle fails here before it is queued.
* tornado cannot abort a request. It is aborted here through libcurl's progress callback.
"""

import asyncio

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from drumbay.backends.interface import BackendNotReachedError
from drumbay.backends.transfer import StreamedResponse, Transfer

DEFAULT_MAX_CONNECTIONS = 256
DEFAULT_CONNECT_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 64 << 20
USER_AGENT = "drumbay"


class HttpCall(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        headers: Request headers.
        body: Request body, or ``None`` for methods without one.
        timeout_seconds: Timeout of the whole exchange.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None = None
    timeout_seconds: float


class HttpConnector:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        *,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        connect_timeout_seconds: float = DEFAULT_CONNECT_TIMEOUT_SECONDS,
        certificate_authority_file: str | None = None,
    ) -> None:
        """Create a connector.

        Args:
            max_connections: Maximum number of requests in flight; further ones fail.
            connect_timeout_seconds: Timeout for establishing a connection.
            certificate_authority_file: PEM file with the CA certificates of the backends.
        """
        self._max_connections = max_connections
        self._connect_timeout_seconds = connect_timeout_seconds
        self._certificate_authority_file = certificate_authority_file
        self._in_flight = 0
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_connections, max_body_size=MAX_RESPONSE_BYTES
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a connection."""
        return self._in_flight

    async def exchange(self, call: HttpCall) -> StreamedResponse:
        """Send a request and return once the response headers have arrived.

        Raises:
            BackendNotReachedError: No byte of the request was sent.
            ExchangeBrokenError: No response arrived; the request may have run.
        """
        if self._in_flight >= self._max_connections:
            raise BackendNotReachedError("all connections are in use")
        transfer = Transfer()
        fetch_future = self._client.fetch(self._tornado_request(call, transfer), raise_error=False)
        self._in_flight += 1
        fetch_future.add_done_callback(self._on_fetch_done)
        transfer.track(fetch_future)
        try:
            return await transfer.response()
        except asyncio.CancelledError:
            transfer.abort()
            raise

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _on_fetch_done(self, fetch_future: "asyncio.Future[HTTPResponse]") -> None:
        self._in_flight -= 1

    def _tornado_request(self, call: HttpCall, transfer: Transfer) -> HTTPRequest:
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
            prepare_curl_callback=transfer.configure,
            ca_certs=self._certificate_authority_file,
            allow_nonstandard_methods=True,
        )
