"""Host and port of a listening process."""

import msgspec


class NetworkAddress(msgspec.Struct, frozen=True, order=True):
    """Host and port on which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "NetworkAddress":
        """Parse ``host:port``.

        Raises:
            ValueError: The text is malformed.
        """
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"not host:port: {text!r}")
        return cls(host, int(port))
