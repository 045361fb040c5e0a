"""The places that a node's batch jobs share with those of other owners: performs the decisions.

Where it is switched off, owners tell nobody, and each job takes all that it finds free.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from drumbay.batches.decisions import PlaceShare
from drumbay.batches.owners import OwnerTable
from drumbay.batches.place_exchange import PlaceExchange
from drumbay.batches.places import JobPlaces
from drumbay.batches.records import BatchSpec
from drumbay.batches.shared_places import Room
from drumbay.batches.start_times import EventSize
from drumbay.batches.step_history import MOST_MODELS
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.forwarding.routes import ServiceUse
from drumbay.identifiers import BackendId
from drumbay.peers.messages import PlacesNotice
from drumbay.workers.directory import WorkerDirectory


class SharingJob(Protocol):
    """A batch job of this node, as it takes part in the sharing."""

    def places(self) -> JobPlaces:
        """Return what it holds and wants now."""
        ...

    @property
    def last_places(self) -> JobPlaces:
        """Return what it held and wanted when that was worked out last."""
        ...


class PlaceSharing:
    """What this node's batch jobs and those of other owners leave to each other."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        owners: OwnerTable,
        service_use: ServiceUse,
        tell: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
        jobs: Callable[[], Iterable[SharingJob]],
        *,
        is_enabled: bool,
    ) -> None:
        """Create a sharing that knows of no job.

        Args:
            clock: Time.
            directory: The workers.
            owners: Who owns which batch job.
            service_use: Tells which kinds of requests reach a service.
            tell: Sends a notice to other nodes.
            jobs: Returns this node's jobs, ended ones whose items still run included.
            is_enabled: Whether jobs share at all.
        """
        self._clock = clock
        self._directory = directory
        self._service_use = service_use
        self._jobs = jobs
        self._is_enabled = is_enabled
        self._event_sizes: dict[str, EventSize] = {}
        self._exchange = PlaceExchange(
            clock,
            owners.identity.address,
            owners.identity.boot,
            self.places if is_enabled else tuple,
            owners.owners_of_open,
            tell,
        )

    def places(self) -> tuple[JobPlaces, ...]:
        """Return what this node's jobs hold and want."""
        return tuple(job.places() for job in self._jobs())

    def note_change(self) -> None:
        """Tell soon: a job came, or an item started or ended."""
        self._exchange.note_change()

    def take(self, notice: PlacesNotice) -> None:
        """Take what another owner's jobs hold and want."""
        if self._is_enabled:
            self._exchange.take(notice)

    async def run(self) -> None:
        """Tell other owners what the jobs here hold and want, until cancelled."""
        await self._exchange.run()

    def has_rivals(self, service: str) -> bool:
        """Return whether batch jobs of several routes run on a service's workers."""
        return self._is_enabled and self._service_use.batch_routes(service) > 1

    def missed_before(self, spec: BatchSpec) -> int:
        """Return how many steps of a trainer before a batch job were late in a row."""
        return self._exchange.history.missed_before(spec.model, spec.batch_id)

    def event_size_of(self, model: str) -> EventSize:
        """Return what texts of a model have shown so far."""
        if model not in self._event_sizes and len(self._event_sizes) >= MOST_MODELS:
            del self._event_sizes[next(iter(self._event_sizes))]
        return self._event_sizes.setdefault(model, EventSize())

    def share_for(self, job: SharingJob, service: str) -> PlaceShare:
        """Return what other batch jobs leave to one of this node's."""
        now = self._clock.monotonic()
        shared = self._exchange.shared
        shared.expire(now)
        others = [other for other in self._jobs() if other is not job]
        if not self._is_enabled or (not shared.holders and not others):
            return PlaceShare()
        held = self._held_by_others(service, now)
        own = [job.places(), *(other.last_places for other in others)]
        offset = self._clock.wall() - now
        room = self._room(service, held or {}, now)
        competition = shared.competition(own[0], own, room, now, offset)
        return PlaceShare(held=held, competition=competition)

    def _room(self, service: str, held: Mapping[BackendId, int], now: float) -> Room:
        records = [r for r in self._directory.of_service(service) if r.is_available(now)]
        return Room(
            places=sum(record.worker.slots for record in records),
            free=sum(
                max(0, r.worker.slots - r.in_flight - held.get(r.worker.worker_id, 0))
                for r in records
            ),
        )

    def _held_by_others(self, service: str, now: float) -> Mapping[BackendId, int] | None:
        """Return the runs of other nodes by worker; ``None`` to go by the workers' reports.

        Owners tell of batch items only. Where other requests reach the workers too, a report that
        tells of more holds.
        """
        held = self._exchange.shared.held_by_others(service)
        if held is None or self._service_use.has_only_batches(service):
            return held
        return {
            record.worker.worker_id: max(
                held.get(record.worker.worker_id, 0), record.others_busy(now)
            )
            for record in self._directory.of_service(service)
        }
