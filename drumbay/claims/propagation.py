"""Sends releases and answers to the members of the replica set until each has recorded them.

Replicas accept them in any epoch. They must reach the members of the newest epoch, even if the
set changes in between.
"""

import asyncio
from collections.abc import Callable
from random import Random

from drumbay.claims.messages import ChangeRecorded, ReleaseClaim, StoreAnswer
from drumbay.claims.replica_set import ReplicaMember, ReplicaSet
from drumbay.clock import Clock
from drumbay.comm.interface import Transport, TransportError
from drumbay.exceptions import DeadlineExceededError
from drumbay.storage.interface import StoreId
from drumbay.tasks import TaskOwner

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
MAX_SEND_ROUNDS = 10
MAX_RETRIED_PROPAGATIONS = 4096
"""Maximum number of propagations retried at the same time; further ones are sent only once."""

ReplicaSetView = Callable[[], ReplicaSet | None]
RequestFactory = Callable[[StoreId], ReleaseClaim | StoreAnswer]


class Propagation:
    """Tracks which replicas have recorded one message."""

    def __init__(self) -> None:
        """Create the state of a message that no replica has recorded."""
        self.recorded: dict[StoreId, None] = {}
        self.majority: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def check_majority(self, replica_set: ReplicaSet) -> None:
        """Resolve the future once a majority of an active set has recorded the message."""
        count = sum(1 for each in replica_set.members if each.store_id in self.recorded)
        has_majority = replica_set.is_active and count >= replica_set.majority
        if has_majority and not self.majority.done():
            self.majority.set_result(None)

    def is_complete(self, replica_set: ReplicaSet) -> bool:
        """Return whether every member of an active set has recorded the message."""
        members = replica_set.members
        return replica_set.is_active and all(each.store_id in self.recorded for each in members)


class Propagator:
    """Sends releases and answers in background tasks."""

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        random: Random,
        replica_set_view: ReplicaSetView,
        task_owner: TaskOwner,
        call_timeout_seconds: float,
    ) -> None:
        """Create a propagator without active messages."""
        self._clock = clock
        self._transport = transport
        self._random = random
        self._replica_set_view = replica_set_view
        self._task_owner = task_owner
        self._call_timeout_seconds = call_timeout_seconds
        self._active_count = 0

    def start(self, make_request: RequestFactory) -> Propagation:
        """Send a message to every member, with retries until each has recorded it."""
        propagation = Propagation()
        rounds = MAX_SEND_ROUNDS if self._active_count < MAX_RETRIED_PROPAGATIONS else 1
        self._task_owner.spawn(self._run(propagation, make_request, rounds), "claim-propagation")
        return propagation

    async def wait_for_majority(self, propagation: Propagation, timeout_seconds: float) -> bool:
        """Wait until a majority has recorded a message; return whether it has in time."""
        try:
            await self._clock.wait_for(asyncio.shield(propagation.majority), timeout_seconds)
        except DeadlineExceededError:
            return False
        return True

    async def _run(
        self, propagation: Propagation, make_request: RequestFactory, rounds: int
    ) -> None:
        self._active_count += 1
        delay_seconds = INITIAL_BACKOFF_SECONDS
        try:
            for _ in range(rounds):
                if await self._run_round(propagation, make_request):
                    return
                await self._clock.sleep(delay_seconds * self._random.uniform(0.5, 1.5))
                delay_seconds = min(2 * delay_seconds, MAX_BACKOFF_SECONDS)
        finally:
            self._active_count -= 1

    async def _run_round(self, propagation: Propagation, make_request: RequestFactory) -> bool:
        """Send to the members that have not recorded the message; return whether all have."""
        replica_set = self._replica_set_view()
        if replica_set is None:
            return False
        members = replica_set.members + replica_set.target
        pending = [each for each in members if each.store_id not in propagation.recorded]
        sends = [self._send(propagation, member, replica_set, make_request) for member in pending]
        await asyncio.gather(*sends)
        return propagation.is_complete(replica_set)

    async def _send(
        self,
        propagation: Propagation,
        member: ReplicaMember,
        replica_set: ReplicaSet,
        make_request: RequestFactory,
    ) -> None:
        try:
            reply = await self._transport.call(
                member.address,
                make_request(member.store_id),
                timeout_seconds=self._call_timeout_seconds,
            )
        except TransportError:
            return
        if not isinstance(reply, ChangeRecorded):
            return
        # A sealed replica may have exported its records before this change.
        if reply.active_epoch == replica_set.epoch and not reply.sealed:
            propagation.recorded[member.store_id] = None
            propagation.check_majority(replica_set)
