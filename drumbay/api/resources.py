"""Handlers for the resources that operators manage."""

from drumbay.api.base import ApiHandler
from drumbay.api.schema import ApplyBody
from drumbay.identifiers import Revision
from drumbay.requests.errors import invalid_request_error


class ResourceListHandler(ApiHandler):
    """``GET /v1/resources`` and ``GET /v1/resources/{kind}``."""

    def get(self, kind: str | None = None) -> None:
        """Return the current resources, filtered by kind if given."""
        self.write_json(self.node.resources(kind, None))


class ResourceHandler(ApiHandler):
    """One resource under ``/v1/resources/{kind}/{name}``."""

    def get(self, kind: str, name: str) -> None:
        """Return one resource as a list; empty if it does not exist."""
        self.write_json(self.node.resources(kind, name))

    async def put(self, kind: str, name: str) -> None:
        """Create or change the resource."""
        body = self.decode_body(ApplyBody)
        if (type(body.resource).__name__, body.resource.name) != (kind, name):
            raise invalid_request_error(
                "the resource's kind and name differ from those of the path"
            )
        self.write_json(await self.node.apply(body))

    async def delete(self, kind: str, name: str) -> None:
        """Remove the resource."""
        operation_id = self.get_query_argument("operation_id", None)
        if not operation_id:
            raise invalid_request_error("query argument operation_id is missing")
        expected = self.get_query_argument("expected_revision", None)
        revision = (
            None if expected is None else Revision(self.integer_argument("expected_revision"))
        )
        self.write_json(await self.node.delete(kind, name, operation_id, revision))


class OperationHandler(ApiHandler):
    """``GET /v1/operations/{operation_id}``."""

    async def get(self, operation_id: str) -> None:
        """Return the outcome of a change."""
        self.write_json(await self.node.operation(operation_id))
