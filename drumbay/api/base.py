"""Base class of the HTTP handlers: JSON bodies, typed errors and bearer tokens."""

import asyncio
import hashlib
import hmac
import math
from typing import Any, ClassVar, TypeVar

import msgspec
from tornado.web import HTTPError, RequestHandler

from drumbay.api.intake import RequestIntake
from drumbay.api.interface import NodeInterface
from drumbay.api.schema import ErrorBody, ErrorDetail
from drumbay.exceptions import DrumbayError, Execution, RequestFailedError
from drumbay.identifiers import RequestId
from drumbay.limits.deadline import TIMEOUT_HEADER, InvalidTimeoutError, parse_timeout_seconds
from drumbay.observability.logs import log_event
from drumbay.requests.errors import (
    NOT_READY_RETRY_AFTER_SECONDS,
    AuthenticationRequiredError,
    InvalidRequestError,
    NotFoundError,
    NotReadyError,
    PermissionDeniedError,
    invalid_request_error,
)
from drumbay.resources.schema import Role

BodyT = TypeVar("BodyT")

JSON_CONTENT_TYPE = "application/json"
REQUEST_ID_HEADER = "X-Request-Id"
BEARER_PREFIX = "Bearer "
STOPPING_RETRY_AFTER_SECONDS = 1.0
METHOD_NOT_ALLOWED_STATUS = 405
UNAUTHORIZED_STATUS = 401


