"""Operator commands: apply, get, describe, delete, operation and status."""

import secrets
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import typer

from drumbay.api.schema import ApplyBody, ApplyOutcomeBody, ResourceBody
from drumbay.cli.client import NodeClient
from drumbay.cli.errors import ExitCode, exit_on_error
from drumbay.cli.output import Change, ChangeList, OutputFormat, print_record, print_table
from drumbay.identifiers import Revision
from drumbay.resources.checks import check_resource
from drumbay.resources.files import load_resources
from drumbay.resources.schema import AnyResource, ZoneEvacuation

DEFAULT_SERVER = "http://127.0.0.1:8080"
OPERATION_ID_BYTES = 12
UNKNOWN_OUTCOME = "unknown_yet"

Server = Annotated[
    str, typer.Option("--server", "-s", envvar="DRUMBAY_SERVER", help="Base URL of a node.")
]
Token = Annotated[str | None, typer.Option("--token", envvar="DRUMBAY_TOKEN", help="Bearer token.")]
CertificateAuthority = Annotated[
    Path | None,
    typer.Option(
        "--ca-file",
        envvar="DRUMBAY_CA_FILE",
        exists=True,
        dir_okay=False,
        help="PEM certificates that sign the node's; the system's if not given.",
    ),
]
Output = Annotated[OutputFormat, typer.Option("--output", "-o", help="Output format.")]
ExpectedRevision = Annotated[
    int | None,
    typer.Option(help="Refuse the change unless the resource has this revision (0: absent)."),
]


