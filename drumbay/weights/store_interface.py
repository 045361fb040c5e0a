"""Interface to the weight store."""

from typing import Protocol

from drumbay.exceptions import UnavailableError
from drumbay.identifiers import WeightVersion


class WeightStoreUnavailableError(UnavailableError):
    """The published versions could not be read."""

    code = "weight_store_unavailable"


class WeightStoreClient(Protocol):
    """Client of a weight store."""

    async def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the published versions of a model, oldest first.

        Raises:
            WeightStoreUnavailableError: The versions could not be read.
        """
        ...
