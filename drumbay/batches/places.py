"""The places at workers that batch jobs hold and still want, as owners tell each other."""

from collections.abc import Mapping

import msgspec

from drumbay.batches.records import BatchId
from drumbay.identifiers import BackendId


class JobPlaces(msgspec.Struct, frozen=True, kw_only=True):
    """One open batch job: what it holds and wants at the workers of its service.

    Attributes:
        batch_id: The batch job.
        service: The service whose workers run its items.
        model: The model that the items ask for.
        priority: Its rank; 0 goes first.
        began_at: When its owner took it, in seconds of that machine's clock: the same figure for
            all who hear of it, so that all put jobs into the same order.
        age_seconds: How long ago that was when this was told.
        waiting: Items that need a place and have none.
        running: Runs by worker.
    """

    batch_id: BatchId
    service: str
    model: str
    priority: int
    began_at: float
    age_seconds: float
    waiting: int
    running: Mapping[BackendId, int]

    @property
    def wanted(self) -> int:
        """Return how many places it could use now, those that it holds included."""
        return self.waiting + sum(self.running.values())
