"""Shared watches on the key-value store: a few watchers watch it, all other nodes follow them.

A watcher keeps its mirrors up to date from the store and serves its followers by long polling. Each
reply states how old the watcher's data may be. A follower switches to another watcher when the
replies are too old, and watches the store itself for a while when no watcher is up to date but the
store is reachable.
"""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from enum import Enum, auto

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import DeadlineExceededError
from drumbay.kv.backoff import Backoff
from drumbay.kv.follower import PrefixFollower
from drumbay.kv.interface import KeyValueError, KeyValueStore
from drumbay.kv.mirror import FeedChanges, FeedMirror, PrefixFeed
from drumbay.observability.logs import log_event
from drumbay.peers.directory import NODE_PREFIX, PeerDirectory
from drumbay.peers.freshness import FreshnessVerifier
from drumbay.peers.messages import FeedConfirmed, FeedsReply, FollowFeeds
from drumbay.peers.notices import NOTICE_TIMEOUT_SECONDS
from drumbay.peers.pause_detector import PauseDetector
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.tasks import TaskOwner
from drumbay.usage.records import NodeUsage

MAX_AGE_FRACTION = 0.5
"""Maximum age of a watcher's data, as a fraction of the configuration propagation bound. The rest
is left for switching to another watcher."""

MAX_FOLLOWER_AGE_FRACTION = 0.75
"""Maximum age of a follower's data while watchers that reach the store have no recent copy."""

OUTDATED_SOURCE_PAUSE_SECONDS = 0.1
"""Pause before such watchers are polled again."""

POLL_FRACTION = 0.6
"""Duration of a long poll, as a fraction of the maximum age."""

POLL_MARGIN_SECONDS = 0.4
AGE_CHECK_SECONDS = 0.25
MIN_WAIT_SECONDS = 0.001
"""Prevents zero-length waits caused by clock rounding."""

MODE_CHECK_SECONDS = 0.5
DIRECT_WATCH_SECONDS = 6.0
"""How long a follower watches the store itself when no watcher is up to date."""

PROBE_DELAY_SECONDS = 0.1
PROBE_JITTER_SECONDS = 0.4
MAX_REGISTRATION_SECONDS = 4.0
"""How long a node that starts waits for its registration before it reads the list of nodes."""

FIRST_PROBE_BACKOFF_SECONDS = 1.0
MAX_PROBE_BACKOFF_SECONDS = 6.0
"""Limits billed calls during an outage, when every follower probes the store. Watchers are polled
more often, and detect the recovery by their heartbeats."""


class _PollOutcome(Enum):
    """What a poll of a watcher shows about its data."""

    RECENT = auto()
    OUTDATED = auto()
    """It watches the store, but has not verified for some time that it misses nothing."""
    LOST = auto()
    """It did not reply, or does not watch the store."""


