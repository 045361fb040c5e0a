"""Asynchronous watches on the key-value model."""

import asyncio
import math
from collections.abc import AsyncGenerator

from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.interface import WatchBatch
from drumbay.standins.kv_model import KeyValueModel

MIN_WAIT_SECONDS = 0.001
"""Prevents a busy loop when the clock rounds a wait down to zero."""


async def watch_model(
    model: KeyValueModel,
    prefix: str,
    start_revision: Revision,
    quiet_seconds: float = math.inf,
) -> AsyncGenerator[WatchBatch, None]:
    """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled.

    A ``start_revision`` of 0 means the next revision, as in etcd. After ``quiet_seconds``
    without a change an empty batch is yielded, which counts as an operation.

    Raises:
        WatchCompactedError: The next revision to deliver is already compacted.
        KeyValueUnavailableError: A fault broke the watch.
    """
    changed = asyncio.Event()
    model.add_listener(changed.set)
    idle_deadline = model.now() + quiet_seconds
    try:
        next_revision = start_revision or Revision(model.revision + 1)
        while True:
            changed.clear()
            model.injector.check_watch()
            if not model.injector.faults.watches_stalled:
                batch = model.read_changes(prefix, next_revision)
                next_revision = max(next_revision, Revision(batch.revision + 1))
                is_idle = model.now() >= idle_deadline
                if batch.events or is_idle:
                    yield batch
                    model.injector.arrived += is_idle
                    idle_deadline = model.now() + quiet_seconds
                    continue
            await _wait_for_change(model, changed, idle_deadline)
    finally:
        model.remove_listener(changed.set)


async def _wait_for_change(model: KeyValueModel, changed: asyncio.Event, deadline: float) -> None:
    """Wait for a change, the next lease expiry, or the deadline."""
    expiry = model.next_expiry()
    if expiry is None and deadline == math.inf:
        await changed.wait()
        return
    wake_at = deadline if expiry is None else min(expiry, deadline)
    timeout_seconds = max(wake_at - model.now(), MIN_WAIT_SECONDS)
    try:
        await model.clock.wait_for(changed.wait(), timeout_seconds)
    except DeadlineExceededError:
        model.expire_leases()
