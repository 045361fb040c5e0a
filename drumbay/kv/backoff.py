"""Exponential backoff with jitter, for clients of a rate-limited service."""

import random


class Backoff:
    """Delays that double up to a maximum, with up to 50% of negative jitter."""

    def __init__(
        self, generator: random.Random, *, first_seconds: float, max_seconds: float
    ) -> None:
        """Start at the first delay.

        Args:
            generator: Random source for jitter.
            first_seconds: Upper bound of the first delay.
            max_seconds: Upper bound of every delay.
        """
        self._generator = generator
        self._first_seconds = first_seconds
        self._max_seconds = max_seconds
        self._next_bound_seconds = first_seconds

    def reset(self) -> None:
        """Start again at the first delay."""
        self._next_bound_seconds = self._first_seconds

    def next_delay_seconds(self) -> float:
        """Return the next delay."""
        bound_seconds = self._next_bound_seconds
        self._next_bound_seconds = min(2 * bound_seconds, self._max_seconds)
        return self._generator.uniform(0.5 * bound_seconds, bound_seconds)
