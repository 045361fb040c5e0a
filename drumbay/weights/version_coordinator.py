"""Sends the leader's load orders to workers and tracks them to completion."""

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
from drumbay.placement.gate import PlacementGate
from drumbay.tasks import TaskOwner
from drumbay.weights.version_planner import (
    LoadId,
    LoadPolicy,
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
CALL_TIMEOUT_SECONDS = 0.6
STATUS_INTERVAL_SECONDS = 0.1
"""Interval between status requests during a load."""

NOTICE_MARGIN_SECONDS = 0.03
"""Added to the expected load time, since the notice is sent before the order."""

ORDER_ACCEPTANCE_TIMEOUT_SECONDS = 1.2
"""A worker still idle at its old version after this long has not accepted the order."""


class AnnouncedVersions:
    """Newest announced version of each model."""

    def __init__(self) -> None:
        """Start without versions."""
        self._versions: dict[str, WeightVersion] = {}
        self.changed = asyncio.Event()

    def announce(self, model: str, version: WeightVersion) -> None:
        """Record an announced version; ignored unless it is newer than the known one."""
        if version <= self._versions.get(model, WeightVersion(0)):
            return
        self._versions[model] = version
        log_event("version_named", model=model, version=version)
        self.changed.set()

    def newest_of(self, model: str) -> WeightVersion:
        """Return the newest version of a model; 0 if none was announced."""
        return self._versions.get(model, WeightVersion(0))

    @property
    def newest(self) -> dict[str, WeightVersion]:
        """Return the newest version by model."""
        return self._versions


class _LastOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Machine that sent the last order to a worker, and when."""

    holder: str
    ordered_at: float


class VersionCoordinator:
    """Loads announced versions on the workers while this node is the leader."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        placement: PlacementGate,
        client: WorkerClient,
        leader: LeaderElection,
        announced_versions: AnnouncedVersions,
        task_owner: TaskOwner,
        holder: str,
        broadcast_notice: Callable[[LoadingNotice], None],
        metrics: ServingMetrics,
        handover_seconds: float,
        policy: LoadPolicy | None = None,
    ) -> None:
        """Create a coordinator that sends orders as ``holder``.

        Args:
            clock: Source of time.
            directory: The workers.
            placement: Tells which workers are in evacuated zones.
            client: Client of the workers.
            leader: Leader election; provides the fence of this node's leadership.
            announced_versions: The versions to load.
            task_owner: Owner of the load tasks.
            holder: Name of this machine in orders to workers.
            broadcast_notice: Sends a notice to all nodes, including this one, before a load order.
            metrics: Counts the loads by outcome.
            handover_seconds: Minimum time between orders of different machines to a worker.
            policy: Limits on concurrent loads and time limits.
        """
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._client = client
        self._leader = leader
        self._announced_versions = announced_versions
        self._task_owner = task_owner
        self._holder = holder
        self._broadcast_notice = broadcast_notice
        self._metrics = metrics
        self._handover_seconds = handover_seconds
        self._last_orders: dict[BackendId, _LastOrder] = {}
        self._policy = policy or LoadPolicy()
        self._planner = VersionPlanner(self._policy)
        directory.add_restart_listener(self._planner.record_worker_restarted)
        self.single_version_models: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Plan and execute loads until cancelled."""
        while True:
            now = self._clock.monotonic()
            fence = self._leader.fence(now)
            if fence is not None:
                records = self._directory.all_records()
                loadable_records = [
                    record for record in records.values() if self._may_order(record, now)
                ]
                for load in self._planner.plan(
                    self._announced_versions.newest,
                    loadable_records,
                    now,
                    self._placement.evacuations.zones,
                ):
                    load_id = self._planner.record_load_started(load.worker_id, load.model)
                    record = records[load.worker_id]
                    self._task_owner.spawn(self._load(load, load_id, record, fence), "load-version")
            self._announced_versions.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._announced_versions.changed.wait()

    def record_order(self, notice: LoadingNotice) -> None:
        """Record which machine sent a load order to a worker."""
        now = self._clock.monotonic()
        self._last_orders[notice.worker_id] = _LastOrder(holder=notice.holder, ordered_at=now)

    def _may_order(self, record: WorkerRecord, now: float) -> bool:
        """Return whether no other machine has recently sent a worker an order."""
        last = self._last_orders.get(record.worker.worker_id)
        if last is None or last.holder == self._holder:
            return True
        return now - last.ordered_at >= self._handover_seconds

    async def _load(
        self, load: LoadVersion, load_id: LoadId, record: WorkerRecord, fence: Fence
    ) -> None:
        started_at = self._clock.monotonic()
        outcome = "failed"
        try:
            if await self._send_order(load, record, fence):
                outcome = await self._wait_for_load(load, record)
        except WorkerError as error:
            outcome = error.code
        finally:
            if self._directory.has_restarted(record.worker):
                outcome = "restarted"
            if outcome in ("loaded", "restarted"):
                self._planner.record_load_ended(load.worker_id, load_id)
            else:
                self._planner.record_load_failed(load.worker_id, load_id, self._clock.monotonic())
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

    async def _request_status(self, record: WorkerRecord) -> WorkerStatus:
        """Return a worker's status after recording it in the directory.

        Raises:
            WorkerError: The request failed.
        """
        asked_at = self._clock.monotonic()
        status = await self._client.status(record.worker)
        self._directory.apply_status(
            record.worker.worker_id, status, self._clock.monotonic(), asked_at=asked_at
        )
        return status

    async def _send_order(self, load: LoadVersion, record: WorkerRecord, fence: Fence) -> bool:
        """Send the order; return whether the load may be in progress.

        The expected sequence number belongs to the worker process that the load was planned for.
        """
        status = await self._request_status(record)
        if self._directory.get(load.worker_id) is not record:
            # The worker has restarted or left, so the planned load is obsolete.
            return False
        if status.busy:
            return True
        if status.versions.get(load.model, WeightVersion(0)) >= load.version:
            return True
        if self._leader.fence(self._clock.monotonic()) != fence:
            return False
        requires_single_version = load.model in self.single_version_models
        order = LoadOrder(
            model=load.model,
            version=load.version,
            mode=LoadMode.FINISH_FIRST if requires_single_version else LoadMode.KEEP_RUNNING,
            holder=self._holder,
            fence=fence,
            expected_sequence=status.sequence,
        )
        self._broadcast_notice(
            LoadingNotice(
                worker_id=load.worker_id,
                model=load.model,
                version=load.version,
                seconds=self._policy.expected_load_seconds + NOTICE_MARGIN_SECONDS,
                holder=self._holder,
                started_at_ms=status.started_at_ms,
            )
        )
        try:
            outcome = await self._client.order(record.worker, order)
        except WorkerError as error:
            # The order may have been accepted, or may still arrive. Its sequence number becomes
            # invalid once the worker accepts another order.
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

    async def _wait_for_load(self, load: LoadVersion, record: WorkerRecord) -> str:
        """Wait until the load ends; return its outcome."""
        started_at = self._clock.monotonic()
        await self._clock.sleep(self._policy.expected_load_seconds)
        idle_reports = 0
        while True:
            if self._directory.has_restarted(record.worker):
                return "restarted"
            if record.versions.get(load.model, WeightVersion(0)) >= load.version:
                return "loaded"
            elapsed = self._clock.monotonic() - started_at
            if elapsed > self._policy.load_timeout_seconds:
                return "timed_out"
            with suppress(WorkerError):
                status = await self._request_status(record)
                if self._directory.has_restarted(record.worker):
                    return "restarted"
                if status.versions.get(load.model, WeightVersion(0)) >= load.version:
                    return "loaded"
                idle_reports = 0 if status.busy else idle_reports + 1
                if idle_reports >= 2 and elapsed > ORDER_ACCEPTANCE_TIMEOUT_SECONDS:
                    return "not_taken"
            await self._clock.sleep(STATUS_INTERVAL_SECONDS)
