"""Tracks the HTTP requests in flight and whether new ones are accepted."""


class RequestIntake:
    """Counts the requests of callers, trainers and operators on one node.

    Attributes:
        is_stopping: Whether new requests are rejected.
        in_flight: Number of requests whose response is not completely written.
    """

    def __init__(self) -> None:
        """Create an intake that accepts requests."""
        self.is_stopping = False
        self.in_flight = 0

    def begin(self) -> None:
        """Count a received request."""
        self.in_flight += 1

    def end(self) -> None:
        """Stop counting a request, once its response is written or its connection closed."""
        self.in_flight -= 1
