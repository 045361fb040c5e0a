"""Adaptive timeouts of calls to the members of the replica set.

A member writes its vote to disk before it replies, which takes seconds on a busy disk. After one
call that timed out in full, further calls to the member use a short timeout, so that requests
fail fast while no majority is available.
"""

from drumbay.identifiers import NodeId

UNRESPONSIVE_CALL_TIMEOUT_SECONDS = 0.5
"""Timeout of a call to an unresponsive member, and of a round that waits only for such members."""


class MemberTimeouts:
    """Tracks which members are unresponsive, probing each with one full-length call at a time."""

    def __init__(self, max_timeout_seconds: float) -> None:
        """Treat every member as responsive; no call lasts longer than ``max_timeout_seconds``."""
        self._max_timeout_seconds = max_timeout_seconds
        self._unresponsive: set[NodeId] = set()
        self._probing: set[NodeId] = set()

    def is_unresponsive(self, node_id: NodeId) -> bool:
        """Return whether the last full-length call timed out with no reply since."""
        return node_id in self._unresponsive

    def start_call(self, node_id: NodeId) -> float:
        """Return the timeout of a call that starts now.

        One call at a time to an unresponsive member gets the full timeout, to detect its recovery.
        """
        if node_id not in self._unresponsive:
            return self._max_timeout_seconds
        if node_id in self._probing:
            return min(UNRESPONSIVE_CALL_TIMEOUT_SECONDS, self._max_timeout_seconds)
        self._probing.add(node_id)
        return self._max_timeout_seconds

    def record_reply(self, node_id: NodeId) -> None:
        """Record that a member replied."""
        self._unresponsive.discard(node_id)
        self._probing.discard(node_id)

    def record_timeout(self, node_id: NodeId, timeout_seconds: float) -> None:
        """Record that a call timed out after ``timeout_seconds``."""
        if timeout_seconds >= self._max_timeout_seconds:
            self._unresponsive.add(node_id)
            self._probing.discard(node_id)
