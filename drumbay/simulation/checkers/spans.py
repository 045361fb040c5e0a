"""Time spans of a history and their intersection."""

import msgspec


class Span(msgspec.Struct, frozen=True, kw_only=True):
    """A time span on the clock of the history."""

    start_seconds: float
    end_seconds: float


def intersect(first: list[Span], second: list[Span]) -> list[Span]:
    """Return the intersection of two lists of spans."""
    intersections = []
    for left in first:
        for right in second:
            start = max(left.start_seconds, right.start_seconds)
            end = min(left.end_seconds, right.end_seconds)
            if start <= end:
                intersections.append(Span(start_seconds=start, end_seconds=end))
    return intersections
