"""What the workers of a service bear, read from this node's records of them."""

import math
from collections.abc import Sequence

from drumbay.admission.records import ServiceRoom
from drumbay.workers.records import WorkerState
from drumbay.workers.worker_record import WorkerRecord

EXTRA_REQUESTS_PER_WORKER = 1
"""Sent beyond a worker's free places, so that it has the next request when one ends."""

SHORT_PAUSE_SECONDS = 0.2
"""Places of a worker that may be asked again within this time count: they come free while a request
waits. Those of a worker that pauses for longer, after a failure or a refusal while it is slow, do
not count."""


def room_of(records: Sequence[WorkerRecord], now: float) -> ServiceRoom:
    """Return what a service bears from this node, as far as its records tell."""
    ready = [record for record in records if record.worker.state is WorkerState.READY]
    available = [record for record in ready if record.is_available(now)]
    pauses = [record.paused_until for record in ready if not record.is_available(now)]
    newest = max((record.reported_at for record in ready), default=-math.inf)
    soon = [record for record in ready if record.paused_until <= now + SHORT_PAUSE_SECONDS]
    return ServiceRoom(
        available_workers=len(available),
        places=sum(
            max(0, record.worker.slots - record.others_busy(now)) + EXTRA_REQUESTS_PER_WORKER
            for record in soon
        ),
        pause_ends_at=min(pauses, default=None),
        report_age_seconds=now - newest,
    )
