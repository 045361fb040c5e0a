"""Proves that the copies of nodes which watch the store are fresh, for few calls to the store.

A watch that waits cannot show that nothing has changed: its connection may be silent for good
while others work. So one of the nodes that watch asks the store for changes over a new
connection, each time that a copy has been without a proof for a while, and tells the others up to
which change it is complete. A node that knows as much has the proof too; one that knows less asks
for itself. A change that comes so and that the node's own watch does not tell shows that open
connections have fallen silent.
"""

import asyncio
import random
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import KeyValueError, KeyValueStore, WatchBatch
from drumbay.kv.mirror import FeedMirror
from drumbay.observability.logs import log_event
from drumbay.peers.messages import FeedConfirmed
from drumbay.tasks import TaskOwner

PROOF_SHARE = 0.28
"""A copy is proved fresh again after this share of the time in which a configuration must be in
force, or up to PROOF_SPREAD times that. A follower leaves its node after half of that time: of 3 s
that leaves 0.4 s for an answer of a slow store.
A watch of 20 s alone let every node miss each change for up to 20 s while connections were silent.
One node asking for all costs one call a second; each node asking for itself (short watches) cost
0.010 of the worth of a calm day with six nodes, 0.025 with nine."""

PROOF_SPREAD = 1.3
"""Nodes draw their moments from this range, so that one asks first and the others hear of it: they
differ by 0.03 s on average where six nodes share 0.17 s, ten times what a notice takes."""

POLL_SECONDS = 0.001
POLL_LIMIT_SECONDS = 0.6
"""As long as an answer may be overdue on a watch."""

GRACE_SECONDS = 0.3
"""How much later than an answer over a new connection a watch may tell of the same change: three
times its pause between two batches."""

UNFOLLOWED_SECONDS = 0.1
"""How often a node looks whether its watch stands again; until then there is nothing to prove."""

LONGEST_RETRY_SECONDS = 4.0


class FreshnessProver:
    """Keeps one copy proved while this node watches the store itself."""

    def __init__(
        self,
        clock: Clock,
        direct: KeyValueStore,
        mirror: FeedMirror,
        generator: random.Random,
        task_owner: TaskOwner,
        in_force_seconds: float,
        tell: Callable[[FeedConfirmed], None],
        on_silent_connection: Callable[[], None],
    ) -> None:
        """Create a prover.

        Args:
            clock: Time.
            direct: The key-value service, reached directly.
            mirror: The copy.
            generator: Source of random delays.
            task_owner: Runs the wait for the watch.
            in_force_seconds: Within this time after its acceptance, a configuration is to be in
                force at every node.
            tell: Tells the other nodes that watch.
            on_silent_connection: Called when this node's watch does not tell of a change.
        """
        self._clock = clock
        self._direct = direct
        self._mirror = mirror
        self._generator = generator
        self._task_owner = task_owner
        self._proof_seconds = PROOF_SHARE * in_force_seconds
        self._tell = tell
        self._on_silent_connection = on_silent_connection
        self._backoff = Backoff(
            generator,
            first_seconds=self._proof_seconds,
            longest_seconds=LONGEST_RETRY_SECONDS,
        )
        self._behind = asyncio.Event()

    async def run(self) -> None:
        """Prove until cancelled."""
        while True:
            await self._until_due()
            try:
                await self._prove()
                self._backoff.reset()
            except (KeyValueError, DeadlineExceededError) as error:
                log_event("copy_not_proved", level="DEBUG", error=error.code)
                await self._clock.sleep(self._backoff.next_delay_seconds())

    async def _until_due(self) -> None:
        """Return once nobody has proved the copy for a while, or it is known to be behind."""
        due_seconds = self._proof_seconds * self._generator.uniform(1.0, PROOF_SPREAD)
        while not self._behind.is_set():
            if self._mirror.revision is None or not self._mirror.is_connected:
                await self._clock.sleep(UNFOLLOWED_SECONDS)
                continue
            remaining = self._mirror.confirmed_at + due_seconds - self._clock.monotonic()
            if remaining <= 0:
                return
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._behind.wait(), remaining)

    async def _prove(self) -> None:
        """Ask for changes over a new connection and tell what is known now."""
        mirror = self._mirror
        asked_at = self._clock.monotonic()
        batch = await self._clock.wait_for(self._poll(), POLL_LIMIT_SECONDS)
        self._behind.clear()
        mirror.take_batch(batch)
        mirror.confirm(asked_at)
        age_seconds = self._clock.monotonic() - asked_at
        prefix = mirror.feed.prefix
        self._tell(
            FeedConfirmed(prefix=prefix, last_change=mirror.last_change, age_seconds=age_seconds)
        )
        if batch.events:
            self._expect_of_watch(batch.events[-1].mod_revision, 2 * age_seconds)

    async def _poll(self) -> WatchBatch:
        start = Revision((self._mirror.revision or 0) + 1)
        batches = self._direct.watch_prefix(self._mirror.feed.prefix, start, POLL_SECONDS)
        try:
            return await anext(batches)
        finally:
            if isinstance(batches, AsyncGenerator):
                await batches.aclose()

    def _expect_of_watch(self, revision: Revision, seconds: float) -> None:
        wait = self._judge_watch(revision, max(GRACE_SECONDS, seconds))
        self._task_owner.spawn(wait, "watch-expected")

    async def _judge_watch(self, revision: Revision, seconds: float) -> None:
        """Tell of silent connections if the watch does not tell of a change in time."""
        await self._clock.sleep(seconds)
        if self._mirror.watched_to >= revision or not self._mirror.is_connected:
            return
        log_event(
            "watch_missed_change",
            level="WARNING",
            prefix=self._mirror.feed.prefix,
            revision=revision,
            watched_to=self._mirror.watched_to,
        )
        self._on_silent_connection()

    def take(self, confirmed: FeedConfirmed) -> None:
        """Take what another node has proved of the same prefix."""
        if (self._mirror.revision or 0) >= confirmed.last_change:
            self._mirror.confirm(self._clock.monotonic() - confirmed.age_seconds)
            return
        # The change may be under way to this node.
        self._task_owner.spawn(self._catch_up(confirmed.last_change), "copy-behind")

    async def _catch_up(self, revision: Revision) -> None:
        await self._clock.sleep(GRACE_SECONDS)
        if (self._mirror.revision or 0) < revision:
            self._behind.set()
