"""Saves partial texts of long items, from which a new owner resumes."""

from collections.abc import Callable

import msgspec

from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, ItemId, PartialText
from drumbay.batches.scheduler import BatchScheduler
from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValueError

SAVE_INTERVAL_SECONDS = 1.0
MIN_SAVED_EVENTS = 20
"""Items with fewer events are cheap to generate again and are not saved."""


class _SavedState(msgspec.Struct, frozen=True, kw_only=True):
    """Saved part of an item's text: event count, generation, and whether it is complete."""

    count: int
    generation: int
    complete: bool


class ProgressSaver:
    """Saves new events periodically while items are unfinished."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        batch_id: BatchId,
        revision: Revision,
        scheduler: BatchScheduler,
        on_saved: Callable[[], None],
    ) -> None:
        """Save the progress of ``scheduler``; ``on_saved`` is called after each write."""
        self._clock = clock
        self._ledger = ledger
        self._batch_id = batch_id
        self._revision = revision
        self._scheduler = scheduler
        self._on_saved = on_saved
        self._saved: dict[ItemId, _SavedState] = {}

    async def run(self) -> None:
        """Save each piece once until all items are finished or the ownership is lost."""
        number = 0
        while not self._scheduler.is_finished:
            await self._clock.sleep(SAVE_INTERVAL_SECONDS)
            pieces = self._new_pieces()
            if not pieces:
                continue
            number += 1
            try:
                is_owner = await self._ledger.save_progress(
                    self._batch_id, self._revision, number, pieces
                )
            except KeyValueError:
                # Pieces must be contiguous, so full texts are saved next time.
                self._saved.clear()
                continue
            if not is_owner:
                return
            self._on_saved()

    def _new_pieces(self) -> tuple[PartialText, ...]:
        """Return the events since the last call, and mark them as saved."""
        pieces: list[PartialText] = []
        for text in self._scheduler.progress(MIN_SAVED_EVENTS):
            saved = self._saved.get(text.item_id)
            is_same = saved is not None and saved.generation == text.generation
            count = saved.count if saved is not None and is_same else 0
            was_complete = saved is not None and is_same and saved.complete
            if len(text.texts) <= count and text.complete == was_complete:
                continue
            self._saved[text.item_id] = _SavedState(
                count=len(text.texts), generation=text.generation, complete=text.complete
            )
            piece = msgspec.structs.replace(text, texts=text.texts[count:], first=count == 0)
            pieces.append(piece)
        return tuple(pieces)
