"""Planner of the weight rollout of one model.

Does no I/O and reads no clock: the caller passes in events and the time, and executes the
returned decisions.
"""

from collections.abc import Iterator

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.weights.capacity import min_serving_engines, surplus_by_version
from drumbay.weights.engines import EngineRecord, PendingOrder
from drumbay.weights.events import (
    EnginesChanged,
    IssueLoadOrder,
    NeedsChanged,
    OrderFailed,
    OrderReason,
    OrderSucceeded,
    OwnershipChanged,
    PolicyChanged,
    RolloutDone,
    RolloutStarted,
    SetAside,
    StatusReported,
    StatusRequestFailed,
    Tick,
    TokenVersionObserved,
    VersionNeed,
    VersionPublished,
    WeightRolloutDecision,
    WeightRolloutEvent,
    WeightRolloutPolicy,
    Withdrawal,
)
from drumbay.weights.fences import order_fence
from drumbay.weights.order_priority import order_reason, prioritize_engines
from drumbay.weights.target import is_withdrawn, target_version

ORDER_EXPIRY_SECONDS = 120.0
"""An order without an outcome for this long counts as failed."""

TAKEOVER_WAIT_SECONDS = 3.0
"""Longest time that a new owner waits for the engines' reports before it issues orders."""

ORDER_ARRIVAL_TIMEOUT_SECONDS = 10.0
"""An order whose fence the engine has not seen after this long counts as not received."""

INITIAL_RETRY_DELAY_SECONDS = 1.0
MAX_ORDER_FAILURES = 3
SET_ASIDE_SECONDS = 60.0


_PLANNING_EVENTS = (Tick, VersionPublished, OwnershipChanged, OrderSucceeded, OrderFailed)


