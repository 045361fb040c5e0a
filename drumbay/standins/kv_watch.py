"""Asynchronous watches on the key-value model."""

import asyncio
import math
from collections.abc import AsyncGenerator

from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.interface import WatchBatch
from drumbay.standins.kv_model import KeyValueModel

MINIMUM_WAIT_SECONDS = 0.001
"""Keeps rounding in the clock from making a wait of zero length."""


async def watch_model(
    model: KeyValueModel,
    prefix: str,
    start_revision: Revision,
    quiet_seconds: float = math.inf,
) -> AsyncGenerator[WatchBatch, None]:
    """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled.

    A ``start_revision`` of 0 stands for the next revision, as in etcd. After each
    ``quiet_seconds`` without a change comes a batch without events, which counts as a call.

    Raises:
        WatchCompactedError: The next revision to deliver is no longer held.
        KeyValueUnavailableError: A fault broke the watch.
    """
    changed = asyncio.Event()
    model.add_listener(changed.set)
    quiet_until = model.now() + quiet_seconds
    try:
        next_revision = start_revision or Revision(model.revision + 1)
        while True:
            changed.clear()
            model.injector.check_watch()
            if not model.injector.faults.watches_stalled:
                batch = model.read_changes(prefix, next_revision)
                next_revision = max(next_revision, Revision(batch.revision + 1))
                is_quiet = model.now() >= quiet_until
                if batch.events or is_quiet:
                    yield batch
                    model.injector.arrived += is_quiet
                    quiet_until = model.now() + quiet_seconds
                    continue
            await _wait_for_change(model, changed, quiet_until)
    finally:
        model.remove_listener(changed.set)


async def _wait_for_change(model: KeyValueModel, changed: asyncio.Event, until: float) -> None:
    """Wait for a change of the model, for the next lease to expire, or until a time."""
    expiry = model.next_expiry()
    if expiry is None and until == math.inf:
        await changed.wait()
        return
    due_at = until if expiry is None else min(expiry, until)
    timeout_seconds = max(due_at - model.now(), MINIMUM_WAIT_SECONDS)
    try:
        await model.clock.wait_for(changed.wait(), timeout_seconds)
    except DeadlineExceededError:
        model.expire_leases()
