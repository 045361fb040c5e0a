"""A simulated cluster of claim replicas and dispatchers, with a checker of its history."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from drumbay.backends.interface import (
    BackendNotReachedError,
    BackendRefusedError,
    ExchangeBrokenError,
)
from drumbay.claims.acceptor import Acceptor
from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimOutcome
from drumbay.claims.policy import ClaimPolicy
from drumbay.claims.reconfigurator import Reconfigurator, ReplicaCandidate
from drumbay.claims.record_table import TableLimits
from drumbay.claims.records import StoredAnswer
from drumbay.claims.replacement import ReplacementPolicy
from drumbay.claims.replica import ClaimReplica
from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaMember,
    ReplicaSet,
    begin_change,
    decode_replica_set,
    encode_replica_set,
)
from drumbay.claims.replica_set_watcher import ReplicaSetWatcher
from drumbay.claims.service import ClaimService, Dispatch
from drumbay.claims.state_copy import EpochStateCopier
from drumbay.comm.interface import Address, Transport
from drumbay.exceptions import Execution
from drumbay.identifiers import AttemptId, IdempotencyKey, NodeId
from drumbay.kv.interface import Put
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import Cut, Scope, SimulatedNetwork
from drumbay.simulation.process_clients import ProcessKeyValueStore
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.standins.kv_model import KeyValueModel
from drumbay.storage.interface import RecordLog, StoreId
from drumbay.storage.simulated_log import SimulatedDisk, SimulatedLog
from drumbay.tasks import TaskOwner


@dataclass(kw_only=True)
class ApplicationRun:
    """One execution by the application."""

    key: IdempotencyKey
    attempt_id: AttemptId
    at: float


@dataclass(kw_only=True)
class Call:
    """One call by a caller; ``outcome`` stays ``None`` if its node crashed."""

    key: IdempotencyKey
    started: float
    outcome: ClaimOutcome | None = None
    ended: float | None = None


@dataclass(kw_only=True)
class Implementations:
    """The classes under test; a test may replace one by a faulty version."""

    acceptor: type[Acceptor] = Acceptor
    replica: type[ClaimReplica] = ClaimReplica
    service: type[ClaimService] = ClaimService
    reconfigurator: type[Reconfigurator] = Reconfigurator


@dataclass(kw_only=True)
class Settings:
    """Parameters of a simulated cluster."""

    seed: int = 1
    disk_nodes: int = 3
    commit_seconds: float = 0.0005
    limits: TableLimits = field(default_factory=TableLimits)
    policy: ClaimPolicy = field(default_factory=ClaimPolicy)
    replacement: ReplacementPolicy = field(
        default_factory=lambda: ReplacementPolicy(replace_after_seconds=3.0)
    )
    coordinate: bool = True


class Node:
    """The components of one node that take part in claims, in one simulated process."""

    def __init__(self, world: "World", host: SimulatedHost) -> None:
        self.world = world
        self.process = host.start()
        clock = host.clock()
        self.clock = clock
        self.task_owner = TaskOwner()
        node_id = NodeId(host.name)
        random = Random(f"{world.settings.seed} {self.process.boot_id}")
        transport = SimulatedTransport(world.network, host.address, self.process)
        self.transport = transport
        store = ProcessKeyValueStore(self.process, MemoryKeyValueStore(world.kv, world.clock))
        self.watcher = ReplicaSetWatcher(
            clock=clock,
            transport=transport,
            key_value_store=store,
            random=random,
            peers=lambda: tuple(each.address for each in world.hosts.values() if each != host),
        )
        self.view = self.watcher.replica_set
        self.service = world.implementations.service(
            clock=clock,
            transport=transport,
            node_id=node_id,
            boot_id=self.process.boot_id,
            random=random,
            replica_set_view=lambda: self.view(),
            task_owner=self.task_owner,
            policy=world.settings.policy,
        )
        self.process.spawn(self.watcher.run(), "watch")
        disk = world.disks.get(host.name)
        if disk is None:
            return

        class Replica(world.implementations.replica):  # type: ignore[name-defined,misc]
            def create_acceptor(self, log: RecordLog) -> Acceptor:
                return world.implementations.acceptor(log.store_id, world.settings.limits)

        self.replica = Replica(
            node_id=node_id,
            clock=clock,
            transport=transport,
            open_log=lambda: SimulatedLog(
                disk,
                "claims",
                clock=clock,
                new_store_id=StoreId(f"store-{world.random.getrandbits(64):x}"),
                commit_seconds=world.settings.commit_seconds,
            ),
            limits=world.settings.limits,
            task_owner=self.task_owner,
        )
        self.process.run(self.replica.start)
        self.reconfigurator = world.implementations.reconfigurator(
            node_id=node_id,
            clock=clock,
            transport=transport,
            key_value_store=store,
            random=random,
            watcher=self.watcher,
            candidates=world.candidates,
            policy=world.settings.replacement,
            other_copiers=world.other_copiers(transport),
        )
        if world.settings.coordinate:
            self.process.spawn(self.reconfigurator.run(), "reconfigure")


class World:
    """A cluster of disk nodes ``d1``... and diskless dispatchers ``n1`` and ``n2``."""

    def __init__(
        self, implementations: Implementations | None = None, settings: Settings | None = None
    ) -> None:
        self.implementations = implementations or Implementations()
        self.settings = settings or Settings()
        self.random = Random(self.settings.seed)
        self.network = SimulatedNetwork(self.random, LatencyModel(), Trace())
        platform = SimulatedHost("kv", Address("10.0.1.0", 1), Location(zone="kv", region="one"))
        platform.start()
        self.clock = platform.clock()
        self.kv = KeyValueModel(self.clock)
        self.hosts: dict[str, SimulatedHost] = {}
        self.disks: dict[str, SimulatedDisk] = {}
        self.nodes: dict[str, Node] = {}
        self.executions: list[ApplicationRun] = []
        self.calls: list[Call] = []
        names = [f"d{index + 1}" for index in range(self.settings.disk_nodes)]
        self.disks = {name: SimulatedDisk() for name in names}
        for index, name in enumerate([*names, "n1", "n2"]):
            location = Location(zone=f"zone-{index % 3}", region="one")
            host = SimulatedHost(name, Address(f"10.0.0.{index + 1}", 7000), location)
            self.network.add_host(host)
            self.hosts[name] = host

    def candidates(self) -> tuple[ReplicaCandidate, ...]:
        """Return all disk nodes, including crashed ones, since the reconfigurator probes them."""
        return tuple(
            ReplicaCandidate(
                node_id=NodeId(name),
                address=self.hosts[name].address,
                zone=self.hosts[name].location.zone,
            )
            for name in self.disks
        )

    def other_copiers(self, transport: Transport) -> tuple[EpochStateCopier, ...]:
        """Return the copiers of state other than claims."""
        return ()

    def start(self, name: str) -> None:
        self.nodes[name] = Node(self, self.hosts[name])

    async def kill(self, name: str) -> None:
        await self.hosts[name].kill()

    async def restart(self, name: str, *, lose_disk: bool = False) -> None:
        if self.hosts[name].running:
            await self.kill(name)
        if lose_disk:
            self.disks[name] = SimulatedDisk()
        self.start(name)

    def cut(self, first: str, second: str) -> None:
        self.network.cut(Cut(scope=Scope.HOST, source=first, target=second), both_ways=True)

    def heal(self, first: str, second: str) -> None:
        self.network.heal(Cut(scope=Scope.HOST, source=first, target=second), both_ways=True)

    def replica_set(self) -> ReplicaSet | None:
        """Return the newest replica set known to any node."""
        known_sets = [self.nodes[name].watcher.replica_set() for name in self.nodes]
        return max((each for each in known_sets if each), key=lambda each: each.epoch, default=None)

    def members(self, names: Sequence[str]) -> tuple[ReplicaMember, ...]:
        """Return the stores of running disk nodes as members."""
        return tuple(
            ReplicaMember(
                node_id=NodeId(name),
                store_id=self.nodes[name].replica.acceptor.store_id,
                address=self.hosts[name].address,
                zone=self.hosts[name].location.zone,
            )
            for name in names
        )

    def request_change(self, current: ReplicaSet, target: tuple[ReplicaMember, ...]) -> None:
        """Start a change of members unless the record was changed in between."""
        (item,) = self.kv.range_prefix(REPLICA_SET_KEY).items
        if decode_replica_set(item.value) == current:
            value = encode_replica_set(begin_change(current, target))
            self.kv.transact((), (Put(key=REPLICA_SET_KEY, value=value),))

    async def start_all(self) -> None:
        """Start every node and wait up to a minute for the first epoch."""
        for name in self.hosts:
            self.start(name)
        for _ in range(600):
            await self.clock.sleep(0.1)
            views = [node.watcher.replica_set() for node in self.nodes.values()]
            if all(view is not None and view.is_active for view in views):
                return

    def execute(self, key: IdempotencyKey, attempt_id: AttemptId) -> StoredAnswer:
        """Run a request as the application and return its answer."""
        at = self.clock.monotonic()
        self.executions.append(ApplicationRun(key=key, attempt_id=attempt_id, at=at))
        return StoredAnswer(status=200, content_type="text/plain", body=attempt_id.encode())

    def dispatch(
        self, name: str, key: str, backend_result: str = "ok", delay: float = 0.001
    ) -> Dispatch:
        """Return a dispatch from one node with the given back-end result."""
        clock = self.nodes[name].clock

        async def run(attempt_id: AttemptId) -> StoredAnswer:
            await clock.sleep(delay)
            if backend_result == "not_reached":
                raise BackendNotReachedError("refused connection")
            if backend_result == "refused":
                raise BackendRefusedError("overloaded")
            if backend_result == "late":
                asyncio.get_running_loop().call_later(
                    2.0, self.execute, IdempotencyKey(key), attempt_id
                )
                raise ExchangeBrokenError("timeout")
            answer = self.execute(IdempotencyKey(key), attempt_id)
            if backend_result == "broken":
                raise ExchangeBrokenError("connection reset")
            return answer

        return run

    async def call(
        self,
        name: str,
        key: str,
        backend_result: str = "ok",
        *,
        delay: float = 0.001,
        patience: float = 8.0,
    ) -> ClaimOutcome | None:
        """Call one node as a caller; return ``None`` if there was no answer."""
        if not self.hosts[name].running:
            return None
        call = Call(key=IdempotencyKey(key), started=self.clock.monotonic())
        self.calls.append(call)
        running = self.nodes[name].service.run_once(
            call.key, key.encode(), self.dispatch(name, key, backend_result, delay)
        )
        task = self.nodes[name].process.spawn(running, "request")
        await asyncio.wait([task], timeout=patience)
        if not task.done() or task.cancelled():
            return None
        call.outcome = task.result()
        call.ended = self.clock.monotonic()
        return call.outcome

    def violations(self) -> list[str]:
        """Compare the executions by the application with the outcomes reported to callers."""
        messages: list[str] = []
        for key in dict.fromkeys(call.key for call in self.calls):
            executed = [each for each in self.executions if each.key == key]
            if len(executed) > 1:
                messages.append(f"{key} ran {len(executed)} times")
            calls = [call for call in self.calls if call.key == key]
            for call in calls:
                messages.extend(self._wrong_reports(call, executed))
            if executed and all(_says_not_run(call) for call in calls):
                messages.append(f"{key} ran although every caller was told that it did not")
        return messages

    @staticmethod
    def _wrong_reports(call: Call, executed: list[ApplicationRun]) -> list[str]:
        outcome = call.outcome
        if _says_not_run(call) and any(each.at < call.started for each in executed):
            return [f"{call.key} was reported as not run after it ran"]
        if isinstance(outcome, ClaimAnswered):
            true_answers = [each.attempt_id.encode() for each in executed]
            if outcome.answer.body not in true_answers:
                return [f"{call.key} got an answer that no execution returned"]
        return []


def _says_not_run(call: Call) -> bool:
    outcome = call.outcome
    return isinstance(outcome, ClaimFailed) and outcome.execution is Execution.NOT_RUN
