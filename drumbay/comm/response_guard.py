"""Bounds the memory of all responses of a process, and tells which of them were cut off.

Memory is a property of the process, so all its responses share one guard.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from drumbay.comm.transfer_limits import ExcessReason, ResponseMemory
from drumbay.observability.logs import log_event

MAX_WAIT_FOR_MEMORY_SECONDS = 0.25
"""How long responses wait for others to complete before the largest one is cut off."""


class GuardedResponse(Protocol):
    """A response that can be cut off."""

    def exceed(self, reason: ExcessReason) -> None:
        """Close its connection, as it exceeded a limit."""
        ...


class ResponseGuard:
    """Bounds the bodies of all responses of a process that are being received."""

    def __init__(self, memory: ResponseMemory[GuardedResponse] | None = None) -> None:
        """Start with nothing held."""
        self._memory: ResponseMemory[GuardedResponse] = memory or ResponseMemory()
        self._waiting: set[asyncio.Future[None]] = set()
        self._on_excess: Callable[[ExcessReason], None] = _do_nothing

    def set_excess_callback(self, on_excess: Callable[[ExcessReason], None]) -> None:
        """Call ``on_excess`` for each response that is cut off."""
        self._on_excess = on_excess

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all bodies that are being received."""
        return self._memory.total_bytes

    async def hold(self, response: GuardedResponse, size_bytes: int) -> None:
        """Count bytes of a body; wait while others hold all of the memory.

        If it does not become free for some time, the largest body is cut off; it may be this one.
        A body within its even share does not wait: the largest one then holds more than that.
        """
        give_up_at = asyncio.get_running_loop().time() + MAX_WAIT_FOR_MEMORY_SECONDS
        while not self._memory.fits(response, size_bytes):
            is_within_share = self._memory.is_within_share(response, size_bytes)
            if not is_within_share and await self._wait_for_release(give_up_at):
                continue
            largest = self._memory.largest()
            if largest is None:
                break
            self.release(largest)
            largest.exceed(ExcessReason.PROCESS_MEMORY)
            if largest is response:
                return
        self._memory.hold(response, size_bytes)

    async def _wait_for_release(self, give_up_at: float) -> bool:
        """Wait until a response releases its bytes; return whether one did before a time."""
        released = asyncio.get_running_loop().create_future()
        self._waiting.add(released)
        try:
            async with asyncio.timeout_at(give_up_at):
                await released
        except TimeoutError:
            # Another one may have been cut off at the same time.
            return released.done() and not released.cancelled()
        finally:
            self._waiting.discard(released)
        return True

    def release(self, response: GuardedResponse) -> None:
        """Count what a response held no longer."""
        self._memory.release(response)
        for released in self._waiting:
            if not released.done():
                released.set_result(None)

    def report(self, reason: ExcessReason, peer: str, status: int | None = None) -> None:
        """Log and count that a response was cut off; ``status`` if its head said one."""
        log_event(
            "response_cut_off", level="WARNING", reason=reason, peer=peer, response_status=status
        )
        self._on_excess(reason)


def _do_nothing(_: ExcessReason) -> None:
    """Default callback, which does nothing."""


RESPONSE_GUARD = ResponseGuard()
"""The guard of this process."""
