"""Plans the rollout of one model's weights. Pure: events and the time in, decisions out."""

from collections.abc import Iterator

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.weights.capacity import serving_floor, spare_by_version
from drumbay.weights.engines import EngineRecord, OpenOrder
from drumbay.weights.events import (
    EnginesChanged,
    LoadEngine,
    NeedsChanged,
    OrderFailed,
    OrderReason,
    OrderSucceeded,
    OwnershipChanged,
    PolicyChanged,
    RolloutDecision,
    RolloutDone,
    RolloutEvent,
    RolloutPolicy,
    RolloutStarted,
    SetAside,
    StampObserved,
    StatusMissed,
    StatusReported,
    Tick,
    VersionNeed,
    VersionPublished,
    Withdrawal,
)
from drumbay.weights.fences import order_fence
from drumbay.weights.order_choice import engines_to_order, order_reason
from drumbay.weights.target import is_withdrawn, target_version

ORDER_LIMIT_SECONDS = 120.0
"""An order without any outcome for this long counts as failed."""

TAKEOVER_SECONDS = 3.0
"""How long a new owner waits for the engines' reports before it gives orders."""

ARRIVAL_LIMIT_SECONDS = 10.0
"""An engine that has not seen an order's fence by then counts as not having got it."""

FIRST_RETRY_SECONDS = 1.0
FAILURES_BEFORE_SET_ASIDE = 3
SET_ASIDE_SECONDS = 60.0


_PLANNING_EVENTS = (Tick, VersionPublished, OwnershipChanged, OrderSucceeded, OrderFailed)


