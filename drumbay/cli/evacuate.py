"""``drumbay evacuate``: starts and ends the evacuation of a zone."""

from typing import Annotated

import msgspec
import typer

from drumbay.cli.client import NodeClient
from drumbay.cli.errors import exit_on_error
from drumbay.cli.operators import (
    DEFAULT_SERVER,
    CertificateAuthority,
    ExpectedRevision,
    Output,
    Server,
    Token,
    apply_resources,
    delete_resource,
)
from drumbay.cli.output import OutputFormat
from drumbay.identifiers import Revision
from drumbay.resources.schema import ZoneEvacuation


def evacuate(
    zone: Annotated[str, typer.Argument(help="Zone whose back ends get no new work.")],
    reason: Annotated[str, typer.Option(help="Why, for people.")] = "",
    end: Annotated[bool, typer.Option("--end", help="End the evacuation.")] = False,
    server: Server = DEFAULT_SERVER,
    token: Token = None,
    ca_file: CertificateAuthority = None,
    expected_revision: ExpectedRevision = None,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Evacuate a zone: applies or deletes the ZoneEvacuation that has the zone's name.

    Example: drumbay evacuate zwolle-hal --reason "power works"
    """
    if end and reason:
        raise typer.BadParameter("--reason is for the start of an evacuation, not for its end")
    evacuation = _make_evacuation(zone, reason)
    with exit_on_error():
        client = NodeClient(server, token, ca_file)
        revision = None if expected_revision is None else Revision(expected_revision)
        if end:
            delete_resource(client, ZoneEvacuation.__name__, evacuation.name, revision, output)
        else:
            apply_resources(client, (evacuation,), revision, output)


def _make_evacuation(zone: str, reason: str) -> ZoneEvacuation:
    fields = {"kind": ZoneEvacuation.__name__, "name": zone, "zone": zone, "reason": reason}
    try:
        return msgspec.convert(fields, ZoneEvacuation)
    except msgspec.ValidationError as error:
        raise typer.BadParameter(f"zone {zone!r}: {error}") from error
