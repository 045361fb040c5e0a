"""Polls the machine list and tells which back ends are leaving."""

from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.machines.interface import (
    MachineListClient,
    MachineListUnavailableError,
    leaving_backends,
)
from drumbay.observability.logs import log_event

DEFAULT_POLL_INTERVAL_SECONDS = 1.0


class MachineListWatcher:
    """Keeps the set of leaving back ends fresh.

    While the list cannot be read the last known set stays in force: a back end that was
    leaving gets no work again just because the list is out.

    Args:
        clock: Time.
        client: Reads the list.
        on_leaving: Told of the leaving back ends after each successful read.
        poll_interval_seconds: Time between two reads.
    """

    def __init__(
        self,
        clock: Clock,
        client: MachineListClient,
        on_leaving: Callable[[tuple[BackendId, ...]], None],
        poll_interval_seconds: float = DEFAULT_POLL_INTERVAL_SECONDS,
    ) -> None:
        """Create a watcher; :meth:`run` does the work."""
        self._clock = clock
        self._client = client
        self._on_leaving = on_leaving
        self._poll_interval_seconds = poll_interval_seconds

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._poll()
            await self._clock.sleep(self._poll_interval_seconds)

    async def _poll(self) -> None:
        try:
            machines = await self._client.read()
        except MachineListUnavailableError as error:
            log_event("machine_list_unavailable", level="WARNING", detail=str(error))
            return
        self._on_leaving(leaving_backends(machines))
