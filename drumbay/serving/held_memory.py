"""What a node holds for each of its callers: counted, bounded, and told when it is shed."""

from functools import partial

from drumbay.limits.held_bytes import (
    BODY_COPIES,
    REQUEST_OWN_BYTES,
    ExpectedAnswerSizes,
    HeldBytes,
    HeldKind,
    ShedReason,
)
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics


class HeldMemory:
    """The bytes that one node holds for its callers."""

    def __init__(self, bound_bytes: int | None, metrics: ServingMetrics) -> None:
        """Keep below a bound; ``None`` counts only."""
        self.bytes = HeldBytes(bound_bytes)
        self.answer_sizes = ExpectedAnswerSizes()
        self.metrics = metrics
        for kind in HeldKind:
            metrics.watch_held_bytes(kind, partial(self.bytes.held, kind))

    def open(self, kind: HeldKind, request_id: str, route_name: str | None = None) -> "HeldRequest":
        """Begin to count for one request, whose answer may have a size to be expected."""
        return HeldRequest(self, kind, request_id, route_name)


class HeldRequest:
    """What is held for one request and its answer, until it is released."""

    def __init__(
        self, memory: HeldMemory, kind: HeldKind, request_id: str, route_name: str | None
    ) -> None:
        """Hold nothing yet."""
        self._memory = memory
        self._kind = kind
        self._request_id = request_id
        self._route_name = route_name
        self._held_bytes = 0

    def try_begin(self, body_bytes: int) -> bool:
        """Take what the request needs, with a body of an announced size; return whether it fits."""
        expected_bytes = 0
        if self._route_name is not None:
            expected_bytes = self._memory.answer_sizes.expected_bytes(self._route_name)
        return self._try_take(REQUEST_OWN_BYTES + BODY_COPIES * body_bytes + expected_bytes)

    def try_body(self, body_bytes: int) -> bool:
        """Take a part of a body whose size was not announced."""
        return self._try_take(BODY_COPIES * body_bytes)

    def try_answer(self, answer_bytes: int) -> bool:
        """Take an answer that the caller can ask for again at no loss."""
        return self._try_take(answer_bytes)

    def hold_answer(self, answer_bytes: int) -> None:
        """Hold an answer in place of its request, whether or not there is room."""
        if self._route_name is not None and answer_bytes:
            # Failures without a body tell nothing of the size of answers.
            self._memory.answer_sizes.observe(self._route_name, answer_bytes)
        self.release()
        self._held_bytes = REQUEST_OWN_BYTES + answer_bytes
        self._memory.bytes.take(self._kind, self._held_bytes)

    def gives_up_reader(self, unread_seconds: float, *, leaving: bool) -> bool:
        """Return whether the answer is given up, of which nothing was read for some time."""
        if not self._memory.bytes.gives_up(self._kind, unread_seconds, leaving=leaving):
            return False
        self._note_shed(ShedReason.NOT_READ, self._held_bytes, unread_seconds)
        return True

    def gives_up_body(self, still_seconds: float) -> bool:
        """Return whether the request is refused, of whose body nothing came for some time."""
        if not self._memory.bytes.gives_up(self._kind, still_seconds, leaving=False):
            return False
        self._note_shed(ShedReason.NOT_SENT, self._held_bytes, still_seconds)
        return True

    def release(self) -> None:
        """Give back all that is held."""
        self._memory.bytes.release(self._kind, self._held_bytes)
        self._held_bytes = 0

    def _try_take(self, amount_bytes: int) -> bool:
        if not self._memory.bytes.try_take(self._kind, amount_bytes, self._held_bytes):
            self._note_shed(ShedReason.NO_ROOM, amount_bytes, 0.0)
            return False
        self._held_bytes += amount_bytes
        return True

    def _note_shed(self, reason: ShedReason, amount_bytes: int, still_seconds: float) -> None:
        use = self._memory.bytes.use
        self._memory.metrics.count_shed(self._kind, reason)
        log_event(
            "request_shed",
            level="WARNING",
            request=self._request_id,
            kind=self._kind,
            reason=reason,
            amount_bytes=amount_bytes,
            still_seconds=still_seconds,
            held_bytes=use.held_bytes,
            bound_bytes=use.bound_bytes,
        )
