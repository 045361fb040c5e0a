"""``drumbay simulate``: run seeded scenarios and check their invariants."""

from pathlib import Path
from typing import Annotated

import typer

from drumbay.cli.errors import exit_on_error
from drumbay.exceptions import ConfigurationError


class MissingExtraError(ConfigurationError):
    """The command needs dependencies of an optional extra."""

    code = "missing_extra"


def simulate(
    scenario: Annotated[
        str, typer.Option(help="Name of a shipped scenario, or a scenario file.")
    ] = "bitacora-andina",
    seed: Annotated[int, typer.Option(help="Seed of a single run.")] = 1,
    seeds: Annotated[str | None, typer.Option(help="Range of seeds, A..B.")] = None,
    json: Annotated[bool, typer.Option("--json", help="Print reports as JSON.")] = False,
    history_file: Annotated[
        Path | None, typer.Option(help="Write the history of the last run there, as JSON lines.")
    ] = None,
    plan_file: Annotated[
        Path | None, typer.Option(help="Inject the faults of this file, not those of the seed.")
    ] = None,
    shrink_to: Annotated[
        Path | None,
        typer.Option(help="After a broken promise, write the shortest plan that still breaks it."),
    ] = None,
    log_file: Annotated[
        Path | None,
        typer.Option(help="Write the log lines of the simulated nodes there, in virtual time."),
    ] = None,
    list_: Annotated[bool, typer.Option("--list", help="List the shipped scenarios.")] = False,
) -> None:
    """Run a scenario on a virtual clock with faults, and check its history.

    Exits with 1 if a promise is broken.

    Example: drumbay simulate --scenario vakhandel-oost --seeds 1..5 --json
    """
    with exit_on_error():
        try:
            # Imported here, since it needs the optional dependencies of simulations.
            from drumbay.simulation import command
        except ModuleNotFoundError as error:
            raise MissingExtraError(f"install drumbay[simulation]: {error}") from error
    if list_:
        command.list_scenarios()
        return
    options = command.SimulationOptions(
        scenario=scenario,
        seeds=seeds if seeds is not None else f"{seed}..{seed}",
        json=json,
        history_file=history_file,
        plan_file=plan_file,
        shrink_to=shrink_to,
        log_file=log_file,
    )
    command.run_command(options)
