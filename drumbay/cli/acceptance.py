"""``drumbay acceptance``: run a workload on a deployment with emulated backends and verify it."""

import asyncio
from typing import Annotated

import typer

from drumbay.acceptance.calls import Caller
from drumbay.acceptance.records import AcceptancePlan, AcceptanceResult, Mismatch
from drumbay.acceptance.verification import DeploymentLogs, fetch_logs, verify
from drumbay.acceptance.workload import Workload
from drumbay.cli.errors import ExitCode, exit_on_error
from drumbay.clock import SystemClock
from drumbay.requests.identity import node_id_of


def acceptance(
    node: Annotated[list[str], typer.Option(help="Base URL of a node; repeat for more.")],
    trainer: Annotated[str, typer.Option(help="Base URL of the emulated trainer.")],
    model: Annotated[str, typer.Option(help="Model of the requests and rollouts.")],
    stream: Annotated[str, typer.Option(help="Sample stream of the trainer.")],
    steps: Annotated[int, typer.Option(help="Training steps.")] = 2,
    samples: Annotated[int, typer.Option(help="Samples per step.")] = 24,
    stop_process: Annotated[
        int | None, typer.Option(help="Process id of the last node, stopped in the middle.")
    ] = None,
) -> None:
    """Send live requests, bookings and rollouts, then compare with the execution logs.

    Example: drumbay acceptance --node http://127.0.0.1:8080 --trainer
    http://127.0.0.1:9400 --model advies --stream advies
    """
    plan = AcceptancePlan(
        nodes=tuple(node),
        trainer=trainer,
        model=model,
        stream=stream,
        steps=steps,
        samples_per_step=samples,
        stop_process_id=stop_process,
    )
    with exit_on_error():
        asyncio.run(_run(plan))


async def _run(plan: AcceptancePlan) -> None:
    caller = Caller()
    try:
        result = await Workload(SystemClock(), caller, plan).run()
        logs = await fetch_logs(caller, plan)
    finally:
        caller.close()
    mismatches = verify(plan, result, logs)
    _print_summary(plan, result, logs, mismatches)
    if mismatches:
        raise typer.Exit(ExitCode.FAILED)


def _print_summary(
    plan: AcceptancePlan,
    result: AcceptanceResult,
    logs: DeploymentLogs,
    mismatches: tuple[Mismatch, ...],
) -> None:
    answered = sum(1 for live in result.live if not live.failure)
    rejected = sum(1 for live in result.live if live.rejections and not live.failure)
    replayed = sum(max(0, len(booking.response_bodies) - 1) for booking in result.bookings)
    versions = sorted({version for entry in logs.consumed for version in entry.weight_versions})
    lines = [
        f"stream {plan.stream}: {plan.steps} steps, {len(logs.consumed)} samples consumed, "
        f"versions {versions}",
        f"live requests: {answered} of {len(result.live)} answered whole,"
        f" {rejected} of them after a refusal by the node that stopped",
        f"lookups: {result.lookups_answered} answered, {result.lookups_failed} failed",
        f"bookings: {len(result.bookings)} keys, {len(logs.bookings)} executions, "
        f"{replayed} replayed answers",
        f"disagreements with the execution logs: {len(mismatches)}",
    ]
    lines += [
        f"  {mismatch.guarantee} {mismatch.subject}: {mismatch.detail}" for mismatch in mismatches
    ]
    example = _example_request_id(result, len(plan.nodes))
    if example is not None:
        lines.append(f"example: {example}")
    typer.echo("\n".join(lines))


def _example_request_id(result: AcceptanceResult, node_count: int) -> str | None:
    """Return a request id of a node that still runs; the last node may have been stopped."""
    node_ids = sorted({node_id_of(live.request_id) or "" for live in result.live})
    running_node_ids = node_ids[:-1] if len(node_ids) == node_count else node_ids
    for live in result.live:
        if node_id_of(live.request_id) in running_node_ids:
            return live.request_id
    return None
