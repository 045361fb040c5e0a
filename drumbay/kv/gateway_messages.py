"""Messages of the etcd v3 JSON gateway that drumbay uses.

Keys and values are base64, which is how msgspec encodes ``bytes``; 64-bit integers are decimal
strings, and fields with their default value may be omitted. See the API reference of
etcd, "gRPC gateway" (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
"""

from enum import IntEnum
from typing import Literal

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValue

Int64 = str | int
"""A 64-bit integer: encoded as a string, decoded from a string or a number."""

ZERO: Int64 = "0"
"""Default of integers; msgspec omits a default only if it is this same object."""

RANGE_PATH = "/v3/kv/range"
PUT_PATH = "/v3/kv/put"
TXN_PATH = "/v3/kv/txn"
COMPACTION_PATH = "/v3/kv/compaction"
WATCH_PATH = "/v3/watch"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEPALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"

NO_LEADER_MESSAGE = "etcdserver: no leader"
"""The only cause of status 503 that guarantees that a request had no effect."""


class StatusCode(IntEnum):
    """gRPC status codes in error bodies of the gateway."""

    INVALID_ARGUMENT = 3
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    UNAVAILABLE = 14


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error response."""

    error: str = ""
    message: str = ""
    code: int = 0


class ResponseHeader(msgspec.Struct, frozen=True, kw_only=True):
    """Header of every response."""

    revision: Int64 = ZERO


class WireKeyValue(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One key; a deletion contains only the key and its ``mod_revision``."""

    key: bytes
    create_revision: Int64 = ZERO
    mod_revision: Int64 = ZERO
    version: Int64 = ZERO
    value: bytes = b""
    lease: Int64 = ZERO


class RangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Read the keys from ``key`` up to, not including, ``range_end``."""

    key: bytes
    range_end: bytes = b""


class RangeResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The keys of a range."""

    header: ResponseHeader
    kvs: list[WireKeyValue] = []
    count: Int64 = ZERO


class PutRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Set a key."""

    key: bytes
    value: bytes = b""
    lease: Int64 = ZERO


class PutResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a put."""

    header: ResponseHeader


class DeleteRangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Delete one key."""

    key: bytes


class Compare(msgspec.Struct, frozen=True, kw_only=True, rename={"mod_revision": "modRevision"}):
    """Compare the modification revision of a key."""

    key: bytes
    mod_revision: Int64 = ZERO
    target: Literal["MOD"]
    result: Literal["EQUAL"] = "EQUAL"


class RequestOperation(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={"request_put": "requestPut", "request_delete_range": "requestDeleteRange"},
):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TransactionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Execute ``success`` if all compares hold."""

    compare: list[Compare] = []
    success: list[RequestOperation] = []


class TransactionResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a transaction."""

    header: ResponseHeader
    succeeded: bool = False


class CompactionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Discard the history before a revision."""

    revision: Int64


class LeaseGrantRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Grant a lease; ``TTL`` is in whole seconds."""

    TTL: Int64
    ID: Int64 = ZERO


class LeaseResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a grant or a keep-alive; ``TTL`` 0 means that the lease does not exist."""

    header: ResponseHeader
    ID: Int64 = ZERO
    TTL: Int64 = ZERO


class LeaseIdRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Identify the lease to keep alive or to revoke."""

    ID: Int64


class LeaseRevokeResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a revocation."""

    header: ResponseHeader


class LeaseKeepAliveResult(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the keep-alive stream."""

    result: LeaseResponse


class WatchCreateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Watch the keys from ``key`` up to, not including, ``range_end``."""

    key: bytes
    range_end: bytes = b""
    start_revision: Int64 = ZERO


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Open a watch."""

    create_request: WatchCreateRequest


class WireEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One change; the default type ``PUT`` may be omitted."""

    type: Literal["PUT", "DELETE"] = "PUT"
    kv: WireKeyValue


class WatchResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One message of a watch."""

    header: ResponseHeader
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = ZERO
    events: list[WireEvent] = []


class WatchResult(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the watch stream; it has a result or an error."""

    result: WatchResponse | None = None
    error: ErrorBody | None = None


def to_int64(value: int) -> Int64:
    """Convert an integer to its wire format."""
    return str(value) if value else ZERO


def find_range_end(prefix: bytes) -> bytes:
    """Return the end of the range of keys that start with ``prefix``."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


def find_range_start(prefix: bytes) -> bytes:
    """Return the start of the range; an empty prefix is encoded as one zero byte."""
    return prefix or b"\0"


def to_key_value(wire: WireKeyValue) -> KeyValue:
    """Convert a key from its wire format."""
    return KeyValue(
        key=wire.key.decode(),
        value=wire.value,
        create_revision=Revision(int(wire.create_revision)),
        mod_revision=Revision(int(wire.mod_revision)),
        version=int(wire.version),
        lease_id=int(wire.lease),
    )


def from_key_value(item: KeyValue) -> WireKeyValue:
    """Convert a key to its wire format."""
    return WireKeyValue(
        key=item.key.encode(),
        value=item.value,
        create_revision=str(item.create_revision),
        mod_revision=str(item.mod_revision),
        version=str(item.version),
        lease=to_int64(item.lease_id),
    )
