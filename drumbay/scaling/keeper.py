"""Orders worker counts from the platform while this node leads."""

from collections import Counter

import msgspec

from drumbay.clock import Clock
from drumbay.duties.interface import DutyOutcome, DutyToken, PlatformDuties, WorkerCount
from drumbay.forwarding.routes import RouteTable
from drumbay.identifiers import Fence
from drumbay.kv.interface import KeyValueError, KeyValueStore, Put
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership.leader import LeaderElection
from drumbay.scaling.planner import WorkerCountPlanner
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import WorkerState

TICK_SECONDS = 0.5
STANDING_KEY = "drumbay/scaling/standing"


class _Standing(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers have stood in each zone."""

    places: tuple[ZoneWorkers, ...]


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
            holder: This machine, as the platform knows it.
            metrics: Counts orders.
        """
        self._clock = clock
        self._store = store
        self._routes = routes
        self._directory = directory
        self._leader = leader
        self._duties = duties
        self._holder = holder
        self._metrics = metrics
        self._planner = WorkerCountPlanner()
        self._stored: dict[ServiceZone, int] = {}
        self._fence: Fence | None = None

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            fence = self._leader.duty_fence(self._clock.monotonic())
            current = self._routes.current
            if fence is None or current is None or not self._directory.loaded:
                self._fence = None
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
        for scaling in scalings:
            there = self._workers_of(scaling)
            now = self._clock.monotonic()
            for order in self._planner.plan(scaling, there, now):
                if not await self._order(order, fence):
                    return
        await self._store_standing(fence)

    async def _order(self, order: WorkerCount, fence: Fence) -> bool:
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
            fence=fence,
            outcome=outcome,
        )
        if outcome is DutyOutcome.FENCED:
            self._leader.step_down("fenced")
        return outcome is not DutyOutcome.FENCED

    def _workers_of(self, scaling: ServiceScaling) -> tuple[ZoneWorkers, ...]:
        """Return the workers in each zone where the service may have some."""
        ready: Counter[str] = Counter(dict.fromkeys(scaling.zone_prices, 0))
        for record in self._directory.of_service(scaling.service):
            if record.worker.state is WorkerState.READY:
                ready[record.worker.zone] += 1
        return tuple(
            ZoneWorkers(place=ServiceZone(scaling.service, zone), ready=count)
            for zone, count in sorted(ready.items())
        )

    async def _take_up(self) -> None:
        """Go on from what the leader before knew."""
        found = await self._store.range_prefix(STANDING_KEY)
        self._stored = {
            zone.place: zone.ready
            for item in found.items
            for zone in _decoder.decode(item.value).places
        }
        self._planner = WorkerCountPlanner()
        self._planner.restore(self._stored)

    async def _store_standing(self, fence: Fence) -> None:
        """Write down what stands, for a successor, when it has changed."""
        standing = self._planner.standing
        if standing == self._stored:
            return
        places = tuple(ZoneWorkers(place=p, ready=n) for p, n in sorted(standing.items()))
        put = Put(key=STANDING_KEY, value=_encoder.encode(_Standing(places=places)))
        await self._store.transact((self._leader.guard(fence),), (put,))
        self._stored = standing
