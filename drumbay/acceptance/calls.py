"""Typed HTTP calls of the acceptance run."""

from typing import TypeVar

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from drumbay.api.schema import ErrorBody, ErrorDetail
from drumbay.exceptions import UnavailableError

REQUEST_TIMEOUT_SECONDS = 30.0
MAX_CONNECTIONS = 64

RecordT = TypeVar("RecordT")


class CallFailedError(UnavailableError):
    """A call failed.

    Attributes:
        error: The typed error of the response; ``None`` if there was none.
    """

    code = "call_failed"

    def __init__(self, detail: str, error: ErrorDetail | None) -> None:
        """Store the detail and the typed error."""
        super().__init__(detail)
        self.error = error


class Caller:
    """Sends HTTP requests and decodes the responses."""

    def __init__(self) -> None:
        """Create a caller."""
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CONNECTIONS)

    def close(self) -> None:
        """Close the client and its connections."""
        self._client.close()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Send one request.

        Raises:
            CallFailedError: The response is an error, or there is none.
        """
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers or {},
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            allow_nonstandard_methods=True,
        )
        try:
            return await self._client.fetch(request)
        except HTTPClientError as error:
            raise CallFailedError(str(error), _decode_error(error.response)) from error
        except OSError as error:
            raise CallFailedError(str(error), None) from error

    async def get(self, url: str, record_type: type[RecordT]) -> RecordT:
        """Return the record at a URL.

        Raises:
            CallFailedError: The response is an error, or there is none.
        """
        response = await self.send("GET", url)
        return msgspec.json.decode(response.body, type=record_type)


def _decode_error(response: HTTPResponse | None) -> ErrorDetail | None:
    if response is None:
        return None
    try:
        return msgspec.json.decode(response.body, type=ErrorBody).error
    except msgspec.MsgspecError:
        return None
