"""Polls the back ends of this node's subset for their load, version and cache events.

A poll costs bytes and processor time (``drumbay bench polls``), so the pace falls with the
number of back ends: up to :attr:`PollPace.unpaced_backends` each is asked once a second, of
more only so many each second. Cache events, whose number grows with the requests of all
nodes, are asked for in small sets alone.
"""

from collections.abc import Callable
from random import Random

import msgspec

from drumbay.backends.interface import BackendAddress, BackendError, EngineClient
from drumbay.clock import Clock
from drumbay.resources.schema import BackendKind
from drumbay.routing.directory import AvailabilityChange, BackendDirectory
from drumbay.tasks import TaskOwner

POLL_TIMEOUT_SECONDS = 2.0
SHORTEST_INTERVAL_SHARE = 0.8
"""Shortest time between polls, as a share of the longest, so that nodes fall out of step."""


class PollPace(msgspec.Struct, frozen=True, kw_only=True):
    """How often back ends are asked.

    Attributes:
        shortest_interval_seconds: Between two polls of one back end.
        longest_interval_seconds: The same; above it the version known of an engine is too
            old for the owner of a stream that sends it samples.
        unpaced_backends: Up to so many back ends the shortest interval holds.
        polls_per_second: Polls of the back ends above that number.
    """

    shortest_interval_seconds: float = 1.0
    longest_interval_seconds: float = 15.0
    unpaced_backends: int = 8
    polls_per_second: float = 5.0

    def interval_seconds(self, backends: int) -> float:
        """Return the time between two polls of one of so many back ends."""
        paced = max(0, backends - self.unpaced_backends)
        interval = self.shortest_interval_seconds + paced / self.polls_per_second
        return min(interval, self.longest_interval_seconds)

    def asks_cache_events(self, backends: int) -> bool:
        """Return whether cache events of so many back ends are asked for."""
        return backends <= self.unpaced_backends


class BackendMonitor:
    """Keeps the directory's reports fresh.

    Args:
        clock: Time.
        client: Talks to the back ends.
        directory: Takes the reports.
        on_changes: Told of each change of availability.
        task_owner: Owns the polling tasks.
        random: Source of jitter.
        pace: How often back ends are asked.
    """

    def __init__(
        self,
        clock: Clock,
        client: EngineClient,
        directory: BackendDirectory,
        on_changes: Callable[[tuple[AvailabilityChange, ...]], None],
        task_owner: TaskOwner,
        random: Random,
        pace: PollPace | None = None,
    ) -> None:
        """Create a monitor that polls nothing yet."""
        self._clock = clock
        self._client = client
        self._directory = directory
        self._on_changes = on_changes
        self._task_owner = task_owner
        self._random = random
        self._pace = pace or PollPace()
        self._backends = 0
        self._polled: set[BackendAddress] = set()

    def watch_all(self) -> None:
        """Start to poll every watched engine that is not polled yet."""
        watched = self._directory.watched_addresses(BackendKind.ENGINE)
        self._backends = len(watched)
        for address in watched:
            if address in self._polled:
                continue
            self._polled.add(address)
            self._task_owner.spawn(self._poll_forever(address), f"poll-{address.backend_id}")

    async def _poll_forever(self, address: BackendAddress) -> None:
        # NOTE: the first polls are spread over an interval, unless the set is small.
        await self._clock.sleep(self._random.random() * self._extra_seconds())
        while self._is_current(address):
            self._on_changes(await self._poll(address))
            await self._clock.sleep(self._next_interval_seconds(address))
        self._polled.discard(address)

    def _extra_seconds(self) -> float:
        return self._pace.interval_seconds(self._backends) - self._pace.shortest_interval_seconds

    def _next_interval_seconds(self, address: BackendAddress) -> float:
        """Return the pause after a poll; a back end that failed is asked again soon."""
        if self._directory.has_recent_report_failures(address.backend_id):
            return self._pace.shortest_interval_seconds
        share = self._random.uniform(SHORTEST_INTERVAL_SHARE, 1.0)
        return self._pace.shortest_interval_seconds + share * self._extra_seconds()

    def _is_current(self, address: BackendAddress) -> bool:
        is_known = self._directory.address(address.backend_id) == address
        return is_known and self._directory.is_watched(address.backend_id)

    async def _poll(self, address: BackendAddress) -> tuple[AvailabilityChange, ...]:
        try:
            status = await self._client.status(address, timeout_seconds=POLL_TIMEOUT_SECONDS)
        except BackendError:
            return self._directory.record_report_failure(address.backend_id)
        changes = self._directory.record_report(status, self._clock.monotonic())
        if self._pace.asks_cache_events(self._backends):
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
