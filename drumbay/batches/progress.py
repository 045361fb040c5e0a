"""Saves the texts of long items under way, so that a new owner need not make them again."""

from collections.abc import Callable

import msgspec

from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, ItemId, PartialText
from drumbay.batches.scheduler import BatchScheduler
from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValueError

SAVE_INTERVAL_SECONDS = 1.0
SAVED_EVENTS = 20
"""Items with so many events are saved: they would take long to make again."""


class _Saved(msgspec.Struct, frozen=True, kw_only=True):
    """How many texts of an item are saved, of which generation, and whether as a whole one."""

    count: int
    generation: int
    complete: bool


class ProgressSaver:
    """Writes what came since the last time, while items are unfinished."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        batch_id: BatchId,
        revision: Revision,
        scheduler: BatchScheduler,
        on_saved: Callable[[], None],
    ) -> None:
        """Save what ``scheduler`` has; call ``on_saved`` after each write that stands."""
        self._clock = clock
        self._ledger = ledger
        self._batch_id = batch_id
        self._revision = revision
        self._scheduler = scheduler
        self._on_saved = on_saved
        self._saved: dict[ItemId, _Saved] = {}

    async def run(self) -> None:
        """Save each piece once until every item is finished, or the ownership is lost."""
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
                # Pieces must follow each other: whole texts are sent next time.
                self._saved.clear()
                continue
            if not is_owner:
                return
            self._on_saved()

    def _new_pieces(self) -> tuple[PartialText, ...]:
        """Return what came since the last call, and count it as saved."""
        pieces: list[PartialText] = []
        for text in self._scheduler.progress(SAVED_EVENTS):
            before = self._saved.get(text.item_id)
            is_same = before is not None and before.generation == text.generation
            count = before.count if before is not None and is_same else 0
            was_complete = before is not None and is_same and before.complete
            if len(text.texts) <= count and text.complete == was_complete:
                continue
            self._saved[text.item_id] = _Saved(
                count=len(text.texts), generation=text.generation, complete=text.complete
            )
            piece = msgspec.structs.replace(text, texts=text.texts[count:], first=count == 0)
            pieces.append(piece)
        return tuple(pieces)
