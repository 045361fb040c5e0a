"""Pure decisions: which worker counts to order now.

The load: batch jobs want more places than the workers have for as long as trainers run, workers
crash and come back meanwhile, and a zone's workers may all go. Counts rise in one large step, since
a new worker serves only seconds later, and fall one worker at a time after a long calm.
"""

from collections.abc import Iterable, Mapping

import msgspec

from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.scaling.demand import WorkerNeed
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.scaling.spread import DEFAULT_PRICE, ZoneRoom, add_workers, remove_worker

STANDING_SECONDS = 8.0
"""A count that was never lower for so long stands: longer than workers take to register one after
the other, and to be replaced."""

REPLACE_MARGIN_SECONDS = 4.0
"""A worker that crashed or is being replaced is back within seconds by itself. Only a number that
stays too low for this long beyond a boot is ordered again."""

RETRY_SECONDS = 1.0
"""Pause after an order that the platform did not accept."""

RAISE_SHARE = 0.1
"""More workers are ordered once this share more is needed: less is within the error of the need,
and each order is a call to the platform."""

GIVE_BACK_SHARE = 0.2
"""Workers are given back while more than this share beyond the need is there: a worker that drains
breaks off runs, which a need that rises again soon would not repay."""

GIVE_BACK_SECONDS = 10.0
"""Workers are given back one at a time, so that a step between two of them shows a lack."""


class _Seen(msgspec.Struct, frozen=True):
    """A number of ready workers, since a monotonic time."""

    at: float
    ready: int


class _Place(msgspec.Struct, kw_only=True):
    """What is known of one service in one zone.

    Attributes:
        standing: How many workers have stood there by themselves; ``None`` before that is known.
        raised: How many demand has asked for; 0 if it never asked for more than stand.
        ordered: The count ordered last; ``None`` if none was, or it may not have arrived.
        ordered_at: When that was.
        unanswered: A count that the platform may have set, or may still set; it is repeated until
            the platform has accepted it, and nothing else is ordered meanwhile.
        ready: Ready workers now.
        is_lowered: Whether a worker is to be given back and the platform has not accepted it yet.
        seen: Ready workers lately, with the times at which the number changed.
        short_since: Since when fewer than wanted are ready; starts anew with each order.
        away_since: The same, whatever is ordered again.
        not_before: When an order may be given again.
    """

    standing: int | None = None
    raised: int = 0
    ordered: int | None = None
    ordered_at: float = float("-inf")
    unanswered: int | None = None
    is_lowered: bool = False
    ready: int = 0
    seen: list[_Seen] = msgspec.field(default_factory=list)
    short_since: float | None = None
    away_since: float | None = None
    not_before: float = float("-inf")


class WorkerCountPlanner:
    """Orders the counts that demand asks for, and orders again when workers stay away.

    Counts do not fall below what stood at first. Only a lack of places raises them: workers beyond
    that cost their price and make no step whole sooner.
    """

    def __init__(self) -> None:
        """Know nothing of any zone."""
        self._places: dict[ServiceZone, _Place] = {}
        self._changed_at: dict[str, float] = {}

    @property
    def standing(self) -> dict[ServiceZone, int]:
        """Return how many workers have stood in each zone, as far as known."""
        return {
            place: known.standing
            for place, known in self._places.items()
            if known.standing is not None
        }

    @property
    def raised(self) -> dict[ServiceZone, int]:
        """Return how many workers demand has asked for, where it has."""
        return {place: known.raised for place, known in self._places.items() if known.raised}

    def restore(
        self, standing: Mapping[ServiceZone, int], raised: Mapping[ServiceZone, int] | None = None
    ) -> None:
        """Take what a planner before this one knew."""
        for place, count in standing.items():
            self._places.setdefault(place, _Place()).standing = count
        for place, count in (raised or {}).items():
            self._places.setdefault(place, _Place()).raised = count

    def wanted_of(self, scaling: ServiceScaling) -> int:
        """Return how many workers a service is to have in all zones."""
        return sum(
            _wanted(scaling, known)
            for place, known in self._places.items()
            if place.service == scaling.service and known.standing is not None
        )

    def plan(
        self,
        scaling: ServiceScaling,
        workers: Iterable[ZoneWorkers],
        now: float,
        need: WorkerNeed | None = None,
    ) -> tuple[WorkerCount, ...]:
        """Return the counts to order now.

        Args:
            scaling: What operators allow.
            workers: What there is.
            now: Monotonic time.
            need: What batch jobs ask for, if known.
        """
        zones: dict[ServiceZone, _Place] = {}
        for zone in workers:
            known = self._places.setdefault(zone.place, _Place())
            _observe(known, zone.ready, now)
            if known.standing is not None:
                zones[zone.place] = known
        if need is not None:
            self._follow_need(scaling, zones, need, now)
        return tuple(
            _order(place, known, _wanted(scaling, known), now)
            for place, known in zones.items()
            if _is_due(scaling, known, now)
        )

    def _follow_need(
        self,
        scaling: ServiceScaling,
        zones: Mapping[ServiceZone, _Place],
        need: WorkerNeed,
        now: float,
    ) -> None:
        """Change what the zones are to have."""
        # A zone in which the service never ran may not be able to run it.
        rooms = {
            place: _room(scaling, place, known, now)
            for place, known in zones.items()
            if known.standing
        }
        total = sum(room.workers for room in rooms.values())
        if need.workers >= total * (1 + RAISE_SHARE):
            counts = add_workers(rooms, need.workers)
        elif self._may_give_back(scaling.service, total, need, now):
            counts = remove_worker(rooms)
        else:
            return
        for place, room in rooms.items():
            if counts[place] != room.workers:
                self._changed_at[scaling.service] = now
                zones[place].raised = counts[place]
                zones[place].is_lowered = counts[place] < room.workers
                zones[place].away_since = None

    def _may_give_back(self, service: str, total: int, need: WorkerNeed, now: float) -> bool:
        since = self._changed_at.get(service, float("-inf"))
        return (
            need.calm_workers is not None
            and total > need.calm_workers * (1 + GIVE_BACK_SHARE)
            and now - since >= GIVE_BACK_SECONDS
        )

    def note_outcome(self, order: WorkerCount, outcome: DutyOutcome, now: float) -> None:
        """Order again later what the platform did not accept, or may not have."""
        known = self._places.get(ServiceZone(order.service, order.zone))
        if known is None:
            return
        known.unanswered = None
        if outcome is DutyOutcome.ACCEPTED:
            known.is_lowered = False
            return
        # An order that may have been carried out is repeated unchanged, so that it does no harm.
        if outcome is DutyOutcome.UNANSWERED:
            known.unanswered = order.workers
        known.ordered = None
        known.ordered_at = float("-inf")
        known.short_since = float("-inf")
        known.not_before = now + RETRY_SECONDS


