"""The parts that decide under load, which operators can switch off one by one."""

from enum import StrEnum

from drumbay.exceptions import ConfigurationError


class LoadPart(StrEnum):
    """A part that decides under load; it acts where the configuration gives it something to do."""

    SHARED_PLACES = "shared_places"
    """Owners of batch jobs share the places of their workers."""
    ADMISSION = "admission"
    """Requests wait for a service that is full in fair turns, or are rejected with its prospect."""
    WORKER_COUNTS = "worker_counts"
    """The number of workers follows what batch jobs need; otherwise it stays at what stood."""
    HELD_BYTES = "held_bytes"
    """What is held for slow readers is bounded."""


def parse_disabled_parts(text: str) -> frozenset[LoadPart]:
    """Return the parts that a comma-separated list names.

    Raises:
        ConfigurationError: A name is not known.
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    try:
        return frozenset(LoadPart(name) for name in names)
    except ValueError as error:
        known = ", ".join(LoadPart)
        raise ConfigurationError(f"disabled parts: {error}; known are {known}") from error
