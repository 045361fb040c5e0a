"""Fencing tokens of the orders to engines.

The fence of a lease orders successive owners of a rollout. Orders of the same owner can be
reordered as well: an order without a reply may still be in flight when the next one is sent.
The fence of an order therefore combines the lease's fence (high bits) with a sequence number
(low bits), and an engine refuses any order older than the newest one it has seen.
"""

from drumbay.exceptions import DrumbayError
from drumbay.identifiers import Fence

SEQUENCE_BITS = 24
_SEQUENCE_LIMIT = 1 << SEQUENCE_BITS


class OrderSequenceExhaustedError(DrumbayError):
    """The sequence numbers under one lease are used up; a new lease is needed."""

    code = "order_sequence_exhausted"


def order_fence(lease_fence: Fence, sequence: int) -> Fence:
    """Return the fence of an order.

    Every fenced order to an engine must use such a fence; the fence of a lease alone
    is lower than those of all orders.

    Raises:
        OrderSequenceExhaustedError: ``sequence`` does not fit.
    """
    if not 0 <= sequence < _SEQUENCE_LIMIT:
        raise OrderSequenceExhaustedError(f"sequence {sequence} of fence {lease_fence}")
    return Fence((lease_fence << SEQUENCE_BITS) | sequence)


def lease_fence(fence: Fence) -> Fence:
    """Return the lease's fence that is part of the fence of an order."""
    return Fence(fence >> SEQUENCE_BITS)
