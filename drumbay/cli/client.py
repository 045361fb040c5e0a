"""Blocking HTTP client of one node, for the operator commands."""

import socket
import ssl
from pathlib import Path
from typing import TypeVar
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from drumbay.api.schema import (
    ApplyBody,
    ApplyOutcomeBody,
    ErrorBody,
    ExplanationBody,
    ResourceListBody,
    StatusBody,
)
from drumbay.cli.errors import OutcomeUnknownError, ServerRefusedError, ServerUnreachableError
from drumbay.exceptions import Execution
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import Revision

REQUEST_TIMEOUT_SECONDS = 30.0

NOT_SENT_ERRORS: tuple[type[OSError], ...] = (ConnectionRefusedError, socket.gaierror, ssl.SSLError)
"""Errors that occur before any byte is sent; others may occur after the request was sent."""

RecordT = TypeVar("RecordT")


class NodeClient:
    """Operations on one node over its HTTP interface.

    Args:
        server: Base URL of the node.
        token: Bearer token, if the node requires one.
        certificate_authority_file: PEM certificates of the authorities to trust; ``None`` for
            those of the system.
    """

    def __init__(
        self,
        server: str,
        token: str | None = None,
        certificate_authority_file: Path | None = None,
    ) -> None:
        """Create a client; each operation opens its own connection."""
        self._server = server.rstrip("/")
        self._token = token
        self._certificate_authority_file = certificate_authority_file

    def resources(self, kind: str | None = None, name: str | None = None) -> ResourceListBody:
        """Return the resources of the node's current configuration."""
        parts = [quote(part, safe="") for part in (kind, name) if part]
        path = "/".join(["/v1/resources", *parts])
        return self._decode(self._fetch("GET", path), ResourceListBody)

    def apply(self, body: ApplyBody) -> ApplyOutcomeBody:
        """Create or change a resource."""
        kind = type(body.resource).__name__
        path = f"/v1/resources/{kind}/{quote(body.resource.name, safe='')}"
        return self._send_change("PUT", path, body.operation_id, msgspec.json.encode(body))

    def delete(
        self, kind: str, name: str, operation_id: str, expected_revision: Revision | None
    ) -> ApplyOutcomeBody:
        """Remove a resource."""
        path = f"/v1/resources/{quote(kind, safe='')}/{quote(name, safe='')}"
        query = f"?operation_id={quote(operation_id, safe='')}"
        if expected_revision is not None:
            query += f"&expected_revision={expected_revision}"
        return self._send_change("DELETE", path + query, operation_id)

    def operation(self, operation_id: str) -> ApplyOutcomeBody:
        """Return the outcome of an earlier change."""
        path = f"/v1/operations/{quote(operation_id, safe='')}"
        return self._decode(self._fetch("GET", path), ApplyOutcomeBody)

    def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the decision records of a subject."""
        path = f"/v1/explain/{kind.value}/{quote(subject_id, safe='')}"
        return self._decode(self._fetch("GET", path), ExplanationBody)

    def status(self) -> StatusBody:
        """Return the node's state."""
        return self._decode(self._fetch("GET", "/v1/status"), StatusBody)

    def _send_change(
        self, method: str, path: str, operation_id: str, body: bytes | None = None
    ) -> ApplyOutcomeBody:
        """Send a change.

        Raises:
            OutcomeUnknownError: It was sent, but its outcome is unknown.
            ServerRefusedError: The node rejected it.
            ServerUnreachableError: It was not sent.
        """
        try:
            response = self._fetch(method, path, body)
        except (ServerRefusedError, ServerUnreachableError) as error:
            if error.may_have_run:
                raise OutcomeUnknownError(operation_id, str(error)) from error
            raise
        return self._decode(response, ApplyOutcomeBody)

    def _fetch(self, method: str, path: str, body: bytes | None = None) -> HTTPResponse:
        authority = self._certificate_authority_file
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        request = HTTPRequest(
            self._server + path,
            method=method,
            body=body,
            headers=headers,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            ca_certs=str(authority) if authority is not None else None,
        )
        client = HTTPClient()
        try:
            return client.fetch(request)
        except HTTPClientError as error:
            raise _to_client_error(error) from error
        except OSError as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            detail = f"{self._server}: {error}"
            raise ServerUnreachableError(detail, may_have_run=may_have_run) from error
        finally:
            client.close()

    def _decode(self, response: HTTPResponse, record_type: type[RecordT]) -> RecordT:
        return msgspec.json.decode(response.body, type=record_type)


def _to_client_error(error: HTTPClientError) -> ServerRefusedError | ServerUnreachableError:
    if error.response is None or not error.response.body:
        return ServerUnreachableError(str(error), may_have_run=_may_have_run(error))
    try:
        detail = msgspec.json.decode(error.response.body, type=ErrorBody).error
    except msgspec.MsgspecError:
        return ServerRefusedError(str(error.code), str(error), may_have_run=True)
    may_have_run = detail.run == Execution.MAY_HAVE_RUN
    return ServerRefusedError(detail.code, detail.detail, may_have_run=may_have_run)


def _may_have_run(error: HTTPClientError) -> bool:
    """Return whether the request may have been sent before the error."""
    if isinstance(error, HTTPTimeoutError):
        # Tornado reports the phase of a timeout only in its message.
        return "connecting" not in str(error)
    return isinstance(error, HTTPStreamClosedError)
