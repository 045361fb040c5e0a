"""Streams the text of an item from a worker to the scheduler."""

from collections.abc import Callable

from drumbay.batches.answer_losses import AnswerLosses
from drumbay.batches.decisions import StartRun
from drumbay.batches.records import BatchSpec, ItemId
from drumbay.batches.scheduler import BatchScheduler
from drumbay.clock import Clock
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient, WorkerStream
from drumbay.workers.records import Worker, WorkerMisdirectedError, WorkerRequest
from drumbay.workers.worker_record import WorkerRecord

RUN_BUDGET_SECONDS = 30.0
"""Time limit of a run; longer than the generation of the longest text."""


class ItemStreams:
    """Sends the items of one batch job to workers and passes on what these stream.

    The directory learns each worker's load, weight version and pace from the streams.
    """

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        placement: PlacementGate,
        allowed_regions: Callable[[], AllowedRegions],
        losses: AnswerLosses,
        spec: BatchSpec,
        scheduler: BatchScheduler,
    ) -> None:
        """Create the streams of a batch job.

        ``placement`` decides which workers may get an item, ``allowed_regions`` returns the regions
        in which items may run now, ``losses`` learns which workers send answers.
        """
        self._clock = clock
        self._directory = directory
        self._client = client
        self._placement = placement
        self._allowed_regions = allowed_regions
        self._losses = losses
        self._spec = spec
        self._scheduler = scheduler
        self._answered: set[ItemId] = set()

    def has_answered(self, item_id: ItemId) -> bool:
        """Return whether the worker of an item's last run has accepted it."""
        return item_id in self._answered

    async def run(self, start: StartRun, record: WorkerRecord) -> None:
        """Send an item to a worker; return at the end of its stream.

        Raises:
            WorkerNotEligibleError: The worker must not get the item now; it was not sent.
            WorkerError: The stream did not end as it should.
        """
        item = start.item
        self._answered.discard(item.item_id)
        request = WorkerRequest(
            request_id=item.item_id,
            method="POST",
            target=item.target,
            host=self._spec.host,
            headers=item.headers,
            body=item.body,
            budget_seconds=RUN_BUDGET_SECONDS,
            resume_after=start.resume_after,
            priority=start.priority,
            repeatable=True,
            fresh_connection=start.fresh_connection,
            tenant=self._spec.tenant,
            allowed_regions=self._allowed_regions,
        )
        self._placement.admit(record.worker, request.allowed_regions(), item.item_id)
        async with self._client.stream(record.worker, request) as stream:
            self._handle_head(item.item_id, record.worker, stream)
            await self._pass_on_events(item.item_id, record.worker, stream)

    def _handle_head(self, item_id: ItemId, worker: Worker, stream: WorkerStream) -> None:
        now = self._clock.monotonic()
        self._answered.add(item_id)
        self._losses.record_activity(worker.incarnation, now)
        self._losses.record_answer(item_id, now)
        worker_id = worker.worker_id
        worker_start = worker.started_at_ms
        model = self._spec.model
        self._directory.observe_acceptance(worker_id, model, worker_start)
        if stream.load is not None:
            self._directory.observe_load(worker_id, stream.load, now, worker_start)
        if stream.version is None:
            return
        self._directory.observe_version(worker_id, model, stream.version, now, worker_start)
        if not self._scheduler.handle_response_head(item_id, stream.version, now):
            raise WorkerMisdirectedError(
                f"worker {worker_id} has unusable weight version {stream.version}"
            )

    async def _pass_on_events(self, item_id: ItemId, worker: Worker, stream: WorkerStream) -> None:
        worker_id = worker.worker_id
        worker_start = worker.started_at_ms
        model = self._spec.model
        async for events in stream.events():
            now = self._clock.monotonic()
            self._losses.record_activity(worker.incarnation, now)
            for event in events:
                elapsed = self._scheduler.handle_event(
                    item_id, event, now, arrived_alone=len(events) == 1
                )
                if elapsed is not None:
                    self._directory.observe_event_interval(worker_id, elapsed, now, worker_start)
                self._directory.observe_version(worker_id, model, event.version, now, worker_start)
