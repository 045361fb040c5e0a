"""Back ends of an evacuated zone get no new work from a node; runs under way end there."""

import asyncio
import random
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from drumbay.backends.guarded import GuardedEngineClient
from drumbay.backends.interface import (
    ApplicationResponse,
    BackendAddress,
    BackendRefusedError,
    GenerationRequest,
)
from drumbay.bench.configuration_cluster import ConfigurationCluster
from drumbay.configuration.messages import ReadinessReason
from drumbay.configuration.view import ConfigurationView
from drumbay.delivery.exceptions import NotOwnerError
from drumbay.exceptions import Execution
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import (
    AttemptId,
    BackendId,
    BootId,
    Fence,
    StreamName,
    WeightVersion,
)
from drumbay.node.rollouts import ENGINE_REFRESH_SECONDS, RolloutSupervisor
from drumbay.observability.metrics import NodeMetrics
from drumbay.resources.schema import (
    EngineSharing,
    RolloutObjective,
    Selector,
    WeightPolicy,
    ZoneEvacuation,
)
from drumbay.rollout.events import (
    AttemptFailed,
    AttemptFailure,
    EngineReported,
    EnginesLost,
    WantedSample,
    WantedSamplesChanged,
)
from drumbay.rollout.policy import policy_for
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey
from drumbay.rollout.scheduler import RolloutScheduler
from drumbay.routing.backend_choice import ChoicePolicy, ChoiceRequest, choose_backend
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.policy_engines import PolicyEngines
from drumbay.simulation.host import Location
from drumbay.simulation.network import Cut, Scope
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.execution_log import ApplicationExecuted, GenerationAccepted
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.tasks import TaskOwner
from tests.configuration_support import ZONES
from tests.requests_world import (
    DEFAULT_LIMITS,
    MODEL,
    RequestsWorld,
    make_configuration_view,
    rejected_at_once,
    simulate,
    url_of,
)

FAR_LOCATION = Location(zone="zwolle-hal", region="nl-oost")
UNCONFIRMED_SECONDS = 90.0
TOKENS = 40
FURTHER_REQUESTS = 8
SAMPLES = 400
SAMPLE_TOKENS = 4


def evacuation(zone: str, name: str = "") -> ZoneEvacuation:
    return ZoneEvacuation(name=name or zone, zone=zone)


def zoned_view(*evacuations: ZoneEvacuation, zones: str = "abc") -> ConfigurationView:
    """Return the view of the requests fixture with back end n of each group in the nth zone."""
    view = make_configuration_view(DEFAULT_LIMITS)
    groups = {
        name: msgspec.structs.replace(
            group,
            backends=tuple(
                msgspec.structs.replace(backend, zone=zone)
                for backend, zone in zip(group.backends, zones, strict=True)
            ),
        )
        for name, group in view.groups.items()
    }
    return msgspec.structs.replace(
        view, groups=groups, evacuations={entry.name: entry for entry in evacuations}
    )


def apply(world: RequestsWorld, *evacuations: ZoneEvacuation) -> None:
    world.directory.apply_configuration(zoned_view(*evacuations), world.clock.monotonic())


def accepted_by(engine: EngineModel) -> list[GenerationAccepted]:
    return [entry for entry in engine.log.records() if isinstance(entry, GenerationAccepted)]


