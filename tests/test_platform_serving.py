"""Tests over sockets of a serving node behind the adapter: requests, batch jobs, shutdown."""

import asyncio
import base64
import json
import random
import unittest
from collections.abc import Awaitable, Callable

from drumbay_platform.feeds import NodeFeeds
from drumbay_platform.ingress import Ingress
from drumbay_platform.store import PlatformStore
from drumbay_soak.store_server import PlatformStoreServer

from drumbay.batches.owners import ServiceIdentity
from drumbay.clock import SystemClock
from drumbay.comm.http_exchange import HttpExchange, HttpRequest
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import WeightVersion
from drumbay.kv.interface import Put
from drumbay.peers.transport import HttpPeerClient, PeerServer
from drumbay.serving.node import ServingNode
from drumbay.serving.planned_stop import PlannedStop
from drumbay.serving.settings import ServingEnvironment, ServingSettings
from drumbay.standins.free_addresses import free_address
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.worker_pool import EmulatedWorkerPool, full_text

HOST = "h.example"
TIMEOUT_SECONDS = 30.0
SLOW_BODY_SECONDS = 0.5
"""Timeout of each test."""


async def poll_until(check: Callable[[], Awaitable[bool]]) -> None:
    """Poll until a check holds."""
    while True:
        if await check():
            return
        await asyncio.sleep(0.02)


class ClientResponse:
    """Response received by a client."""

    def __init__(self, exchange: HttpExchange, status: int, body: bytes) -> None:
        self.status = status
        self.headers = exchange.headers
        self.body = body


