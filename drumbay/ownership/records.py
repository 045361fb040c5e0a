"""Typed records of ownership: parameters, standings, changes and failures."""

from enum import StrEnum

import msgspec

from drumbay.exceptions import DrumbayError
from drumbay.identifiers import Fence, NodeId

OWNERSHIP_PREFIX = "/drumbay/ownership/"
"""Keys below this prefix name the owner of a resource; each is bound to a lease."""


class OwnershipError(DrumbayError):
    """Root of the failures of ownership."""

    code = "ownership"


class StaleOwnerError(OwnershipError):
    """A receiver has seen a newer fence of the resource than the one it was given."""

    code = "stale_owner"


class OwnershipParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of ownership.

    Attributes:
        ttl_seconds: Time to live of a node's lease; bounds the time to a successor.
        renew_interval_seconds: Longest time between renewals, a little less by jitter; a
            third of the time to live lets two renewals in a row fail.
        safety_margin_seconds: Taken off a lease's validity: it covers clocks that run at
            different rates and the time between a check and the act.
        first_retry_seconds: Bound of the first delay after a failed request.
        longest_retry_seconds: Bound of every such delay.
        candidates: Nodes, by placement rank, that campaign for one resource.
        fallback_delay_seconds: How much longer each next rank waits before it campaigns.
        check_interval_seconds: How often a node looks for resources to campaign for.
        resync_interval_seconds: Longest time between a candidate's reads of all owners,
            in case its watch is open but delivers nothing.
        standby_spread_seconds: Span over which candidates that are first for nothing
            spread their first read.
    """

    ttl_seconds: float = 15.0
    renew_interval_seconds: float = 5.0
    safety_margin_seconds: float = 2.0
    first_retry_seconds: float = 0.5
    longest_retry_seconds: float = 5.0
    candidates: int = 3
    fallback_delay_seconds: float = 3.0
    check_interval_seconds: float = 1.0
    resync_interval_seconds: float = 60.0
    standby_spread_seconds: float = 15.0


class Standing(StrEnum):
    """How far a node may act for a resource."""

    VALID = "valid"
    """The lease is certainly held: the node may hand out new authority."""

    SUSPENDED = "suspended"
    """The lease may have run out and the service has not been asked since: do nothing."""

    UNCONFIRMED = "unconfirmed"
    """The lease may have run out, and the service could not be reached since: go on only
    with work whose every receiver checks the fence."""

    NOT_HELD = "not_held"
    """The node does not own the resource."""


class ChangeReason(StrEnum):
    """Why a standing changed."""

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
        fence: Fence under which it is or was owned.
        standing: The new standing.
        reason: Why it changed.
    """

    name: str
    fence: Fence
    standing: Standing
    reason: ChangeReason


class OwnerValue(msgspec.Struct, frozen=True, kw_only=True):
    """Value of an ownership key, as JSON so that operators can read it."""

    node_id: NodeId


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who owns a resource, as the key-value service says.

    Attributes:
        name: The resource.
        node_id: Its owner.
        fence: Create revision of its key; every new owner has a larger one.
        lease_id: The lease that the key is bound to.
    """

    name: str
    node_id: NodeId
    fence: Fence
    lease_id: int
