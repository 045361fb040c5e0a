"""The weight store as drumbay reads it: which versions of a model are published."""

from typing import Protocol

from drumbay.exceptions import UnavailableError
from drumbay.identifiers import WeightVersion


class WeightStoreUnavailableError(UnavailableError):
    """The versions could not be read."""

    code = "weight_store_unavailable"


class WeightStoreClient(Protocol):
    """Lists published versions."""

    async def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the published versions of a model, oldest first.

        Raises:
            WeightStoreUnavailableError: They could not be read.
        """
        ...
