"""Records of ownership: parameters, standings, changes and errors."""

from enum import StrEnum

import msgspec

from drumbay.exceptions import DrumbayError
from drumbay.identifiers import Fence, NodeId

OWNERSHIP_PREFIX = "/drumbay/ownership/"
"""Prefix of the keys that store the owner of a resource; each key is bound to a lease."""


class OwnershipError(DrumbayError):
    """Base class of ownership errors."""

    code = "ownership"


class StaleOwnerError(OwnershipError):
    """A receiver has recorded a newer fence of the resource than that of the request."""

    code = "stale_owner"


class OwnershipParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of ownership.

    Attributes:
        ttl_seconds: Time to live of a node's lease; bounds the time to a successor.
        renew_interval_seconds: Maximum time between renewals, reduced by jitter; with a third
            of the time to live, two consecutive renewals may fail.
        safety_margin_seconds: Subtracted from the validity of a lease, for clock drift and for
            the time between a check and the action.
        initial_retry_seconds: Maximum of the first delay after a failed request.
        max_retry_seconds: Maximum delay after a failed request.
        candidates: Number of nodes, by placement rank, that campaign for one resource.
        fallback_delay_seconds: Additional wait of each next rank before it campaigns.
        check_interval_seconds: How often a node checks for resources to campaign for.
        resync_interval_seconds: Maximum time between a candidate's reads of all owners, in
            case its watch stalls.
        standby_spread_seconds: Time over which standby candidates spread their first read.
    """

    ttl_seconds: float = 15.0
    renew_interval_seconds: float = 5.0
    safety_margin_seconds: float = 2.0
    initial_retry_seconds: float = 0.5
    max_retry_seconds: float = 5.0
    candidates: int = 3
    fallback_delay_seconds: float = 3.0
    check_interval_seconds: float = 1.0
    resync_interval_seconds: float = 60.0
    standby_spread_seconds: float = 15.0


class Standing(StrEnum):
    """Whether and how a node may act for a resource."""

    VALID = "valid"
    """The lease is certainly valid: the node may start new work."""

    SUSPENDED = "suspended"
    """The lease may have expired and no request has been sent since: the node must not act."""

    UNCONFIRMED = "unconfirmed"
    """The lease may have expired and the store is unreachable: the node may only continue work
    whose receivers all check the fence."""

    NOT_HELD = "not_held"
    """The node does not own the resource."""


class ChangeReason(StrEnum):
    """The reason for a change of standing."""

    CAMPAIGN_WON = "campaign_won"
    LEASE_RENEWED = "lease_renewed"
    VALIDITY_ENDED = "validity_ended"
    SERVICE_UNREACHABLE = "service_unreachable"
    LEASE_LOST = "lease_lost"
    KEY_REMOVED = "key_removed"
    RESIGNED = "resigned"
    SUPERSEDED = "superseded"


class OwnershipChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of this node's standing for one resource.

    Attributes:
        name: The resource.
        fence: Fence of the current or last ownership.
        standing: The new standing.
        reason: The reason for the change.
    """

    name: str
    fence: Fence
    standing: Standing
    reason: ChangeReason


class OwnerValue(msgspec.Struct, frozen=True, kw_only=True):
    """Value of an ownership key, stored as JSON so that operators can read it."""

    node_id: NodeId


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a resource according to the key-value store.

    Attributes:
        name: The resource.
        node_id: Its owner.
        fence: Create revision of its key; increases with every new owner.
        lease_id: The lease that the key is bound to.
    """

    name: str
    node_id: NodeId
    fence: Fence
    lease_id: int
