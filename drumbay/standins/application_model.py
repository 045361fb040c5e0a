"""An emulated lookup and ordering application.

``GET`` of any path looks up the article or contact named by the last path segment;
``POST`` books it. Every execution changes or reads the one store, and bookings are counted:
the application does not deduplicate.
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
LARGEST_INITIAL_STOCK = 500
HTTP_OK = 200
HTTP_CREATED = 201


class ApplicationOperation(StrEnum):
    """What an execution did."""

    LOOKUP = "lookup"
    BOOKING = "booking"


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a lookup."""

    article: str
    stock: int


class BookingAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a booking; ``booking_number`` counts every booking of the process."""

    article: str
    booking_number: int
    stock: int


def article_of(path: str) -> str:
    """Return the article that a path names."""
    return unquote(urlsplit(path).path.rstrip("/").rpartition("/")[2])


def answer_digest(body: bytes) -> str:
    """Return the hash of an answer, for comparing answers with execution logs."""
    return str(xxhash.xxh64_hexdigest(body))


class StockOperations:
    """The store of articles; it outlives crashes of the process, as a database does."""

    def __init__(self) -> None:
        """Create a store in which every article has its initial stock."""
        self._stock: dict[str, int] = {}
        self._bookings = 0

    def rejection(self, request: ApplicationRequest) -> str | None:
        """Refuse methods other than GET and POST and paths without an article."""
        if request.method not in ("GET", "POST"):
            return "method_not_allowed"
        if not article_of(request.path):
            return "no_article"
        return None

    def execute(self, context: ExecutionContext, request: ApplicationRequest) -> ServiceResult:
        """Look up or book one article."""
        article = article_of(request.path)
        if request.method == "GET":
            operation = ApplicationOperation.LOOKUP
            status = HTTP_OK
            body = msgspec.json.encode(LookupAnswer(article=article, stock=self.stock(article)))
        else:
            operation = ApplicationOperation.BOOKING
            status = HTTP_CREATED
            body = msgspec.json.encode(self._book(article))
        return ServiceResult(
            answer=ApplicationResponse(
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
        """Return the stock of an article."""
        initial: int = xxhash.xxh32_intdigest(article.encode()) % LARGEST_INITIAL_STOCK
        return self._stock.get(article, initial)

    def _book(self, article: str) -> BookingAnswer:
        self._bookings += 1
        self._stock[article] = self.stock(article) - 1
        return BookingAnswer(
            article=article, booking_number=self._bookings, stock=self._stock[article]
        )


class ApplicationModel(ServiceModel):
    """One emulated application server with its own store."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        random_source: random.Random,
        parameters: ServiceParameters | None = None,
    ) -> None:
        """Create an application server whose process has started."""
        super().__init__(clock, backend_id, StockOperations(), random_source, parameters)
