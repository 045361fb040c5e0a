"""Staleness rules: pure decisions against the versions that a trainer accepts.

The trainer states its floor, the oldest version it accepts. The floor rises by one with
every step the trainer takes, so a forecast tells whether a sample that ends later will
still be accepted. The forecast only saves work: delivery checks the truth again.
"""

import math
from collections.abc import Sequence
from enum import StrEnum

import msgspec

from drumbay.identifiers import WeightVersion
from drumbay.rollout.sample import TokenSpan


class FloorForecast(msgspec.Struct, frozen=True, kw_only=True):
    """The oldest accepted version now, and when it is expected to rise.

    Attributes:
        accepted: Oldest version that the trainer accepts now.
        next_rise_at: Monotonic time of the next expected rise, in seconds.
        rise_interval_seconds: Expected time between later rises.
    """

    accepted: WeightVersion
    next_rise_at: float = math.inf
    rise_interval_seconds: float = math.inf

    def accepted_at(self, at: float) -> WeightVersion:
        """Return the oldest version that is expected to be accepted at a later time."""
        if at < self.next_rise_at:
            return self.accepted
        later_rises = (at - self.next_rise_at) // self.rise_interval_seconds
        return WeightVersion(self.accepted + 1 + int(later_rises))


class DispatchVerdict(StrEnum):
    """Whether a sample may be dispatched to an engine that serves a version."""

    ALLOWED = "allowed"
    WOULD_EXPIRE = "would_expire"
    """Accepted now, but expected to be refused when it ends."""

    NOT_ACCEPTED = "not_accepted"
    """Never dispatch: the trainer does not accept the version."""


def judge_dispatch(
    version: WeightVersion, forecast: FloorForecast, expected_finish_at: float
) -> DispatchVerdict:
    """Judge a dispatch whose oldest token will be of ``version``."""
    if version < forecast.accepted:
        return DispatchVerdict.NOT_ACCEPTED
    if version < forecast.accepted_at(expected_finish_at):
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
