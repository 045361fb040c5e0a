"""Evacuated zones and allowed regions in force at node processes, from accepted on."""

import asyncio
import subprocess
import sys
import unittest

import msgspec

from drumbay.acceptance.calls import CallFailedError
from drumbay.api.schema import CompletionAnswer, CompletionBody
from drumbay.cli.errors import ExitCode
from drumbay.standins.execution_log import GenerationAccepted
from tests.process_deployment import Deployment, backend_group, live_route

TIMEOUT_SECONDS = 30.0
MODEL = "model"
ZONE = "zone-1"
LONG_TOKENS = 60
STEP_SECONDS = "0.1"
REQUESTS = 4


class PlacementTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        key_value = self.deployment.start_emulator("key-value", "key-value")
        for name in ("engine-1", "engine-2"):
            arguments = ("--name", name, "--model", MODEL, "--step-seconds", STEP_SECONDS)
            self.deployment.start_emulator(name, "engine", *arguments)
        self.deployment.start_nodes(key_value)
        await self.deployment.wait_ready()
        group = backend_group(self.deployment, "engine", MODEL, "engine-1", "engine-2")
        first, second = group.split("  - {id: engine-2")
        group = first + "  - {id: engine-2" + second.replace(ZONE, "zone-2")
        await self.deployment.apply(group, live_route(MODEL))

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        command = (sys.executable, "-m", "drumbay", *arguments)
        server = ("--server", self.deployment.url("node-1"))
        completed = await asyncio.to_thread(
            subprocess.run,
            (*command, *server),
            capture_output=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        return completed.returncode, completed.stdout.decode()

    async def complete(self, max_tokens: int) -> CompletionAnswer:
        body = CompletionBody(
            model=MODEL, prompt="p", max_tokens=max_tokens, target_tokens=max_tokens
        )
        url = self.deployment.url("node-1") + "/v1/completions"
        response = await self.deployment.caller.send("POST", url, msgspec.json.encode(body))
        return msgspec.json.decode(response.body, type=CompletionAnswer)

    async def accepted_by(self, engine: str) -> int:
        log = await self.deployment.execution_log(engine)
        return sum(isinstance(entry, GenerationAccepted) for entry in log)

    async def wait_until_accepted(self, count: int) -> None:
        while True:
            if await self.accepted_by("engine-1") + await self.accepted_by("engine-2") == count:
                return
            await asyncio.sleep(0.02)

    async def test_zone_gets_nothing_between_start_and_end_of_its_evacuation(self) -> None:
        under_way = [asyncio.ensure_future(self.complete(LONG_TOKENS)) for _ in range(REQUESTS)]
        await self.wait_until_accepted(REQUESTS)
        in_zone = await self.accepted_by("engine-1")
        self.assertGreater(in_zone, 0)
        code, text = await self.run_command("evacuate", ZONE, "--reason", "power works")
        self.assertEqual((code, text.split()[:2]), (0, [f"ZoneEvacuation/{ZONE}", "accepted"]))
        for _ in range(REQUESTS):
            await self.complete(1)
        self.assertEqual(await self.accepted_by("engine-1"), in_zone)
        self.assertFalse(all(request.done() for request in under_way))
        for answer in await asyncio.gather(*under_way):
            self.assertEqual(len(answer.token_ids), LONG_TOKENS)
        self.assertEqual(await self.accepted_by("engine-1"), in_zone)
        self.assertEqual(await self.accepted_by("engine-2"), 2 * REQUESTS - in_zone)

        _, text = await self.run_command("status")
        self.assertIn(f"evacuated zones {ZONE}", text)
        _, text = await self.run_command("get", "ZoneEvacuation")
        self.assertIn(f"zone {ZONE}", text)
        _, text = await self.run_command("explain", "backend", "engine-1")
        self.assertIn("zone_evacuated", text)
        await self.run_command("evacuate", "zone-2")
        with self.assertRaisesRegex(CallFailedError, "HTTP 503"):
            await self.complete(1)

        code, _ = await self.run_command("evacuate", ZONE, "--end")
        self.assertEqual(code, ExitCode.SUCCESS)
        await self.complete(1)
        self.assertEqual(await self.accepted_by("engine-1"), in_zone + 1)
        code, _ = await self.run_command("evacuate", ZONE, "--end")
        self.assertEqual(code, ExitCode.REFUSED)

    async def test_route_stays_in_the_regions_that_the_settings_name(self) -> None:
        """The settings of the node tell the region of its own zone, and not that of the other."""
        for region, served in (("elsewhere", 0), ("test", REQUESTS)):
            await self.deployment.apply(live_route(MODEL) + f"allowed_regions: [{region}]\n")
            for _ in range(served):
                await self.complete(1)
            if not served:
                with self.assertRaisesRegex(CallFailedError, "HTTP 503"):
                    await self.complete(1)
            self.assertEqual(await self.accepted_by("engine-1"), served)
            self.assertEqual(await self.accepted_by("engine-2"), 0)
