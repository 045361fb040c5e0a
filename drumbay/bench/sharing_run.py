"""One run of live traffic and a trainer on whole nodes and emulated engines in virtual time."""

import asyncio
import tempfile
from pathlib import Path
from random import Random

import msgspec

from drumbay.backends.interface import TokenChunk
from drumbay.exceptions import DrumbayError
from drumbay.node.node import Node
from drumbay.requests.records import LiveRequest
from drumbay.resources.schema import AnyResource, EngineSharing, Route, RouteKind, WeightPolicy
from drumbay.simulation.cluster import SimulatedCluster
from drumbay.simulation.concurrent_operators import ConcurrentOperators
from drumbay.simulation.deployment import initial_resources, plan_deployment
from drumbay.simulation.gateway import NodeRun
from drumbay.simulation.history import History
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.load import BurstSchedule, generate_arrivals
from drumbay.simulation.scenario import PoolKind, Scenario
from drumbay.simulation.simulation_clock import virtual_now
from drumbay.simulation.trace import Trace
from drumbay.simulation.trainers import SimulatedTrainer
from drumbay.simulation.virtual_time import run_simulation

CALL_TIMEOUT_SECONDS = 60.0
LOAD_START_SECONDS = 60.0
"""Virtual start time of the load, fixed so that arrivals are the same in each variant."""


class SharingLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a run.

    Attributes:
        duration_seconds: Virtual duration of the live traffic.
        samples_per_step: Samples per training step; 0 runs no trainer.
        step_seconds: Duration of a training step.
        sample_tokens: Maximum tokens of a sample.
        live_per_second: Rate of live requests outside bursts; 0 sends none.
        live_tokens: Maximum tokens of a live completion.
        burst_factor: Rate within a burst relative to the rate outside bursts.
        burst_interval_seconds: Mean time between bursts.
        burst_seconds: Length of a burst.
        live_priority: Priority of the live route.
    """

    duration_seconds: float = 60.0
    samples_per_step: int = 512
    step_seconds: float = 20.0
    sample_tokens: int = 2048
    live_per_second: float = 4.0
    live_tokens: int = 64
    burst_factor: float = 6.0
    burst_interval_seconds: float = 20.0
    burst_seconds: float = 6.0
    live_priority: int = 0


class LiveOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one live request.

    Attributes:
        first_token_seconds: Time to first token; ``None`` if there was none.
        total_seconds: Time to the last token or to the failure.
        failure: Error code; empty if the request was answered.
    """

    first_token_seconds: float | None
    total_seconds: float
    failure: str = ""


