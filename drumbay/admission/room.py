"""What the workers of a service bear, read from this node's records of them."""

import math
from collections.abc import Sequence

from drumbay.admission.records import ServiceRoom
from drumbay.workers.directory import WorkerRecord
from drumbay.workers.records import WorkerState

REQUESTS_AT_HAND = 1
"""Besides its places a worker gets so many requests, lest it stand idle between two of them for as
long as an answer and the next request are on their way."""

SHORT_PAUSE_SECONDS = 0.2
"""A worker that pauses for no longer has refused a request; its places count, since they come free
again. One that failed pauses for longer."""


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
            max(0, record.worker.slots - record.others_busy(now)) + REQUESTS_AT_HAND
            for record in soon
        ),
        pause_ends_at=min(pauses, default=None),
        report_age_seconds=now - newest,
    )
