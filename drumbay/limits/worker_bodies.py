"""How many bytes of bodies may be on their way to one worker.

The load that this answers: large requests while all workers are full. They go to workers all the
same, and a worker that holds more than its memory ends, under every request on it.
"""

MOST_BODY_BYTES_TO_ONE_WORKER = 67_108_864
"""What one node may have on its way to one worker: two bodies of the largest size that clients may
usually send, so that such requests are served, and no more pile up behind them. What the worker
bears is not told, and what other nodes send it is not known here."""

SMALL_BODY_BYTES = 65_536
"""A body up to this size goes out whatever else is on its way: a worker's memory does not hang on
it, and small requests must not wait for large ones."""


def may_send_body(under_way_bytes: int, body_bytes: int) -> bool:
    """Return whether a body may go to a worker, to which some are on their way already."""
    if not under_way_bytes or body_bytes <= SMALL_BODY_BYTES:
        return True
    return under_way_bytes + body_bytes <= MOST_BODY_BYTES_TO_ONE_WORKER
