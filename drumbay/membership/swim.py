"""The membership state machine of one node.

SWIM (Das, Gupta and Motivala 2002) with suspicion and incarnations, parts of Lifeguard (Dadgar,
Phillips and Currey 2018), anti-entropy, and periodic contact to dead members, by which the sides
of a healed partition find each other. Pure: its inputs are time and datagrams, its outputs
datagrams and membership changes.
"""

import math
import random

import msgspec

from drumbay.comm.interface import Address
from drumbay.identifiers import NodeId
from drumbay.membership.anti_entropy import AntiEntropy
from drumbay.membership.dissemination import DisseminationQueue
from drumbay.membership.local_health import LocalHealth
from drumbay.membership.member_table import MemberTable
from drumbay.membership.messages import (
    Ack,
    Gossip,
    IndirectPing,
    MembershipDatagram,
    Nack,
    OutgoingDatagram,
    Ping,
    SyncMembers,
    SyncRequest,
    SyncUpdates,
    SyncWanted,
)
from drumbay.membership.outbox import Outbox
from drumbay.membership.probe_schedule import ProbeSchedule
from drumbay.membership.prober import Prober
from drumbay.membership.records import (
    Member,
    MemberChange,
    MemberChangeKind,
    MembershipSettings,
    MemberState,
)
from drumbay.membership.suspicion import SuspicionTimers
from drumbay.membership.update_handler import UpdateHandler

PURGE_INTERVAL_SECONDS = 60.0
LEAVE_FANOUT = 8
EAGER_SYNCS = 3
"""Number of exchanges at short intervals after one that changed the table."""


