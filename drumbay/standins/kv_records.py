"""Records of what the key-value stand-in truly did; history checkers read these."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import WatchEvent


class ChangeCause(StrEnum):
    """What made keys change."""

    TRANSACTION = "transaction"
    LEASE_EXPIRED = "lease_expired"
    LEASE_REVOKED = "lease_revoked"


class LoggedChange(msgspec.Struct, frozen=True, kw_only=True, tag="change"):
    """All key changes of one revision.

    Attributes:
        at_seconds: Time on the stand-in's monotonic clock.
        revision: Revision that the change made.
        cause: What made the change.
        events: The changed keys, in the order of the operations.
    """

    at_seconds: float
    revision: Revision
    cause: ChangeCause
    events: tuple[WatchEvent, ...]


class LeaseAction(StrEnum):
    """What happened to a lease."""

    GRANTED = "granted"
    RENEWED = "renewed"
    REVOKED = "revoked"
    EXPIRED = "expired"


class LoggedLease(msgspec.Struct, frozen=True, kw_only=True, tag="lease"):
    """One event in the life of a lease.

    Attributes:
        at_seconds: Time on the stand-in's monotonic clock.
        lease_id: The lease.
        action: What happened.
        ttl_seconds: Time to live that the lease was granted with.
    """

    at_seconds: float
    lease_id: int
    action: LeaseAction
    ttl_seconds: float


LogEntry = LoggedChange | LoggedLease