class SharedFeeds:
    """Mirrors of this node, fed by the store or by a watcher, and served to followers."""

    def __init__(
        self,
        clock: Clock,
        direct: KeyValueStore,
        store: KeyValueStore,
        peers: PeerClient,
        directory: PeerDirectory,
        address: NetworkAddress,
        generator: random.Random,
        in_force_seconds: float,
        report_usage: Callable[[], NodeUsage | None],
        on_silent_connection: Callable[[], None],
        notify_watchers: Callable[[FeedConfirmed], None],
        task_owner: TaskOwner,
    ) -> None:
        """Create a mirror of the node entries only; :meth:`run` adds the others.

        Args:
            clock: Time source.
            direct: The key-value store, reached directly.
            store: The key-value store, with calls relayed through other nodes on failure.
            peers: Client for calls to other nodes.
            directory: Directory of the nodes.
            address: Address of this node.
            generator: Random source for jitter.
            in_force_seconds: Bound on the time from the acceptance of a configuration until it is
                in force at every node.
            report_usage: Returns this node's usage counters, which are sent along to a watcher.
            on_silent_connection: Called when a watch was silent although the store responds.
            notify_watchers: Sends a freshness confirmation to the other watchers.
            task_owner: Owner of background tasks.
        """
        self._report_usage = report_usage
        self._max_age_seconds = MAX_AGE_FRACTION * in_force_seconds
        self._max_follower_age_seconds = MAX_FOLLOWER_AGE_FRACTION * in_force_seconds
        self._in_force_seconds = in_force_seconds
        self._notify_watchers = notify_watchers
        self._task_owner = task_owner
        self._verifiers: dict[str, FreshnessVerifier] = {}
        self._pause_detector = PauseDetector(clock)
        self._on_silent_connection = on_silent_connection
        self._poll_seconds = POLL_FRACTION * self._max_age_seconds
        self._clock = clock
        self._direct = direct
        self._store = store
        self._peers = peers
        self._directory = directory
        self._address = address
        self._generator = generator
        self._mirrors: dict[str, FeedMirror] = {}
        self._source: NetworkAddress | None = None
        self._direct_watch_until = float("-inf")
        self._probe_backoff = Backoff(
            generator,
            first_seconds=FIRST_PROBE_BACKOFF_SECONDS,
            max_seconds=MAX_PROBE_BACKOFF_SECONDS,
        )
        self._next_probe_at = float("-inf")
        self._has_loaded_nodes = False
        self._add(directory.feed)

    def _add(self, feed: PrefixFeed) -> None:
        self._mirrors[feed.prefix] = FeedMirror(feed)

    @property
    def is_watcher(self) -> bool:
        """Return whether this node is a watcher."""
        return self._has_loaded_nodes and self._directory.ranking.is_watcher(self._address)

    def age_seconds(self) -> float | None:
        """Return the age of the last confirmation that the mirrors were complete.

        ``None`` if this node does not watch the store itself.
        """
        if not all(mirror.is_connected for mirror in self._mirrors.values()):
            return None
        return self.confirmed_age_seconds()

    def confirmed_age_seconds(self) -> float:
        """Return the age of the last confirmation that the mirrors were complete.

        Unlike :meth:`age_seconds`, this includes confirmations by other nodes and those from
        before a connection was lost. Infinite if there has been none.
        """
        now = self._clock.monotonic()
        return max(
            (now - mirror.confirmed_at for mirror in self._age_relevant_mirrors()), default=0.0
        )

    def _age_relevant_mirrors(self) -> list[FeedMirror]:
        """Return the mirrors that count toward the age of this node's data."""
        return [mirror for mirror in self._mirrors.values() if mirror.feed.counts_toward_age]

    # Following

    async def run(self, feeds: Sequence[PrefixFeed], settle_seconds: float) -> None:
        """Keep the mirrors up to date until cancelled.

        Args:
            feeds: Feeds to mirror.
            settle_seconds: Initial delay, which lets nodes that start at the same time register.
                Otherwise each one would see few nodes and become a watcher.
        """
        for feed in feeds:
            self._add(feed)
        self._task_owner.spawn(self._pause_detector.run(), "standstill")
        await self._clock.sleep(settle_seconds)
        await self._load_nodes()
        self._has_loaded_nodes = True
        while True:
            if self._watches_store():
                await self._follow_store()
            else:
                await self._follow_watchers()

    async def _load_nodes(self) -> None:
        """Read the nodes once this one is registered, or has tried to be for a limited time.

        Nodes that start at the same time register at about the same time. One that read the list
        before would take itself for one of few nodes, and all of them would watch the store.
        """
        with suppress(DeadlineExceededError):
            await self._clock.wait_for(
                self._directory.is_registered.wait(), MAX_REGISTRATION_SECONDS
            )
        mirror = self._mirrors[NODE_PREFIX]
        while mirror.revision is None:
            try:
                mirror.apply_snapshot(await self._store.range_prefix(NODE_PREFIX))
            except KeyValueError:
                await self._clock.sleep(PROBE_DELAY_SECONDS)

    def _watches_store(self) -> bool:
        return self.is_watcher or self._clock.monotonic() < self._direct_watch_until

    async def _follow_store(self) -> None:
        """Watch the store until this node is to follow a watcher."""
        log_event("feeds_from_store", nodes=len(self._directory.ranking.nodes))
        tasks = [
            asyncio.ensure_future(
                PrefixFollower(
                    self._clock,
                    self._store,
                    mirror,
                    self._generator,
                    self._directory.store_recovered,
                    mirror.feed.quiet_seconds,
                    self._on_silent_connection,
                ).run()
            )
            for mirror in self._mirrors.values()
        ]
        self._verifiers = {
            mirror.feed.prefix: self._new_verifier(mirror)
            for mirror in self._age_relevant_mirrors()
        }
        tasks.extend(asyncio.ensure_future(verifier.run()) for verifier in self._verifiers.values())
        try:
            while self._watches_store():
                await self._clock.sleep(MODE_CHECK_SECONDS)
        finally:
            self._verifiers = {}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _new_verifier(self, mirror: FeedMirror) -> FreshnessVerifier:
        return FreshnessVerifier(
            self._clock,
            self._direct,
            mirror,
            self._generator,
            self._task_owner,
            self._in_force_seconds,
            self._notify_watchers,
            self._on_silent_connection,
        )

    def apply_confirmation(self, confirmed: FeedConfirmed) -> None:
        """Apply a freshness confirmation by another watcher, if this node is a watcher.

        Ignored after a pause of this process: the message may have been waiting in a socket
        buffer, so that its age is unknown.
        """
        verifier = self._verifiers.get(confirmed.prefix)
        if verifier is not None and self._pause_detector.has_run_for(NOTICE_TIMEOUT_SECONDS):
            verifier.apply_confirmation(confirmed)

    async def _follow_watchers(self) -> None:
        """Poll the current source for changes, or find another one."""
        if self._source is not None:
            outcome = await self._poll_watcher(self._source, self._poll_seconds)
            if outcome is _PollOutcome.RECENT:
                return
        outcomes = await self._poll_candidates()
        if self._source is not None:
            return
        if (
            _PollOutcome.OUTDATED in outcomes
            and self.confirmed_age_seconds() < self._max_follower_age_seconds
        ):
            # The watchers reach a store that answers slowly. More watches would slow it further.
            await self._clock.sleep(OUTDATED_SOURCE_PAUSE_SECONDS)
        else:
            await self._probe_store()

    async def _poll_candidates(self) -> list[_PollOutcome]:
        """Poll all other watchers at once, and follow the first one that is up to date.

        Watchers may be lost together; the time to find that out must not add up. Returns what the
        polls have shown that have ended.
        """
        self._source = None
        polls = {
            asyncio.ensure_future(self._poll_watcher(address, 0.0)): address
            for address in self._candidate_sources()
        }
        try:
            for poll in asyncio.as_completed(polls):
                await poll
                source = next((found for found in polls if _is_recent(found)), None)
                if source is not None:
                    self._source = polls[source]
                    self._probe_backoff.reset()
                    log_event("feeds_from_node", source=str(self._source))
                    break
            return [poll.result() for poll in polls if poll.done()]
        finally:
            for poll in polls:
                poll.cancel()

    def _candidate_sources(self) -> list[NetworkAddress]:
        found = self._directory.ranking.sources_for(self._address, self._directory.is_near)
        return [address for address in found if not self._directory.is_unresponsive(address)]

    async def _poll_watcher(self, address: NetworkAddress, wait_seconds: float) -> _PollOutcome:
        """Poll a watcher and apply its changes."""
        cursors = tuple(mirror.cursor for mirror in self._mirrors.values())
        request = FollowFeeds(
            cursors=cursors, wait_seconds=wait_seconds, usage=self._report_usage()
        )
        timeout_seconds = wait_seconds + POLL_MARGIN_SECONDS
        sent_at = self._clock.monotonic()
        try:
            reply = await self._peers.call(address, request, timeout_seconds)
        except PeerUnavailableError as error:
            self._directory.mark_unresponsive(address)
            self._log_source_lost(address, str(error), self._clock.monotonic() - sent_at)
            return _PollOutcome.LOST
        if not isinstance(reply, FeedsReply):
            return _PollOutcome.LOST
        for changes in reply.changes:
            mirror = self._mirrors.get(changes.prefix)
            if mirror is not None:
                mirror.apply_changes(changes)
        now = self._clock.monotonic()
        if now - sent_at > timeout_seconds:
            # The machine was suspended while the reply waited, so the stated age is not valid.
            log_event("reply_overdue", source=str(address), seconds=round(now - sent_at, 3))
            return _PollOutcome.RECENT
        if reply.age_seconds is None:
            self._log_source_lost(address, "it does not watch the store", now - sent_at)
            return _PollOutcome.LOST
        for mirror in self._age_relevant_mirrors():
            mirror.confirm(now - reply.age_seconds)
        if reply.age_seconds > self._max_age_seconds:
            detail = f"its copy is {reply.age_seconds:.3f} s old"
            self._log_source_lost(address, detail, now - sent_at)
            return _PollOutcome.OUTDATED
        return _PollOutcome.RECENT

    def _log_source_lost(self, address: NetworkAddress, detail: str, seconds: float) -> None:
        log_event(
            "feeds_source_lost",
            source=str(address),
            detail=detail,
            waited_seconds=round(seconds, 3),
            age_seconds=_rounded(self.confirmed_age_seconds()),
        )

    async def _probe_store(self) -> None:
        """Switch to watching the store if it responds while no watcher is up to date."""
        log_event(
            "feeds_without_source",
            watchers=len(self._directory.ranking.watchers),
            age_seconds=_rounded(self.confirmed_age_seconds()),
            probe_in_seconds=_rounded(max(0.0, self._next_probe_at - self._clock.monotonic())),
        )
        jitter = self._generator.uniform(0.0, PROBE_JITTER_SECONDS)
        await self._clock.sleep(PROBE_DELAY_SECONDS + jitter)
        if self._clock.monotonic() < self._next_probe_at:
            return
        self._next_probe_at = self._clock.monotonic() + self._probe_backoff.next_delay_seconds()
        mirror = self._mirrors[NODE_PREFIX]
        try:
            mirror.apply_snapshot(await self._direct.range_prefix(NODE_PREFIX))
        except KeyValueError as error:
            log_event("feeds_probe_failed", error=error.code)
            return
        self._direct_watch_until = self._clock.monotonic() + DIRECT_WATCH_SECONDS

    # Serving followers

    async def serve_poll(self, request: FollowFeeds) -> FeedsReply:
        """Serve a long poll: return new changes, or none once the poll times out.

        A node that watches the store returns its changes even if its copy is not known to be recent
        enough, as there may be no better one.
        """
        until = self._clock.monotonic() + request.wait_seconds
        while True:
            age_seconds = self.age_seconds()
            if age_seconds is None:
                return FeedsReply(age_seconds=None)
            changes = self._changes_for(request)
            is_outdated = age_seconds > self._max_age_seconds
            remaining = until - self._clock.monotonic()
            if changes or is_outdated or remaining < MIN_WAIT_SECONDS:
                return FeedsReply(age_seconds=age_seconds, changes=changes)
            await self._wait_for_change(min(remaining, AGE_CHECK_SECONDS))

    def _changes_for(self, request: FollowFeeds) -> tuple[FeedChanges, ...]:
        found: list[FeedChanges] = []
        for cursor in request.cursors:
            mirror = self._mirrors.get(cursor.prefix)
            changes = mirror.changes_for(cursor) if mirror is not None else None
            if changes is not None:
                found.append(changes)
        return tuple(found)

    async def _wait_for_change(self, seconds: float) -> None:
        waiters = [
            asyncio.ensure_future(mirror.changed.wait()) for mirror in self._mirrors.values()
        ]
        try:
            await asyncio.wait(waiters, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for waiter in waiters:
                waiter.cancel()


def _is_recent(poll: "asyncio.Future[_PollOutcome]") -> bool:
    return poll.done() and not poll.cancelled() and poll.result() is _PollOutcome.RECENT


def _rounded(seconds: float | None) -> float | None:
    """Return rounded seconds; ``None`` if there are none or they are infinite."""
    return round(seconds, 3) if seconds is not None and math.isfinite(seconds) else None
