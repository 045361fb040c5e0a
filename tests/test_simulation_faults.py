"""Scenario files, fault plans and fault injection."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from random import Random

from drumbay.exceptions import ConfigurationError
from drumbay.simulation.fault_injector import FaultInjector
from drumbay.simulation.fault_plan import FaultSchedule, FaultTargets, draw_fault_plan
from drumbay.simulation.faults import (
    AnyFault,
    DegradeNetwork,
    DisturbKeyValue,
    FaultKind,
    FaultPlan,
    FreezeHost,
    KeyValueCondition,
    KillHost,
    SlowDisks,
)
from drumbay.simulation.network import Cut
from drumbay.simulation.scenario import ScenarioError, find_scenario, shipped_scenarios
from drumbay.simulation.shrink import shrink_plan
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.faults import FaultKind as BackendFaultKind

TARGETS = FaultTargets(
    hosts=("n1", "n2", "n3"),
    hosts_with_disk=("n1",),
    zones=("z1", "z2"),
    regions=("r1", "r2"),
    engines=("e1",),
    applications=("a1",),
)


class RecordingEnvironment:
    """Records every state change with its virtual time."""

    def __init__(self) -> None:
        self.changes: list[tuple[float, str]] = []

    def record(self, change: str) -> None:
        self.changes.append((round(asyncio.get_running_loop().time(), 3), change))

    async def kill_host(self, host: str) -> None:
        self.record(f"kill {host}")

    async def start_host(self, host: str) -> None:
        self.record(f"start {host}")

    def freeze_host(self, host: str) -> None:
        self.record(f"freeze {host}")

    def resume_host(self, host: str) -> None:
        self.record(f"wake {host}")

    def cut(self, cut: Cut, *, both_ways: bool) -> None:
        self.record(f"cut {cut} {both_ways}")

    def heal(self, cut: Cut, *, both_ways: bool) -> None:
        self.record(f"heal {cut} {both_ways}")

    def degrade_network(self, faults: tuple[DegradeNetwork, ...]) -> None:
        self.record(f"degrade {len(faults)}")

    def disturb_key_value(self, conditions: tuple[KeyValueCondition, ...]) -> None:
        self.record(f"key-value {','.join(conditions)}")

    def compact_key_value(self) -> None:
        self.record("compact")

    def crash_backend(self, backend: str) -> None:
        self.record(f"crash {backend}")

    def restart_backend(self, backend: str) -> None:
        self.record(f"restart {backend}")

    def fail_swaps(self, backend: str, count: int, *, acknowledged: bool) -> None:
        self.record(f"fail swaps {backend}")

    def disturb_answers(self, backend: str, kind: BackendFaultKind, count: int) -> None:
        self.record(f"{kind} {backend}")

    def set_machine_list_lag(self, lag_seconds: float | None) -> None:
        self.record(f"lag {lag_seconds}")

    def jump_clock(self, host: str, seconds: float) -> None:
        self.record(f"jump {host}")

    def set_disk_full(self, host: str, *, full: bool) -> None:
        self.record(f"disk {host} full={full}")

    def set_disk_busy(self, host: str, commit_seconds: float) -> None:
        self.record(f"disk {host} takes {commit_seconds}")

    def lose_disk(self, host: str) -> None:
        self.record(f"lose disk {host}")


def inject(*faults: AnyFault) -> list[tuple[float, str]]:
    environment = RecordingEnvironment()

    async def main() -> None:
        plan = FaultPlan(faults=faults)
        await FaultInjector(plan, environment, lambda _fault, _began: None).run()

    run_simulation(main)
    return environment.changes


class FaultPlanTest(unittest.TestCase):
    def test_plan_depends_only_on_the_seed(self) -> None:
        plans = [
            draw_fault_plan(Random(seed), TARGETS, FaultSchedule(), 1800.0) for seed in (1, 1, 2)
        ]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_every_kind_is_drawn_and_ends_before_the_quiet_time(self) -> None:
        schedule = FaultSchedule(kinds=tuple(FaultKind), mean_interval_seconds=5.0)
        plan = draw_fault_plan(Random(1), TARGETS, schedule, 3600.0)
        types = {type(fault).__name__ for fault in plan.faults}
        self.assertGreaterEqual(len(types), len(FaultKind))
        self.assertLessEqual(plan.end_seconds(), 3600.0 - schedule.quiet_seconds)

    def test_complete_plan_can_be_injected(self) -> None:
        schedule = FaultSchedule(mean_interval_seconds=5.0)
        plan = draw_fault_plan(Random(3), TARGETS, schedule, 1800.0)
        changes = [change for _, change in inject(*plan.faults)]
        kills = sum(change.startswith("kill") for change in changes)
        self.assertGreaterEqual(kills, sum(change.startswith("start") for change in changes))


class ShrinkTest(unittest.TestCase):
    def test_minimal_failing_plan_remains(self) -> None:
        schedule = FaultSchedule(mean_interval_seconds=5.0)
        plan = draw_fault_plan(Random(1), TARGETS, schedule, 1800.0)
        kill = KillHost(at_seconds=1.0, host="n1")
        freeze = FreezeHost(at_seconds=2.0, host="n2")
        faults = (*plan.faults[:40], kill, *plan.faults[40:80], freeze, *plan.faults[80:])

        def still_fails(candidate: FaultPlan) -> bool:
            return kill in candidate.faults and freeze in candidate.faults

        minimized = shrink_plan(FaultPlan(faults=faults), still_fails)
        self.assertEqual(minimized.faults, (kill, freeze))


class FaultInjectorTest(unittest.TestCase):
    def test_overlapping_kills_start_the_host_once_at_the_end_of_the_last(self) -> None:
        first = KillHost(at_seconds=1.0, duration_seconds=5.0, host="n1")
        second = KillHost(at_seconds=2.0, duration_seconds=10.0, host="n1")
        changes = inject(first, second)
        self.assertEqual([change for change in changes if change[1] == "start n1"], changes[2:])
        self.assertEqual(changes[2][0], 12.0)

    def test_overlapping_freezes_resume_the_host_at_the_end_of_the_last(self) -> None:
        first = FreezeHost(at_seconds=1.0, duration_seconds=5.0, host="n1")
        second = FreezeHost(at_seconds=2.0, duration_seconds=10.0, host="n1")
        self.assertEqual(inject(first, second)[-1], (12.0, "wake n1"))

    def test_overlapping_slow_disks_use_the_longest_commit_time(self) -> None:
        changes = inject(
            SlowDisks(at_seconds=1.0, duration_seconds=9.0, hosts=("a", "b"), commit_seconds=1.0),
            SlowDisks(at_seconds=2.0, duration_seconds=4.0, hosts=("a",), commit_seconds=3.0),
        )
        disk_changes = [(at, change) for at, change in changes if change.startswith("disk")]
        self.assertEqual(
            disk_changes,
            [
                (1.0, "disk a takes 1.0"),
                (1.0, "disk b takes 1.0"),
                (2.0, "disk a takes 3.0"),
                (6.0, "disk a takes 1.0"),
                (10.0, "disk a takes 0.0"),
                (10.0, "disk b takes 0.0"),
            ],
        )

    def test_overlapping_key_value_conditions_are_combined(self) -> None:
        slow = DisturbKeyValue(
            at_seconds=1.0, duration_seconds=4.0, condition=KeyValueCondition.SLOW
        )
        outage = DisturbKeyValue(
            at_seconds=2.0, duration_seconds=1.0, condition=KeyValueCondition.OUTAGE
        )
        changes = [change for _, change in inject(slow, outage)]
        expected = ["key-value slow", "key-value slow,outage", "key-value slow", "key-value "]
        self.assertEqual(changes, expected)


class ScenarioTest(unittest.TestCase):
    def test_shipped_scenarios_are_valid_and_named_after_their_files(self) -> None:
        names = shipped_scenarios()
        expected = (
            "bitacora-andina",
            "bitacora-andina-short",
            "busy-disks",
            "small",
            "target-size",
            "vakhandel-oost",
            "vakhandel-oost-short",
        )
        self.assertEqual(names, expected)
        self.assertEqual(tuple(find_scenario(name).name for name in names), names)

    def test_target_size_has_410_nodes(self) -> None:
        zones = find_scenario("target-size").zones
        self.assertEqual(sum(zone.nodes for zone in zones), 410)

    def test_errors_name_the_file_the_key_and_the_expected_value(self) -> None:
        base = 'name = "x"\ndescription = ""\nduration_seconds = 900.0\n'
        zone = '[[zones]]\nname = "a"\nregion = "r"\nnodes = 1\n'
        cases = {
            base + zone + "disk = 1\n": ("zones[0].disk", "a known key"),
            base + zone + "disks = 2\n": ("zones[0].disks", "at most one disk"),
            base + zone.replace("1", '"1"'): ("zones[0].nodes", "Expected `int`"),
            base + zone + "[faults]\nkinds = ['flood']\n": ("faults.kinds[0]", "Invalid enum"),
            base.replace("900", "9") + zone: ("duration_seconds", "more than"),
            "zones = [": ("", "TOML"),
        }
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "scenario.toml"
            for text, (key, expected) in cases.items():
                file.write_text(text)
                with self.subTest(key=key), self.assertRaises(ScenarioError) as caught:
                    find_scenario(str(file))
                self.assertIsInstance(caught.exception, ConfigurationError)
                self.assertEqual((caught.exception.file, caught.exception.key), (file, key))
                self.assertIn(expected, caught.exception.expected)


if __name__ == "__main__":
    unittest.main()
