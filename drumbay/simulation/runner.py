"""Runs one scenario with one seed and checks its history."""

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec

from drumbay.simulation.checkers import Violation, check_all
from drumbay.simulation.cluster import NodeFactory, SimulatedCluster
from drumbay.simulation.configuration_probe import ConfigurationProbe
from drumbay.simulation.deployment import fault_targets, plan_deployment
from drumbay.simulation.disturbances import DisturbanceRecorder
from drumbay.simulation.fault_injector import FaultInjector
from drumbay.simulation.fault_plan import draw_fault_plan
from drumbay.simulation.faults import FaultPlan
from drumbay.simulation.history import (
    CompletionReturned,
    History,
    NodeStarted,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
    SampleConsumed,
)
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.observation import add_platform_logs
from drumbay.simulation.scenario import NetworkSection, Scenario
from drumbay.simulation.trace import Trace
from drumbay.simulation.virtual_time import run_simulation
from drumbay.simulation.workload import Workload

SECONDS_PER_HOUR = 3600.0
PROGRESS_INTERVAL_SECONDS = 5.0


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run.

    Attributes:
        scenario: Name of the scenario.
        seed: Seed of the run.
        digest: Digest of the trace; equal for equal seeds.
        events: Number of trace events.
        faults: Number of injected faults.
        virtual_seconds: Length of the run in virtual time.
        wall_seconds: Wall-clock time of the run, checks included.
        requests: Invocations by callers and operators.
        answered: Answered invocations.
        completions: Returned completions.
        samples: Samples consumed by trainers.
        idle_shares: Share of time in which the trainer waited for samples, by stream.
        bytes_sent: Bytes sent between nodes.
        violations: Violations found by the checkers.
    """

    scenario: str
    seed: int
    digest: str
    events: int
    faults: int
    virtual_seconds: float
    wall_seconds: float
    requests: int
    answered: int
    completions: int
    samples: int
    idle_shares: dict[str, float]
    bytes_sent: int
    violations: tuple[Violation, ...]

    @property
    def hours_per_second(self) -> float:
        """Return the simulated hours per second of wall-clock time."""
        return self.virtual_seconds / SECONDS_PER_HOUR / self.wall_seconds


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """The report of a run with its history and fault plan."""

    report: RunReport
    history: History
    plan: FaultPlan


class _Totals(msgspec.Struct, frozen=True, kw_only=True):
    """Totals at the end of the virtual time of a run."""

    digest: str
    events: int
    virtual_seconds: float
    idle_shares: dict[str, float]
    bytes_sent: int


def run_scenario(
    scenario: Scenario,
    seed: int,
    make_node: NodeFactory,
    on_progress: Callable[[float], None] = lambda _seconds: None,
    plan: FaultPlan | None = None,
) -> RunResult:
    """Run a scenario and check its history.

    Args:
        scenario: Scenario to run.
        seed: Seed of all random choices.
        make_node: Creates a node.
        on_progress: Called periodically with the elapsed virtual seconds.
        plan: Faults to inject; drawn from the seed by default.
    """
    started_at = time.perf_counter()
    with tempfile.TemporaryDirectory(prefix="drumbay-simulation-") as folder:
        run = _Run(scenario, seed, make_node, Path(folder), on_progress, plan)
        totals = run_simulation(run.main)
    violations = check_all(run.history, scenario.limits)
    report = _report(scenario, seed, run, totals, violations, time.perf_counter() - started_at)
    return RunResult(report=report, history=run.history, plan=run.plan)


class _Run:
    """One run of a scenario, within virtual time."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_node: NodeFactory,
        folder: Path,
        on_progress: Callable[[float], None],
        plan: FaultPlan | None,
    ) -> None:
        self._scenario = scenario
        self._seed = seed
        self._make_node = make_node
        self._folder = folder
        self._on_progress = on_progress
        self._trace = Trace()
        self._deployment = plan_deployment(scenario)
        self.history = History()
        self.plan = plan or draw_fault_plan(
            self._random_for("faults"),
            fault_targets(scenario, self._deployment),
            scenario.faults,
            scenario.duration_seconds,
        )

    def _random_for(self, purpose: str) -> Random:
        # Random() seeds from a string by SHA-512, independently of PYTHONHASHSEED.
        return Random(f"{self._seed}/{purpose}")

    async def main(self) -> _Totals:
        """Run the scenario and add the platform logs to the history."""
        cluster = SimulatedCluster(
            self._deployment,
            _latency_model(self._scenario.network),
            self._scenario.network.client_seconds,
            self._make_node,
            self._random_for("cluster"),
            self._trace,
            self._folder,
        )
        workload = Workload(
            self._scenario, self._deployment, cluster, self.history, self._random_for
        )
        await cluster.start()
        self._record_starts(cluster)
        await self._run_workload(cluster, workload)
        totals = self._totals(cluster, workload)
        await cluster.stop()
        add_platform_logs(self.history, cluster.platform, workload.operators.changes)
        for trainer in workload.trainers:
            trainer.add_consumed_samples()
        return totals

    def _record_starts(self, cluster: SimulatedCluster) -> None:
        now = asyncio.get_running_loop().time()
        for node_id, node_run in cluster.gateway.runs.items():
            boot_id = node_run.process.boot_id
            self.history.add(NodeStarted(time_seconds=now, node_id=node_id, boot_id=boot_id))

    async def _run_workload(self, cluster: SimulatedCluster, workload: Workload) -> None:
        scenario = self._scenario
        recorder = DisturbanceRecorder(self._deployment, self.history, self._trace)
        injector = FaultInjector(self.plan, cluster, recorder.record)
        background = [
            asyncio.ensure_future(ConfigurationProbe(cluster, self.history).run()),
            asyncio.ensure_future(self._report_progress()),
            asyncio.ensure_future(injector.run()),
        ]
        await workload.set_up()
        until_seconds = scenario.duration_seconds - scenario.faults.quiet_seconds
        await workload.run(until_seconds, scenario.duration_seconds)
        for task in background:
            task.cancel()
        for result in await asyncio.gather(*background, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def _report_progress(self) -> None:
        while True:
            self._on_progress(asyncio.get_running_loop().time())
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)

    def _totals(self, cluster: SimulatedCluster, workload: Workload) -> _Totals:
        return _Totals(
            digest=self._trace.digest(),
            events=self._trace.count,
            virtual_seconds=asyncio.get_running_loop().time(),
            idle_shares={trainer.stream: trainer.idle_share() for trainer in workload.trainers},
            bytes_sent=cluster.network.bytes_sent,
        )


def _latency_model(network: NetworkSection) -> LatencyModel:
    return LatencyModel(
        same_zone_seconds=network.same_zone_seconds,
        same_region_seconds=network.same_region_seconds,
        between_regions_seconds=network.between_regions_seconds,
    )


def _report(
    scenario: Scenario,
    seed: int,
    run: _Run,
    totals: _Totals,
    violations: tuple[Violation, ...],
    wall_seconds: float,
) -> RunReport:
    history = run.history
    returns = history.of(RequestReturned)
    return RunReport(
        scenario=scenario.name,
        seed=seed,
        digest=totals.digest,
        events=totals.events,
        faults=len(run.plan.faults),
        virtual_seconds=totals.virtual_seconds,
        wall_seconds=wall_seconds,
        requests=len(history.of(RequestInvoked)),
        answered=sum(returned.outcome is RequestOutcome.ANSWERED for returned in returns),
        completions=len(history.of(CompletionReturned)),
        samples=len(history.of(SampleConsumed)),
        idle_shares=totals.idle_shares,
        bytes_sent=totals.bytes_sent,
        violations=violations,
    )
