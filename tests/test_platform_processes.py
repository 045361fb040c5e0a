"""Platform programs as real processes: start, settings, signals, graceful shutdown."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import unittest
from asyncio.subprocess import PIPE, Process
from pathlib import Path

from drumbay_soak.store_server import PlatformStoreServer

from drumbay.clock import SystemClock
from drumbay.comm.http_exchange import (
    ExchangeBrokenError,
    ExchangeNotSentError,
    HttpExchange,
    HttpRequest,
)
from drumbay.kv.interface import Put
from drumbay.standins.free_addresses import free_address
from drumbay.standins.kv_model import KeyValueModel

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 60.0
"""Timeout of each step, generous enough for a busy machine."""


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.model = KeyValueModel(SystemClock(), generator=random.Random(1))
        self.store = PlatformStoreServer(self.model)
        self.addAsyncCleanup(self.store.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings_file = Path(folder.name) / "settings.conf"
        self.ready = free_address()
        self.write_settings()

    def write_settings(self, **changes: str) -> None:
        peer_address = free_address()
        fields = {
            "node": "machine-1",
            "ip": peer_address.host,
            "zone": "z",
            "listen.front": str(free_address()),
            "listen.ready": str(self.ready),
            "portRange": f"{peer_address.port},0",
            "bounds.graceS": "6",
            "platform.addr": str(self.store.address),
            **changes,
        }
        lines = [f"{name}={value}\n" for name, value in fields.items() if value]
        self.settings_file.write_text("".join(lines))

    async def start(self, *arguments: str) -> Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run.py"),
            *arguments,
            stdout=PIPE,
            env={**os.environ, "DRUMBAY_NODE_FILE": str(self.settings_file)},
        )
        self.addCleanup(self.kill_if_running, process)
        return process

    @staticmethod
    def kill_if_running(process: Process) -> None:
        if process.returncode is None:
            process.kill()

    async def wait_for_line(self, process: Process, word: str) -> str:
        """Return the first line of output that contains ``word``."""
        assert process.stdout is not None
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while line := (await process.stdout.readline()).decode():
                if word in line:
                    return line
        raise AssertionError(f"the output ended without {word}")

    async def readiness_status(self) -> int | None:
        headers = (("Host", str(self.ready)),)
        request = HttpRequest(method="GET", target="/readyz", headers=headers)
        try:
            exchange = await HttpExchange.open(self.ready, request, 1.0)
            try:
                return await exchange.read_status()
            finally:
                exchange.close()
        except (ExchangeNotSentError, ExchangeBrokenError):
            return None

    def put(self, key: str, value: object) -> None:
        self.model.transact((), (Put(key=key, value=json.dumps(value).encode()),))

    async def test_edge_process_serves_and_shuts_down_gracefully(self) -> None:
        process = await self.start("edge")
        await self.wait_for_line(process, "event=serving_started")
        self.assertEqual(await self.readiness_status(), 503)
        self.put("op/config", {"ver": 1, "routes": []})
        await self.wait_for_line(process, "event=routes_in_force")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                if await self.readiness_status() == 200:
                    break
                await asyncio.sleep(0.05)
            process.send_signal(signal.SIGHUP)
            await self.wait_for_line(process, "event=settings_changed")
            self.assertEqual(await self.readiness_status(), 200)
            process.send_signal(signal.SIGTERM)
            await self.wait_for_line(process, "event=serving_stopped")
            self.assertEqual(await process.wait(), 0)

    async def test_a_storage_process_outlives_sighup_and_says_that_it_is_empty(self) -> None:
        process = await self.start("storage")
        await self.wait_for_line(process, "event=storage_started")
        process.send_signal(signal.SIGHUP)
        await self.wait_for_line(process, "event=settings_changed")
        self.put("op/retire/machine-1", {"deadlineS": 10})
        await self.wait_for_line(process, "event=retire_reported")
        (status,) = self.model.range_prefix("status/retire/machine-1").items
        self.assertEqual(json.loads(status.value), {"state": "done"})
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await process.wait(), 0)

    async def test_settings_are_validated_before_startup(self) -> None:
        process = await self.start("check")
        line = await self.wait_for_line(process, "event=settings_usable")
        self.assertIn("zone=z", line)
        for arguments, changes, word in (
            (("edge",), {"platform.addr": ""}, "platform.addr"),
            (("edge",), {"listen.front": ""}, "listen.front"),
            (("edge",), {"portRange": "many"}, "many"),
            (("other",), {}, "edge, storage, check"),
            ((), {}, "edge, storage, check"),
        ):
            self.write_settings(**changes)
            process = await self.start(*arguments)
            self.assertIn(word, await self.wait_for_line(process, "event=settings_not_usable"))
            async with asyncio.timeout(TIMEOUT_SECONDS):
                self.assertEqual(await process.wait(), 2)


class StartTest(unittest.TestCase):
    def test_sighup_during_startup_does_not_end_the_process(self) -> None:
        """Guards against SIGHUP during imports, before its handler is installed.

        The default action of SIGHUP would end the process.
        """
        driver = (
            "import os, runpy, signal, sys, types\n"
            "module = types.ModuleType('drumbay_platform.main')\n"
            "def hang_up(name):\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n"
            "    return lambda arguments: print('alive')\n"
            "module.__getattr__ = hang_up\n"
            "sys.modules['drumbay_platform'] = types.ModuleType('drumbay_platform')\n"
            "sys.modules['drumbay_platform.main'] = module\n"
            f"runpy.run_path({str(ROOT / 'platform' / 'run.py')!r}, run_name='__main__')\n"
        )
        ended = subprocess.run(
            [sys.executable, "-c", driver],
            capture_output=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        self.assertEqual((ended.returncode, ended.stdout), (0, b"alive\n"))


if __name__ == "__main__":
    unittest.main()
