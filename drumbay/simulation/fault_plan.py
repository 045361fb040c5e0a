"""Draws random fault plans: single, concurrent and repeated faults."""

from collections.abc import Callable
from random import Random

import msgspec

from drumbay.simulation.faults import (
    DEFAULT_KINDS,
    AnyFault,
    CompactKeyValue,
    CrashBackend,
    CutPath,
    DegradeNetwork,
    DelayMachineList,
    DisturbAnswers,
    DisturbKeyValue,
    FailSwaps,
    FaultKind,
    FaultPlan,
    FillDisk,
    FreezeHost,
    JumpClock,
    KeyValueCondition,
    KillHost,
    LoseDisk,
    SlowDisks,
)
from drumbay.simulation.network import Cut, Scope
from drumbay.standins.faults import FaultKind as BackendFaultKind

CONCURRENT_PROBABILITY = 0.3
"""Probability that further faults begin within :data:`CONCURRENT_SPREAD_SECONDS`."""

REPEAT_PROBABILITY = 0.2
"""Probability that a fault is repeated during or shortly after the first one."""

MAX_CONCURRENT_FAULTS = 3
CONCURRENT_SPREAD_SECONDS = 2.0
REPEAT_SPREAD_DURATIONS = 1.5
"""Window for the start of the repetition, in durations of the first fault."""


class FaultTargets(msgspec.Struct, frozen=True, kw_only=True):
    """Names of possible fault targets, in a fixed order."""

    hosts: tuple[str, ...]
    hosts_with_disk: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()
    engines: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()


MAX_COMMIT_SECONDS = 4.0


