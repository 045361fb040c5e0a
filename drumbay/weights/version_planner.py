"""Pure decisions of the leader: which worker loads which version next.

A step may use the newest named version and the one before. So workers two versions behind are
loaded first, and of the others only as many as keep half of the workers at the newest version:
while versions follow each other quickly, each worker then skips every second one, which halves
the loads. A version that stays the newest for longer is loaded on every worker.
"""

from collections.abc import Iterable, Mapping
from typing import NewType

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.records import WorkerState
from drumbay.workers.worker_record import WorkerRecord

LoadUnderWayId = NewType("LoadUnderWayId", int)
"""Tells the loads of one worker apart: its record may go and come back while one is under way."""

ACCEPTED_LAG = 1
"""How many versions behind the newest a step still accepts."""


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of loading: more loads at once slow each other down.

    At most ``share_at_once`` of the workers load, but ``minimum_at_once`` always may.
    """

    minimum_at_once: int = 2
    share_at_once: float = 0.4
    expected_seconds: float = 0.9
    give_up_seconds: float = 4.0
    retry_seconds: float = 0.4
    everywhere_after_seconds: float = 15.0

    def at_once(self, worker_count: int) -> int:
        """Return how many of so many workers may load at the same time."""
        return max(self.minimum_at_once, round(self.share_at_once * worker_count))


class LoadVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: a worker should load a version."""

    worker_id: BackendId
    model: str
    version: WeightVersion


class LoadKey(msgspec.Struct, frozen=True):
    """A version of a model."""

    model: str
    version: WeightVersion


class _Candidate(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A load that is wanted; smaller sorts first."""

    is_optional: bool
    current: int
    busy: int
    worker_id: BackendId
    model: str
    target: int


class VersionPlanner:
    """Chooses loads; knows which are under way."""

    def __init__(self, policy: LoadPolicy) -> None:
        """Create a planner without loads under way."""
        self._policy = policy
        self._loading: dict[BackendId, LoadUnderWayId] = {}
        self._last_load = LoadUnderWayId(0)
        self._not_before: dict[BackendId, float] = {}
        self._named_at: dict[LoadKey, float] = {}

    def note_started(self, worker_id: BackendId) -> LoadUnderWayId:
        """Note that a worker was told to load; end just this load by the id that is returned."""
        self._last_load = LoadUnderWayId(self._last_load + 1)
        self._loading[worker_id] = self._last_load
        return self._last_load

    def note_ended(self, worker_id: BackendId, load: LoadUnderWayId) -> bool:
        """Note that a worker's load is over; return whether no other one was begun since."""
        if self._loading.get(worker_id) != load:
            return False
        del self._loading[worker_id]
        return True

    def note_restarted(self, worker_id: BackendId) -> None:
        """Note that a worker has started again: nothing that was planned for it is under way."""
        self._loading.pop(worker_id, None)
        self._not_before.pop(worker_id, None)

    def note_failed(self, worker_id: BackendId, load: LoadUnderWayId, now: float) -> None:
        """Try a worker again later."""
        if self.note_ended(worker_id, load):
            self._not_before[worker_id] = now + self._policy.retry_seconds

    def plan(
        self,
        named: Mapping[str, WeightVersion],
        records: Iterable[WorkerRecord],
        now: float,
    ) -> tuple[LoadVersion, ...]:
        """Return the loads to start now, at most as many as may run at once."""
        records = [r for r in records if r.worker.state is WorkerState.READY]
        room = self._policy.at_once(sum(1 for r in records if r.versions)) - len(self._loading)
        candidates: list[_Candidate] = []
        for model, newest in named.items():
            candidates.extend(self._candidates(model, newest, records, now))
        loads: list[LoadVersion] = []
        taken: set[BackendId] = set()
        for candidate in sorted(candidates):
            if room <= 0:
                break
            if candidate.worker_id in taken:
                continue
            taken.add(candidate.worker_id)
            room -= 1
            loads.append(
                LoadVersion(
                    worker_id=candidate.worker_id,
                    model=candidate.model,
                    version=WeightVersion(candidate.target),
                )
            )
        return tuple(loads)

    def _wanted(self, key: LoadKey, holder_count: int, now: float) -> int:
        """Return on how many workers the newest version should be by now."""
        named_at = self._named_at.get(key)
        if named_at is None:
            self._named_at = {k: t for k, t in self._named_at.items() if k.model != key.model}
            named_at = self._named_at[key] = now
        if now - named_at >= self._policy.everywhere_after_seconds:
            return holder_count
        return max(1, holder_count // 2)

    def _candidates(
        self,
        model: str,
        newest: WeightVersion,
        records: list[WorkerRecord],
        now: float,
    ) -> list[_Candidate]:
        holders = [r for r in records if model in r.versions]
        at_newest = sum(1 for r in holders if r.versions[model] >= newest)
        wanted = self._wanted(LoadKey(model, newest), len(holders), now)
        behind = [r for r in holders if r.versions[model] < newest]
        behind.sort(key=lambda r: (r.versions[model], r.in_flight, r.worker.worker_id))
        found: list[_Candidate] = []
        for record in behind:
            worker_id = record.worker.worker_id
            is_optional = newest - record.versions[model] <= ACCEPTED_LAG
            if is_optional and at_newest >= wanted:
                continue
            at_newest += 1
            if worker_id in self._loading or now < self._not_before.get(worker_id, now):
                continue
            found.append(
                _Candidate(
                    is_optional=is_optional,
                    current=record.versions[model],
                    busy=record.in_flight,
                    worker_id=worker_id,
                    model=model,
                    target=newest,
                )
            )
        return found
