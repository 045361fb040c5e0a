"""Regression: several nodes ran a request that crashes its workers in the same moment.

Guards against runs at nodes that cannot know of each other's, at first and when a hold ends.
"""

import asyncio
import unittest
from contextlib import suppress
from functools import partial

import msgspec

from drumbay.exceptions import RequestFailedError
from drumbay.forwarding.routes import RequestKind
from drumbay.standins.crash_timing import CrashTiming
from tests.serving_world import ServingWorld, run_in_world
from tests.test_crashing_requests import (
    CRASHING_BODY,
    MAX_LATER_TRIES,
    MIN_CRASHES,
    RETRY_INTERVAL_SECONDS,
    add_lookup_workers,
    count_late_tries,
    request,
    route,
    start_nodes,
)

CALLS_AT_ONCE = 5
INTERVAL_SECONDS = 1.0
SIMULATED_SECONDS = 80.0
"""Longer than the hold that follows the third crash."""

MAX_CRASHES = 7
"""Three at first, when nothing is known, one for each run until the hold, and one after it."""


async def call_at_several_nodes(world: ServingWorld) -> list[str]:
    """Send the request to five nodes in one moment, each second, with or without answers."""
    names: list[str] = []
    while world.clock.monotonic() < SIMULATED_SECONDS:
        calls = []
        for node in world.nodes[:CALLS_AT_ONCE]:
            names.append(f"crashing-{len(names)}")
            calls.append(
                node.node.forwarder.forward(
                    route(RequestKind.IDEMPOTENT), request(names[-1], CRASHING_BODY)
                )
            )
        for outcome in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(outcome, BaseException) and not isinstance(outcome, RequestFailedError):
                raise outcome
        await asyncio.sleep(INTERVAL_SECONDS)
    return names


async def call_from_several_addresses(world: ServingWorld) -> list[str]:
    """Repeat the request at the nodes in turn, each time from another client without a key."""
    names: list[str] = []
    while world.clock.monotonic() < SIMULATED_SECONDS:
        names.append(f"crashing-{len(names)}")
        call = msgspec.structs.replace(
            request(names[-1], CRASHING_BODY), caller_address=f"10.1.0.{len(names)}"
        )
        forwarder = world.nodes[len(names) % len(world.nodes)].node.forwarder
        with suppress(RequestFailedError):
            await forwarder.forward(route(RequestKind.IDEMPOTENT), call)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    return names


class CrashesAtSeveralNodesTest(unittest.TestCase):
    def test_nodes_that_get_a_crashing_request_at_once_run_it_in_turn(self) -> None:
        async def scenario(timing: CrashTiming, world: ServingWorld) -> None:
            add_lookup_workers(world)
            world.workers.crashing_bodies.add(CRASHING_BODY)
            world.workers.crash_timings[CRASHING_BODY] = timing
            await start_nodes(world)
            names = await call_at_several_nodes(world)
            self.assertGreaterEqual(len(world.workers.crashes), MIN_CRASHES)
            self.assertLessEqual(len(world.workers.crashes), MAX_CRASHES)
            self.assertLessEqual(count_late_tries(world.workers, set(names)), MAX_LATER_TRIES)

        for timing in (CrashTiming.BEFORE_ANSWER, CrashTiming.AFTER_ANSWER):
            for node_count in (5, 7, 20):
                with self.subTest(timing=timing, nodes=node_count):
                    run_in_world(partial(scenario, timing), node_count=node_count)


class CrashesFromSeveralAddressesTest(unittest.TestCase):
    def test_request_without_a_key_is_the_same_from_each_address(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            world.workers.crashing_bodies.add(CRASHING_BODY)
            await start_nodes(world)
            names = await call_from_several_addresses(world)
            self.assertGreaterEqual(len(world.workers.crashes), MIN_CRASHES)
            self.assertLessEqual(count_late_tries(world.workers, set(names)), MAX_LATER_TRIES)

        run_in_world(scenario, node_count=7)
