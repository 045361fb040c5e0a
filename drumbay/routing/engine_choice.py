"""Choice of the back end that serves one attempt.

Candidates that may not serve the request are removed, each with its reason. Among the
eligible ones the cheapest of a few random samples is taken: the power of d choices
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10),
2001). The eligible candidate with the best prefix affinity is sampled in addition.

Nodes that share the same old reports tend to send their work to the same few back ends
(Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 11(1), 2000). A reported load is
therefore drawn towards the mean of the eligible back ends as it ages, at the pace at which
requests end there; see ``docs/design/routing.md`` for what this and the number of samples
were measured to do.
"""

import math
import random as random_module
import statistics
from collections.abc import Mapping, Sequence

import msgspec

from drumbay.explain.records import CandidateVerdict, RejectionReason
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.routing.selectors import MODEL_LABEL, LabelPredicate


class BackendView(msgspec.Struct, frozen=True, kw_only=True):
    """What this node knows of one back end.

    Attributes:
        backend_id: The back end.
        labels: Its labels, implied ones included.
        zone: Its zone.
        running: Requests in its batch by its last report.
        waiting: Requests in its queue by its last report.
        reported_at: Monotonic time to which the report refers; ``None`` without a report.
        own_outstanding: This node's attempts that have not ended.
        own_started_since_report: Those of them that the report cannot contain.
        own_finished_since_report: This node's attempts that the report still counts.
        mean_service_seconds: Mean duration of this node's attempts on it; ``None`` if unknown.
        weight_version: Version that serves new requests; ``None`` if unknown.
        highest_fence: Newest fence the back end is known to have seen.
        unavailability: Why it may not be used at all (drained, leaving, unreachable, circuit
            open); ``None`` if it may.
    """

    backend_id: BackendId
    labels: Mapping[str, str]
    zone: str
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
    """What one attempt needs.

    Attributes:
        now: Monotonic time in seconds.
        zone: Zone of this node.
        selects: Compiled selector of the route.
        model: Model that must be loaded; ``None`` for applications.
        required_version: The only version accepted.
        oldest_version: Oldest version accepted.
        newest_version: Newest version accepted.
        already_tried: Back ends of earlier attempts, not to be taken again.
        priority: Larger is served first.
        prefix_affinity: Estimated share of the prompt, 0 to 1, that each back end holds in
            its prefix cache; absent back ends hold none.
    """

    now: float
    zone: str
    selects: LabelPredicate
    model: str | None = None
    required_version: WeightVersion | None = None
    oldest_version: WeightVersion | None = None
    newest_version: WeightVersion | None = None
    already_tried: frozenset[BackendId] = frozenset()
    priority: int = 0
    prefix_affinity: Mapping[BackendId, float] = {}


class ChoicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Weights and limits of the choice; costs are in units of one outstanding request.

    Attributes:
        sample_count: Random candidates compared, the d of the power of d choices.
        old_report_seconds: Median age of the reports from which they count as old.
        sample_count_when_old: Random candidates compared on old reports. Nodes that compare
            many by the same old reports send their work to the same few.
        max_load: Estimated load from which a back end is overloaded.
        reserved_load: Part of ``max_load`` kept for prioritized requests.
        reserved_priority: Priority from which a request may use the reserved part.
        priority_waiting_weight: Cost of a queued request to a prioritized one; engines
            honour priorities, so it overtakes most of the queue.
        other_zone_cost: Cost of leaving this node's zone.
        prefix_affinity_gain: Cost saved when the whole prompt is cached.
        report_memory_services: Mean service times after which a reported load has lost all
            but 1/e of its distance from the mean.
    """

    sample_count: int = 4
    old_report_seconds: float = 5.0
    sample_count_when_old: int = 2
    max_load: int = 256
    reserved_load: int = 32
    reserved_priority: int = 1
    priority_waiting_weight: float = 0.25
    other_zone_cost: float = 1.0
    prefix_affinity_gain: float = 2.0
    report_memory_services: float = 1.0


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a choice.

    Attributes:
        chosen: The back end to use; ``None`` if no candidate is eligible.
        candidates: The candidates as the choice saw them.
        rejections: Per candidate, why it was not taken; ``None`` for the chosen one.
        costs: Costs by index of the candidates that were compared.
    """

    chosen: BackendView | None
    candidates: Sequence[BackendView]
    rejections: Sequence[RejectionReason | None]
    costs: Mapping[int, float]

    def verdicts(self) -> tuple[CandidateVerdict, ...]:
        """Return one verdict per candidate, the chosen one first."""
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
    """Return the requests a back end is thought to hold now.

    The lagging report is corrected by what this node itself started and finished since;
    this node's own outstanding attempts are a lower bound.
    """
    correction = view.own_started_since_report - view.own_finished_since_report
    return max(view.own_outstanding, view.running + view.waiting + correction)


