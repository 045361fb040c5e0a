"""Polls the back ends of this node's subset for their load, version and cache events."""

from collections.abc import Callable

from drumbay.backends.interface import BackendAddress, BackendError, EngineClient
from drumbay.clock import Clock
from drumbay.resources.schema import BackendKind
from drumbay.routing.directory import AvailabilityChange, BackendDirectory
from drumbay.tasks import TaskOwner

DEFAULT_POLL_INTERVAL_SECONDS = 1.0
POLL_TIMEOUT_SECONDS = 2.0


class BackendMonitor:
    """Keeps the directory's reports fresh.

    Args:
        clock: Time.
        client: Talks to the back ends.
        directory: Takes the reports.
        on_changes: Told of each change of availability.
        task_owner: Owns the polling tasks.
        poll_interval_seconds: Time between two polls of one back end.
    """

    def __init__(
        self,
        clock: Clock,
        client: EngineClient,
        directory: BackendDirectory,
        on_changes: Callable[[tuple[AvailabilityChange, ...]], None],
        task_owner: TaskOwner,
        poll_interval_seconds: float = DEFAULT_POLL_INTERVAL_SECONDS,
    ) -> None:
        """Create a monitor that polls nothing yet."""
        self._clock = clock
        self._client = client
        self._directory = directory
        self._on_changes = on_changes
        self._task_owner = task_owner
        self._poll_interval_seconds = poll_interval_seconds
        self._polled: set[BackendAddress] = set()

    def watch_all(self) -> None:
        """Start to poll every watched engine that is not polled yet."""
        for address in self._directory.watched_addresses(BackendKind.ENGINE):
            if address in self._polled:
                continue
            self._polled.add(address)
            self._task_owner.spawn(self._poll_forever(address), f"poll-{address.backend_id}")

    async def _poll_forever(self, address: BackendAddress) -> None:
        while self._is_current(address):
            self._on_changes(await self._poll(address))
            await self._clock.sleep(self._poll_interval_seconds)
        self._polled.discard(address)

    def _is_current(self, address: BackendAddress) -> bool:
        is_known = self._directory.address(address.backend_id) == address
        return is_known and self._directory.is_watched(address.backend_id)

    async def _poll(self, address: BackendAddress) -> tuple[AvailabilityChange, ...]:
        try:
            status = await self._client.status(address, timeout_seconds=POLL_TIMEOUT_SECONDS)
        except BackendError:
            return self._directory.record_report_failure(address.backend_id)
        changes = self._directory.record_report(status, self._clock.monotonic())
        await self._poll_cache_events(address)
        return changes

    async def _poll_cache_events(self, address: BackendAddress) -> None:
        prefixes = self._directory.prefixes
        after = prefixes.last_sequence(address.backend_id)
        try:
            events = await self._client.cache_events(
                address, after, timeout_seconds=POLL_TIMEOUT_SECONDS
            )
        except BackendError:
            return
        prefixes.apply_events(address.backend_id, events)
