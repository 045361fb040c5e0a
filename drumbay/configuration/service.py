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
from drumbay.configuration.majority_fallback import MajorityFallback
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
from drumbay.configuration.replica_set_controller import ReplicaSetController
from drumbay.configuration.replication import ReplicaClient
from drumbay.configuration.state import ApplyOutcome, ConfigurationState
from drumbay.configuration.view import ConfigurationView
from drumbay.configuration.watcher import ConfigurationWatcher, retry_backoff, update_from_range
from drumbay.identifiers import NodeId
from drumbay.kv.interface import KeyValueError, KeyValueStore
from drumbay.observability.logs import log_event
from drumbay.storage.writer_thread import BlockingRunner, run_inline
from drumbay.tasks import TaskOwner

ROLE_CHECK_PERIOD_SECONDS = 1.0
CONFIRM_PERIOD_SECONDS = 5.0
STORE_CONFIRM_PERIOD_SECONDS = 15.0
"""Longer period without replicas, when the rate-limited key-value service is read."""

LOAD_RETRY_SECONDS = 0.5
"""Longest delay between a starting node's reads of the replicas."""

MAJORITY_WAIT_SECONDS = 5.0
"""How long a node waits for a majority of the replicas before it applies what it reads from the
key-value service."""


class _LastRead(msgspec.Struct, frozen=True, kw_only=True):
    """The last configuration read from the replicas or the key-value service.

    Attributes:
        update: The configuration.
        requested_at: Monotonic time before the read.
    """

    update: ConfigurationUpdate
    requested_at: float


