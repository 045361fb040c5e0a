"""Compares the results of callers and the trainer with the emulators' execution logs."""

from collections import Counter
from collections.abc import Iterable

from drumbay.acceptance.calls import Caller
from drumbay.acceptance.records import (
    AcceptancePlan,
    AcceptanceResult,
    BookingResult,
    LiveResult,
    Mismatch,
)
from drumbay.api.schema import ResourceListBody
from drumbay.requests.errors import NotReadyError
from drumbay.resources.schema import BackendGroup, BackendKind
from drumbay.standins.application_model import ApplicationOperation, answer_digest
from drumbay.standins.execution_log import (
    AnyExecutionRecord,
    ApplicationExecuted,
    ExecutionLogPage,
    GenerationEnded,
    SampleConsumed,
)


class DeploymentLogs:
    """Execution logs of a deployment.

    Args:
        engines: Records of all engines.
        applications: Records of all applications.
        trainer: Records of the trainer.
    """

    def __init__(
        self,
        engines: list[AnyExecutionRecord],
        applications: list[AnyExecutionRecord],
        trainer: list[AnyExecutionRecord],
    ) -> None:
        """Select the records to compare."""
        self.generations = [entry for entry in engines if isinstance(entry, GenerationEnded)]
        executed = [entry for entry in applications if isinstance(entry, ApplicationExecuted)]
        self.bookings = [
            entry for entry in executed if entry.operation == ApplicationOperation.BOOKING
        ]
        self.consumed = [entry for entry in trainer if isinstance(entry, SampleConsumed)]


async def fetch_logs(caller: Caller, plan: AcceptancePlan) -> DeploymentLogs:
    """Read the execution logs of the trainer and of every backend in the resources.

    Raises:
        CallFailedError: A log could not be read.
    """
    listing = await caller.get(f"{plan.nodes[0]}/v1/resources/BackendGroup", ResourceListBody)
    engines: list[AnyExecutionRecord] = []
    applications: list[AnyExecutionRecord] = []
    for item in listing.items:
        assert isinstance(item.resource, BackendGroup)
        target = engines if item.resource.backend_kind is BackendKind.ENGINE else applications
        for backend in item.resource.backends:
            target.extend(await _fetch_log(caller, backend.url))
    return DeploymentLogs(engines, applications, await _fetch_log(caller, plan.trainer))


async def _fetch_log(caller: Caller, base_url: str) -> list[AnyExecutionRecord]:
    records: list[AnyExecutionRecord] = []
    while True:
        page = await caller.get(f"{base_url}/log?first={len(records)}", ExecutionLogPage)
        records.extend(page.records)
        if not page.records or len(records) >= page.total:
            return records


def verify(
    plan: AcceptancePlan, result: AcceptanceResult, logs: DeploymentLogs
) -> tuple[Mismatch, ...]:
    """Return the mismatches between the results and the logs."""
    mismatches: list[Mismatch] = []
    mismatches.extend(_check_bookings(result.bookings, logs.bookings))
    mismatches.extend(_check_live(plan, result.live, logs.generations))
    mismatches.extend(_check_samples(plan, logs))
    return tuple(mismatches)


def _check_bookings(
    results: Iterable[BookingResult], executed: list[ApplicationExecuted]
) -> Iterable[Mismatch]:
    by_key: dict[str, list[ApplicationExecuted]] = {}
    for entry in executed:
        by_key.setdefault(entry.idempotency_key or "", []).append(entry)
    for result in results:
        runs = by_key.get(result.key, [])
        if len(runs) > 1:
            yield _mismatch("at_most_once", result.key, f"ran {len(runs)} times")
        if not runs and result.response_bodies:
            yield _mismatch("whole_answers", result.key, "answered without a run")
        digests = {run.answer_digest for run in runs}
        for body in result.response_bodies:
            if answer_digest(body) not in digests:
                yield _mismatch("whole_answers", result.key, "an answer nobody gave")
        is_reported_not_run = not result.response_bodies and result.may_have_run == 0
        if runs and is_reported_not_run:
            yield _mismatch("refused_not_run", result.key, "refused as not run, and it ran")


