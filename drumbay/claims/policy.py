"""Timeouts and retry limits of dispatchers."""

import msgspec

from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS


class ClaimPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and retry limits of a dispatcher.

    Attributes:
        vote_timeout_seconds: Timeout of one voting round, in which replicas write their votes to
            disk; must be below ``max_claim_age_seconds``.
        claim_timeout_seconds: No voting round starts later than this, and an epoch change is
            waited for no longer.
        max_claim_age_seconds: A claim older than this is not dispatched. It must be far
            below the retention of the replicas.
        store_timeout_seconds: How long an answer is withheld until a majority has stored it.
        retry_after_seconds: Retry delay reported to callers.
        max_rounds: Maximum number of voting rounds of one call.
    """

    vote_timeout_seconds: float = DURABLE_REPLY_TIMEOUT_SECONDS
    claim_timeout_seconds: float = 2.0
    max_claim_age_seconds: float = 10.0
    store_timeout_seconds: float = 0.5
    retry_after_seconds: float = 1.0
    max_rounds: int = 3