def _wanted(scaling: ServiceScaling, known: _Place) -> int:
    if known.unanswered is not None:
        return known.unanswered
    return min(scaling.maximum, max(known.standing or 0, known.raised))


def _room(scaling: ServiceScaling, place: ServiceZone, known: _Place, now: float) -> ZoneRoom:
    """Return what a zone may have; one whose workers stay away counts with those that it has."""
    wanted = _wanted(scaling, known)
    is_away = known.away_since is not None and now - known.away_since >= _patience(scaling)
    is_fixed = is_away or known.unanswered is not None
    workers = min(known.ready, wanted) if is_away else wanted
    return ZoneRoom(
        workers=workers,
        fewest=workers if is_fixed else min(scaling.maximum, known.standing or 0),
        most=workers if is_fixed else scaling.maximum,
        price=scaling.zone_prices.get(place.zone, DEFAULT_PRICE),
    )


def _order(place: ServiceZone, known: _Place, wanted: int, now: float) -> WorkerCount:
    known.ordered = wanted
    known.ordered_at = now
    known.short_since = None
    return WorkerCount(service=place.service, zone=place.zone, workers=wanted)


def _observe(known: _Place, ready: int, now: float) -> None:
    """Take a count; the fewest of a while count as standing if that is more than before.

    Workers register one after the other, and while some are replaced, old and new ones are
    ready together: neither the first count nor the largest one tells how many there are to be.
    Workers that demand has asked for do not stand.
    """
    known.ready = ready
    if not known.seen or known.seen[-1].ready != ready:
        known.seen.append(_Seen(at=now, ready=ready))
    since = now - STANDING_SECONDS
    while len(known.seen) > 1 and known.seen[1].at <= since:
        known.seen.pop(0)
    if known.seen[0].at <= since:
        fewest = min(seen.ready for seen in known.seen)
        if fewest > known.raised and not known.is_lowered:
            known.standing = max(known.standing or 0, fewest)


def _is_due(scaling: ServiceScaling, known: _Place, now: float) -> bool:
    """Return whether the wanted count of a zone is to be ordered now."""
    if known.unanswered is not None and known.ready >= known.unanswered and not known.is_lowered:
        known.unanswered = None
    wanted = _wanted(scaling, known)
    _observe_lack(known, wanted, now)
    if now < known.not_before:
        return False
    if known.is_lowered:
        return True
    if known.short_since is None:
        return False
    is_new = wanted > (known.ordered or known.standing or 0)
    return is_new or now - max(known.short_since, known.ordered_at) >= _patience(scaling)


def _observe_lack(known: _Place, wanted: int, now: float) -> None:
    if known.ready >= wanted:
        known.short_since = None
        known.away_since = None
        return
    if known.short_since is None:
        known.short_since = now
    if known.away_since is None:
        known.away_since = now


def _patience(scaling: ServiceScaling) -> float:
    return scaling.boot_seconds + REPLACE_MARGIN_SECONDS
