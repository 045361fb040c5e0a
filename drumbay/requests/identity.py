"""Identifiers of requests and attempts. A request's id names the node that decided on it."""

from drumbay.identifiers import AttemptId, BootId, NodeId, RequestId

SEPARATOR = "~"


class IdentityFactory:
    """Makes identifiers that are unique over nodes and restarts.

    Args:
        node_id: This node.
        boot_id: This run of the node's process.
    """

    def __init__(self, node_id: NodeId, boot_id: BootId) -> None:
        """Start counting from one."""
        self._prefix = f"{node_id}{SEPARATOR}{boot_id}"
        self._requests = 0

    def next_request(self) -> RequestId:
        """Return a new request id."""
        self._requests += 1
        return RequestId(f"{self._prefix}{SEPARATOR}{self._requests}")


def attempt_of(request_id: RequestId, number: int) -> AttemptId:
    """Return the id of a request's attempt, counted from 1."""
    return AttemptId(f"{request_id}{SEPARATOR}{number}")


def node_of(request_id: str) -> NodeId | None:
    """Return the node that made a request or attempt id; ``None`` if it has no such form."""
    node_id, separator, _ = request_id.partition(SEPARATOR)
    return NodeId(node_id) if separator else None
