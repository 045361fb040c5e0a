"""Fences of the orders to engines.

A lease's fence orders the owners of a rollout. Orders of one owner can overtake each other
too: an order whose answer never came may still be on its way when a later one is given.
Each order therefore carries the lease's fence and, below it, a number that grows with every
order of that owner, so that an engine refuses whatever is older than the newest it saw.
"""

from drumbay.exceptions import DrumbayError
from drumbay.identifiers import Fence

SEQUENCE_BITS = 24
"""Orders that one holder of a lease can give: 16 million."""

_SEQUENCE_LIMIT = 1 << SEQUENCE_BITS


class OrderSequenceExhaustedError(DrumbayError):
    """The owner gave as many orders as its fence can number; the lease must change hands."""

    code = "order_sequence_exhausted"


def order_fence(lease_fence: Fence, sequence: int) -> Fence:
    """Return the fence of an order.

    NOTE: every fenced order to an engine must be numbered like this; the fence of a lease
    alone is below those of all orders.

    Raises:
        OrderSequenceExhaustedError: ``sequence`` does not fit.
    """
    if not 0 <= sequence < _SEQUENCE_LIMIT:
        raise OrderSequenceExhaustedError(f"sequence {sequence} of fence {lease_fence}")
    return Fence((lease_fence << SEQUENCE_BITS) | sequence)


def lease_fence(fence: Fence) -> Fence:
    """Return the lease's fence that the fence of an order was made from."""
    return Fence(fence >> SEQUENCE_BITS)
