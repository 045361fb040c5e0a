"""A small scenario for tests that run whole nodes in virtual time."""

from drumbay.resources.schema import RolloutObjective
from drumbay.simulation.fault_plan import FaultSchedule
from drumbay.simulation.faults import FaultKind
from drumbay.simulation.scenario import (
    LoadSection,
    PoolKind,
    PoolSection,
    Scenario,
    TrainerSection,
    ZoneSection,
)

ZONES = ("zwolle-hal", "deventer-hal", "apeldoorn-hal")
FIRST_FAULT_SECONDS = 15.0


def small_scenario(
    *kinds: FaultKind,
    duration_seconds: float = 90.0,
    load: LoadSection | None = None,
    with_trainer: bool = True,
) -> Scenario:
    """Return one node, one engine and one application server in each of three zones."""
    trainer = TrainerSection(
        stream="drafts",
        model="advies",
        samples_per_step=8,
        step_seconds=8.0,
        max_tokens=128,
        objective=RolloutObjective.STALENESS,
    )
    default_load = LoadSection(
        completions_per_second=0.3,
        lookups_per_second=1.0,
        bookings_per_second=1.0,
        change_interval_seconds=10.0,
        stop_interval_seconds=60.0,
        leave_interval_seconds=60.0,
    )
    return Scenario(
        name="small",
        description="",
        duration_seconds=duration_seconds,
        zones=tuple(ZoneSection(name=zone, region="nl-oost", nodes=1, disks=1) for zone in ZONES),
        pools=(
            PoolSection(name="advies-llm", kind=PoolKind.ENGINE, workers=3, model="advies"),
            PoolSection(name="balie-app", kind=PoolKind.APPLICATION, workers=3),
        ),
        trainers=(trainer,) if with_trainer else (),
        load=load or default_load,
        faults=FaultSchedule(
            kinds=kinds,
            mean_interval_seconds=8.0,
            first_seconds=FIRST_FAULT_SECONDS,
            quiet_seconds=40.0,
            longest_freeze_seconds=15.0,
            longest_outage_seconds=15.0,
        ),
    )
