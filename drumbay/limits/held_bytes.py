"""How many bytes a node may hold for its callers, and what goes without room first.

The load that this answers: many callers that send large bodies, or that read large answers slowly,
at once. A process over its memory limit is killed, and takes every other request along.

Pure: the caller says what it takes and gives back, and performs what is decided.
"""

from enum import StrEnum

import msgspec

PROCESS_OWN_BYTES = 72_000_000
"""What a process needs before it holds anything for callers: code, routes, workers, connections.
About 45 MB are in use on a busy node; the rest is room for the batch jobs that it owns."""

HELD_SHARE_OF_MEMORY = 0.5
"""Share of the remaining memory that callers' bytes may take. The other half is for copies that are
made while bytes are decoded or sent, and for what workers send."""

SMALLEST_BOUND_BYTES = 8_000_000
"""Even the smallest process serves several pages of results and usual lookups at once."""

REQUEST_OWN_BYTES = 32_768
"""What an open request holds beside its body: its headers, tasks and connections."""

BODY_COPIES = 2
"""How often the body of a request stands in memory: as it came, and decoded or on its way on."""

OVERSIZED_WHILE_HELD_SHARE = 0.25
"""A request larger than its kind's share could never be taken by the rule for the others. It is
taken while at most this share of the bound is held, so that such requests pass one at a time."""

LONGEST_STILL_SECONDS = 20.0
"""A connection over which nothing went for so long has nobody at its other end. Long against a
partition of some seconds, after which a ready answer is still of use."""

ANSWER_MEMORY_SHARE = 0.95
"""What an expected size keeps with each answer that is smaller: a large one is remembered for some
tens of answers, as routes mix small and large ones."""

MOST_ROUTES_REMEMBERED = 256
"""Expected sizes are kept for so many routes; the one that was longest without an answer goes."""


class HeldKind(StrEnum):
    """What bytes are held for."""

    RESULTS = "results"
    SUBMISSION = "submission"
    LOOKUP = "lookup"


class ShedReason(StrEnum):
    """Why a request was refused or its answer dropped."""

    NO_ROOM = "no_room"
    NOT_READ = "not_read"
    NOT_SENT = "not_sent"


BOUND_SHARES = {HeldKind.RESULTS: 0.5, HeldKind.SUBMISSION: 0.75, HeldKind.LOOKUP: 1.0}
"""Up to which share of the bound each kind is taken. Results can be read again at any node at no
loss, so they go first; a new batch job can be handed in again; a lookup has a caller who waits."""

PRESSED_STILL_SECONDS = {
    HeldKind.RESULTS: 2.0,
    HeldKind.SUBMISSION: 5.0,
    HeldKind.LOOKUP: 5.0,
}
"""How long an answer may lie unread, or a body stop coming, while others are refused for want of
room. Sending stands still for a second or two when packets are lost; a page of results costs its
reader only another call."""


class HeldBytesUse(msgspec.Struct, frozen=True, kw_only=True):
    """What is held, for a log line."""

    held_bytes: int
    bound_bytes: int | None


class HeldBytes:
    """Counts the bytes held by kind, and decides what is taken and who is given up."""

    def __init__(self, bound_bytes: int | None) -> None:
        """Keep below a bound; ``None`` counts only."""
        self._bound_bytes = bound_bytes
        self._held = dict.fromkeys(HeldKind, 0)

    @property
    def use(self) -> HeldBytesUse:
        """Return what is held of which bound."""
        return HeldBytesUse(held_bytes=self._total(), bound_bytes=self._bound_bytes)

    def held(self, kind: HeldKind) -> int:
        """Return the bytes held of one kind."""
        return self._held[kind]

    def try_take(self, kind: HeldKind, amount_bytes: int, own_bytes: int = 0) -> bool:
        """Take bytes if there is room.

        ``own_bytes`` is what the same request holds already: it makes a large request oversized,
        and does not stand in its own way.
        """
        if not self._has_room(kind, amount_bytes, own_bytes):
            return False
        self.take(kind, amount_bytes)
        return True

    def take(self, kind: HeldKind, amount_bytes: int) -> None:
        """Take bytes whether or not there is room: an answer that is ready is delivered."""
        self._held[kind] += amount_bytes

    def release(self, kind: HeldKind, amount_bytes: int) -> None:
        """Give bytes back."""
        self._held[kind] -= amount_bytes

    def gives_up(self, kind: HeldKind, still_seconds: float, *, leaving: bool) -> bool:
        """Return whether what is held is given up, after nothing of it moved for some time.

        It is an answer of which nothing was read, or a body of which nothing came.
        A node that is ``leaving`` waits for readers that read, not for others.
        """
        is_pressed = leaving or self._is_pressed()
        limit_seconds = PRESSED_STILL_SECONDS[kind] if is_pressed else LONGEST_STILL_SECONDS
        return still_seconds >= limit_seconds

    def _has_room(self, kind: HeldKind, amount_bytes: int, own_bytes: int) -> bool:
        if self._bound_bytes is None:
            return True
        limit_bytes = BOUND_SHARES[kind] * self._bound_bytes
        if self._total() + amount_bytes <= limit_bytes:
            return True
        others_bytes = self._total() - own_bytes
        is_oversized = own_bytes + amount_bytes > limit_bytes - self._oversized_while_held_bytes()
        return is_oversized and others_bytes <= self._oversized_while_held_bytes()

    def _oversized_while_held_bytes(self) -> float:
        return OVERSIZED_WHILE_HELD_SHARE * (self._bound_bytes or 0)

    def _is_pressed(self) -> bool:
        """Return whether the kind that goes first is refused already."""
        if self._bound_bytes is None:
            return False
        return self._total() >= BOUND_SHARES[HeldKind.RESULTS] * self._bound_bytes

    def _total(self) -> int:
        return sum(self._held.values())


class ExpectedAnswerSizes:
    """How large the answers of each route are to be expected, from those that came of late.

    The size of an answer is known when it is there, and then it is delivered: room for it has to be
    set aside when its request is taken.
    """

    def __init__(self) -> None:
        """Expect nothing yet."""
        self._sizes: dict[str, float] = {}

    def expected_bytes(self, route_name: str) -> int:
        """Return the expected size; 0 where nothing is known."""
        return int(self._sizes.get(route_name, 0.0))

    def observe(self, route_name: str, size_bytes: int) -> None:
        """Take the size of an answer."""
        remembered = self._sizes.pop(route_name, 0.0) * ANSWER_MEMORY_SHARE
        self._sizes[route_name] = max(float(size_bytes), remembered)
        if len(self._sizes) > MOST_ROUTES_REMEMBERED:
            del self._sizes[next(iter(self._sizes))]


def held_bytes_bound(memory_bytes: int | None) -> int | None:
    """Return how much a process may hold for callers; ``None`` where no limit is named."""
    if memory_bytes is None:
        return None
    share_bytes = HELD_SHARE_OF_MEMORY * (memory_bytes - PROCESS_OWN_BYTES)
    return max(SMALLEST_BOUND_BYTES, int(share_bytes))
