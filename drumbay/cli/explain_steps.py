"""``drumbay explain-steps``: time breakdown of each training step, from log files."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from drumbay.explain.log_lines import read_lines
from drumbay.explain.step_ledger import StepAccount, account_steps

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
    for account in account_steps(read_lines(paths)):
        typer.echo(_format_row(account))


def _format_row(account: StepAccount) -> str:
    accepted = datetime.fromtimestamp(account.accepted_at, UTC).strftime("%H:%M:%S.%f")[:-3]
    row = (
        f"{accepted} {account.model[:10]:10} {account.step:4} {account.takeovers:9}"
        f" {account.late_starts:11} {_format_seconds(account.whole_after)}"
        f" {_format_seconds(account.ended_after)} |"
    )
    last = account.last
    if last is None:
        return f"{row} none made it whole"
    return (
        f"{row} {last.item[:16]:16} {_format_seconds(last.started_after)}"
        f" {_format_seconds(last.text_after)}"
        f" {_format_seconds(last.score_seconds)} {_format_seconds(last.listed_after)} {last.runs:4}"
        f" {','.join(last.interruptions)}"
    )


def _format_seconds(value: float | None) -> str:
    return "     -" if value is None else f"{value:6.2f}"
