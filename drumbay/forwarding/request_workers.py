"""The workers of a service as one client request sees them."""

from collections.abc import Callable, Set

from drumbay.forwarding.attempts import RequestAttempts
from drumbay.forwarding.request_quarantine import RequestQuarantine
from drumbay.forwarding.routes import Route
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.forwarding.worker_picker import SendCriteria, WorkerPicker
from drumbay.identifiers import BackendId
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.records import Worker
from drumbay.workers.worker_record import WorkerRecord


class RequestWorkers:
    """Asks the picker about workers, with the regions and avoided workers of a request."""

    def __init__(
        self,
        picker: WorkerPicker,
        quarantine: RequestQuarantine,
        service: str,
        allowed_regions: Callable[[], AllowedRegions],
    ) -> None:
        """Create the view of a request to ``service``."""
        self._picker = picker
        self._quarantine = quarantine
        self._service = service
        self._allowed_regions = allowed_regions

    @property
    def regions(self) -> AllowedRegions:
        """Return the regions in which the request may run now."""
        return self._allowed_regions()

    def are_lacking(self) -> bool:
        """Return whether no worker is in service for the request, now or after a wait."""
        regions = self.regions
        return regions.is_empty or self._picker.lacks_workers(self._service, regions)

    def are_free_by(self, time: float) -> bool:
        """Return whether a ready worker is in service whose pause has ended at a monotonic time."""
        return self._picker.is_free_by(
            self._service, self._quarantine.avoided_workers, self.regions, time
        )

    def free_from(self) -> float:
        """Return from when a ready worker in service is not paused; infinite without any."""
        return self._picker.free_from(self._service, self._quarantine.avoided_workers, self.regions)

    def are_available(self, now: float) -> bool:
        """Return whether an eligible worker accepts requests now."""
        eligible = self._picker.eligible_workers(
            self._service, self._quarantine.avoided_workers, self.regions
        )
        return any(record.is_available(now) for record in eligible)

    def has_responsive_untried(self, tried: Set[BackendId], now: float) -> bool:
        """Return whether an eligible worker responds that has not received the request."""
        eligible = self._picker.eligible_workers(
            self._service, self._quarantine.avoided_workers, self.regions
        )
        return any(
            record.is_available(now)
            and not record.responsiveness.is_avoided(now)
            and record.worker.worker_id not in tried
            for record in eligible
        )

    def next_start_at(self) -> float:
        """Return when this node may start a request at a worker that lacks only starts."""
        return self._picker.next_start_at(
            self._service, self._quarantine.avoided_workers, self.regions
        )

    def lacking_starts(self) -> list[Worker]:
        """Return the workers that may get the request but for this node's lack of starts."""
        return self._picker.workers_lacking_starts(
            self._service, self._quarantine.avoided_workers, self.regions
        )

    def may_send(self, record: WorkerRecord) -> bool:
        """Return whether a worker is eligible for the request."""
        return self._picker.may_send(record, self.regions)

    def choose(
        self, route: Route, body_bytes: int, attempts: RequestAttempts, now: float
    ) -> ChosenWorker | None:
        """Return the worker for the next attempt; ``None`` if none is eligible."""
        criteria = SendCriteria(
            route=route,
            service=self._service,
            body_bytes=body_bytes,
            tried=attempts.tried,
            avoided_workers=self._quarantine.avoided_workers,
            regions=self.regions,
            is_hedge=bool(attempts.in_flight),
        )
        return self._picker.choose(criteria, now)