def make_rollouts(
    world: RequestsWorld, tasks: TaskOwner, finished: list[Sample]
) -> RolloutSupervisor:
    """Return a supervisor that owns a stream with ``SAMPLES`` missing samples."""

    def progress(stream: StreamName) -> None:
        raise NotOwnerError(stream)

    prompt = RolloutPrompt(
        text="p", group="g", max_tokens=SAMPLE_TOKENS, target_tokens=SAMPLE_TOKENS
    )
    missing = [WantedSample(key=SampleKey(0, n), prompt=prompt) for n in range(SAMPLES)]
    delivery = SimpleNamespace(
        missing=lambda stream: missing,
        progress=progress,
        oldest_accepted_version=lambda stream: WeightVersion(0),
        add_sample=lambda stream, sample: finished.append(sample),
    )
    ownership = SimpleNamespace(fence_to_continue=lambda name, now: Fence(1))
    return RolloutSupervisor(
        clock=world.clock,
        boot_id=BootId("boot"),
        engine_client=world.engine_client,
        directory=world.directory,
        delivery=cast(Any, delivery),
        ownership=cast(Any, ownership),
        recorder=world.recorder,
        task_owner=tasks,
        pin_engines=lambda owner, engines: None,
        metrics=NodeMetrics(),
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = BackendDirectory()

    def rejections(self, view: ConfigurationView) -> dict[str, RejectionReason | None]:
        """Return the verdict on each engine under a configuration."""
        self.directory.apply_configuration(view, 0.0)
        request = ChoiceRequest(
            now=1.0, zone="a", matches_selector=lambda labels: True, model=MODEL
        )
        choice = choose_backend(
            request, self.directory.views(1.0), ChoicePolicy(), random.Random(1)
        )
        return {
            verdict.backend_id: verdict.rejection
            for verdict in choice.verdicts()
            if verdict.backend_id.startswith("engine")
        }

    def evacuated(self, view: ConfigurationView) -> list[str]:
        return [
            backend_id
            for backend_id, reason in self.rejections(view).items()
            if reason is RejectionReason.ZONE_EVACUATED
        ]

    def test_only_back_ends_of_the_zone_are_rejected_until_the_last_evacuation_ends(self) -> None:
        """Two operators may evacuate the same zone; the end of one must not end the other's."""
        both = (evacuation("b"), evacuation("b", "fire-drill"))
        self.assertEqual(self.evacuated(zoned_view(*both)), ["engine-1"])
        self.assertEqual(self.evacuated(zoned_view(both[1])), ["engine-1"])
        self.assertEqual(self.evacuated(zoned_view()), [])

    def test_evacuation_follows_a_back_end_that_comes_or_changes_its_zone(self) -> None:
        entry = evacuation("b")
        self.assertEqual(self.evacuated(zoned_view(entry, zones="bbc")), ["engine-0", "engine-1"])
        self.assertEqual(self.evacuated(zoned_view(entry, zones="aac")), [])

    def test_zone_without_back_ends_is_accepted(self) -> None:
        self.assertEqual(self.evacuated(zoned_view(evacuation("nowhere"))), [])

    def test_evacuated_engines_still_load_weights(self) -> None:
        """Otherwise a zone comes back without the versions that were published meanwhile."""
        self.directory.apply_configuration(zoned_view(evacuation("b")), 0.0)
        policy = WeightPolicy(name="p", model=MODEL, stream=StreamName("s"), selector=Selector())
        self.assertEqual(len(PolicyEngines(self.directory).engines_for(policy)), 3)


class RequestTest(unittest.TestCase):
    def accepting_engines(self, world: RequestsWorld) -> list[str]:
        return [engine.backend_id for engine in world.engines for _ in accepted_by(engine)]

    def test_request_under_way_ends_and_the_next_goes_elsewhere(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            apply(world, evacuation("b"), evacuation("c"))
            under_way = asyncio.ensure_future(world.generate(TOKENS))
            await world.clock.sleep(0.05)
            self.assertEqual(self.accepting_engines(world), ["engine-0"])
            apply(world, evacuation("a"))
            for _ in range(FURTHER_REQUESTS):
                await world.generate(1)
            self.assertFalse(under_way.done())
            self.assertEqual(sum(len(chunk.token_ids) for chunk in await under_way), TOKENS)
            accepted = self.accepting_engines(world)
            self.assertEqual(len(accepted), 1 + FURTHER_REQUESTS)
            self.assertEqual(accepted.count("engine-0"), 1)

        simulate(scenario)

    def test_stream_that_breaks_after_the_evacuation_resumes_elsewhere(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            apply(world, evacuation("b"), evacuation("c"))
            request = asyncio.ensure_future(world.generate(TOKENS))
            await world.clock.sleep(0.05)
            apply(world, evacuation("a"), evacuation("b"))
            world.network.block_requests(url_of("engine-0"))
            self.assertEqual(sum(len(chunk.token_ids) for chunk in await request), TOKENS)
            self.assertEqual(self.accepting_engines(world), ["engine-0", "engine-2"])

        simulate(scenario)

    def test_hedge_after_the_evacuation_goes_elsewhere(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            for _ in range(200):
                await world.call("GET")
            for first, second in ((0, 1), (0, 2), (1, 2), (2, 0)):
                for server in world.servers:
                    server.faults.apply(FaultCommand(fault=FaultKind.LATE_ANSWER, count=1))
                before = [len(server.log.records()) for server in world.servers]
                apply(world, *(evacuation(zone) for zone in "abc" if zone != "abc"[first]))
                request = asyncio.ensure_future(world.call("GET"))
                await asyncio.sleep(0)
                apply(world, *(evacuation(zone) for zone in "abc" if zone != "abc"[second]))
                self.assertIsInstance(await request, ApplicationResponse)
                executing = [
                    number
                    for number, server in enumerate(world.servers)
                    for entry in server.log.records()[before[number] :]
                    if isinstance(entry, ApplicationExecuted)
                ]
                self.assertEqual(executing, sorted((first, second)))

        simulate(scenario)

    def test_without_another_zone_requests_are_rejected_at_once_as_not_run(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            apply(world, *(evacuation(zone) for zone in "abc"))
            error, reasons = await rejected_at_once(world)
            self.assertIs(error.execution, Execution.NOT_RUN)
            self.assertIsNotNone(error.retry_after_seconds)
            self.assertEqual(reasons.count(RejectionReason.ZONE_EVACUATED), 3)

        simulate(scenario)

    def test_evacuation_between_choice_and_send_is_respected(self) -> None:
        """The last step before a send may wait for news of the machines meanwhile."""

        async def scenario(world: RequestsWorld) -> None:
            apply(world)

            async def check(backend_id: BackendId) -> RejectionReason | None:
                await world.clock.sleep(1.0)
                return world.directory.send_refusal(backend_id)

            client = GuardedEngineClient(world.engine_client, check)
            address = BackendAddress(backend_id=BackendId("engine-0"), base_url=url_of("engine-0"))
            request = GenerationRequest(
                attempt_id=AttemptId("a"), model=MODEL, prompt="p", max_tokens=1
            )
            chunks = client.generate(address, request, timeout_seconds=5.0)
            first = asyncio.ensure_future(anext(chunks))
            await world.clock.sleep(0.5)
            apply(world, evacuation("a"))
            with self.assertRaisesRegex(BackendRefusedError, "zone_evacuated"):
                await first
            self.assertEqual(self.accepting_engines(world), [])

        simulate(scenario)


class RolloutTest(unittest.TestCase):
    def test_samples_under_way_end_and_no_further_ones_start_in_the_zone(self) -> None:
        """Engines are looked at periodically; no sample may start there until the next time."""

        async def scenario(world: RequestsWorld) -> None:
            policy = WeightPolicy(
                name="p",
                model=MODEL,
                stream=StreamName("s"),
                selector=Selector(),
                sharing=EngineSharing(engine_places=4),
            )
            finished: list[Sample] = []
            tasks = TaskOwner()
            rollouts = make_rollouts(world, tasks, finished)
            apply(world)
            for engine in world.engines:
                status = await engine.status()
                world.directory.record_report(status, world.clock.monotonic())
            rollouts.set_policies((policy,))
            rollouts.start_stream(policy.stream, Fence(1))
            await world.clock.sleep(ENGINE_REFRESH_SECONDS + 0.01)
            apply(world, evacuation("a"), evacuation("b"))
            rollouts.set_policies((policy,))
            started = [len(accepted_by(engine)) for engine in world.engines]
            await world.clock.sleep(120.0)
            self.assertEqual(len(finished), SAMPLES)
            accepted = [len(accepted_by(engine)) for engine in world.engines]
            self.assertEqual(accepted[:2], started[:2])
            self.assertGreater(accepted[2], started[2])
            self.assertEqual(sum(accepted), SAMPLES)
            await tasks.close()

        simulate(scenario)

    def test_engines_lost_together_take_over_nothing_from_each_other(self) -> None:
        scheduler = RolloutScheduler(policy_for(RolloutObjective.IDLE_TIME))
        engines = tuple(BackendId(name) for name in ("e1", "e2"))
        for engine in engines:
            report = EngineReported(backend_id=engine, version=WeightVersion(1), slots=1)
            scheduler.handle(report, 0.0)
        prompt = RolloutPrompt(text="p", group="g", max_tokens=10)
        wanted = WantedSample(key=SampleKey(0, 0), prompt=prompt)
        (first,) = scheduler.handle(WantedSamplesChanged(wanted=(wanted,)), 0.0)
        failure = AttemptFailed(
            key=first.key, attempt=first.attempt, failure=AttemptFailure.REFUSED
        )
        self.assertEqual(scheduler.handle(failure, 0.0), ())
        self.assertEqual(scheduler.handle(EnginesLost(backend_ids=engines), 1.0), ())


class NodeBehindTest(unittest.TestCase):
    """A node that is cut off does not know of the evacuation, says so, and learns of it later."""

    def test_cut_off_node_reports_unconfirmed_and_evacuates_when_the_cut_heals(self) -> None:
        cut = Cut(scope=Scope.REGION, source="nl-oost", target="lima")

        async def main(folder: Path) -> None:
            cluster = ConfigurationCluster(
                seed=5, locations=(*ZONES, FAR_LOCATION), node_count=6, disk_count=3, folder=folder
            )
            cluster.start_all()
            await cluster.wait_loaded()
            await asyncio.sleep(UNCONFIRMED_SECONDS)
            cluster.network.cut(cut, both_ways=True)
            behind = cluster.nodes["node-002"]
            for node in cluster.nodes.values():
                node.store.cut = node.host.location.region != ZONES[0].region
            writer = cluster.nodes["node-000"]
            await writer.operators.apply(evacuation("b"), None, "evacuate")
            self.assertEqual(writer.service.current_view().evacuated_zones(), {"b"})
            await asyncio.sleep(UNCONFIRMED_SECONDS)
            self.assertEqual(behind.service.current_view().evacuated_zones(), frozenset())
            self.assertIs(behind.service.readiness().reason, ReadinessReason.UNCONFIRMED)
            cluster.network.heal(cut, both_ways=True)
            await asyncio.sleep(UNCONFIRMED_SECONDS)
            self.assertEqual(behind.service.current_view().evacuated_zones(), {"b"})

        with TemporaryDirectory() as folder:
            run_simulation(lambda: main(Path(folder)))
