"""Benchmark of rollout scheduling policies: trainer idle time and sample staleness."""

import statistics
import sys
from collections.abc import Sequence

import msgspec

from drumbay.bench.rollout_model import (
    RolloutModel,
    RolloutModelParameters,
    Variant,
    staleness_of,
)
from drumbay.resources.schema import RolloutObjective
from drumbay.rollout.policy import BASELINE_POLICY, policy_for

DEFAULT_SEEDS = (1, 2, 3, 4, 5)


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Size, objective and staleness bound of a deployment."""

    name: str
    engines: int
    objective: RolloutObjective
    max_staleness_versions: int


DEPLOYMENTS = (
    Deployment(
        name="bitacora-andina",
        engines=5,
        objective=RolloutObjective.IDLE_TIME,
        max_staleness_versions=1,
    ),
    Deployment(
        name="vakhandel-oost",
        engines=6,
        objective=RolloutObjective.STALENESS,
        max_staleness_versions=1,
    ),
)

BASELINE_NAME = "baseline"


class RunMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run.

    Attributes:
        idle_share: Share of time in which the trainer waited for samples.
        mean_staleness_versions: Mean staleness of the consumed samples.
        fresh_share: Share of samples generated entirely with the trainer's version.
        max_staleness_versions: Maximum staleness of a consumed sample.
        seconds_per_step: Mean time between steps.
        wasted_token_share: Share of generated tokens that were discarded.
    """

    idle_share: float
    mean_staleness_versions: float
    fresh_share: float
    max_staleness_versions: int
    seconds_per_step: float
    wasted_token_share: float


class VariantReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one variant for all seeds, with its mean ratios to the baseline."""

    name: str
    runs: tuple[RunMetrics, ...]
    idle_share_ratio: float
    staleness_ratio: float
    seconds_per_step_ratio: float


class DeploymentReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all variants for one deployment."""

    deployment: Deployment
    seeds: tuple[int, ...]
    variants: tuple[VariantReport, ...]


class RolloutBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of the benchmark."""

    deployments: tuple[DeploymentReport, ...]


def variants_for(deployment: Deployment) -> tuple[Variant, ...]:
    """Return the baseline, the policy of a deployment and ablations of both."""
    policy = policy_for(deployment.objective)
    steps_ahead = deployment.max_staleness_versions
    baseline = Variant(
        name=BASELINE_NAME,
        policy=BASELINE_POLICY,
        submitted_ahead=steps_ahead,
        deferrable_steps=0,
        drains_before_load=True,
    )
    drumbay = Variant(
        name="drumbay",
        policy=policy,
        submitted_ahead=steps_ahead,
        deferrable_steps=0,
        drains_before_load=False,
    )
    replace = msgspec.structs.replace
    variants = [
        baseline,
        replace(baseline, name="baseline, swap in place", drains_before_load=False),
        replace(baseline, name="baseline, nothing ahead", submitted_ahead=0),
        drumbay,
        replace(drumbay, name="drumbay, first come", policy=replace(policy, longest_first=False)),
        replace(drumbay, name="drumbay, no moves", policy=replace(policy, move_long=False)),
        replace(
            drumbay, name="drumbay, expiry ignored", policy=replace(policy, avoid_expiry=False)
        ),
    ]
    if policy.defer_below_quantile > 0.0:
        without_deferral = replace(policy, defer_below_quantile=0.0, newest_version_first=False)
        variants.append(replace(drumbay, name="drumbay, none held", policy=without_deferral))
    return tuple(variants)


def run_variant(parameters: RolloutModelParameters, variant: Variant, seed: int) -> RunMetrics:
    """Run one variant with one seed."""
    model = RolloutModel(parameters, variant, seed)
    model.run()
    steps = model.steps[parameters.warm_up_steps :]
    total_waited = sum(step.waited_seconds for step in steps)
    total_seconds = total_waited + sum(step.trained_seconds for step in steps)
    staleness = list(staleness_of(steps))
    consumed_tokens = sum(step.token_count for step in model.steps)
    unused_tokens = model.generated_tokens - consumed_tokens - model.pending_tokens
    return RunMetrics(
        idle_share=total_waited / total_seconds,
        mean_staleness_versions=statistics.fmean(staleness),
        fresh_share=staleness.count(0) / len(staleness),
        max_staleness_versions=max(staleness),
        seconds_per_step=total_seconds / len(steps),
        wasted_token_share=unused_tokens / model.generated_tokens,
    )


def run_rollout_bench(
    *,
    seeds: Sequence[int] = DEFAULT_SEEDS,
    steps: int = 14,
    warm_up_steps: int = 4,
    deployment_names: Sequence[str] = (),
) -> RolloutBenchReport:
    """Run all variants of the deployments (all by default) with the same seeds."""
    selected = [
        deployment
        for deployment in DEPLOYMENTS
        if not deployment_names or deployment.name in deployment_names
    ]
    reports = [
        run_deployment(deployment, tuple(seeds), steps, warm_up_steps) for deployment in selected
    ]
    return RolloutBenchReport(deployments=tuple(reports))


def run_deployment(
    deployment: Deployment, seeds: tuple[int, ...], steps: int, warm_up_steps: int
) -> DeploymentReport:
    """Run all variants of one deployment."""
    parameters = RolloutModelParameters(
        engines=deployment.engines,
        max_staleness_versions=deployment.max_staleness_versions,
        steps=steps,
        warm_up_steps=warm_up_steps,
    )
    baseline_runs: tuple[RunMetrics, ...] = ()
    reports: list[VariantReport] = []
    for variant in variants_for(deployment):
        runs = tuple(run_variant(parameters, variant, seed) for seed in seeds)
        baseline_runs = baseline_runs or runs
        reports.append(_report(variant, runs, baseline_runs))
    return DeploymentReport(deployment=deployment, seeds=seeds, variants=tuple(reports))


def _report(
    variant: Variant, runs: tuple[RunMetrics, ...], baseline: tuple[RunMetrics, ...]
) -> VariantReport:
    pairs = list(zip(runs, baseline, strict=True))
    return VariantReport(
        name=variant.name,
        runs=runs,
        idle_share_ratio=_mean_ratio([(a.idle_share, b.idle_share) for a, b in pairs]),
        staleness_ratio=_mean_ratio(
            [(a.mean_staleness_versions, b.mean_staleness_versions) for a, b in pairs]
        ),
        seconds_per_step_ratio=_mean_ratio(
            [(a.seconds_per_step, b.seconds_per_step) for a, b in pairs]
        ),
    )


def _mean_ratio(pairs: Sequence[tuple[float, float]]) -> float:
    """Return the mean of the ratios per seed; 1 where both values are equal."""
    return statistics.fmean(
        1.0 if value == reference else value / max(reference, 1e-9) for value, reference in pairs
    )


def format_report(report: RolloutBenchReport) -> str:
    """Return the results as a Markdown table per deployment."""
    lines: list[str] = []
    for result in report.deployments:
        deployment = result.deployment
        lines += [
            f"{deployment.name}: {deployment.engines} engines, objective {deployment.objective}, "
            f"bound {deployment.max_staleness_versions}, seeds {list(result.seeds)}",
            "",
            "| variant | idle share | idle ratio | staleness | staleness ratio "
            "| fresh share | max | s/step | wasted tokens |",
            "|---|---|---|---|---|---|---|---|---|",
        ]
        lines += [_format_variant(variant) for variant in result.variants]
        lines.append("")
    return "\n".join(lines)


def _format_variant(variant: VariantReport) -> str:
    runs = variant.runs

    def mean(values: Sequence[float]) -> float:
        return statistics.fmean(values)

    idle = [run.idle_share for run in runs]
    return (
        f"| {variant.name} | {mean(idle):.3f} ({min(idle):.3f}-{max(idle):.3f}) "
        f"| {variant.idle_share_ratio:.2f} "
        f"| {mean([run.mean_staleness_versions for run in runs]):.3f} "
        f"| {variant.staleness_ratio:.2f} "
        f"| {mean([run.fresh_share for run in runs]):.3f} "
        f"| {max(run.max_staleness_versions for run in runs)} "
        f"| {mean([run.seconds_per_step for run in runs]):.1f} "
        f"| {mean([run.wasted_token_share for run in runs]):.3f} |"
    )


if __name__ == "__main__":
    print(format_report(run_rollout_bench(deployment_names=sys.argv[1:])))
