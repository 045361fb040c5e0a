"""Plans which worker loads which version next; does no I/O.

A training step accepts the newest announced version and the one before it. Workers of a model that
lag further behind are loaded first. Of the others, only as many are loaded as are needed for half
of the workers to serve the newest version: when versions are published in quick succession, each
worker thus skips every second one. A version that stays the newest for longer is loaded on all
workers. If the models together need more loads than may run at once, the model goes first whose
newest version the fewest workers serve.

Workers of evacuated zones load too, so that a zone returns with usable versions. They are counted
apart from the workers in service, and go last: their loads may fail while the zone is in trouble.
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from typing import NewType

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.records import WorkerState
from drumbay.workers.worker_record import WorkerRecord

LoadId = NewType("LoadId", int)
"""Distinguishes the loads of one worker, whose record may be replaced during a load."""

MAX_ACCEPTED_LAG = 1
"""Largest lag behind the newest version that a training step accepts."""


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of version loads.

    Attributes:
        min_concurrent_loads: Number of workers that may always load concurrently.
        max_loading_share: Share of the workers that may load concurrently.
        expected_load_seconds: Expected duration of a load.
        load_timeout_seconds: Time after which a load counts as failed.
        retry_delay_seconds: Delay before a retry on a worker whose load failed.
        full_rollout_after_seconds: Time after which the newest version is loaded on all workers.
    """

    min_concurrent_loads: int = 2
    max_loading_share: float = 0.4
    expected_load_seconds: float = 0.9
    load_timeout_seconds: float = 4.0
    retry_delay_seconds: float = 0.4
    full_rollout_after_seconds: float = 15.0

    def max_concurrent_loads(self, worker_count: int) -> int:
        """Return how many of ``worker_count`` workers may load concurrently."""
        return max(self.min_concurrent_loads, round(self.max_loading_share * worker_count))


class LoadVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Decision that a worker loads a version."""

    worker_id: BackendId
    model: str
    version: WeightVersion


class ModelVersion(msgspec.Struct, frozen=True):
    """A version of a model."""

    model: str
    version: WeightVersion


class _Candidate(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A possible load; the most urgent one of a model sorts first."""

    is_optional: bool
    current_version: int
    active_requests: int
    worker_id: BackendId
    model: str
    target_version: int


class _LoadInProgress(msgspec.Struct, frozen=True):
    """A load that has started, and its model."""

    load_id: LoadId
    model: str


class _ModelLoads(msgspec.Struct, kw_only=True):
    """Possible loads of one model, in service or evacuated, the most urgent first.

    ``serving_count`` is the number of workers that have its newest version or are loading it.
    """

    is_evacuated: bool
    serving_count: int
    candidates: list[_Candidate]

    def drop_assigned(self, assigned_workers: Set[BackendId]) -> None:
        """Drop workers that load another model, up to the next one that does not."""
        while self.candidates and self.candidates[0].worker_id in assigned_workers:
            self.candidates.pop(0)

    def sort_key(self) -> tuple[bool, int, _Candidate]:
        """Return the key by which the next load is chosen, lowest first.

        A model that few workers serve goes first: its trainer's next step accepts only the newest
        version and stalls without a worker, while one with some workers is merely slower.
        """
        return self.is_evacuated, self.serving_count, self.candidates[0]


class _LoadSlots(msgspec.Struct, kw_only=True):
    """Loads that may still start: on all workers together, and on those in service."""

    total: int
    in_service: int

    def has_slot(self, *, is_evacuated: bool) -> bool:
        """Return whether a load may start on an evacuated worker, or on one in service."""
        return self.total > 0 and (is_evacuated or self.in_service > 0)

    def take(self, *, is_evacuated: bool) -> None:
        """Use a slot for a load."""
        self.total -= 1
        self.in_service -= not is_evacuated


