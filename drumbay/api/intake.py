"""Requests in flight over HTTP, and whether new ones are taken."""


class RequestIntake:
    """Counts the requests of callers, trainers and operators on one node.

    Attributes:
        is_stopping: Whether new requests are refused.
        in_flight: Requests whose answer has not left entirely.
    """

    def __init__(self) -> None:
        """Create an intake that takes new requests."""
        self.is_stopping = False
        self.in_flight = 0

    def begin(self) -> None:
        """Count a request that was read."""
        self.in_flight += 1

    def end(self) -> None:
        """Count a request as done: its answer was written or its connection is gone."""
        self.in_flight -= 1
