"""``drumbay explain``: the recorded decisions about a request, a sample or a backend."""

from datetime import UTC, datetime
from typing import Annotated

import typer

from drumbay.api.schema import ExplanationBody
from drumbay.cli.client import NodeClient
from drumbay.cli.errors import ExitCode, exit_on_error
from drumbay.cli.operators import (
    DEFAULT_SERVER,
    CertificateAuthority,
    Output,
    Server,
    Token,
)
from drumbay.cli.output import OutputFormat, print_record
from drumbay.explain.records import CandidateVerdict, DecisionRecord, SubjectKind


def explain(
    kind: Annotated[SubjectKind, typer.Argument(help="What the id names.")],
    subject_id: Annotated[str, typer.Argument(help="Request, sample or back-end id.")],
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show the decisions about a request, a sample or a back end.

    Example: drumbay explain request 'node-1~4f2a~17'
    """
    with exit_on_error():
        explanation = NodeClient(server, token, ca_file).explain(kind, subject_id)
        if output is OutputFormat.TABLE:
            _print_explanation(explanation)
        else:
            print_record(explanation, output)
        if not explanation.records:
            raise typer.Exit(ExitCode.FAILED)


def _print_explanation(explanation: ExplanationBody) -> None:
    for record in explanation.records:
        _print_decision(record)
    typer.echo(
        f"{len(explanation.records)} decisions; {explanation.nodes_answered} of "
        f"{explanation.nodes_asked} nodes answered"
    )


def _print_decision(record: DecisionRecord) -> None:
    time = datetime.fromtimestamp(record.wall_time_seconds, UTC).isoformat(timespec="milliseconds")
    typer.echo(
        f"{time} {record.node_id} {record.event} "
        f"(configuration revision {record.configuration_revision})"
    )
    if record.detail:
        typer.echo(f"  {record.detail}")
    for candidate in record.candidates:
        typer.echo(f"  {_format_candidate(candidate)}")


def _format_candidate(candidate: CandidateVerdict) -> str:
    verdict = "chosen" if candidate.rejection is None else f"not taken: {candidate.rejection}"
    fields = [candidate.backend_id, verdict]
    if candidate.cost is not None:
        fields.append(f"cost {candidate.cost:.2f}")
    if candidate.weight_version is not None:
        fields.append(f"version {candidate.weight_version}")
    if candidate.outstanding is not None:
        fields.append(f"outstanding {candidate.outstanding}")
    return ", ".join(fields)
