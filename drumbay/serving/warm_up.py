"""Connects the limits for workers that warm up to what this node learns about workers and nodes."""

from collections.abc import Callable, Container, Iterable
from typing import NamedTuple

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.routes import RouteTable
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.cold_workers import ColdReason, ColdWorkers
from drumbay.placement.evacuations import EvacuatedZones
from drumbay.placement.start_limits import Senders, StartLimits
from drumbay.placement.warm_up import WarmUpTolerance
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker
from drumbay.workers.worker_record import WorkerChange

REFRESH_SECONDS = 1.0

SENDERS_TTL_SECONDS = 0.1
"""How long the senders of a service are kept before they are looked up again."""

SENDER_MEMORY_SECONDS = 1.5
"""How long an owner is remembered after its batch job has ended or its items have all started, as
its last starts still count. Exceeds the window of starts by more than a notice takes."""

START_LEARNING_SECONDS = 10.0
OWNER_LEARNING_SECONDS = 1.5
"""For how long after its start or being out of touch, and after it has become an owner, a node may
not know all owners. Jobs of several trainers often arrive at once; the second time exceeds the
window of starts, so that the starts of a node that was the only owner no longer count when the
others' parts grow."""

ASSUMED_OWNERS = 8
"""Owners that a node assumes at least at cold workers while it may not know all."""

ASSUMED_NODES = 100
"""Nodes that are assumed while no registered node is known."""


NO_SENDERS = Senders(nodes=())


class _RecentOwners:
    """Owners that were seen within :data:`SENDER_MEMORY_SECONDS`."""

    def __init__(self) -> None:
        self._seen_at: dict[NetworkAddress, float] = {}

    def update(self, owners: Iterable[NetworkAddress], now: float) -> set[NetworkAddress]:
        """Add the current owners; return all that are remembered."""
        for address, seen_at in list(self._seen_at.items()):
            if seen_at < now - SENDER_MEMORY_SECONDS:
                del self._seen_at[address]
        self._seen_at.update(dict.fromkeys(owners, now))
        return set(self._seen_at)


class _CachedSenders(NamedTuple):
    """Senders of a service, valid until a monotonic time."""

    valid_until: float
    senders: Senders


class KnownSenders:
    """The nodes that may send requests, as far as this node knows.

    Services that only batch jobs use get requests from the owners of these; others from any node.
    """

    def __init__(self, own: NetworkAddress, routes: RouteTable, created_at: float) -> None:
        """Create a view of a node that has just started and knows of no other."""
        self._own = own
        self._routes = routes
        self._learning_until = created_at + START_LEARNING_SECONDS
        self._owners: Callable[[], Iterable[NetworkAddress]] = tuple
        self._nodes: Callable[[], tuple[NetworkAddress, ...]] = tuple
        self._is_out_of_touch: Callable[[], bool] = lambda: False
        self._is_unlisted: Callable[[], bool] = lambda: False
        self._registered: tuple[NetworkAddress, ...] | None = None
        self._registered_senders = Senders(nodes=(str(own),))
        self._recent_owners = _RecentOwners()
        self._was_owner = False
        self._cached: dict[str, _CachedSenders] = {}

    def connect(
        self,
        owners: Callable[[], Iterable[NetworkAddress]],
        nodes: Callable[[], tuple[NetworkAddress, ...]],
        is_out_of_touch: Callable[[], bool],
        is_unlisted: Callable[[], bool] = lambda: False,
    ) -> None:
        """Set where to look the senders up.

        Args:
            owners: Returns the owners of batch jobs whose items have not all started.
            nodes: Returns the registered nodes.
            is_out_of_touch: Returns whether this node may have missed new owners.
            is_unlisted: Returns whether the other nodes no longer know of this one.
        """
        self._owners = owners
        self._nodes = nodes
        self._is_out_of_touch = is_out_of_touch
        self._is_unlisted = is_unlisted

    def senders(self, service: str, now: float) -> Senders:
        """Return the nodes that may send requests to a service's workers."""
        cached = self._cached.get(service)
        if cached is not None and now < cached.valid_until:
            return cached.senders
        has_only_batches = self._routes.has_only_batches(service)
        senders = self._owner_senders(now) if has_only_batches else self._node_senders()
        if cached is not None and cached.senders == senders:
            # The same object, by which the ranks computed for it are found again quickly.
            senders = cached.senders
        self._cached[service] = _CachedSenders(now + SENDERS_TTL_SECONDS, senders)
        return senders

    def _owner_senders(self, now: float) -> Senders:
        owners = self._recent_owners.update(self._owners(), now)
        return Senders(
            nodes=self._names(owners, ASSUMED_OWNERS if self._update_learning(owners, now) else 1),
            warm_nodes=self._names(owners, 1),
        )

    def _node_senders(self) -> Senders:
        if self._is_unlisted():
            # The others divide all starts among themselves; this node can only borrow.
            return NO_SENDERS
        nodes = self._nodes()
        if nodes is not self._registered:
            self._registered = nodes
            names = self._names(set(nodes), 1 if nodes else ASSUMED_NODES)
            self._registered_senders = Senders(nodes=names)
        return self._registered_senders

    def _names(self, addresses: set[NetworkAddress], minimum: int) -> tuple[str, ...]:
        """Return the names of senders, this node included, and of as many as are assumed."""
        names = sorted(str(address) for address in addresses | {self._own})
        assumed = [f"assumed-{number}" for number in range(minimum - len(names))]
        return (*names, *assumed)

    def _update_learning(self, owners: Container[NetworkAddress], now: float) -> bool:
        """Extend the time of learning if need be; return whether this node may miss owners."""
        is_owner = self._own in owners
        if is_owner and not self._was_owner:
            self._learning_until = max(self._learning_until, now + OWNER_LEARNING_SECONDS)
        self._was_owner = is_owner
        if self._is_out_of_touch():
            self._learning_until = now + START_LEARNING_SECONDS
        return not is_owner or now < self._learning_until


