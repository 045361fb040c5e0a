"""Gate that pauses and resumes the work of an emulated process."""

import asyncio

FREEZE_HOLD = "freeze"
"""Name of the hold that a frozen process has."""


class ProcessGate:
    """Blocks work while at least one named hold is placed."""

    def __init__(self) -> None:
        """Create an open gate."""
        self._holds: dict[str, None] = {}
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_open(self) -> bool:
        """Whether no hold is placed."""
        return not self._holds

    def hold(self, name: str) -> None:
        """Place the hold ``name``; idempotent."""
        self._holds[name] = None
        self._open.clear()

    def release(self, name: str) -> None:
        """Remove the hold ``name``; idempotent."""
        self._holds.pop(name, None)
        if not self._holds:
            self._open.set()

    async def wait_open(self) -> None:
        """Wait until no hold is placed."""
        while self._holds:
            await self._open.wait()
