"""Tests of API keys over sockets: access, tenant headers and ownership of batch jobs."""

import asyncio
import base64
import json
import unittest

from tests.test_platform_serving import (
    HOST,
    TIMEOUT_SECONDS,
    ClientResponse,
    EdgeNode,
    ServingFixture,
    poll_until,
)

NORTH, SOUTH = "key-north", "key-south"


class TenantTest(ServingFixture):
    def configure_tenants(
        self,
        version: int,
        *,
        route_regions: tuple[str, ...] = (),
        tenant_regions: tuple[str, ...] = (),
        has_public_rollouts: bool = False,
        has_rollouts: bool = True,
        **keys: str,
    ) -> None:
        common = {"host": HOST, "timeoutMs": 20_000, "targetMs": 5_000, "attempts": 2}
        common["regionsAllowed"] = list(route_regions)
        lookups = {**common, "name": "l", "pathPrefix": "/l/", "kind": "idempotent"}
        rollouts = {**common, "name": "r", "pathPrefix": "/p/", "kind": "rollout"}
        public_lookups = {**lookups, "name": "o", "pathPrefix": "/o/", "public": True}
        routes = [
            {**lookups, "svc": "lookups"},
            {**public_lookups, "svc": "lookups"},
            {**rollouts, "svc": "engines", "public": has_public_rollouts},
        ][: 3 if has_rollouts else 2]
        tenants = [
            {"name": name, "apiKeys": [key], "regionsAllowed": tenant_regions}
            for name, key in keys.items()
        ]
        self.put("op/config", {"ver": version, "routes": routes, "tenants": tenants})

    async def fetch(
        self,
        method: str,
        target: str,
        key: str | None,
        body: bytes = b"",
        *,
        request_id: str = "r1",
        process: EdgeNode | None = None,
    ) -> ClientResponse:
        headers: tuple[tuple[str, str], ...] = (("X-Drumbay-Tenant", "forged"),)
        if key is not None:
            headers += (("Authorization", f"Bearer {key}"),)
        target_process = process or self.processes[0]
        return await target_process.fetch(
            method, target, body, request_id=request_id, headers=headers
        )

    async def test_only_known_keys_are_served_and_workers_get_the_tenant(self) -> None:
        self.configure_tenants(1, north=NORTH, south=SOUTH)
        await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for key in (None, "other"):
                self.assertEqual((await self.fetch("POST", "/l/1", key)).status, 401)
            self.assertEqual(self.workers.runs, [])
            self.assertEqual((await self.fetch("POST", "/l/1", SOUTH)).status, 200)
            self.assertEqual((await self.fetch("POST", "/o/1", None)).status, 200)
        tenants = [run.tenant for run in self.workers.runs]
        self.assertEqual(tenants, ["south", None])
        for run in self.workers.runs:
            sent = " ".join(f"{name}: {value}" for name, value in run.headers).lower()
            for private in (SOUTH, "authorization", "forged"):
                self.assertNotIn(private, sent)

    async def test_removed_key_is_rejected_and_added_key_accepted(self) -> None:
        self.configure_tenants(1, north=NORTH)
        await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual((await self.fetch("POST", "/l/1", NORTH)).status, 200)
            self.configure_tenants(2, south=SOUTH)

            async def is_added() -> bool:
                return (await self.fetch("POST", "/l/1", SOUTH)).status == 200

            await poll_until(is_added)
            self.assertEqual((await self.fetch("POST", "/l/1", NORTH)).status, 401)

    def batch(self) -> bytes:
        item = {
            "id": "item-1",
            "path": "/p/x",
            "headers": {"model": "m", "Authorization": f"Bearer {NORTH}"},
            "body": base64.b64encode(b"prompt").decode(),
            "numTokens": 50,
            "group": "g",
        }
        batch = {"trainStep": 1, "model": "m", "minVer": 1, "desired": 1, "requests": [item]}
        return json.dumps(batch).encode()

    async def test_open_batch_job_is_read_without_a_key_after_its_public_route_is_withdrawn(
        self,
    ) -> None:
        """Guards against a 401 for the trainer of an accepted batch job."""
        self.configure_tenants(1, has_public_rollouts=True, north=NORTH)
        await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            accepted = await self.fetch("POST", "/p/1", None, self.batch(), request_id="b1")
            self.assertEqual(accepted.status, 202)
            self.configure_tenants(2, has_rollouts=False, north=NORTH)

            async def is_withdrawn() -> bool:
                return (await self.fetch("POST", "/p/1", None, self.batch())).status == 404

            await poll_until(is_withdrawn)
            for _ in range(3):
                self.assertEqual((await self.fetch("GET", "/lots/b1?sinceRev=0", None)).status, 200)
            self.assertEqual((await self.fetch("DELETE", "/lots/b1", None)).status, 200)

    async def test_batch_job_of_a_tenant_stays_hidden_after_its_route_is_withdrawn(self) -> None:
        self.configure_tenants(1, north=NORTH, south=SOUTH)
        await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            accepted = await self.fetch("POST", "/p/1", NORTH, self.batch(), request_id="b1")
            self.assertEqual(accepted.status, 202)
            self.configure_tenants(2, has_rollouts=False, north=NORTH, south=SOUTH)

            async def is_withdrawn() -> bool:
                return (await self.fetch("POST", "/p/1", NORTH, self.batch())).status == 404

            await poll_until(is_withdrawn)
            for key, status in ((None, 404), (SOUTH, 404), (NORTH, 200)):
                response = await self.fetch("GET", "/lots/b1?sinceRev=0", key)
                self.assertEqual(response.status, status)

    async def test_batch_job_belongs_to_its_tenant_at_every_node(self) -> None:
        self.configure_tenants(1, north=NORTH, south=SOUTH)
        first = await self.start()
        second = self.processes[1]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for key in (None, "other"):
                refused = await self.fetch("POST", "/p/1", key, self.batch(), request_id="b1")
                self.assertEqual(refused.status, 401)
            accepted = await self.fetch("POST", "/p/1", NORTH, self.batch(), request_id="b1")
            self.assertEqual(accepted.status, 202)
            for process in (first, second):
                for method, target in (
                    ("GET", "/lots/b1?sinceRev=0"),
                    ("GET", "/items/b1?id=item-1"),
                    ("DELETE", "/lots/b1"),
                ):
                    foreign = await self.fetch(method, target, SOUTH, process=process)
                    self.assertEqual((method, foreign.status), (method, 404))
                    unknown = await self.fetch(method, target, None, process=process)
                    self.assertEqual((method, unknown.status), (method, 401))

            async def is_listed() -> bool:
                response = await self.fetch("GET", "/lots/b1?sinceRev=0", NORTH, process=second)
                return response.status == 200 and bool(json.loads(response.body)["results"])

            await poll_until(is_listed)
            self.assertEqual((await self.fetch("DELETE", "/lots/b1", NORTH)).status, 200)
            ended = await self.fetch("GET", "/lots/b1?sinceRev=0", SOUTH, process=second)
            self.assertEqual(ended.status, 404)
        (run,) = self.workers.runs_of("item-1")
        self.assertEqual(run.tenant, "north")
        self.assertNotIn("Authorization", dict(run.headers))

    async def test_batch_job_without_a_common_region_is_refused_unless_accepted_before(
        self,
    ) -> None:
        self.configure_tenants(1, north=NORTH)
        await self.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            accepted = await self.fetch("POST", "/p/1", NORTH, self.batch(), request_id="b1")
            self.assertEqual(accepted.status, 202)
            self.configure_tenants(2, route_regions=("a",), tenant_regions=("b",), north=NORTH)

            async def is_in_force() -> bool:
                response = await self.fetch("POST", "/l/1", NORTH)
                return response.status == 503 and "Retry-After" in response.headers

            await poll_until(is_in_force)
            refused = await self.fetch("POST", "/p/1", NORTH, self.batch(), request_id="b2")
            self.assertEqual((refused.status, "Retry-After" in refused.headers), (503, True))
            again = await self.fetch("POST", "/p/1", NORTH, self.batch(), request_id="b1")
            self.assertEqual(again.status, 202)
        stored = self.model.range_prefix("drumbay/")
        self.assertFalse([item.key for item in stored.items if "b2" in item.key])


if __name__ == "__main__":
    unittest.main()
