"""Event simulation of request queues under one graph between nodes and workers.

A worker runs a fixed number of requests at once and queues the rest first come, first
served. Nodes choose by the cost of ``drumbay.routing.engine_choice`` in compact form: the
lagging report, drawn towards the mean as it ages and corrected by their own starts and ends
since, less a gain for a cached prefix; the least of a few random samples and one known
holder of the prefix. A cached
prefix shortens the service. Batch-dependent token rates are not modelled.
"""

import heapq
import math
import random as random_module
from collections.abc import Sequence
from enum import IntEnum
from itertools import accumulate

import msgspec
import numpy as np

from drumbay.bench.queueing_state import Job, OwnRecord, Worker
from drumbay.bench.subset_graph import SubsetGraph
from drumbay.routing.engine_choice import believed_load


class QueueingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Workload and knowledge of one simulation.

    Attributes:
        intensity: Offered work as a share of all places, without prefix hits.
        duration_seconds: Simulated time that is measured.
        warm_up_seconds: Simulated time before it.
        places_per_worker: Requests a worker runs at once.
        mean_service_seconds: Mean time of one request without a cached prefix.
        service_sigma: Standard deviation of the logarithm of the service time.
        report_interval_seconds: Time between two load reports of a worker.
        report_lag_seconds: Time from a report's moment to its arrival at the nodes.
        report_memory_services: Mean service times over which a report loses its weight;
            ``None``: never.
        sample_count: Samples compared, the d of the power of d choices.
        prefix_count: Different prompt prefixes.
        prefix_exponent: Exponent of their Zipf popularity.
        cached_prefixes: Prefixes a worker can hold.
        prefix_saving: Part of the service that a cached prefix saves.
        prefix_gain: Cost saved by a believed hit, in outstanding requests.
        hears_cache_events: Whether nodes learn of prefixes that others sent to a worker.
        cache_event_lag_seconds: Delay of that knowledge.
        cache_event_loss: Share of such events that are lost.
    """

    intensity: float = 0.8
    duration_seconds: float = 30.0
    warm_up_seconds: float = 10.0
    places_per_worker: int = 4
    mean_service_seconds: float = 1.0
    service_sigma: float = 1.0
    report_interval_seconds: float = 2.0
    report_lag_seconds: float = 0.25
    report_memory_services: float | None = 1.0
    sample_count: int = 4
    prefix_count: int = 2000
    prefix_exponent: float = 1.0
    cached_prefixes: int = 16
    prefix_saving: float = 0.3
    prefix_gain: float = 2.0
    hears_cache_events: bool = False
    cache_event_lag_seconds: float = 0.5
    cache_event_loss: float = 0.05


class QueueingResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one simulation.

    Attributes:
        request_count: Measured requests.
        delay_mean_seconds: Mean time in a worker's queue.
        delay_p50_seconds: Median of it.
        delay_p99_seconds: 99th percentile of it.
        prefix_hit_share: Share of requests whose prefix was cached.
        backlog_at_end: Requests still queued per worker at the end.
        cache_events_per_second: Prefixes stored or evicted per worker and second.
    """

    request_count: int
    delay_mean_seconds: float
    delay_p50_seconds: float
    delay_p99_seconds: float
    prefix_hit_share: float
    backlog_at_end: float
    cache_events_per_second: float


class _EventKind(IntEnum):
    ARRIVAL = 0
    COMPLETION = 1
    REPORT = 2


