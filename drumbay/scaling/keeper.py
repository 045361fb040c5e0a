"""Orders worker counts from the platform while this node leads."""

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
from drumbay.scaling.collector import PlacesCollector
from drumbay.scaling.demand import DemandHistory, PlacesSample, WorkerNeed
from drumbay.scaling.planner import WorkerCountPlanner
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerState

TICK_SECONDS = 0.5
COLLECT_SECONDS = 1.0
"""Demand that lasts shows within two samples, and a new worker serves seconds later. Asking more
often would gain little of that, and costs each owner a call."""

STANDING_KEY = "drumbay/scaling/standing"


class _Standing(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers have stood in each zone, and how many demand has asked for."""

    places: tuple[ZoneWorkers, ...]
    raised: tuple[ZoneWorkers, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Standing)


class WorkerCountKeeper:
    """Keeps the number of workers that the planner wants."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        routes: RouteTable,
        directory: WorkerDirectory,
        leader: LeaderElection,
        duties: PlatformDuties,
        collector: PlacesCollector | None,
        holder: str,
        metrics: ServingMetrics,
    ) -> None:
        """Create a keeper that does not lead.

        Args:
            clock: Time.
            store: The key-value service.
            routes: The configuration in force, which bounds the counts.
            directory: The workers.
            leader: Says whether this node holds the duty.
            duties: The platform.
            collector: Knows what the open batch jobs hold and want; ``None`` to keep what stands.
            holder: This machine, as the platform knows it.
            metrics: Counts orders and workers.
        """
        self._clock = clock
        self._store = store
        self._routes = routes
        self._directory = directory
        self._leader = leader
        self._duties = duties
        self._collector = collector
        self._holder = holder
        self._metrics = metrics
        self._planner = WorkerCountPlanner()
        self._demand: dict[str, DemandHistory] = {}
        self._collected_at = float("-inf")
        self._stored = _Standing(places=())
        self._fence: Fence | None = None

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            fence = self._leader.duty_fence(self._clock.monotonic())
            current = self._routes.current
            if fence is None or current is None or not self._directory.loaded:
                self._fence = None
                self._demand.clear()
                continue
            try:
                await self._keep(fence, current.scaling)
            except KeyValueError as error:
                log_event("worker_counts_not_kept", level="WARNING", error=error.code)
                self._fence = None

    async def _keep(self, fence: Fence, scalings: tuple[ServiceScaling, ...]) -> None:
        if not scalings:
            return
        if self._fence != fence:
            await self._take_up()
            self._fence = fence
        await self._collect(scalings)
        for scaling in scalings:
            if not await self._keep_service(scaling, fence):
                return
        await self._store_standing(fence)

    async def _collect(self, scalings: tuple[ServiceScaling, ...]) -> None:
        """Take a sample of the demand for each service, once a second."""
        now = self._clock.monotonic()
        if self._collector is None or now - self._collected_at < COLLECT_SECONDS:
            return
        self._collected_at = now
        jobs = await self._collector.collect()
        for scaling in scalings:
            history = self._demand.setdefault(scaling.service, DemandHistory())
            ready = self._ready_workers(scaling.service)
            history.observe(
                PlacesSample(
                    at=now,
                    workers=len(ready),
                    places=sum(worker.slots for worker in ready),
                    jobs=tuple(job for job in jobs if job.service == scaling.service),
                )
            )

    async def _keep_service(self, scaling: ServiceScaling, fence: Fence) -> bool:
        """Order what a service needs; return whether this node may give more orders."""
        there = self._workers_of(scaling)
        history = self._demand.setdefault(scaling.service, DemandHistory())
        need = history.need()
        orders = self._planner.plan(scaling, there, self._clock.monotonic(), need)
        self._metrics.set_workers(
            scaling.service,
            ready=sum(zone.ready for zone in there),
            needed=need.workers,
            ordered=self._planner.wanted_of(scaling),
            waiting_items=need.waiting,
        )
        # A successor must not take workers that were ordered here for those that stood.
        if orders and not await self._store_standing(fence):
            return False
        for order in orders:
            if not await self._order(order, need, fence):
                return False
        return True

    async def _order(self, order: WorkerCount, need: WorkerNeed, fence: Fence) -> bool:
        """Give one order; return whether this node may give more."""
        if self._leader.duty_fence(self._clock.monotonic()) != fence:
            return False
        token = DutyToken(holder=self._holder, fence=fence)
        outcome = await self._duties.set_worker_count(token, order)
        self._planner.note_outcome(order, outcome, self._clock.monotonic())
        self._metrics.count_duty("worker_count", outcome)
        log_event(
            "worker_count_ordered",
            service=order.service,
            zone=order.zone,
            workers=order.workers,
            needed=need.workers,
            ready=len(self._ready_workers(order.service)),
            wanted_places=need.wanted,
            waiting_items=need.waiting,
            run_seconds=round(need.run_seconds, 3),
            demand_age_seconds=round(self._clock.monotonic() - self._collected_at, 3),
            fence=fence,
            outcome=outcome,
        )
        if outcome is DutyOutcome.FENCED:
            self._leader.step_down("fenced")
        return outcome is not DutyOutcome.FENCED

    def _workers_of(self, scaling: ServiceScaling) -> tuple[ZoneWorkers, ...]:
        """Return the workers in each zone where the service may have some."""
        ready: Counter[str] = Counter(dict.fromkeys(scaling.zone_prices, 0))
        ready.update(worker.zone for worker in self._ready_workers(scaling.service))
        return tuple(
            ZoneWorkers(place=ServiceZone(scaling.service, zone), ready=count)
            for zone, count in sorted(ready.items())
        )

    def _ready_workers(self, service: str) -> list[Worker]:
        records = self._directory.of_service(service)
        return [r.worker for r in records if r.worker.state is WorkerState.READY]

    async def _take_up(self) -> None:
        """Go on from what the leader before knew."""
        found = await self._store.range_prefix(STANDING_KEY)
        records = [_decoder.decode(item.value) for item in found.items]
        self._stored = records[0] if records else _Standing(places=())
        self._planner = WorkerCountPlanner()
        self._planner.restore(_counts(self._stored.places), _counts(self._stored.raised))

    async def _store_standing(self, fence: Fence) -> bool:
        """Write down what stands and was asked for, when it has changed.

        Returns:
            Whether the store has it; not if another node leads by now.
        """
        standing = _Standing(
            places=_zone_workers(self._planner.standing),
            raised=_zone_workers(self._planner.raised),
        )
        if standing == self._stored:
            return True
        put = Put(key=STANDING_KEY, value=_encoder.encode(standing))
        result = await self._store.transact((self._leader.guard(fence),), (put,))
        if not result.succeeded:
            log_event("worker_counts_not_kept", level="WARNING", error="fence_lost")
            self._fence = None
            return False
        self._stored = standing
        return True


def _zone_workers(counts: Mapping[ServiceZone, int]) -> tuple[ZoneWorkers, ...]:
    return tuple(ZoneWorkers(place=place, ready=count) for place, count in sorted(counts.items()))


def _counts(zones: Iterable[ZoneWorkers]) -> dict[ServiceZone, int]:
    return {zone.place: zone.ready for zone in zones}
