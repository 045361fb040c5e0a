"""Key-value store client for the etcd v3 JSON gateway.

NOTE: requests use tornado's simple client, which opens a connection per request, and not its curl
client: libcurl resends a request on its own when a reused connection dies before the response. A
transaction that took effect would then be executed again and report a failed compare.
"""

import asyncio
import math
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TypeVar

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv import gateway_messages as messages
from drumbay.kv.etcd_watch import watch_gateway
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    Delete,
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueRateLimitedError,
    KeyValueUnavailableError,
    LeaseGrant,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)

BodyT = TypeVar("BodyT")

DEFAULT_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_REQUESTS = 32
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
CLEANUP_DELAY_SECONDS = 1.0
"""How long the socket of a request may stay open after its caller timed out."""


class EtcdGatewayStore:
    """Client of one etcd cluster."""

    def __init__(
        self,
        base_urls: tuple[str, ...],
        clock: Clock,
        *,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        """Create a client; it connects on first use, inside a running event loop.

        Args:
            base_urls: URLs of the members, e.g. ``http://10.0.0.1:2379``; tried in turn.
            clock: Time source.
            timeout_seconds: How long to wait for the response of one member.
        """
        self._base_urls = tuple(url.rstrip("/") for url in base_urls)
        self._current_member = 0
        self._clock = clock
        self._timeout_seconds = timeout_seconds
        self._http: SimpleAsyncHTTPClient | None = None

    def close(self) -> None:
        """Close the HTTP client."""
        if self._http is not None:
            self._http.close()
            self._http = None

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``."""
        key = prefix.encode()
        return await self._range(messages.find_range_start(key), messages.find_range_end(key))

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return the keys of ``prefix`` that sort after a key; etcd returns all of them."""
        start = max(messages.find_range_start(prefix.encode()), after.encode() + b"\0")
        return await self._range(start, messages.find_range_end(prefix.encode()))

    async def _range(self, start: bytes, end: bytes) -> RangeResult:
        request = messages.RangeRequest(key=start, range_end=end)
        try:
            body = await self._request(messages.RANGE_PATH, request, messages.RangeResponse)
        except KeyValueOutcomeUnknownError as error:
            raise KeyValueUnavailableError("no response to a read") from error
        items = tuple(messages.to_key_value(wire) for wire in body.kvs)
        return RangeResult(revision=Revision(int(body.header.revision)), items=items)

    async def transact(
        self,
        compares: tuple[ModRevisionIs, ...],
        operations: tuple[Put | Delete, ...],
    ) -> TransactionResult:
        """Execute ``operations`` atomically if all ``compares`` hold, else nothing."""
        request = messages.TransactionRequest(
            compare=[_to_wire_compare(compare) for compare in compares],
            success=[_to_wire_operation(operation) for operation in operations],
        )
        body = await self._request(messages.TXN_PATH, request, messages.TransactionResponse)
        revision = Revision(int(body.header.revision))
        return TransactionResult(succeeded=body.succeeded, revision=revision)

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease; its time to live is rounded up to whole seconds."""
        request = messages.LeaseGrantRequest(TTL=str(math.ceil(ttl_seconds)))
        body = await self._request(messages.LEASE_GRANT_PATH, request, messages.LeaseResponse)
        return LeaseGrant(lease_id=int(body.ID), ttl_seconds=float(body.TTL))

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds.

        Raises:
            LeaseNotFoundError: The lease has expired or was revoked.
        """
        request = messages.LeaseIdRequest(ID=str(lease_id))
        path = messages.LEASE_KEEPALIVE_PATH
        body = await self._request(path, request, messages.LeaseKeepAliveResult)
        ttl_seconds = float(body.result.TTL)
        if ttl_seconds <= 0:
            raise LeaseNotFoundError(f"lease {lease_id} not found")
        return ttl_seconds

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        request = messages.LeaseIdRequest(ID=str(lease_id))
        await self._request(messages.LEASE_REVOKE_PATH, request, messages.LeaseRevokeResponse)

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled.

        An etcd watch is an endless response that is silent while the prefix does not change. TCP
        keepalive detects a dead connection, and ``quiet_seconds`` is not used.
        """
        del quiet_seconds
        base_url = self._base_urls[self._current_member]
        try:
            watch = watch_gateway(base_url, prefix, start_revision, self._clock)
            async with aclosing(watch) as batches:
                async for batch in batches:
                    yield batch
        except KeyValueUnavailableError:
            self._switch_member()
            raise

    async def _request(
        self, path: str, request: msgspec.Struct, response_type: type[BodyT]
    ) -> BodyT:
        """Send a request to the members in turn until one accepts it."""
        last_error: KeyValueUnavailableError | None = None
        for _ in self._base_urls:
            try:
                return await self._request_member(path, request, response_type)
            except KeyValueRateLimitedError:
                raise
            except KeyValueUnavailableError as error:
                last_error = error
                self._switch_member()
            except KeyValueOutcomeUnknownError:
                self._switch_member()
                raise
        raise last_error or KeyValueUnavailableError("no members are known")

    async def _request_member(
        self, path: str, request: msgspec.Struct, response_type: type[BodyT]
    ) -> BodyT:
        http_request = HTTPRequest(
            self._base_urls[self._current_member] + path,
            method="POST",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(request),
            connect_timeout=self._timeout_seconds + CLEANUP_DELAY_SECONDS,
            request_timeout=self._timeout_seconds + CLEANUP_DELAY_SECONDS,
            follow_redirects=False,
        )
        response = await self._fetch(http_request)
        if response.code != 200:
            raise make_gateway_error(response.code, response.body)
        try:
            return msgspec.json.decode(response.body, type=response_type)
        except msgspec.MsgspecError as error:
            raise KeyValueOutcomeUnknownError("response cannot be decoded") from error

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Send one request and return the response.

        Raises:
            KeyValueUnavailableError: No connection was established.
            KeyValueOutcomeUnknownError: The request may have arrived, but no response did.
        """
        if self._http is None:
            self._http = SimpleAsyncHTTPClient(
                force_instance=True,
                max_clients=MAX_CONCURRENT_REQUESTS,
                max_body_size=MAX_RESPONSE_BYTES,
            )
        fetch = self._http.fetch(request, raise_error=False)
        fetch.add_done_callback(_retrieve_exception)
        # NOTE: tornado cannot abort a request; shielded, it ends by its own timeout.
        try:
            return await self._clock.wait_for(asyncio.shield(fetch), self._timeout_seconds)
        except ConnectionRefusedError as error:
            raise KeyValueUnavailableError("connection refused") from error
        except (DeadlineExceededError, HTTPClientError, OSError) as error:
            raise KeyValueOutcomeUnknownError("no response") from error

    def _switch_member(self) -> None:
        self._current_member = (self._current_member + 1) % len(self._base_urls)


def _retrieve_exception(fetch: "asyncio.Future[HTTPResponse]") -> None:
    """Retrieve the exception of an abandoned request so that asyncio does not report it."""
    if not fetch.cancelled():
        fetch.exception()


def make_gateway_error(http_status: int, body: bytes) -> KeyValueError:
    """Return the exception for an error response of the gateway.

    Only errors that guarantee that the request had no effect are reported as such.
    """
    try:
        error = msgspec.json.decode(body, type=messages.ErrorBody)
    except msgspec.MsgspecError:
        return KeyValueOutcomeUnknownError(f"status {http_status}")
    detail = error.message or error.error
    if http_status == 429:
        return KeyValueRateLimitedError(detail)
    if error.code == messages.StatusCode.NOT_FOUND and "lease" in detail:
        return LeaseNotFoundError(detail)
    if error.code == messages.StatusCode.INVALID_ARGUMENT:
        return KeyValueUnavailableError(detail)
    if detail == messages.NO_LEADER_MESSAGE:
        return KeyValueUnavailableError(detail)
    return KeyValueOutcomeUnknownError(detail)


def _to_wire_compare(compare: ModRevisionIs) -> messages.Compare:
    return messages.Compare(
        key=compare.key.encode(), mod_revision=str(compare.mod_revision), target="MOD"
    )


def _to_wire_operation(operation: Put | Delete) -> messages.RequestOperation:
    if isinstance(operation, Delete):
        delete = messages.DeleteRangeRequest(key=operation.key.encode())
        return messages.RequestOperation(request_delete_range=delete)
    put = messages.PutRequest(
        key=operation.key.encode(),
        value=operation.value,
        lease=messages.to_int64(operation.lease_id),
    )
    return messages.RequestOperation(request_put=put)
