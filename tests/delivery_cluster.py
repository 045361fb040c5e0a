"""Replicas, owners and a recording trainer on an in-memory network."""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import TypeVar

import msgspec

from drumbay.backends.interface import FinishReason
from drumbay.comm.interface import (
    Address,
    CallHandler,
    DatagramHandler,
    Message,
    PeerUnreachableError,
    RemoteFailureError,
    ReplyLostError,
)
from drumbay.delivery.batch import Batch
from drumbay.delivery.exceptions import StaleBatchError
from drumbay.delivery.messages import StreamAcceptRequest
from drumbay.delivery.quorum import ReplicaView
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.replicated_log import ReplicatedLog
from drumbay.delivery.service import DeliveryService
from drumbay.exceptions import DrumbayError
from drumbay.identifiers import (
    AttemptId,
    BootId,
    Cursor,
    Epoch,
    Fence,
    StreamName,
    WeightVersion,
)
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey, TokenSpan
from drumbay.storage.interface import StoreId
from drumbay.storage.simulated_log import SimulatedDisk, SimulatedLog
from drumbay.tasks import TaskOwner

STREAM = StreamName("trainer-a")
ResultT = TypeVar("ResultT")


class StepClock:
    """Virtual clock that a sleep advances immediately."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        return await awaitable


class MemoryNetwork:
    """Handlers by address, with configurable message loss.

    Addresses in ``unreachable`` receive nothing, the replies of those in ``reply_losing`` are lost,
    and those in ``entry_losing`` receive no log entry after the first.
    """

    def __init__(self) -> None:
        self.handlers: dict[tuple[Address, type[Message]], CallHandler] = {}
        self.unreachable: list[Address] = []
        self.reply_losing: list[Address] = []
        self.entry_losing: list[Address] = []


class MemoryTransport:
    def __init__(self, network: MemoryNetwork, address: Address) -> None:
        self._network = network
        self.address = address

    def handle_calls(self, request_type: type[Message], handler: CallHandler) -> None:
        self._network.handlers[self.address, request_type] = handler

    def handle_datagrams(self, message_type: type[Message], handler: DatagramHandler) -> None:
        raise NotImplementedError

    def send_datagram(self, peer: Address, message: Message) -> None:
        raise NotImplementedError

    async def call(self, peer: Address, request: Message, *, timeout_seconds: float) -> Message:
        await asyncio.sleep(0)
        is_batch = isinstance(request, StreamAcceptRequest) and request.position > 0
        if peer in self._network.unreachable or (is_batch and peer in self._network.entry_losing):
            raise PeerUnreachableError(str(peer))
        try:
            reply = await self._network.handlers[peer, type(request)](request)
        except DrumbayError as error:
            raise RemoteFailureError(error.code, str(error)) from error
        await asyncio.sleep(0)
        if peer in self._network.reply_losing:
            raise ReplyLostError(str(peer))
        return reply


class Cluster:
    """Three replicas; owners are created by ``owner`` and share no memory."""

    def __init__(self, replica_type: type[DeliveryReplica] = DeliveryReplica) -> None:
        self.clock = StepClock()
        self.network = MemoryNetwork()
        self.tasks = TaskOwner()
        self.disks = [SimulatedDisk() for _ in range(3)]
        self.members = tuple(Address("127.0.0.1", port) for port in (1, 2, 3))
        self.replica_type = replica_type
        self.epoch = Epoch(1)
        self.replicas = [self.start_replica(index) for index in range(3)]

    def start_replica(self, index: int) -> DeliveryReplica:
        log = SimulatedLog(
            self.disks[index],
            "delivery",
            clock=self.clock,
            new_store_id=StoreId(str(index)),
            commit_seconds=0.001,
        )
        transport = MemoryTransport(self.network, self.members[index])
        replica = self.replica_type(transport, log, lambda: self.epoch)
        replica.start()
        return replica

    def replace_replica(self, index: int) -> None:
        """Replace a member by an empty replica in a new replica set epoch."""
        self.disks[index] = SimulatedDisk()
        self.replicas[index] = self.start_replica(index)
        self.epoch = Epoch(self.epoch + 1)

    def owner(
        self,
        boot: str,
        service_type: type[DeliveryService] = DeliveryService,
        log_type: type[ReplicatedLog] = ReplicatedLog,
    ) -> DeliveryService:
        return service_type(
            MemoryTransport(self.network, Address("127.0.0.1", 99)),
            self.clock,
            self.tasks,
            BootId(boot),
            lambda: ReplicaView(epoch=self.epoch, members=self.members),
            log_type=log_type,
        )

    async def owner_with_step(
        self,
        boot: str,
        fence: int,
        service_type: type[DeliveryService] = DeliveryService,
        log_type: type[ReplicatedLog] = ReplicatedLog,
    ) -> DeliveryService:
        owner = self.owner(boot, service_type, log_type)
        await owner.take_over(STREAM, Fence(fence))
        await owner.submit_step(STREAM, 0, prompts(4))
        return owner


def prompts(count: int) -> list[RolloutPrompt]:
    return [RolloutPrompt(text=f"p{i}", group=f"g{i}", max_tokens=8) for i in range(count)]


def finished(key: SampleKey, version: int, author: str) -> Sample:
    """Return a finished sample whose text is the name of its author."""
    span = TokenSpan(
        weight_version=WeightVersion(version),
        boot_id=BootId("engine"),
        attempt_id=AttemptId(f"{author}-{key.step}-{key.index}-{key.reroll}"),
        first_index=0,
        token_count=2,
    )
    return Sample(
        key=key,
        prompt=RolloutPrompt(text=f"p{key.index}", group=f"g{key.index}", max_tokens=8),
        token_ids=(1, 2),
        text=author,
        spans=(span,),
        finish_reason=FinishReason.STOP,
    )


def finish_missing(owner: DeliveryService, version: int, author: str) -> None:
    for outstanding in owner.missing(STREAM):
        owner.add_sample(STREAM, finished(outstanding.key, version, author))


class Consumption(msgspec.Struct, frozen=True, kw_only=True):
    """One result of a pull: a batch, or ``None`` for a rejected cursor."""

    cursor: int
    accepted: int
    batch: Batch | None


class RecordingTrainer:
    """Pulls batches and records every result."""

    def __init__(self) -> None:
        self.log: list[Consumption] = []

    async def pull(
        self, owner: DeliveryService, cursor: int, accepted: int, max_samples: int = 2
    ) -> Batch | None:
        batch: Batch | None = None
        try:
            batch = await owner.pull(STREAM, Cursor(cursor), max_samples, WeightVersion(accepted))
        except StaleBatchError:
            batch = None
        self.log.append(Consumption(cursor=cursor, accepted=accepted, batch=batch))
        return batch

    def violations(self) -> list[str]:
        return find_violations(self.log)


def find_violations(log: Sequence[Consumption]) -> list[str]:
    """Return the violations in a trainer's log, independently of drumbay's state."""
    found: list[str] = []
    contents: dict[int, bytes] = {}
    refused: list[int] = []
    cursors_of: dict[SampleKey, int] = {}
    for entry in log:
        if entry.batch is None:
            refused.append(entry.cursor)
            continue
        if entry.cursor in refused:
            found.append("refused batch handed out")
        encoded = msgspec.msgpack.encode(entry.batch)
        if contents.setdefault(entry.cursor, encoded) != encoded:
            found.append("cursor changed its bytes")
        for sample in entry.batch.samples:
            if cursors_of.setdefault(sample.key, entry.cursor) != entry.cursor:
                found.append("sample delivered twice")
            if any(span.weight_version < entry.accepted for span in sample.spans):
                found.append("tokens older than accepted")
    return found
