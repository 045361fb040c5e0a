"""Measures the membership protocol with hollow nodes on virtual time.

Times and bytes are virtual and repeat exactly for one seed. Processor time is real: it covers
state machine, encoding, authentication and the event queue itself, so it is an upper bound.
"""

import statistics
import time
from collections.abc import Callable

import msgspec

from drumbay.identifiers import NodeId
from drumbay.membership.hollow import HollowCluster, HollowNode
from drumbay.membership.records import Member, MemberChange, MemberChangeKind, MemberState

SETTLE_SECONDS = 20.0
STEADY_SECONDS = 30.0
LIMIT_SECONDS = 180.0
KILLED_NODES = 5
RACK_SHARE = 0.05
MIN_RACK_NODES = 2
FREEZE_SECONDS = 60.0
CUT_SECONDS = 300.0
LOSS_RATE = 0.01
LOSS_SECONDS = 60.0
SECONDS_PER_HOUR = 3600.0


class MembershipMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one cluster size. ``None``: did not happen within the limit.

    Attributes:
        node_count: Nodes in the cluster.
        join_seconds: From the start of all nodes until each knows all.
        steady_bytes_per_second: Bytes sent per node, IP and UDP headers included.
        steady_datagrams_per_second: Datagrams sent per node.
        cpu_milliseconds_per_second: Processor time per node and simulated second, steady.
        first_detection_seconds: Median time from a kill to the first declared death.
        detection_seconds: Median time from a kill until all nodes hold it for dead.
        restart_seconds: Time from a restart until all nodes know the new boot.
        rack_nodes: Nodes lost at once.
        rack_detection_seconds: Until all running nodes hold the whole rack for dead.
        freeze_detection_seconds: Until all hold a frozen node for dead.
        freeze_return_seconds: From its waking until all hold it for alive again.
        cut_detection_seconds: Until each side of a region cut holds the other for dead.
        cut_peak_bytes_per_second: Largest mean bytes per node in one second of the cut.
        heal_seconds: From the end of the cut until every node holds all for alive.
        heal_peak_bytes_per_second: Largest mean bytes per node in one second of the healing.
        false_suspicions_steady: Distinct suspicions of running nodes, steady and settling.
        false_suspicions_loss: The same in a minute of 1 % datagram loss.
        false_deaths: Running, reachable nodes declared dead, over all scenarios.
        largest_datagram_bytes: Largest frame of the whole run.
    """

    node_count: int
    join_seconds: float | None
    steady_bytes_per_second: float
    steady_datagrams_per_second: float
    cpu_milliseconds_per_second: float
    first_detection_seconds: float | None
    detection_seconds: float | None
    restart_seconds: float | None
    rack_nodes: int
    rack_detection_seconds: float | None
    freeze_detection_seconds: float | None
    freeze_return_seconds: float | None
    cut_detection_seconds: float | None
    cut_peak_bytes_per_second: float
    heal_seconds: float | None
    heal_peak_bytes_per_second: float
    false_suspicions_steady: int
    false_suspicions_loss: int
    false_deaths: int
    largest_datagram_bytes: int


class MembershipBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of several cluster sizes.

    Attributes:
        seed: Seed of every cluster.
        measurements: One per size, in the order asked for.
        bytes_slope: Growth of steady bytes per second and node, per further node.
        cpu_slope: Growth of processor milliseconds per second and node, per further node.
    """

    seed: int
    measurements: tuple[MembershipMeasurement, ...]
    bytes_slope: float
    cpu_slope: float


class _Watcher:
    """Collects what nodes report, and tells false accusations from true ones."""

    def __init__(self, cluster: HollowCluster) -> None:
        self._cluster = cluster
        self._index = {node.member.node_id: i for i, node in enumerate(cluster.nodes)}
        self.false_suspicions: dict[tuple[NodeId, int], None] = {}
        self.false_deaths: dict[tuple[NodeId, int], None] = {}
        self.first_death_at: dict[NodeId, float] = {}
        cluster.observers.append(self._observe)

    def _observe(self, now: float, observer: NodeId, change: MemberChange) -> None:
        subject = change.member.node_id
        key = (subject, change.member.incarnation)
        if change.kind is MemberChangeKind.DIED:
            self.first_death_at.setdefault(subject, now)
            if self._is_well(observer, change.member):
                self.false_deaths[key] = None
        if change.kind is MemberChangeKind.SUSPECTED and self._is_well(observer, change.member):
            self.false_suspicions[key] = None

    def _is_well(self, observer: NodeId, subject: Member) -> bool:
        """Return whether this boot of the subject runs and its datagrams reach the observer."""
        watched = self._cluster.nodes[self._index[subject.node_id]]
        watcher = self._cluster.nodes[self._index[observer]]
        if watched.member.boot_id != subject.boot_id:
            return False
        if not watched.is_up or watched.frozen_until > self._cluster.now:
            return False
        return not self._cluster.is_cut(watched.member, watcher.member)


