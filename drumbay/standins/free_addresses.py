"""Loopback addresses for processes that a test or a soak starts, and may start again.

Between the choice of a port and the moment at which a process listens there, and while a process
is down, the system may give the port away: to another process that asks for any, or as the near
end of any connection on the machine, which goes out from 127.0.0.1. A process then ends with
``Address already in use``, or callers reach another one in its place. So each process that starts
others uses a host of its own, at which nobody else asks, and gives each port once.
"""

import os
import socket

from drumbay.comm.http_exchange import NetworkAddress

HOSTS_PER_BLOCK = 254
"""Values of one part of an address, without 0 and 255."""

_given_ports: set[int] = set()


def own_host() -> str:
    """Return a loopback host that is this process's own."""
    high, low = divmod(os.getpid(), HOSTS_PER_BLOCK)
    return f"127.{1 + high % HOSTS_PER_BLOCK}.{low}.1"


def free_address() -> NetworkAddress:
    """Return an address of this process's host, free for TCP and UDP, that it gave to nobody."""
    host = own_host()
    while True:
        port = _find_free_port(host)
        if port is not None and port not in _given_ports:
            _given_ports.add(port)
            return NetworkAddress(host, port)


def _find_free_port(host: str) -> int | None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
    ):
        stream.bind((host, 0))
        port = int(stream.getsockname()[1])
        try:
            datagram.bind((host, port))
        except OSError:
            # Its UDP twin is taken: another one will do.
            return None
        return port
