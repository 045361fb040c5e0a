"""Communication between nodes over TCP and UDP, and HTTP exchanges with other services."""
