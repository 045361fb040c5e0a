"""Log records of the key-value emulator, read by history checkers."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import WatchEvent


class ChangeCause(StrEnum):
    """Cause of a key change."""

    TRANSACTION = "transaction"
    LEASE_EXPIRED = "lease_expired"
    LEASE_REVOKED = "lease_revoked"


class LoggedChange(msgspec.Struct, frozen=True, kw_only=True, tag="change"):
    """Key changes of one revision.

    Attributes:
        at_seconds: Time on the emulator's monotonic clock.
        revision: Revision created by the change.
        cause: Cause of the change.
        events: Changed keys, in the order of the operations.
    """

    at_seconds: float
    revision: Revision
    cause: ChangeCause
    events: tuple[WatchEvent, ...]


class LeaseAction(StrEnum):
    """Event in the life of a lease."""

    GRANTED = "granted"
    RENEWED = "renewed"
    REVOKED = "revoked"
    EXPIRED = "expired"


class LoggedLease(msgspec.Struct, frozen=True, kw_only=True, tag="lease"):
    """Log record of a lease event.

    Attributes:
        at_seconds: Time on the emulator's monotonic clock.
        lease_id: The lease.
        action: Kind of event.
        ttl_seconds: Time to live of the lease.
    """

    at_seconds: float
    lease_id: int
    action: LeaseAction
    ttl_seconds: float


LogEntry = LoggedChange | LoggedLease
