"""The configuration service of one node."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

import msgspec

from drumbay.clock import Clock
from drumbay.comm.interface import Transport
from drumbay.configuration.applied import AppliedConfiguration, ChangeCallback
from drumbay.configuration.dissemination import Dissemination
from drumbay.configuration.errors import ReplicaMajorityError, StoreBehindError
from drumbay.configuration.gossip import PeerDirectory, is_watcher
from drumbay.configuration.lone_node import LoneNode
from drumbay.configuration.messages import (
    RESOURCE_PREFIX,
    ConfigurationReadiness,
    ConfigurationUpdate,
    PeerView,
    ReplicaRead,
    ReplicaReadReply,
    ReplicaStore,
    ReplicaStoreReply,
)
from drumbay.configuration.replica import ConfigurationReplica, ReplicaFile
from drumbay.configuration.replica_set_keeper import ReplicaSetKeeper
from drumbay.configuration.replication import ReplicaClient
from drumbay.configuration.state import ApplyOutcome, ConfigurationState
from drumbay.configuration.view import ConfigurationView
from drumbay.configuration.watcher import ConfigurationWatcher, retry_backoff, update_from_range
from drumbay.identifiers import NodeId
from drumbay.kv.interface import KeyValueError, KeyValueStore
from drumbay.observability.logs import log_event
from drumbay.storage.writer_thread import BlockingRunner, run_inline
from drumbay.tasks import TaskOwner

ROLE_PERIOD_SECONDS = 1.0
CONFIRM_PERIOD_SECONDS = 5.0
STORE_CONFIRM_PERIOD_SECONDS = 15.0
"""Between confirmations by the rate-limited key-value service, without replicas."""

LOAD_RETRY_SECONDS = 0.5
"""Between the questions of a starting node to the replicas, which are not rate-limited."""

LONE_WAIT_SECONDS = 5.0
"""How long a node waits for a majority of the replicas before it takes the key-value service's
word alone: half of the ten seconds in which a change has to be in force."""


class _ToldUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """What the service, or a majority of the replicas, told last.

    Attributes:
        update: The newest configuration then.
        asked_at: Monotonic time before it was asked for.
    """

    update: ConfigurationUpdate
    asked_at: float


class ConfigurationService:
    """Keeps the operators' configuration in force on one node.

    Start with :meth:`start`; it ends with the task owner. The live members must include
    the node itself.

    Attributes:
        state_type: Class of the applied state.
        replica_client_type: Class of the client of the replicas.
        dissemination_type: Class of the exchange with peers.
        watcher_type: Class of the watch.
        load_retry_seconds: Longest time between a starting node's questions to the replicas.
        lone_wait_seconds: How long a node waits for a majority of the replicas before it
            takes the key-value service's word alone.
    """

    state_type: ClassVar[type[ConfigurationState]] = ConfigurationState
    replica_client_type: ClassVar[type[ReplicaClient]] = ReplicaClient
    dissemination_type: ClassVar[type[Dissemination]] = Dissemination
    watcher_type: ClassVar[type[ConfigurationWatcher]] = ConfigurationWatcher
    load_retry_seconds: ClassVar[float] = LOAD_RETRY_SECONDS
    lone_wait_seconds: ClassVar[float] = LONE_WAIT_SECONDS

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        store: KeyValueStore,
        node_id: NodeId,
        members: Callable[[], tuple[PeerView, ...]],
        generator: random.Random,
        task_owner: TaskOwner,
        data_folder: Path | None = None,
        run_blocking: BlockingRunner = run_inline,
    ) -> None:
        """Create the service; a node with a data folder is a candidate for a replica.

        ``run_blocking`` does what waits for the disk.
        """
        self._clock = clock
        self._transport = transport
        self._store = store
        self._node_id = node_id
        self._members = members
        self._generator = generator
        self._task_owner = task_owner
        self._applied = AppliedConfiguration(clock, self.state_type())
        self._replica = self._open_replica(data_folder, run_blocking)
        self._replicas = self.replica_client_type(
            node_id=node_id,
            transport=transport,
            members=members,
            own_replica=self._replica,
            task_owner=task_owner,
        )
        self._dissemination = self.dissemination_type(
            clock=clock,
            transport=transport,
            node_id=node_id,
            applied=self._applied,
            directory=self._directory,
            generator=generator,
            task_owner=task_owner,
            accept=self._put_in_force,
        )
        self._replica_set_keeper = ReplicaSetKeeper(
            clock=clock, store=store, applied=self._applied, members=members, generator=generator
        )
        self._lone_node = self._make_lone_node()
        self._told: _ToldUpdate | None = None
        self._watch_task: asyncio.Task[Any] | None = None
        self._known_members: tuple[PeerView, ...] = ()
        self._known_directory: PeerDirectory | None = None
        self._chosen_to_watch = False

    @property
    def applied(self) -> AppliedConfiguration:
        """Return what is in force, for the operators' service."""
        return self._applied

    @property
    def watching(self) -> bool:
        """Return whether this node watches the key-value service."""
        return self._watch_task is not None

    def snapshot(self) -> ConfigurationView:
        """Return the configuration in force on this node."""
        return self._applied.view

    def readiness(self) -> ConfigurationReadiness:
        """Return what ``/readyz`` says about the configuration."""
        return self._applied.readiness()

    def on_change(self, callback: ChangeCallback) -> None:
        """Call ``callback`` with the new view after each change; it must not raise."""
        self._applied.add_callback(callback)

    def start(self) -> None:
        """Register the message handlers and start the background tasks."""
        if self._replica is not None:
            self._transport.handle_calls(ReplicaStore, self._handle_store)
            self._transport.handle_calls(ReplicaRead, self._handle_read)
        self._dissemination.start()
        self._task_owner.spawn(self._run(), "configuration service")

    def _open_replica(
        self, data_folder: Path | None, run_blocking: BlockingRunner
    ) -> ConfigurationReplica | None:
        if data_folder is None:
            return None
        return ConfigurationReplica(self._node_id, ReplicaFile(data_folder), run_blocking)

    def _make_lone_node(self) -> LoneNode:
        return LoneNode(
            clock=self._clock,
            replica=self._replica,
            applied=self._applied,
            replicas=self._replicas,
            put_in_force=lambda update: self._put_in_force(update, durable=False),
            on_durable=self._dissemination.spread,
            task_owner=self._task_owner,
            wait_seconds=self.lone_wait_seconds,
            retry_seconds=self.load_retry_seconds,
        )

    def _directory(self) -> PeerDirectory:
        members = self._members()
        if self._known_directory is None or members is not self._known_members:
            self._known_members = members
            own = self._own_view(members)
            self._known_directory = PeerDirectory(own, members)
            self._chosen_to_watch = is_watcher(own, members)
        return self._known_directory

    def _own_view(self, members: tuple[PeerView, ...]) -> PeerView:
        for peer in members:
            if peer.node_id == self._node_id:
                return peer
        return PeerView(node_id=self._node_id, address=self._transport.address, zone="", region="")

    async def _handle_store(self, request: ReplicaStore) -> ReplicaStoreReply:
        assert self._replica is not None
        return await self._replica.store(request)

    async def _handle_read(self, request: ReplicaRead) -> ReplicaReadReply:
        assert self._replica is not None
        return self._replica.read(request)

    async def _run(self) -> None:
        await self._load()
        next_confirmation = self._clock.monotonic()
        while True:
            self._elect()
            is_due = self._clock.monotonic() >= next_confirmation
            if self.watching and is_due:
                await self._confirm()
                next_confirmation = self._clock.monotonic() + self._confirm_period_seconds()
            if self.watching and (is_due or self.is_replica_set_forming()):
                await self._replica_set_keeper.propose()
            await self._clock.sleep(ROLE_PERIOD_SECONDS)

    def is_replica_set_forming(self) -> bool:
        """Return whether the replica set must not wait for the next confirmation."""
        return self._replica_set_keeper.is_forming()

    def _confirm_period_seconds(self) -> float:
        if self._applied.state.replica_set.members:
            return CONFIRM_PERIOD_SECONDS
        return STORE_CONFIRM_PERIOD_SECONDS

    async def _load(self) -> None:
        """Load the configuration from whoever can vouch for it first."""
        ways = [
            self._task_owner.spawn(self._load_from_majority(), "configuration load"),
            self._task_owner.spawn(self._load_alone(), "configuration lone start"),
        ]
        done, others = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for other in others:
            other.cancel()
        for way in done:
            way.result()
        self._applied.mark_loaded()
        if self._replica is not None:
            await self._mark_replica_complete(self._replica)
        log_event("configuration_loaded", node=self._node_id, revision=self._applied.revision)

    async def _load_from_majority(self) -> None:
        backoff = retry_backoff(self._generator)
        next_store_read = self._clock.monotonic()
        while True:
            # NOTE: replicas come back at any moment, and this node serves nothing before;
            # only the rate-limited key-value service is spared.
            reads_store = self._clock.monotonic() >= next_store_read
            if await self._confirm(reads_store=reads_store):
                break
            if reads_store:
                next_store_read = self._clock.monotonic() + backoff.next_delay_seconds()
            share = self._generator.uniform(0.5, 1.0)
            await self._clock.sleep(share * self.load_retry_seconds)

    async def _load_alone(self) -> None:
        """Start on the key-value service's word if no majority can be had for long.

        It is the word that the other way to load has asked for: the service is rate-limited.
        """
        await self._clock.sleep(self.lone_wait_seconds)
        while not await self._take_told():
            await self._clock.sleep(self.load_retry_seconds)

    async def _take_told(self) -> bool:
        told = self._told
        if told is None or not await self._lone_node.take(told.update):
            return False
        self._applied.confirm(told.asked_at)
        return True

    async def _mark_replica_complete(self, replica: ConfigurationReplica) -> None:
        try:
            await replica.mark_complete(self._applied.state.snapshot())
        except OSError as error:
            log_event("configuration_store_failed", level="ERROR", detail=str(error))

    async def _confirm(self, *, reads_store: bool = True) -> bool:
        """Learn whether anything newer is in force, put it in force, and report success.

        A majority of the replicas is asked first, which costs the rate-limited key-value
        service nothing; it is read when no majority answers.

        Args:
            reads_store: Whether the key-value service may be read at all.
        """
        asked_at = self._clock.monotonic()
        try:
            update = await self._read_newest(reads_store=reads_store)
            if update is not None:
                self._told = _ToldUpdate(update=update, asked_at=asked_at)
                await self._commit(update)
        except (ReplicaMajorityError, KeyValueError, StoreBehindError) as error:
            log_event("configuration_unconfirmed", level="WARNING", detail=str(error))
            return False
        self._applied.confirm(asked_at)
        return True

    async def _read_newest(self, *, reads_store: bool) -> ConfigurationUpdate | None:
        try:
            return await self._replicas.read(self._applied.state)
        except ReplicaMajorityError:
            if not reads_store:
                raise
            update = await self._read_store()
        return None if self._has_content_of(update) else update

    async def _read_store(self) -> ConfigurationUpdate:
        """Read the whole configuration from the key-value service.

        Raises:
            KeyValueError: The service did not answer.
            StoreBehindError: It has lost what this node's disk holds.
        """
        update = update_from_range(await self._store.range_prefix(RESOURCE_PREFIX))
        held = self._lone_node.held_revision
        if update.revision < held:
            raise StoreBehindError(f"the service is at {update.revision}, the disk at {held}")
        return update

    def _has_content_of(self, update: ConfigurationUpdate) -> bool:
        if not self._applied.loaded:
            return False
        fresh = ConfigurationState()
        fresh.apply(update)
        return fresh.content_hash == self._applied.state.content_hash

    async def _commit(self, update: ConfigurationUpdate) -> None:
        """Store an update on a majority of the replicas, then put it in force.

        Raises:
            ReplicaMajorityError: It is not durable; the configuration is unchanged.
        """
        if self._applied.state.classify(update) is not ApplyOutcome.APPLIED:
            return
        await self._replicas.store(self._applied.state, update)
        self._put_in_force(update)

    async def _commit_watched(self, update: ConfigurationUpdate) -> None:
        """Put a change in force that the watch brought; without a majority, after a wait.

        Raises:
            ReplicaMajorityError: It is not durable; the configuration is unchanged.
        """
        asked_at = self._clock.monotonic()
        try:
            await self._commit(update)
        except ReplicaMajorityError:
            if not self._lone_node.is_due(asked_at) or not await self._lone_node.take(update):
                raise
        else:
            self._lone_node.note_majority()

    def _put_in_force(self, update: ConfigurationUpdate, *, durable: bool = True) -> ApplyOutcome:
        outcome = self._applied.apply(update, durable=durable)
        if outcome is not ApplyOutcome.APPLIED:
            return outcome
        log_event(
            "configuration_applied",
            level="DEBUG",
            node=self._node_id,
            revision=self._applied.revision,
        )
        self._catch_up_own_replica()
        self._dissemination.spread()
        return outcome

    def _catch_up_own_replica(self) -> None:
        replica = self._replica
        if replica is None or replica.revision >= self._applied.revision:
            return
        update = self._applied.state.update_since(replica.revision)
        if update is not None:
            storing = self._store_on_own_replica(replica, update)
            self._task_owner.spawn(storing, "configuration own replica")

    async def _store_on_own_replica(
        self, replica: ConfigurationReplica, update: ConfigurationUpdate
    ) -> None:
        try:
            await replica.store(ReplicaStore(update=update))
        except OSError as error:
            log_event("configuration_store_failed", level="ERROR", detail=str(error))

    def _elect(self) -> None:
        self._directory()
        chosen = self._chosen_to_watch
        if self._watch_task is not None and self._watch_task.done():
            self._watch_task = None
        if chosen and self._watch_task is None:
            watcher = self.watcher_type(
                clock=self._clock,
                store=self._store,
                generator=self._generator,
                applied_revision=lambda: self._applied.revision,
                deliver=self._commit_watched,
            )
            self._watch_task = self._task_owner.spawn(watcher.run(), "configuration watch")
        elif not chosen and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