class QueueingSimulation:
    """One run; :meth:`run` may be called once."""

    def __init__(
        self,
        graph: SubsetGraph,
        shares: Sequence[float],
        settings: QueueingSettings,
        random: random_module.Random,
    ) -> None:
        """Set up empty workers."""
        self._graph = graph
        self._settings = settings
        self._random = random
        self._workers = [Worker() for _ in range(graph.worker_count)]
        self._own: dict[tuple[int, int], OwnRecord] = {}
        self._holders: list[dict[int, float]] = [{} for _ in range(settings.prefix_count)]
        self._node_holders: dict[tuple[int, int], int] = {}
        self._set_members = [frozenset(workers) for workers in graph.worker_sets]
        self._events: list[tuple[float, int, int, int, object]] = []
        self._event_number = 0
        self._node_bounds = list(accumulate(shares))
        weights = [
            1.0 / (rank + 1) ** settings.prefix_exponent for rank in range(settings.prefix_count)
        ]
        self._prefix_bounds = list(accumulate(weights))
        self._end_at = settings.warm_up_seconds + settings.duration_seconds
        self._delays: list[float] = []
        self._hit_count = 0
        self._mean_report = 0.0
        self._memory_seconds = (
            None
            if settings.report_memory_services is None
            else settings.report_memory_services * settings.mean_service_seconds
        )
        self._cache_event_count = 0

    def run(self) -> QueueingResult:
        """Run to the end and return the delays of requests that arrived after the warm-up."""
        settings = self._settings
        places = self._graph.worker_count * settings.places_per_worker
        rate = settings.intensity * places / settings.mean_service_seconds
        self._push(self._random.expovariate(rate), _EventKind.ARRIVAL, 0, rate)
        for index in range(self._graph.worker_count):
            phase = self._random.random() * settings.report_interval_seconds
            self._push(phase, _EventKind.REPORT, index, None)
        while self._events:
            now, _, kind, index, payload = heapq.heappop(self._events)
            if now > self._end_at:
                break
            if kind == _EventKind.ARRIVAL:
                self._arrive(now)
                self._push(now + self._random.expovariate(rate), _EventKind.ARRIVAL, 0, rate)
            elif kind == _EventKind.COMPLETION:
                assert isinstance(payload, Job)
                self._complete(index, payload, now)
            else:
                self._report(index, payload, now)
        return self._result()

    def _push(self, at: float, kind: _EventKind, index: int, payload: object) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (at, self._event_number, kind, index, payload))

    def _arrive(self, now: float) -> None:
        settings = self._settings
        node = self._random.choices(range(self._graph.node_count), cum_weights=self._node_bounds)[0]
        prefix = self._random.choices(
            range(settings.prefix_count), cum_weights=self._prefix_bounds
        )[0]
        mean_log = np.log(settings.mean_service_seconds) - settings.service_sigma**2 / 2
        work = self._random.lognormvariate(mean_log, settings.service_sigma)
        job = Job(now, node, prefix, work)
        chosen = self._choose(node, prefix, now)
        self._own_record(node, chosen).starts.append(now)
        self._node_holders[(node, prefix)] = chosen
        worker = self._workers[chosen]
        if worker.running < settings.places_per_worker:
            self._start(chosen, worker, job, now)
        else:
            worker.queue.append(job)

    def _choose(self, node: int, prefix: int, now: float) -> int:
        workers = self._graph.worker_sets[node]
        count = min(self._settings.sample_count, len(workers))
        samples = self._random.sample(workers, count)
        holder = self._known_holder(node, prefix, now)
        if holder is not None and holder not in samples:
            samples.append(holder)
        best = samples[0]
        best_cost = float("inf")
        for index in samples:
            cost = self._believed_load(node, index, now)
            if index == holder:
                cost -= self._settings.prefix_gain
            if cost < best_cost:
                best, best_cost = index, cost
        return best

    def _known_holder(self, node: int, prefix: int, now: float) -> int | None:
        if self._settings.hears_cache_events:
            visible_until = now - self._settings.cache_event_lag_seconds
            members = self._set_members[node]
            known = [
                index
                for index, stored_at in self._holders[prefix].items()
                if stored_at <= visible_until and index in members
            ]
            if known:
                return min(known, key=lambda index: self._believed_load(node, index, now))
        return self._node_holders.get((node, prefix))

    def _believed_load(self, node: int, index: int, now: float) -> float:
        worker = self._workers[index]
        record = self._own.get((node, index))
        memory = 1.0
        if self._memory_seconds is not None:
            memory = math.exp((worker.reported_at - now) / self._memory_seconds)
        return believed_load(
            reported=worker.reported_load,
            mean_reported=self._mean_report,
            memory=memory,
            correction=0 if record is None else record.correction(worker.reported_at),
            own_outstanding=0 if record is None else len(record.starts),
        )

    def _own_record(self, node: int, index: int) -> OwnRecord:
        record = self._own.get((node, index))
        if record is None:
            record = self._own[(node, index)] = OwnRecord()
        return record

    def _start(self, index: int, worker: Worker, job: Job, now: float) -> None:
        worker.running += 1
        is_hit = job.prefix in worker.cache
        self._cache(index, worker, job.prefix, now)
        work = job.work_seconds
        if is_hit:
            work *= 1.0 - self._settings.prefix_saving
        if job.arrived_at >= self._settings.warm_up_seconds:
            self._delays.append(now - job.arrived_at)
            self._hit_count += is_hit
        self._push(now + work, _EventKind.COMPLETION, index, job)

    def _cache(self, index: int, worker: Worker, prefix: int, now: float) -> None:
        if prefix not in worker.cache:
            self._cache_event_count += 1
            if self._random.random() >= self._settings.cache_event_loss:
                self._holders[prefix][index] = now
        worker.cache[prefix] = None
        worker.cache.move_to_end(prefix)
        if len(worker.cache) > self._settings.cached_prefixes:
            evicted, _ = worker.cache.popitem(last=False)
            self._holders[evicted].pop(index, None)
            self._cache_event_count += 1

    def _complete(self, index: int, job: Job, now: float) -> None:
        worker = self._workers[index]
        worker.running -= 1
        record = self._own_record(job.node, index)
        record.starts.remove(job.arrived_at)
        record.ended.append((job.arrived_at, now))
        if worker.queue:
            self._start(index, worker, worker.queue.popleft(), now)

    def _report(self, index: int, payload: object, now: float) -> None:
        worker = self._workers[index]
        settings = self._settings
        if payload is None:
            observed = (worker.running + len(worker.queue), now)
            self._push(now + settings.report_lag_seconds, _EventKind.REPORT, index, observed)
            self._push(now + settings.report_interval_seconds, _EventKind.REPORT, index, None)
            return
        assert isinstance(payload, tuple)
        before = worker.reported_load
        worker.reported_load, worker.reported_at = payload
        self._mean_report += (worker.reported_load - before) / self._graph.worker_count

    def _result(self) -> QueueingResult:
        # NOTE: requests still queued at the end count with their delay so far; without
        # them an overloaded graph would look better than it is.
        pending = [
            self._end_at - job.arrived_at
            for worker in self._workers
            for job in worker.queue
            if job.arrived_at >= self._settings.warm_up_seconds
        ]
        delays = np.array(self._delays + pending)
        backlog = sum(len(worker.queue) for worker in self._workers)
        return QueueingResult(
            request_count=len(delays),
            delay_mean_seconds=float(delays.mean()),
            delay_p50_seconds=float(np.percentile(delays, 50)),
            delay_p99_seconds=float(np.percentile(delays, 99)),
            prefix_hit_share=self._hit_count / max(1, len(self._delays)),
            backlog_at_end=backlog / self._graph.worker_count,
            cache_events_per_second=self._cache_event_count
            / (self._end_at * self._graph.worker_count),
        )
