"""Measures claims over real loopback connections, all in one process and one thread."""

import random
import statistics
import time
from pathlib import Path

import msgspec

from drumbay.bench.claims_store import (
    ANSWER,
    EPOCH,
    NO_LIMITS,
    REQUEST_DIGEST,
    BenchmarkFailedError,
    activate,
    fill,
    make_key,
    open_log,
    run_concurrently,
)
from drumbay.claims.outcomes import ClaimAnswered
from drumbay.claims.reconfigurator import Reconfigurator, ReplicaCandidate
from drumbay.claims.records import StoredAnswer
from drumbay.claims.replacement import ReplacementPolicy
from drumbay.claims.replica import ClaimReplica
from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaMember,
    ReplicaSet,
    ReplicaSetPhase,
    encode_replica_set,
)
from drumbay.claims.replica_set_watcher import ReplicaSetWatcher
from drumbay.claims.service import ClaimService
from drumbay.clock import Clock, SystemClock
from drumbay.comm.interface import Address
from drumbay.comm.tornado_transport import TornadoTransport
from drumbay.identifiers import AttemptId, BootId, NodeId
from drumbay.kv.interface import Delete, ModRevisionIs, Put, TransactionResult
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.standins.kv_model import KeyValueModel
from drumbay.storage.interface import StoreId
from drumbay.tasks import TaskOwner

REPLICAS = 3
CLUSTER_KEY = bytes(range(32))
TAIL_QUANTILE = 0.99


class RequestRate(msgspec.Struct, frozen=True, kw_only=True):
    """Whole requests at one concurrency, against the same dispatch without a claim.

    Attributes:
        concurrency: Requests in flight.
        requests_per_second: Requests claimed, dispatched and stored.
        median_milliseconds: Time of one request.
        tail_milliseconds: 99th percentile of it.
        unclaimed_median_milliseconds: Time of one dispatch without a claim.
    """

    concurrency: int
    requests_per_second: float
    median_milliseconds: float
    tail_milliseconds: float
    unclaimed_median_milliseconds: float


class ChangeTime(msgspec.Struct, frozen=True, kw_only=True):
    """Replacing one of three members whose store was lost.

    Attributes:
        records: Answered keys held by each member.
        total_seconds: Time of the whole change, the early copy included.
        sealed_seconds: Time during which no claim could be granted.
    """

    records: int
    total_seconds: float
    sealed_seconds: float


class ClaimCluster:
    """Replicas joined by loopback connections.

    Attributes:
        replicas: The replicas by name.
        members: The same as members of a replica set.
    """

    def __init__(self, folder: Path) -> None:
        """Create a cluster that keeps its stores in ``folder``."""
        self._folder = folder
        self._clock: Clock = SystemClock()
        self._owner = TaskOwner()
        self._transports: list[TornadoTransport] = []
        self.replicas: dict[str, ClaimReplica] = {}
        self.members: dict[str, ReplicaMember] = {}

    async def start_transport(self) -> TornadoTransport:
        """Return a new transport that listens on a loopback port."""
        address = Address("127.0.0.1", 0)
        transport = TornadoTransport(address, CLUSTER_KEY, self._clock, self._owner)
        await transport.start()
        self._transports.append(transport)
        return transport

    async def start_replica(self, name: str) -> ClaimReplica:
        """Start a replica with an empty store."""
        transport = await self.start_transport()
        replica = ClaimReplica(
            node_id=NodeId(name),
            clock=self._clock,
            transport=transport,
            open_log=lambda: open_log(self._folder, name),
            limits=NO_LIMITS,
            task_owner=self._owner,
        )
        replica.start()
        self.replicas[name] = replica
        self.members[name] = ReplicaMember(
            node_id=NodeId(name), store_id=StoreId(name), address=transport.address
        )
        return replica

    async def start_set(self) -> ReplicaSet:
        """Start three replicas that take part in the first epoch."""
        for index in range(REPLICAS):
            replica = await self.start_replica(f"replica-{index}")
            activate(replica.acceptor)
        members = tuple(self.members.values())
        return ReplicaSet(epoch=EPOCH, members=members, phase=ReplicaSetPhase.ACTIVE)

    async def start_service(self, replica_set: ReplicaSet) -> ClaimService:
        """Return a dispatcher."""
        return ClaimService(
            clock=self._clock,
            transport=await self.start_transport(),
            node_id=NodeId("dispatcher"),
            boot_id=BootId("boot"),
            random=random.Random(1),
            replica_set_view=lambda: replica_set,
            task_owner=self._owner,
        )

    async def close(self) -> None:
        """Stop everything."""
        await self._owner.close()
        for transport in self._transports:
            await transport.close()
        for replica in self.replicas.values():
            await replica.close()


