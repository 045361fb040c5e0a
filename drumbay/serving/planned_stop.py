"""Planned stop of a serving node, which ends no request without a response."""

from typing import Protocol

from drumbay.clock import Clock
from drumbay.observability.logs import log_event
from drumbay.serving.node import ServingNode

OPEN_CONNECTION_SECONDS = 0.2
"""How long requests are awaited on open connections once no more are accepted."""

FIRST_REQUEST_SECONDS = 1.0
"""How long the first request of a connection is awaited: a client that has just connected is about
to send it, and a busy one may take a while."""

FIRST_REQUEST_POLL_SECONDS = 0.05

PEER_CALL_SECONDS = 0.3
"""How long calls of other nodes may still take once this node's own tasks have ended."""


class Server(Protocol):
    """A server whose connections and calls end before the process does."""

    async def stop_listening(self) -> None:
        """Accept queued connections, then no more; open connections stay open."""
        ...


class ClientServer(Server, Protocol):
    """The server for clients."""

    def awaits_first_request(self, max_seconds: float) -> bool:
        """Return whether a connection that is not older has brought no request yet."""
        ...

    async def close(self) -> None:
        """Close the connections of clients, as nothing that still arrives is read."""
        ...


class PeerCallServer(Server, Protocol):
    """The server for calls of other nodes."""

    async def wait_idle(self, timeout_seconds: float) -> None:
        """Wait until no call is running, or until the time is up."""
        ...


class PlannedStop:
    """Runs the planned stop of one node.

    Each request that is taken gets a response. The node serves what arrives until it listens no
    longer and nothing is open; it then rejects what open connections bring as not executed, and
    ends its tasks.
    """

    def __init__(
        self,
        clock: Clock,
        node: ServingNode,
        clients: ClientServer,
        peers: PeerCallServer,
    ) -> None:
        """Create a stop that has not begun.

        Args:
            clock: Time.
            node: The node to stop.
            clients: Its server for clients.
            peers: Its server for other nodes.
        """
        self._clock = clock
        self._node = node
        self._clients = clients
        self._peers = peers

    async def run(self) -> None:
        """Stop the node; returns when the process may end."""
        await self._node.leave(FIRST_REQUEST_SECONDS)
        await self._clients.stop_listening()
        await self._clock.sleep(OPEN_CONNECTION_SECONDS)
        while self._clients.awaits_first_request(FIRST_REQUEST_SECONDS):
            await self._clock.sleep(FIRST_REQUEST_POLL_SECONDS)
        await self._node.wait_until_drained()
        self._node.reject_requests()
        await self._node.hand_over()
        await self._peers.stop_listening()
        await self._peers.wait_idle(PEER_CALL_SECONDS)
        await self._clients.close()
        log_event("planned_stop_completed")