class RolloutPlanner:
    """Orders engines to the target version within the limits of the policy.

    Only the owner of the rollout decides anything. A new owner knows nothing of the earlier
    one's orders; it plans from the engines' reports, and its fences are newer.
    """

    def __init__(self, policy: RolloutPolicy) -> None:
        """Create a planner without engines that is not the owner."""
        self._policy = policy
        self._withdrawals: tuple[Withdrawal, ...] = ()
        self._needs: tuple[VersionNeed, ...] = ()
        self._engines: dict[BackendId, EngineRecord] = {}
        self._published: list[WeightVersion] = []
        self._lease_fence: Fence | None = None
        self._owner_since = 0.0
        self._refused_fence: Fence | None = None
        self._numbered_fence: Fence | None = None
        self._sequence = 0
        self._target: WeightVersion | None = None
        self._started_at = 0.0
        self._done = False

    @property
    def target(self) -> WeightVersion | None:
        """Return the version the rollout leads to; ``None`` if none is published."""
        return self._target

    @property
    def is_done(self) -> bool:
        """Return whether every engine that is not set aside serves the target."""
        return self._done

    def busy_engines(self) -> tuple[BackendId, ...]:
        """Return the engines that work on an order."""
        return tuple(
            record.engine for record in self._engines.values() if record.open_order is not None
        )

    def handle(self, event: RolloutEvent, now: float) -> tuple[RolloutDecision, ...]:
        """Take in one event and return what to do now."""
        decisions = list(self._take_in(event, now))
        if self._lease_fence is None:
            return ()
        # NOTE: a plan looks at every engine. Reports of 700 engines come 140 times a
        # second; what they change is planned at the next tick.
        if not isinstance(event, _PLANNING_EVENTS):
            return tuple(decisions)
        decisions.extend(self._move_target(now))
        decisions.extend(self._expire_orders(now))
        decisions.extend(self._plan_orders(now))
        decisions.extend(self._finish(now))
        return tuple(decisions)

    def _take_in(self, event: RolloutEvent, now: float) -> Iterator[RolloutDecision]:
        match event:
            case VersionPublished(version=version):
                self._take_version(version)
            case PolicyChanged(policy=policy, withdrawals=withdrawals):
                self._policy = policy
                self._withdrawals = withdrawals
            case NeedsChanged(needs=needs):
                self._needs = needs
            case EnginesChanged(engines=engines):
                self._take_engines(engines)
            case OwnershipChanged(lease_fence=fence):
                self._take_ownership(fence, now)
            case Tick():
                pass
            case _:
                yield from self._take_engine_event(event, now)

    def _take_version(self, version: WeightVersion) -> None:
        """Take in that a version exists; a new owner learns it from the engines too."""
        if version not in self._published:
            self._published.append(version)

    def _take_engine_event(
        self,
        event: StatusReported | StatusMissed | StampObserved | OrderSucceeded | OrderFailed,
        now: float,
    ) -> Iterator[RolloutDecision]:
        engine = event.status.backend_id if isinstance(event, StatusReported) else event.engine
        record = self._engines.get(engine)
        if record is None:
            return
        match event:
            case StatusReported(status=status):
                self._take_version(status.weight_version)
                record.take_status(status, now)
                yield from self._settle_open_order(record, status, now)
            case StatusMissed():
                record.lose()
            case StampObserved(boot_id=boot_id, version=version):
                if record.take_stamp(boot_id, version, now):
                    detail = f"acknowledged, but its tokens are of version {version}"
                    yield from self._fail(record, detail, now)
            case OrderSucceeded(fence=fence, status=status):
                yield from self._succeed(record, fence, status, now)
            case OrderFailed():
                yield from self._take_failure(record, event, now)

    def _take_failure(
        self, record: EngineRecord, event: OrderFailed, now: float
    ) -> Iterator[RolloutDecision]:
        if record.open_order is None or record.open_order.fence != event.fence:
            return
        if event.stale:
            # NOTE: the newer fence is not one of this planner's, so another node owns the
            # rollout and this one's lease has lapsed unnoticed.
            self._refused_fence = self._lease_fence
            self._take_ownership(None, now)
            return
        yield from self._fail(record, event.reason, now)
        if event.uncertain:
            record.uncertain_until = record.retry_at

    def _take_engines(self, engines: tuple[BackendId, ...]) -> None:
        self._engines = {
            engine: self._engines.get(engine) or EngineRecord(engine) for engine in engines
        }

    def _take_ownership(self, fence: Fence | None, now: float) -> None:
        if fence == self._lease_fence:
            return
        if fence is not None and fence == self._refused_fence:
            return
        self._lease_fence = fence
        self._owner_since = now
        for record in self._engines.values():
            record.lose()
        if fence is not None and fence != self._numbered_fence:
            self._begin_numbering(fence)

    def _begin_numbering(self, fence: Fence) -> None:
        """Forget the orders under an earlier fence.

        NOTE: a lease whose validity was in doubt for a while comes back with the same fence.
        Its orders are still open then, and its numbers go on: an engine refuses an order
        with a number that it has seen.
        """
        self._numbered_fence = fence
        self._sequence = 0
        self._target = None
        for record in self._engines.values():
            record.open_order = None

    def _settle_open_order(
        self, record: EngineRecord, status: EngineStatus, now: float
    ) -> Iterator[RolloutDecision]:
        """End an order whose answer is missing by what the engine reports."""
        order = record.open_order
        if order is None:
            return
        if status.highest_fence == order.fence and record.version == order.version:
            yield from self._succeed(record, order.fence, status, now)
        elif status.highest_fence < order.fence and now - order.given_at > ARRIVAL_LIMIT_SECONDS:
            yield from self._fail(record, "the order did not arrive", now)

    def _succeed(
        self, record: EngineRecord, fence: Fence, status: EngineStatus, now: float
    ) -> Iterator[RolloutDecision]:
        if record.open_order is None or record.open_order.fence != fence:
            return
        ordered = record.open_order.version
        record.take_success(status, now)
        if record.version != ordered:
            yield from self._fail(record, f"acknowledged, but reports {record.version}", now)
            return
        record.failures = 0
        record.set_aside = False

    def _fail(self, record: EngineRecord, reason: str, now: float) -> Iterator[RolloutDecision]:
        record.open_order = None
        record.failures += 1
        record.last_failure = reason
        if record.failures < FAILURES_BEFORE_SET_ASIDE:
            record.retry_at = now + FIRST_RETRY_SECONDS * 2 ** (record.failures - 1)
            return
        record.set_aside = True
        record.retry_at = now + SET_ASIDE_SECONDS
        yield SetAside(
            engine=record.engine,
            until_seconds=record.retry_at,
            detail=f"{record.failures} orders in a row failed, the last one: {reason}",
        )

    def _move_target(self, now: float) -> Iterator[RolloutDecision]:
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

    def _expire_orders(self, now: float) -> Iterator[RolloutDecision]:
        for record in self._engines.values():
            order = record.open_order
            if order is not None and now - order.given_at > ORDER_LIMIT_SECONDS:
                yield from self._fail(record, "no outcome in time", now)

    def _plan_orders(self, now: float) -> Iterator[RolloutDecision]:
        if self._target is None or not self._knows_engines(now):
            return
        for record in self._engines.values():
            if record.open_order is not None and record.open_order.version != self._target:
                yield self._order(record, OrderReason.SUPERSEDES, now)
        free = self._free_slots(now)
        if free <= 0:
            return
        spare = self._spare_by_version(now)
        waiting = engines_to_order(
            self._engines.values(), self._target, self._withdrawals, self._lease_fence, now
        )
        for record in waiting:
            if free <= 0:
                return
            assert record.version is not None
            if spare.get(record.version, 1) <= 0:
                continue
            if record.version in spare:
                spare[record.version] -= 1
            free -= 1
            yield self._order(record, order_reason(record, self._target, done=self._done), now)

    def _knows_engines(self, now: float) -> bool:
        """Tell whether the engines' reports are in, so that a new owner can plan."""
        if now - self._owner_since >= TAKEOVER_SECONDS:
            return True
        return all(record.has_reported() for record in self._engines.values())

    def _free_slots(self, now: float) -> int:
        """Return how many more engines may be taken out of service."""
        busy = len(self.busy_engines())
        serving = sum(1 for record in self._engines.values() if record.is_serving(now))
        by_capacity = serving - self._serving_floor()
        return min(by_capacity, self._policy.max_concurrent_loads - busy)

    def _serving_floor(self) -> int:
        return serving_floor(len(self._engines), self._policy.min_serving_share)

    def _spare_by_version(self, now: float) -> dict[WeightVersion, int]:
        assert self._target is not None
        oldest = WeightVersion(self._target - self._policy.max_staleness_versions)
        useful = [
            need
            for need in self._needs
            if oldest <= need.version != self._target
            and not is_withdrawn(need.version, self._withdrawals)
        ]
        return spare_by_version(self._engines.values(), useful, now)

    def _order(self, record: EngineRecord, reason: OrderReason, now: float) -> LoadEngine:
        assert self._target is not None
        assert self._lease_fence is not None
        fence = self._next_fence(self._lease_fence)
        record.open_order = OpenOrder(self._target, fence, now)
        failed = f"; last failure: {record.last_failure}" if record.failures else ""
        return LoadEngine(
            engine=record.engine,
            version=self._target,
            fence=fence,
            reason=reason,
            detail=(
                f"{reason.value}: from version {record.version} to {self._target}, "
                f"{len(self.busy_engines())} of {len(self._engines)} engines loading{failed}"
            ),
        )

    def _next_fence(self, owner_fence: Fence) -> Fence:
        self._sequence += 1
        return order_fence(owner_fence, self._sequence)

    def _finish(self, now: float) -> Iterator[RolloutDecision]:
        if self._done or self._target is None or not self._engines:
            return
        counted = [record for record in self._engines.values() if not record.set_aside]
        if any(record.version != self._target or not record.is_serving(now) for record in counted):
            return
        self._done = True
        aside = len(self._engines) - len(counted)
        yield RolloutDone(
            version=self._target,
            seconds=now - self._started_at,
            detail=f"{len(counted)} engines serve version {self._target}, {aside} set aside",
        )
