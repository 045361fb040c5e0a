"""What a message may cost its receiver: time, bytes and interim heads. Pure; no I/O.

A peer may send bytes without end. :class:`ResponseUsage` measures one response against its
:class:`ResponseLimits`; :class:`ResponseMemory` bounds the bodies that a whole process holds.
Sizes of requests are limits of operators; here is how slowly they may arrive.
"""

from enum import StrEnum
from typing import Generic, TypeVar

import msgspec

ResponseT = TypeVar("ResponseT")

MAX_HEAD_BYTES = 65_536
MAX_HEAD_SECONDS = 0.6
"""Time from the first byte of a head until it is whole; long enough to send a lost packet again."""

MAX_INTERIM_HEADS = 5
MAX_BODY_BYTES = 33_554_432
MAX_REPORT_BYTES = 1_048_576
MAX_UNWANTED_BODY_BYTES = 65_536
MAX_UNWANTED_BODY_SECONDS = 0.1
"""A body that nobody wants is read to its end only so that its connection can be used again."""

MAX_SKIPPED_RESPONSES = 4
"""Responses to other requests that are passed over before the one to a request."""

MAX_SKIPPED_BODY_BYTES = 1_048_576
MAX_SKIPPED_BODY_SECONDS = 0.6
"""Size and time of the body of such a response."""

READ_BYTES = 16_384
"""Bytes that are read from a connection at once."""

MAX_UNREAD_BYTES = 32_768
"""Bytes of a body that are received ahead of their reader."""

MAX_PROCESS_BYTES = MAX_BODY_BYTES
"""Bytes of incomplete bodies that all responses of a process hold together."""

SMALL_BODY_BYTES = 32_768
"""Bodies up to this size are received even if others hold all of the memory."""

MAX_REQUEST_HEAD_SECONDS = 3.0
"""Time from the first bytes of a request's head until it is whole, unless operators set another."""


class ExcessReason(StrEnum):
    """Which limit a response exceeded."""

    HEAD_BYTES = "head_bytes"
    HEAD_SECONDS = "head_seconds"
    INTERIM_HEADS = "interim_heads"
    BODY_BYTES = "body_bytes"
    BODY_PACE = "body_pace"
    UNWANTED_BODY = "unwanted_body"
    SKIPPED_RESPONSES = "skipped_responses"
    """Too many responses to other requests came, or one without a known end."""
    PROCESS_MEMORY = "process_memory"
    SURPLUS_BYTES = "surplus_bytes"
    """Bytes came over an idle connection, for no request."""
    NO_EVENT = "no_event"
    """Bytes of a stream formed no event."""


class ResponseLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one response. How long a body may take is up to its reader."""

    head_bytes: int = MAX_HEAD_BYTES
    head_seconds: float = MAX_HEAD_SECONDS
    interim_heads: int = MAX_INTERIM_HEADS
    body_bytes: int = MAX_BODY_BYTES


DEFAULT_LIMITS = ResponseLimits()
REPORT_LIMITS = ResponseLimits(body_bytes=MAX_REPORT_BYTES)


class BodyPace(msgspec.Struct, frozen=True, kw_only=True):
    """How slowly a body may arrive, if nothing else bounds its time."""

    grace_seconds: float
    bytes_per_second: int

    def is_too_slow(self, seconds: float, received_bytes: int) -> bool:
        """Return whether a body arrives more slowly than any sound sender's would."""
        return seconds > self.grace_seconds + received_bytes / self.bytes_per_second


REQUEST_PACE = BodyPace(grace_seconds=30.0, bytes_per_second=1_024)
STORE_PACE = BodyPace(grace_seconds=5.0, bytes_per_second=16_384)


class ResponseUsage:
    """What one response has cost so far."""

    def __init__(self, limits: ResponseLimits) -> None:
        """Start before the first byte."""
        self._limits = limits
        self._interim_heads = 0
        self._body_bytes = 0

    def add_interim_head(self) -> ExcessReason | None:
        """Count an interim head; return the limit that it exceeds, if any."""
        self._interim_heads += 1
        if self._interim_heads > self._limits.interim_heads:
            return ExcessReason.INTERIM_HEADS
        return None

    def add_body(self, size_bytes: int) -> ExcessReason | None:
        """Count bytes of the body; return the limit that they exceed, if any."""
        self._body_bytes += size_bytes
        if self._body_bytes > self._limits.body_bytes:
            return ExcessReason.BODY_BYTES
        return None


class ResponseMemory(Generic[ResponseT]):
    """Bytes of incomplete bodies that a process holds, by response."""

    def __init__(self, limit_bytes: int = MAX_PROCESS_BYTES) -> None:
        """Start with nothing held."""
        self._limit_bytes = limit_bytes
        self._held: dict[ResponseT, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the bytes that all responses hold."""
        return self._total_bytes

    def fits(self, response: ResponseT, size_bytes: int) -> bool:
        """Return whether a response may hold so many bytes more."""
        if self._held.get(response, 0) + size_bytes <= SMALL_BODY_BYTES:
            return True
        return self._total_bytes + size_bytes <= self._limit_bytes

    def is_within_share(self, response: ResponseT, size_bytes: int) -> bool:
        """Return whether a response would hold no more than if all shared the memory evenly."""
        count = len(self._held.keys() | {response})
        return self._held.get(response, 0) + size_bytes <= self._limit_bytes // count

    def hold(self, response: ResponseT, size_bytes: int) -> None:
        """Count bytes that a response holds."""
        self._held[response] = self._held.get(response, 0) + size_bytes
        self._total_bytes += size_bytes

    def release(self, response: ResponseT) -> None:
        """Count what a response held no longer."""
        self._total_bytes -= self._held.pop(response, 0)

    def largest(self) -> ResponseT | None:
        """Return the response that holds the most bytes, if any does."""
        return max(self._held, key=lambda response: self._held[response], default=None)
