"""Executes the reward requests of one batch job."""

import asyncio
from collections.abc import Callable

from drumbay.batches.decisions import ScoreText
from drumbay.batches.item_failures import ItemFailures
from drumbay.batches.records import BatchId, ItemId, ItemResult
from drumbay.batches.reward_scorer import RewardScorer, RewardUnavailableError
from drumbay.batches.scheduler import BatchScheduler
from drumbay.clock import Clock
from drumbay.forwarding.records import RewardOrder
from drumbay.observability.logs import log_event
from drumbay.placement.regions import AllowedRegions
from drumbay.tasks import TaskOwner


class ItemScoring:
    """Sends reward requests and reports their outcomes to the scheduler."""

    def __init__(
        self,
        clock: Clock,
        scorer: RewardScorer,
        scheduler: BatchScheduler,
        task_owner: TaskOwner,
        batch_id: BatchId,
        order: RewardOrder,
        allowed_regions: Callable[[], AllowedRegions],
        record_failures: Callable[[ItemId, ItemFailures], None],
        on_result: Callable[[ItemResult], None],
        on_change: Callable[[], None],
    ) -> None:
        """Create an instance without requests.

        Args:
            clock: Time.
            scorer: Sends reward requests.
            scheduler: Receives scores and failures.
            task_owner: Runs the requests.
            batch_id: The batch job.
            order: Priority of the batch job's reward requests; earlier submissions go first.
            allowed_regions: Returns the regions in which the batch job may run now.
            record_failures: Called with the failures that workers reported.
            on_result: Called with the result of an item that is finished or given up.
            on_change: Called when the scheduler should plan again.
        """
        self._clock = clock
        self._scorer = scorer
        self._scheduler = scheduler
        self._task_owner = task_owner
        self._batch_id = batch_id
        self._record_failures = record_failures
        self._on_result = on_result
        self._on_change = on_change
        self._order = order
        self._allowed_regions = allowed_regions
        self._tasks: dict[ItemId, asyncio.Task[None]] = {}

    def start(self, decision: ScoreText) -> None:
        """Send the reward request of an item."""
        log_event(
            "reward_requested",
            batch=self._batch_id,
            item=decision.item_id,
            request=decision.request.request_id,
        )
        task = self._task_owner.spawn(self._score(decision), "item-reward")
        self._tasks[decision.item_id] = task

    def stop(self, item_id: ItemId) -> None:
        """Cancel the request of an item, if one is in flight."""
        task = self._tasks.pop(item_id, None)
        if task is not None:
            task.cancel()

    def stop_all(self) -> None:
        """Cancel every request."""
        for item_id in list(self._tasks):
            self.stop(item_id)

    async def _score(self, decision: ScoreText) -> None:
        item_id = decision.item_id
        try:
            reward = await self._scorer.score(decision.request, self._order, self._allowed_regions)
        except RewardUnavailableError as error:
            result = self._handle_failure(decision, error)
        else:
            result = self._scheduler.handle_reward(item_id, reward)
        self._tasks.pop(item_id, None)
        if result is not None:
            self._on_result(result)
        self._on_change()

    def _handle_failure(
        self, decision: ScoreText, error: RewardUnavailableError
    ) -> ItemResult | None:
        if error.worker_failures:
            self._record_failures(decision.item_id, ItemFailures(rewards=error.worker_failures))
        result = self._scheduler.handle_reward_failure(
            decision.item_id,
            error.worker_failures,
            error.attempts,
            self._clock.monotonic(),
            error.retry_after_seconds,
        )
        log_event(
            "item_not_scored",
            level="WARNING",
            batch=self._batch_id,
            item=decision.item_id,
            request=decision.request.request_id,
            reason=error.reason,
            worker_failures=error.worker_failures,
            given_up=result is not None,
        )
        return result