class EdgeNode:
    """One node with its servers, assembled as in the edge process."""

    def __init__(
        self,
        store: PlatformStoreServer,
        workers: EmulatedWorkerPool,
        *,
        stop_seconds: float = 2.0,
    ) -> None:
        clock = SystemClock()
        self.peer_address = free_address()
        self.front = free_address()
        self.ready = free_address()
        settings = ServingSettings(
            machine=str(self.peer_address),
            zone="z",
            identity=ServiceIdentity(address=self.peer_address, boot="boot"),
            stop_seconds=stop_seconds,
            turn_away_seconds=0.2,
        )
        environment = ServingEnvironment(
            clock=clock,
            store=PlatformStore(clock, store.address),
            workers=workers,
            peers=HttpPeerClient(clock),
            generator=random.Random(1),
        )
        self.node = ServingNode(settings, environment)
        self.peers = PeerServer(self.node.handle_peer, self.node.metrics.render)
        self.ingress = Ingress(self.node)

    def start(self) -> None:
        self.peers.listen(self.peer_address)
        self.ingress.listen(self.front, self.ready)
        self.node.start(NodeFeeds(self.node, drain_seconds=2.0).feeds())

    async def stop(self) -> None:
        await PlannedStop(SystemClock(), self.node, self.ingress, self.peers).run()

    async def fetch(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        host: str = HOST,
        address: NetworkAddress | None = None,
        request_id: str = "r1",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> ClientResponse:
        request = HttpRequest(
            method=method,
            target=target,
            headers=(
                ("Host", host),
                ("X-Drumbay-Attempt-Id", request_id),
                ("X-Drumbay-Deadline-Ms", "20000"),
                ("X-Drumbay-Wait-Ms", "1000"),
                *headers,
            ),
            body=body,
        )
        exchange = await HttpExchange.open(address or self.front, request, 5.0)
        try:
            status = await exchange.read_status()
            return ClientResponse(exchange, status, await exchange.read_body())
        finally:
            exchange.close()

    async def wait_until_ready(self) -> None:
        async def is_ready() -> bool:
            return (await self.fetch("GET", "/readyz", address=self.ready)).status == 200

        await poll_until(is_ready)


class ServingFixture(unittest.IsolatedAsyncioTestCase):
    """Two nodes with a shared store, a lookup worker and an engine."""

    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.model = KeyValueModel(clock, generator=random.Random(1))
        self.store = PlatformStoreServer(self.model)
        self.addAsyncCleanup(self.store.close)
        self.workers = EmulatedWorkerPool(clock, seconds_per_event=0.005, response_seconds=0.005)
        self.workers.add("w1", "lookups")
        self.workers.add("w2", "engines", {"m": WeightVersion(1)})
        for worker in self.workers.entries():
            entry = {
                "svc": worker.service,
                "addr": str(worker.address),
                "zone": worker.zone,
                "ver": "v1",
                "slots": worker.slots,
                "state": "ready",
                "warmupLeftMs": 0,
                "seq": 1,
                "models": [{"name": m, "ver": v} for m, v in worker.versions.items()],
            }
            self.put(f"servers/{worker.worker_id}", entry)
        self.processes = [EdgeNode(self.store, self.workers) for _ in range(2)]

    def put(self, key: str, value: object) -> None:
        self.model.transact((), (Put(key=key, value=json.dumps(value).encode()),))

    def configure(self, version: int, *lookup_prefixes: str) -> None:
        common = {"host": HOST, "timeoutMs": 20_000, "targetMs": 5_000, "attempts": 2}
        routes = [
            {**common, "name": p, "pathPrefix": p, "kind": "idempotent", "svc": "lookups"}
            for p in lookup_prefixes
        ]
        rollouts = {**common, "name": "r", "pathPrefix": "/p/", "kind": "rollout"}
        self.put("op/config", {"ver": version, "routes": [*routes, {**rollouts, "svc": "engines"}]})

    async def start(self) -> EdgeNode:
        for process in self.processes:
            process.start()
            self.addAsyncCleanup(process.stop)
        for process in self.processes:
            await process.wait_until_ready()
        return self.processes[0]


class ServingTest(ServingFixture):
    async def test_a_node_without_a_configuration_is_not_ready_and_rejects_requests(self) -> None:
        process = self.processes[0]
        process.start()
        self.addAsyncCleanup(process.stop)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            ready = await process.fetch("GET", "/readyz", address=process.ready)
            self.assertEqual(ready.status, 503)
            response = await process.fetch("POST", "/l/1")
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
            self.configure(1, "/l/")
            await process.wait_until_ready()
            self.assertEqual((await process.fetch("POST", "/l/1", b"x")).status, 200)

    async def test_lookups_and_routes(self) -> None:
        self.configure(1, "/l/")
        process = await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            response = await process.fetch("POST", "/l/1", b"question")
            self.assertEqual((response.status, response.body), (200, b"question"))
            self.assertEqual((await process.fetch("POST", "/none/1")).status, 404)
            self.assertEqual((await process.fetch("POST", "/l/1", host="other")).status, 404)
            self.configure(3, "/n/")

            async def is_added() -> bool:
                return (await process.fetch("POST", "/n/1")).status == 200

            await poll_until(is_added)
            self.assertEqual((await process.fetch("POST", "/l/1")).status, 404)

    async def test_time_in_which_a_body_arrives_is_not_given_to_workers(self) -> None:
        self.configure(1, "/l/")
        process = await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(process.front.host, process.front.port)
            self.addCleanup(writer.close)
            head = (
                f"POST /l/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Drumbay-Attempt-Id: slow\r\n"
                "X-Drumbay-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\n"
            )
            writer.write(head.encode())
            await asyncio.sleep(SLOW_BODY_SECONDS)
            writer.write(b"body")
            await reader.readuntil(b"200 OK")
        (run,) = self.workers.runs_of("slow")
        self.assertLess(run.budget_seconds, 1.5 - SLOW_BODY_SECONDS + 0.1)

    async def test_metrics_are_served_at_the_peer_address(self) -> None:
        self.configure(1, "/l/")
        process = await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await process.fetch("POST", "/l/1", b"question")
            response = await process.fetch("GET", "/metrics", address=process.peer_address)
        self.assertIn(
            b'drumbay_serving_requests_total{outcome="answered",route="/l/"} 1.0', response.body
        )
        self.assertIn(b"drumbay_serving_store_seconds_bucket", response.body)

    async def test_a_batch_job_can_be_used_through_any_node(self) -> None:
        self.configure(1, "/l/")
        first = await self.start()
        second = self.processes[1]
        items = [
            {
                "id": f"item-{number}",
                "path": "/p/x",
                "headers": {"model": "m"},
                "body": base64.b64encode(b"prompt").decode(),
                "numTokens": 50,
                "group": "g",
            }
            for number in range(6)
        ]
        batch = {"trainStep": 1, "model": "m", "minVer": 1, "desired": 1, "requests": items}
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for process in (first, second):
                response = await process.fetch(
                    "POST", "/p/1", json.dumps(batch).encode(), request_id="b1"
                )
                self.assertEqual(response.status, 202)
            body = await second.fetch("GET", "/items/b1?id=item-3")
            self.assertEqual((body.status, body.body), (200, b"prompt"))
            results: list[dict[str, object]] = []
            while len(results) < 6:
                response = await second.fetch("GET", f"/lots/b1?sinceRev={len(results)}")
                page = json.loads(response.body)
                results.extend(page["results"])
                self.assertEqual(page["nextToken"], len(results))
                self.assertEqual(page["total"], 6)
            for result in results:
                self.assertEqual(result["state"], "done")
                self.assertEqual(result["text"], full_text(str(result["id"])))
                self.assertEqual(result["versions"], [1])
            for _ in range(2):
                self.assertEqual((await second.fetch("DELETE", "/lots/b1")).status, 200)
            for process in (first, second):
                page = json.loads((await process.fetch("GET", "/lots/b1?sinceRev=0")).body)
                self.assertEqual(page["results"], results)
            self.assertEqual((await first.fetch("GET", "/lots/none")).status, 404)
            self.assertEqual((await first.fetch("POST", "/p/1", b"{}")).status, 400)

    def scored_batch(self, scorer: object) -> bytes:
        item = {
            "id": "item-1",
            "path": "/p/x",
            "headers": {"model": "m"},
            "body": base64.b64encode(b"prompt").decode(),
            "numTokens": 50,
            "group": "g",
            "scorer": scorer,
        }
        batch = {"trainStep": 1, "model": "m", "minVer": 1, "desired": 1, "requests": [item]}
        return json.dumps(batch).encode()

    async def test_a_result_holds_the_stamp_of_its_reward_call(self) -> None:
        self.configure(1, "/l/")
        process = await self.start()
        scorer = {
            "id": "score-1",
            "host": HOST,
            "path": "/l/score",
            "body": base64.b64encode(b"text").decode(),
        }
        async with asyncio.timeout(TIMEOUT_SECONDS):
            response = await process.fetch(
                "POST", "/p/1", self.scored_batch(scorer), request_id="b1"
            )
            self.assertEqual(response.status, 202)
            page: dict[str, list[dict[str, object]]] = {"results": []}
            while not page["results"]:
                page = json.loads((await process.fetch("GET", "/lots/b1?sinceRev=0")).body)
            (call,) = self.workers.runs_of("score-1")
            self.assertEqual(page["results"][0]["score"], call.stamp)

    async def test_a_batch_job_with_an_invalid_scorer_is_rejected(self) -> None:
        self.configure(1, "/l/")
        process = await self.start()
        valid = {"id": "score-1", "host": HOST, "path": "/l/score", "body": ""}
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for invalid in ({"id": ""}, {"host": ""}, {"path": "l"}, {"body": "%"}, {"id": 7}):
                body = self.scored_batch({**valid, **invalid})
                response = await process.fetch("POST", "/p/1", body, request_id="b1")
                self.assertEqual(response.status, 400)
            self.assertEqual((await process.fetch("GET", "/lots/b1?sinceRev=0")).status, 404)
            self.assertEqual(self.workers.runs, [])

    async def test_a_graceful_shutdown_completes_open_requests(self) -> None:
        self.configure(1, "/l/")
        process = await self.start()
        self.workers["w1"].faults.slowdown = 100.0
        async with asyncio.timeout(TIMEOUT_SECONDS):
            open_request = asyncio.ensure_future(process.fetch("POST", "/l/1", b"slow"))

            async def is_running() -> bool:
                return bool(self.workers.runs)

            await poll_until(is_running)
            stop = asyncio.ensure_future(process.node.stop())
            await asyncio.sleep(0)
            ready = await process.fetch("GET", "/readyz", address=process.ready)
            self.assertEqual(ready.status, 503)
            self.assertEqual((await open_request).status, 200)
            await stop


if __name__ == "__main__":
    unittest.main()
