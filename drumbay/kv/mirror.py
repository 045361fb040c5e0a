"""Mirror of one prefix of the key-value store: its items, revision and recent changes.

A mirror is fed by a snapshot and subsequent changes, from the store or from the mirror of another
node. Revisions of the store increase with each change, so mirrors on different nodes are
comparable, and a mirror never goes back to an older revision.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    KeyValue,
    RangeResult,
    WatchBatch,
    WatchEvent,
)

MAX_HISTORY_EVENTS = 500
"""Changes kept for readers; a reader that is further behind gets a snapshot."""


class PrefixFeed(msgspec.Struct, frozen=True, kw_only=True):
    """A prefix to follow, and the callbacks for its changes.

    ``on_snapshot`` receives the items and the seconds for which changes may have been missed.
    ``debounce_seconds`` is the pause after each batch, so that simultaneous changes take one call.
    ``quiet_seconds`` is how long a watch may be silent before it is considered dead.
    ``counts_toward_age`` states whether the mirror's age counts toward the age of the node's data.
    """

    prefix: str
    on_snapshot: Callable[[tuple[KeyValue, ...], float], None]
    on_event: Callable[[WatchEvent], None]
    debounce_seconds: float = 0.1
    quiet_seconds: float = MAX_QUIET_SECONDS
    counts_toward_age: bool = True


class FeedCursor(msgspec.Struct, frozen=True, kw_only=True):
    """Revision up to which a reader has the changes of a prefix; 0 if it has none."""

    prefix: str
    revision: Revision


class FeedChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Update for a reader of a prefix: a snapshot, or the events after its revision.

    ``unseen_seconds`` is for how long changes may have been missed before the snapshot.
    """

    prefix: str
    revision: Revision
    snapshot: tuple[KeyValue, ...] | None = None
    unseen_seconds: float = 0.0
    events: tuple[WatchEvent, ...] = ()


class FeedMirror:
    """Mirror of one prefix, which passes its changes on to a feed.

    Attributes:
        feed: Feed that receives the changes.
        is_connected: Whether the mirror is being updated from the store itself.
        confirmed_at: Monotonic time at which the mirror was last known to be complete: when the
            request was sent whose response confirmed it. Watch messages do not count, since they
            may have been waiting in a socket buffer while this process was paused.
        watched_to: Revision up to which the current watch, or the snapshot before it, has reported.
        last_change: Revision of the newest known change.
    """

    def __init__(self, feed: PrefixFeed) -> None:
        """Create an empty mirror."""
        self.feed = feed
        self.is_connected = False
        self.confirmed_at = float("-inf")
        self.watched_to = Revision(0)
        self.last_change = Revision(0)
        self._items: dict[str, KeyValue] = {}
        self._revision: Revision | None = None
        self._history: deque[WatchEvent] = deque()
        self._history_start = Revision(0)
        self._unseen_seconds = 0.0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> Revision | None:
        """Return the revision up to which the mirror is complete; ``None`` if it is empty."""
        return self._revision

    @property
    def cursor(self) -> FeedCursor:
        """Return this mirror's position as a reader of another one."""
        return FeedCursor(prefix=self.feed.prefix, revision=self._revision or Revision(0))

    @property
    def changed(self) -> asyncio.Event:
        """Return an event that is set at the next change."""
        return self._changed

    def confirm(self, at: float) -> None:
        """Record that the mirror was complete at a monotonic time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def apply_snapshot(self, found: RangeResult, unseen_seconds: float = 0.0) -> None:
        """Replace the contents with a snapshot, unless the mirror is newer.

        ``unseen_seconds`` is for how long changes may have been missed before.
        """
        if self._revision is not None and found.revision < self._revision:
            return
        self._items = {item.key: item for item in found.items}
        self._revision = found.revision
        newest = max((item.mod_revision for item in found.items), default=self.last_change)
        self.last_change = max(self.last_change, newest)
        self._history.clear()
        self._history_start = found.revision
        self._unseen_seconds = unseen_seconds
        self.feed.on_snapshot(found.items, unseen_seconds)
        self._notify_readers()

    def apply_batch(self, batch: WatchBatch) -> None:
        """Apply subsequent changes; those already known are skipped."""
        known = self._revision
        if known is None:
            return
        events = [event for event in batch.events if event.mod_revision > known]
        for event in events:
            self._apply(event)
            self.feed.on_event(event)
        self._revision = max(known, batch.revision)
        if events:
            self.last_change = max(self.last_change, events[-1].mod_revision)
            self._notify_readers()

    def apply_changes(self, changes: FeedChanges) -> None:
        """Apply an update from another mirror."""
        if changes.snapshot is not None:
            found = RangeResult(revision=changes.revision, items=changes.snapshot)
            self.apply_snapshot(found, changes.unseen_seconds)
        else:
            self.apply_batch(WatchBatch(revision=changes.revision, events=changes.events))

    def changes_for(self, cursor: FeedCursor) -> FeedChanges | None:
        """Return the update for a reader; ``None`` if it is up to date or ahead."""
        if self._revision is None or cursor.revision > self._revision:
            return None
        prefix = self.feed.prefix
        if cursor.revision < self._history_start or not cursor.revision:
            items = tuple(self._items[key] for key in sorted(self._items))
            return FeedChanges(
                prefix=prefix,
                revision=self._revision,
                snapshot=items,
                unseen_seconds=self._unseen_seconds,
            )
        events = tuple(e for e in self._history if e.mod_revision > cursor.revision)
        if not events:
            return None
        return FeedChanges(prefix=prefix, revision=self._revision, events=events)

    def _apply(self, event: WatchEvent) -> None:
        if event.item is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = event.item
        self._history.append(event)
        if len(self._history) > MAX_HISTORY_EVENTS:
            self._history_start = self._history.popleft().mod_revision

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
