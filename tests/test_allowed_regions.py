"""Requests of a route run only in the regions that it allows, whatever comes between."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from drumbay.backends.interface import ApplicationResponse
from drumbay.exceptions import Execution, RequestFailedError
from drumbay.explain.records import RejectionReason
from drumbay.placement.topology import Topology
from drumbay.resources.checks import InvalidResourceError, check_resource
from drumbay.resources.schema import AnyResource, Route, RouteKind, Selector
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.application_model import ApplicationModel
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.execution_log import ApplicationExecuted, GenerationAccepted
from tests.requests_world import DEFAULT_LIMITS, RequestsWorld, rejected_at_once, url_of
from tests.test_zone_evacuation import zoned_view

TOPOLOGY = Topology(zone="a", regions={"a": "near", "b": "far"})
"""Back ends 0, 1 and 2 are in the zones a, b and c; the region of the last is not known."""

REQUESTS = 8
TOKENS = 40


def restrict(world: RequestsWorld, *regions: str) -> None:
    """Apply a configuration whose routes allow only some regions."""
    view = zoned_view()
    routes = {
        name: msgspec.structs.replace(route, allowed_regions=regions)
        for name, route in view.routes.items()
    }
    view = msgspec.structs.replace(view, routes=routes)
    world.directory.apply_configuration(view, world.clock.monotonic())
    world.services.apply_configuration(view)


def used_backends(world: RequestsWorld) -> set[str]:
    """Return the back ends that have run anything."""
    models: tuple[EngineModel | ApplicationModel, ...] = (*world.engines, *world.servers)
    return {
        model.backend_id
        for model in models
        for entry in model.log.records()
        if isinstance(entry, GenerationAccepted | ApplicationExecuted)
    }


def simulate(scenario: Callable[[RequestsWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(RequestsWorld(DEFAULT_LIMITS, topology=TOPOLOGY))

    run_simulation(main)


class RequestTest(unittest.TestCase):
    def test_back_ends_elsewhere_or_of_unknown_region_get_nothing(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            restrict(world, "far")
            for _ in range(REQUESTS):
                await world.generate(1)
                self.assertIsInstance(await world.call("GET"), ApplicationResponse)
            self.assertEqual(used_backends(world), {"engine-1", "server-1"})
            restrict(world)
            for _ in range(REQUESTS):
                await asyncio.gather(*(world.generate(1) for _ in world.engines))
            self.assertIn("engine-2", used_backends(world))

        simulate(scenario)

    def test_without_a_back_end_inside_requests_are_rejected_at_once_as_not_run(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            restrict(world, "elsewhere")
            error, reasons = await rejected_at_once(world)
            self.assertIs(error.execution, Execution.NOT_RUN)
            self.assertIsNotNone(error.retry_after_seconds)
            self.assertEqual(reasons.count(RejectionReason.REGION_NOT_ALLOWED), 3)
            self.assertEqual(used_backends(world), set())

        simulate(scenario)

    def test_broken_stream_does_not_resume_outside(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            restrict(world, "far")
            world.network.drop_responses(url_of("engine-1"))
            with self.assertRaises(RequestFailedError):
                await world.generate(TOKENS)
            self.assertEqual(used_backends(world), {"engine-1"})

        simulate(scenario)

    def test_region_taken_from_a_route_gets_no_retry_of_an_earlier_request(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            restrict(world, "near")
            request = asyncio.ensure_future(world.generate(TOKENS))
            await world.clock.sleep(0.05)
            self.assertEqual(used_backends(world), {"engine-0"})
            world.network.block_requests(url_of("engine-0"))
            restrict(world, "far")
            with self.assertRaises(RequestFailedError) as failed:
                await request
            self.assertIs(failed.exception.execution, Execution.MAY_HAVE_RUN)
            self.assertEqual(used_backends(world), {"engine-0"})

        simulate(scenario)

    def test_region_taken_from_an_unrestricted_route(self) -> None:
        async def scenario(world: RequestsWorld) -> None:
            restrict(world)
            requests = [asyncio.ensure_future(world.generate(TOKENS)) for _ in range(REQUESTS)]
            await world.clock.sleep(0.05)
            restrict(world, "near")
            for engine in world.engines[1:]:
                world.network.block_requests(url_of(engine.backend_id))
            await asyncio.gather(*requests)
            retried = [
                record.candidates[0].backend_id
                for number in range(REQUESTS)
                for record in world.decision_records(f"node~boot~{number + 1}")[1:]
            ]
            self.assertGreater(len(retried), 1)
            self.assertEqual(set(retried), {"engine-0"})

        simulate(scenario)


class ResourceTest(unittest.TestCase):
    def test_route_without_the_field_is_stored_as_before(self) -> None:
        """A release that does not know the field rejects a route that has it."""
        route = Route(name="r", route_kind=RouteKind.LIVE, model="m", selector=Selector())
        stored = msgspec.msgpack.encode(route)
        self.assertNotIn("allowed_regions", msgspec.msgpack.decode(stored))
        self.assertEqual(msgspec.msgpack.decode(stored, type=AnyResource), route)

    def test_rollout_route_may_not_be_restricted(self) -> None:
        """Nothing reads rollout routes, so the restriction would have no effect."""
        route = Route(
            name="r",
            route_kind=RouteKind.ROLLOUT,
            model="m",
            selector=Selector(),
            allowed_regions=("near",),
        )
        with self.assertRaises(InvalidResourceError):
            check_resource(route)
