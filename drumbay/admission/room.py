"""What the workers of a service bear, read from this node's records of them."""

import math
from collections.abc import Sequence

from drumbay.admission.records import ServiceRoom
from drumbay.workers.directory import WorkerRecord
from drumbay.workers.records import WorkerState


def room_of(records: Sequence[WorkerRecord], now: float) -> ServiceRoom:
    """Return the places that other nodes leave at a service's available workers."""
    ready = [record for record in records if record.worker.state is WorkerState.READY]
    available = [record for record in ready if record.is_available(now)]
    pauses = [record.paused_until for record in ready if not record.is_available(now)]
    newest = max((record.reported_at for record in ready), default=-math.inf)
    return ServiceRoom(
        available_workers=len(available),
        places=sum(max(0, r.worker.slots - r.others_busy(now)) for r in available),
        pause_ends_at=min(pauses, default=None),
        report_age_seconds=now - newest,
    )
