"""A copy of one prefix of the key-value service: its items, revision and recent changes.

The copy is fed by a snapshot and the changes after it, read from the service or from another
node's copy. Revisions of the service rise with each change, so copies of several nodes can be
compared, and a copy never goes back to an older revision.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    LONGEST_QUIET_SECONDS,
    KeyValue,
    RangeResult,
    WatchBatch,
    WatchEvent,
)

MAXIMUM_HISTORY = 500
"""Changes that are kept for readers; one that is further behind gets a snapshot."""


class PrefixFeed(msgspec.Struct, frozen=True, kw_only=True):
    """What is followed, and who is told.

    ``on_snapshot`` takes the items, and for how many seconds before changes went unseen.
    ``pause_seconds`` passes after each batch of changes, so that changes that come together
    cost one call. ``quiet_seconds`` is how long a watch may say nothing before it counts as dead.
    ``tells_age`` says whether the age of the copy counts for that of all copies of a node.
    """

    prefix: str
    on_snapshot: Callable[[tuple[KeyValue, ...], float], None]
    on_event: Callable[[WatchEvent], None]
    pause_seconds: float = 0.1
    quiet_seconds: float = LONGEST_QUIET_SECONDS
    tells_age: bool = True


class FeedCursor(msgspec.Struct, frozen=True, kw_only=True):
    """Up to which revision a reader knows a prefix; 0 if it knows nothing."""

    prefix: str
    revision: Revision


class FeedChanges(msgspec.Struct, frozen=True, kw_only=True):
    """What a reader lacks of a prefix: a snapshot, or the events after its revision.

    ``unseen_seconds`` is for how long changes went unseen before the snapshot.
    """

    prefix: str
    revision: Revision
    snapshot: tuple[KeyValue, ...] | None = None
    unseen_seconds: float = 0.0
    events: tuple[WatchEvent, ...] = ()


class FeedMirror:
    """The copy of one prefix, and the feed that is told of its changes.

    Attributes:
        feed: Who is told.
        is_connected: Whether the copy is being kept up to date from the service itself.
        confirmed_at: Monotonic time at which the copy was last known to be complete: when a
            question was asked whose answer proved it. Not when an answer of a watch came, which
            may have waited for a process that stood still, nor when another connection worked.
        watched_to: Up to which revision the standing watch, or the snapshot before it, has told.
        last_change: Revision of the newest change that is known.
    """

    def __init__(self, feed: PrefixFeed) -> None:
        """Create a copy that knows nothing."""
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
        """Return the revision up to which the copy is complete; ``None`` if nothing is known."""
        return self._revision

    @property
    def cursor(self) -> FeedCursor:
        """Return what this copy knows, as a reader of another one."""
        return FeedCursor(prefix=self.feed.prefix, revision=self._revision or Revision(0))

    @property
    def changed(self) -> asyncio.Event:
        """Return the event that is set at the next change."""
        return self._changed

    def confirm(self, at: float) -> None:
        """Note that the copy was complete at a monotonic time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def take_snapshot(self, found: RangeResult, unseen_seconds: float = 0.0) -> None:
        """Take the whole prefix, unless the copy is newer already.

        ``unseen_seconds`` is for how long changes went unseen before.
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
        self._announce()

    def take_batch(self, batch: WatchBatch) -> None:
        """Take changes that follow what the copy knows; known ones are passed over."""
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
            self._announce()

    def take_changes(self, changes: FeedChanges) -> None:
        """Take what another copy has told."""
        if changes.snapshot is not None:
            found = RangeResult(revision=changes.revision, items=changes.snapshot)
            self.take_snapshot(found, changes.unseen_seconds)
        else:
            self.take_batch(WatchBatch(revision=changes.revision, events=changes.events))

    def changes_for(self, cursor: FeedCursor) -> FeedChanges | None:
        """Return what a reader lacks; ``None`` if that is nothing, or it knows more."""
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
        if len(self._history) > MAXIMUM_HISTORY:
            self._history_start = self._history.popleft().mod_revision

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
