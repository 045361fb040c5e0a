"""Loopback addresses for child processes of tests and soak runs, which may be restarted.

While no process listens on a port, the system may assign it to another process or use it as the
local port of an outgoing connection from 127.0.0.1. To avoid such conflicts, each parent process
uses a loopback host of its own and allocates each port only once.
"""

import os
import socket

from drumbay.comm.network_address import NetworkAddress

HOSTS_PER_BLOCK = 254
"""Usable values of an octet, without 0 and 255."""

_allocated_ports: set[int] = set()


def loopback_host() -> str:
    """Return a loopback host derived from the id of this process."""
    high, low = divmod(os.getpid(), HOSTS_PER_BLOCK)
    return f"127.{1 + high % HOSTS_PER_BLOCK}.{low}.1"


def free_address() -> NetworkAddress:
    """Allocate an address on this process's host that is free for TCP and UDP."""
    host = loopback_host()
    while True:
        port = _find_free_port(host)
        if port is not None and port not in _allocated_ports:
            _allocated_ports.add(port)
            return NetworkAddress(host, port)


def _find_free_port(host: str) -> int | None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp_socket,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket,
    ):
        tcp_socket.bind((host, 0))
        port = int(tcp_socket.getsockname()[1])
        try:
            udp_socket.bind((host, port))
        except OSError:
            # The port is free for TCP but not for UDP.
            return None
        return port
