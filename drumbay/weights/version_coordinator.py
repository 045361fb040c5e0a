"""Gives the leader's load orders and follows them until they are carried out."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec

from drumbay.clock import Clock
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership.leader import LeaderElection
from drumbay.peers.messages import LoadingNotice
from drumbay.tasks import TaskOwner
from drumbay.weights.version_planner import (
    LoadPolicy,
    LoadUnderWayId,
    LoadVersion,
    VersionPlanner,
)
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import (
    LoadMode,
    LoadOrder,
    OrderOutcome,
    WorkerError,
    WorkerStatus,
)
from drumbay.workers.worker_record import WorkerRecord

TICK_SECONDS = 0.25
CALL_LIMIT_SECONDS = 0.6
STATUS_INTERVAL_SECONDS = 0.1
"""A load holds up the next one of the same worker, so its end is to be noticed soon. A report costs
a hundredth of a load."""

NOTICE_MARGIN_SECONDS = 0.03
"""The order leaves after the notice of it, by one call to the worker."""

IDLE_LIMIT_SECONDS = 1.2
"""A worker that is idle at its old version this long after an order did not take it."""


class NamedVersions:
    """The newest version that each model's trainer has named."""

    def __init__(self) -> None:
        """Start without versions."""
        self._versions: dict[str, WeightVersion] = {}
        self.changed = asyncio.Event()

    def name(self, model: str, version: WeightVersion) -> None:
        """Take a version; an older one than known is passed over."""
        if version <= self._versions.get(model, WeightVersion(0)):
            return
        self._versions[model] = version
        log_event("version_named", model=model, version=version)
        self.changed.set()

    def newest_of(self, model: str) -> WeightVersion:
        """Return the newest version of a model; 0 if none is named."""
        return self._versions.get(model, WeightVersion(0))

    @property
    def newest(self) -> dict[str, WeightVersion]:
        """Return the newest version by model."""
        return self._versions


