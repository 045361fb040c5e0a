"""Which worker an item goes to, from the room, pace and weights of the workers."""

import zlib
from collections.abc import Mapping

import msgspec

from drumbay.batches.records import BatchItem, BatchSpec
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.worker_record import WorkerRecord

SLOW_FACTOR = 2.2
"""A worker whose events come this many times later than the median worker's is slow."""

SLOWER_FACTOR = 1.2
"""A worker whose events come this many times later than the median worker's delays an item of many
events by more than a move does. Paces of like workers differ by a few hundredths; a step whose
longest item of 145 events stays with a worker slower by 1.3 is whole after 9.4 s in place of 7.2 s
(steps of one day with three trainers)."""

FASTER_FACTOR = 0.8
"""Moving to a worker pays if its events come within this share of the time."""

OLD_WEIGHTS_PENALTY = 0.2
CROWDING_PENALTY = 0.3
"""Added to a worker's relative pace for long items, times its crowding. One text of the greatest
length makes a crowding of 0.8 on the large deployment, so it weighs a quarter of a pace, more than
older weights do. Not compared with other values."""

SHARED_PROMPT_BONUS = 1.0
"""Crowding that is accepted to send an item where its prompt is kept: all places of a worker."""

DEFAULT_PACE_SECONDS = 0.045
UNVERSIONED = WeightVersion(0)
"""Version of a model that a worker does not name: fit for batch jobs that ask for none."""


class PlaceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An item that needs a place.

    ``avoid`` is a worker to pass over if there is another. With ``prefers_heard``, workers come
    first that have lately made events for this node: another one may have died with the worker
    that the item was at, and would not be missed before it fails this item as well. One that
    ``is_apart`` shares no worker with others that are, nor with runs that may end theirs.
    """

    group: str
    expected_tokens: int
    avoid: BackendId | None
    is_long: bool
    minimum_version: WeightVersion
    prefers_heard: bool = False
    is_apart: bool = False


class WorkerChoice:
    """The choices of one planning round; counts the places that it gives away.

    A worker keeps the tokens of every run in its memory. Several long texts on one worker
    exceed it, and the worker then preempts some of them for seconds. So items are spread by the
    tokens that they are expected to generate. A worker's crowding is their sum over what its
    places would hold with items of average length.
    """

    def __init__(
        self,
        spec: BatchSpec,
        workers: Mapping[BackendId, WorkerRecord],
        newest_version: WeightVersion,
        now: float,
        apart_from: frozenset[BackendId] = frozenset(),
        held: Mapping[BackendId, int] | None = None,
    ) -> None:
        """Look at the workers once.

        Args:
            spec: The batch job whose items need places.
            workers: Workers of its service.
            newest_version: Newest version that the model's trainer has named.
            now: Monotonic time.
            apart_from: Workers that items which run apart pass over.
            held: Runs of other nodes by worker; ``None`` to go by the workers' reports.
        """
        others = {
            worker_id: record.others_busy(now) if held is None else held.get(worker_id, 0)
            for worker_id, record in workers.items()
        }
        self._batch_id = spec.batch_id
        self._orders: dict[BackendId, int] = {}
        self._apart_from = set(apart_from)
        self._workers = workers
        self._heard = {w for w, record in workers.items() if record.pace.is_heard(now)}
        self._versions = {
            worker_id: record.version_of(spec.model, now) or UNVERSIONED
            for worker_id, record in workers.items()
        }
        self._free = {
            worker_id: record.free_slots_for(spec.model, now, others[worker_id])
            for worker_id, record in workers.items()
            if self._versions[worker_id] >= spec.minimum_version
        }
        self._room = sum(self._free.values())
        seen = [record.pace.current(now) for record in workers.values()]
        paces = sorted(pace for pace in seen if pace is not None)
        self._median = paces[(len(paces) - 1) // 2] if paces else DEFAULT_PACE_SECONDS
        # Where machines are shared, what lasts for a moment only is no reason to leave.
        self._recent_paces = {
            worker_id: record.pace.sustained(now) if record.is_shared else record.pace.recent(now)
            for worker_id, record in workers.items()
        }
        self._usual_paces = {
            worker_id: record.pace.usual() for worker_id, record in workers.items()
        }
        self._paces = {
            worker_id: self._expected_pace(record, now) or self._median
            for worker_id, record in workers.items()
        }
        self._newest = newest_version
        self._average_tokens = _average_tokens(spec)
        self._tokens = {
            worker_id: record.expected_tokens + others[worker_id] * self._average_tokens
            for worker_id, record in workers.items()
        }
        self._group_workers: dict[str, BackendId] = {}

    def _expected_pace(self, record: WorkerRecord, now: float) -> float | None:
        """Return the seconds between events that an item has to expect at a worker."""
        usual = record.pace.usual()
        if not record.is_shared or usual is None:
            return record.pace.current(now)
        return max(usual, self._recent_paces[record.worker.worker_id] or usual)

    @property
    def usual_pace(self) -> float:
        """Return the seconds between events of the median worker."""
        return self._median

    @property
    def mean_pace(self) -> float:
        """Return the mean seconds between events over all workers: their places differ."""
        if not self._paces:
            return self._median
        # Per second, places make as many events as their paces allow: the harmonic mean counts.
        return len(self._paces) / sum(1.0 / pace for pace in self._paces.values())

    @property
    def has_room(self) -> bool:
        """Return whether any worker has a free place."""
        return self._room > 0

    def is_heard(self, worker_id: BackendId | None) -> bool:
        """Return whether a worker made an event for this node in the last second."""
        return worker_id in self._heard

    def is_slow(self, worker_id: BackendId) -> bool:
        """Return whether a worker lately was much slower than most are, and than it usually is.

        One that is always slow works as well as it can: an item that leaves it gives up a place
        for one that another item would have taken.
        """
        recent = self._recent_paces.get(worker_id)
        if recent is None:
            return False
        usual = self._median
        if self.is_shared(worker_id):
            usual = max(self._usual_paces[worker_id] or self._median, self._median)
        return recent > SLOW_FACTOR * usual

    def is_slower(self, worker_id: BackendId) -> bool:
        """Return whether a worker lately was slower than most are by more than they differ."""
        recent = self._recent_paces.get(worker_id)
        return recent is not None and recent > SLOWER_FACTOR * self._median

    def is_shared(self, worker_id: BackendId) -> bool:
        """Return whether a worker shares its machine with others."""
        record = self._workers.get(worker_id)
        return record is not None and record.is_shared

    def reserve_faster(
        self, worker_id: BackendId, least_gain_seconds: float = 0.0
    ) -> BackendId | None:
        """Set aside a place on a clearly faster worker; return that, if there is one.

        Args:
            worker_id: Where the item is.
            least_gain_seconds: Each event has to come sooner by more than this.
        """
        pace = self._paces.get(worker_id, self._median)
        limit = min(FASTER_FACTOR * pace, pace - least_gain_seconds)
        faster = [w for w, count in self._free.items() if count > 0 and self._paces[w] < limit]
        if not faster:
            return None
        chosen = min(faster, key=lambda w: (self._paces[w], w))
        self._give(chosen)
        return chosen

    def take_at(self, worker_id: BackendId, item: BatchItem) -> bool:
        """Give away a place on one worker; return whether it has one."""
        if self._free.get(worker_id, 0) <= 0:
            return False
        self._give(worker_id)
        self._tokens[worker_id] += item.expected_tokens
        return True

    def take(self, request: PlaceRequest) -> BackendId | None:
        """Give away a place; ``None`` if no worker that fits has one."""
        candidates = [worker_id for worker_id, count in self._free.items() if count > 0]
        candidates = [w for w in candidates if self._versions[w] >= request.minimum_version]
        if request.is_apart:
            candidates = [w for w in candidates if w not in self._apart_from]
        candidates = [w for w in candidates if w != request.avoid] or candidates
        if not candidates:
            return None
        cost = self._cost_of_long if request.is_long else self._cost_of_short
        unheard = set(candidates) - self._heard if request.prefers_heard else set()
        chosen = min(
            candidates,
            key=lambda w: (
                self.is_slow(w),
                w in unheard,
                cost(w, request.group),
                self._own_order(w),
            ),
        )
        self._group_workers.setdefault(request.group, chosen)
        self._give(chosen)
        if request.is_apart:
            self._apart_from.add(chosen)
        self._tokens[chosen] += request.expected_tokens
        return chosen

    def _own_order(self, worker_id: BackendId) -> int:
        """Order like workers differently for each batch job: owners choose at the same time."""
        found = self._orders.get(worker_id)
        if found is None:
            found = self._orders[worker_id] = zlib.crc32(f"{self._batch_id} {worker_id}".encode())
        return found

    def _give(self, worker_id: BackendId) -> None:
        self._free[worker_id] -= 1
        self._room -= 1

    def _crowding(self, worker_id: BackendId) -> float:
        slots = max(1, self._workers[worker_id].worker.slots)
        return self._tokens[worker_id] / (slots * self._average_tokens)

    def _cost_of_long(self, worker_id: BackendId, group: str) -> float:
        del group
        relative_pace = self._paces[worker_id] / self._median
        is_old = self._versions[worker_id] < self._newest
        penalty = OLD_WEIGHTS_PENALTY if is_old else 0.0
        return relative_pace + penalty + CROWDING_PENALTY * self._crowding(worker_id)

    def _cost_of_short(self, worker_id: BackendId, group: str) -> float:
        # The items of a group share a prompt, which a worker reads once.
        shares_prompt = self._group_workers.get(group) == worker_id
        crowding = self._crowding(worker_id) * self._paces[worker_id] / self._median
        return crowding - SHARED_PROMPT_BONUS * shares_prompt


def _average_tokens(spec: BatchSpec) -> float:
    total = sum(item.expected_tokens for item in spec.items)
    return max(1.0, total / max(1, len(spec.items)))
