"""Staleness checks against the oldest weight version that a trainer accepts; pure functions.

A forecast predicts whether a sample will still be accepted when the trainer collects it. It is
used only to avoid wasted work: running samples are checked against the version that the trainer
currently accepts, and delivery checks them again.
"""

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from drumbay.identifiers import WeightVersion
from drumbay.rollout.sample import TokenSpan


class StalenessForecast(msgspec.Struct, frozen=True, kw_only=True):
    """Versions that the trainer accepts now and is expected to accept for later batches.

    Each training step raises the oldest accepted version by one. Since the trainer waits for the
    samples of a step, the accepted versions depend mainly on the step of a sample, and less on
    time.

    Attributes:
        oldest_accepted: Oldest version that the trainer accepts now.
        next_oldest_accepted: Oldest version that it will accept for its next batch.
        newest_version: Newest published version.
        next_version: Newest version when the trainer collects its next batch.
        next_step: Step of most samples of the next batch.
        next_collection_at: Expected monotonic time at which the next batch is collected.
        interval_seconds: Expected time between batches.
        deferrable_steps: Number of batches by which a late sample may be deferred.
    """

    oldest_accepted: WeightVersion
    next_oldest_accepted: WeightVersion
    newest_version: WeightVersion = WeightVersion(0)
    next_version: WeightVersion = WeightVersion(0)
    next_step: int = 0
    next_collection_at: float = 0.0
    interval_seconds: float = 60.0
    deferrable_steps: int = 0

    def differs_from(self, other: "StalenessForecast | None") -> bool:
        """Return whether anything but the time of the next batch differs."""
        if other is None:
            return True
        return msgspec.structs.replace(other, next_collection_at=self.next_collection_at) != self

    def oldest_accepted_at_collection(self, step: int, finish_at: float) -> WeightVersion:
        """Return the oldest version accepted when the trainer is expected to collect a sample."""
        batches = max(0, step - self.next_step)
        due_at = self.next_collection_at + batches * self.interval_seconds
        batches_late = math.ceil((finish_at - due_at) / self.interval_seconds)
        deferred = min(max(0, batches_late), self.deferrable_steps)
        return WeightVersion(self.next_oldest_accepted + batches + deferred)


class DispatchVerdict(StrEnum):
    """Whether a sample may be dispatched to an engine that serves a version."""

    ALLOWED = "allowed"
    WOULD_EXPIRE = "would_expire"
    """Accepted now, but expected to be too stale when the sample is finished."""

    NOT_ACCEPTED = "not_accepted"
    """The trainer does not accept the version now."""


def dispatch_verdict(
    version: WeightVersion, forecast: StalenessForecast, step: int, expected_finish_at: float
) -> DispatchVerdict:
    """Return the verdict on a dispatch; ``version`` is the oldest that generates its tokens."""
    if version < forecast.oldest_accepted:
        return DispatchVerdict.NOT_ACCEPTED
    if version < forecast.oldest_accepted_at_collection(step, expected_finish_at):
        return DispatchVerdict.WOULD_EXPIRE
    return DispatchVerdict.ALLOWED


def accepted_prefix(spans: Sequence[TokenSpan], oldest_accepted: WeightVersion) -> int:
    """Return how many leading tokens are not too stale.

    Tokens after the first stale span depend on it, so they are excluded regardless of their own
    version.
    """
    kept = 0
    for span in spans:
        if span.weight_version < oldest_accepted:
            break
        kept = span.first_index + span.token_count
    return kept
