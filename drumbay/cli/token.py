"""``drumbay token``: create a bearer token and its AccessToken resource."""

import hashlib
import secrets
from typing import Annotated

import msgspec
import typer

from drumbay.resources.schema import AccessToken, Role

TOKEN_BYTES = 32


def token(
    name: Annotated[str, typer.Argument(help="Name of the AccessToken resource.")],
    role: Annotated[Role, typer.Option(help="What the bearer may do.")] = Role.CALLER,
) -> None:
    """Make a random token; prints the resource to apply, and the token on standard error.

    Example: drumbay token counter-app --role caller > token.yaml
    """
    secret = secrets.token_urlsafe(TOKEN_BYTES)
    resource = AccessToken(name=name, role=role, sha256=hashlib.sha256(secret.encode()).hexdigest())
    typer.echo(msgspec.yaml.encode(resource).decode(), nl=False)
    typer.echo(f"token: {secret}", err=True)