def _check_live(
    plan: AcceptancePlan, results: Iterable[LiveResult], generations: list[GenerationEnded]
) -> Iterable[Mismatch]:
    produced_versions = _versions_by_request(generations)
    for result in results:
        yield from _check_rejections(plan, result, produced_versions)
        if result.failure:
            yield _mismatch("planned_stop", result.request_id, f"failed: {result.failure}")
            continue
        reported = [(span.weight_version, span.token_count) for span in result.spans]
        if sum(count for _, count in reported) != len(result.token_ids):
            yield _mismatch("whole_answers", result.request_id, "spans miss tokens")
        produced = produced_versions.get(result.request_id, Counter())
        for version, count in reported:
            if produced[version] < count:
                yield _mismatch(
                    "named_versions", result.request_id, f"{count} tokens of version {version}"
                )


def _check_rejections(
    plan: AcceptancePlan, result: LiveResult, produced_versions: dict[str, Counter[int]]
) -> Iterable[Mismatch]:
    """Check that only the stopping node rejected attempts, as not ready and without running."""
    stopping = plan.nodes[-1] if plan.stop_process_id is not None else None
    for rejection in result.rejections:
        if rejection.node != stopping or rejection.code != NotReadyError.code:
            detail = f"{rejection.node} refused: {rejection.code}: {rejection.detail}"
            yield _mismatch("planned_stop", rejection.request_id, detail)
        if rejection.request_id and produced_versions.get(rejection.request_id):
            yield _mismatch("refused_not_run", rejection.request_id, "refused, and it ran")


def _versions_by_request(generations: list[GenerationEnded]) -> dict[str, Counter[int]]:
    """Count the tokens per version that engines produced for each request or sample."""
    produced_versions: dict[str, Counter[int]] = {}
    for entry in generations:
        subject = entry.attempt_id.rpartition("~")[0]
        counts = produced_versions.setdefault(subject, Counter())
        for span in entry.spans:
            counts[span.weight_version] += span.count
    return produced_versions


def _check_samples(plan: AcceptancePlan, logs: DeploymentLogs) -> Iterable[Mismatch]:
    consumed = Counter(entry.sample_id for entry in logs.consumed)
    for sample_id, count in consumed.items():
        if count > 1:
            yield _mismatch("exactly_once", sample_id, f"consumed {count} times")
    expected = plan.steps * plan.samples_per_step
    if len(consumed) != expected:
        yield _mismatch(
            "exactly_once", plan.stream, f"{len(consumed)} samples consumed, not {expected}"
        )
    yield from _check_weight_change(plan, logs)
    produced_versions = _versions_by_sample(logs.generations)
    for entry in logs.consumed:
        yield from _check_sample(entry, produced_versions.get(entry.sample_id, frozenset()))


def _check_weight_change(plan: AcceptancePlan, logs: DeploymentLogs) -> Iterable[Mismatch]:
    """Check that each step used a newer weight version than the previous one.

    The workload starts a step only after all engines have loaded the weights of the previous one.
    """
    for step in range(1, plan.steps):
        previous = _newest_version(logs, step - 1)
        if _newest_version(logs, step) <= previous:
            yield _mismatch("weight_change", plan.stream, f"step {step} made none after it")


def _newest_version(logs: DeploymentLogs, step: int) -> int:
    versions = (max(entry.weight_versions) for entry in logs.consumed if entry.step == step)
    return max(versions, default=0)


def _versions_by_sample(generations: list[GenerationEnded]) -> dict[str, frozenset[int]]:
    produced_versions: dict[str, frozenset[int]] = {}
    for entry in generations:
        sample_id = entry.attempt_id.rsplit("/", 2)[0]
        versions = frozenset(span.weight_version for span in entry.spans)
        produced_versions[sample_id] = produced_versions.get(sample_id, frozenset()) | versions
    return produced_versions


def _check_sample(entry: SampleConsumed, produced: frozenset[int]) -> Iterable[Mismatch]:
    if not set(entry.weight_versions) <= produced:
        yield _mismatch(
            "named_versions",
            entry.sample_id,
            f"names {entry.weight_versions}, engines used {sorted(produced)}",
        )
    if min(entry.weight_versions) < entry.oldest_accepted_version:
        yield _mismatch(
            "staleness",
            entry.sample_id,
            f"version {min(entry.weight_versions)}, bound {entry.oldest_accepted_version}",
        )


def _mismatch(guarantee: str, subject: str, detail: str) -> Mismatch:
    return Mismatch(guarantee=guarantee, subject=subject, detail=detail)