class SharingRun(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run.

    Attributes:
        live: Outcomes of the live requests.
        idle_share: Share of time in which the trainer waited for samples; 0 without a trainer.
        steps: Completed training steps.
        sample_tokens: Tokens of the consumed samples.
    """

    live: tuple[LiveOutcome, ...]
    idle_share: float
    steps: int
    sample_tokens: int


def run_sharing(
    scenario: Scenario, load: SharingLoad, seed: int, sharing: EngineSharing | None = None
) -> SharingRun:
    """Run a deployment without faults.

    Args:
        scenario: Zones, nodes, engines and delays; its load is replaced.
        load: Live traffic and trainer.
        seed: Seed of all random choices.
        sharing: Sharing policy of the engines; the default policy if omitted.
    """
    scenario = _with_load(scenario, load)
    with tempfile.TemporaryDirectory(prefix="drumbay-sharing-") as folder:
        simulation = _SharingSimulation(
            scenario, load, seed, Path(folder), sharing or EngineSharing()
        )
        return run_simulation(simulation.main)


def _with_load(scenario: Scenario, load: SharingLoad) -> Scenario:
    trainers = tuple(
        msgspec.structs.replace(
            trainer,
            samples_per_step=load.samples_per_step,
            step_seconds=load.step_seconds,
            max_tokens=load.sample_tokens,
        )
        for trainer in scenario.trainers
        if load.samples_per_step > 0
    )
    bursts = msgspec.structs.replace(
        scenario.load,
        burst_factor=load.burst_factor,
        burst_interval_seconds=load.burst_interval_seconds,
        burst_seconds=load.burst_seconds,
    )
    return msgspec.structs.replace(scenario, trainers=trainers, load=bursts)


class _MeasuredTrainer(SimulatedTrainer):
    """A trainer that counts the consumed tokens."""

    @property
    def consumed_tokens(self) -> int:
        """Return the number of tokens in the consumed samples."""
        return sum(len(sample.token_ids) for sample in self._delivered)


class _SharingSimulation:
    """Nodes, callers and trainer of one run."""

    def __init__(
        self,
        scenario: Scenario,
        load: SharingLoad,
        seed: int,
        folder: Path,
        sharing: EngineSharing,
    ) -> None:
        self._scenario = scenario
        self._load = load
        self._seed = seed
        self._sharing = sharing
        self._deployment = plan_deployment(scenario)
        self._folder = folder
        self._live: list[LiveOutcome] = []
        self._node_random = self._random_for("picks")
        self._model = next(pool.model for pool in scenario.pools if pool.kind is PoolKind.ENGINE)

    def _random_for(self, purpose: str) -> Random:
        return Random(f"{self._seed}/{purpose}")

    async def main(self) -> SharingRun:
        """Run the simulation and return its result."""
        network = self._scenario.network
        latency = LatencyModel(
            same_zone_seconds=network.same_zone_seconds,
            same_region_seconds=network.same_region_seconds,
            between_regions_seconds=network.between_regions_seconds,
        )
        random = self._random_for("cluster")
        self._cluster = SimulatedCluster(
            self._deployment, latency, network.client_seconds, Node, random, Trace(), self._folder
        )
        await self._cluster.start()
        await self._set_up()
        trainers = [self._start_trainer(index) for index in range(len(self._scenario.trainers))]
        until_seconds = virtual_now() + self._load.duration_seconds
        trainer_tasks = [asyncio.ensure_future(trainer.run(until_seconds)) for trainer in trainers]
        await self._send_live(until_seconds)
        for task in trainer_tasks:
            task.cancel()
        await asyncio.gather(*trainer_tasks, return_exceptions=True)
        await self._cluster.stop()
        return SharingRun(
            live=tuple(self._live),
            idle_share=sum(trainer.idle_share() for trainer in trainers),
            steps=sum(trainer.model.step for trainer in trainers),
            sample_tokens=sum(trainer.consumed_tokens for trainer in trainers),
        )

    async def _set_up(self) -> None:
        operators = ConcurrentOperators(
            self._cluster.gateway,
            History(),
            self._random_for("operators"),
            self._cluster.node_ids,
        )
        resources = initial_resources(self._scenario, self._deployment)
        await operators.set_up(tuple(self._adjust_resource(resource) for resource in resources))
        await asyncio.sleep(LOAD_START_SECONDS - virtual_now())

    def _adjust_resource(self, resource: AnyResource) -> AnyResource:
        if isinstance(resource, Route) and resource.route_kind is RouteKind.LIVE:
            return msgspec.structs.replace(resource, priority=self._load.live_priority)
        if isinstance(resource, WeightPolicy):
            return msgspec.structs.replace(resource, sharing=self._sharing)
        return resource

    def _start_trainer(self, index: int) -> _MeasuredTrainer:
        section = self._scenario.trainers[index]
        return _MeasuredTrainer(
            section,
            self._cluster.gateway,
            History(),
            self._random_for(f"trainer-{section.stream}"),
            self._cluster.node_ids,
            self._cluster.platform.weight_store,
        )

    async def _send_live(self, until_seconds: float) -> None:
        random = self._random_for("live")
        bursts = BurstSchedule(random, self._scenario.load)
        rate = self._load.live_per_second
        await generate_arrivals(random, rate, bursts, until_seconds, self._complete)
        await asyncio.sleep(max(0.0, until_seconds - virtual_now()))

    async def _complete(self, number: int) -> None:
        started_at = virtual_now()
        first_token_at: list[float] = []

        async def read(run: NodeRun) -> None:
            request = LiveRequest(
                request_id=run.node.new_request_id(),
                model=self._model,
                prompt=f"live question {number}",
                max_tokens=self._load.live_tokens,
            )
            async for chunk in run.node.generate(request):
                self._record_first_token(first_token_at, chunk)

        node_id = self._node_random.choice(self._cluster.node_ids)
        failure = ""
        try:
            await self._cluster.gateway.call(node_id, read, CALL_TIMEOUT_SECONDS)
        except DrumbayError as error:
            failure = error.code
        first_token_seconds = first_token_at[0] - started_at if first_token_at else None
        if first_token_seconds is not None:
            first_token_seconds += self._cluster.gateway.client_latency_seconds
        self._live.append(
            LiveOutcome(
                first_token_seconds=first_token_seconds,
                total_seconds=virtual_now() - started_at,
                failure=failure,
            )
        )

    def _record_first_token(self, first_token_at: list[float], chunk: TokenChunk) -> None:
        if not first_token_at and chunk.token_ids:
            first_token_at.append(virtual_now())