class ConfigurationService:
    """Keeps the operators' configuration up to date on one node.

    :meth:`start` starts it; closing the task owner stops it. The live members must include
    the node itself.

    Attributes:
        state_type: Class of the applied state.
        replica_client_type: Class of the client of the replicas.
        dissemination_type: Class of the gossip service.
        watcher_type: Class of the watch.
        load_retry_seconds: Longest delay between a starting node's reads of the replicas.
        majority_wait_seconds: How long a node waits for a majority of the replicas before it
            applies what it reads from the key-value service.
    """

    state_type: ClassVar[type[ConfigurationState]] = ConfigurationState
    replica_client_type: ClassVar[type[ReplicaClient]] = ReplicaClient
    dissemination_type: ClassVar[type[Dissemination]] = Dissemination
    watcher_type: ClassVar[type[ConfigurationWatcher]] = ConfigurationWatcher
    load_retry_seconds: ClassVar[float] = LOAD_RETRY_SECONDS
    majority_wait_seconds: ClassVar[float] = MAJORITY_WAIT_SECONDS

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
        """Create the service; a node with a data folder may become a replica.

        ``run_blocking`` runs blocking disk operations.
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
            apply_update=self._apply_update,
        )
        self._replica_set_controller = ReplicaSetController(
            clock=clock, store=store, applied=self._applied, members=members, generator=generator
        )
        self._majority_fallback = self._create_majority_fallback()
        self._last_read: _LastRead | None = None
        self._watch_task: asyncio.Task[Any] | None = None
        self._cached_members: tuple[PeerView, ...] = ()
        self._cached_directory: PeerDirectory | None = None
        self._should_watch = False

    @property
    def applied(self) -> AppliedConfiguration:
        """Return the applied configuration, for the operators' service."""
        return self._applied

    @property
    def is_watching(self) -> bool:
        """Return whether this node watches the key-value service."""
        return self._watch_task is not None

    def current_view(self) -> ConfigurationView:
        """Return the typed view of the configuration applied on this node."""
        return self._applied.view

    def readiness(self) -> ConfigurationReadiness:
        """Return the readiness that ``/readyz`` reports."""
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

    def _create_majority_fallback(self) -> MajorityFallback:
        return MajorityFallback(
            clock=self._clock,
            replica=self._replica,
            applied=self._applied,
            replicas=self._replicas,
            apply_update=lambda update: self._apply_update(update, is_durable=False),
            on_durable=self._dissemination.announce_revision,
            task_owner=self._task_owner,
            wait_seconds=self.majority_wait_seconds,
            retry_seconds=self.load_retry_seconds,
        )

    def _directory(self) -> PeerDirectory:
        members = self._members()
        if self._cached_directory is None or members is not self._cached_members:
            self._cached_members = members
            own = self._own_view(members)
            self._cached_directory = PeerDirectory(own, members)
            self._should_watch = is_watcher(own, members)
        return self._cached_directory

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
            self._update_watcher()
            is_due = self._clock.monotonic() >= next_confirmation
            if self.is_watching and is_due:
                await self._confirm()
                next_confirmation = self._clock.monotonic() + self._confirm_period_seconds()
            if self.is_watching and (is_due or self.is_replica_set_forming()):
                await self._replica_set_controller.propose()
            await self._clock.sleep(ROLE_CHECK_PERIOD_SECONDS)

    def is_replica_set_forming(self) -> bool:
        """Return whether the replica set is too small or still changing."""
        return self._replica_set_controller.is_forming()

    def _confirm_period_seconds(self) -> float:
        if self._applied.state.replica_set.members:
            return CONFIRM_PERIOD_SECONDS
        return STORE_CONFIRM_PERIOD_SECONDS

    async def _load(self) -> None:
        """Load the configuration from a majority, or without one after a timeout."""
        loaders = [
            self._task_owner.spawn(self._load_from_majority(), "configuration load"),
            self._task_owner.spawn(self._load_without_majority(), "configuration lone start"),
        ]
        done, others = await asyncio.wait(loaders, return_when=asyncio.FIRST_COMPLETED)
        for other in others:
            other.cancel()
        for loader in done:
            loader.result()
        self._applied.mark_loaded()
        if self._replica is not None:
            await self._mark_replica_complete(self._replica)
        log_event("configuration_loaded", node=self._node_id, revision=self._applied.revision)

    async def _load_from_majority(self) -> None:
        backoff = retry_backoff(self._generator)
        next_store_read = self._clock.monotonic()
        while True:
            # NOTE: the node serves nothing until it has loaded, so it polls the replicas at a
            # short interval. Only reads of the rate-limited key-value service back off.
            reads_store = self._clock.monotonic() >= next_store_read
            if await self._confirm(reads_store=reads_store):
                break
            if reads_store:
                next_store_read = self._clock.monotonic() + backoff.next_delay_seconds()
            jitter = self._generator.uniform(0.5, 1.0)
            await self._clock.sleep(jitter * self.load_retry_seconds)

    async def _load_without_majority(self) -> None:
        """Load from the key-value service if no majority has responded in time.

        It uses the configuration that the concurrent load has read, since the service is
        rate-limited.
        """
        await self._clock.sleep(self.majority_wait_seconds)
        while not await self._apply_last_read():
            await self._clock.sleep(self.load_retry_seconds)

    async def _apply_last_read(self) -> bool:
        last_read = self._last_read
        if last_read is None or not await self._majority_fallback.apply_from_one_disk(
            last_read.update
        ):
            return False
        self._applied.confirm(last_read.requested_at)
        return True

    async def _mark_replica_complete(self, replica: ConfigurationReplica) -> None:
        try:
            await replica.mark_complete(self._applied.state.snapshot())
        except OSError as error:
            log_event("configuration_store_failed", level="ERROR", detail=str(error))

    async def _confirm(self, *, reads_store: bool = True) -> bool:
        """Read and apply the newest configuration; return whether that succeeded.

        A majority of the replicas is read first, to spare the rate-limited key-value service,
        which is read only if no majority responds.

        Args:
            reads_store: Whether the key-value service may be read.
        """
        requested_at = self._clock.monotonic()
        try:
            update = await self._read_newest(reads_store=reads_store)
            if update is not None:
                self._last_read = _LastRead(update=update, requested_at=requested_at)
                await self._commit(update)
        except (ReplicaMajorityError, KeyValueError, StoreBehindError) as error:
            log_event("configuration_unconfirmed", level="WARNING", detail=str(error))
            return False
        self._applied.confirm(requested_at)
        return True

    async def _read_newest(self, *, reads_store: bool) -> ConfigurationUpdate | None:
        try:
            return await self._replicas.read(self._applied.state)
        except ReplicaMajorityError:
            if not reads_store:
                raise
            update = await self._read_store()
        return None if self._has_same_content(update) else update

    async def _read_store(self) -> ConfigurationUpdate:
        """Read the whole configuration from the key-value service.

        Raises:
            KeyValueError: The service did not respond.
            StoreBehindError: It is at a lower revision than this node's disk.
        """
        update = update_from_range(await self._store.range_prefix(RESOURCE_PREFIX))
        stored_revision = self._majority_fallback.stored_revision
        if update.revision < stored_revision:
            raise StoreBehindError(
                f"the service is at {update.revision}, the disk at {stored_revision}"
            )
        return update

    def _has_same_content(self, update: ConfigurationUpdate) -> bool:
        if not self._applied.is_loaded:
            return False
        read_state = ConfigurationState()
        read_state.apply(update)
        return read_state.content_hash == self._applied.state.content_hash

    async def _commit(self, update: ConfigurationUpdate) -> None:
        """Store an update on a majority of the replicas, then apply it.

        Raises:
            ReplicaMajorityError: No majority stored it; the configuration is unchanged.
        """
        if self._applied.state.classify(update) is not ApplyOutcome.APPLIED:
            return
        await self._replicas.store(self._applied.state, update)
        self._apply_update(update)

    async def _commit_watched(self, update: ConfigurationUpdate) -> None:
        """Commit a change from the watch; without a majority for some time, store it on one disk.

        Raises:
            ReplicaMajorityError: No majority stored it; the configuration is unchanged.
        """
        requested_at = self._clock.monotonic()
        try:
            await self._commit(update)
        except ReplicaMajorityError:
            if not self._majority_fallback.should_fall_back(
                requested_at
            ) or not await self._majority_fallback.apply_from_one_disk(update):
                raise
        else:
            self._majority_fallback.record_majority()

    def _apply_update(
        self, update: ConfigurationUpdate, *, is_durable: bool = True
    ) -> ApplyOutcome:
        outcome = self._applied.apply(update, is_durable=is_durable)
        if outcome is not ApplyOutcome.APPLIED:
            return outcome
        log_event(
            "configuration_applied",
            level="DEBUG",
            node=self._node_id,
            revision=self._applied.revision,
        )
        self._update_own_replica()
        self._dissemination.announce_revision()
        return outcome

    def _update_own_replica(self) -> None:
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

    def _update_watcher(self) -> None:
        self._directory()
        should_watch = self._should_watch
        if self._watch_task is not None and self._watch_task.done():
            self._watch_task = None
        if should_watch and self._watch_task is None:
            watcher = self.watcher_type(
                clock=self._clock,
                store=self._store,
                generator=self._generator,
                applied_revision=lambda: self._applied.revision,
                deliver=self._commit_watched,
            )
            self._watch_task = self._task_owner.spawn(watcher.run(), "configuration watch")
        elif not should_watch and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
