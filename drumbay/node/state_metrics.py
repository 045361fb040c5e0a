"""Prometheus metrics that are computed from a node's state on each scrape."""

from collections import Counter
from collections.abc import Callable, Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from drumbay.clock import Clock
from drumbay.delivery.exceptions import NotOwnerError
from drumbay.delivery.service import DeliveryService
from drumbay.membership.records import MemberState
from drumbay.node.coordination import CoordinationServices
from drumbay.node.weights import WeightSupervisor
from drumbay.routing.directory import BackendDirectory

AVAILABLE = "none"
"""Value of the metric label ``reason`` for available backends."""


class NodeStateCollector(Collector):
    """Collects metrics from the state of one node's services, on each scrape.

    Args:
        clock: Source of the current time.
        coordination: Membership and configuration.
        directory: The node's view of the backends.
        delivery: The streams owned by the node.
        weights: The weight rollouts owned by the node.
        in_flight: Returns the number of requests in flight.
        rejected_frames: Returns the number of rejected frames by code.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        coordination: CoordinationServices,
        directory: BackendDirectory,
        delivery: DeliveryService,
        weights: WeightSupervisor,
        in_flight: Callable[[], int],
        rejected_frames: Callable[[], dict[str, int]],
    ) -> None:
        """Create a collector; register it with the node's registry."""
        self._clock = clock
        self._coordination = coordination
        self._directory = directory
        self._delivery = delivery
        self._weights = weights
        self._in_flight = in_flight
        self._rejected_frames = rejected_frames

    def describe(self) -> tuple[Metric, ...]:
        """Return nothing, so that registration does not collect metrics."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Yield every metric with its current value."""
        yield _gauge("drumbay_requests_in_flight", "Requests in flight.", self._in_flight())
        yield from self._configuration_metrics()
        yield self._member_metric()
        yield self._backend_metric()
        yield from self._stream_metrics()
        yield from self._weight_rollout_metrics()
        yield self._rejected_frame_metric()

    def _configuration_metrics(self) -> Iterator[Metric]:
        readiness = self._coordination.configuration.readiness()
        yield _gauge(
            "drumbay_configuration_revision", "Revision in force.", int(readiness.revision)
        )
        yield _gauge("drumbay_configuration_ready", "1 once one is loaded.", int(readiness.ready))
        age = GaugeMetricFamily(
            "drumbay_configuration_confirmed_age_seconds",
            "Time since nothing newer was known to be in force; absent before the first time.",
        )
        if readiness.confirmed_age_seconds is not None:
            age.add_metric((), readiness.confirmed_age_seconds)
        yield age

    def _member_metric(self) -> Metric:
        counts = Counter(member.state for member in self._coordination.membership.members())
        family = GaugeMetricFamily("drumbay_members", "Known nodes by state.", labels=("state",))
        for state in MemberState:
            family.add_metric((state.name.lower(),), counts[state])
        return family

    def _backend_metric(self) -> Metric:
        views = self._directory.views(self._clock.monotonic())
        reasons = Counter(
            AVAILABLE if view.unavailability is None else view.unavailability.value
            for view in views
        )
        family = GaugeMetricFamily(
            "drumbay_backends", "Back ends by why they get no work.", labels=("reason",)
        )
        for reason in sorted({AVAILABLE, *reasons}):
            family.add_metric((reason,), reasons[reason])
        return family

    def _stream_metrics(self) -> Iterator[Metric]:
        owned = GaugeMetricFamily(
            "drumbay_stream_owned", "1 for each stream that this node owns.", labels=("stream",)
        )
        delivered = GaugeMetricFamily(
            "drumbay_stream_delivered_samples",
            "Samples in fixed batches since the stream began.",
            labels=("stream",),
        )
        missing = GaugeMetricFamily(
            "drumbay_stream_missing_samples", "Samples still to be generated.", labels=("stream",)
        )
        for stream in self._delivery.owned_streams:
            try:
                progress = self._delivery.progress(stream)
                missing_count = len(self._delivery.missing(stream))
            except NotOwnerError:
                continue
            owned.add_metric((stream,), 1)
            delivered.add_metric((stream,), progress.delivered_samples)
            missing.add_metric((stream,), missing_count)
        yield from (owned, delivered, missing)

    def _weight_rollout_metrics(self) -> Iterator[Metric]:
        target = GaugeMetricFamily(
            "drumbay_weights_target_version",
            "Version that this node rolls out, for the models whose rollout it owns.",
            labels=("model",),
        )
        done = GaugeMetricFamily(
            "drumbay_weights_rollout_done", "1 if the rollout has ended.", labels=("model",)
        )
        loading = GaugeMetricFamily(
            "drumbay_weights_loading_engines", "Engines that work on an order.", labels=("model",)
        )
        for rollout in self._weights.owned_rollouts():
            target.add_metric((rollout.model,), rollout.target)
            done.add_metric((rollout.model,), int(rollout.done))
            loading.add_metric((rollout.model,), rollout.loading_engines)
        yield from (target, done, loading)

    def _rejected_frame_metric(self) -> Metric:
        family = CounterMetricFamily(
            "drumbay_frames_refused", "Frames of other nodes refused, by code.", labels=("code",)
        )
        for code, count in sorted(self._rejected_frames().items()):
            family.add_metric((code,), count)
        return family


def _gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, help_text, value=value)
