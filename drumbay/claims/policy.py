"""Time limits of dispatchers."""

import msgspec

from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS


class ClaimPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits of a dispatcher.

    Attributes:
        vote_timeout_seconds: Limit of one round of votes, which are made durable first; below
            the age at which a claim is dispatched no more.
        claim_timeout_seconds: Time in which rounds begin, and limit of the wait for an epoch
            change.
        max_claim_age_seconds: A claim older than this is not dispatched. It must be far
            below the retention of the replicas.
        store_timeout_seconds: How long an answer waits to be stored on a majority.
        retry_after_seconds: What callers are told to wait.
        max_rounds: Attempts of one call to win the key.
    """

    vote_timeout_seconds: float = DURABLE_REPLY_TIMEOUT_SECONDS
    claim_timeout_seconds: float = 2.0
    max_claim_age_seconds: float = 10.0
    store_timeout_seconds: float = 0.5
    retry_after_seconds: float = 1.0
    max_rounds: int = 3