class VersionPlanner:
    """Plans loads and tracks the ones in progress."""

    def __init__(self, policy: LoadPolicy) -> None:
        """Create a planner without loads in progress."""
        self._policy = policy
        self._loading: dict[BackendId, _LoadInProgress] = {}
        self._last_load_id = LoadId(0)
        self._retry_at: dict[BackendId, float] = {}
        self._announced_at: dict[ModelVersion, float] = {}

    def record_load_started(self, worker_id: BackendId, model: str) -> LoadId:
        """Record the start of a load; return the id to end it with."""
        self._last_load_id = LoadId(self._last_load_id + 1)
        self._loading[worker_id] = _LoadInProgress(self._last_load_id, model)
        return self._last_load_id

    def record_load_ended(self, worker_id: BackendId, load: LoadId) -> bool:
        """Record the end of a load; return whether it was still the worker's current one."""
        in_progress = self._loading.get(worker_id)
        if in_progress is None or in_progress.load_id != load:
            return False
        del self._loading[worker_id]
        return True

    def record_worker_restarted(self, worker_id: BackendId) -> None:
        """Discard the load and the retry delay of a worker that has restarted."""
        self._loading.pop(worker_id, None)
        self._retry_at.pop(worker_id, None)

    def record_load_failed(self, worker_id: BackendId, load: LoadId, now: float) -> None:
        """Record a failed load; the worker is retried after a delay."""
        if self.record_load_ended(worker_id, load):
            self._retry_at[worker_id] = now + self._policy.retry_delay_seconds

    def plan(
        self,
        newest_versions: Mapping[str, WeightVersion],
        records: Iterable[WorkerRecord],
        now: float,
        evacuated_zones: Set[str] = frozenset(),
    ) -> tuple[LoadVersion, ...]:
        """Return the loads to start now, within the limits on concurrent loads."""
        records = [r for r in records if r.worker.state is WorkerState.READY]
        evacuated = [r for r in records if r.worker.zone in evacuated_zones]
        in_service = [r for r in records if r.worker.zone not in evacuated_zones]
        evacuated_ids = {record.worker.worker_id for record in evacuated}
        loading_in_service = sum(1 for worker in self._loading if worker not in evacuated_ids)
        slots = _LoadSlots(
            total=self._max_concurrent_loads(records) - len(self._loading),
            in_service=self._max_concurrent_loads(in_service) - loading_in_service,
        )
        models: list[_ModelLoads] = []
        for model, newest in newest_versions.items():
            models.append(self._model_loads(model, newest, in_service, now))
            models.append(self._model_loads(model, newest, evacuated, now, is_evacuated=True))
        return tuple(
            LoadVersion(
                worker_id=candidate.worker_id,
                model=candidate.model,
                version=WeightVersion(candidate.target_version),
            )
            for candidate in _select_loads(models, slots)
        )

    def _max_concurrent_loads(self, records: list[WorkerRecord]) -> int:
        return self._policy.max_concurrent_loads(sum(1 for r in records if r.versions))

    def _desired_worker_count(self, key: ModelVersion, model_worker_count: int, now: float) -> int:
        """Return how many workers should serve the newest version at ``now``."""
        announced_at = self._announced_at.get(key)
        if announced_at is None:
            self._announced_at = {
                k: t for k, t in self._announced_at.items() if k.model != key.model
            }
            announced_at = self._announced_at[key] = now
        if now - announced_at >= self._policy.full_rollout_after_seconds:
            return model_worker_count
        return max(1, model_worker_count // 2)

    def _is_loading(self, worker_id: BackendId, model: str) -> bool:
        in_progress = self._loading.get(worker_id)
        return in_progress is not None and in_progress.model == model

    def _model_loads(
        self,
        model: str,
        newest: WeightVersion,
        records: list[WorkerRecord],
        now: float,
        *,
        is_evacuated: bool = False,
    ) -> _ModelLoads:
        model_records = [r for r in records if model in r.versions]
        newest_count = sum(1 for r in model_records if r.versions[model] >= newest)
        desired_count = self._desired_worker_count(
            ModelVersion(model, newest), len(model_records), now
        )
        behind = [r for r in model_records if r.versions[model] < newest]
        behind.sort(key=lambda r: (r.versions[model], r.in_flight, r.worker.worker_id))
        serving_count = newest_count + sum(
            self._is_loading(record.worker.worker_id, model) for record in behind
        )
        possible_loads: list[_Candidate] = []
        for record in behind:
            worker_id = record.worker.worker_id
            is_optional = newest - record.versions[model] <= MAX_ACCEPTED_LAG
            if is_optional and newest_count >= desired_count:
                continue
            newest_count += 1
            if worker_id in self._loading or now < self._retry_at.get(worker_id, now):
                continue
            possible_loads.append(
                _Candidate(
                    is_optional=is_optional,
                    current_version=record.versions[model],
                    active_requests=record.in_flight,
                    worker_id=worker_id,
                    model=model,
                    target_version=newest,
                )
            )
        return _ModelLoads(
            is_evacuated=is_evacuated,
            serving_count=serving_count,
            candidates=sorted(possible_loads),
        )


def _select_loads(models: Sequence[_ModelLoads], slots: _LoadSlots) -> list[_Candidate]:
    """Return the loads to start, at most one per worker."""
    selected: list[_Candidate] = []
    assigned_workers: set[BackendId] = set()
    while True:
        for model in models:
            model.drop_assigned(assigned_workers)
        possible = [
            model
            for model in models
            if model.candidates and slots.has_slot(is_evacuated=model.is_evacuated)
        ]
        if not possible:
            return selected
        chosen = min(possible, key=_ModelLoads.sort_key)
        slots.take(is_evacuated=chosen.is_evacuated)
        chosen.serving_count += 1
        candidate = chosen.candidates.pop(0)
        assigned_workers.add(candidate.worker_id)
        selected.append(candidate)
