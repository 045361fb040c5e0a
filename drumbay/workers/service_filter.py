"""Keeps workers of services that the configuration in force does not name out of the directory.

Others than workers write entries too. One of a service that is not named is no worker that may be
used: it gets neither requests nor orders, and proves nothing of another worker at its address. A
configuration that names its service may still come, so the entry is kept aside.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker


class ServiceFilter:
    """Says which entries of discovery may be used, and holds the others."""

    def __init__(
        self, directory: WorkerDirectory, named: Callable[[], frozenset[str] | None]
    ) -> None:
        """Hold nothing.

        Args:
            directory: Takes the workers that may be used.
            named: The services that the configuration in force names, ``None`` before the first.
        """
        self._directory = directory
        self._named = named
        self._held: dict[BackendId, Worker] = {}
        self._logged: set[BackendId] = set()

    def put(self, worker: Worker) -> bool:
        """Take a new or changed entry; return whether its worker may be used."""
        named = self._named()
        if named is None or worker.service not in named:
            self._hold(worker, named)
            self._directory.remove(worker.worker_id)
            return False
        self._release(worker.worker_id)
        self._directory.put(worker)
        return True

    def remove(self, worker_id: BackendId) -> None:
        """Forget an entry that has gone or cannot be understood."""
        self._release(worker_id)
        self._directory.remove(worker_id)

    def take_snapshot(self, workers: Iterable[Worker]) -> tuple[list[Worker], set[BackendId]]:
        """Return the workers of a snapshot that may be used, and the ids of the others."""
        named = self._named()
        usable: list[Worker] = []
        held: dict[BackendId, Worker] = {}
        for worker in workers:
            if named is not None and worker.service in named:
                usable.append(worker)
            else:
                held[worker.worker_id] = worker
        for worker_id in [known for known in self._held if known not in held]:
            self._release(worker_id)
        for worker in held.values():
            self._hold(worker, named)
        return usable, set(held)

    def apply_configuration(self) -> None:
        """Look at every worker again: another configuration is in force."""
        named = self._named() or frozenset()
        for record in list(self._directory.all_records().values()):
            if record.worker.service in named:
                continue
            if record.missing_until is None:
                worker = msgspec.structs.replace(record.worker, versions=dict(record.versions))
                self._held[worker.worker_id] = worker
            self._directory.remove(record.worker.worker_id)
        for worker in list(self._held.values()):
            if worker.service in named:
                self.put(worker)
            else:
                self._hold(worker, named)

    def _release(self, worker_id: BackendId) -> None:
        self._held.pop(worker_id, None)
        self._logged.discard(worker_id)

    def _hold(self, worker: Worker, named: frozenset[str] | None) -> None:
        """Keep an entry aside; it is logged once, and not where no configuration is known yet."""
        self._held[worker.worker_id] = worker
        if named is not None and worker.worker_id not in self._logged:
            self._logged.add(worker.worker_id)
            # What another writer calls a service is not repeated: it may be anything.
            log_event("worker_service_not_named", level="WARNING", worker=worker.worker_id)
