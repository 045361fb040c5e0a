"""Selects workers for items by free slots, event intervals and weight versions."""

import zlib
from collections.abc import Mapping, Set

import msgspec

from drumbay.batches.records import BatchItem, BatchSpec
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.worker_record import WorkerRecord

SLOW_FACTOR = 2.2
"""A worker is slow if its event interval exceeds the median by this factor."""

SOMEWHAT_SLOW_FACTOR = 1.2
"""Above this factor of the median interval, moving an item with a long text pays off."""

FASTER_FACTOR = 0.8
"""A move requires an event interval of at most this share of the current worker's."""

OLD_WEIGHTS_PENALTY = 0.2
TOKEN_LOAD_PENALTY = 0.3
"""Parts of the cost of a worker for long items, relative to the median event interval: for weights
older than the newest version, and for a token load of 1.
"""

DISTANT_PENALTY = 0.05
"""Part of the cost of a worker in another region: decides only between about equal workers."""

SHARED_PROMPT_BONUS = 1.0
"""Extra token load accepted to reuse a cached prompt; 1 stands for all slots of a worker."""

DEFAULT_EVENT_INTERVAL_SECONDS = 0.045
"""Assumed while no worker's event interval is known."""

UNVERSIONED = WeightVersion(0)
"""Version of a model that a worker does not report; satisfies only jobs without a minimum."""


class SlotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An item that needs a slot.

    ``avoided_worker`` is used only if no other has a slot, and so are the workers of earlier runs
    that got no answer, ``unanswered_on``. With ``prefers_active``, workers that
    recently sent events to this node come first: others may have failed together with the item's
    previous worker without being detected yet. An item that ``is_isolated`` shares no worker with
    other isolated items or with requests that may crash it.
    """

    group: str
    expected_tokens: int
    avoided_worker: BackendId | None
    unanswered_on: Set[BackendId] = frozenset()
    is_long: bool
    minimum_version: WeightVersion
    prefers_active: bool = False
    is_isolated: bool = False


class WorkerSelector:
    """Worker selection for one planning round; tracks the slots that it assigns.

    Each run occupies KV cache on its worker, and several long texts on one worker exceed it, which
    leads to preemption. Therefore items are spread by expected output tokens. The token load of a
    worker is the sum of these; it is 1 if all slots hold items of average length.
    """

    def __init__(
        self,
        spec: BatchSpec,
        workers: Mapping[BackendId, WorkerRecord],
        newest_version: WeightVersion,
        now: float,
        isolated_workers: frozenset[BackendId] = frozenset(),
        used_by_others: Mapping[BackendId, int] | None = None,
        start_allowances: Mapping[BackendId, int] | None = None,
        in_service: frozenset[BackendId] | None = None,
        *,
        distant_workers: frozenset[BackendId] = frozenset(),
    ) -> None:
        """Take a snapshot of the workers.

        Args:
            spec: The batch job whose items need slots.
            workers: Workers of its service.
            newest_version: Newest version that the model's trainer has announced.
            now: Monotonic time.
            isolated_workers: Workers that are not available to isolated items.
            used_by_others: Runs of other nodes by worker; ``None`` to use the load reports.
            start_allowances: Items that may start now, for workers with a limit.
            in_service: Workers in service, whose pace items can expect; ``None`` if all are.
            distant_workers: Workers in another region than this node.
        """
        allowances = start_allowances or {}
        others = {
            worker_id: record.reported_other_requests(now)
            if used_by_others is None
            else used_by_others.get(worker_id, 0)
            for worker_id, record in workers.items()
        }
        self._batch_id = spec.batch_id
        self._tie_break_keys: dict[BackendId, int] = {}
        self._isolated_workers = set(isolated_workers)
        self._workers = workers
        self._distant_workers = distant_workers
        self._active = {w for w, record in workers.items() if record.event_intervals.is_active(now)}
        self._versions = {
            worker_id: record.version_of(spec.model, now) or UNVERSIONED
            for worker_id, record in workers.items()
        }
        self._free_slots = {
            worker_id: min(
                record.free_slots_for(spec.model, now, others[worker_id]),
                allowances.get(worker_id, record.worker.slots),
            )
            for worker_id, record in workers.items()
            if self._versions[worker_id] >= spec.minimum_version
        }
        self._free_total = sum(self._free_slots.values())
        # If none is in service, runs that continue are compared with each other.
        compared = workers
        if in_service is not None:
            compared = {w: r for w, r in workers.items() if w in in_service} or workers
        current_intervals = [record.event_intervals.current(now) for record in compared.values()]
        intervals = sorted(interval for interval in current_intervals if interval is not None)
        self._median_interval = (
            intervals[(len(intervals) - 1) // 2] if intervals else DEFAULT_EVENT_INTERVAL_SECONDS
        )
        # On shared machines, short slowdowns are ignored.
        self._recent_intervals = {
            worker_id: record.event_intervals.sustained(now)
            if record.is_shared
            else record.event_intervals.recent(now)
            for worker_id, record in workers.items()
        }
        self._baseline_intervals = {
            worker_id: record.event_intervals.baseline() for worker_id, record in workers.items()
        }
        self._expected_intervals = {
            worker_id: self._expected_interval(record, now) or self._median_interval
            for worker_id, record in workers.items()
        }
        self._mean_interval = _harmonic_mean(
            [self._expected_intervals[worker_id] for worker_id in compared], self._median_interval
        )
        self._newest_version = newest_version
        self._average_tokens = _average_tokens(spec)
        self._tokens = {
            worker_id: record.expected_tokens + others[worker_id] * self._average_tokens
            for worker_id, record in workers.items()
        }
        self._group_workers: dict[str, BackendId] = {}

    def _expected_interval(self, record: WorkerRecord, now: float) -> float | None:
        """Return the seconds between events that an item can expect at a worker."""
        baseline = record.event_intervals.baseline()
        if not record.is_shared or baseline is None:
            return record.event_intervals.current(now)
        return max(baseline, self._recent_intervals[record.worker.worker_id] or baseline)

    @property
    def median_event_interval(self) -> float:
        """Return the median of the workers' seconds between events."""
        return self._median_interval

    @property
    def mean_event_interval(self) -> float:
        """Return the harmonic mean of the workers' seconds between events."""
        return self._mean_interval

    @property
    def has_free_slot(self) -> bool:
        """Return whether any worker has a free slot."""
        return self._free_total > 0

    def is_active(self, worker_id: BackendId | None) -> bool:
        """Return whether a worker has sent this node an event in the last second."""
        return worker_id in self._active

    def is_slow(self, worker_id: BackendId) -> bool:
        """Return whether a worker is much slower than the median.

        On shared machines it must also be much slower than its own baseline: moving items off a
        worker that is always slow gains nothing, as other items would have used the faster slots.
        """
        recent = self._recent_intervals.get(worker_id)
        if recent is None:
            return False
        reference = self._median_interval
        if self.is_shared(worker_id):
            reference = max(
                self._baseline_intervals[worker_id] or self._median_interval, self._median_interval
            )
        return recent > SLOW_FACTOR * reference

    def is_somewhat_slow(self, worker_id: BackendId) -> bool:
        """Return whether a worker is slower than the median beyond normal variation."""
        recent = self._recent_intervals.get(worker_id)
        return recent is not None and recent > SOMEWHAT_SLOW_FACTOR * self._median_interval

    def is_shared(self, worker_id: BackendId) -> bool:
        """Return whether a worker shares its machine with others."""
        record = self._workers.get(worker_id)
        return record is not None and record.is_shared

    def reserve_faster(
        self, worker_id: BackendId, min_gain_seconds: float = 0.0
    ) -> BackendId | None:
        """Reserve a slot on a clearly faster worker and return it; ``None`` if there is none.

        Args:
            worker_id: Current worker of the item.
            min_gain_seconds: Minimum improvement per event.
        """
        interval = self._expected_intervals.get(worker_id, self._median_interval)
        limit = min(FASTER_FACTOR * interval, interval - min_gain_seconds)
        faster = [
            w
            for w, count in self._free_slots.items()
            if count > 0 and self._expected_intervals[w] < limit
        ]
        if not faster:
            return None
        chosen = min(faster, key=lambda w: (self._expected_intervals[w], w))
        self._use_slot(chosen)
        return chosen

    def assign_to(self, worker_id: BackendId, item: BatchItem) -> bool:
        """Assign a slot on a given worker; return whether one was free."""
        if self._free_slots.get(worker_id, 0) <= 0:
            return False
        self._use_slot(worker_id)
        self._tokens[worker_id] += item.expected_tokens
        return True

    def assign(self, request: SlotRequest) -> BackendId | None:
        """Assign a slot on the best worker; ``None`` if no suitable worker has one."""
        candidates = [worker_id for worker_id, count in self._free_slots.items() if count > 0]
        candidates = [w for w in candidates if self._versions[w] >= request.minimum_version]
        if request.is_isolated:
            candidates = [w for w in candidates if w not in self._isolated_workers]
        candidates = [w for w in candidates if w != request.avoided_worker] or candidates
        candidates = [w for w in candidates if w not in request.unanswered_on] or candidates
        if not candidates:
            return None
        cost = self._long_item_cost if request.is_long else self._short_item_cost
        inactive = set(candidates) - self._active if request.prefers_active else set()
        chosen = min(
            candidates,
            key=lambda w: (
                self.is_slow(w),
                w in inactive,
                cost(w, request.group) + DISTANT_PENALTY * (w in self._distant_workers),
                self._tie_break_key(w),
            ),
        )
        self._group_workers.setdefault(request.group, chosen)
        self._use_slot(chosen)
        if request.is_isolated:
            self._isolated_workers.add(chosen)
        self._tokens[chosen] += request.expected_tokens
        return chosen

    def _tie_break_key(self, worker_id: BackendId) -> int:
        """Return a key that differs per batch job, so that concurrent owners spread their items."""
        found = self._tie_break_keys.get(worker_id)
        if found is None:
            found = self._tie_break_keys[worker_id] = zlib.crc32(
                f"{self._batch_id} {worker_id}".encode()
            )
        return found

    def _use_slot(self, worker_id: BackendId) -> None:
        self._free_slots[worker_id] -= 1
        self._free_total -= 1

    def _token_load(self, worker_id: BackendId) -> float:
        slots = max(1, self._workers[worker_id].worker.slots)
        return self._tokens[worker_id] / (slots * self._average_tokens)

    def _long_item_cost(self, worker_id: BackendId, group: str) -> float:
        del group
        relative_interval = self._expected_intervals[worker_id] / self._median_interval
        is_old = self._versions[worker_id] < self._newest_version
        penalty = OLD_WEIGHTS_PENALTY if is_old else 0.0
        return relative_interval + penalty + TOKEN_LOAD_PENALTY * self._token_load(worker_id)

    def _short_item_cost(self, worker_id: BackendId, group: str) -> float:
        # Items of a group share a prompt, which the worker has cached.
        shares_prompt = self._group_workers.get(group) == worker_id
        token_load = (
            self._token_load(worker_id)
            * self._expected_intervals[worker_id]
            / self._median_interval
        )
        return token_load - SHARED_PROMPT_BONUS * shares_prompt


def _harmonic_mean(intervals: list[float], default: float) -> float:
    """Return the mean of intervals whose rates add up."""
    if not intervals:
        return default
    return len(intervals) / sum(1.0 / interval for interval in intervals)


def _average_tokens(spec: BatchSpec) -> float:
    total = sum(item.expected_tokens for item in spec.items)
    return max(1.0, total / max(1, len(spec.items)))
