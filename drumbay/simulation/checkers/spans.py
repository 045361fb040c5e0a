"""Spans of time in a history, and what both of two sets of spans have."""

import msgspec


class Span(msgspec.Struct, frozen=True, kw_only=True):
    """A time from its start to its end, in seconds of the history."""

    start_seconds: float
    end_seconds: float


def intersect(first: list[Span], second: list[Span]) -> list[Span]:
    """Return the times that lie in a span of each list."""
    shared = []
    for one in first:
        for other in second:
            start = max(one.start_seconds, other.start_seconds)
            end = min(one.end_seconds, other.end_seconds)
            if start <= end:
                shared.append(Span(start_seconds=start, end_seconds=end))
    return shared
