"""Load management features that operators can disable."""

from enum import StrEnum

from drumbay.exceptions import ConfigurationError


class LoadFeature(StrEnum):
    """A load management feature; it is active only if the configuration uses it."""

    SHARED_SLOTS = "shared_places"
    """Owners of batch jobs share worker slots."""
    ADMISSION = "admission"
    """Requests queue for a busy service in fair order, or are rejected early."""
    WORKER_COUNTS = "worker_counts"
    """The worker count follows the demand of batch jobs; otherwise it is left unchanged."""
    HELD_BYTES = "held_bytes"
    """Memory used for slow readers is limited."""


def parse_disabled_parts(text: str) -> frozenset[LoadFeature]:
    """Parse a comma-separated list of features.

    Raises:
        ConfigurationError: A name is unknown.
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    try:
        return frozenset(LoadFeature(name) for name in names)
    except ValueError as error:
        known = ", ".join(LoadFeature)
        raise ConfigurationError(f"disabled parts: {error}; known are {known}") from error
