"""Excludes discovery entries whose service is not in use.

A service is in use if it is configured, or if an accepted batch job of this node may run there.
Discovery entries may be written by other programs. An entry of an unknown service receives no
requests or load orders and is not compared with other workers at its address. It is kept in case
its service comes into use later.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker


class ServiceFilter:
    """Passes discovery entries of services in use on to the worker directory."""

    def __init__(
        self, directory: WorkerDirectory, services_in_use: Callable[[], frozenset[str] | None]
    ) -> None:
        """Create a filter without entries.

        Args:
            directory: Receives the accepted workers.
            services_in_use: Returns the services in use, ``None`` before the first configuration.
        """
        self._directory = directory
        self._services_in_use = services_in_use
        self._excluded: dict[BackendId, Worker] = {}
        self._logged: set[BackendId] = set()

    def put(self, worker: Worker) -> bool:
        """Apply a new or changed entry; return whether it was accepted."""
        in_use = self._services_in_use()
        if in_use is None or worker.service not in in_use:
            self._exclude(worker, in_use)
            self._directory.exclude(worker.worker_id)
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
        in_use = self._services_in_use()
        usable: list[Worker] = []
        excluded: dict[BackendId, Worker] = {}
        for worker in workers:
            if in_use is not None and worker.service in in_use:
                usable.append(worker)
            else:
                excluded[worker.worker_id] = worker
        for worker_id in [known for known in self._excluded if known not in excluded]:
            self._forget(worker_id)
        for worker in excluded.values():
            self._exclude(worker, in_use)
        return usable, set(excluded)

    def update(self) -> None:
        """Re-evaluate all workers after a change of the services in use."""
        in_use = self._services_in_use() or frozenset()
        for record in list(self._directory.all_records().values()):
            if record.worker.service in in_use:
                continue
            if record.missing_until is None:
                worker = msgspec.structs.replace(record.worker, versions=dict(record.versions))
                self._excluded[worker.worker_id] = worker
            self._directory.exclude(record.worker.worker_id)
        for worker in list(self._excluded.values()):
            if worker.service in in_use:
                self.put(worker)
            else:
                self._exclude(worker, in_use)

    def _forget(self, worker_id: BackendId) -> None:
        self._excluded.pop(worker_id, None)
        self._logged.discard(worker_id)

    def _exclude(self, worker: Worker, in_use: frozenset[str] | None) -> None:
        """Keep an excluded entry; logged once, and only if a configuration is known."""
        self._excluded[worker.worker_id] = worker
        if in_use is not None and worker.worker_id not in self._logged:
            self._logged.add(worker.worker_id)
            # The service name is not logged because it is untrusted input.
            log_event("worker_service_not_named", level="WARNING", worker=worker.worker_id)
