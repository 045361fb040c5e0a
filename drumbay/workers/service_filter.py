"""Excludes discovery entries whose service is not configured.

Discovery entries may be written by other programs. An entry of an unknown service receives no
requests or load orders and is not compared with other workers at its address. It is kept in case a
later configuration adds its service.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker


class ServiceFilter:
    """Passes discovery entries of configured services on to the worker directory."""

    def __init__(
        self, directory: WorkerDirectory, configured: Callable[[], frozenset[str] | None]
    ) -> None:
        """Create a filter without entries.

        Args:
            directory: Receives the accepted workers.
            configured: Returns the configured services, ``None`` before the first configuration.
        """
        self._directory = directory
        self._configured_services = configured
        self._excluded: dict[BackendId, Worker] = {}
        self._logged: set[BackendId] = set()

    def put(self, worker: Worker) -> bool:
        """Apply a new or changed entry; return whether it was accepted."""
        configured = self._configured_services()
        if configured is None or worker.service not in configured:
            self._exclude(worker, configured)
            self._directory.remove(worker.worker_id)
            return False
        self._forget(worker.worker_id)
        self._directory.put(worker)
        return True

    def remove(self, worker_id: BackendId) -> None:
        """Remove an entry that was deleted or is invalid."""
        self._forget(worker_id)
        self._directory.remove(worker_id)

    def filter_snapshot(self, workers: Iterable[Worker]) -> tuple[list[Worker], set[BackendId]]:
        """Return the accepted workers of a snapshot and the ids of the excluded ones."""
        configured = self._configured_services()
        usable: list[Worker] = []
        excluded: dict[BackendId, Worker] = {}
        for worker in workers:
            if configured is not None and worker.service in configured:
                usable.append(worker)
            else:
                excluded[worker.worker_id] = worker
        for worker_id in [known for known in self._excluded if known not in excluded]:
            self._forget(worker_id)
        for worker in excluded.values():
            self._exclude(worker, configured)
        return usable, set(excluded)

    def apply_configuration(self) -> None:
        """Re-evaluate all workers after a configuration change."""
        configured = self._configured_services() or frozenset()
        for record in list(self._directory.all_records().values()):
            if record.worker.service in configured:
                continue
            if record.missing_until is None:
                worker = msgspec.structs.replace(record.worker, versions=dict(record.versions))
                self._excluded[worker.worker_id] = worker
            self._directory.remove(record.worker.worker_id)
        for worker in list(self._excluded.values()):
            if worker.service in configured:
                self.put(worker)
            else:
                self._exclude(worker, configured)

    def _forget(self, worker_id: BackendId) -> None:
        self._excluded.pop(worker_id, None)
        self._logged.discard(worker_id)

    def _exclude(self, worker: Worker, configured: frozenset[str] | None) -> None:
        """Keep an excluded entry; logged once, and only if a configuration is known."""
        self._excluded[worker.worker_id] = worker
        if configured is not None and worker.worker_id not in self._logged:
            self._logged.add(worker.worker_id)
            # The service name is not logged because it is untrusted input.
            log_event("worker_service_not_named", level="WARNING", worker=worker.worker_id)