class _MembershipBench:
    """Runs the scenarios one after the other on one cluster."""

    def __init__(self, node_count: int, seed: int) -> None:
        self._cluster = HollowCluster(node_count, seed=seed)
        self._watcher = _Watcher(self._cluster)

    def run(self) -> MembershipMeasurement:
        cluster = self._cluster
        join_seconds = cluster.run_until(self._all_know_all, LIMIT_SECONDS)
        cluster.run_for(SETTLE_SECONDS)
        sent_bytes, sent_datagrams = self._sent()
        cpu_started = time.process_time()
        cluster.run_for(STEADY_SECONDS)
        cpu_seconds = time.process_time() - cpu_started
        node_seconds = STEADY_SECONDS * len(cluster.nodes)
        steady_bytes, steady_datagrams = self._sent()
        first_detection, detection, restart = self._measure_kills()
        rack, rack_detection = self._measure_rack()
        freeze_detection, freeze_return = self._measure_freeze()
        false_steady = len(self._watcher.false_suspicions)
        false_loss = self._measure_loss()
        cut_detection, cut_peak, heal, heal_peak = self._measure_cut()
        return MembershipMeasurement(
            node_count=len(cluster.nodes),
            join_seconds=join_seconds,
            steady_bytes_per_second=(steady_bytes - sent_bytes) / node_seconds,
            steady_datagrams_per_second=(steady_datagrams - sent_datagrams) / node_seconds,
            cpu_milliseconds_per_second=1000 * cpu_seconds / node_seconds,
            first_detection_seconds=first_detection,
            detection_seconds=detection,
            restart_seconds=restart,
            rack_nodes=len(rack),
            rack_detection_seconds=rack_detection,
            freeze_detection_seconds=freeze_detection,
            freeze_return_seconds=freeze_return,
            cut_detection_seconds=cut_detection,
            cut_peak_bytes_per_second=cut_peak,
            heal_seconds=heal,
            heal_peak_bytes_per_second=heal_peak,
            false_suspicions_steady=false_steady,
            false_suspicions_loss=false_loss,
            false_deaths=len(self._watcher.false_deaths),
            largest_datagram_bytes=max(each.largest_datagram_bytes for each in cluster.nodes),
        )

    def _sent(self) -> tuple[int, int]:
        nodes = self._cluster.nodes
        return sum(each.sent_bytes for each in nodes), sum(each.sent_datagrams for each in nodes)

    def _all_know_all(self) -> bool:
        expected = len(self._cluster.nodes) - 1
        return all(each.swim.reachable_count == expected for each in self._cluster.nodes)

    def _all_hold(self, observers: list[HollowNode], subject: Member, state: MemberState) -> bool:
        for observer in observers:
            known = observer.swim.member(subject.node_id)
            if known is None or known.state is not state:
                return False
        return True

    def _all_dead(self, indexes: list[int]) -> bool:
        running = self._cluster.running()
        members = [self._cluster.nodes[index].member for index in indexes]
        return all(self._all_hold(running, each, MemberState.DEAD) for each in members)

    def _all_know_boot(self, index: int) -> bool:
        member = self._cluster.nodes[index].member
        for observer in self._cluster.running():
            known = observer.swim.member(member.node_id)
            if known is None or known.boot_id != member.boot_id or not known.is_reachable:
                return False
        return True

    def _measure_kills(self) -> tuple[float | None, float | None, float | None]:
        first: list[float] = []
        everywhere: list[float] = []
        restarts: list[float] = []
        count = len(self._cluster.nodes)
        for number in range(KILLED_NODES):
            index = (number * count) // KILLED_NODES
            node_id = self._cluster.nodes[index].member.node_id
            self._watcher.first_death_at.pop(node_id, None)
            killed_at = self._cluster.now
            self._cluster.kill(index)
            took = self._cluster.run_until(lambda each=index: self._all_dead([each]), LIMIT_SECONDS)  # type: ignore[misc]
            if took is not None:
                first.append(self._watcher.first_death_at[node_id] - killed_at)
                everywhere.append(took)
            self._cluster.restart(index)
            took = self._cluster.run_until(
                lambda each=index: self._all_know_boot(each),  # type: ignore[misc]
                LIMIT_SECONDS,
            )
            if took is not None:
                restarts.append(took)
        return _median(first), _median(everywhere), _median(restarts)

    def _measure_rack(self) -> tuple[list[int], float | None]:
        nodes = self._cluster.nodes
        size = max(MIN_RACK_NODES, round(len(nodes) * RACK_SHARE))
        zone = nodes[0].member.zone
        rack = [i for i, node in enumerate(nodes) if node.member.zone == zone][:size]
        for index in rack:
            self._cluster.kill(index)
        took = self._cluster.run_until(lambda: self._all_dead(rack), LIMIT_SECONDS)
        for index in rack:
            self._cluster.restart(index)
        self._cluster.run_until(self._all_know_all, LIMIT_SECONDS)
        self._cluster.run_for(SETTLE_SECONDS)
        return rack, took

    def _measure_freeze(self) -> tuple[float | None, float | None]:
        index = len(self._cluster.nodes) // 2
        frozen_at = self._cluster.now
        self._cluster.freeze(index, FREEZE_SECONDS)
        detection = self._cluster.run_until(lambda: self._all_dead([index]), FREEZE_SECONDS - 1.0)
        self._cluster.run_for(frozen_at + FREEZE_SECONDS - self._cluster.now)
        returned = self._cluster.run_until(self._all_know_all, LIMIT_SECONDS)
        self._cluster.run_for(SETTLE_SECONDS)
        return detection, returned

    def _measure_loss(self) -> int:
        before = len(self._watcher.false_suspicions)
        self._cluster.loss_rate = LOSS_RATE
        self._cluster.run_for(LOSS_SECONDS)
        self._cluster.loss_rate = 0.0
        count = len(self._watcher.false_suspicions) - before
        self._cluster.run_for(SETTLE_SECONDS)
        return count

    def _measure_cut(self) -> tuple[float | None, float, float | None, float]:
        cut_at = self._cluster.now
        self._cluster.is_cut = lambda sender, receiver: sender.region != receiver.region
        detection, cut_peak = self._watch(self._sides_are_apart)
        self._cluster.run_for(cut_at + CUT_SECONDS - self._cluster.now)
        self._cluster.is_cut = lambda sender, receiver: False
        heal, heal_peak = self._watch(self._all_hold_all_alive)
        return detection, cut_peak, heal, heal_peak

    def _watch(self, condition: Callable[[], bool]) -> tuple[float | None, float]:
        """Run until a condition holds; return the seconds and the peak of bytes per second."""
        started = self._cluster.now
        peak = 0.0
        while self._cluster.now - started < LIMIT_SECONDS:
            before, _ = self._sent()
            took = self._cluster.run_until(condition, 1.0)
            after, _ = self._sent()
            peak = max(peak, (after - before) / len(self._cluster.nodes))
            if took is not None:
                return self._cluster.now - started, peak
        return None, peak

    def _all_hold_all_alive(self) -> bool:
        count = len(self._cluster.nodes)
        return all(each.swim.alive_count == count for each in self._cluster.nodes)

    def _sides_are_apart(self) -> bool:
        regions: dict[str, int] = {}
        for node in self._cluster.nodes:
            regions[node.member.region] = regions.get(node.member.region, 0) + 1
        return all(
            node.swim.reachable_count == regions[node.member.region] - 1
            for node in self._cluster.nodes
        )


def _median(values: list[float]) -> float | None:
    return statistics.median(values) if values else None


def _slope(points: list[tuple[float, float]]) -> float:
    """Return the least-squares slope; 0 for fewer than two sizes."""
    if len(points) < 2:
        return 0.0
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def run_membership_bench(node_counts: tuple[int, ...], seed: int) -> MembershipBenchReport:
    """Measure clusters of the given sizes and return their figures and slopes."""
    measurements = tuple(_MembershipBench(count, seed).run() for count in node_counts)
    return MembershipBenchReport(
        seed=seed,
        measurements=measurements,
        bytes_slope=_slope([(m.node_count, m.steady_bytes_per_second) for m in measurements]),
        cpu_slope=_slope([(m.node_count, m.cpu_milliseconds_per_second) for m in measurements]),
    )
