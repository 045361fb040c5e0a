"""Ids of requests and attempts; each id contains the node that created it."""

from drumbay.identifiers import AttemptId, BootId, NodeId, RequestId

SEPARATOR = "~"


class RequestIdFactory:
    """Creates request ids that are unique across nodes and restarts.

    Args:
        node_id: Id of this node.
        boot_id: Id of the node's process, which changes on restart.
    """

    def __init__(self, node_id: NodeId, boot_id: BootId) -> None:
        """Start numbering at 1."""
        self._prefix = f"{node_id}{SEPARATOR}{boot_id}"
        self._request_count = 0

    def next_request_id(self) -> RequestId:
        """Return a new request id."""
        self._request_count += 1
        return RequestId(f"{self._prefix}{SEPARATOR}{self._request_count}")


def attempt_id_of(request_id: RequestId, number: int) -> AttemptId:
    """Return the id of an attempt; ``number`` starts at 1."""
    return AttemptId(f"{request_id}{SEPARATOR}{number}")


def node_id_of(request_id: str) -> NodeId | None:
    """Return the node that created a request or attempt id, or ``None`` if it is malformed."""
    node_id, separator, _ = request_id.partition(SEPARATOR)
    return NodeId(node_id) if separator else None