class ApiHandler(RequestHandler):
    """Base handler with JSON bodies, authorization and typed error responses."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.OPERATOR,)
    available_while_stopping: ClassVar[bool] = False

    def initialize(
        self, node: NodeInterface, authentication: bool, intake: RequestIntake | None = None
    ) -> None:
        """Store the dependencies; Tornado calls this for each request.

        Args:
            node: Executes the operations.
            authentication: Whether bearer tokens are required.
            intake: Counts requests in flight and rejects new ones during a planned stop.
        """
        self.node = node
        self.authentication = authentication
        self.intake = intake or RequestIntake()
        self.request_id: RequestId | None = None
        self._is_in_flight = False

    def prepare(self) -> None:
        """Reject requests while the node is stopping, and unauthorized ones."""
        self.intake.begin()
        self._is_in_flight = True
        if self.intake.is_stopping:
            # Makes the client reconnect, so that its next request can reach another node.
            self.set_header("Connection", "close")
            if not self.available_while_stopping:
                raise NotReadyError(
                    "this node is stopping",
                    execution=Execution.NOT_RUN,
                    retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
                )
        if self.authentication:
            self._authorize(self._authenticate())

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> "asyncio.Future[None]":
        """Finish the response; the request is in flight until its last byte is written."""
        try:
            written = super().finish(chunk)
        except BaseException:
            self._mark_finished()
            raise
        written.add_done_callback(lambda future: self._mark_finished())
        return written

    def compute_etag(self) -> str | None:
        """Return no entity tag.

        Tornado's default would hash every response and could replace an application's response
        by 304 (Not Modified).
        """
        return None

    def _mark_finished(self) -> None:
        if self._is_in_flight:
            self._is_in_flight = False
            self.intake.end()

    def _authorize(self, role: Role) -> None:
        if role not in self.allowed_roles:
            raise PermissionDeniedError(
                f"the role {role} may not do this", execution=Execution.NOT_RUN
            )

    def _authenticate(self) -> Role:
        header = self.request.headers.get("Authorization", "")
        if header.startswith(BEARER_PREFIX):
            digest = hashlib.sha256(header.removeprefix(BEARER_PREFIX).encode()).hexdigest()
            for token in self.node.access_tokens():
                if hmac.compare_digest(token.sha256, digest):
                    return token.role
        if not self.node.status().ready:
            raise NotReadyError(
                "this node knows no token yet",
                execution=Execution.NOT_RUN,
                retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
            )
        raise AuthenticationRequiredError("no valid bearer token", execution=Execution.NOT_RUN)

    def decode_body(self, body_type: type[BodyT]) -> BodyT:
        """Return the JSON body as a typed record.

        Raises:
            InvalidRequestError: The body is not valid.
        """
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise invalid_request_error(str(error)) from error

    def integer_argument(self, name: str, default: int | None = None) -> int:
        """Return a query argument as an integer of at least 0.

        Raises:
            InvalidRequestError: It is missing or not such an integer.
        """
        text = self.get_query_argument(name, None)
        if text is None and default is not None:
            return default
        if text is None or not text.isdecimal():
            raise invalid_request_error(f"query argument {name}: expected an integer of at least 0")
        return int(text)

    def requested_timeout_seconds(self) -> float | None:
        """Return the timeout that the caller requested, if any.

        Raises:
            InvalidRequestError: The header is not a positive, finite number of seconds.
        """
        text = self.request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return None
        try:
            return parse_timeout_seconds(text)
        except InvalidTimeoutError as error:
            raise invalid_request_error(f"{TIMEOUT_HEADER}: {error}") from error

    def new_request_id(self) -> RequestId:
        """Assign this request an id and return it in a response header."""
        request_id = self.node.new_request_id()
        self.request_id = request_id
        self.set_header(REQUEST_ID_HEADER, request_id)
        return request_id

    def write_json(self, record: msgspec.Struct, status: int = 200) -> None:
        """Send a record as a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.finish(msgspec.json.encode(record))

    def error_detail(self, error: BaseException) -> ErrorDetail:
        """Convert an exception to the error that callers receive."""
        if isinstance(error, RequestFailedError):
            return ErrorDetail(
                code=error.code,
                detail=error.detail,
                run=error.execution.value,
                retry_after_seconds=error.retry_after_seconds,
                request_id=self.request_id,
            )
        if isinstance(error, HTTPError):
            return _http_error_detail(error)
        code = error.code if isinstance(error, DrumbayError) else DrumbayError.code
        return ErrorDetail(
            code=code,
            detail=str(error),
            run=Execution.MAY_HAVE_RUN.value,
            request_id=self.request_id,
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the exception that ended the handler as a typed error body."""
        exception_info = kwargs.get("exc_info")
        error = exception_info[1] if exception_info else HTTPError(status_code)
        detail = self.error_detail(error)
        if self.intake.is_stopping:
            self.set_header("Connection", "close")
        if isinstance(error, RequestFailedError):
            self.set_status(error.http_status)
        # Tornado has cleared the headers that were set before the error.
        if self.request_id is not None:
            self.set_header(REQUEST_ID_HEADER, self.request_id)
        if self.get_status() == UNAUTHORIZED_STATUS:
            self.set_header("WWW-Authenticate", BEARER_PREFIX.strip())
        if detail.retry_after_seconds is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(detail.retry_after_seconds))))
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.finish(msgspec.json.encode(ErrorBody(error=detail)))

    def log_exception(self, *arguments: Any) -> None:
        """Log a failed request as one event; expected errors are logged at INFO."""
        error = arguments[1]
        level = "INFO" if isinstance(error, RequestFailedError | HTTPError) else "ERROR"
        log_event(
            "request_failed",
            level=level,
            path=self.request.path,
            request_id=self.request_id,
            error=type(error).__name__,
            detail=str(error),
        )


class UnknownPathHandler(ApiHandler):
    """Handles paths that no other handler matches."""

    def prepare(self) -> None:
        """Reject the request.

        Raises:
            NotFoundError: Always.
        """
        raise NotFoundError(f"no such path: {self.request.path}", execution=Execution.NOT_RUN)


def _http_error_detail(error: HTTPError) -> ErrorDetail:
    """Convert an error that Tornado raised before the handler ran."""
    is_method_not_allowed = error.status_code == METHOD_NOT_ALLOWED_STATUS
    return ErrorDetail(
        code="method_not_allowed" if is_method_not_allowed else InvalidRequestError.code,
        detail=error.log_message or error.reason or str(error),
        run=Execution.NOT_RUN.value,
    )
