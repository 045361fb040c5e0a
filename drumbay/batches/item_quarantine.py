"""Applies the node's records of crashed workers to the items of a batch job."""

from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from drumbay.batches.decisions import StartLimits
from drumbay.batches.records import BatchItem, BatchSpec, ItemId
from drumbay.identifiers import BackendId
from drumbay.quarantine.fingerprint import Fingerprint, fingerprint_of
from drumbay.quarantine.records import CrashPolicy, Decision, Verdict
from drumbay.quarantine.service import Quarantine
from drumbay.workers.records import (
    Worker,
    WorkerBrokenError,
    WorkerError,
    WorkerFailedError,
    WorkerRejectedError,
)

CrashListener = Callable[[ItemId, Worker], None]
"""Called with an item and the worker that crashed while it ran the item."""


class _ActiveRun(msgspec.Struct, frozen=True):
    """A run of an item on a worker, with its monotonic start time."""

    item: BatchItem
    worker: Worker
    started_at: float


class ItemQuarantine:
    """Queries the node's quarantine for items and reports the outcomes of their runs to it."""

    def __init__(self, quarantine: Quarantine, spec: BatchSpec) -> None:
        """Create the quarantine view of a batch job's items."""
        self._quarantine = quarantine
        self._spec = spec
        self._fingerprints: dict[ItemId, Fingerprint] = {}
        self._runs: dict[ItemId, _ActiveRun] = {}
        self._logged_held_back: set[ItemId] = set()

    def limits(self, waiting: Iterable[BatchItem], service: str) -> StartLimits:
        """Return which items that wait for a service are held back and which must run isolated.

        Items under which workers have crashed at least twice in a row back off, and then start
        isolated, a few at a time, and only one of several identical requests. All of that ends soon
        after the last crash, since an item must run however often workers crash under it.
        """
        if self._quarantine.is_idle:
            return StartLimits()
        held_back: set[ItemId] = set()
        isolated: set[ItemId] = set()
        isolated_workers: frozenset[BackendId] = frozenset()
        starting: set[Fingerprint] = set()
        for item in waiting:
            fingerprint = self._fingerprint(item)
            if not self._quarantine.is_tracked(fingerprint):
                continue
            verdict = self._quarantine.verdict(
                fingerprint, service, len(isolated), CrashPolicy.RETRY
            )
            if verdict.decision is not Decision.RUN or fingerprint in starting:
                self._log_held_back(item, fingerprint, verdict)
                held_back.add(item.item_id)
            elif verdict.is_trial:
                starting.add(fingerprint)
                isolated.add(item.item_id)
                isolated_workers = verdict.avoided_workers
        self._logged_held_back &= held_back
        return StartLimits(
            held_back=frozenset(held_back),
            isolated=frozenset(isolated),
            isolated_workers=isolated_workers,
        )

    def _log_held_back(self, item: BatchItem, fingerprint: Fingerprint, verdict: Verdict) -> None:
        """Log an item once for each period in which it is held back."""
        if verdict.decision is Decision.HOLD and item.item_id not in self._logged_held_back:
            self._logged_held_back.add(item.item_id)
            self._quarantine.log_held(item.item_id, fingerprint, verdict)

    def begin_run(self, item: BatchItem, worker: Worker, now: float) -> None:
        """Record the start of a run, whose end must be recorded too."""
        self._runs[item.item_id] = _ActiveRun(item, worker, now)
        self._quarantine.begin_run(self._fingerprint(item), worker.worker_id, CrashPolicy.RETRY)

    def end_run(self, item: BatchItem, worker: Worker) -> None:
        """Record the end of a run. The item's next run may have started already."""
        run = self._runs.get(item.item_id)
        if run is not None and run.worker is worker:
            del self._runs[item.item_id]
        self._quarantine.end_run(self._fingerprint(item), worker.worker_id, CrashPolicy.RETRY)

    def record_answer(self, item: BatchItem, *, has_failed: bool = False) -> None:
        """Record that a worker answered the run of an item, and whether it has failed it."""
        run = self._runs.get(item.item_id)
        if run is not None:
            self._quarantine.record_answer(
                self._fingerprint(item),
                item.item_id,
                run.worker,
                run.started_at,
                has_failed=has_failed,
            )

    def record_error(self, item: BatchItem, error: WorkerError, on_crash: CrashListener) -> None:
        """Record the failure of a run; ``on_crash`` is called if its worker has crashed."""
        run = self._runs.get(item.item_id)
        if run is None:
            return
        if isinstance(error, WorkerBrokenError):
            fingerprint = self._fingerprint(item)
            self._quarantine.record_broken_run(
                fingerprint,
                item.item_id,
                run.worker,
                run.started_at,
                partial(on_crash, item.item_id, run.worker),
            )
        elif isinstance(error, WorkerFailedError | WorkerRejectedError):
            self.record_answer(item, has_failed=True)

    def record_silence(self, item_id: ItemId, on_crash: CrashListener) -> None:
        """Record that a run was stopped because its worker sent no events.

        ``on_crash`` is called if the worker has crashed.
        """
        run = self._runs.get(item_id)
        if run is not None:
            fingerprint = self._fingerprint(run.item)
            self._quarantine.record_unanswered_run(
                fingerprint,
                item_id,
                run.worker,
                run.started_at,
                partial(on_crash, item_id, run.worker),
            )

    def _fingerprint(self, item: BatchItem) -> Fingerprint:
        found = self._fingerprints.get(item.item_id)
        if found is None:
            found = self._fingerprints[item.item_id] = fingerprint_of(
                caller=self._spec.tenant or "",
                method="POST",
                host=self._spec.host,
                target=item.target,
                body=item.body,
            )
        return found
