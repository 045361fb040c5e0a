"""Implementation of ``drumbay simulate``: runs scenarios and reports violations."""

from pathlib import Path

import msgspec
import typer
from loguru import logger
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from drumbay.cli.errors import ExitCode, exit_on_error
from drumbay.cli.output import OutputFormat, print_record, print_table
from drumbay.exceptions import ConfigurationError
from drumbay.node.node import Node
from drumbay.simulation.checkers import Violation
from drumbay.simulation.event_log import log_to_file
from drumbay.simulation.faults import FaultPlan
from drumbay.simulation.runner import RunReport, RunResult, run_scenario
from drumbay.simulation.scenario import Scenario, find_scenario, shipped_scenarios
from drumbay.simulation.shrink import shrink_plan

CONTEXT_SECONDS = 5.0
MAX_CONTEXT_EVENTS = 40
MAX_VIOLATIONS_SHOWN = 5


class SeedRangeError(ConfigurationError):
    """A seed range does not have the form ``A..B``."""

    code = "invalid_seed_range"


class InvalidPlanError(ConfigurationError):
    """A file is not a valid fault plan."""

    code = "invalid_fault_plan"


class SimulationOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Command-line options of ``drumbay simulate``.

    Attributes:
        scenario: Name of a shipped scenario, or a scenario file.
        seeds: Range of seeds, ``A..B``.
        json: Whether reports are printed as JSON.
        history_file: Where the history of the last run is written.
        plan_file: Fault plan to use instead of one drawn from the seed.
        shrink_to: Where the minimized failing fault plan is written.
        log_file: Where the log lines of the simulated nodes are written.
    """

    scenario: str
    seeds: str
    json: bool
    history_file: Path | None
    plan_file: Path | None = None
    shrink_to: Path | None = None
    log_file: Path | None = None


def list_scenarios() -> None:
    """Print the shipped scenarios."""
    rows = [(name, find_scenario(name).description) for name in shipped_scenarios()]
    print_table(("scenario", "description"), rows)


def run_command(options: SimulationOptions) -> None:
    """Run every seed, print the reports, and exit with 1 on any violation."""
    # Log lines of simulated nodes would flood the report and carry wall-clock times.
    logger.remove()
    if options.log_file is not None:
        log_to_file(options.log_file)
    with exit_on_error():
        scenario = find_scenario(options.scenario)
        seeds = parse_seeds(options.seeds)
        plan = None if options.plan_file is None else load_plan(options.plan_file)
    reports = _run_all(scenario, options, seeds, plan)
    if options.json:
        print_record(reports, OutputFormat.JSON)
    else:
        _print_summary(reports)
    if any(report.violations for report in reports):
        raise typer.Exit(ExitCode.FAILED)


def parse_seeds(text: str) -> range:
    """Return the seeds of a range ``A..B``, both ends included.

    Raises:
        SeedRangeError: The text is not a valid range.
    """
    first, separator, last = text.partition("..")
    if not (separator and first.isdecimal() and last.isdecimal() and int(first) <= int(last)):
        raise SeedRangeError(f"--seeds: {text!r}: expected A..B with A <= B")
    return range(int(first), int(last) + 1)


def load_plan(file: Path) -> FaultPlan:
    """Read a fault plan.

    Raises:
        InvalidPlanError: The file cannot be read or is not a fault plan.
    """
    try:
        return msgspec.json.decode(file.read_bytes(), type=FaultPlan)
    except (OSError, msgspec.MsgspecError) as error:
        raise InvalidPlanError(f"{file}: {error}") from error


def _run_all(
    scenario: Scenario, options: SimulationOptions, seeds: range, plan: FaultPlan | None
) -> list[RunReport]:
    reports = []
    for seed in seeds:
        result = _run_one(scenario, seed, plan, quiet=options.json)
        reports.append(result.report)
        if options.history_file is not None:
            options.history_file.write_bytes(result.history.to_json_lines())
        if result.report.violations and not options.json:
            _print_violations(options, result)
        if result.report.violations and options.shrink_to is not None:
            _shrink(scenario, result, options.shrink_to)
    return reports


def _shrink(scenario: Scenario, result: RunResult, file: Path) -> None:
    """Write a minimal fault plan that still breaks the first broken promise."""
    seed = result.report.seed
    promise = result.report.violations[0].promise

    def still_fails(plan: FaultPlan) -> bool:
        report = _run_one(scenario, seed, plan, quiet=True).report
        return any(violation.promise is promise for violation in report.violations)

    minimized = shrink_plan(result.plan, still_fails)
    file.write_bytes(msgspec.json.format(msgspec.json.encode(minimized)))
    typer.echo(
        f"seed {seed}: {len(minimized.faults)} of {len(result.plan.faults)} faults still break"
        f" {promise}; written to {file}",
        err=True,
    )


def _run_one(scenario: Scenario, seed: int, plan: FaultPlan | None, *, quiet: bool) -> RunResult:
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    console = Console(stderr=True)
    with Progress(*columns, console=console, disable=quiet, transient=True) as progress:
        task = progress.add_task(f"{scenario.name} seed {seed}", total=scenario.duration_seconds)
        return run_scenario(
            scenario,
            seed,
            Node,
            lambda seconds: progress.update(task, completed=seconds),
            plan,
        )


def _print_violations(options: SimulationOptions, result: RunResult) -> None:
    report = result.report
    shown = report.violations[:MAX_VIOLATIONS_SHOWN]
    for violation in shown:
        typer.echo(
            f"seed {report.seed}: {violation.promise} broken for {violation.subject}"
            f" at {violation.time_seconds:.3f} s: {violation.detail}"
        )
        _print_context(result, violation)
    hidden = len(report.violations) - len(shown)
    if hidden:
        typer.echo(f"seed {report.seed}: {hidden} more violations")
    plan = "" if options.plan_file is None else f" --plan-file {options.plan_file}"
    typer.echo(f"replay: drumbay simulate --scenario {options.scenario} --seed {report.seed}{plan}")


def _print_context(result: RunResult, violation: Violation) -> None:
    """Print the faults around a violation and the events that mention its subject."""
    start = violation.time_seconds - CONTEXT_SECONDS
    end = violation.time_seconds + CONTEXT_SECONDS
    for fault in result.plan.faults:
        if fault.at_seconds <= end and fault.at_seconds + fault.duration_seconds >= start:
            typer.echo(f"  fault {fault}")
    events = [
        event
        for event in result.history.between(float("-inf"), float("inf"))
        if violation.subject in repr(event)
    ]
    for event in events[:MAX_CONTEXT_EVENTS]:
        typer.echo(f"  {event}")


def _print_summary(reports: list[RunReport]) -> None:
    rows = [
        (
            str(report.seed),
            str(report.faults),
            f"{report.answered}/{report.requests}",
            str(report.completions),
            str(report.samples),
            " ".join(f"{share:.0%}" for share in report.idle_shares.values()) or "-",
            f"{report.virtual_seconds / report.wall_seconds:.0f}x",
            str(len(report.violations)),
            report.digest[:12],
        )
        for report in reports
    ]
    columns = (
        "seed",
        "faults",
        "answered",
        "completions",
        "samples",
        "idle",
        "speed",
        "violations",
        "digest",
    )
    print_table(columns, rows)
    virtual = sum(report.virtual_seconds for report in reports)
    wall = sum(report.wall_seconds for report in reports)
    broken = sum(bool(report.violations) for report in reports)
    typer.echo(
        f"{len(reports)} runs, {virtual / 3600:.2f} simulated hours in {wall:.1f} s"
        f" ({virtual / 3600 / wall:.3f} h/s), {broken} with violations"
    )
