"""Counters and latency histograms of a serving node, in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REQUEST_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
ITEM_BUCKETS_SECONDS = (0.25, 0.5, 1, 2, 4, 6, 8, 12, 20, 60)
WAIT_BUCKETS_SECONDS = (0.001, 0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2)
HIGHEST_RANK_LABEL = 9
"""Ranks beyond share a label, so that a configuration cannot add labels without bound."""

STORE_BUCKETS_SECONDS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1)


class ServingMetrics:
    """What a serving node counts; labels hold names of routes, operations and outcomes only."""

    def __init__(self) -> None:
        """Register the metrics in a registry of their own."""
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

    def set_waiting(self, service: str, count: int) -> None:
        """Take how many requests wait for a service."""
        self._waiting.labels(service).set(count)

    def count_admitted(self, service: str, waited_seconds: float) -> None:
        """Count a request that went out, with its wait."""
        self._admitted.labels(service).inc()
        self._admission_seconds.labels(service).observe(waited_seconds)

    def count_rejected(self, service: str, reason: str, rank: int) -> None:
        """Count a request that was not admitted."""
        label = str(min(rank, HIGHEST_RANK_LABEL))
        self._rejected.labels(service, reason, label).inc()

    def count_worker_death(self) -> None:
        """Count a worker that ended under a request."""
        self._worker_deaths.inc()

    def count_held_request(self, reason: str) -> None:
        """Count a request that was held back."""
        self._held_requests.labels(reason).inc()

    def count_silent_connection(self) -> None:
        """Count a connection that was given up without a word from the peer."""
        self._silent_connections.inc()

    def count_worker_pause(self) -> None:
        """Count a pause of a worker after a failure."""
        self._worker_pauses.inc()

    def count_refused_key(self, reason: str) -> None:
        """Count a request whose key was missing, not known, or could not be judged here."""
        self._refused_keys.labels(reason).inc()

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a client's request that got its final answer."""
        self._requests.labels(route, outcome).inc()
        self._request_seconds.labels(route).observe(seconds)

    def count_batch(self, event: str) -> None:
        """Count something that happened to a batch job."""
        self._batches.labels(event).inc()

    def count_item_run(self, outcome: str) -> None:
        """Count the end of an item's run."""
        self._item_runs.labels(outcome).inc()

    def observe_item(self, seconds: float) -> None:
        """Take the time from a batch job's start to an item's result."""
        self._item_seconds.observe(seconds)

    def count_reward(self, outcome: str, seconds: float) -> None:
        """Count a reward request that got its score or brought none."""
        self._rewards.labels(outcome).inc()
        self._reward_seconds.observe(seconds)

    def count_store_call(self, outcome: str, seconds: float) -> None:
        """Count a direct call to the key-value service."""
        self._store_calls.labels(outcome).inc()
        self._store_seconds.observe(seconds)

    def count_relayed_store_call(self) -> None:
        """Count a call that another node carried out."""
        self._store_calls.labels("relayed").inc()

    def count_load(self, outcome: str) -> None:
        """Count the end of a load."""
        self._loads.labels(outcome).inc()

    def count_duty(self, duty: str, outcome: str) -> None:
        """Count a call to the platform under the leader's fence."""
        self._duties.labels(duty, outcome).inc()

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)
