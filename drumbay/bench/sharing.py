"""Benchmark of engines shared by live requests and rollouts."""

import statistics
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from drumbay.bench.sharing_run import SharingLoad, SharingRun, run_sharing
from drumbay.resources.schema import EngineSharing
from drumbay.simulation.scenario import find_scenario

DEPLOYMENT_NAMES = ("bitacora-andina", "vakhandel-oost")
DEFAULT_SEEDS = (1, 2, 3)
MEDIAN = 0.5
P99 = 0.99

NO_SHARING = EngineSharing(live_weight=0.0, headroom_places=0, preempt=False)
"""Rollouts may use all slots and are never preempted by live requests."""


class SharingVariant(msgspec.Struct, frozen=True, kw_only=True):
    """Variant under comparison.

    Attributes:
        name: Name in the report.
        sharing: Sharing policy of the engines.
        with_rollouts: Whether a trainer runs.
    """

    name: str
    sharing: EngineSharing
    with_rollouts: bool = True


VARIANTS = (
    SharingVariant(name="no rollouts", sharing=EngineSharing(), with_rollouts=False),
    SharingVariant(name="not shared", sharing=NO_SHARING),
    SharingVariant(name="shares only", sharing=EngineSharing(headroom_places=0, preempt=False)),
    SharingVariant(name="shares, headroom", sharing=EngineSharing(preempt=False)),
    SharingVariant(name="shares, pre-emption", sharing=EngineSharing(headroom_places=0)),
    SharingVariant(name="all", sharing=EngineSharing()),
    SharingVariant(name="all, headroom 1", sharing=EngineSharing(headroom_places=1)),
    SharingVariant(name="all, headroom 4", sharing=EngineSharing(headroom_places=4)),
)


class SharingMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run; times in seconds.

    Attributes:
        seed: Seed of the run.
        requests: Number of live requests.
        first_token_p50: Median time to first token.
        first_token_p99: 99th percentile of the time to first token.
        total_p50: Median latency of answered requests.
        total_p99: 99th percentile of the latency of answered requests.
        failures: Failed and refused requests by error code.
        idle_share: Share of time in which the trainer waited for samples.
        steps: Completed training steps.
        sample_tokens: Tokens of the consumed samples.
    """

    seed: int
    requests: int
    first_token_p50: float
    first_token_p99: float
    total_p50: float
    total_p99: float
    failures: dict[str, int]
    idle_share: float
    steps: int
    sample_tokens: int


class SharingVariantReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one variant for one deployment, with mean ratios to the first variant."""

    deployment: str
    variant: str
    runs: tuple[SharingMetrics, ...]
    first_token_p50_ratio: float
    first_token_p99_ratio: float
    total_p50_ratio: float
    total_p99_ratio: float


def run_sharing_bench(
    *,
    deployment_names: Sequence[str] = DEPLOYMENT_NAMES,
    variant_names: Sequence[str] = (),
    seeds: Sequence[int] = DEFAULT_SEEDS,
    load: SharingLoad | None = None,
) -> tuple[SharingVariantReport, ...]:
    """Run the variants (all by default) of the deployments with the same seeds."""
    base_load = load or SharingLoad()
    baseline, *others = VARIANTS
    selected = [v for v in others if not variant_names or v.name in variant_names]
    reports: list[SharingVariantReport] = []
    for name in deployment_names:
        baseline_runs: tuple[SharingMetrics, ...] = ()
        for variant in (baseline, *selected):
            runs = tuple(_summarize(seed, _run(name, variant, seed, base_load)) for seed in seeds)
            baseline_runs = baseline_runs or runs
            reports.append(_report(name, variant, runs, baseline_runs))
    return tuple(reports)


def _run(deployment: str, variant: SharingVariant, seed: int, load: SharingLoad) -> SharingRun:
    if not variant.with_rollouts:
        load = msgspec.structs.replace(load, samples_per_step=0)
    return run_sharing(find_scenario(deployment), load, seed, variant.sharing)


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile of the values; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _summarize(seed: int, run: SharingRun) -> SharingMetrics:
    first_token_times = [
        outcome.first_token_seconds
        for outcome in run.live
        if outcome.first_token_seconds is not None
    ]
    total_times = [outcome.total_seconds for outcome in run.live if not outcome.failure]
    failures = Counter(outcome.failure for outcome in run.live if outcome.failure)
    return SharingMetrics(
        seed=seed,
        requests=len(run.live),
        first_token_p50=percentile(first_token_times, MEDIAN),
        first_token_p99=percentile(first_token_times, P99),
        total_p50=percentile(total_times, MEDIAN),
        total_p99=percentile(total_times, P99),
        failures=dict(sorted(failures.items())),
        idle_share=run.idle_share,
        steps=run.steps,
        sample_tokens=run.sample_tokens,
    )


def _report(
    deployment: str,
    variant: SharingVariant,
    runs: tuple[SharingMetrics, ...],
    baseline: tuple[SharingMetrics, ...],
) -> SharingVariantReport:
    def ratio(metric: Callable[[SharingMetrics], float]) -> float:
        pairs = zip(runs, baseline, strict=True)
        return statistics.fmean(metric(run) / metric(baseline_run) for run, baseline_run in pairs)

    return SharingVariantReport(
        deployment=deployment,
        variant=variant.name,
        runs=runs,
        first_token_p50_ratio=ratio(lambda run: run.first_token_p50),
        first_token_p99_ratio=ratio(lambda run: run.first_token_p99),
        total_p50_ratio=ratio(lambda run: run.total_p50),
        total_p99_ratio=ratio(lambda run: run.total_p99),
    )


def format_sharing(reports: Sequence[SharingVariantReport]) -> str:
    """Return a Markdown table of the means over all seeds, with ratios in parentheses."""
    lines = [
        "| deployment | variant | first token p50, s | p99, s (range) | total p50, s | p99, s "
        "| failed | idle share | sample tokens |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    return "\n".join([*lines, *(_row(report) for report in reports)])


def _row(report: SharingVariantReport) -> str:
    runs = report.runs

    def mean(metric: Callable[[SharingMetrics], float]) -> float:
        return statistics.fmean(metric(run) for run in runs)

    p99_values = [run.first_token_p99 for run in runs]
    failed = sum(sum(run.failures.values()) for run in runs)
    requests = sum(run.requests for run in runs)
    return (
        f"| {report.deployment} | {report.variant} "
        f"| {mean(lambda run: run.first_token_p50):.3f} ({report.first_token_p50_ratio:.2f}) "
        f"| {mean(lambda run: run.first_token_p99):.3f} ({report.first_token_p99_ratio:.2f}; "
        f"{min(p99_values):.2f}-{max(p99_values):.2f}) "
        f"| {mean(lambda run: run.total_p50):.3f} ({report.total_p50_ratio:.2f}) "
        f"| {mean(lambda run: run.total_p99):.3f} ({report.total_p99_ratio:.2f}) "
        f"| {failed} of {requests} "
        f"| {mean(lambda run: run.idle_share):.3f} "
        f"| {mean(lambda run: run.sample_tokens):.0f} |"
    )
