"""A worker whose process stands still accepts requests, and reads them when it goes on."""

import asyncio
import unittest

from drumbay.forwarding.records import ForwardingError
from drumbay.forwarding.routes import RequestLimits, RoutingConfiguration
from drumbay.identifiers import BackendId
from tests.serving_world import ServingWorld, WorldNode, run_in_world
from tests.test_forwarding import LOOKUPS, request, route

NODE_COUNT = 9
WORKER_COUNT = 3
REQUEST_INTERVAL_SECONDS = 0.25
"""Between two requests of one node."""

PAUSE_COUNT = 5
PAUSE_SECONDS = 4.0
BETWEEN_PAUSES_SECONDS = 5.0
STANDSTILL_FACTOR = 10_000.0
"""Slows a worker down so much that it answers nothing during its pause."""

ALLOWED_LATE_SENDS = 20
"""Requests that may reach workers with too long a deadline, over a whole run."""


class PausedWorkers:
    """Pauses the workers of a world in turn, and counts what is sent to them meanwhile."""

    def __init__(self, world: ServingWorld) -> None:
        self._world = world
        self.sends: list[tuple[str, float]] = []

    async def run(self) -> None:
        clock = self._world.clock
        for number in range(PAUSE_COUNT):
            worker_id = BackendId(f"lookup-{number % WORKER_COUNT}")
            worker = self._world.workers[worker_id]
            began_at = clock.monotonic()
            worker.faults.slowdown = STANDSTILL_FACTOR
            await clock.sleep(PAUSE_SECONDS)
            worker.faults.slowdown = 1.0
            self.sends += [
                (arrival.request_id, arrival.at - began_at)
                for arrival in self._world.workers.arrivals
                if arrival.worker_id == worker_id and arrival.at >= began_at
            ]
            await clock.sleep(BETWEEN_PAUSES_SECONDS)


class UnresponsiveWorkerTest(unittest.TestCase):
    def test_few_requests_are_sent_to_workers_that_stand_still(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            nodes = start_nodes(world)
            await asyncio.sleep(3.0)
            paused = PausedWorkers(world)
            outcomes: list[str] = []
            pauses = asyncio.create_task(paused.run())
            async with asyncio.TaskGroup() as tasks:
                for number, node in enumerate(nodes):
                    tasks.create_task(send_until(pauses, world, node, number, outcomes))
            self.assertLessEqual(len(paused.sends), ALLOWED_LATE_SENDS, paused.sends)
            self.assertEqual(set(outcomes), {"served"})

        run_in_world(scenario, node_count=0)


def start_nodes(world: ServingWorld) -> list[WorldNode]:
    """Start nodes that know the workers of one service for lookups."""
    for number in range(WORKER_COUNT):
        world.workers.add(f"lookup-{number}", LOOKUPS)
    world.configuration = RoutingConfiguration(version=1, routes=(route(),), limits=RequestLimits())
    nodes = [WorldNode(world, number, 0) for number in range(1, NODE_COUNT + 1)]
    for node in nodes:
        node.lead()
    return nodes


async def send_until(
    pauses: "asyncio.Task[None]",
    world: ServingWorld,
    node: WorldNode,
    number: int,
    outcomes: list[str],
) -> None:
    """Send requests through a node at even intervals until all pauses are over."""

    async def send(name: str) -> None:
        try:
            await node.node.forwarder.forward(route(), request(name))
            outcomes.append("served")
        except ForwardingError as error:
            outcomes.append(error.code)

    await world.clock.sleep(number * REQUEST_INTERVAL_SECONDS / NODE_COUNT)
    count = 0
    async with asyncio.TaskGroup() as tasks:
        while not pauses.done():
            count += 1
            tasks.create_task(send(f"request-{number}-{count}"))
            await world.clock.sleep(REQUEST_INTERVAL_SECONDS)


if __name__ == "__main__":
    unittest.main()
