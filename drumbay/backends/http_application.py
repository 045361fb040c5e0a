"""Application client over HTTP."""

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import ApplicationRequest, ApplicationResponse, BackendAddress
from drumbay.backends.responses import (
    check_attempt_id,
    check_body_framing,
    decode_error_detail,
    raise_if_not_run,
)
from drumbay.backends.wire import IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER

DEFAULT_MAX_RESPONSE_BYTES = 8 << 20
DEFAULT_CONTENT_TYPE = "application/octet-stream"
REJECTION_STATUSES = (429, 503)
BODY_METHODS = ("POST", "PUT", "PATCH")


class HttpApplicationClient:
    """An :class:`~drumbay.backends.interface.ApplicationClient` over HTTP."""

    def __init__(
        self, connector: HttpConnector, max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES
    ) -> None:
        """Create a client that accepts responses of at most ``max_response_bytes``."""
        self._connector = connector
        self._max_response_bytes = max_response_bytes

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationResponse:
        """Run one request and return its complete response; see the interface."""
        has_body = bool(request.body) or request.method in BODY_METHODS
        response = await self._connector.exchange(
            HttpCall(
                method=request.method,
                url=server.base_url + request.path,
                headers=_request_headers(request),
                body=request.body if has_body else None,
                timeout_seconds=timeout_seconds,
            )
        )
        try:
            check_attempt_id(response, request.attempt_id)
            check_body_framing(response)
            body = await response.body(self._max_response_bytes)
        finally:
            response.abort()
        if response.status in REJECTION_STATUSES:
            raise_if_not_run(response, decode_error_detail(body))
        return ApplicationResponse(
            attempt_id=request.attempt_id,
            status=response.status,
            body=body,
            content_type=response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
        )


def _request_headers(request: ApplicationRequest) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: request.attempt_id,
        "Content-Type": request.content_type,
    }
    if request.idempotency_key is not None:
        headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers
