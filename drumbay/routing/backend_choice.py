"""Selects the backend for one attempt.

Candidates that cannot serve the request are filtered out, each with a rejection reason. Of
the eligible ones, a few random candidates are compared and the cheapest is selected: the
power of d choices (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
IEEE TPDS 12(10), 2001). The eligible candidate with the best prefix affinity is always
compared as well.

Nodes that act on the same stale reports overload the same few backends (Mitzenmacher, "How
Useful Is Old Information?", IEEE TPDS 11(1), 2000). As a report ages, its load is therefore
shrunk towards the mean of the eligible backends, at the rate at which requests finish there;
see ``docs/design/routing.md``.
"""

import math
import random as random_module
import statistics
from collections.abc import Mapping, Sequence

import msgspec

from drumbay.explain.records import CandidateVerdict, RejectionReason
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.topology import UNKNOWN_REGION
from drumbay.routing.selectors import MODEL_LABEL, LabelPredicate


class BackendView(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of one backend as seen by this node.

    Attributes:
        backend_id: The backend.
        labels: Its labels, including the implied ones.
        zone: Its zone.
        region: The region of its zone; ``UNKNOWN_REGION`` if the settings do not list the zone.
        running: Requests in its batch, from its last report.
        waiting: Requests in its queue, from its last report.
        reported_at: Monotonic time at which the report was taken; ``None`` without a report.
        own_outstanding: Unfinished attempts of this node.
        own_started_since_report: Unfinished attempts of this node that started after the report
            was taken.
        own_finished_since_report: Attempts of this node that finished after the report was
            taken.
        mean_service_seconds: Mean duration of this node's attempts on it; ``None`` if unknown.
        weight_version: Version that serves new requests; ``None`` if unknown.
        highest_fence: Highest fencing token that the backend is known to have seen.
        unavailability: Why it must not be used (drained, zone evacuated, leaving, unreachable,
            circuit open); ``None`` if it is available.
    """

    backend_id: BackendId
    labels: Mapping[str, str]
    zone: str
    region: str = UNKNOWN_REGION
    running: int = 0
    waiting: int = 0
    reported_at: float | None = None
    own_outstanding: int = 0
    own_started_since_report: int = 0
    own_finished_since_report: int = 0
    mean_service_seconds: float | None = None
    weight_version: WeightVersion | None = None
    highest_fence: Fence = Fence(0)
    unavailability: RejectionReason | None = None


class ChoiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Requirements of one attempt.

    Attributes:
        now: Monotonic time in seconds.
        zone: Zone of this node.
        matches_selector: Compiled label selector of the route.
        allowed_regions: Regions in which the request may run.
        model: Model that must be loaded; ``None`` for applications.
        required_version: The only version accepted.
        oldest_version: Oldest version accepted.
        newest_version: Newest version accepted.
        already_tried: Backends of earlier attempts, which are excluded.
        priority: Requests of higher priority are served first.
        prefix_affinity: Estimated share of the prompt, 0 to 1, in the prefix cache of each
            backend; absent backends count as 0.
    """

    now: float
    zone: str
    matches_selector: LabelPredicate
    allowed_regions: AllowedRegions = ANY_REGION
    model: str | None = None
    required_version: WeightVersion | None = None
    oldest_version: WeightVersion | None = None
    newest_version: WeightVersion | None = None
    already_tried: frozenset[BackendId] = frozenset()
    priority: int = 0
    prefix_affinity: Mapping[BackendId, float] = {}


class ChoicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Cost weights and load limits; one outstanding request costs 1.

    Attributes:
        sample_count: Random candidates to compare, the d of the power of d choices.
        stale_report_seconds: Median report age above which reports count as stale.
        stale_sample_count: Random candidates to compare on stale reports; fewer, so that
            nodes do not all select the same backend.
        max_load: Estimated load at which a backend is overloaded.
        reserved_load: Part of ``max_load`` reserved for prioritized requests.
        reserved_priority: Lowest priority that may use the reserved part.
        prioritized_waiting_weight: Cost of a queued request to a prioritized one, which
            overtakes most of the queue.
        cross_zone_cost: Cost of a backend in another zone.
        prefix_affinity_discount: Cost saved when the whole prompt is cached.
        report_decay_service_times: Time constant, in mean service times, with which a reported
            load decays towards the mean load.
    """

    sample_count: int = 4
    stale_report_seconds: float = 5.0
    stale_sample_count: int = 2
    max_load: int = 256
    reserved_load: int = 32
    reserved_priority: int = 1
    prioritized_waiting_weight: float = 0.25
    cross_zone_cost: float = 1.0
    prefix_affinity_discount: float = 2.0
    report_decay_service_times: float = 1.0


class BackendChoice(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a backend selection.

    Attributes:
        chosen: The selected backend; ``None`` if no candidate is eligible.
        candidates: All candidates.
        rejections: Why each candidate was not selected; ``None`` for the selected one.
        costs: Costs of the compared candidates, by index.
    """

    chosen: BackendView | None
    candidates: Sequence[BackendView]
    rejections: Sequence[RejectionReason | None]
    costs: Mapping[int, float]

    def verdicts(self) -> tuple[CandidateVerdict, ...]:
        """Return one verdict per candidate, the selected one first."""
        verdicts = [
            CandidateVerdict(
                backend_id=view.backend_id,
                rejection=self.rejections[index],
                cost=self.costs.get(index),
                weight_version=view.weight_version,
                outstanding=view.own_outstanding,
            )
            for index, view in enumerate(self.candidates)
        ]
        verdicts.sort(key=lambda verdict: verdict.rejection is not None)
        return tuple(verdicts)


def estimated_load(view: BackendView) -> int:
    """Return the estimated number of requests on a backend.

    Corrects the last report by the attempts that this node started and finished since. The
    node's own outstanding attempts are a lower bound.
    """
    correction = view.own_started_since_report - view.own_finished_since_report
    return max(view.own_outstanding, view.running + view.waiting + correction)


def decayed_load(
    *,
    reported: float,
    mean_reported: float,
    report_weight: float,
    correction: int,
    own_outstanding: int,
) -> float:
    """Return the load by which backends are compared.

    Args:
        reported: Load in the last report.
        mean_reported: Mean reported load of the eligible backends.
        report_weight: Weight of the report against the mean, 0 to 1.
        correction: Attempts of this node started minus those finished since the report.
        own_outstanding: Unfinished attempts of this node, a lower bound.
    """
    decayed = mean_reported + (reported - mean_reported) * report_weight
    return max(own_outstanding, decayed + correction)


def choose_backend(
    request: ChoiceRequest,
    candidates: Sequence[BackendView],
    policy: ChoicePolicy,
    random: random_module.Random,
) -> BackendChoice:
    """Select the backend for one attempt.

    Args:
        request: Requirements of the attempt.
        candidates: Backends known to this node, in any fixed order.
        policy: Cost weights and load limits.
        random: Random number generator.

    Returns:
        The selected backend, and why each other candidate was not selected.
    """
    load_limit = policy.max_load
    if request.priority < policy.reserved_priority:
        load_limit -= policy.reserved_load
    rejections = [_rejection_reason(request, view, load_limit) for view in candidates]
    eligible = [index for index, reason in enumerate(rejections) if reason is None]
    if not eligible:
        return BackendChoice(chosen=None, candidates=candidates, rejections=rejections, costs={})
    eligible_views = [candidates[index] for index in eligible]
    sample_count = _sample_count(request.now, eligible_views, policy)
    sampled = _sample_candidates(request, candidates, eligible, sample_count, random)
    mean_load = _mean_reported_load(eligible_views)
    costs = {index: _cost(request, candidates[index], policy, mean_load) for index in sampled}
    chosen = min(sampled, key=costs.__getitem__)
    for index in eligible:
        rejections[index] = RejectionReason.NOT_SAMPLED
    for index in sampled:
        rejections[index] = RejectionReason.HIGHER_COST
    rejections[chosen] = None
    return BackendChoice(
        chosen=candidates[chosen], candidates=candidates, rejections=rejections, costs=costs
    )


def _rejection_reason(
    request: ChoiceRequest, view: BackendView, load_limit: int
) -> RejectionReason | None:
    labels = view.labels
    if not request.matches_selector(labels):
        return RejectionReason.SELECTOR
    if request.model is not None and labels.get(MODEL_LABEL) != request.model:
        return RejectionReason.MODEL
    if not request.allowed_regions.permits(view.region):
        return RejectionReason.REGION_NOT_ALLOWED
    if view.unavailability is not None:
        return view.unavailability
    if not accepts_version(request, view.weight_version):
        return RejectionReason.VERSION
    if view.backend_id in request.already_tried:
        return RejectionReason.ALREADY_TRIED
    if estimated_load(view) >= load_limit:
        return RejectionReason.OVERLOADED
    return None


def accepts_version(request: ChoiceRequest, version: WeightVersion | None) -> bool:
    """Return whether a request accepts a version; an unknown one only if it accepts any."""
    required = request.required_version
    oldest = request.oldest_version
    newest = request.newest_version
    if version is None:
        return required is None and oldest is None and newest is None
    if required is not None and version != required:
        return False
    if oldest is not None and version < oldest:
        return False
    return newest is None or version <= newest


def _sample_count(now: float, views: Sequence[BackendView], policy: ChoicePolicy) -> int:
    """Return how many candidates to compare, depending on the age of the reports."""
    ages = [now - view.reported_at for view in views if view.reported_at is not None]
    # The median is robust against a single backend that stopped reporting.
    if not ages or statistics.median_low(ages) <= policy.stale_report_seconds:
        return policy.sample_count
    return policy.stale_sample_count


def _sample_candidates(
    request: ChoiceRequest,
    candidates: Sequence[BackendView],
    eligible: list[int],
    sample_count: int,
    random: random_module.Random,
) -> list[int]:
    if len(eligible) <= sample_count:
        # Shuffled, because min() returns the first of several equal costs.
        return random.sample(eligible, len(eligible))
    sampled = random.sample(eligible, sample_count)
    affinity = request.prefix_affinity
    if not affinity:
        return sampled
    cache_holders = [index for index in eligible if candidates[index].backend_id in affinity]
    if cache_holders:
        best = max(cache_holders, key=lambda index: affinity[candidates[index].backend_id])
        if best not in sampled:
            sampled.append(best)
    return sampled


def _mean_reported_load(views: Sequence[BackendView]) -> float:
    """Return the mean reported load; 0 without any report."""
    loads = [view.running + view.waiting for view in views if view.reported_at is not None]
    return sum(loads) / len(loads) if loads else 0.0


def _cost(
    request: ChoiceRequest, view: BackendView, policy: ChoicePolicy, mean_load: float
) -> float:
    is_prioritized = request.priority >= policy.reserved_priority
    waiting_weight = policy.prioritized_waiting_weight if is_prioritized else 1.0
    reported = view.running + waiting_weight * view.waiting
    report_weight = _report_weight(request.now, view, policy)
    cost = decayed_load(
        reported=reported,
        mean_reported=mean_load,
        report_weight=report_weight,
        correction=view.own_started_since_report - view.own_finished_since_report,
        own_outstanding=view.own_outstanding,
    )
    if view.zone != request.zone:
        cost += policy.cross_zone_cost
    return cost - policy.prefix_affinity_discount * request.prefix_affinity.get(
        view.backend_id, 0.0
    )


def _report_weight(now: float, view: BackendView, policy: ChoicePolicy) -> float:
    """Return the weight of a report, from 1 (new) to 0 (stale or missing)."""
    if view.reported_at is None:
        return 0.0
    if view.mean_service_seconds is None:
        return 1.0
    decay_seconds = policy.report_decay_service_times * view.mean_service_seconds
    if decay_seconds <= 0:
        return 0.0
    return math.exp(min(0.0, view.reported_at - now) / decay_seconds)
