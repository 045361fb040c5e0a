"""Scenario files: a deployment, its load and its faults, as TOML."""

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
    """A scenario file is not valid; names the file, the key and what was expected."""

    code = "invalid_scenario"


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the sections: an unknown key is an error."""


class ZoneSection(_Section, frozen=True, kw_only=True):
    """One availability zone.

    Attributes:
        name: Name of the zone.
        region: Region of the zone.
        nodes: Drumbay nodes in the zone.
        disks: How many of them have a data folder.
    """

    name: Name
    region: Name
    nodes: PositiveInteger
    disks: NonNegativeInteger = 0


class PoolKind(StrEnum):
    """What the workers of a pool are."""

    ENGINE = "engine"
    APPLICATION = "application"


class PoolSection(_Section, frozen=True, kw_only=True):
    """Back ends of one kind, spread over the zones in turn.

    Attributes:
        name: Name of the group.
        kind: What its workers are.
        workers: How many there are.
        model: Model that engines serve; empty for applications.
    """

    name: Name
    kind: PoolKind
    workers: PositiveInteger
    model: str = ""


class TrainerSection(_Section, frozen=True, kw_only=True):
    """One trainer and the rollouts it asks for.

    Attributes:
        stream: Its sample stream.
        model: The model it trains.
        samples_per_step: Samples of one step.
        step_seconds: Time of one step once its samples are there.
        max_tokens: Most tokens of one sample.
        max_staleness_versions: Oldest weights of a sample, in versions behind.
        objective: What is weighed more.
    """

    stream: Name
    model: str
    samples_per_step: PositiveInteger
    step_seconds: PositiveFloat
    max_tokens: PositiveInteger = 512
    max_staleness_versions: NonNegativeInteger = 1
    objective: RolloutObjective = RolloutObjective.IDLE_TIME


class LoadSection(_Section, frozen=True, kw_only=True):
    """Live traffic; all rates are of the whole deployment.

    Attributes:
        completions_per_second: Live completion requests.
        completion_tokens: Most tokens of one of them.
        lookups_per_second: Application requests that may be repeated.
        bookings_per_second: Application requests that may run at most once.
        burst_factor: Rate within a burst over the usual one.
        burst_interval_seconds: Mean time between bursts.
        burst_seconds: Length of a burst.
        retry_probability: How often a caller without a certain answer tries another node.
        operators: Operators who change the same resources.
        change_interval_seconds: Mean time between the changes of one operator.
        stop_interval_seconds: Mean time between planned stops of nodes.
        leave_interval_seconds: Mean time between back ends that leave for a while.
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
        description: What it stands for.
        duration_seconds: Virtual length of a run, quiet time at the end included.
        zones: Where nodes and workers are.
        pools: The back ends.
        trainers: The trainers.
        load: Live traffic and operators.
        network: Delays.
        faults: How often which faults strike.
        limits: Bounds that the checkers use.
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
    """Read and check a scenario file.

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
    """Return the names of the scenarios that come with the package."""
    folder = resources.files("drumbay.simulation") / "scenarios"
    names = [entry.name for entry in folder.iterdir() if entry.name.endswith(_SCENARIO_SUFFIX)]
    return tuple(sorted(name.removesuffix(_SCENARIO_SUFFIX) for name in names))


def find_scenario(name_or_file: str) -> Scenario:
    """Return a shipped scenario by name, or one from a file.

    Raises:
        ScenarioError: There is no such scenario, or it is not valid.
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
