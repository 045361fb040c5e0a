"""Emulated trainer process that pulls samples from drumbay over HTTP."""

import asyncio
import ssl
from urllib.parse import quote

import msgspec

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import BackendError, ExchangeBrokenError
from drumbay.backends.responses import raise_for_status
from drumbay.clock import Clock
from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.standins.emulator_server import EmulatorServer, JsonHandler
from drumbay.standins.simple_process import SimpleProcess
from drumbay.standins.trainer_model import PulledBatch, TrainerModel
from drumbay.tasks import TaskOwner

PULL_TIMEOUT_SECONDS = 10.0
MAX_BATCH_BYTES = 64 << 20


class HttpSampleSource:
    """Pulls samples over HTTP, and switches to the next node after a failure."""

    def __init__(
        self, connector: HttpConnector, node_urls: tuple[str, ...], token: str | None = None
    ) -> None:
        """Create a source; ``token`` is sent as a bearer token."""
        self._connector = connector
        self._node_urls = node_urls
        self._headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        self._node_index = 0

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> PulledBatch:
        """Return samples starting at ``cursor``; the next call uses another node after a failure.

        Raises:
            UnavailableError: The node did not respond.
        """
        query = f"cursor={cursor}&max={max_samples}&oldest_version={oldest_version}"
        path = f"/v1/streams/{quote(stream, safe='')}/samples?{query}"
        call = HttpCall(
            method="GET",
            url=self._node_urls[self._node_index] + path,
            headers=self._headers,
            timeout_seconds=PULL_TIMEOUT_SECONDS,
        )
        try:
            return await self._pull(call)
        except BackendError:
            self._node_index = (self._node_index + 1) % len(self._node_urls)
            raise

    async def _pull(self, call: HttpCall) -> PulledBatch:
        response = await self._connector.exchange(call)
        await raise_for_status(response)
        body = await response.body(MAX_BATCH_BYTES)
        try:
            return msgspec.json.decode(body, type=PulledBatch)
        except msgspec.DecodeError as error:
            raise ExchangeBrokenError(f"not a batch: {error}") from error


class TrainerProcess(SimpleProcess):
    """Runs a trainer; a crash loses the current step, a restart restores a checkpoint.

    Attributes:
        checkpoints_lost: Number of newest checkpoints that the next restart skips.
    """

    def __init__(self, trainer: TrainerModel, steps: int) -> None:
        """Create a process that trains for a number of steps."""
        super().__init__()
        self.log = trainer.log
        self.checkpoints_lost = 0
        self._trainer = trainer
        self._steps = steps
        self._tasks = TaskOwner()
        self._training_task: asyncio.Task[None] | None = None

    @property
    def trainer(self) -> TrainerModel:
        """Return the trainer."""
        return self._trainer

    @property
    def finished(self) -> bool:
        """Whether all steps are completed."""
        return self._trainer.step >= self._steps

    def start(self) -> None:
        """Start training."""
        self._training_task = self._tasks.spawn(self._train(), "train")

    def crash(self) -> None:
        """Crash the process."""
        if self._training_task is not None:
            self._training_task.cancel()
        super().crash()

    def restart(self) -> None:
        """Restart training from a checkpoint."""
        super().restart()
        self._training_task = self._tasks.spawn(self._recover(), "train")

    async def close(self) -> None:
        """Stop training."""
        await self._tasks.close()

    async def _recover(self) -> None:
        saved_checkpoints = self._trainer.checkpoints
        kept_count = max(len(saved_checkpoints) - self.checkpoints_lost, 1)
        self.checkpoints_lost = 0
        await self._trainer.restart_from(saved_checkpoints[kept_count - 1])
        await self._train()

    async def _train(self) -> None:
        while not self.finished:
            await self._gate.wait_open()
            await self._trainer.run_steps(1)


class TrainerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Response of ``GET /admin/status``."""

    step: int
    finished: bool
    weight_version: WeightVersion
    oldest_accepted_version: WeightVersion


class TrainerStatusHandler(JsonHandler):
    """``GET /admin/status``."""

    def initialize(self, process: TrainerProcess) -> None:
        """Set the trainer process."""
        self._process = process

    def get(self) -> None:
        """Return the progress of the trainer."""
        trainer = self._process.trainer
        self.send(
            TrainerStatus(
                step=trainer.step,
                finished=self._process.finished,
                weight_version=trainer.version,
                oldest_accepted_version=trainer.oldest_accepted_version,
            )
        )


class LoseCheckpointsBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /faults/checkpoints``."""

    lost: int


class LoseCheckpointsHandler(JsonHandler):
    """``POST /faults/checkpoints``: make the next restart use an older checkpoint."""

    def initialize(self, process: TrainerProcess) -> None:
        """Set the trainer process."""
        self._process = process

    def post(self) -> None:
        """Set the number of checkpoints that the next restart skips."""
        try:
            body = msgspec.json.decode(self.request.body, type=LoseCheckpointsBody)
        except msgspec.DecodeError as error:
            self.send_error_body(400, "invalid_body", str(error))
            return
        self._process.checkpoints_lost = max(body.lost, 0)
        self.send(body)


class TrainerServer:
    """HTTP server of one emulated trainer."""

    def __init__(
        self,
        process: TrainerProcess,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 selects a free port."""
        self._process = process
        arguments = {"process": process}
        self._server = EmulatorServer(
            process,
            [
                (r"/admin/status", TrainerStatusHandler, arguments),
                (r"/faults/checkpoints", LoseCheckpointsHandler, arguments),
            ],
            clock,
            host=host,
            port=port,
            ssl_context=ssl_context,
        )

    @property
    def base_url(self) -> str:
        """Base URL of the trainer."""
        return self._server.base_url

    def start(self) -> None:
        """Bind the port, start serving and start training."""
        self._server.start()
        self._process.start()

    async def stop(self) -> None:
        """Stop serving and stop training."""
        await self._server.stop()
        await self._process.close()
