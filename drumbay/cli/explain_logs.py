"""``drumbay explain-logs``: history of a request, batch job or item from log files."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from drumbay.cli.errors import ExitCode
from drumbay.explain.log_explanation import SUBJECT_KEYS, explain_from_logs
from drumbay.explain.log_lines import LogLine, read_lines


def explain_logs(
    subject_id: Annotated[str, typer.Argument(help="Id of a request, batch job or item.")],
    paths: Annotated[
        list[Path], typer.Argument(exists=True, help="Log files, or folders of log files.")
    ],
) -> None:
    """Show the cause first, then each decision about an id over all processes.

    Example: drumbay explain-logs 7c41e09b52d6a3f8 /var/log/drumbay
    """
    explanation = explain_from_logs(subject_id, read_lines(paths))
    if explanation is None:
        typer.echo(f"no line names {subject_id}")
        raise typer.Exit(ExitCode.FAILED)
    typer.echo(explanation.summary)
    for line in explanation.lines:
        typer.echo(_format_line(line, subject_id))


def _format_line(line: LogLine, subject_id: str) -> str:
    time = datetime.fromtimestamp(line.at, UTC).isoformat(timespec="milliseconds")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if not (name in SUBJECT_KEYS and value == subject_id)
    )
    return f"  {time} {line.process} {line.event} {fields}"
