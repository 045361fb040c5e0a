"""Polls the backends of this node's subset for their load, version and cache events.

The poll rate is bounded: up to :attr:`PollPolicy.unthrottled_backends` backends are each polled at
the minimum interval; with more, the interval grows with their number. Cache events, whose
volume grows with the traffic of all nodes, are polled for small sets only.
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
MIN_JITTER_FRACTION = 0.8
"""Lower bound of the jittered interval, as a fraction; jitter desynchronizes the nodes."""


class PollPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How often backends are polled.

    Attributes:
        min_interval_seconds: Minimum time between two polls of one backend.
        max_interval_seconds: Maximum time between two polls of one backend; it bounds the age of
            the weight versions by which samples are scheduled.
        unthrottled_backends: Number of backends up to which the minimum interval applies.
        polls_per_second: Total poll rate for the backends above that number.
    """

    min_interval_seconds: float = 1.0
    max_interval_seconds: float = 15.0
    unthrottled_backends: int = 8
    polls_per_second: float = 5.0

    def interval_seconds(self, backend_count: int) -> float:
        """Return the time between two polls of a backend, given the number of backends."""
        throttled = max(0, backend_count - self.unthrottled_backends)
        interval = self.min_interval_seconds + throttled / self.polls_per_second
        return min(interval, self.max_interval_seconds)

    def polls_cache_events(self, backend_count: int) -> bool:
        """Return whether cache events are polled, given the number of backends."""
        return backend_count <= self.unthrottled_backends


class BackendMonitor:
    """Polls the watched engines and stores their reports in the directory.

    Args:
        clock: Source of the current time.
        client: Engine API client.
        directory: Stores the reports.
        on_changes: Called with changes of availability after each poll.
        task_owner: Owns the polling tasks.
        random: Source of jitter.
        policy: How often backends are polled.
    """

    def __init__(
        self,
        clock: Clock,
        client: EngineClient,
        directory: BackendDirectory,
        on_changes: Callable[[tuple[AvailabilityChange, ...]], None],
        task_owner: TaskOwner,
        random: Random,
        policy: PollPolicy | None = None,
    ) -> None:
        """Create a monitor; :meth:`poll_watched_engines` starts polling."""
        self._clock = clock
        self._client = client
        self._directory = directory
        self._on_changes = on_changes
        self._task_owner = task_owner
        self._random = random
        self._policy = policy or PollPolicy()
        self._backend_count = 0
        self._polled_addresses: set[BackendAddress] = set()

    def poll_watched_engines(self) -> None:
        """Start polling every watched engine that is not polled yet."""
        watched = self._directory.watched_addresses(BackendKind.ENGINE)
        self._backend_count = len(watched)
        for address in watched:
            if address in self._polled_addresses:
                continue
            self._polled_addresses.add(address)
            self._task_owner.spawn(self._poll_forever(address), f"poll-{address.backend_id}")

    async def _poll_forever(self, address: BackendAddress) -> None:
        # Spreads the first polls over the extra interval of a large set; it is 0 for a small one.
        await self._clock.sleep(self._random.random() * self._max_jitter_seconds())
        while self._is_still_watched(address):
            self._on_changes(await self._poll(address))
            await self._clock.sleep(self._next_interval_seconds(address))
        self._polled_addresses.discard(address)

    def _max_jitter_seconds(self) -> float:
        return (
            self._policy.interval_seconds(self._backend_count) - self._policy.min_interval_seconds
        )

    def _next_interval_seconds(self, address: BackendAddress) -> float:
        """Return the delay until the next poll; a failing backend is polled again soon."""
        if self._directory.has_recent_report_failures(address.backend_id):
            return self._policy.min_interval_seconds
        jitter_fraction = self._random.uniform(MIN_JITTER_FRACTION, 1.0)
        return self._policy.min_interval_seconds + jitter_fraction * self._max_jitter_seconds()

    def _is_still_watched(self, address: BackendAddress) -> bool:
        is_known = self._directory.address(address.backend_id) == address
        return is_known and self._directory.is_watched(address.backend_id)

    async def _poll(self, address: BackendAddress) -> tuple[AvailabilityChange, ...]:
        try:
            status = await self._client.status(address, timeout_seconds=POLL_TIMEOUT_SECONDS)
        except BackendError:
            return self._directory.record_report_failure(address.backend_id)
        changes = self._directory.record_report(status, self._clock.monotonic())
        if self._policy.polls_cache_events(self._backend_count):
            await self._poll_cache_events(address)
        return changes

    async def _poll_cache_events(self, address: BackendAddress) -> None:
        prefixes = self._directory.prefixes
        after_sequence = prefixes.last_sequence(address.backend_id)
        try:
            events = await self._client.cache_events(
                address, after_sequence, timeout_seconds=POLL_TIMEOUT_SECONDS
            )
        except BackendError:
            return
        prefixes.apply_events(address.backend_id, events)
