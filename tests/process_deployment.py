"""Deployment of node and emulator processes on loopback, for tests."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from tornado.httpclient import HTTPResponse

from drumbay.acceptance.calls import Caller, CallFailedError
from drumbay.api.schema import StatusBody
from drumbay.clock import SystemClock
from drumbay.standins.execution_log import AnyExecutionRecord, ExecutionLogPage
from drumbay.standins.free_addresses import free_address

READY_TIMEOUT_SECONDS = 30.0
EXIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
NODE_COUNT = 3


class StateNotReachedError(AssertionError):
    """A process did not reach the expected state in time."""


class Deployment:
    """Three node processes and the emulator processes that a test adds.

    Attributes:
        caller: Sends HTTP requests.
        clock: System clock.
    """

    def __init__(self) -> None:
        """Create a working folder with a cluster key; no process is started."""
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._urls: dict[str, str] = {}
        self._commands: dict[str, tuple[str, ...]] = {}
        self.caller = Caller()
        self.clock = SystemClock()
        (self.folder / "cluster.key").write_bytes(os.urandom(32).hex().encode())

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return self._urls[name]

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a started process."""
        return self._processes[name]

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def start_emulator(self, name: str, kind: str, *arguments: str) -> str:
        """Start an emulator process and return its URL."""
        address = free_address()
        self._urls[name] = f"http://{address}"
        listen = ("--host", address.host, "--port", str(address.port))
        self._commands[name] = ("standin", kind, *listen, *arguments)
        self.restart(name)
        return self._urls[name]

    def start_nodes(
        self, key_value_url: str, lame_duck_seconds: tuple[float, ...] = (0.5, 0.5, 0.5)
    ) -> None:
        """Start the nodes ``node-1`` to ``node-3``, each with a data folder."""
        peers = [free_address() for _ in range(NODE_COUNT)]
        seeds = ", ".join(f'"{peer}"' for peer in peers)
        for index, peer in enumerate(peers):
            name = f"node-{index + 1}"
            http_address = free_address()
            settings = self.folder / f"{name}.toml"
            settings.write_text(f"""node_id = "{name}"
zone = "zone-{index + 1}"
region = "test"
data_folder = "{self.folder}/{name}-data"
[http]
host = "{http_address.host}"
port = {http_address.port}
[peers]
host = "{peer.host}"
port = {peer.port}
cluster_key_file = "cluster.key"
seeds = [{seeds}]
[key_value]
urls = ["{key_value_url}"]
[stop]
lame_duck_seconds = {lame_duck_seconds[index]}
""")
            self._urls[name] = f"http://{http_address}"
            self._commands[name] = ("node", "--settings", str(settings))
            self.restart(name)

    def restart(self, name: str) -> None:
        """Start a process with its recorded command line."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                (sys.executable, "-m", "drumbay", *self._commands[name]),
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    async def wait_end(self, name: str, timeout_seconds: float = EXIT_TIMEOUT_SECONDS) -> int:
        """Wait until a process exits and return its exit status."""
        process = self._processes[name]
        deadline = self.clock.monotonic() + timeout_seconds
        while process.poll() is None:
            if self.clock.monotonic() > deadline:
                raise StateNotReachedError(f"{name} did not exit:\n{self.log_text(name)[-2000:]}")
            await self.clock.sleep(POLL_SECONDS)
        return process.returncode

    async def wait_until_ok(self, name: str, path: str) -> HTTPResponse:
        """Wait until a GET request to a process succeeds."""
        deadline = self.clock.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            try:
                return await self.caller.send("GET", self._urls[name] + path)
            except CallFailedError as error:
                if self.clock.monotonic() > deadline:
                    raise StateNotReachedError(
                        f"{name}{path}: {error}\n{self.log_text(name)[-2000:]}"
                    ) from error
            await self.clock.sleep(POLL_SECONDS)

    async def wait_ready(self) -> None:
        """Wait until every node reports that it is ready."""
        for index in range(NODE_COUNT):
            await self.wait_until_ok(f"node-{index + 1}", "/readyz")

    async def status(self, name: str) -> StatusBody:
        """Return the status of a node."""
        return await self.caller.get(self._urls[name] + "/v1/status", StatusBody)

    async def apply(self, *resources: str) -> None:
        """Apply YAML resources at the first node, and wait until all nodes have that revision."""
        await asyncio.to_thread(self._run_apply, resources)
        revision = (await self.status("node-1")).configuration_revision
        deadline = self.clock.monotonic() + READY_TIMEOUT_SECONDS
        for index in range(1, NODE_COUNT):
            while (await self.status(f"node-{index + 1}")).configuration_revision < revision:
                if self.clock.monotonic() > deadline:
                    raise StateNotReachedError(f"node-{index + 1} lacks revision {revision}")
                await self.clock.sleep(POLL_SECONDS)

    def _run_apply(self, resources: tuple[str, ...]) -> None:
        file = self.folder / "resources.yaml"
        file.write_text("\n---\n".join(resources))
        command = (sys.executable, "-m", "drumbay", "apply", "-f", str(file))
        completed = subprocess.run(
            (*command, "--server", self._urls["node-1"]),
            capture_output=True,
            timeout=READY_TIMEOUT_SECONDS,
            check=False,
        )
        if completed.returncode != 0:
            raise StateNotReachedError(f"apply failed: {completed.stdout!r} {completed.stderr!r}")

    async def execution_log(self, name: str) -> list[AnyExecutionRecord]:
        """Return the execution log of an emulator."""
        records: list[AnyExecutionRecord] = []
        while True:
            url = f"{self._urls[name]}/log?first={len(records)}"
            page = await self.caller.get(url, ExecutionLogPage)
            records.extend(page.records)
            if not page.records or len(records) >= page.total:
                return records

    async def arm_fault(self, name: str, path: str, body: msgspec.Struct) -> None:
        """Send a fault command to an emulator."""
        await self.caller.send("POST", self._urls[name] + path, msgspec.json.encode(body))

    def close(self) -> None:
        """Kill all started processes and remove the working folder."""
        self.caller.close()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        self._folder.cleanup()


def backend_group(deployment: Deployment, kind: str, model: str | None, *names: str) -> str:
    """Return the YAML of a backend group with the named emulators."""
    model_line = f"model: {model}\n" if model else ""
    backends = "".join(
        f'  - {{id: {name}, url: "{deployment.url(name)}", zone: zone-1}}\n' for name in names
    )
    header = f"kind: BackendGroup\nname: {kind}s\nbackend_kind: {kind}\n{model_line}"
    return f"{header}labels: {{pool: {kind}s}}\nbackends:\n{backends}"


def live_route(model: str) -> str:
    """Return the YAML of a live route for a model to all engines."""
    return f"kind: Route\nname: live\nroute_kind: live\nmodel: {model}\nselector: {{}}\n"
