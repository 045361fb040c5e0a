"""Interface through which a request gets starts at cold workers from other nodes."""

from collections.abc import Iterable
from typing import Protocol

from drumbay.workers.records import Worker


class StartBorrower(Protocol):
    """Borrows starts that other nodes do not use."""

    def ask(self, service: str, workers: Iterable[Worker]) -> bool:
        """Ask for a start at one of a service's workers; return whether one may come."""
        ...


class NoOtherNodes:
    """A :class:`StartBorrower` of a node that has no others to ask."""

    def ask(self, service: str, workers: Iterable[Worker]) -> bool:
        """Return false."""
        del service, workers
        return False