class _LastOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Which machine ordered a worker last, and when."""

    holder: str
    at: float


class VersionCoordinator:
    """Loads named versions on the workers while this node leads."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        leader: LeaderElection,
        named: NamedVersions,
        task_owner: TaskOwner,
        holder: str,
        announce: Callable[[LoadingNotice], None],
        metrics: ServingMetrics,
        turn_seconds: float,
        policy: LoadPolicy | None = None,
    ) -> None:
        """Create a coordinator that gives orders as ``holder``.

        Args:
            clock: Time.
            directory: The workers.
            client: Calls to workers.
            leader: Says whether this node may give orders.
            named: The versions to load.
            task_owner: Runs the loads.
            holder: This machine, as workers know it.
            announce: Tells the nodes, this one included, of a load that begins.
            metrics: Counts the loads.
            turn_seconds: Orders of two machines to one worker lie at least so far apart.
            policy: Limits of loading.
        """
        self._clock = clock
        self._directory = directory
        self._client = client
        self._leader = leader
        self._named = named
        self._task_owner = task_owner
        self._holder = holder
        self._announce = announce
        self._metrics = metrics
        self._turn_seconds = turn_seconds
        self._ordered: dict[BackendId, _LastOrder] = {}
        self._policy = policy or LoadPolicy()
        self._planner = VersionPlanner(self._policy)
        directory.add_restart_listener(self._planner.note_restarted)
        self.one_version_models: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Plan and give orders until cancelled."""
        while True:
            now = self._clock.monotonic()
            fence = self._leader.fence(now)
            if fence is not None:
                records = self._directory.all_records()
                mine = [record for record in records.values() if self._is_my_turn(record, now)]
                for load in self._planner.plan(self._named.newest, mine, now):
                    under_way = self._planner.note_started(load.worker_id)
                    record = records[load.worker_id]
                    self._task_owner.spawn(
                        self._load(load, under_way, record, fence), "load-version"
                    )
            self._named.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._named.changed.wait()

    def note_order(self, notice: LoadingNotice) -> None:
        """Remember who orders a worker to load."""
        now = self._clock.monotonic()
        self._ordered[notice.worker_id] = _LastOrder(holder=notice.holder, at=now)

    def _is_my_turn(self, record: WorkerRecord, now: float) -> bool:
        """Return whether no other machine has given a worker an order for long enough."""
        last = self._ordered.get(record.worker.worker_id)
        if last is None or last.holder == self._holder:
            return True
        return now - last.at >= self._turn_seconds

    async def _load(
        self, load: LoadVersion, under_way: LoadUnderWayId, record: WorkerRecord, fence: Fence
    ) -> None:
        started_at = self._clock.monotonic()
        outcome = "failed"
        try:
            if await self._order(load, record, fence):
                outcome = await self._follow(load, record)
        except WorkerError as error:
            outcome = error.code
        finally:
            if self._directory.has_restarted(record.worker):
                outcome = "restarted"
            if outcome in ("loaded", "restarted"):
                self._planner.note_ended(load.worker_id, under_way)
            else:
                self._planner.note_failed(load.worker_id, under_way, self._clock.monotonic())
            self._metrics.count_load(outcome)
            log_event(
                "load_ended",
                worker=load.worker_id,
                model=load.model,
                version=load.version,
                fence=fence,
                outcome=outcome,
                elapsed_seconds=round(self._clock.monotonic() - started_at, 3),
            )

    async def _ask(self, record: WorkerRecord) -> WorkerStatus:
        """Return a worker's report, which the directory has taken.

        Raises:
            WorkerError: It gives none.
        """
        asked_at = self._clock.monotonic()
        status = await self._client.status(record.worker)
        self._directory.take_status(
            record.worker.worker_id, status, self._clock.monotonic(), asked_at=asked_at
        )
        return status

    async def _order(self, load: LoadVersion, record: WorkerRecord, fence: Fence) -> bool:
        """Give the order; return whether the load may be under way.

        The expected sequence is that of the start for which the load was planned.
        """
        status = await self._ask(record)
        if self._directory.get(load.worker_id) is not record:
            # It has started again, or has left: it must get no order.
            return False
        if status.busy:
            return True
        if status.versions.get(load.model, WeightVersion(0)) >= load.version:
            return True
        if self._leader.fence(self._clock.monotonic()) != fence:
            return False
        is_strict = load.model in self.one_version_models
        order = LoadOrder(
            model=load.model,
            version=load.version,
            mode=LoadMode.FINISH_FIRST if is_strict else LoadMode.KEEP_RUNNING,
            holder=self._holder,
            fence=fence,
            expected_sequence=status.sequence,
        )
        self._announce(
            LoadingNotice(
                worker_id=load.worker_id,
                model=load.model,
                version=load.version,
                seconds=self._policy.expected_seconds + NOTICE_MARGIN_SECONDS,
                holder=self._holder,
                started_at_ms=status.started_at_ms,
            )
        )
        try:
            outcome = await self._client.order(record.worker, order)
        except WorkerError as error:
            # Unanswered: it may have been taken, or may be carried out later. The sequence
            # number voids it once the worker has taken another order.
            outcome = None
            log_event("order_unanswered", level="WARNING", worker=load.worker_id, error=error.code)
        log_event(
            "order_given",
            worker=load.worker_id,
            model=load.model,
            version=load.version,
            fence=fence,
            sequence=status.sequence,
            outcome=outcome,
        )
        if outcome is OrderOutcome.FENCED:
            self._leader.step_down("fenced")
            return False
        return outcome is not OrderOutcome.REFUSED

    async def _follow(self, load: LoadVersion, record: WorkerRecord) -> str:
        """Wait until the version is loaded; return the outcome."""
        started_at = self._clock.monotonic()
        await self._clock.sleep(self._policy.expected_seconds)
        idle_seen = 0
        while True:
            if self._directory.has_restarted(record.worker):
                return "restarted"
            if record.versions.get(load.model, WeightVersion(0)) >= load.version:
                return "loaded"
            elapsed = self._clock.monotonic() - started_at
            if elapsed > self._policy.give_up_seconds:
                return "timed_out"
            with suppress(WorkerError):
                status = await self._ask(record)
                if self._directory.has_restarted(record.worker):
                    return "restarted"
                if status.versions.get(load.model, WeightVersion(0)) >= load.version:
                    return "loaded"
                idle_seen = 0 if status.busy else idle_seen + 1
                if idle_seen >= 2 and elapsed > IDLE_LIMIT_SECONDS:
                    return "not_taken"
            await self._clock.sleep(STATUS_INTERVAL_SECONDS)
