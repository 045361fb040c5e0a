"""Direct and indirect probes (SWIM, sections 3.1 and 4.2; Lifeguard, section IV.A)."""

import math

from drumbay.comm.interface import Address
from drumbay.identifiers import NodeId
from drumbay.membership.local_health import LocalHealth
from drumbay.membership.member_table import MemberTable
from drumbay.membership.messages import Ack, IndirectPing, Nack, Ping
from drumbay.membership.outbox import Outbox
from drumbay.membership.probe_schedule import ProbeSchedule
from drumbay.membership.records import Member, MembershipSettings

HELPER_TIMEOUT_FRACTION = 0.8
"""Fraction of the probe timeout after which a helper sends a nack, so that it arrives in time."""


class _Probe:
    """The probe of the current period."""

    def __init__(self, sequence: int, target: Member, indirect_at: float, ends_at: float) -> None:
        self.sequence = sequence
        self.target = target
        self.indirect_at = indirect_at
        self.ends_at = ends_at
        self.acknowledged = False
        self.helper_count = 0
        self.helper_responses = 0


class _Relay:
    """A ping sent on behalf of another node."""

    def __init__(self, requester: Member, sequence: int, target: NodeId, ends_at: float) -> None:
        self.requester = requester
        self.sequence = sequence
        self.target = target
        self.ends_at = ends_at


class Prober:
    """Probes one member per period and relays pings for other nodes."""

    def __init__(
        self,
        table: MemberTable,
        schedule: ProbeSchedule,
        outbox: Outbox,
        health: LocalHealth,
        settings: MembershipSettings,
    ) -> None:
        """Create a prober; the first probe starts at the first tick."""
        self._table = table
        self._schedule = schedule
        self._outbox = outbox
        self._health = health
        self._settings = settings
        self._sequence = 0
        self._probe: _Probe | None = None
        self._next_probe_at = -math.inf
        self._relays: dict[int, _Relay] = {}

    @property
    def next_deadline(self) -> float:
        """Return when :meth:`tick` must run next."""
        deadline = self._next_probe_at
        if self._probe is not None and not self._probe.acknowledged:
            deadline = min(deadline, self._probe.indirect_at, self._probe.ends_at)
        for relay in self._relays.values():
            deadline = min(deadline, relay.ends_at)
        return deadline

    def tick(self, now: float) -> Member | None:
        """Advance the probe; return its target if the period ended without an acknowledgement."""
        self._expire_relays(now)
        unresponsive = self._advance_probe(now)
        if now >= self._next_probe_at:
            self._start_probe(now)
        return unresponsive

    def reset(self, now: float) -> None:
        """Discard the running probe and relays after a pause of this process."""
        self._probe = None
        self._relays.clear()
        self._next_probe_at = now

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _self_id(self) -> NodeId:
        return self._table.self_member.node_id

    def _timeout_seconds(self, target: Member) -> float:
        timeout = self._settings.probe_timeout_seconds * self._health.factor
        if self._schedule.is_remote(target):
            timeout *= self._settings.remote_timeout_factor
        return timeout

    def _start_probe(self, now: float) -> None:
        period = self._settings.probe_interval_seconds * self._health.factor
        self._next_probe_at = now + period
        target = self._schedule.next_target()
        if target is None:
            self._probe = None
            return
        sequence = self._next_sequence()
        # Leave at least half of the period for the indirect probes.
        timeout = min(self._timeout_seconds(target), period / 2)
        self._probe = _Probe(sequence, target, now + timeout, now + period)
        self._send_ping(sequence, target.node_id, target.address)

    def _send_ping(self, sequence: int, target: NodeId, address: Address) -> None:
        ping = Ping(sender=self._self_id(), sequence=sequence, target=target)
        self._outbox.send(address, target, ping)

    def _advance_probe(self, now: float) -> Member | None:
        probe = self._probe
        if probe is None or probe.acknowledged:
            return None
        if now >= probe.ends_at:
            self._probe = None
            if probe.helper_responses == 0:
                self._health.record_failure()
            return probe.target
        if now >= probe.indirect_at:
            probe.indirect_at = math.inf
            self._send_indirect_pings(probe)
        return None

    def _send_indirect_pings(self, probe: _Probe) -> None:
        for helper in self._schedule.helpers(probe.target):
            probe.helper_count += 1
            message = IndirectPing(
                sender=self._self_id(),
                sequence=probe.sequence,
                target=probe.target.node_id,
                target_address=probe.target.address,
            )
            self._outbox.send(helper.address, helper.node_id, message)

    def _expire_relays(self, now: float) -> None:
        for sequence, relay in list(self._relays.items()):
            if relay.ends_at <= now:
                del self._relays[sequence]
                nack = Nack(sender=self._self_id(), sequence=relay.sequence)
                self._outbox.send(relay.requester.address, relay.requester.node_id, nack)

    def handle_ping(self, sender: Address, ping: Ping) -> None:
        """Acknowledge a ping if this node is its target."""
        if ping.target != self._self_id():
            return
        ack = Ack(sender=self._self_id(), sequence=ping.sequence, target=self._self_id())
        self._outbox.send(sender, ping.sender, ack)

    def handle_indirect_ping(self, now: float, message: IndirectPing) -> None:
        """Ping a target on behalf of another node."""
        requester = self._table.get(message.sender)
        if requester is None:
            return
        sequence = self._next_sequence()
        timeout = self._settings.probe_timeout_seconds * HELPER_TIMEOUT_FRACTION
        self._relays[sequence] = _Relay(requester, message.sequence, message.target, now + timeout)
        self._send_ping(sequence, message.target, message.target_address)

    def handle_ack(self, ack: Ack) -> None:
        """Process an acknowledgement of this node's probe or of a relayed ping."""
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            if probe.target.node_id == ack.target and not probe.acknowledged:
                probe.acknowledged = True
                self._health.record_success()
            return
        relay = self._relays.get(ack.sequence)
        if relay is None or relay.target != ack.target:
            return
        del self._relays[ack.sequence]
        forwarded = Ack(sender=self._self_id(), sequence=relay.sequence, target=ack.target)
        self._outbox.send(relay.requester.address, relay.requester.node_id, forwarded)

    def handle_nack(self, nack: Nack) -> None:
        """Record a response of a helper whose ping was not acknowledged."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.helper_responses += 1
