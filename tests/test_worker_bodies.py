"""Large request bodies in flight to one worker are limited."""

import asyncio
import unittest
from unittest import mock

from drumbay.exceptions import Execution
from drumbay.forwarding.records import NoWorkerError
from drumbay.forwarding.routes import RequestKind
from drumbay.limits import worker_bodies
from drumbay.limits.worker_bodies import (
    MAX_BODY_BYTES_PER_WORKER,
    SMALL_BODY_BYTES,
    may_send_body,
)
from drumbay.workers.records import WorkerResponse
from tests.serving_world import ServingWorld, run_in_world
from tests.test_forwarding import LOOKUPS, forwarder_of, request, route


class WorkerBodiesTest(unittest.TestCase):
    def test_may_send_body(self) -> None:
        most = MAX_BODY_BYTES_PER_WORKER
        large = SMALL_BODY_BYTES + 1
        table = [
            (0, 10, True),
            (0, 5 * most, True),
            (most - large, large, True),
            (most - large + 1, large, False),
            (5 * most, large, False),
            (5 * most, SMALL_BODY_BYTES, True),
        ]
        for in_flight_bytes, body_bytes, may_send in table:
            with self.subTest(in_flight_bytes=in_flight_bytes, body_bytes=body_bytes):
                self.assertEqual(may_send_body(in_flight_bytes, body_bytes), may_send)

    def test_large_bodies_do_not_pile_up_at_full_workers(self) -> None:
        """Of nine bodies of six bytes, three workers with a limit of ten bytes get one each."""

        async def scenario(world: ServingWorld) -> None:
            for number in range(3):
                world.workers.add(f"w{number}", LOOKUPS)
            forwarder = forwarder_of(world.clock, world.workers)
            at_most_once = route(RequestKind.AT_MOST_ONCE)
            found = await asyncio.gather(
                *(forwarder.forward(at_most_once, request(f"body-{n}")) for n in range(9)),
                return_exceptions=True,
            )
            responses = [response for response in found if isinstance(response, WorkerResponse)]
            refused = [error for error in found if isinstance(error, NoWorkerError)]
            self.assertEqual((len(responses), len(refused)), (3, 6))
            self.assertEqual({error.execution for error in refused}, {Execution.NOT_RUN})
            self.assertTrue(all(error.retry_after_seconds for error in refused))
            self.assertEqual(len(world.workers.runs), 3)
            again = await forwarder.forward(at_most_once, request("body-9"))
            self.assertEqual(again.body, b"body-9")

        with (
            mock.patch.object(worker_bodies, "MAX_BODY_BYTES_PER_WORKER", 10),
            mock.patch.object(worker_bodies, "SMALL_BODY_BYTES", 0),
        ):
            run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
