"""Staleness rules: pure decisions against the versions that a trainer accepts.

The trainer states the oldest version that it accepts. A forecast tells whether a sample
will still be accepted when it is taken. The forecast only saves work: running samples are
checked against what the trainer states, and delivery checks again at the hand-over.
"""

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from drumbay.identifiers import WeightVersion
from drumbay.rollout.sample import TokenSpan


class FloorForecast(msgspec.Struct, frozen=True, kw_only=True):
    """What the trainer accepts now, and what it will accept when it takes later batches.

    Each step that the trainer takes raises the oldest accepted version by one. It waits for
    the samples of the step it collects, so the step of a sample says more than the time
    about the versions that will be accepted when it is taken.

    Attributes:
        accepted: Oldest version that the trainer accepts now.
        accepted_next: Oldest version that it will accept when it collects its next batch.
        newest_version: Newest version that is published; engines will load it.
        version_next: Version that it will have when it collects its next batch.
        next_step: Step whose samples make up most of the next batch.
        next_collection_at: When that batch is collected, in monotonic seconds.
        interval_seconds: Expected time between batches.
        deferrable_steps: By how many batches a late sample may be put off.
    """

    accepted: WeightVersion
    accepted_next: WeightVersion
    newest_version: WeightVersion = WeightVersion(0)
    version_next: WeightVersion = WeightVersion(0)
    next_step: int = 0
    next_collection_at: float = 0.0
    interval_seconds: float = 60.0
    deferrable_steps: int = 0

    def differs_from(self, other: "FloorForecast | None") -> bool:
        """Return whether decisions may differ from those under another forecast."""
        if other is None:
            return True
        return msgspec.structs.replace(other, next_collection_at=self.next_collection_at) != self

    def accepted_when_taken(self, step: int, finish_at: float) -> WeightVersion:
        """Return the oldest version accepted when a sample is expected to be taken."""
        batches = max(0, step - self.next_step)
        due_at = self.next_collection_at + batches * self.interval_seconds
        batches_late = math.ceil((finish_at - due_at) / self.interval_seconds)
        deferred = min(max(0, batches_late), self.deferrable_steps)
        return WeightVersion(self.accepted_next + batches + deferred)


class DispatchVerdict(StrEnum):
    """Whether a sample may be dispatched to an engine that serves a version."""

    ALLOWED = "allowed"
    WOULD_EXPIRE = "would_expire"
    """Accepted now, but expected to be refused when it ends."""

    NOT_ACCEPTED = "not_accepted"
    """Never dispatch: the trainer does not accept the version."""


def judge_dispatch(
    version: WeightVersion, forecast: FloorForecast, step: int, expected_finish_at: float
) -> DispatchVerdict:
    """Judge a dispatch whose oldest token will be of ``version``, for a sample of a step."""
    if version < forecast.accepted:
        return DispatchVerdict.NOT_ACCEPTED
    if version < forecast.accepted_when_taken(step, expected_finish_at):
        return DispatchVerdict.WOULD_EXPIRE
    return DispatchVerdict.ALLOWED


def accepted_prefix(spans: Sequence[TokenSpan], accepted: WeightVersion) -> int:
    """Return how many leading tokens may be kept.

    A completion continues its prefix, so tokens after the first stale span are lost
    with it, whatever their own version.
    """
    kept = 0
    for span in spans:
        if span.weight_version < accepted:
            break
        kept = span.first_index + span.token_count
    return kept
