"""Assembles the services of one node: routes, workers, batch jobs and leader duties.

All dependencies are passed in. The node has no durable state of its own; after a restart it reads
everything from the store.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Container, Iterable

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.retention import BatchRetention
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.service import BatchService
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.routes import RouteTable, RoutingConfiguration
from drumbay.identifiers import BackendId
from drumbay.kv.mirror import PrefixFeed
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership.leader import LeaderElection, LeaderRecord, LeadershipPolicy
from drumbay.peers.directory import PeerDirectory
from drumbay.peers.feeds import SharedFeeds
from drumbay.peers.messages import (
    BorrowStarts,
    CollectPlaces,
    CollectUsage,
    DoneReply,
    FeedConfirmed,
    FollowFeeds,
    LoadingNotice,
    Notice,
    Notices,
    OwnerNotice,
    PeerReply,
    PeerRequest,
    Ping,
    PlacesNotice,
    PlacesReply,
    RelayGrant,
    RelayKeepAlive,
    RelayRange,
    RelayTransaction,
    UsageNotice,
    UsageReply,
)
from drumbay.peers.notices import NoticeQueues
from drumbay.peers.store_relay import RelayingStore, StoreRelayServer
from drumbay.placement.topology import Topology
from drumbay.quarantine.records import (
    QuarantineNotice,
    RequestSuspected,
    RunOutlived,
    WorkerProvedAlive,
)
from drumbay.quarantine.run_announcements import RunAnnounced
from drumbay.quarantine.service import Quarantine
from drumbay.quarantine.stored import StoredQuarantine
from drumbay.scaling.collector import DemandCollector
from drumbay.scaling.controller import WorkerCountController
from drumbay.serving.load_features import LoadFeature
from drumbay.serving.memory_accounting import MemoryAccounting
from drumbay.serving.node_placement import NodePlacement
from drumbay.serving.settings import ServingEnvironment, ServingSettings
from drumbay.serving.start_loans import StartLoans
from drumbay.serving.store_calls import CountedStore
from drumbay.tasks import TaskOwner
from drumbay.tenants.access import authenticate
from drumbay.tenants.records import TenantName
from drumbay.usage.service import UsageService
from drumbay.weights.version_coordinator import AnnouncedVersions, VersionCoordinator
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker
from drumbay.workers.silence_check import SilenceCheck
from drumbay.workers.unresponsive_workers import (
    ResponsivenessNotice,
    UnresponsiveWorkers,
    WorkerResponsive,
    WorkerUnresponsive,
)

DRAIN_POLL_SECONDS = 0.1
WORKERS_POLL_SECONDS = 0.05
"""Polling interval while a starting node waits for the list of workers."""

ENTRY_EXPIRY_GAP_SECONDS = 2.0
"""If changes were missed for this long, discovery entries may be missing because their leases
expired."""

MISSING_WORKER_GRACE_SECONDS = 1.6
"""How long workers whose entries are missing after a store outage remain in use."""

MAX_RESPONSIVENESS_RECEIVERS = 24
"""Nodes that are told whether a worker responds; bounds the messages of a large deployment."""


class ServingNode:
    """The services of a node; the caller connects them to servers."""

    def __init__(self, settings: ServingSettings, environment: ServingEnvironment) -> None:
        """Create the services without starting them."""
        self._settings = settings
        self._environment = environment
        clock = environment.clock
        self._tasks = TaskOwner()
        self._notice_queues = NoticeQueues(environment.peers, self._tasks)
        self.metrics = ServingMetrics()
        held_bytes = settings.held_bytes if settings.is_enabled(LoadFeature.HELD_BYTES) else None
        self.memory = MemoryAccounting(held_bytes, self.metrics)
        self._direct_store = CountedStore(clock, environment.store, self.metrics)
        address = settings.identity.address
        topology = Topology(zone=settings.zone, regions=settings.regions)
        self._usage = UsageService(clock, settings.usage, settings.identity)
        self._peer_directory = PeerDirectory(
            clock,
            self._direct_store,
            address,
            topology,
            environment.generator,
            self._mark_store_suspect,
        )
        self._relay_server = StoreRelayServer(self._direct_store)
        self._store = RelayingStore(
            clock, self._direct_store, environment.peers, self._peer_directory, self.metrics
        )
        self._feeds = SharedFeeds(
            clock,
            self._direct_store,
            self._store,
            environment.peers,
            self._peer_directory,
            address,
            environment.generator,
            settings.in_force_seconds,
            self._usage.own_report,
            self._renew_connections,
            self._notify_watchers,
            self._tasks,
        )
        self.directory = WorkerDirectory()
        self.directory.set_pause_callback(self.metrics.count_worker_pause)
        if environment.connections is not None:
            environment.connections.set_silence_callback(self.metrics.count_silent_connection)
        self.routes = RouteTable()
        placement = NodePlacement(
            settings, environment, topology, self.routes, self.directory, self.metrics
        )
        self.evacuations = placement.evacuations
        self.placement = placement.gate
        self._warm_ups = placement.warm_ups
        self.announced_versions = AnnouncedVersions()
        self.quarantine = Quarantine(
            clock,
            self.directory,
            self.placement,
            environment.workers,
            self._tasks,
            self.metrics,
            self._broadcast,
            address,
        )
        self._stored_quarantine = StoredQuarantine(
            clock,
            self._store,
            self.quarantine,
            environment.generator,
            lambda: self._notice_queues.is_cut_off,
        )
        self._unresponsive_workers = UnresponsiveWorkers(
            clock,
            self.directory,
            environment.workers,
            self._tasks,
            self._announce_responsiveness,
        )
        self._start_loans = StartLoans(
            clock,
            self._warm_ups.limits,
            environment.peers,
            self._peer_directory.responsive_candidates,
            self.directory.all_records,
            self._tasks,
        )
        self.forwarder = Forwarder(
            clock,
            self.directory,
            self.routes,
            environment.workers,
            self.placement,
            self.metrics,
            self._usage.counter,
            self.quarantine,
            self._unresponsive_workers,
            settings.machine,
            has_admission=settings.is_enabled(LoadFeature.ADMISSION),
            start_borrower=self._start_loans,
        )
        self._body_holders = BodyHolders(self.routes, topology, self._peer_directory, address)
        self.batches = BatchService(
            clock,
            self._store,
            self._store.within,
            self.directory,
            environment.workers,
            SilenceCheck(
                clock,
                self.directory,
                environment.workers,
                self._tasks,
                self._renew_connections,
            ),
            self.quarantine,
            RewardScorer(
                clock, self.forwarder, self.routes, self.directory, self.placement, self.metrics
            ),
            environment.peers,
            self._tasks,
            settings.identity,
            self._body_holders,
            self.announced_versions.newest_of,
            self._broadcast,
            self._notice_queues.send,
            self.routes,
            self.placement,
            settings.is_enabled(LoadFeature.SHARED_SLOTS),
            self.metrics,
        )
        self._warm_ups.known_senders.connect(
            self.batches.starting_owners,
            lambda: self._peer_directory.ranking.nodes,
            lambda: self.may_have_outdated_configuration or self._notice_queues.is_cut_off,
            lambda: self._peer_directory.is_unlisted,
        )
        self.leader = LeaderElection(
            clock,
            self._store,
            LeaderRecord(machine=settings.machine, boot=settings.identity.boot),
            environment.generator,
            LeadershipPolicy(
                duty_delay_seconds=settings.turn_seconds,
                order_delay_seconds=0.0 if settings.workers_check_fences else settings.turn_seconds,
            ),
            lambda: self._feeds.is_watcher,
            self._peer_directory.store_recovered,
        )
        self._coordinator = VersionCoordinator(
            clock,
            self.directory,
            self.placement,
            environment.workers,
            self.leader,
            self.announced_versions,
            self._tasks,
            settings.machine,
            self._broadcast_weight_load,
            self.metrics,
            settings.turn_seconds,
        )
        self._retention = BatchRetention(
            clock,
            self.batches.ledger,
            settings.keep_results_seconds,
            lambda: self.leader.fence(clock.monotonic()) is not None,
            self.batches.delete_ended,
        )
        self._stop_deadline: float | None = None
        self._is_rejecting = False
        self._open_request_count = 0

    def start(self, feeds: tuple[PrefixFeed, ...]) -> None:
        """Start all background tasks."""
        feeds = (*feeds, self._stored_quarantine.feed)
        self._tasks.spawn(self._feeds.run(feeds, self._settings.settle_seconds), "feeds")
        self._tasks.spawn(self._stored_quarantine.run(), "stored-quarantine")
        self._tasks.spawn(self._peer_directory.run_heartbeat(), "store-heartbeat")
        self._tasks.spawn(self.leader.run(), "leader-election")
        self._tasks.spawn(self._retention.run(), "batch-retention")
        self._tasks.spawn(self._warm_ups.run(), "worker-warm-ups")
        self._tasks.spawn(self._coordinator.run(), "version-coordinator")
        self._tasks.spawn(self.batches.run_slot_exchange(), "place-exchange")
        self._tasks.spawn(self.batches.run_relocation(), "batch-relocation")
        self._tasks.spawn(self._direct_store.run_periodic_log(), "store-call-log")
        self._start_leader_duties()
        if self._settings.is_restart:
            self._tasks.spawn(self._reclaim_own_batches(), "own-batches")
        log_event(
            "serving_started",
            node=self._settings.machine,
            zone=self._settings.zone,
            boot=self._settings.identity.boot,
            disabled_parts=",".join(sorted(self._settings.disabled_parts)),
        )

    def _start_leader_duties(self) -> None:
        """Start the platform calls that this node makes while it is the leader."""
        duties = self._environment.duties
        if duties is None:
            return
        if self._settings.usage is not None:
            usage_reports = self._usage.run(
                self._store,
                self.leader,
                duties,
                self._environment.peers,
                self._peer_directory,
                self._settings.machine,
                self.metrics,
            )
            self._tasks.spawn(usage_reports, "usage-reports")
        if self._settings.orders_workers:
            collector = DemandCollector(
                self._environment.clock,
                self._environment.peers,
                self._settings.identity.address,
                self.batches.slot_usage,
                self.batches.open_batch_owners,
            )
            controller = WorkerCountController(
                self._environment.clock,
                self._store,
                self.routes,
                self.directory,
                self.placement,
                self.leader,
                duties,
                collector if self._settings.is_enabled(LoadFeature.WORKER_COUNTS) else None,
                self._settings.machine,
                self.metrics,
            )
            self._tasks.spawn(controller.run(), "worker-counts")

    @property
    def is_ready(self) -> bool:
        """Return whether the node accepts new clients."""
        return self.is_initialized and not self.is_leaving

    @property
    def is_initialized(self) -> bool:
        """Return whether the configuration and the workers are known."""
        return self.routes.current is not None and self.directory.is_loaded

    @property
    def is_leaving(self) -> bool:
        """Return whether a planned shutdown has begun."""
        return self._stop_deadline is not None

    @property
    def is_rejecting(self) -> bool:
        """Return whether a planned shutdown rejects the requests that still arrive."""
        return self._is_rejecting

    @property
    def max_request_seconds(self) -> float:
        """Return how long a request that arrives now may take; limited by a planned shutdown."""
        return self._remaining_stop_seconds() - DRAIN_POLL_SECONDS

    def _remaining_stop_seconds(self) -> float:
        if self._stop_deadline is None:
            return math.inf
        return self._stop_deadline - self._environment.clock.monotonic()

    def authenticate(self, key: str | None, *, needs_key: bool) -> TenantName | None:
        """Return the tenant of a request by its API key; ``None`` if no key is needed.

        Raises:
            UnknownKeyError: The key is invalid.
            KeysOutdatedError: The node's configuration may be outdated; another node may know the
                key.
        """
        current = self.routes.current
        return authenticate(
            current.keys if current is not None else None,
            key,
            needs_key=needs_key,
            configuration_age_seconds=self.configuration_age_seconds,
            in_force_seconds=self._settings.in_force_seconds,
        )

    @property
    def may_have_outdated_configuration(self) -> bool:
        """Return whether this node may have missed a newer configuration."""
        return self.configuration_age_seconds > self._settings.in_force_seconds

    @property
    def configuration_age_seconds(self) -> float:
        """Return the time since the configuration was last confirmed to be current."""
        return self._feeds.confirmed_age_seconds()

    def apply_configuration(self, configuration: RoutingConfiguration) -> None:
        """Apply a configuration unless it is older than the current one."""
        if not self.routes.apply(configuration):
            return
        log_event(
            "routes_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            keys=len(configuration.keys.tenants_by_digest)
            if configuration.keys is not None
            else None,
        )

    def apply_worker_snapshot(
        self,
        workers: Iterable[Worker],
        unseen_seconds: float,
        unusable: Container[BackendId] = (),
    ) -> None:
        """Apply a snapshot of the discovery entries, read after ``unseen_seconds`` without updates.

        Entries expire during an outage of the store, and live workers register again after it.
        Until then they remain in use, except ``unusable`` ones, whose entries exist but are
        invalid.
        """
        now = self._environment.clock.monotonic()
        if unseen_seconds < ENTRY_EXPIRY_GAP_SECONDS:
            self.directory.replace_all(workers)
            return
        retained = self.directory.replace_all(workers, now + MISSING_WORKER_GRACE_SECONDS, unusable)
        if retained:
            log_event(
                "missing_workers_kept",
                workers=",".join(retained),
                unseen_seconds=round(unseen_seconds, 3),
            )
            self._tasks.spawn(self._drop_missing_workers(), "missing-workers")

    async def _reclaim_own_batches(self) -> None:
        """Resume the batch jobs of the previous process once workers and regions are known."""
        while not (self.directory.is_loaded and self._body_holders.knows_regions):
            await self._environment.clock.sleep(WORKERS_POLL_SECONDS)
        await self.batches.reclaim_own()

    async def _drop_missing_workers(self) -> None:
        clock = self._environment.clock
        await clock.sleep(MISSING_WORKER_GRACE_SECONDS)
        dropped = self.directory.drop_missing(clock.monotonic())
        if dropped:
            log_event("missing_workers_dropped", level="WARNING", workers=",".join(dropped))

    def _renew_connections(self) -> None:
        """Replace connections that may have stalled, after one was found to be stalled."""
        self._store.end_watches()
        if self._environment.connections is not None:
            self._environment.connections.close_silent()

    def _mark_store_suspect(self) -> None:
        self._store.mark_suspect()

    def _broadcast_weight_load(self, notice: LoadingNotice) -> None:
        self._record_weight_load(notice)
        self._broadcast(notice)

    def _broadcast(self, notice: LoadingNotice | OwnerNotice | QuarantineNotice) -> None:
        self._notice_queues.send(self._peer_directory.responsive(), notice)

    def _announce_responsiveness(self, notice: ResponsivenessNotice) -> None:
        nodes = self._peer_directory.responsive_candidates(MAX_RESPONSIVENESS_RECEIVERS)
        self._notice_queues.send(nodes, notice)

    def _notify_watchers(self, notice: FeedConfirmed) -> None:
        watchers = self._peer_directory.ranking.watchers
        self._notice_queues.send(self._peer_directory.responsive_among(watchers), notice)

    def _take_notices(self, notices: Iterable[Notice]) -> None:
        for notice in notices:
            match notice:
                case OwnerNotice():
                    self.batches.handle_owner_notice(notice)
                case FeedConfirmed():
                    self._feeds.apply_confirmation(notice)
                case LoadingNotice():
                    self._record_weight_load(notice)
                case PlacesNotice():
                    self.batches.handle_slot_notice(notice)
                case RequestSuspected() | RunOutlived() | WorkerProvedAlive() | RunAnnounced():
                    self.quarantine.handle_notice(notice)
                case WorkerUnresponsive() | WorkerResponsive():
                    self._unresponsive_workers.handle_notice(notice)

    def _record_weight_load(self, notice: LoadingNotice) -> None:
        self._coordinator.record_order(notice)
        until = self._environment.clock.monotonic() + notice.seconds
        # 0 means that the notice does not say which incarnation it is about.
        started_at_ms = notice.started_at_ms or None
        self.directory.record_weight_load(
            notice.worker_id, notice.model, notice.version, until, started_at_ms
        )

    async def handle_peer(self, request: PeerRequest) -> PeerReply:
        """Handle a request from another node."""
        match request:
            case Ping():
                return DoneReply()
            case FollowFeeds():
                self._usage.merge(request.usage)
                return await self._feeds.serve_poll(request)
            case BorrowStarts():
                return self._start_loans.lend(request)
            case CollectPlaces():
                return PlacesReply(jobs=self.batches.slot_usage())
            case CollectUsage():
                return UsageReply(nodes=self._usage.collected_usage())
            case UsageNotice():
                self._usage.merge(request.usage)
                return DoneReply()
            case Notices():
                self._take_notices(request.notices)
                return DoneReply()
            case RelayRange() | RelayTransaction() | RelayKeepAlive() | RelayGrant():
                return await self._relay_server.handle(request)
            case _:
                return await self.batches.handle_peer(request)

    def track(self, handler: Callable[[], Awaitable[None]], name: str) -> asyncio.Task[None]:
        """Run a request handler in the background; a planned shutdown waits for it."""
        self._open_request_count += 1
        return self._tasks.spawn(self._run_tracked(handler), name)

    async def _run_tracked(self, handler: Callable[[], Awaitable[None]]) -> None:
        try:
            await handler()
        finally:
            self._open_request_count -= 1

    async def stop(self) -> None:
        """Stop a node without servers; :class:`PlannedStop` also stops its servers."""
        await self.leave()
        self.reject_requests()
        await self.hand_over()

    async def leave(self, reserved_seconds: float = 0.0) -> None:
        """Announce the stop and give up duties, and serve what arrives.

        Returns once nothing is open, or ``reserved_seconds`` before the stop's deadline.
        """
        clock = self._environment.clock
        self._stop_deadline = clock.monotonic() + self._settings.stop_seconds
        log_event(
            "serving_stopping", requests=self._open_request_count, batches=self.batches.owned_count
        )
        self.batches.stop_accepting()
        await self.leader.resign()
        await self._peer_directory.leave()
        await clock.sleep(self._settings.turn_away_seconds)
        await self.wait_until_drained(reserved_seconds)

    async def wait_until_drained(self, reserved_seconds: float = 0.0) -> None:
        """Wait until nothing is open, or until so long before the stop's deadline."""
        while self._remaining_stop_seconds() > reserved_seconds:
            if not self._open_request_count and not self.batches.unfinished_count():
                return
            await self._environment.clock.sleep(DRAIN_POLL_SECONDS)

    def reject_requests(self) -> None:
        """Reject from now on what clients send, since it could not be completed."""
        self._is_rejecting = True
        log_event("serving_rejecting", requests=self._open_request_count)

    async def hand_over(self) -> None:
        """Hand over batch jobs and usage counts, and end all tasks, also of open requests."""
        self.batches.shut_down()
        watchers = self._peer_directory.ranking.watchers
        await self._usage.send_to(
            self._environment.peers, self._peer_directory.responsive_among(watchers)
        )
        await self.close()
        self._direct_store.log_counts()
        log_event("serving_stopped", node=self._settings.machine)

    async def close(self) -> None:
        """Cancel all tasks at once, as if the process had been killed."""
        await self._tasks.close()
