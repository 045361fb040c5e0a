"""An emulated trainer as a process that pulls samples from drumbay over HTTP."""

import asyncio
import ssl
from urllib.parse import quote

import msgspec

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import BackendError, ExchangeBrokenError
from drumbay.backends.responses import raise_for_status
from drumbay.clock import Clock
from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.standins.http_shell import EmulatorServer, JsonHandler
from drumbay.standins.simple_process import SimpleProcess
from drumbay.standins.trainer_model import PulledBatch, TrainerModel
from drumbay.tasks import TaskOwner

PULL_TIMEOUT_SECONDS = 10.0
MAX_BATCH_BYTES = 64 << 20


class HttpSampleSource:
    """Pulls samples from the first of several nodes that answers."""

    def __init__(
        self, connector: HttpConnector, node_urls: tuple[str, ...], token: str | None = None
    ) -> None:
        """Create a source; ``token`` is sent as a bearer token."""
        self._connector = connector
        self._node_urls = node_urls
        self._headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        self._current = 0

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> PulledBatch:
        """Return samples from ``cursor`` on; after a failure the next node is asked.

        Raises:
            UnavailableError: The node did not answer.
        """
        query = f"cursor={cursor}&max={max_samples}&oldest_version={oldest_version}"
        path = f"/v1/streams/{quote(stream, safe='')}/samples?{query}"
        call = HttpCall(
            method="GET",
            url=self._node_urls[self._current] + path,
            headers=self._headers,
            timeout_seconds=PULL_TIMEOUT_SECONDS,
        )
        try:
            return await self._pull(call)
        except BackendError:
            self._current = (self._current + 1) % len(self._node_urls)
            raise

    async def _pull(self, call: HttpCall) -> PulledBatch:
        answer = await self._connector.exchange(call)
        await raise_for_status(answer)
        body = await answer.body(MAX_BATCH_BYTES)
        try:
            return msgspec.json.decode(body, type=PulledBatch)
        except msgspec.DecodeError as error:
            raise ExchangeBrokenError(f"not a batch: {error}") from error


class TrainerProcess(SimpleProcess):
    """Runs a trainer; a crash loses the step under way, a restart goes back to a checkpoint.

    Attributes:
        checkpoints_lost: How many of the newest checkpoints the next restart passes over.
    """

    def __init__(self, trainer: TrainerModel, steps: int) -> None:
        """Create a process that trains up to a number of steps."""
        super().__init__()
        self.log = trainer.log
        self.checkpoints_lost = 0
        self._trainer = trainer
        self._steps = steps
        self._tasks = TaskOwner()
        self._run: asyncio.Task[None] | None = None

    @property
    def trainer(self) -> TrainerModel:
        """Return the trainer."""
        return self._trainer

    @property
    def finished(self) -> bool:
        """Whether all steps are trained."""
        return self._trainer.step >= self._steps

    def start(self) -> None:
        """Begin to train."""
        self._run = self._tasks.spawn(self._train(), "train")

    def crash(self) -> None:
        """End the process at once."""
        if self._run is not None:
            self._run.cancel()
        super().crash()

    def restart(self) -> None:
        """Go on from a checkpoint."""
        super().restart()
        self._run = self._tasks.spawn(self._recover(), "train")

    async def close(self) -> None:
        """End the training."""
        await self._tasks.close()

    async def _recover(self) -> None:
        saved = self._trainer.checkpoints
        kept = max(len(saved) - self.checkpoints_lost, 1)
        self.checkpoints_lost = 0
        await self._trainer.restart_from(saved[kept - 1])
        await self._train()

    async def _train(self) -> None:
        while not self.finished:
            await self._gate.passed()
            await self._trainer.run_steps(1)


class TrainerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /admin/status``."""

    step: int
    finished: bool
    weight_version: WeightVersion
    oldest_accepted_version: WeightVersion


class TrainerStatusHandler(JsonHandler):
    """``GET /admin/status``."""

    def initialize(self, process: TrainerProcess) -> None:
        """Store the process."""
        self._process = process

    def get(self) -> None:
        """Answer with the progress."""
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
    """``POST /faults/checkpoints``: the next restart begins from an older checkpoint."""

    def initialize(self, process: TrainerProcess) -> None:
        """Store the process."""
        self._process = process

    def post(self) -> None:
        """Set how many checkpoints are lost."""
        try:
            body = msgspec.json.decode(self.request.body, type=LoseCheckpointsBody)
        except msgspec.DecodeError as error:
            self.send_error_body(400, "invalid_body", str(error))
            return
        self._process.checkpoints_lost = max(body.lost, 0)
        self.send(body)


class TrainerServer:
    """Serves one emulated trainer; training begins with :meth:`start`."""

    def __init__(
        self,
        process: TrainerProcess,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 takes a free port."""
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
        """URL at which the trainer answers."""
        return self._server.base_url

    def start(self) -> None:
        """Bind the port, serve and begin to train."""
        self._server.start()
        self._process.start()

    async def stop(self) -> None:
        """End the training and stop serving."""
        await self._server.stop()
        await self._process.close()
