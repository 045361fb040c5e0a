"""Limits the bytes of request bodies in flight to one worker.

Prevents a worker from running out of memory while large requests wait in its queue.
"""

MAX_BODY_BYTES_PER_WORKER = 67_108_864
"""Limit for each node and worker; two bodies of the usual maximum size."""

SMALL_BODY_BYTES = 65_536
"""Bodies up to this size are always sent, so that small requests do not wait for large ones."""


def may_send_body(in_flight_bytes: int, body_bytes: int) -> bool:
    """Return whether a body may be sent to a worker with ``in_flight_bytes`` already in flight."""
    if not in_flight_bytes or body_bytes <= SMALL_BODY_BYTES:
        return True
    return in_flight_bytes + body_bytes <= MAX_BODY_BYTES_PER_WORKER
