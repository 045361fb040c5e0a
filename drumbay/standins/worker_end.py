"""What callers see of an emulated worker that has ended, until it is replaced."""

from enum import StrEnum


class WorkerEnd(StrEnum):
    """Behavior of the address of a worker that has ended."""

    REFUSES = "refuses"
    """Open connections break, and new ones are refused."""
    RESETS = "resets"
    """Open connections break; new ones are accepted and reset, as by a load balancer."""
    SILENT = "silent"
    """Nothing comes over open connections, nor over new ones, which are accepted."""
    CLOSES = "closes"
    """Open connections break; nothing comes over new ones, which are accepted."""
