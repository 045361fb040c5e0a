"""The ownership manager of one node: campaigns, renews the lease and reports changes."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import suppress

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Fence, NodeId
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import KeyValueError, KeyValueStore
from drumbay.observability.logs import log_event
from drumbay.ownership.campaign import CampaignOutcome, OwnershipKeys
from drumbay.ownership.lease_keeper import LeaseKeeper
from drumbay.ownership.lease_state import KeyAcquired, KeyRemoved, LeaseGone, LeaseState
from drumbay.ownership.placement import PlacementTable
from drumbay.ownership.records import (
    ChangeReason,
    OwnerRecord,
    OwnershipChange,
    OwnershipParameters,
    Standing,
)
from drumbay.ownership.view import OwnershipView
from drumbay.ownership.watcher import OwnershipWatcher, WatchPriority
from drumbay.tasks import TaskOwner

ChangeListener = Callable[[OwnershipChange], None]


class OwnershipManager:
    """Owns this node's share of the named resources under one lease."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        node_id: NodeId,
        task_owner: TaskOwner,
        generator: random.Random,
        *,
        live_members: Callable[[], Sequence[NodeId]],
        parameters: OwnershipParameters | None = None,
        lease_state: LeaseState | None = None,
    ) -> None:
        """Create a manager without resources to campaign for.

        Args:
            clock: Time source.
            store: The key-value store.
            node_id: This node.
            task_owner: Runs the manager's tasks.
            generator: Source of randomness for jitter.
            live_members: Returns the live nodes, including this one, in a stable order: a
                change of the order causes all ranks to be recomputed.
            parameters: Timing.
            lease_state: State of the lease; replaced in tests.
        """
        self._parameters = parameters or OwnershipParameters()
        self._clock = clock
        self._store = store
        self._task_owner = task_owner
        self._live_members = live_members
        self._keys = OwnershipKeys(store, node_id)
        self._placement = PlacementTable(node_id, self._parameters)
        self._state = lease_state or LeaseState(self._parameters)
        self._campaigned_names: dict[str, None] = {}
        self._listeners: dict[ChangeListener, None] = {}
        self._campaign_backoff = Backoff(
            generator,
            first_seconds=self._parameters.initial_retry_seconds,
            max_seconds=self._parameters.max_retry_seconds,
        )
        self._campaign_wakeup = asyncio.Event()
        self._lease_keeper = LeaseKeeper(
            clock,
            store,
            self._state,
            generator,
            self._parameters,
            on_change=self._notify_listeners,
            on_lease_confirmed=self._campaign_wakeup.set,
        )
        self._view = OwnershipView()
        self._watcher = OwnershipWatcher(
            clock,
            store,
            self._view,
            generator,
            self._parameters,
            watch_priority=self._watch_priority,
            on_owner=self._handle_owner,
            on_removal=self._handle_removal,
            on_loaded=self._campaign_wakeup.set,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to campaign and to renew the lease."""
        self._tasks = [
            self._task_owner.spawn(self._lease_keeper.run(), "ownership-lease"),
            self._task_owner.spawn(self._run_campaigns(), "ownership-campaigns"),
            self._task_owner.spawn(self._watcher.run(), "ownership-watch"),
            self._task_owner.spawn(self._watcher.run_resync(), "ownership-resync"),
        ]

    async def stop(self) -> None:
        """Give up all resources and the lease, so that successors need not wait."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        self._campaigned_names.clear()
        lease_id = self._state.lease_id
        for name, fence in self._state.owned_fences.items():
            self._lease_keeper.handle(
                KeyRemoved(name=name, fence=fence, reason=ChangeReason.RESIGNED)
            )
        if lease_id is None:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except KeyValueError as error:
            log_event("ownership_revoke_failed", level="WARNING", error=error.code)

    def campaign(self, name: str) -> None:
        """Start to campaign for the ownership of a resource."""
        self._campaigned_names[name] = None

    async def withdraw(self, name: str) -> None:
        """Stop campaigning for a resource, and give it up if it is owned."""
        self._campaigned_names.pop(name, None)
        fence = self._state.fence(name)
        if fence is not None:
            await self._resign(name, fence)

    async def report_stale_fence(self, name: str, fence: Fence) -> None:
        """Stop owning a resource because a receiver has seen a newer fence than ``fence``.

        A node that is partitioned from the key-value store learns of its successor this way.
        """
        if self._state.fence(name) == fence:
            await self._resign(name, fence, ChangeReason.SUPERSEDED)

    def add_listener(self, listener: ChangeListener) -> None:
        """Call ``listener``, which must not raise, with each change of this node's standing."""
        self._listeners[listener] = None

    def remove_listener(self, listener: ChangeListener) -> None:
        """Stop calling ``listener``."""
        self._listeners.pop(listener, None)

    async def changes(self) -> AsyncIterator[OwnershipChange]:
        """Yield the changes of this node's standing, starting with the first ``anext()``."""
        queue: asyncio.Queue[OwnershipChange] = asyncio.Queue()
        self.add_listener(queue.put_nowait)
        try:
            while True:
                yield await queue.get()
        finally:
            self.remove_listener(queue.put_nowait)

    def valid_fence(self, name: str, now: float) -> Fence | None:
        """Return the fence if this node certainly owns a resource and may start new work for it."""
        if self._state.standing(name, now) is Standing.VALID:
            return self._state.fence(name)
        return None

    def fence_to_continue(self, name: str, now: float) -> Fence | None:
        """Return the fence for work whose receivers all check the fence.

        Unlike :meth:`valid_fence`, it also returns the fence while the key-value store cannot be
        reached.
        """
        if self._state.standing(name, now) in (Standing.VALID, Standing.UNCONFIRMED):
            return self._state.fence(name)
        return None

    def standing(self, name: str, now: float) -> Standing:
        """Return the standing of this node for a resource."""
        return self._state.standing(name, now)

    def ranked_candidates(self, name: str) -> tuple[NodeId, ...]:
        """Return the candidates of a resource, best first, computed without a request."""
        self._placement.set_members(self._live_members())
        return self._placement.candidates(name)

    async def find_owner(self, name: str) -> OwnerRecord | None:
        """Read the owner of a resource from the key-value store.

        Raises:
            KeyValueError: The read failed.
        """
        return await self._keys.read(name)

    async def _run_campaigns(self) -> None:
        while True:
            self._campaign_wakeup.clear()
            try:
                await self._campaign_for_all()
                delay_seconds = self._parameters.check_interval_seconds
            except KeyValueError as error:
                log_event("ownership_campaign_failed", level="WARNING", error=error.code)
                await self._clock.sleep(self._campaign_backoff.next_delay_seconds())
                continue
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._campaign_wakeup.wait(), delay_seconds)

    async def _campaign_for_all(self) -> None:
        self._placement.set_members(self._live_members())
        now = self._clock.monotonic()
        due = [name for name in self._campaigned_names if self._is_campaign_due(name, now)]
        self._lease_keeper.want_lease(bool(due))
        for name in due:
            await self._campaign_once(name)

    def _is_campaign_due(self, name: str, now: float) -> bool:
        absent_seconds = self._view.absent_seconds(name, now)
        if absent_seconds is None:
            return False
        delay_seconds = self._placement.campaign_delay_seconds(name)
        return delay_seconds is not None and absent_seconds >= delay_seconds

    async def _campaign_once(self, name: str) -> None:
        lease_id = self._state.lease_id
        now = self._clock.monotonic()
        if lease_id is None or self._state.lease_standing(now) is not Standing.VALID:
            return
        result = await self._keys.create(name, lease_id)
        self._campaign_backoff.reset()
        if result.outcome is CampaignOutcome.LEASE_LOST:
            self._lease_keeper.handle(LeaseGone(lease_id=lease_id))
        if result.owner is not None and self._view.record_owner(result.owner):
            self._handle_owner(result.owner)

    def _watch_priority(self) -> WatchPriority:
        self._placement.set_members(self._live_members())
        if self._state.owned_fences:
            return WatchPriority.FIRST
        ranks = [self._placement.own_rank(name) for name in self._campaigned_names]
        if 0 in ranks:
            return WatchPriority.FIRST
        return WatchPriority.NONE if all(rank is None for rank in ranks) else WatchPriority.STANDBY

    def _handle_owner(self, owner: OwnerRecord) -> None:
        """Process an existing key: every key bound to this node's lease is its own."""
        if owner.lease_id != self._state.lease_id:
            return
        if owner.name in self._campaigned_names:
            acquired = KeyAcquired(name=owner.name, fence=owner.fence, lease_id=owner.lease_id)
            self._lease_keeper.handle(acquired)
            return
        # The request of a campaign was processed after the node withdrew.
        self._task_owner.spawn(self._resign(owner.name, owner.fence), "ownership-resign")

    def _handle_removal(self, owner: OwnerRecord) -> None:
        removal = KeyRemoved(name=owner.name, fence=owner.fence, reason=ChangeReason.KEY_REMOVED)
        self._lease_keeper.handle(removal)
        self._campaign_wakeup.set()

    async def _resign(
        self, name: str, fence: Fence, reason: ChangeReason = ChangeReason.RESIGNED
    ) -> None:
        """Stop acting as the owner, then remove the key."""
        self._lease_keeper.handle(KeyRemoved(name=name, fence=fence, reason=reason))
        try:
            await self._keys.remove(name, fence)
        except KeyValueError as error:
            log_event("ownership_resign_failed", level="WARNING", resource=name, error=error.code)

    def _notify_listeners(self, change: OwnershipChange) -> None:
        for listener in list(self._listeners):
            listener(change)