def apply(
    file: Annotated[Path, typer.Option("--file", "-f", help="YAML file with resources.")],
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    expected_revision: ExpectedRevision = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Create or change resources from a YAML file.

    Example: drumbay apply -f groups.yaml --server http://127.0.0.1:8080
    """
    with exit_on_error():
        client = NodeClient(server, token, ca_file)
        revision = None if expected_revision is None else Revision(expected_revision)
        resources = load_resources(file)
        for resource in resources:
            check_resource(resource)
        apply_resources(client, resources, revision, output)


def apply_resources(
    client: NodeClient,
    resources: Iterable[AnyResource],
    expected_revision: Revision | None,
    output: OutputFormat,
) -> None:
    """Create or change resources, print the outcomes and exit if one is unknown."""
    changes: list[Change] = []
    try:
        for resource in resources:
            body = ApplyBody(
                resource=resource,
                operation_id=secrets.token_hex(OPERATION_ID_BYTES),
                expected_revision=expected_revision,
            )
            kind = type(resource).__name__
            outcome = client.apply(body)
            changes.append(Change(kind=kind, name=resource.name, outcome=outcome))
    finally:
        # Also after an error: the changes before it have been applied.
        _print_changes(changes, output)
    _exit_if_unknown(changes)


def get(
    kind: Annotated[str | None, typer.Argument(help="Kind, e.g. Route.")] = None,
    name: Annotated[str | None, typer.Argument(help="Name of one resource.")] = None,
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """List the resources in force at a node.

    Example: drumbay get BackendGroup -o yaml
    """
    with exit_on_error():
        listing = NodeClient(server, token, ca_file).resources(kind, name)
        if output is not OutputFormat.TABLE:
            print_record(listing, output)
            return
        rows = [_resource_row(item) for item in listing.items]
        print_table(("kind", "name", "revision", "summary"), rows)


def describe(
    kind: Annotated[str, typer.Argument(help="Kind, e.g. Route.")],
    name: Annotated[str, typer.Argument(help="Name of the resource.")],
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
) -> None:
    """Show one resource with every field.

    Example: drumbay describe Route drafting
    """
    with exit_on_error():
        listing = NodeClient(server, token, ca_file).resources(kind, name)
        if not listing.items:
            typer.echo(f"error: not_found: {kind}/{name}", err=True)
            raise typer.Exit(ExitCode.FAILED)
        print_record(listing.items[0], OutputFormat.YAML)


def delete(
    kind: Annotated[str, typer.Argument(help="Kind, e.g. Drain.")],
    name: Annotated[str, typer.Argument(help="Name of the resource.")],
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    expected_revision: ExpectedRevision = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Remove one resource.

    Example: drumbay delete Drain maintenance
    """
    with exit_on_error():
        revision = None if expected_revision is None else Revision(expected_revision)
        delete_resource(NodeClient(server, token, ca_file), kind, name, revision, output)


def delete_resource(
    client: NodeClient,
    kind: str,
    name: str,
    expected_revision: Revision | None,
    output: OutputFormat,
) -> None:
    """Remove a resource, print the outcome and exit if it is unknown."""
    operation_id = secrets.token_hex(OPERATION_ID_BYTES)
    outcome = client.delete(kind, name, operation_id, expected_revision)
    changes = [Change(kind=kind, name=name, outcome=outcome)]
    _print_changes(changes, output)
    _exit_if_unknown(changes)


def operation(
    operation_id: Annotated[str, typer.Argument(help="Id printed by apply or delete.")],
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Ask what became of an earlier change whose outcome was not known.

    Example: drumbay operation 3f0c9a0d2b7e4c51
    """
    with exit_on_error():
        outcome = NodeClient(server, token, ca_file).operation(operation_id)
        if output is OutputFormat.TABLE:
            typer.echo(_format_outcome("operation", outcome))
        else:
            print_record(outcome, output)
        if outcome.outcome == UNKNOWN_OUTCOME:
            raise typer.Exit(ExitCode.UNKNOWN_OUTCOME)


def status(
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show a node's state and the members it sees.

    Example: drumbay status -o json
    """
    with exit_on_error():
        state = NodeClient(server, token, ca_file).status()
        if output is not OutputFormat.TABLE:
            print_record(state, output)
            return
        typer.echo(
            f"node {state.node_id} boot {state.boot_id} ready {state.ready} "
            f"draining {state.draining} revision {state.configuration_revision} "
            f"{state.configuration_state}"
        )
        if state.evacuated_zones:
            typer.echo(f"evacuated zones {' '.join(state.evacuated_zones)}")
        rows = [
            (member.node_id, member.zone, member.region, member.state, str(member.incarnation))
            for member in state.members
        ]
        print_table(("node", "zone", "region", "state", "incarnation"), rows)


def _resource_row(item: ResourceBody) -> tuple[str, ...]:
    resource = item.resource
    return (
        type(resource).__name__,
        resource.name,
        str(item.mod_revision),
        _summarize(item),
    )


def _summarize(item: ResourceBody) -> str:
    resource = item.resource
    backends = getattr(resource, "backends", None)
    if backends is not None:
        return f"{len(backends)} back ends"
    if isinstance(resource, ZoneEvacuation):
        return f"zone {resource.zone}"
    route_kind = getattr(resource, "route_kind", None)
    return str(route_kind) if route_kind else ""


def _print_changes(changes: list[Change], output: OutputFormat) -> None:
    """Print the outcomes of changes."""
    if output is not OutputFormat.TABLE:
        print_record(ChangeList(changes=tuple(changes)), output)
        return
    for change in changes:
        typer.echo(_format_outcome(f"{change.kind}/{change.name}", change.outcome))


def _format_outcome(label: str, outcome: ApplyOutcomeBody) -> str:
    revision = "-" if outcome.mod_revision is None else str(outcome.mod_revision)
    return f"{label} {outcome.outcome} revision {revision} id {outcome.operation_id}"


def _exit_if_unknown(changes: list[Change]) -> None:
    """Exit with ``UNKNOWN_OUTCOME`` if the outcome of any change is unknown."""
    if any(change.outcome.outcome == UNKNOWN_OUTCOME for change in changes):
        raise typer.Exit(ExitCode.UNKNOWN_OUTCOME)
