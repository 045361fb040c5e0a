"""Event-driven Prometheus metrics of one node.

Each node has its own registry, so that several nodes can run in one process. Metrics derived from
the node's state on scrape are in :mod:`drumbay.node.state_metrics`. To limit cardinality, labels
contain names of routes, streams and failure codes only, never ids of requests or back ends.
"""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Histogram

NO_ROUTE = "none"
"""Value of the label ``route`` for requests without a route."""

REQUEST_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300)
CLAIM_BUCKETS_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)


class AttemptResult(StrEnum):
    """Outcome of an attempt on a back end."""

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


class NodeMetrics:
    """Counters and histograms of one node.

    Attributes:
        registry: Registry of these and all other metrics served at ``/metrics``.

    Args:
        registry: Registry of the node; a new one by default.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Register the metrics."""
        self.registry = registry or CollectorRegistry()
        self._requests = self._counter(
            "drumbay_requests", "Ended requests by final answer.", ("route", "outcome")
        )
        self._request_duration = self._histogram(
            "drumbay_request_duration_seconds",
            "Time from taking a request to its final answer.",
            REQUEST_BUCKETS_SECONDS,
            ("route",),
        )
        self._attempts = self._counter(
            "drumbay_attempts", "Attempts on back ends by how they ended.", ("outcome",)
        )
        self._retries = self._counter(
            "drumbay_retries", "Attempts after the first one of a request.", ("route",)
        )
        self._refusals = self._counter(
            "drumbay_refusals", "Requests not admitted, by reason.", ("route", "reason")
        )
        self._claims = self._counter(
            "drumbay_claims", "Ended claims of idempotency keys.", ("outcome",)
        )
        self._claim_duration = self._histogram(
            "drumbay_claim_duration_seconds",
            "Time from a claim's start to the permission to dispatch.",
            CLAIM_BUCKETS_SECONDS,
        )
        self._samples_finished = self._counter(
            "drumbay_samples_finished", "Samples generated to their end.", ("stream",)
        )
        self._samples_stale = self._counter(
            "drumbay_samples_stale", "Finished samples dropped as too old.", ("stream",)
        )
        self._batches_stale = self._counter(
            "drumbay_batches_stale",
            "Pulls of a batch that had become too old.",
            ("stream",),
        )

    def _counter(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Counter:
        return Counter(name, documentation, labels, registry=self.registry)

    def _histogram(
        self,
        name: str,
        documentation: str,
        buckets: tuple[float, ...],
        labels: tuple[str, ...] = (),
    ) -> Histogram:
        return Histogram(name, documentation, labels, buckets=buckets, registry=self.registry)

    def record_request(self, route: str, outcome: str, duration_seconds: float) -> None:
        """Count a request that got its final response, or whose caller disconnected."""
        self._requests.labels(route, outcome).inc()
        self._request_duration.labels(route).observe(duration_seconds)

    def record_attempt(self, result: AttemptResult) -> None:
        """Count an attempt on a back end."""
        self._attempts.labels(result.value).inc()

    def record_retry(self, route: str) -> None:
        """Count an attempt after a failed one of the same request."""
        self._retries.labels(route).inc()

    def record_refusal(self, route: str, reason: str) -> None:
        """Count a request that was not admitted."""
        self._refusals.labels(route, reason).inc()

    def record_claim(self, outcome: str) -> None:
        """Count a completed claim."""
        self._claims.labels(outcome).inc()

    def record_claim_duration(self, duration_seconds: float) -> None:
        """Observe the time from the start of a claim until its dispatch."""
        self._claim_duration.observe(duration_seconds)

    def record_sample_finished(self, stream: str) -> None:
        """Count a finished sample."""
        self._samples_finished.labels(stream).inc()

    def record_samples_stale(self, stream: str, count: int) -> None:
        """Count finished samples that are too old for any batch."""
        self._samples_stale.labels(stream).inc(count)

    def record_batch_stale(self, stream: str) -> None:
        """Count a pull that was rejected because its batch had become stale."""
        self._batches_stale.labels(stream).inc()
