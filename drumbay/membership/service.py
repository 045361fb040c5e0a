"""Membership service: runs the SWIM state machine on a clock and a transport."""

import random
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport
from drumbay.exceptions import ConfigurationError
from drumbay.identifiers import BootId, NodeId
from drumbay.membership.messages import (
    Ack,
    Gossip,
    IndirectPing,
    MembershipDatagram,
    Nack,
    Ping,
    SyncMembers,
    SyncRequest,
    SyncUpdates,
    SyncWanted,
)
from drumbay.membership.records import (
    Member,
    MemberChange,
    MemberChangeKind,
    MembershipSettings,
)
from drumbay.membership.swim import Output, Swim
from drumbay.membership.wake_timer import WakeTimer
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

MAX_RECORD_BYTES = 300
LEAVE_LINGER_SECONDS = 2.0

DATAGRAM_TYPES: tuple[type[Message], ...] = (
    Ping,
    Ack,
    IndirectPing,
    Nack,
    Gossip,
    SyncRequest,
    SyncUpdates,
    SyncWanted,
    SyncMembers,
)

ChangeListener = Callable[[MemberChange], None]


class MemberRecordTooLargeError(ConfigurationError):
    """The names and labels of the node are too long for membership datagrams."""

    code = "member_record_too_large"


class MembershipNotStartedError(ConfigurationError):
    """The service was used before it was started."""

    code = "membership_not_started"


class MembershipConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A node's own record and the seeds through which it joins.

    Attributes:
        node_id: Name of the node; stable across restarts.
        boot_id: Identifies this run of the process.
        zone: Failure domain within the region.
        region: Group of zones with short delays between them.
        labels: Properties of the node.
        seeds: Addresses of some nodes of the cluster; may include the node itself.
        settings: Timing and fan-out.
    """

    node_id: NodeId
    boot_id: BootId
    zone: str
    region: str
    labels: dict[str, str] = {}
    seeds: tuple[Address, ...] = ()
    settings: MembershipSettings = MembershipSettings()


class MembershipService:
    """Runs the membership protocol on this node; closing the task owner stops it."""

    def __init__(
        self,
        clock: Clock,
        transport: Transport,
        configuration: MembershipConfiguration,
        rng: random.Random,
        task_owner: TaskOwner,
    ) -> None:
        """Create a service; :meth:`start` starts it."""
        self._clock = clock
        self._transport = transport
        self._configuration = configuration
        self._random = rng
        self._task_owner = task_owner
        self._listeners: list[ChangeListener] = []
        self._started_swim: Swim | None = None
        self._timer = WakeTimer(clock)
        self._application_revision = 0

    @property
    def self_member(self) -> Member:
        """Return this node as it announces itself."""
        return self._swim.self_member

    @property
    def local_health(self) -> int:
        """Return the local health score; 0 is healthy."""
        return self._swim.local_health

    def members(self) -> tuple[Member, ...]:
        """Return every known member in any state, this node included."""
        return self._swim.members()

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Call ``listener`` with every change; it must not block."""
        self._listeners.append(listener)

    def set_application_revision(self, revision: int) -> None:
        """Set the application's revision, which every datagram announces."""
        self._application_revision = revision
        if self._started_swim is not None:
            self._started_swim.set_application_revision(revision)

    def start(self) -> None:
        """Join the cluster; the transport must be listening, so that its address is known.

        Raises:
            MemberRecordTooLargeError: Names and labels are too long.
        """
        configuration = self._configuration
        member = Member(
            node_id=configuration.node_id,
            address=self._transport.address,
            zone=configuration.zone,
            region=configuration.region,
            boot_id=configuration.boot_id,
            labels=configuration.labels,
            application_revision=self._application_revision,
        )
        size_bytes = len(msgspec.msgpack.encode(member))
        if size_bytes > MAX_RECORD_BYTES:
            raise MemberRecordTooLargeError(
                f"{size_bytes} bytes of names and labels, limit {MAX_RECORD_BYTES}"
            )
        self._started_swim = Swim(member, configuration.seeds, configuration.settings, self._random)
        for message_type in DATAGRAM_TYPES:
            self._transport.handle_datagrams(message_type, self._handle_datagram)
        self._task_owner.spawn(self._run(), name="membership")

    async def leave(self) -> None:
        """Announce that this node leaves and wait until the update has spread.

        Stop the transport afterwards; until then the node still acknowledges probes.
        """
        output = self._swim.leave(self._clock.monotonic())
        self._handle_output(output)
        self._timer.wake_before(output.next_tick_at)
        await self._clock.sleep(LEAVE_LINGER_SECONDS)

    @property
    def _swim(self) -> Swim:
        if self._started_swim is None:
            raise MembershipNotStartedError("start the membership service first")
        return self._started_swim

    async def _run(self) -> None:
        while True:
            output = self._swim.tick(self._clock.monotonic())
            self._handle_output(output)
            await self._timer.wait_until(output.next_tick_at)

    def _handle_datagram(self, sender: Address, message: MembershipDatagram) -> None:
        output = self._swim.receive(self._clock.monotonic(), sender, message)
        self._handle_output(output)
        self._timer.wake_before(output.next_tick_at)

    def _handle_output(self, output: Output) -> None:
        for datagram in output.datagrams:
            self._transport.send_datagram(datagram.address, datagram.message)
        for change in output.changes:
            self._notify_listeners(change)

    def _notify_listeners(self, change: MemberChange) -> None:
        is_conflict = change.kind is MemberChangeKind.IDENTITY_CONFLICT
        log_event(
            "member_changed",
            level="WARNING" if is_conflict else "INFO",
            change=change.kind.value,
            member=change.member.node_id,
            boot=change.member.boot_id,
            incarnation=change.member.incarnation,
            state=change.member.state.name.lower(),
        )
        for listener in self._listeners:
            try:
                listener(change)
            except Exception as error:
                # An exception in a listener must not stop failure detection.
                log_event(
                    "member_listener_failed",
                    level="ERROR",
                    error=type(error).__name__,
                    detail=str(error),
                )
