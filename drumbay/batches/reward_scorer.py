"""Sends the reward requests of items to scoring services.

A reward request is forwarded like a client request, by the route in effect when it is sent.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from enum import StrEnum

import msgspec

from drumbay.batches.records import Reward, RewardRequest
from drumbay.batches.scoring_slots import ScoringSlots, Ticket, slot_limit
from drumbay.clock import Clock
from drumbay.exceptions import UnavailableError
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import ClientRequest, ForwardingError, RewardOrder
from drumbay.forwarding.routes import RequestKind, Route, RouteTable
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.directory import WorkerDirectory

REWARD_TIMEOUT_SECONDS = 2.0
"""Time after which a reward request is sent again."""

ADMIT_INTERVAL_SECONDS = 0.1
"""Interval at which waiting requests check for free slots."""


class RewardFailure(StrEnum):
    """Why a reward request returned no score."""

    NO_ROUTE = "no_route"
    NOT_SERVED = "not_served"
    REJECTED = "rejected"
    TOO_LATE = "too_late"
    """The time of its batch job has passed."""


class RewardUnavailableError(UnavailableError):
    """A reward request returned no score.

    Attributes:
        reason: Why.
        worker_failures: How many workers executed the request and failed.
        attempts: How many attempts the route allows; 0 if there is no route.
        retry_after_seconds: Minimum delay before the request can be sent again.
    """

    code = "reward_not_given"

    def __init__(
        self,
        reason: RewardFailure,
        worker_failures: int,
        attempts: int,
        retry_after_seconds: float = 0.0,
    ) -> None:
        """Store the details of the failure."""
        super().__init__(reason)
        self.reason = reason
        self.worker_failures = worker_failures
        self.attempts = attempts
        self.retry_after_seconds = retry_after_seconds


class RewardScorer:
    """Scores the texts of all batch jobs of a node."""

    def __init__(
        self,
        clock: Clock,
        forwarder: Forwarder,
        routes: RouteTable,
        directory: WorkerDirectory,
        placement: PlacementGate,
        metrics: ServingMetrics,
    ) -> None:
        """Create a scorer.

        Args:
            clock: Time.
            forwarder: Sends the requests.
            routes: The current configuration.
            directory: The workers, whose slots limit the concurrent requests.
            placement: Decides which of them are in service.
            metrics: Counts the requests.
        """
        self._clock = clock
        self._forwarder = forwarder
        self._routes = routes
        self._directory = directory
        self._placement = placement
        self._metrics = metrics
        self._queues: dict[str, _ScoringQueue] = {}

    async def score(
        self,
        request: RewardRequest,
        order: RewardOrder,
        allowed_regions: Callable[[], AllowedRegions],
    ) -> Reward:
        """Return the score of a complete text.

        Args:
            request: The reward request.
            order: Determines which reward requests go first, and when workers stop.
            allowed_regions: Returns the regions in which the batch job may run now; the route
                of the reward request may restrict it further.

        Raises:
            RewardUnavailableError: No score was obtained.
        """
        requested_at = self._clock.monotonic()
        outcome = "cancelled"
        try:
            route = self._route(request)
            async with self._queue(route).slot(order.batch_started_at):
                reward = await self._send(request, order, allowed_regions)
            outcome = "scored"
            return reward
        except RewardUnavailableError as error:
            outcome = error.reason
            raise
        finally:
            self._metrics.count_reward(outcome, self._clock.monotonic() - requested_at)

    def _route(self, request: RewardRequest) -> Route:
        current = self._routes.current
        route = current.find(request.host, request.target) if current is not None else None
        if route is None:
            raise RewardUnavailableError(RewardFailure.NO_ROUTE, 0, 0)
        # Reward requests are idempotent, whatever the route declares for clients.
        return msgspec.structs.replace(route, kind=RequestKind.IDEMPOTENT)

    def _queue(self, route: Route) -> "_ScoringQueue":
        queue = self._queues.get(route.name)
        if queue is None:
            queue = self._queues[route.name] = _ScoringQueue(lambda: self._limit(route.name))
        return queue

    def _limit(self, route_name: str) -> int:
        """Return how many reward requests of a route may be in flight now."""
        current = self._routes.current
        routes = current.routes if current is not None else ()
        records = [
            record
            for route in routes
            if route.name == route_name
            for share in route.shares
            for record in self._directory.of_service(share.service)
        ]
        return slot_limit(self._placement.in_service(records), self._clock.monotonic())

    async def _send(
        self,
        request: RewardRequest,
        order: RewardOrder,
        allowed_regions: Callable[[], AllowedRegions],
    ) -> Reward:
        # The route may have changed while the request was queued.
        route = self._route(request)
        remaining = order.ends_at - self._clock.monotonic()
        if remaining <= 0:
            raise RewardUnavailableError(RewardFailure.TOO_LATE, 0, route.attempts)
        outgoing = ClientRequest(
            request_id=request.request_id,
            method="POST",
            target=request.target,
            host=request.host,
            headers=(),
            body=request.body,
            budget_seconds=min(REWARD_TIMEOUT_SECONDS, remaining),
            priority=route.priority,
            reward_order=order,
            allowed_regions=allowed_regions,
        )
        try:
            response = await self._forwarder.forward(route, outgoing)
        except ForwardingError as error:
            raise RewardUnavailableError(
                RewardFailure.NOT_SERVED,
                error.worker_failures,
                route.attempts,
                error.retry_after_seconds or 0.0,
            ) from error
        if not 200 <= response.status < 300:
            log_event("reward_rejected", request=request.request_id, status=response.status)
            raise RewardUnavailableError(RewardFailure.REJECTED, 0, route.attempts)
        return Reward(request_id=request.request_id, stamp=response.stamp)


class _ScoringQueue:
    """Limits the concurrent reward requests of one route."""

    def __init__(self, limit: Callable[[], int]) -> None:
        self._limit = limit
        self._slots = ScoringSlots()
        self._admitted: dict[Ticket, asyncio.Event] = {}

    @asynccontextmanager
    async def slot(self, batch_started_at: float) -> AsyncIterator[None]:
        """Wait for a slot and hold it until the context exits."""
        ticket = self._slots.enqueue(batch_started_at)
        admitted = self._admitted[ticket] = asyncio.Event()
        try:
            await self._wait_for_slot(admitted)
            yield
        finally:
            del self._admitted[ticket]
            if admitted.is_set():
                self._slots.release()
            else:
                self._slots.cancel(ticket)
            self._admit()

    async def _wait_for_slot(self, admitted: asyncio.Event) -> None:
        self._admit()
        while not admitted.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(ADMIT_INTERVAL_SECONDS):
                    await admitted.wait()
            self._admit()

    def _admit(self) -> None:
        for ticket in self._slots.admit(self._limit()):
            self._admitted[ticket].set()
