"""Which worker gets the next send of a request, by what the node knows of the service's workers."""

from collections.abc import Set

import msgspec

from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.routes import Route
from drumbay.forwarding.worker_choice import (
    ChosenWorker,
    WorkerNews,
    choose_worker,
    refusal_seconds,
)
from drumbay.identifiers import BackendId
from drumbay.limits.worker_bodies import may_send_body
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.worker_record import WorkerRecord


class NextSend(msgspec.Struct, frozen=True, kw_only=True):
    """The next send of a request of ``body_bytes`` to a service.

    ``tried`` had it before; none of ``apart_from`` may have it.
    """

    route: Route
    service: str
    body_bytes: int
    tried: Set[BackendId]
    apart_from: Set[BackendId]


class WorkerPicker:
    """Chooses workers for the requests of one node."""

    def __init__(
        self,
        directory: WorkerDirectory,
        client: WorkerClient,
        timing: HedgeTiming,
        zone: str,
        machine: str,
    ) -> None:
        """Choose by a directory's records and the usual times of routes, for a node in a zone.

        Nodes on different machines choose differently between equal workers.
        """
        self._directory = directory
        self._client = client
        self._timing = timing
        self._zone = zone
        self._machine = machine

    def allowed(self, service: str, apart_from: Set[BackendId]) -> list[WorkerRecord]:
        """Return the workers of a service that a request may be sent to."""
        records = self._directory.of_service(service)
        return [record for record in records if record.worker.worker_id not in apart_from]

    def choose(self, send: NextSend, now: float) -> ChosenWorker | None:
        """Return the worker for a send; ``None`` if none can take it.

        A worker that has not had the request goes before one that had it. The first send of a
        request may also go to a worker that is paused: none may be better.
        """
        records = [
            record
            for record in self.allowed(send.service, send.apart_from)
            if may_send_body(record.body_bytes, send.body_bytes)
        ]
        available = [record for record in records if record.is_available(now)]
        untried = [r for r in available if r.worker.worker_id not in send.tried]
        candidates = untried or available
        if not candidates and not send.tried:
            candidates = [record for record in records if record.worker.state == "ready"]
        news = [self._news_of(record, now) for record in candidates]
        return choose_worker(news, self.usual_seconds(send.route), self._machine, now)

    def refusal_seconds(self, record: WorkerRecord, route: Route, now: float) -> float:
        """Return for how long a worker that has refused a request of a route counts as full."""
        return refusal_seconds(self._news_of(record, now), self.usual_seconds(route), now)

    def usual_seconds(self, route: Route) -> float:
        """Return the usual time of a route's answers."""
        return self._timing.usual_seconds(route.name, route.target_seconds)

    def _news_of(self, record: WorkerRecord, now: float) -> WorkerNews:
        return WorkerNews(
            worker_id=record.worker.worker_id,
            slots=record.worker.slots,
            own=record.in_flight,
            others=record.others,
            slowdown=record.slowdown,
            reported_at=record.reported_at,
            relative_time=record.answers.relative_time(now),
            failure_share=record.answers.failure_share(now),
            ran_at=record.answers.ran_at,
            paused_until=record.paused_until,
            keeps_connection=self._client.keeps_connection(record.worker),
            is_same_zone=record.worker.zone == self._zone,
        )
