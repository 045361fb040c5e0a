"""Scenario files in TOML: a deployment with its load and faults."""

from enum import StrEnum
from importlib import resources
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from drumbay.resources.schema import Name, RolloutObjective
from drumbay.settings import SettingsError, split_validation_error
from drumbay.simulation.checkers import Limits
from drumbay.simulation.fault_plan import FaultSchedule

PositiveInteger = Annotated[int, Meta(ge=1)]
NonNegativeInteger = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]

_UNKNOWN_FIELD = "Object contains unknown field `"
_SCENARIO_SUFFIX = ".toml"


class ScenarioError(SettingsError):
    """A scenario file is not valid; names the file, the key and the expected value."""

    code = "invalid_scenario"


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of sections; rejects unknown keys."""


class ZoneSection(_Section, frozen=True, kw_only=True):
    """One availability zone.

    Attributes:
        name: Name of the zone.
        region: Region of the zone.
        nodes: Drumbay nodes in the zone.
        disks: Number of nodes with a data folder.
    """

    name: Name
    region: Name
    nodes: PositiveInteger
    disks: NonNegativeInteger = 0


class PoolKind(StrEnum):
    """Kind of the workers of a pool."""

    ENGINE = "engine"
    APPLICATION = "application"


class PoolSection(_Section, frozen=True, kw_only=True):
    """Back ends of one kind, assigned to the zones round robin.

    Attributes:
        name: Name of the back end group.
        kind: Kind of the workers.
        workers: Number of workers.
        model: Model that engines serve; empty for applications.
    """

    name: Name
    kind: PoolKind
    workers: PositiveInteger
    model: str = ""


class TrainerSection(_Section, frozen=True, kw_only=True):
    """One trainer and the rollouts it requests.

    Attributes:
        stream: Name of its sample stream.
        model: Model that it trains.
        samples_per_step: Samples per training step.
        step_seconds: Duration of a step once its samples have arrived.
        max_tokens: Maximum tokens of a sample.
        max_staleness_versions: Maximum staleness of a sample, in versions.
        objective: Objective of the rollout scheduling.
    """

    stream: Name
    model: str
    samples_per_step: PositiveInteger
    step_seconds: PositiveFloat
    max_tokens: PositiveInteger = 512
    max_staleness_versions: NonNegativeInteger = 1
    objective: RolloutObjective = RolloutObjective.IDLE_TIME


class LoadSection(_Section, frozen=True, kw_only=True):
    """Live traffic and maintenance; rates apply to the whole deployment.

    Attributes:
        completions_per_second: Live completion requests.
        completion_tokens: Maximum tokens of a live completion.
        lookups_per_second: Idempotent application requests.
        bookings_per_second: At-most-once application requests.
        burst_factor: Rate within a burst relative to the rate outside bursts.
        burst_interval_seconds: Mean time between bursts.
        burst_seconds: Length of a burst.
        retry_probability: Probability that a caller retries when the outcome is unknown.
        operators: Number of operators that change the same resources.
        change_interval_seconds: Mean time between the changes of one operator.
        stop_interval_seconds: Mean time between graceful restarts of nodes.
        leave_interval_seconds: Mean time between planned restarts of back ends.
    """

    completions_per_second: NonNegativeFloat = 0.0
    completion_tokens: PositiveInteger = 64
    lookups_per_second: NonNegativeFloat = 0.0
    bookings_per_second: NonNegativeFloat = 0.0
    burst_factor: PositiveFloat = 5.0
    burst_interval_seconds: PositiveFloat = 120.0
    burst_seconds: PositiveFloat = 5.0
    retry_probability: Annotated[float, Meta(ge=0, le=1)] = 0.7
    operators: NonNegativeInteger = 2
    change_interval_seconds: PositiveFloat = 20.0
    stop_interval_seconds: PositiveFloat = 180.0
    leave_interval_seconds: PositiveFloat = 120.0


class NetworkSection(_Section, frozen=True, kw_only=True):
    """One-way delays without faults.

    Attributes:
        same_zone_seconds: Within a zone.
        same_region_seconds: Between zones of one region.
        between_regions_seconds: Between regions.
        client_seconds: Between callers and nodes.
    """

    same_zone_seconds: NonNegativeFloat = 0.0002
    same_region_seconds: NonNegativeFloat = 0.0005
    between_regions_seconds: NonNegativeFloat = 0.02
    client_seconds: NonNegativeFloat = 0.003


class Scenario(_Section, frozen=True, kw_only=True):
    """One scenario.

    Attributes:
        name: Name of the scenario.
        description: One-line description.
        duration_seconds: Virtual length of a run, including the fault-free time at the end.
        zones: Zones with their nodes.
        pools: Pools of back ends.
        trainers: Trainers.
        load: Live traffic and maintenance.
        network: Network delays.
        faults: Kinds and frequency of faults.
        limits: Bounds for the checkers.
    """

    name: Name
    description: str
    duration_seconds: PositiveFloat
    zones: Annotated[tuple[ZoneSection, ...], Meta(min_length=1)]
    pools: tuple[PoolSection, ...] = ()
    trainers: tuple[TrainerSection, ...] = ()
    load: LoadSection = LoadSection()
    network: NetworkSection = NetworkSection()
    faults: FaultSchedule = FaultSchedule()
    limits: Limits = Limits()


def load_scenario(file: Path) -> Scenario:
    """Read and validate a scenario file.

    Raises:
        ScenarioError: The file cannot be read, or a value is not valid.
    """
    try:
        raw = msgspec.toml.decode(file.read_bytes())
    except OSError as error:
        raise ScenarioError(file, "", f"a readable file ({error.strerror})") from error
    except msgspec.DecodeError as error:
        raise ScenarioError(file, "", f"TOML ({error})") from error
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise _scenario_error(file, error) from error
    _check_consistent(file, scenario)
    return scenario


def _scenario_error(file: Path, error: msgspec.ValidationError) -> ScenarioError:
    expected, key = split_validation_error(error)
    if not expected.startswith(_UNKNOWN_FIELD):
        return ScenarioError(file, key, expected)
    unknown = expected.removeprefix(_UNKNOWN_FIELD).rstrip("`")
    path = f"{key}.{unknown}" if key else unknown
    return ScenarioError(file, path, "a known key; docs/operations/simulate.md lists them")


def _check_consistent(file: Path, scenario: Scenario) -> None:
    models = {pool.model for pool in scenario.pools if pool.kind is PoolKind.ENGINE}
    for index, trainer in enumerate(scenario.trainers):
        if trainer.model not in models:
            expected = f"the model of an engine pool, not {trainer.model!r}"
            raise ScenarioError(file, f"trainers[{index}].model", expected)
    for index, zone in enumerate(scenario.zones):
        if zone.disks > zone.nodes:
            raise ScenarioError(file, f"zones[{index}].disks", "at most one disk a node")
    if scenario.faults.first_seconds + scenario.faults.quiet_seconds > scenario.duration_seconds:
        raise ScenarioError(file, "duration_seconds", "more than the times without faults")


def shipped_scenarios() -> tuple[str, ...]:
    """Return the names of the scenarios shipped with the package."""
    folder = resources.files("drumbay.simulation") / "scenarios"
    names = [entry.name for entry in folder.iterdir() if entry.name.endswith(_SCENARIO_SUFFIX)]
    return tuple(sorted(name.removesuffix(_SCENARIO_SUFFIX) for name in names))


def find_scenario(name_or_file: str) -> Scenario:
    """Return a shipped scenario by name, or one from a file.

    Raises:
        ScenarioError: The scenario does not exist or is not valid.
    """
    if name_or_file in shipped_scenarios():
        source = resources.files("drumbay.simulation") / "scenarios"
        with resources.as_file(source / f"{name_or_file}{_SCENARIO_SUFFIX}") as file:
            return load_scenario(file)
    file = Path(name_or_file)
    if not file.exists():
        known = ", ".join(shipped_scenarios())
        raise ScenarioError(file, "", f"an existing file, or one of: {known}")
    return load_scenario(file)