def believed_load(
    *,
    reported: float,
    mean_reported: float,
    memory: float,
    correction: int,
    own_outstanding: int,
) -> float:
    """Return the load by which back ends are compared.

    Args:
        reported: Load in the last report.
        mean_reported: Mean of the last reports of the back ends that may be chosen.
        memory: How much of the report still holds, 0 to 1.
        correction: Own attempts started, less those ended, since the report's moment.
        own_outstanding: Own attempts that have not ended, a lower bound.
    """
    believed = mean_reported + (reported - mean_reported) * memory
    return max(own_outstanding, believed + correction)


def choose_backend(
    request: ChoiceRequest,
    candidates: Sequence[BackendView],
    policy: ChoicePolicy,
    random: random_module.Random,
) -> Choice:
    """Choose the back end of one attempt.

    Args:
        request: What the attempt needs.
        candidates: Back ends this node knows, in any fixed order.
        policy: Weights and limits.
        random: Source of the samples.

    Returns:
        The chosen back end, and why each other candidate was not taken.
    """
    load_limit = policy.max_load
    if request.priority < policy.reserved_priority:
        load_limit -= policy.reserved_load
    rejections = [_rejection(request, view, load_limit) for view in candidates]
    eligible = [index for index, reason in enumerate(rejections) if reason is None]
    if not eligible:
        return Choice(chosen=None, candidates=candidates, rejections=rejections, costs={})
    eligible_views = [candidates[index] for index in eligible]
    sample_count = _sample_count(request.now, eligible_views, policy)
    sampled = _sample(request, candidates, eligible, sample_count, random)
    mean_load = _mean_reported_load(eligible_views)
    costs = {index: _cost(request, candidates[index], policy, mean_load) for index in sampled}
    chosen = min(sampled, key=costs.__getitem__)
    for index in eligible:
        rejections[index] = RejectionReason.NOT_SAMPLED
    for index in sampled:
        rejections[index] = RejectionReason.HIGHER_COST
    rejections[chosen] = None
    return Choice(
        chosen=candidates[chosen], candidates=candidates, rejections=rejections, costs=costs
    )


def _rejection(
    request: ChoiceRequest, view: BackendView, load_limit: int
) -> RejectionReason | None:
    labels = view.labels
    if not request.selects(labels):
        return RejectionReason.SELECTOR
    if request.model is not None and labels.get(MODEL_LABEL) != request.model:
        return RejectionReason.MODEL
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
    """Return whether a request may be served by a version; an unknown one only if any may."""
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
    """Return how many candidates to compare, given how old the reports are."""
    ages = [now - view.reported_at for view in views if view.reported_at is not None]
    # The median, so that one back end that stopped to report does not decide for the others.
    if not ages or statistics.median_low(ages) <= policy.old_report_seconds:
        return policy.sample_count
    return policy.sample_count_when_old


def _sample(
    request: ChoiceRequest,
    candidates: Sequence[BackendView],
    eligible: list[int],
    sample_count: int,
    random: random_module.Random,
) -> list[int]:
    if len(eligible) <= sample_count:
        # NOTE: min() takes the first of equal costs, so the order must be random too.
        return random.sample(eligible, len(eligible))
    sampled = random.sample(eligible, sample_count)
    affinity = request.prefix_affinity
    if not affinity:
        return sampled
    holders = [index for index in eligible if candidates[index].backend_id in affinity]
    if holders:
        best = max(holders, key=lambda index: affinity[candidates[index].backend_id])
        if best not in sampled:
            sampled.append(best)
    return sampled


def _mean_reported_load(views: Sequence[BackendView]) -> float:
    """Return the mean over the back ends that reported, 0 if none did."""
    loads = [view.running + view.waiting for view in views if view.reported_at is not None]
    return sum(loads) / len(loads) if loads else 0.0


def _cost(
    request: ChoiceRequest, view: BackendView, policy: ChoicePolicy, mean_load: float
) -> float:
    is_prioritized = request.priority >= policy.reserved_priority
    waiting_weight = policy.priority_waiting_weight if is_prioritized else 1.0
    reported = view.running + waiting_weight * view.waiting
    memory = _report_memory(request.now, view, policy)
    cost = believed_load(
        reported=reported,
        mean_reported=mean_load,
        memory=memory,
        correction=view.own_started_since_report - view.own_finished_since_report,
        own_outstanding=view.own_outstanding,
    )
    if view.zone != request.zone:
        cost += policy.other_zone_cost
    return cost - policy.prefix_affinity_gain * request.prefix_affinity.get(view.backend_id, 0.0)


def _report_memory(now: float, view: BackendView, policy: ChoicePolicy) -> float:
    """Return how much of a report still holds, from 1 (new) to 0 (old or missing)."""
    if view.reported_at is None:
        return 0.0
    if view.mean_service_seconds is None:
        return 1.0
    memory_seconds = policy.report_memory_services * view.mean_service_seconds
    if memory_seconds <= 0:
        return 0.0
    return math.exp(min(0.0, view.reported_at - now) / memory_seconds)