class WorkerWarmUps:
    """Tracks which workers are cold, logs it, and limits this node's starts.

    Attributes:
        limits: Limits this node's starts.
        known_senders: The nodes that may send.
    """

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        directory: WorkerDirectory,
        evacuations: EvacuatedZones,
        tolerance: WarmUpTolerance,
        own: NetworkAddress,
        metrics: ServingMetrics,
    ) -> None:
        """Create the limits and listen to changes of workers and evacuations."""
        created_at = clock.monotonic()
        self._clock = clock
        self._routes = routes
        self._directory = directory
        self._metrics = metrics
        self._cold_workers = ColdWorkers()
        self._logged: dict[BackendId, Worker] = {}
        self.known_senders = KnownSenders(own, routes, created_at)
        self.limits = StartLimits(
            str(own),
            lambda: routes.warm_ups,
            tolerance,
            self._cold_workers,
            self.known_senders,
            created_at,
        )
        directory.add_entry_listener(self._handle_entry)
        directory.add_contact_listener(self._handle_contact)
        directory.add_warm_up_listener(self._handle_response)
        evacuations.add_end_listener(self._handle_evacuation_end)

    async def run(self) -> None:
        """Log changes and forget what is over, until cancelled."""
        while True:
            await self._clock.sleep(REFRESH_SECONDS)
            self.refresh()

    def refresh(self) -> None:
        """Log the workers that have become cold or warm since the last call, and count them."""
        now = self._clock.monotonic()
        records = self._directory.all_records()
        self._cold_workers.forget_except(records)
        self.limits.forget_except(records, now)
        cold: dict[BackendId, Worker] = {}
        for worker_id, record in records.items():
            reason = self.limits.cold_reason(record.worker, now)
            if reason is not None:
                cold[worker_id] = record.worker
                self._log_cold(record.worker, reason)
        for worker_id in [known for known in self._logged if known not in cold]:
            worker = self._logged.pop(worker_id)
            log_event("worker_warmed_up", worker=worker_id, service=worker.service)
        self._count(cold)

    def _log_cold(self, worker: Worker, reason: ColdReason) -> None:
        known = self._logged.get(worker.worker_id)
        self._logged[worker.worker_id] = worker
        if known is not None and known.incarnation == worker.incarnation:
            return
        senders = self.known_senders.senders(worker.service, self._clock.monotonic())
        log_event(
            "worker_cold",
            worker=worker.worker_id,
            service=worker.service,
            zone=worker.zone,
            started_at_ms=worker.started_at_ms,
            reason=reason,
            senders=len(senders.nodes),
        )

    def _count(self, cold: dict[BackendId, Worker]) -> None:
        services = [worker.service for worker in cold.values()]
        for service in self._routes.warm_ups:
            self._metrics.set_cold_workers(service, services.count(service))

    def _handle_entry(self, worker: Worker, change: WorkerChange) -> None:
        self._cold_workers.handle_entry(worker, change, self._clock.monotonic())

    def _handle_contact(self, worker_id: BackendId, is_reachable: bool) -> None:
        now = self._clock.monotonic()
        self._cold_workers.handle_contact(worker_id, now, is_reachable=is_reachable)

    def _handle_response(
        self, worker_id: BackendId, left_seconds: float | None, asked_at: float, now: float
    ) -> None:
        self._cold_workers.handle_response(worker_id, left_seconds, asked_at, now)

    def _handle_evacuation_end(self, zone: str) -> None:
        now = self._clock.monotonic()
        for worker_id, record in self._directory.all_records().items():
            if record.worker.zone == zone:
                self._cold_workers.handle_zone_return(worker_id, now)