class FaultSchedule(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Frequency and duration of faults.

    Attributes:
        kinds: Kinds that are drawn.
        mean_interval_seconds: Mean time between arrivals.
        first_seconds: Fault-free time at the start.
        quiet_seconds: Fault-free time at the end.
        longest_freeze_seconds: Longest freeze; should exceed every lease.
        longest_outage_seconds: Longest key-value outage or network cut.
        disk_repair_seconds: Minimum time between disk losses of different hosts, so that
            replicas are restored before a majority of the disks is lost.
    """

    kinds: tuple[FaultKind, ...] = DEFAULT_KINDS
    mean_interval_seconds: float = 30.0
    first_seconds: float = 30.0
    quiet_seconds: float = 120.0
    longest_freeze_seconds: float = 60.0
    longest_outage_seconds: float = 120.0
    disk_repair_seconds: float = 120.0


def draw_fault_plan(
    random: Random, targets: FaultTargets, schedule: FaultSchedule, run_seconds: float
) -> FaultPlan:
    """Draw the faults of one run; all end before the fault-free time at its end."""
    sampler = _FaultSampler(random, targets, schedule)
    faults_end_at = run_seconds - schedule.quiet_seconds
    faults: list[AnyFault] = []
    kinds = sampler.possible_kinds()
    now = schedule.first_seconds
    while kinds and now < faults_end_at:
        faults += sampler.draw_arrival(kinds, now)
        now += random.expovariate(1.0 / schedule.mean_interval_seconds)
    truncated = [
        _truncate(fault, faults_end_at) for fault in faults if fault.at_seconds < faults_end_at
    ]
    truncated.sort(key=lambda fault: fault.at_seconds)
    return FaultPlan(faults=_limit_disk_losses(truncated, schedule.disk_repair_seconds))


def _limit_disk_losses(faults: list[AnyFault], repair_seconds: float) -> tuple[AnyFault, ...]:
    """Drop disk losses that follow the loss of another host's disk too closely."""
    kept: list[AnyFault] = []
    last: LoseDisk | None = None
    for fault in faults:
        if isinstance(fault, LoseDisk):
            if last is not None and fault.host != last.host:
                repaired_at = last.at_seconds + last.duration_seconds + repair_seconds
                if fault.at_seconds < repaired_at:
                    continue
            last = fault
        kept.append(fault)
    return tuple(kept)


def _truncate(fault: AnyFault, end_seconds: float) -> AnyFault:
    duration = min(fault.duration_seconds, end_seconds - fault.at_seconds)
    return msgspec.structs.replace(fault, duration_seconds=duration)


class _FaultSampler:
    """Draws single faults and groups of faults."""

    def __init__(self, random: Random, targets: FaultTargets, schedule: FaultSchedule) -> None:
        self._random = random
        self._targets = targets
        self._schedule = schedule
        self._draws: dict[FaultKind, Callable[[float], AnyFault]] = {
            FaultKind.KILL: self._draw_kill,
            FaultKind.FREEZE: self._draw_freeze,
            FaultKind.CUT: self._draw_cut,
            FaultKind.BAD_NETWORK: self._draw_bad_network,
            FaultKind.KEY_VALUE: self._draw_key_value,
            FaultKind.COMPACTION: lambda at: CompactKeyValue(at_seconds=at),
            FaultKind.ENGINE_CRASH: self._draw_engine_crash,
            FaultKind.SWAP_FAILURE: self._draw_swap_failure,
            FaultKind.APPLICATION_CRASH: self._draw_application_crash,
            FaultKind.ANSWERS: self._draw_answers,
            FaultKind.MACHINE_LIST_LAG: self._draw_machine_list_lag,
            FaultKind.CLOCK: self._draw_clock,
            FaultKind.DISK: self._draw_disk,
            FaultKind.BUSY_DISKS: self._draw_busy_disks,
        }

    def possible_kinds(self) -> tuple[FaultKind, ...]:
        """Return the scheduled kinds that have at least one target."""
        targets = self._targets
        required_targets = {
            FaultKind.KILL: targets.hosts,
            FaultKind.FREEZE: targets.hosts,
            FaultKind.CLOCK: targets.hosts,
            FaultKind.CUT: targets.hosts[1:],
            FaultKind.DISK: targets.hosts_with_disk,
            FaultKind.BUSY_DISKS: targets.hosts_with_disk,
            FaultKind.ENGINE_CRASH: targets.engines,
            FaultKind.SWAP_FAILURE: targets.engines,
            FaultKind.APPLICATION_CRASH: targets.applications,
            FaultKind.ANSWERS: targets.engines + targets.applications,
        }
        return tuple(
            kind for kind in self._schedule.kinds if required_targets.get(kind, ("always",))
        )

    def draw_arrival(self, kinds: tuple[FaultKind, ...], at: float) -> list[AnyFault]:
        """Draw a single fault, several concurrent ones, or a repeated one."""
        first = self._draw(kinds, at)
        draw = self._random.random()
        if draw < CONCURRENT_PROBABILITY:
            further_count = self._random.randint(1, MAX_CONCURRENT_FAULTS - 1)
            spread = CONCURRENT_SPREAD_SECONDS
            start_times = [at + self._random.uniform(0.0, spread) for _ in range(further_count)]
            return [first, *(self._draw(kinds, time) for time in start_times)]
        if draw < CONCURRENT_PROBABILITY + REPEAT_PROBABILITY:
            span = max(1.0, first.duration_seconds) * REPEAT_SPREAD_DURATIONS
            repeated_at = at + self._random.uniform(0.0, span)
            return [first, msgspec.structs.replace(first, at_seconds=repeated_at)]
        return [first]

    def _draw(self, kinds: tuple[FaultKind, ...], at: float) -> AnyFault:
        return self._draws[self._random.choice(kinds)](at)

    def _draw_kill(self, at: float) -> AnyFault:
        host = self._random.choice(self._targets.hosts)
        duration = self._random.uniform(0.5, 30.0)
        return KillHost(at_seconds=at, duration_seconds=duration, host=host)

    def _draw_freeze(self, at: float) -> AnyFault:
        host = self._random.choice(self._targets.hosts)
        duration = self._random.uniform(0.5, self._schedule.longest_freeze_seconds)
        return FreezeHost(at_seconds=at, duration_seconds=duration, host=host)

    def _draw_cut(self, at: float) -> AnyFault:
        duration = self._random.uniform(1.0, self._schedule.longest_outage_seconds)
        both_ways = self._random.random() < 0.5
        cut = self._draw_path()
        return CutPath(at_seconds=at, duration_seconds=duration, cut=cut, both_ways=both_ways)

    def _draw_path(self) -> Cut:
        names_by_scope = {
            Scope.HOST: self._targets.hosts,
            Scope.ZONE: self._targets.zones,
            Scope.REGION: self._targets.regions,
        }
        scopes = [scope for scope, names in names_by_scope.items() if len(names) > 1]
        scope = self._random.choice(scopes)
        source, target = self._random.sample(names_by_scope[scope], 2)
        return Cut(scope=scope, source=source, target=target)

    def _draw_bad_network(self, at: float) -> AnyFault:
        return DegradeNetwork(
            at_seconds=at,
            duration_seconds=self._random.uniform(5.0, 60.0),
            delay_factor=self._random.uniform(1.0, 50.0),
            loss_probability=self._random.uniform(0.0, 0.3),
            duplicate_probability=self._random.uniform(0.0, 0.2),
            reorder_probability=self._random.uniform(0.0, 0.3),
        )

    def _draw_key_value(self, at: float) -> AnyFault:
        duration = self._random.uniform(2.0, self._schedule.longest_outage_seconds)
        condition = self._random.choice(tuple(KeyValueCondition))
        return DisturbKeyValue(at_seconds=at, duration_seconds=duration, condition=condition)

    def _draw_engine_crash(self, at: float) -> AnyFault:
        backend = self._random.choice(self._targets.engines)
        duration = self._random.uniform(1.0, 60.0)
        return CrashBackend(at_seconds=at, duration_seconds=duration, backend=backend)

    def _draw_application_crash(self, at: float) -> AnyFault:
        backend = self._random.choice(self._targets.applications)
        duration = self._random.uniform(1.0, 30.0)
        return CrashBackend(at_seconds=at, duration_seconds=duration, backend=backend)

    def _draw_swap_failure(self, at: float) -> AnyFault:
        return FailSwaps(
            at_seconds=at,
            duration_seconds=self._random.uniform(10.0, 60.0),
            backend=self._random.choice(self._targets.engines),
            count=self._random.randint(1, 2),
            acknowledged=self._random.random() < 0.7,
        )

    def _draw_answers(self, at: float) -> AnyFault:
        kinds = (
            BackendFaultKind.CROSSED_ANSWER,
            BackendFaultKind.TRUNCATED_ANSWER,
            BackendFaultKind.LATE_ANSWER,
        )
        backends = self._targets.engines + self._targets.applications
        return DisturbAnswers(
            at_seconds=at,
            duration_seconds=self._random.uniform(10.0, 60.0),
            backend=self._random.choice(backends),
            disturbance=self._random.choice(kinds),
            count=self._random.randint(1, 5),
        )

    def _draw_machine_list_lag(self, at: float) -> AnyFault:
        duration = self._random.uniform(10.0, 60.0)
        lag = self._random.uniform(5.0, 30.0)
        return DelayMachineList(at_seconds=at, duration_seconds=duration, lag_seconds=lag)

    def _draw_clock(self, at: float) -> AnyFault:
        host = self._random.choice(self._targets.hosts)
        jump = self._random.choice((-1.0, 1.0)) * self._random.uniform(1.0, 3600.0)
        return JumpClock(at_seconds=at, host=host, jump_seconds=jump)

    def _draw_disk(self, at: float) -> AnyFault:
        host = self._random.choice(self._targets.hosts_with_disk)
        duration = self._random.uniform(5.0, 60.0)
        if self._random.random() < 0.5:
            return FillDisk(at_seconds=at, duration_seconds=duration, host=host)
        return LoseDisk(at_seconds=at, duration_seconds=duration, host=host)

    def _draw_busy_disks(self, at: float) -> AnyFault:
        hosts = self._targets.hosts_with_disk
        if self._random.random() < 0.5:
            hosts = (self._random.choice(hosts),)
        return SlowDisks(
            at_seconds=at,
            duration_seconds=self._random.uniform(5.0, 60.0),
            hosts=hosts,
            commit_seconds=self._random.uniform(0.5, MAX_COMMIT_SECONDS),
        )
