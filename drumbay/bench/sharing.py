"""Live traffic beside a trainer: what rollouts cost live requests, and the reverse."""

import statistics
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from drumbay.bench.sharing_world import SharingLoad, SharingRun, run_sharing
from drumbay.resources.schema import EngineSharing
from drumbay.simulation.scenario import find_scenario

DEPLOYMENT_NAMES = ("bitacora-andina", "vakhandel-oost")
DEFAULT_SEEDS = (1, 2, 3)
MEDIAN = 0.5
TAIL = 0.99

NO_SHARING = EngineSharing(live_weight=0.0, headroom_places=0, preempt=False)
"""Rollouts may fill every place, and are never stopped for live requests."""


class SharingVariant(msgspec.Struct, frozen=True, kw_only=True):
    """What is compared.

    Attributes:
        name: Name in the report.
        sharing: How engines are shared.
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


class SharingFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run; times in seconds.

    Attributes:
        seed: Seed of the run.
        requests: Live requests.
        first_token_p50: Median time to the first token.
        first_token_p99: Its 99th percentile.
        total_p50: Median time to the last token, of answered requests.
        total_p99: Its 99th percentile.
        failures: Requests without an answer, by code; refusals are among them.
        idle_share: Share of time in which the trainer waited for samples.
        steps: Steps that the trainer finished.
        sample_tokens: Tokens of the samples that the trainer consumed.
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
    """Figures of one variant on one deployment, with mean ratios to the first variant."""

    deployment: str
    variant: str
    runs: tuple[SharingFigures, ...]
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
    """Run the variants (all by default) of the deployments on the same seeds."""
    usual = load or SharingLoad()
    reference, *others = VARIANTS
    chosen = [v for v in others if not variant_names or v.name in variant_names]
    reports: list[SharingVariantReport] = []
    for name in deployment_names:
        reference_runs: tuple[SharingFigures, ...] = ()
        for variant in (reference, *chosen):
            runs = tuple(_figures(seed, _run(name, variant, seed, usual)) for seed in seeds)
            reference_runs = reference_runs or runs
            reports.append(_report(name, variant, runs, reference_runs))
    return tuple(reports)


def _run(deployment: str, variant: SharingVariant, seed: int, load: SharingLoad) -> SharingRun:
    if not variant.with_rollouts:
        load = msgspec.structs.replace(load, samples_per_step=0)
    return run_sharing(find_scenario(deployment), load, seed, variant.sharing)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _figures(seed: int, run: SharingRun) -> SharingFigures:
    firsts = [
        outcome.first_token_seconds
        for outcome in run.live
        if outcome.first_token_seconds is not None
    ]
    totals = [outcome.total_seconds for outcome in run.live if not outcome.failure]
    failures = Counter(outcome.failure for outcome in run.live if outcome.failure)
    return SharingFigures(
        seed=seed,
        requests=len(run.live),
        first_token_p50=percentile(firsts, MEDIAN),
        first_token_p99=percentile(firsts, TAIL),
        total_p50=percentile(totals, MEDIAN),
        total_p99=percentile(totals, TAIL),
        failures=dict(sorted(failures.items())),
        idle_share=run.idle_share,
        steps=run.steps,
        sample_tokens=run.sample_tokens,
    )


def _report(
    deployment: str,
    variant: SharingVariant,
    runs: tuple[SharingFigures, ...],
    reference: tuple[SharingFigures, ...],
) -> SharingVariantReport:
    def ratio(figure: Callable[[SharingFigures], float]) -> float:
        pairs = zip(runs, reference, strict=True)
        return statistics.fmean(figure(run) / figure(alone) for run, alone in pairs)

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
    """Return the results as a Markdown table; means over the seeds, ratios in brackets."""
    lines = [
        "| deployment | variant | first token p50, s | p99, s (range) | total p50, s | p99, s "
        "| failed | idle share | sample tokens |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    return "\n".join([*lines, *(_row(report) for report in reports)])


def _row(report: SharingVariantReport) -> str:
    runs = report.runs

    def mean(figure: Callable[[SharingFigures], float]) -> float:
        return statistics.fmean(figure(run) for run in runs)

    tails = [run.first_token_p99 for run in runs]
    failed = sum(sum(run.failures.values()) for run in runs)
    requests = sum(run.requests for run in runs)
    return (
        f"| {report.deployment} | {report.variant} "
        f"| {mean(lambda run: run.first_token_p50):.3f} ({report.first_token_p50_ratio:.2f}) "
        f"| {mean(lambda run: run.first_token_p99):.3f} ({report.first_token_p99_ratio:.2f}; "
        f"{min(tails):.2f}-{max(tails):.2f}) "
        f"| {mean(lambda run: run.total_p50):.3f} ({report.total_p50_ratio:.2f}) "
        f"| {mean(lambda run: run.total_p99):.3f} ({report.total_p99_ratio:.2f}) "
        f"| {failed} of {requests} "
        f"| {mean(lambda run: run.idle_share):.3f} "
        f"| {mean(lambda run: run.sample_tokens):.0f} |"
    )
