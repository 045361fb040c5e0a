"""Platform and back ends of a simulated deployment."""

from random import Random

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.simulation.deployment import Deployment, WorkerPlan
from drumbay.simulation.faults import KeyValueCondition
from drumbay.simulation.machine_list import SimulatedMachineList
from drumbay.simulation.observed_engine import ObservedEngine
from drumbay.simulation.scenario import PoolKind
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.standins.application_model import ApplicationModel
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.weight_store_model import WeightStoreModel

FIRST_VERSION = WeightVersion(1)
KEY_VALUE_LATENCY_SECONDS = 0.001
KEY_VALUE_RATE_PER_SECOND = 200.0
KEY_VALUE_BURST = 200
_SLOW_LATENCY_SECONDS = 0.7
_LIMITED_RATE_PER_SECOND = 3.0
_LIMITED_BURST = 3
_LOST_RESPONSE_PROBABILITY = 0.5

Worker = ObservedEngine | ApplicationModel


class SimulatedPlatform:
    """Key-value service, machine list, weight store, engines and application servers.

    Attributes:
        clock: Clock of all services.
        key_value: The key-value service.
        machine_list: The list of machines.
        weight_store: The store of weight versions.
        engines: Engines by base URL.
        applications: Application servers by base URL.
    """

    def __init__(self, deployment: Deployment, random: Random) -> None:
        """Start all services in a healthy state."""
        self.clock = SimulationClock()
        self.key_value = KeyValueModel(
            self.clock, generator=Random(random.getrandbits(64)), log_renewals=False
        )
        self.key_value.set_faults(key_value_faults(()))
        backends = tuple(worker.backend_id for worker in deployment.workers)
        self.machine_list = SimulatedMachineList(backends)
        self.weight_store = WeightStoreModel(self.clock, "weight-store")
        self.engines: dict[str, ObservedEngine] = {}
        self.applications: dict[str, ApplicationModel] = {}
        self._workers: dict[BackendId, Worker] = {}
        self._engine_plans = [
            plan for plan in deployment.workers if plan.pool.kind is PoolKind.ENGINE
        ]
        for plan in deployment.workers:
            self._start_worker(plan, Random(random.getrandbits(64)))
        self._publish_first_versions()

    def _start_worker(self, plan: WorkerPlan, random: Random) -> None:
        if plan.pool.kind is PoolKind.APPLICATION:
            application = ApplicationModel(self.clock, plan.backend_id, random)
            self.applications[plan.base_url] = application
            self._workers[plan.backend_id] = application
            return
        engine = ObservedEngine(
            self.clock,
            plan.backend_id,
            plan.pool.model,
            FIRST_VERSION,
            random,
            weight_source=self.weight_store,
        )
        engine.start_recording()
        self.engines[plan.base_url] = engine
        self._workers[plan.backend_id] = engine

    def _publish_first_versions(self) -> None:
        for model in dict.fromkeys(plan.pool.model for plan in self._engine_plans):
            self.weight_store.publish(model, FIRST_VERSION)

    def worker(self, backend: str) -> Worker:
        """Return a back end by id."""
        return self._workers[BackendId(backend)]

    def in_flight(self, backend: str) -> int:
        """Return the number of running and queued requests of a back end."""
        worker = self.worker(backend)
        if isinstance(worker, ObservedEngine):
            return worker.open_stream_count
        return worker.running + worker.waiting

    def disturb_key_value(self, conditions: tuple[KeyValueCondition, ...]) -> None:
        """Replace the active conditions of the key-value service."""
        self.key_value.set_faults(key_value_faults(conditions))

    def compact_key_value(self) -> None:
        """Compact the history of the key-value service up to the current revision."""
        self.key_value.compact(self.key_value.revision)

    def fail_swaps(self, backend: str, count: int, *, acknowledged: bool) -> None:
        """Make the next ``count`` weight swaps of an engine fail; 0 ends the fault."""
        kind = FaultKind.SWAP_FAILS_ACKNOWLEDGED if acknowledged else FaultKind.SWAP_FAILS
        self.disturb_answers(backend, kind, count)

    def disturb_answers(self, backend: str, kind: FaultKind, count: int) -> None:
        """Corrupt or delay the next ``count`` responses of a back end; 0 ends the fault."""
        command = FaultCommand(fault=kind, armed=count > 0, count=count)
        self.worker(backend).faults.apply(command)

    async def close(self) -> None:
        """Stop all back ends."""
        for worker in self._workers.values():
            await worker.close()


def key_value_faults(conditions: tuple[KeyValueCondition, ...]) -> KeyValueFaults:
    """Return the settings of the key-value service under these conditions."""
    slow = KeyValueCondition.SLOW in conditions
    latency = _SLOW_LATENCY_SECONDS if slow else KEY_VALUE_LATENCY_SECONDS
    limited = KeyValueCondition.RATE_LIMITED in conditions
    responses_lost = KeyValueCondition.ANSWERS_LOST in conditions
    return KeyValueFaults(
        outage=KeyValueCondition.OUTAGE in conditions,
        request_delay_seconds=latency,
        answer_delay_seconds=latency,
        lost_answer_probability=_LOST_RESPONSE_PROBABILITY if responses_lost else 0.0,
        rate_limit_per_second=_LIMITED_RATE_PER_SECOND if limited else KEY_VALUE_RATE_PER_SECOND,
        rate_limit_burst=_LIMITED_BURST if limited else KEY_VALUE_BURST,
        watches_broken=KeyValueCondition.WATCHES_BROKEN in conditions,
        watches_stalled=KeyValueCondition.WATCHES_STALLED in conditions,
    )
