"""``drumbay explain-steps``: time breakdown of each training step, from log files."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from drumbay.explain.log_lines import read_lines
from drumbay.explain.step_timing import StepTiming, step_timings

HEADER = (
    "accepted     model      step takeovers late-starts  whole  ended |"
    " last item        start   text  score listed runs interrupted"
)


def explain_steps(
    paths: Annotated[
        list[Path], typer.Argument(exists=True, help="Log files, or folders of log files.")
    ],
) -> None:
    """Show each batch job in a line: when it was whole, and the stages of its last item.

    Times are seconds since the batch job was accepted; late starts are items that began over
    half a second after that.

    Example: drumbay explain-steps /var/log/drumbay
    """
    typer.echo(HEADER)
    for timing in step_timings(read_lines(paths)):
        typer.echo(_format_row(timing))


def _format_row(timing: StepTiming) -> str:
    accepted = datetime.fromtimestamp(timing.accepted_at, UTC).strftime("%H:%M:%S.%f")[:-3]
    row = (
        f"{accepted} {timing.model[:10]:10} {timing.step:4} {timing.takeovers:9}"
        f" {timing.late_starts:11} {_format_seconds(timing.completed_after)}"
        f" {_format_seconds(timing.ended_after)} |"
    )
    item = timing.last_item
    if item is None:
        return f"{row} none made it whole"
    return (
        f"{row} {item.item[:16]:16} {_format_seconds(item.started_after)}"
        f" {_format_seconds(item.text_after)}"
        f" {_format_seconds(item.score_seconds)} {_format_seconds(item.listed_after)} {item.runs:4}"
        f" {','.join(item.interruptions)}"
    )


def _format_seconds(value: float | None) -> str:
    return "     -" if value is None else f"{value:6.2f}"
