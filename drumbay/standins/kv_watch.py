"""Asynchronous watches on the key-value model."""

import asyncio
from collections.abc import AsyncGenerator

from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.interface import WatchBatch
from drumbay.standins.kv_model import KeyValueModel

MINIMUM_WAIT_SECONDS = 0.001
"""Keeps rounding in the clock from making a wait of zero length."""


async def watch_model(
    model: KeyValueModel, prefix: str, start_revision: Revision
) -> AsyncGenerator[WatchBatch, None]:
    """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled.

    A ``start_revision`` of 0 stands for the next revision, as in etcd.

    Raises:
        WatchCompactedError: The next revision to deliver is no longer held.
        KeyValueUnavailableError: A fault broke the watch.
    """
    changed = asyncio.Event()
    model.add_listener(changed.set)
    try:
        next_revision = start_revision or Revision(model.revision + 1)
        while True:
            changed.clear()
            model.injector.check_watch()
            if not model.injector.faults.watches_stalled:
                batch = model.read_changes(prefix, next_revision)
                next_revision = max(next_revision, Revision(batch.revision + 1))
                if batch.events:
                    yield batch
                    continue
            await _wait_for_change(model, changed)
    finally:
        model.remove_listener(changed.set)


async def _wait_for_change(model: KeyValueModel, changed: asyncio.Event) -> None:
    """Wait for a change of the model, or for the next lease to expire."""
    expiry = model.next_expiry()
    if expiry is None:
        await changed.wait()
        return
    timeout_seconds = max(expiry - model.now(), MINIMUM_WAIT_SECONDS)
    try:
        await model.clock.wait_for(changed.wait(), timeout_seconds)
    except DeadlineExceededError:
        model.expire_leases()