class Output(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one tick or received datagram.

    Attributes:
        datagrams: Datagrams to send.
        changes: Membership changes, in order.
        next_tick_at: When :meth:`Swim.tick` should run next, on the clock of ``now``.
    """

    datagrams: tuple[OutgoingDatagram, ...]
    changes: tuple[MemberChange, ...]
    next_tick_at: float


class Swim:
    """Membership as seen by one node."""

    def __init__(
        self,
        self_member: Member,
        seeds: tuple[Address, ...],
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        """Create a node that knows only itself and the seeds' addresses."""
        self._settings = settings
        self._random = rng
        self._seeds = tuple(seed for seed in seeds if seed != self_member.address)
        self._table = MemberTable(self_member)
        self._queue = DisseminationQueue(settings.retransmit_multiplier)
        self._outbox = Outbox(self._table, self._queue)
        self._suspicions = SuspicionTimers(settings)
        self._health = LocalHealth(settings.max_local_health)
        self._schedule = ProbeSchedule(self._table, settings, rng)
        self._prober = Prober(self._table, self._schedule, self._outbox, self._health, settings)
        self._anti_entropy = AntiEntropy(self._table, self._outbox, rng)
        self._update_handler = UpdateHandler(
            self._table, self._queue, self._suspicions, self._schedule, self._health
        )
        self._next_gossip_at = -math.inf
        self._next_sync_at = -math.inf
        self._eager_syncs_left = EAGER_SYNCS
        self._sync_peer: Address | None = None
        self._next_reconnect_at = -math.inf
        self._next_purge_at = -math.inf
        self._expected_tick_at = math.inf

    @property
    def self_member(self) -> Member:
        """Return the node's own record, as it announces it."""
        return self._table.self_member

    @property
    def local_health(self) -> int:
        """Return the local health score; 0 is healthy."""
        return self._health.score

    @property
    def reachable_count(self) -> int:
        """Return how many other members are alive or suspect."""
        return self._table.reachable_count

    @property
    def alive_count(self) -> int:
        """Return how many members are alive and not suspect, the node itself included."""
        return sum(1 for each in self._table.members() if each.state is MemberState.ALIVE)

    def members(self) -> tuple[Member, ...]:
        """Return every known member, the node itself included."""
        return self._table.members()

    def member(self, node_id: NodeId) -> Member | None:
        """Return one member, or ``None`` if it is not known."""
        return self._table.get(node_id)

    def set_application_revision(self, revision: int) -> None:
        """Set the application's revision, which this node's datagrams announce."""
        member = msgspec.structs.replace(self.self_member, application_revision=revision)
        self._table.set_self(0.0, member)

    def _next_deadline(self) -> float:
        deadline = min(
            self._prober.next_deadline,
            self._suspicions.next_deadline,
            self._next_sync_at,
            self._next_reconnect_at,
            self._next_purge_at,
        )
        if len(self._queue) > 0:
            deadline = min(deadline, self._next_gossip_at)
        return deadline

    def tick(self, now: float) -> Output:
        """Run the actions due at ``now`` (monotonic seconds)."""
        self._handle_pause(now)
        unresponsive = self._prober.tick(now)
        if unresponsive is not None:
            self._update_handler.suspect(now, unresponsive)
        self._update_handler.expire_suspicions(now)
        self._gossip(now)
        self._sync(now)
        self._reconnect(now)
        self._purge(now)
        return self._collect_output(now)

    def receive(self, now: float, sender: Address, message: MembershipDatagram) -> Output:
        """Process a datagram that arrived at ``now`` from the address ``sender``."""
        self._handle_pause(now)
        self._table.record_application_revision(message.sender, message.application_revision)
        for record in message.records:
            self._update_handler.merge_record(now, record)
        for update in message.updates:
            self._update_handler.merge_update(now, update)
        self._handle(now, sender, message)
        if self._table.get(message.sender) is None:
            self._schedule_sync_with(now, sender)
        return self._collect_output(now)

    def _schedule_sync_with(self, now: float, sync_peer: Address) -> None:
        """Schedule eager exchanges, first with ``sync_peer``, which knows more members.

        NOTE: an exchange takes four datagrams and keeps no state. If one of them is lost, a
        new node would know few members until the next exchange.
        """
        self._sync_peer = sync_peer
        self._schedule_eager_syncs(now)

    def leave(self, now: float) -> Output:
        """Announce that this node leaves; it responds to probes until it is stopped."""
        self._update_handler.announce_leave(now)
        for node_id in self._sample(LEAVE_FANOUT):
            self._send_gossip(node_id)
        return self._collect_output(now)

    def _collect_output(self, now: float) -> Output:
        changes = self._update_handler.drain_changes()
        if any(each.kind is MemberChangeKind.RETURNED for each in changes):
            self._schedule_reconnect(now)
        self._expected_tick_at = max(now, self._next_deadline())
        return Output(
            datagrams=self._outbox.drain(),
            changes=changes,
            next_tick_at=self._expected_tick_at,
        )

    def _handle_pause(self, now: float) -> None:
        """Detect that this process was paused, and reset or extend its timers.

        They may have expired because the process could not read the responses.
        """
        paused_seconds = now - self._expected_tick_at
        if paused_seconds < self._settings.probe_interval_seconds:
            return
        self._expected_tick_at = now
        self._suspicions.extend(paused_seconds)
        self._prober.reset(now)
        self._health.record_failure()
        # Sync at once: the node may have been declared dead in the meantime.
        self._next_sync_at = now

    def _handle(self, now: float, sender: Address, message: MembershipDatagram) -> None:
        if isinstance(message, Ping):
            self._prober.handle_ping(sender, message)
        elif isinstance(message, Ack):
            self._prober.handle_ack(message)
        elif isinstance(message, IndirectPing):
            self._prober.handle_indirect_ping(now, message)
        elif isinstance(message, Nack):
            self._prober.handle_nack(message)
        else:
            self._handle_sync(now, sender, message)

    def _handle_sync(self, now: float, sender: Address, message: MembershipDatagram) -> None:
        any_change = False
        if isinstance(message, SyncRequest):
            self._update_handler.merge_record(now, message.record)
            self._anti_entropy.handle_request(sender, message)
        elif isinstance(message, SyncUpdates):
            any_change = self._update_handler.merge_synced_updates(now, message.bucket_updates)
            if self._anti_entropy.handle_updates(sender, message):
                self._schedule_sync_with(now, sender)
        elif isinstance(message, SyncWanted):
            self._anti_entropy.handle_wanted(sender, message)
        elif isinstance(message, SyncMembers):
            any_change = self._update_handler.merge_synced_members(now, message.members)
        if any_change:
            self._schedule_eager_syncs(now)

    def _sample(self, count: int) -> list[NodeId]:
        reachable = self._table.reachable()
        return self._random.sample(reachable, min(count, len(reachable)))

    def _gossip(self, now: float) -> None:
        if len(self._queue) == 0 or now < self._next_gossip_at:
            return
        self._next_gossip_at = now + self._settings.gossip_interval_seconds
        for node_id in self._sample(self._settings.gossip_fanout):
            if len(self._queue) > 0:
                self._send_gossip(node_id)

    def _send_gossip(self, node_id: NodeId) -> None:
        member = self._table.get(node_id)
        if member is not None:
            message = Gossip(sender=self.self_member.node_id)
            self._outbox.send(member.address, node_id, message)

    def _jittered(self, mean_seconds: float) -> float:
        return mean_seconds * self._random.uniform(0.5, 1.5)

    def _sync(self, now: float) -> None:
        if now < self._next_sync_at:
            return
        sync_peer, self._sync_peer = self._sync_peer, None
        interval = self._settings.sync_interval_seconds
        has_peer = sync_peer is not None or self._table.reachable_count > 0
        if self._eager_syncs_left > 0 and has_peer:
            interval = self._settings.sync_retry_seconds
            self._eager_syncs_left -= 1
        self._next_sync_at = now + self._jittered(interval)
        if sync_peer is not None:
            # NOTE: this peer has just sent a datagram, whereas all known members may be down.
            self._anti_entropy.start(sync_peer, None)
            return
        for node_id in self._sample(1):
            member = self._table.get(node_id)
            if member is not None:
                self._anti_entropy.start(member.address, node_id)

    def _schedule_eager_syncs(self, now: float) -> None:
        self._eager_syncs_left = EAGER_SYNCS
        due_at = now + self._jittered(self._settings.sync_retry_seconds)
        self._next_sync_at = min(self._next_sync_at, due_at)

    def _reconnect(self, now: float) -> None:
        """Contact a dead member or an unknown seed, to detect a healed partition."""
        if now < self._next_reconnect_at:
            return
        mean_seconds = self._settings.reconnect_interval_seconds
        if self._table.reachable_count == 0:
            # Without reachable members, retry more often.
            mean_seconds = self._settings.probe_interval_seconds
        self._next_reconnect_at = now + self._jittered(mean_seconds)
        targets: list[tuple[Address, NodeId | None]] = [
            (each.address, each.node_id) for each in self._table.dead()
        ]
        targets += [(seed, None) for seed in self._seeds if not self._is_known(seed)]
        if targets and self.self_member.is_reachable:
            address, node_id = self._random.choice(targets)
            self._anti_entropy.start(address, node_id)

    def _schedule_reconnect(self, now: float) -> None:
        """Schedule a reconnect after a dead member's return, as a partition may have healed."""
        due_at = now + self._jittered(self._settings.sync_retry_seconds)
        self._next_reconnect_at = min(self._next_reconnect_at, due_at)

    def _is_known(self, seed: Address) -> bool:
        return self._table.find_by_address(seed) is not None

    def _purge(self, now: float) -> None:
        if now < self._next_purge_at:
            return
        self._next_purge_at = now + PURGE_INTERVAL_SECONDS
        self._table.purge_before(
            now - self._settings.dead_retention_seconds,
            now - self._settings.left_retention_seconds,
        )
