"""An emulated lookup and ordering application.

``GET`` looks up the article named by the last path segment; ``POST`` books it. Bookings are
not deduplicated, so a request that is executed twice shows in the counts and in the log.
"""

import random
from enum import StrEnum
from urllib.parse import unquote, urlsplit

import msgspec
import xxhash

from drumbay.backends.interface import ApplicationRequest, ApplicationResponse
from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.standins.execution_log import ApplicationExecuted
from drumbay.standins.service_model import (
    ExecutionContext,
    ServiceModel,
    ServiceParameters,
    ServiceResult,
)

JSON_TYPE = "application/json"
MAX_INITIAL_STOCK = 500
HTTP_OK = 200
HTTP_CREATED = 201


class ApplicationOperation(StrEnum):
    """Operation of an execution."""

    LOOKUP = "lookup"
    BOOKING = "booking"


class LookupResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a lookup."""

    article: str
    stock: int


class BookingResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a booking; ``booking_number`` counts the bookings in this store."""

    article: str
    booking_number: int
    stock: int


def article_from_path(path: str) -> str:
    """Return the article named by the last segment of a path."""
    return unquote(urlsplit(path).path.rstrip("/").rpartition("/")[2])


def answer_digest(body: bytes) -> str:
    """Return the hash of a response body, as it is recorded in execution logs."""
    return str(xxhash.xxh64_hexdigest(body))


class StockOperations:
    """Article stock, kept across process crashes as in a database."""

    def __init__(self) -> None:
        """Create a store with the initial stock of every article."""
        self._stock: dict[str, int] = {}
        self._bookings = 0

    def rejection_reason(self, request: ApplicationRequest) -> str | None:
        """Reject methods other than GET and POST, and paths without an article."""
        if request.method not in ("GET", "POST"):
            return "method_not_allowed"
        if not article_from_path(request.path):
            return "no_article"
        return None

    def execute(self, context: ExecutionContext, request: ApplicationRequest) -> ServiceResult:
        """Look up or book one article."""
        article = article_from_path(request.path)
        if request.method == "GET":
            operation = ApplicationOperation.LOOKUP
            status = HTTP_OK
            body = msgspec.json.encode(LookupResponse(article=article, stock=self.stock(article)))
        else:
            operation = ApplicationOperation.BOOKING
            status = HTTP_CREATED
            body = msgspec.json.encode(self._book(article))
        return ServiceResult(
            response=ApplicationResponse(
                attempt_id=request.attempt_id, status=status, body=body, content_type=JSON_TYPE
            ),
            record=ApplicationExecuted(
                time_seconds=context.time_seconds,
                source=context.source,
                boot_id=context.boot_id,
                attempt_id=request.attempt_id,
                idempotency_key=request.idempotency_key,
                operation=operation,
                article=article,
                answer_digest=answer_digest(body),
            ),
        )

    def stock(self, article: str) -> int:
        """Return the stock of an article; the initial stock is derived from its name."""
        initial: int = xxhash.xxh32_intdigest(article.encode()) % MAX_INITIAL_STOCK
        return self._stock.get(article, initial)

    def _book(self, article: str) -> BookingResponse:
        self._bookings += 1
        self._stock[article] = self.stock(article) - 1
        return BookingResponse(
            article=article, booking_number=self._bookings, stock=self._stock[article]
        )


class ApplicationModel(ServiceModel):
    """Emulated application server with its own stock."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        random_source: random.Random,
        parameters: ServiceParameters | None = None,
    ) -> None:
        """Create an application server with a running process."""
        super().__init__(clock, backend_id, StockOperations(), random_source, parameters)