class WeightRolloutPlanner:
    """Brings engines to the target version within the limits of the policy.

    Only the owner of the rollout makes decisions. A new owner does not know the orders of its
    predecessor: it plans from the engines' reports, and its orders have higher fences.
    """

    def __init__(self, policy: WeightRolloutPolicy) -> None:
        """Create a planner that has no engines and is not the owner."""
        self._policy = policy
        self._withdrawals: tuple[Withdrawal, ...] = ()
        self._needs: tuple[VersionNeed, ...] = ()
        self._engines: dict[BackendId, EngineRecord] = {}
        self._published: list[WeightVersion] = []
        self._lease_fence: Fence | None = None
        self._owner_since = 0.0
        self._rejected_lease_fence: Fence | None = None
        self._sequence_fence: Fence | None = None
        self._sequence = 0
        self._target: WeightVersion | None = None
        self._started_at = 0.0
        self._done = False

    @property
    def target(self) -> WeightVersion | None:
        """Return the target version; ``None`` if none is published."""
        return self._target

    @property
    def is_done(self) -> bool:
        """Return whether every engine that is not set aside serves the target."""
        return self._done

    def busy_engines(self) -> tuple[BackendId, ...]:
        """Return the engines that are executing an order."""
        return tuple(
            record.engine for record in self._engines.values() if record.pending_order is not None
        )

    def handle(self, event: WeightRolloutEvent, now: float) -> tuple[WeightRolloutDecision, ...]:
        """Apply an event and return the resulting decisions."""
        decisions = list(self._apply_event(event, now))
        if self._lease_fence is None:
            return ()
        # Planning iterates over all engines, so frequent status reports wait for the next tick.
        if not isinstance(event, _PLANNING_EVENTS):
            return tuple(decisions)
        decisions.extend(self._update_target(now))
        decisions.extend(self._expire_orders(now))
        decisions.extend(self._plan_orders(now))
        decisions.extend(self._complete_rollout(now))
        return tuple(decisions)

    def _apply_event(
        self, event: WeightRolloutEvent, now: float
    ) -> Iterator[WeightRolloutDecision]:
        match event:
            case VersionPublished(version=version):
                self._add_version(version)
            case PolicyChanged(policy=policy, withdrawals=withdrawals):
                self._policy = policy
                self._withdrawals = withdrawals
            case NeedsChanged(needs=needs):
                self._needs = needs
            case EnginesChanged():
                self._set_engines(event)
            case OwnershipChanged(lease_fence=fence):
                self._set_ownership(fence, now)
            case Tick():
                pass
            case _:
                yield from self._apply_engine_event(event, now)

    def _add_version(self, version: WeightVersion) -> None:
        """Record a published version, which a new owner may also learn from an engine's report."""
        if version not in self._published:
            self._published.append(version)

    def _apply_engine_event(
        self,
        event: StatusReported
        | StatusRequestFailed
        | TokenVersionObserved
        | OrderSucceeded
        | OrderFailed,
        now: float,
    ) -> Iterator[WeightRolloutDecision]:
        engine = event.status.backend_id if isinstance(event, StatusReported) else event.engine
        record = self._engines.get(engine)
        if record is None:
            return
        match event:
            case StatusReported(status=status):
                self._add_version(status.weight_version)
                record.record_status(status, now)
                yield from self._resolve_pending_order(record, status, now)
            case StatusRequestFailed():
                record.clear_report()
            case TokenVersionObserved(boot_id=boot_id, version=version):
                if record.record_token_version(boot_id, version, now):
                    detail = f"acknowledged, but its tokens are of version {version}"
                    yield from self._record_failure(record, detail, now)
            case OrderSucceeded(fence=fence, status=status):
                yield from self._complete_order(record, fence, status, now)
            case OrderFailed():
                yield from self._handle_order_failure(record, event, now)

    def _handle_order_failure(
        self, record: EngineRecord, event: OrderFailed, now: float
    ) -> Iterator[WeightRolloutDecision]:
        if record.pending_order is None or record.pending_order.fence != event.fence:
            return
        if event.stale_fence:
            # Another node has issued orders under a newer fence, so this lease has expired.
            self._rejected_lease_fence = self._lease_fence
            self._set_ownership(None, now)
            return
        yield from self._record_failure(record, event.reason, now)
        if event.outcome_unknown:
            record.maybe_busy_until = record.retry_at

    def _set_engines(self, event: EnginesChanged) -> None:
        self._engines = {
            engine: self._engines.get(engine) or EngineRecord(engine) for engine in event.engines
        }
        for engine, record in self._engines.items():
            record.in_service = engine not in event.out_of_service

    def _set_ownership(self, fence: Fence | None, now: float) -> None:
        if fence == self._lease_fence:
            return
        if fence is not None and fence == self._rejected_lease_fence:
            return
        self._lease_fence = fence
        self._owner_since = now
        for record in self._engines.values():
            record.clear_report()
        if fence is not None and fence != self._sequence_fence:
            self._start_sequence(fence)

    def _start_sequence(self, fence: Fence) -> None:
        """Discard orders and sequence numbers of an earlier lease.

        Not called when a lease resumes under the same fence: its orders are still pending,
        and reused sequence numbers would be refused.
        """
        self._sequence_fence = fence
        self._sequence = 0
        self._target = None
        for record in self._engines.values():
            record.pending_order = None

    def _resolve_pending_order(
        self, record: EngineRecord, status: EngineStatus, now: float
    ) -> Iterator[WeightRolloutDecision]:
        """Complete or fail a pending order without a reply from the engine's report."""
        order = record.pending_order
        if order is None:
            return
        if status.highest_fence == order.fence and record.version == order.version:
            yield from self._complete_order(record, order.fence, status, now)
        elif (
            status.highest_fence < order.fence
            and now - order.issued_at > ORDER_ARRIVAL_TIMEOUT_SECONDS
        ):
            yield from self._record_failure(record, "the order did not arrive", now)

    def _complete_order(
        self, record: EngineRecord, fence: Fence, status: EngineStatus, now: float
    ) -> Iterator[WeightRolloutDecision]:
        if record.pending_order is None or record.pending_order.fence != fence:
            return
        ordered_version = record.pending_order.version
        record.record_success(status, now)
        if record.version != ordered_version:
            yield from self._record_failure(
                record, f"acknowledged, but reports {record.version}", now
            )
            return
        record.failures = 0
        record.set_aside = False

    def _record_failure(
        self, record: EngineRecord, reason: str, now: float
    ) -> Iterator[WeightRolloutDecision]:
        record.pending_order = None
        record.failures += 1
        record.last_failure = reason
        if record.failures < MAX_ORDER_FAILURES:
            record.retry_at = now + INITIAL_RETRY_DELAY_SECONDS * 2 ** (record.failures - 1)
            return
        record.set_aside = True
        record.retry_at = now + SET_ASIDE_SECONDS
        yield SetAside(
            engine=record.engine,
            until_seconds=record.retry_at,
            detail=f"{record.failures} orders in a row failed, the last one: {reason}",
        )

    def _update_target(self, now: float) -> Iterator[WeightRolloutDecision]:
        target = target_version(self._published, self._withdrawals)
        if target is None or target == self._target:
            return
        previous = self._target
        self._target = target
        self._started_at = now
        self._done = False
        for record in self._engines.values():
            if not record.set_aside:
                record.retry_at = 0.0
        yield RolloutStarted(
            version=target,
            detail=f"from version {previous} to {target}, {len(self._engines)} engines",
        )

    def _expire_orders(self, now: float) -> Iterator[WeightRolloutDecision]:
        for record in self._engines.values():
            order = record.pending_order
            if order is not None and now - order.issued_at > ORDER_EXPIRY_SECONDS:
                yield from self._record_failure(record, "no outcome in time", now)

    def _plan_orders(self, now: float) -> Iterator[WeightRolloutDecision]:
        if self._target is None or not self._has_engine_reports(now):
            return
        for record in self._engines.values():
            if record.pending_order is not None and record.pending_order.version != self._target:
                yield self._issue_order(record, OrderReason.SUPERSEDES, now)
        free_loads = self._policy.max_concurrent_loads - len(self.busy_engines())
        spare_engines = self._spare_engines(now)
        surplus = self._surplus_by_version(now)
        available = [
            record
            for record in self._engines.values()
            if spare_engines > 0 or not record.in_service
        ]
        pending_engines = prioritize_engines(
            available, self._target, self._withdrawals, self._lease_fence, now
        )
        for record in pending_engines:
            if free_loads <= 0:
                return
            assert record.version is not None
            if record.in_service:
                if spare_engines <= 0 or surplus.get(record.version, 1) <= 0:
                    continue
                if record.version in surplus:
                    surplus[record.version] -= 1
                spare_engines -= 1
            free_loads -= 1
            yield self._issue_order(
                record, order_reason(record, self._target, done=self._done), now
            )

    def _has_engine_reports(self, now: float) -> bool:
        """Return whether all engines have reported, or a new owner has waited long enough."""
        if now - self._owner_since >= TAKEOVER_WAIT_SECONDS:
            return True
        return all(record.has_reported() for record in self._engines.values())

    def _spare_engines(self, now: float) -> int:
        """Return how many more engines may be taken out of service."""
        serving = sum(1 for record in self._engines.values() if record.is_serving(now))
        return serving - self._min_serving_engines()

    def _min_serving_engines(self) -> int:
        in_service = sum(1 for record in self._engines.values() if record.in_service)
        return min_serving_engines(in_service, self._policy.min_serving_share)

    def _surplus_by_version(self, now: float) -> dict[WeightVersion, int]:
        assert self._target is not None
        oldest = WeightVersion(self._target - self._policy.max_staleness_versions)
        relevant_needs = [
            need
            for need in self._needs
            if oldest <= need.version != self._target
            and not is_withdrawn(need.version, self._withdrawals)
        ]
        return surplus_by_version(self._engines.values(), relevant_needs, now)

    def _issue_order(self, record: EngineRecord, reason: OrderReason, now: float) -> IssueLoadOrder:
        assert self._target is not None
        assert self._lease_fence is not None
        fence = self._next_fence(self._lease_fence)
        record.pending_order = PendingOrder(self._target, fence, now)
        failure_note = f"; last failure: {record.last_failure}" if record.failures else ""
        return IssueLoadOrder(
            engine=record.engine,
            version=self._target,
            fence=fence,
            reason=reason,
            detail=(
                f"{reason.value}: from version {record.version} to {self._target}, "
                f"{len(self.busy_engines())} of {len(self._engines)} engines loading{failure_note}"
            ),
        )

    def _next_fence(self, owner_fence: Fence) -> Fence:
        self._sequence += 1
        return order_fence(owner_fence, self._sequence)

    def _complete_rollout(self, now: float) -> Iterator[WeightRolloutDecision]:
        if self._done or self._target is None or not self._engines:
            return
        active_records = [record for record in self._engines.values() if not record.set_aside]
        if any(
            record.version != self._target or not record.may_be_ordered(now)
            for record in active_records
        ):
            return
        self._done = True
        set_aside_count = len(self._engines) - len(active_records)
        yield RolloutDone(
            version=self._target,
            seconds=now - self._started_at,
            detail=f"{len(active_records)} engines serve version {self._target}, "
            f"{set_aside_count} set aside",
        )
