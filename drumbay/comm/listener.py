"""Listening sockets that are closed without resetting the connections in their queues."""

import asyncio
import select
import socket

from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from drumbay.comm.network_address import NetworkAddress
from drumbay.observability.logs import log_event

MAX_ACCEPT_SECONDS = 0.3
"""Ends the wait for an empty queue if clients connect faster than connections are accepted."""


class Listener:
    """The listening sockets of a server at one address."""

    def __init__(self, server: TCPServer) -> None:
        """Create a listener that does not listen yet."""
        self._server = server
        self._sockets: list[socket.socket] = []

    def listen(self, address: NetworkAddress) -> None:
        """Listen on an address.

        Raises:
            OSError: The address is in use.
        """
        self._sockets = bind_sockets(address.port, address.host)
        self._server.add_sockets(self._sockets)

    async def close(self) -> None:
        """Accept the connections that are queued, then stop listening.

        The kernel resets queued connections when a listening socket is closed, although their
        clients may have sent a request already. Open connections stay open.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_ACCEPT_SECONDS
        while self._has_queued_connection():
            if loop.time() > until:
                log_event("listener_closed_with_queue", level="WARNING")
                break
            await asyncio.sleep(0)
        self._server.stop()
        self._sockets.clear()

    def _has_queued_connection(self) -> bool:
        poller = select.poll()
        for listening in self._sockets:
            poller.register(listening, select.POLLIN)
        return bool(poller.poll(0))
