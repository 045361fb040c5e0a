"""How long the members of the replica set are waited for.

A vote is made durable before it is given, which takes seconds on a busy disk, so a member has the
time that such a write takes. One that stayed silent for all of it is not waited for as long again,
or every request would wait while a majority is away that cannot be had.
"""

from drumbay.identifiers import NodeId

SILENT_CALL_SECONDS = 0.5
"""Time limit of a call to a member known to be silent, and the wait for such members only: many
round trips between regions."""


class MemberPatience:
    """Remembers which members were silent, as told by one call to each at a time."""

    def __init__(self, longest_seconds: float) -> None:
        """Trust every member; a call has ``longest_seconds`` at the most."""
        self._longest_seconds = longest_seconds
        self._silent: set[NodeId] = set()
        self._probed: set[NodeId] = set()

    def is_silent(self, node_id: NodeId) -> bool:
        """Return whether the member was silent, and nothing came from it since."""
        return node_id in self._silent

    def begin_call(self, node_id: NodeId) -> float:
        """Return the time limit of a call that begins now.

        One call at a time to a silent member has the longest limit: it tells when it is back.
        """
        if node_id not in self._silent:
            return self._longest_seconds
        if node_id in self._probed:
            return min(SILENT_CALL_SECONDS, self._longest_seconds)
        self._probed.add(node_id)
        return self._longest_seconds

    def note_reply(self, node_id: NodeId) -> None:
        """Take in that a member replied."""
        self._silent.discard(node_id)
        self._probed.discard(node_id)

    def note_silence(self, node_id: NodeId, limit_seconds: float) -> None:
        """Take in that no reply came within the limit of a call."""
        if limit_seconds >= self._longest_seconds:
            self._silent.add(node_id)
            self._probed.discard(node_id)
