"""Scales the workers of services by orders to the platform while this node is the leader."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from drumbay.clock import Clock
from drumbay.duties.interface import DutyOutcome, DutyToken, PlatformDuties, WorkerCount
from drumbay.forwarding.routes import RouteTable
from drumbay.identifiers import Fence
from drumbay.kv.interface import KeyValueError, KeyValueStore, Put
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership.leader import LeaderElection
from drumbay.placement.gate import PlacementGate
from drumbay.scaling.collector import DemandCollector
from drumbay.scaling.demand import DemandHistory, DemandSample, WorkerEstimate
from drumbay.scaling.planner import WorkerCountPlanner
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerState
from drumbay.workers.worker_record import WorkerRecord

RECONCILE_INTERVAL_SECONDS = 0.5
COLLECT_INTERVAL_SECONDS = 1.0
"""Interval between two samples of the demand, each of which costs one call per owner."""

STORED_COUNTS_KEY = "drumbay/scaling/standing"


class _StoredCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Stored baselines (``places``) and demand targets (``raised``) per zone."""

    places: tuple[ZoneWorkers, ...]
    raised: tuple[ZoneWorkers, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_StoredCounts)


class WorkerCountController:
    """Orders the worker counts decided by the planner."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        routes: RouteTable,
        directory: WorkerDirectory,
        placement: PlacementGate,
        leader: LeaderElection,
        duties: PlatformDuties,
        collector: DemandCollector | None,
        holder: str,
        metrics: ServingMetrics,
    ) -> None:
        """Create an inactive controller.

        Args:
            clock: Clock.
            store: The key-value store.
            routes: Current configuration, with the bounds of the counts.
            directory: The workers.
            placement: Tells which workers are in evacuated zones.
            leader: Tells whether this node is the leader.
            duties: Client of the platform, to which the orders are sent.
            collector: Collects demand; ``None`` to keep the baseline counts only.
            holder: Name of this machine at the platform.
            metrics: Metrics of orders and workers.
        """
        self._clock = clock
        self._store = store
        self._routes = routes
        self._directory = directory
        self._placement = placement
        self._leader = leader
        self._duties = duties
        self._collector = collector
        self._holder = holder
        self._metrics = metrics
        self._planner = WorkerCountPlanner()
        self._demand: dict[str, DemandHistory] = {}
        self._collected_at = float("-inf")
        self._stored = _StoredCounts(places=())
        self._fence: Fence | None = None

    async def run(self) -> None:
        """Reconcile periodically until cancelled."""
        while True:
            await self._clock.sleep(RECONCILE_INTERVAL_SECONDS)
            fence = self._leader.duty_fence(self._clock.monotonic())
            current = self._routes.current
            if fence is None or current is None or not self._directory.is_loaded:
                self._fence = None
                self._demand.clear()
                continue
            try:
                await self._reconcile(fence, current.scaling)
            except KeyValueError as error:
                log_event("worker_counts_not_kept", level="WARNING", error=error.code)
                self._fence = None

    async def _reconcile(self, fence: Fence, scalings: tuple[ServiceScaling, ...]) -> None:
        if not scalings:
            return
        if self._fence != fence:
            await self._load_counts()
            self._fence = fence
        await self._collect(scalings)
        for scaling in scalings:
            if not await self._scale_service(scaling, fence):
                return
        await self._store_counts(fence)

    async def _collect(self, scalings: tuple[ServiceScaling, ...]) -> None:
        """Sample the demand for each service, if a sample is due."""
        now = self._clock.monotonic()
        if self._collector is None or now - self._collected_at < COLLECT_INTERVAL_SECONDS:
            return
        self._collected_at = now
        jobs = await self._collector.collect()
        for scaling in scalings:
            history = self._demand.setdefault(scaling.service, DemandHistory())
            ready = self._workers_in_service(scaling.service)
            history.observe(
                DemandSample(
                    at=now,
                    workers=len(ready),
                    slots=sum(worker.slots for worker in ready),
                    jobs=tuple(job for job in jobs if job.service == scaling.service),
                )
            )

    async def _scale_service(self, scaling: ServiceScaling, fence: Fence) -> bool:
        """Order the workers of a service; return whether this node may send more orders."""
        workers = self._workers_by_zone(scaling)
        history = self._demand.setdefault(scaling.service, DemandHistory())
        estimate = history.estimate()
        orders = self._planner.plan(
            scaling,
            workers,
            self._clock.monotonic(),
            estimate,
            self._placement.evacuations.zones,
        )
        self._metrics.set_workers(
            scaling.service,
            ready=sum(zone.ready for zone in workers),
            needed=estimate.workers,
            ordered=self._planner.total_target(scaling),
            waiting_items=estimate.waiting_items,
        )
        # Stored first, so that the next leader does not count ordered workers as baseline.
        if orders and not await self._store_counts(fence):
            return False
        for order in orders:
            if not await self._send_order(order, estimate, fence):
                return False
        return True

    async def _send_order(self, order: WorkerCount, estimate: WorkerEstimate, fence: Fence) -> bool:
        """Send one order; return whether this node may send more."""
        if self._leader.duty_fence(self._clock.monotonic()) != fence:
            return False
        token = DutyToken(holder=self._holder, fence=fence)
        outcome = await self._duties.set_worker_count(token, order)
        self._planner.record_outcome(order, outcome, self._clock.monotonic())
        self._metrics.count_duty("worker_count", outcome)
        log_event(
            "worker_count_ordered",
            service=order.service,
            zone=order.zone,
            workers=order.workers,
            needed=estimate.workers,
            ready=len(self._workers_in_service(order.service)),
            wanted_places=estimate.wanted_slots,
            waiting_items=estimate.waiting_items,
            run_seconds=round(estimate.run_seconds, 3),
            demand_age_seconds=round(self._clock.monotonic() - self._collected_at, 3),
            fence=fence,
            outcome=outcome,
        )
        if outcome is DutyOutcome.FENCED:
            self._leader.step_down("fenced")
        return outcome is not DutyOutcome.FENCED

    def _workers_by_zone(self, scaling: ServiceScaling) -> tuple[ZoneWorkers, ...]:
        """Return the ready workers in each zone of the service."""
        ready: Counter[str] = Counter(dict.fromkeys(scaling.zone_prices, 0))
        ready.update(worker.zone for worker in self._ready_workers(scaling.service))
        return tuple(
            ZoneWorkers(place=ServiceZone(scaling.service, zone), ready=count)
            for zone, count in sorted(ready.items())
        )

    def _ready_workers(self, service: str) -> list[Worker]:
        return _ready_workers(self._directory.of_service(service))

    def _workers_in_service(self, service: str) -> list[Worker]:
        """Return the ready workers outside evacuated zones."""
        return _ready_workers(self._placement.in_service(self._directory.of_service(service)))

    async def _load_counts(self) -> None:
        """Restore the counts stored by the previous leader."""
        result = await self._store.range_prefix(STORED_COUNTS_KEY)
        records = [_decoder.decode(item.value) for item in result.items]
        self._stored = records[0] if records else _StoredCounts(places=())
        self._planner = WorkerCountPlanner()
        self._planner.restore(
            _counts_by_zone(self._stored.places), _counts_by_zone(self._stored.raised)
        )

    async def _store_counts(self, fence: Fence) -> bool:
        """Store the baselines and demand targets if they have changed.

        Returns:
            Whether the store is up to date; false if another node is the leader.
        """
        counts = _StoredCounts(
            places=_zone_workers(self._planner.baselines),
            raised=_zone_workers(self._planner.demand_targets),
        )
        if counts == self._stored:
            return True
        put = Put(key=STORED_COUNTS_KEY, value=_encoder.encode(counts))
        result = await self._store.transact((self._leader.guard(fence),), (put,))
        if not result.succeeded:
            log_event("worker_counts_not_kept", level="WARNING", error="fence_lost")
            self._fence = None
            return False
        self._stored = counts
        return True


def _ready_workers(records: Iterable[WorkerRecord]) -> list[Worker]:
    return [r.worker for r in records if r.worker.state is WorkerState.READY]


def _zone_workers(counts: Mapping[ServiceZone, int]) -> tuple[ZoneWorkers, ...]:
    return tuple(
        ZoneWorkers(place=service_zone, ready=count)
        for service_zone, count in sorted(counts.items())
    )


def _counts_by_zone(zones: Iterable[ZoneWorkers]) -> dict[ServiceZone, int]:
    return {zone.place: zone.ready for zone in zones}
