"""Repeats a message to the members of the replica set until each has recorded it.

Releases and answers are facts that no replica may refuse for its epoch; what matters is
that the members of the newest epoch learn them, also when the set changes meanwhile.
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

FIRST_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 5.0
MAX_ROUNDS = 10
MAX_REPEATED = 4096
"""Propagations under way at once; further ones are tried one time only."""

ReplicaSetView = Callable[[], ReplicaSet | None]
MakeRequest = Callable[[StoreId], ReleaseClaim | StoreAnswer]


class Propagation:
    """The progress of one message."""

    def __init__(self) -> None:
        """Create a message that nobody has recorded."""
        self.recorded: dict[StoreId, None] = {}
        self.majority: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def note_majority(self, replica_set: ReplicaSet) -> None:
        """Announce the majority once enough members of an active set have recorded."""
        count = sum(1 for each in replica_set.members if each.store_id in self.recorded)
        enough = replica_set.is_active and count >= replica_set.majority
        if enough and not self.majority.done():
            self.majority.set_result(None)

    def is_complete(self, replica_set: ReplicaSet) -> bool:
        """Return whether every member of an active set has recorded."""
        members = replica_set.members
        return replica_set.is_active and all(each.store_id in self.recorded for each in members)


class Propagator:
    """Sends releases and answers in the background."""

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
        """Create a propagator without messages."""
        self._clock = clock
        self._transport = transport
        self._random = random
        self._replica_set_view = replica_set_view
        self._task_owner = task_owner
        self._call_timeout_seconds = call_timeout_seconds
        self._under_way = 0

    def start(self, make_request: MakeRequest) -> Propagation:
        """Send a message to every member, again and again until each has recorded it."""
        propagation = Propagation()
        rounds = MAX_ROUNDS if self._under_way < MAX_REPEATED else 1
        self._task_owner.spawn(self._run(propagation, make_request, rounds), "claim-propagation")
        return propagation

    async def wait_for_majority(self, propagation: Propagation, timeout_seconds: float) -> bool:
        """Wait until a majority has recorded a message; return whether it has in time."""
        try:
            await self._clock.wait_for(asyncio.shield(propagation.majority), timeout_seconds)
        except DeadlineExceededError:
            return False
        return True

    async def _run(self, propagation: Propagation, make_request: MakeRequest, rounds: int) -> None:
        self._under_way += 1
        delay_seconds = FIRST_DELAY_SECONDS
        try:
            for _ in range(rounds):
                if await self._run_round(propagation, make_request):
                    return
                await self._clock.sleep(delay_seconds * self._random.uniform(0.5, 1.5))
                delay_seconds = min(2 * delay_seconds, MAX_DELAY_SECONDS)
        finally:
            self._under_way -= 1

    async def _run_round(self, propagation: Propagation, make_request: MakeRequest) -> bool:
        """Send to every member that has not recorded; return whether none is left."""
        replica_set = self._replica_set_view()
        if replica_set is None:
            return False
        members = replica_set.members + replica_set.target
        waiting = [each for each in members if each.store_id not in propagation.recorded]
        sends = [self._send(propagation, member, replica_set, make_request) for member in waiting]
        await asyncio.gather(*sends)
        return propagation.is_complete(replica_set)

    async def _send(
        self,
        propagation: Propagation,
        member: ReplicaMember,
        replica_set: ReplicaSet,
        make_request: MakeRequest,
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
        # A sealed replica may have handed its records on before this change.
        if reply.active_epoch == replica_set.epoch and not reply.sealed:
            propagation.recorded[member.store_id] = None
            propagation.note_majority(replica_set)