async def _answer_at_once(_attempt_id: AttemptId) -> StoredAnswer:
    return ANSWER


async def measure_requests(folder: Path, count: int, concurrency: int) -> RequestRate:
    """Measure whole requests over loopback connections to three replicas."""
    cluster = ClaimCluster(folder)
    service = await cluster.start_service(await cluster.start_set())
    claimed: list[float] = []
    unclaimed: list[float] = []

    async def run_claimed(number: int) -> None:
        started = time.perf_counter()
        outcome = await service.run_once(make_key(number), REQUEST_DIGEST, _answer_at_once)
        claimed.append(time.perf_counter() - started)
        if not isinstance(outcome, ClaimAnswered):
            raise BenchmarkFailedError(str(outcome))

    async def run_unclaimed(number: int) -> None:
        started = time.perf_counter()
        await _answer_at_once(AttemptId(str(number)))
        unclaimed.append(time.perf_counter() - started)

    elapsed_seconds = await run_concurrently(count, concurrency, run_claimed)
    await run_concurrently(count, concurrency, run_unclaimed)
    await cluster.close()
    return RequestRate(
        concurrency=concurrency,
        requests_per_second=count / elapsed_seconds,
        median_milliseconds=1000 * statistics.median(claimed),
        tail_milliseconds=1000 * sorted(claimed)[int(TAIL_QUANTILE * len(claimed))],
        unclaimed_median_milliseconds=1000 * statistics.median(unclaimed),
    )


class _TimedKeyValueStore(MemoryKeyValueStore):
    """Notes when the replica set is written."""

    def __init__(self, model: KeyValueModel, clock: Clock) -> None:
        super().__init__(model, clock)
        self.written_at: list[float] = []

    async def transact(
        self, compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        result = await super().transact(compares, operations)
        self.written_at.append(time.perf_counter())
        return result


async def measure_change(folder: Path, records: int) -> ChangeTime:
    """Measure the replacement of one member by a new store."""
    cluster = ClaimCluster(folder)
    replica_set = await cluster.start_set()
    for replica in cluster.replicas.values():
        fill(replica.acceptor, records)
    await cluster.start_replica("replica-new")
    clock = SystemClock()
    model = KeyValueModel(clock)
    store = _TimedKeyValueStore(model, clock)
    model.transact((), (Put(key=REPLICA_SET_KEY, value=encode_replica_set(replica_set)),))
    transport = await cluster.start_transport()
    watcher = ReplicaSetWatcher(
        clock=clock,
        transport=transport,
        key_value_store=store,
        random=random.Random(1),
        peers=lambda: (),
    )
    await watcher.refresh()
    await cluster.replicas.pop("replica-0").close()
    candidates = tuple(
        ReplicaCandidate(node_id=member.node_id, address=member.address, zone="")
        for member in cluster.members.values()
    )
    reconfigurator = Reconfigurator(
        node_id=NodeId("replica-1"),
        clock=clock,
        transport=transport,
        key_value_store=store,
        random=random.Random(1),
        watcher=watcher,
        candidates=lambda: candidates,
        policy=ReplacementPolicy(replace_after_seconds=0.0),
    )
    started = time.perf_counter()
    await reconfigurator.step()
    total_seconds = time.perf_counter() - started
    await cluster.close()
    changed = watcher.replica_set()
    if changed is None or changed.epoch == EPOCH:
        raise BenchmarkFailedError("the replica set was not changed")
    sealed_seconds = store.written_at[-1] - store.written_at[0]
    return ChangeTime(records=records, total_seconds=total_seconds, sealed_seconds=sealed_seconds)
