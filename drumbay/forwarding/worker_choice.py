"""Pure choice of a worker for a request that is answered at once.

The load it answers: many nodes with few requests each, before a few workers that share their
machines with others. Any worker takes a multiple of its usual time for fractions of a second, some
are slow for seconds, some refuse or fail, and a node's newest report of a worker's load is mostly
older than the load itself.

A request goes where it is expected to be answered first. What was seen of a worker counts the less
the older it is: a worker without news counts as usual, neither free nor fast.

A node stays with the workers to which it keeps connections, and leaves them only for one that is
expected to be clearly faster; among equals it goes by an order of its own, from rendezvous hashing
(Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998). So each node uses a
limited set of workers, which grows with its load. Such sets carry nearly the load of full
flexibility (Tsitsiklis and Xu, "Flexible Queueing Architectures", Operations Research 65(5), 2017,
section 3), and nodes with the same news do not choose the same worker at once.
"""

import hashlib
import math
from collections.abc import Iterable, Sequence
from functools import lru_cache

import msgspec

from drumbay.identifiers import BackendId
from drumbay.workers.answer_pace import news_weight
from drumbay.workers.records import WorkerLoad

WITHOUT_CONNECTION_FACTOR = 1.25
"""A worker without a kept connection must be expected to be faster by this factor: single requests
of one route differ by as much, so that less tells nothing about the worker. Without it, nodes open
1.6 to 3.1 times as many connections for at most 2% shorter times (replays of 60 s: 77 nodes with 60
and 300 requests/s, 410 with 600)."""

CONNECTION_SECONDS = 0.002
"""A new connection keeps the caller waiting for about a millisecond, and a place of the worker
taken for as long."""

ZONE_SECONDS = 0.002
"""The way to another zone and back, where zones lie about a millisecond apart."""

COST_STEP_SECONDS = 0.001
"""Less tells nothing about a worker: among equals, the one that answered longest ago is asked, so
that there is news of several."""

CROWDED_SHARE = 0.5
CROWDING_FACTOR = 0.5
"""Many workers slow down as they fill: beyond half of its places a worker's time grows, by half
when all are taken. It also spreads a node's burst before the workers that it uses are full."""

LOAD_MEMORY_SECONDS = 0.6
"""Requests that a worker had are over after a few of their own durations, and what it shares its
machine with changes as fast: at this age a report counts for 37%."""

FAILED_RUN_COST = 4.0
"""A failed run costs one of the few workers that the request may be sent to, besides its time: it
counts as so many runs."""

SHORTEST_REFUSAL_SECONDS = 0.02
LONGEST_REFUSAL_SECONDS = 0.5
"""A quick lookup's time, below which a refusal would be asked for again by the same request; and a
bound for slow workers, whose places come free one by one meanwhile."""


class WorkerNews(msgspec.Struct, frozen=True, kw_only=True):
    """What a node knows of one worker.

    ``own`` counts the node's requests there; ``others`` and ``slowdown`` are those of the last load
    report. ``relative_time`` is the time expected of answers there relative to what is usual for
    their routes, without slowdown and wait; ``failure_share`` is the expected share of failed runs.
    The last run there ended at ``ran_at``; nothing new should go there before ``paused_until``.
    Times are monotonic.
    """

    worker_id: BackendId
    slots: int
    own: int = 0
    others: int = 0
    slowdown: float = 1.0
    reported_at: float = -math.inf
    relative_time: float = 1.0
    failure_share: float = 0.0
    ran_at: float = -math.inf
    paused_until: float = -math.inf
    keeps_connection: bool = False
    is_same_zone: bool = True


class ChosenWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen worker and why: the time expected there, and what is known of its load."""

    worker_id: BackendId
    expected_seconds: float
    load_age_seconds: float
    slowdown: float


def choose_worker(
    candidates: Sequence[WorkerNews], usual_seconds: float, machine: str, now: float
) -> ChosenWorker | None:
    """Return the worker where a request is expected to be answered first.

    Args:
        candidates: The workers that the request may be sent to.
        usual_seconds: The median time of the route's answers.
        machine: The name of this node's machine, which decides between equal workers.
        now: The monotonic time.
    """
    if not candidates:
        return None
    usual_others = _usual_others(candidates, now)
    ranked = sorted(candidates, key=lambda news: _rank(machine, news.worker_id))

    def cost(news: WorkerNews) -> tuple[int, float]:
        expected = usual_seconds * _relative_time_expected(news, usual_others, now)
        if not news.keeps_connection:
            expected = WITHOUT_CONNECTION_FACTOR * expected + CONNECTION_SECONDS
        if not news.is_same_zone:
            expected += ZONE_SECONDS
        expected += max(0.0, news.paused_until - now)
        return round(expected / COST_STEP_SECONDS), news.ran_at

    chosen = min(ranked, key=cost)
    return ChosenWorker(
        worker_id=chosen.worker_id,
        expected_seconds=usual_seconds * _relative_time_expected(chosen, usual_others, now),
        load_age_seconds=now - chosen.reported_at,
        slowdown=_slowdown_now(chosen, now),
    )


def refusal_seconds(news: WorkerNews, usual_seconds: float, now: float) -> float:
    """Return for how long a worker that has refused counts as full.

    Its places and its queue were taken. After the time of one request there, each of its places has
    come free once, and its queue has room for as many.
    """
    time_there = usual_seconds * news.relative_time * _slowdown_now(news, now)
    return min(LONGEST_REFUSAL_SECONDS, max(SHORTEST_REFUSAL_SECONDS, time_there))


def relative_time_of(
    elapsed_seconds: float, usual_seconds: float, load: WorkerLoad | None
) -> float:
    """Return an answer's time relative to the usual, without the slowdown and wait it reports."""
    relative_time = elapsed_seconds / usual_seconds
    if load is None:
        return relative_time
    wait = load.waiting / max(1, load.slots)
    return relative_time / (max(1.0, load.slowdown) * (1.0 + wait))


def _relative_time_expected(news: WorkerNews, usual_others: float, now: float) -> float:
    """Return the time that a request is expected to take there now; 1 is the route's usual."""
    occupied = (news.own + _others_now(news, usual_others, now) + 1.0) / max(1, news.slots)
    wait = max(0.0, occupied - 1.0)
    crowded = min(1.0, max(0.0, occupied - CROWDED_SHARE) / (1.0 - CROWDED_SHARE))
    time_of_one = news.relative_time * _slowdown_now(news, now) * (1.0 + CROWDING_FACTOR * crowded)
    return time_of_one * (1.0 + wait) * (1.0 + FAILED_RUN_COST * news.failure_share)


def _slowdown_now(news: WorkerNews, now: float) -> float:
    weight = news_weight(now - news.reported_at, LOAD_MEMORY_SECONDS)
    return 1.0 + (news.slowdown - 1.0) * weight


def _usual_others(candidates: Iterable[WorkerNews], now: float) -> float:
    """Return what others hold at a worker on average, by the reports as far as they are new."""
    total = weights = 0.0
    for news in candidates:
        weight = news_weight(now - news.reported_at, LOAD_MEMORY_SECONDS)
        total += weight * news.others
        weights += weight
    return total / weights if weights > 0.0 else 0.0


def _others_now(news: WorkerNews, usual_others: float, now: float) -> float:
    weight = news_weight(now - news.reported_at, LOAD_MEMORY_SECONDS)
    return usual_others + (news.others - usual_others) * weight


@lru_cache(maxsize=4096)
def _rank(machine: str, worker_id: BackendId) -> bytes:
    return hashlib.blake2b(f"{machine}\0{worker_id}".encode(), digest_size=8).digest()
