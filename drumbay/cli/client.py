"""Blocking HTTP client of one node, for the commands of operators."""

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

NOT_SENT: tuple[type[OSError], ...] = (ConnectionRefusedError, socket.gaierror, ssl.SSLError)
"""Failures before the first byte of a request; any other may come after the last one."""

RecordT = TypeVar("RecordT")


class NodeClient:
    """Operations on one node over its HTTP interface.

    Args:
        server: Base URL of the node.
        token: Bearer token, if the node requires one.
        certificate_authority_file: PEM certificates that sign the node's; the system's are
            used if ``None``.
    """

    def __init__(
        self,
        server: str,
        token: str | None = None,
        certificate_authority_file: Path | None = None,
    ) -> None:
        """Use the node at ``server``."""
        self._server = server.rstrip("/")
        self._token = token
        self._certificate_authority_file = certificate_authority_file

    def resources(self, kind: str | None = None, name: str | None = None) -> ResourceListBody:
        """Return the resources in force at the node."""
        parts = [quote(part, safe="") for part in (kind, name) if part]
        path = "/".join(["/v1/resources", *parts])
        return self._decode(self._fetch("GET", path), ResourceListBody)

    def apply(self, body: ApplyBody) -> ApplyOutcomeBody:
        """Create or change a resource."""
        kind = type(body.resource).__name__
        path = f"/v1/resources/{kind}/{quote(body.resource.name, safe='')}"
        return self._change("PUT", path, body.operation_id, msgspec.json.encode(body))

    def delete(
        self, kind: str, name: str, operation_id: str, expected_revision: Revision | None
    ) -> ApplyOutcomeBody:
        """Remove a resource."""
        path = f"/v1/resources/{quote(kind, safe='')}/{quote(name, safe='')}"
        query = f"?operation_id={quote(operation_id, safe='')}"
        if expected_revision is not None:
            query += f"&expected_revision={expected_revision}"
        return self._change("DELETE", path + query, operation_id)

    def operation(self, operation_id: str) -> ApplyOutcomeBody:
        """Return what became of an earlier change."""
        path = f"/v1/operations/{quote(operation_id, safe='')}"
        return self._decode(self._fetch("GET", path), ApplyOutcomeBody)

    def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the decision records of a subject."""
        path = f"/v1/explain/{kind.value}/{quote(subject_id, safe='')}"
        return self._decode(self._fetch("GET", path), ExplanationBody)

    def status(self) -> StatusBody:
        """Return the node's state."""
        return self._decode(self._fetch("GET", "/v1/status"), StatusBody)

    def _change(
        self, method: str, path: str, operation_id: str, body: bytes | None = None
    ) -> ApplyOutcomeBody:
        """Send a change.

        Raises:
            OutcomeUnknownError: It was sent, and its outcome is not known.
            ServerRefusedError: It was not made.
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
            raise _refusal(error) from error
        except OSError as error:
            may_have_run = not isinstance(error, NOT_SENT)
            detail = f"{self._server}: {error}"
            raise ServerUnreachableError(detail, may_have_run=may_have_run) from error
        finally:
            client.close()

    def _decode(self, response: HTTPResponse, record_type: type[RecordT]) -> RecordT:
        return msgspec.json.decode(response.body, type=record_type)


def _refusal(error: HTTPClientError) -> ServerRefusedError | ServerUnreachableError:
    if error.response is None or not error.response.body:
        return ServerUnreachableError(str(error), may_have_run=_may_have_run(error))
    try:
        detail = msgspec.json.decode(error.response.body, type=ErrorBody).error
    except msgspec.MsgspecError:
        return ServerRefusedError(str(error.code), str(error), may_have_run=True)
    may_have_run = detail.run == Execution.MAY_HAVE_RUN
    return ServerRefusedError(detail.code, detail.detail, may_have_run=may_have_run)


def _may_have_run(error: HTTPClientError) -> bool:
    """Return whether the request may have been sent before the exchange failed."""
    if isinstance(error, HTTPTimeoutError):
        # NOTE: tornado tells the phase of a timeout by its message only.
        return "connecting" not in str(error)
    return isinstance(error, HTTPStreamClosedError)
