"""Each promise is broken without the mechanism that ensures it, and holds with it.

Both runs have the same seed, load and faults; the history checkers report the violations.
"""

import unittest
from unittest import mock

import msgspec
from loguru import logger

from drumbay.backends.memory import MemoryApplicationClient
from drumbay.delivery.replicated_log import ReplicatedLog
from drumbay.node.node import Node
from drumbay.simulation.checkers import Promise
from drumbay.simulation.cluster import NodeFactory
from drumbay.simulation.faults import (
    AnyFault,
    CrashBackend,
    DisturbAnswers,
    FailSwaps,
    FaultPlan,
    KillHost,
)
from drumbay.simulation.runner import run_scenario
from drumbay.simulation.scenario import LoadSection, Scenario
from drumbay.standins.faults import FaultKind as BackendFaultKind
from tests import broken_nodes
from tests.simulated_runs import ZONES, small_scenario

SEED = 3
FAILED_SWAPS = 2
"""Per engine; enough for samples to be generated with the old weights."""
BOOKINGS = LoadSection(bookings_per_second=3.0, operators=0)
LOOKUPS = LoadSection(lookups_per_second=5.0, operators=0)
APPLICATIONS = ("balie-app-1", "balie-app-2", "balie-app-3")
ENGINES = ("advies-llm-1", "advies-llm-2", "advies-llm-3")


def disturb_applications(kind: BackendFaultKind, count: int) -> tuple[AnyFault, ...]:
    return tuple(
        DisturbAnswers(
            at_seconds=15.0,
            duration_seconds=40.0,
            backend=backend,
            disturbance=kind,
            count=count,
        )
        for backend in APPLICATIONS
    )


class PromiseTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        logger.remove()

    def broken_promises(
        self, scenario: Scenario, faults: tuple[AnyFault, ...], make_node: NodeFactory
    ) -> set[Promise]:
        plan = FaultPlan(faults=faults)
        report = run_scenario(scenario, SEED, make_node, plan=plan).report
        return {violation.promise for violation in report.violations}

    def assert_requires_mechanism(
        self,
        promise: Promise,
        scenario: Scenario,
        faults: tuple[AnyFault, ...],
        make_broken_node: NodeFactory,
    ) -> None:
        self.assertIn(promise, self.broken_promises(scenario, faults, make_broken_node))
        self.assertEqual(self.broken_promises(scenario, faults, Node), set())

    def test_at_most_once_needs_claims(self) -> None:
        self.assert_requires_mechanism(
            Promise.AT_MOST_ONCE,
            small_scenario(load=BOOKINGS, with_trainer=False),
            disturb_applications(BackendFaultKind.TRUNCATED_ANSWER, 5),
            broken_nodes.make_node_without_claims,
        )

    def test_refused_not_run_needs_the_kind_of_failure(self) -> None:
        self.assert_requires_mechanism(
            Promise.REFUSED_NOT_RUN,
            small_scenario(load=LOOKUPS, with_trainer=False),
            disturb_applications(BackendFaultKind.TRUNCATED_ANSWER, 20),
            broken_nodes.make_node_hiding_broken_exchanges,
        )

    def test_whole_answers_need_matching(self) -> None:
        scenario = small_scenario(load=LOOKUPS, with_trainer=False)
        faults = disturb_applications(BackendFaultKind.CROSSED_ANSWER, 5)
        with mock.patch.object(
            MemoryApplicationClient, "exchange", broken_nodes.exchange_without_attempt_check
        ):
            broken = self.broken_promises(scenario, faults, Node)
        self.assertIn(Promise.WHOLE_ANSWERS, broken)
        self.assertEqual(self.broken_promises(scenario, faults, Node), set())

    def test_sample_versions_need_the_engines_stamps(self) -> None:
        faults = tuple(
            FailSwaps(
                at_seconds=10.0,
                duration_seconds=40.0,
                backend=engine,
                count=FAILED_SWAPS,
                acknowledged=True,
            )
            for engine in ENGINES
        )
        self.assert_requires_mechanism(
            Promise.SAMPLE_VERSIONS,
            small_scenario(),
            faults,
            broken_nodes.nodes_assuming_ordered_version(),
        )

    def test_staleness_needs_the_trainers_bound(self) -> None:
        faults = tuple(
            CrashBackend(at_seconds=at, duration_seconds=1.0, backend=engine)
            for at in (35.0, 41.0, 47.0)
            for engine in ENGINES
        )
        self.assert_requires_mechanism(
            Promise.STALENESS, small_scenario(), faults, broken_nodes.NodeWithoutStalenessLimit
        )

    def test_exactly_once_needs_the_replicated_log(self) -> None:
        scenario = small_scenario()
        faults = tuple(
            KillHost(at_seconds=20.0 + 10.0 * number, duration_seconds=3.0, host=f"{zone}-1")
            for number, zone in enumerate(ZONES)
        )
        with mock.patch.object(ReplicatedLog, "propose", broken_nodes.propose_without_replicas):
            broken = self.broken_promises(scenario, faults, Node)
        self.assertIn(Promise.EXACTLY_ONCE, broken)
        self.assertEqual(self.broken_promises(scenario, faults, Node), set())

    def test_leaving_backends_need_the_machine_list(self) -> None:
        load = msgspec.structs.replace(LOOKUPS, leave_interval_seconds=10.0)
        self.assert_requires_mechanism(
            Promise.LEAVING_BACKENDS,
            small_scenario(load=load, with_trainer=False),
            (),
            broken_nodes.make_node_without_machine_list,
        )

    def test_planned_stops_need_draining(self) -> None:
        load = msgspec.structs.replace(LOOKUPS, stop_interval_seconds=5.0)
        self.assert_requires_mechanism(
            Promise.PLANNED_STOP,
            small_scenario(load=load, with_trainer=False),
            disturb_applications(BackendFaultKind.LATE_ANSWER, 200),
            broken_nodes.NodeWithoutDrain,
        )


if __name__ == "__main__":
    unittest.main()
