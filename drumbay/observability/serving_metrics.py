"""Counters and latency histograms of a serving node, in the Prometheus text format."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REQUEST_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
ITEM_BUCKETS_SECONDS = (0.25, 0.5, 1, 2, 4, 6, 8, 12, 20, 60)
EXPECTED_TIME_BUCKETS = (0.5, 0.75, 1, 1.5, 2, 4, 8)
WAIT_BUCKETS_SECONDS = (0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2)
HIGHEST_RANK_LABEL = 9
"""Higher ranks share this label, which limits the cardinality of the metric."""

STORE_BUCKETS_SECONDS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1)


class ServingMetrics:
    """Metrics of a serving node; labels are names of routes, operations and outcomes only."""

    def __init__(self) -> None:
        """Register the metrics in a new registry."""
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "drumbay_serving_requests",
            "Clients' requests by final answer.",
            ("route", "outcome"),
            registry=self._registry,
        )
        self._refused_keys = Counter(
            "drumbay_serving_refused_keys",
            "Requests that were not admitted, by reason.",
            ("reason",),
            registry=self._registry,
        )
        self._request_seconds = Histogram(
            "drumbay_serving_request_seconds",
            "Time from taking a request to its final answer.",
            ("route",),
            buckets=REQUEST_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._hedges = Counter(
            "drumbay_serving_hedges",
            "Second copies of requests that were slow: sent, or held back by the budget.",
            ("outcome",),
            registry=self._registry,
        )
        self._worker_refusals = Counter(
            "drumbay_serving_worker_refusals",
            "Requests that a worker refused to run, by route.",
            ("route",),
            registry=self._registry,
        )
        self._expected_time = Histogram(
            "drumbay_serving_observed_to_expected_time",
            "Time of a worker's answer divided by the time for which the worker was chosen.",
            buckets=EXPECTED_TIME_BUCKETS,
            registry=self._registry,
        )
        self._batches = Counter(
            "drumbay_serving_batches",
            "Batch jobs by what happened to them at this node.",
            ("event",),
            registry=self._registry,
        )
        self._item_runs = Counter(
            "drumbay_serving_item_runs",
            "Runs of batch items by how they ended.",
            ("outcome",),
            registry=self._registry,
        )
        self._item_seconds = Histogram(
            "drumbay_serving_item_seconds",
            "Time from taking a batch job to an item's result.",
            buckets=ITEM_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._step_turns = Counter(
            "drumbay_serving_step_turns",
            "Steps that were deferred while others had to be in time, or got their turn again.",
            ("turn",),
            registry=self._registry,
        )
        self._rewards = Counter(
            "drumbay_serving_rewards",
            "Reward requests by outcome.",
            ("outcome",),
            registry=self._registry,
        )
        self._reward_seconds = Histogram(
            "drumbay_serving_reward_seconds",
            "Time from asking for a score to its answer, with the wait for a place.",
            buckets=REQUEST_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._store_calls = Counter(
            "drumbay_serving_store_calls",
            "Calls to the key-value service by outcome.",
            ("outcome",),
            registry=self._registry,
        )
        self._store_purposes = Counter(
            "drumbay_serving_store_purposes",
            "Calls to the key-value service, those for other nodes included, by purpose.",
            ("operation", "subject"),
            registry=self._registry,
        )
        self._store_seconds = Histogram(
            "drumbay_serving_store_seconds",
            "Time of direct calls to the key-value service.",
            buckets=STORE_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._duties = Counter(
            "drumbay_serving_duties",
            "Calls to the platform under the leader's fence, by duty and outcome.",
            ("duty", "outcome"),
            registry=self._registry,
        )
        self._workers = Gauge(
            "drumbay_serving_workers",
            "Workers of a scaled service as the leader counts them: ready, needed, or ordered.",
            ("service", "count"),
            registry=self._registry,
        )
        self._waiting_items = Gauge(
            "drumbay_serving_waiting_items",
            "Items of open batch jobs without a place at a worker, by service, at the leader.",
            ("service",),
            registry=self._registry,
        )
        self._loads = Counter(
            "drumbay_serving_loads",
            "Loads of weights that this node ordered, by outcome.",
            ("outcome",),
            registry=self._registry,
        )

        self._silent_connections = Counter(
            "drumbay_serving_silent_connections",
            "Connections that were given up without a word from the peer.",
            registry=self._registry,
        )
        self._cut_off_responses = Counter(
            "drumbay_serving_cut_off_responses",
            "Responses to this node that were cut off, by the limit that they exceeded.",
            ("reason",),
            registry=self._registry,
        )
        self._worker_pauses = Counter(
            "drumbay_serving_worker_pauses",
            "Pauses of workers after failures in a row.",
            registry=self._registry,
        )

        self._worker_deaths = Counter(
            "drumbay_serving_worker_deaths",
            "Workers that ended under a request at this node.",
            registry=self._registry,
        )
        self._held_requests = Counter(
            "drumbay_serving_held_requests",
            "Requests that were held back, since workers had ended under them, by reason.",
            ("reason",),
            registry=self._registry,
        )

        self._held_bytes = Gauge(
            "drumbay_serving_held_bytes",
            "Bytes of requests and of answers not yet read that are held, by kind.",
            ("kind",),
            registry=self._registry,
        )
        self._shed_requests = Counter(
            "drumbay_serving_shed_requests",
            "Requests without room, and answers that nobody read, by kind and reason.",
            ("kind", "reason"),
            registry=self._registry,
        )

        self._ineligible = Counter(
            "drumbay_serving_ineligible_workers",
            "Sends that were refused since the worker may not get the request now, by reason.",
            ("reason",),
            registry=self._registry,
        )

        self._evacuated_zones = Gauge(
            "drumbay_serving_evacuated_zones",
            "Zones whose workers get nothing new from this node.",
            registry=self._registry,
        )
        self._evacuated_zone_requests = Gauge(
            "drumbay_serving_evacuated_zone_requests",
            "Requests of this node that are still at workers of evacuated zones.",
            registry=self._registry,
        )
        self._cold_workers = Gauge(
            "drumbay_serving_cold_workers",
            "Workers that this node counts as cold.",
            ("service",),
            registry=self._registry,
        )
        self._waiting = Gauge(
            "drumbay_serving_admission_waiting",
            "Requests that wait for a service.",
            ("service",),
            registry=self._registry,
        )
        self._admitted = Counter(
            "drumbay_serving_admitted",
            "Requests that went out to a service.",
            ("service",),
            registry=self._registry,
        )
        self._admission_seconds = Histogram(
            "drumbay_serving_admission_seconds",
            "Time from a request's arrival until it went out.",
            ("service",),
            buckets=WAIT_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._rejected = Counter(
            "drumbay_serving_rejected",
            "Requests that were not admitted, by reason and rank.",
            ("service", "reason", "rank"),
            registry=self._registry,
        )

    def track_held_bytes(self, kind: str, read: Callable[[], float]) -> None:
        """Register a callback that returns the bytes held by one kind of request."""
        self._held_bytes.labels(kind).set_function(read)

    def count_shed(self, kind: str, reason: str) -> None:
        """Count a request rejected for lack of memory, or an unread response."""
        self._shed_requests.labels(kind, reason).inc()

    def set_cold_workers(self, service: str, count: int) -> None:
        """Set how many workers of a service count as cold."""
        self._cold_workers.labels(service).set(count)

    def count_ineligible(self, reason: str) -> None:
        """Count a send to a worker that was refused by a placement constraint."""
        self._ineligible.labels(reason).inc()

    def set_evacuated_zones(self, count: int) -> None:
        """Set the number of zones under evacuation."""
        self._evacuated_zones.set(count)

    def set_evacuated_zone_requests(self, count: Callable[[], int]) -> None:
        """Read the number of requests at workers of evacuated zones from a function."""
        self._evacuated_zone_requests.set_function(count)

    def set_waiting(self, service: str, count: int) -> None:
        """Set the number of requests waiting for admission to a service."""
        self._waiting.labels(service).set(count)

    def count_admitted(self, service: str, waited_seconds: float) -> None:
        """Count an admitted request and observe its waiting time."""
        self._admitted.labels(service).inc()
        self._admission_seconds.labels(service).observe(waited_seconds)

    def count_rejected(self, service: str, reason: str, rank: int) -> None:
        """Count a request that was not admitted."""
        label = str(min(rank, HIGHEST_RANK_LABEL))
        self._rejected.labels(service, reason, label).inc()

    def count_worker_crash(self) -> None:
        """Count a worker that crashed while processing a request."""
        self._worker_deaths.inc()

    def count_held_request(self, reason: str) -> None:
        """Count a request that was held back."""
        self._held_requests.labels(reason).inc()

    def count_silent_connection(self) -> None:
        """Count a connection abandoned because the peer was silent."""
        self._silent_connections.inc()

    def count_cut_off_response(self, reason: str) -> None:
        """Count a response that exceeded a limit."""
        self._cut_off_responses.labels(reason).inc()

    def count_worker_pause(self) -> None:
        """Count a pause of a worker after a failure."""
        self._worker_pauses.inc()

    def count_refused_key(self, reason: str) -> None:
        """Count a request whose API key was missing, unknown or could not be verified."""
        self._refused_keys.labels(reason).inc()

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a client request that got its final response."""
        self._requests.labels(route, outcome).inc()
        self._request_seconds.labels(route).observe(seconds)

    def count_hedge(self, outcome: str) -> None:
        """Count a hedge that was sent, or suppressed by the budget."""
        self._hedges.labels(outcome).inc()

    def count_worker_refusal(self, route: str) -> None:
        """Count a request that a worker rejected."""
        self._worker_refusals.labels(route).inc()

    def observe_expected_time(self, expected_seconds: float, observed_seconds: float) -> None:
        """Observe the ratio of the actual to the expected response time."""
        self._expected_time.observe(observed_seconds / expected_seconds)

    def count_batch(self, event: str) -> None:
        """Count an event of a batch job."""
        self._batches.labels(event).inc()

    def count_item_run(self, outcome: str) -> None:
        """Count a completed run of an item."""
        self._item_runs.labels(outcome).inc()

    def observe_item(self, seconds: float) -> None:
        """Observe the time from accepting a batch job to an item's result."""
        self._item_seconds.observe(seconds)

    def count_step_turn(self, turn: str) -> None:
        """Count a step that is deferred or resumed."""
        self._step_turns.labels(turn).inc()

    def count_reward(self, outcome: str, seconds: float) -> None:
        """Count a reward request and observe its duration."""
        self._rewards.labels(outcome).inc()
        self._reward_seconds.observe(seconds)

    def count_store_call(self, outcome: str, seconds: float) -> None:
        """Count a direct call to the key-value store and observe its duration."""
        self._store_calls.labels(outcome).inc()
        self._store_seconds.observe(seconds)

    def count_store_purpose(self, operation: str, subject: str) -> None:
        """Count a call of this node to the key-value store by its purpose."""
        self._store_purposes.labels(operation, subject).inc()

    def count_relayed_store_call(self) -> None:
        """Count a store call that was relayed through another node."""
        self._store_calls.labels("relayed").inc()

    def count_load(self, outcome: str) -> None:
        """Count a completed weight load."""
        self._loads.labels(outcome).inc()

    def count_duty(self, duty: str, outcome: str) -> None:
        """Count a call to the platform under the leader's fence."""
        self._duties.labels(duty, outcome).inc()

    def set_workers(
        self, service: str, *, ready: int, needed: int, ordered: int, waiting_items: int
    ) -> None:
        """Set the worker counts of a service and the number of waiting items."""
        self._workers.labels(service, "ready").set(ready)
        self._workers.labels(service, "needed").set(needed)
        self._workers.labels(service, "ordered").set(ordered)
        self._waiting_items.labels(service).set(waiting_items)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)
