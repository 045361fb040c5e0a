"""Operators' writes: lost answers, races and operation identifiers."""

import asyncio
import unittest
from collections import Counter

import msgspec
from loguru import logger

from drumbay.bench.configuration_cluster import ConfigurationCluster
from drumbay.configuration.errors import (
    ConfigurationTooLargeError,
    ConflictError,
    OperationReusedError,
)
from drumbay.configuration.messages import RESOURCE_PREFIX, StoredRecord
from drumbay.configuration.operators import MAX_CONFIGURATION_BYTES, OperatorService
from drumbay.configuration.outcomes import WriteOutcome, WriteResult
from drumbay.identifiers import Revision
from drumbay.kv.interface import Put
from drumbay.resources.schema import Drain, Route, RouteKind, Selector
from drumbay.simulation.host import Location
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import LoggedChange

ZONES = tuple(Location(zone=zone, region="lima") for zone in ("miraflores", "surquillo"))


def setUpModule() -> None:
    logger.remove()


def route(priority: int, name: str = "consulta") -> Route:
    return Route(name=name, route_kind=RouteKind.LIVE, selector=Selector(), priority=priority)


class NoReadBack(OperatorService):
    """Fault: a write without an answer is taken for one without an effect."""

    async def _settle(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> WriteResult:
        return WriteResult(outcome=WriteOutcome.REFUSED, operation_id=operation_id)


def committed_operations(model: KeyValueModel) -> Counter[str]:
    """Read from the service's own log how often each operation was committed."""
    counts: Counter[str] = Counter()
    for entry in model.log:
        if not isinstance(entry, LoggedChange):
            continue
        for event in entry.events:
            if event.key.startswith(RESOURCE_PREFIX + "Route/") and event.item is not None:
                record = msgspec.msgpack.decode(event.item.value, type=StoredRecord)
                counts[record.operation_id] += 1
    return counts


def wrong_verdicts(model: KeyValueModel, results: list[WriteResult]) -> list[WriteResult]:
    counts = committed_operations(model)
    wrong = []
    for result in results:
        count = counts[result.operation_id]
        refused_but_done = result.outcome is WriteOutcome.REFUSED and count > 0
        accepted_but_not_once = result.outcome is WriteOutcome.ACCEPTED and count != 1
        if refused_but_done or accepted_but_not_once:
            wrong.append(result)
    return wrong


async def start_cluster(seed: int = 3) -> ConfigurationCluster:
    cluster = ConfigurationCluster(seed=seed, locations=ZONES, node_count=4)
    cluster.start_all()
    await cluster.wait_loaded()
    return cluster


class OperatorTest(unittest.TestCase):
    def run_lost_answer(self, operators_type: type[OperatorService]) -> list[WriteResult]:
        async def main() -> list[WriteResult]:
            cluster = await start_cluster()
            operators = operators_type(
                clock=cluster.nodes["node-000"].host.clock(),
                store=cluster.nodes["node-000"].store,
                configuration=cluster.nodes["node-000"].service,
            )
            await operators.apply(route(1), Revision(0), "first")
            cluster.model.set_faults(KeyValueFaults(lost_answers=1))
            results = [await operators.apply(route(2), None, "answer-lost")]
            cluster.model.set_faults(KeyValueFaults(lost_requests=1))
            results.append(await operators.apply(route(3), None, "request-lost"))
            return wrong_verdicts(cluster.model, results)

        return run_simulation(main)

    def test_lost_answer_is_settled_by_reading_back(self) -> None:
        self.assertEqual(self.run_lost_answer(OperatorService), [])
        self.assertNotEqual(self.run_lost_answer(NoReadBack), [])

    def test_lost_answer_and_another_operator_on_top(self) -> None:
        async def main() -> None:
            cluster = await start_cluster()
            first, second = (cluster.nodes[name].operators for name in ("node-000", "node-001"))
            await first.apply(route(1), None, "first")
            await second.apply(route(1, "otro"), None, "otro")
            cluster.model.set_faults(KeyValueFaults(lost_answers=1))
            write = asyncio.ensure_future(first.apply(route(2), None, "lost"))
            await asyncio.sleep(0.5)
            self.assertFalse(write.done())
            await second.apply(route(3), None, "on-top")
            result = await write
            self.assertEqual(result.outcome, WriteOutcome.ACCEPTED)
            self.assertEqual(wrong_verdicts(cluster.model, [result]), [])

        run_simulation(main)

    def test_racing_operators_with_lost_answers(self) -> None:
        async def main(seed: int) -> None:
            cluster = await start_cluster(seed)
            nodes = list(cluster.nodes.values())
            for node in nodes:
                await node.operators.apply(route(0, f"own-{node.name}"), None, f"own-{node.name}")
            cluster.model.set_faults(
                KeyValueFaults(lost_answer_probability=0.3, lost_request_probability=0.3)
            )
            for turn in range(5):
                expected = nodes[0].service.snapshot().resource_revisions.get("Route/consulta")
                writes = [
                    node.operators.apply(
                        route(turn), expected or Revision(0), f"{turn}-{node.name}"
                    )
                    for node in nodes
                ]
                outcomes = await asyncio.gather(*writes, return_exceptions=True)
                conflicts = [one for one in outcomes if isinstance(one, ConflictError)]
                results = [one for one in outcomes if isinstance(one, WriteResult)]
                self.assertEqual(len(conflicts) + len(results), len(nodes))
                self.assertEqual(wrong_verdicts(cluster.model, results), [])
                counts = committed_operations(cluster.model)
                done = [node for node in nodes if counts[f"{turn}-{node.name}"]]
                self.assertLessEqual(len(done), 1)
                for conflict in conflicts:
                    self.assertEqual(conflict.expected_revision, expected or 0)
                    self.assertGreater(conflict.found_revision, conflict.expected_revision)
                await asyncio.sleep(5)

        for seed in range(5):
            with self.subTest(seed=seed):
                run_simulation(lambda seed=seed: main(seed))  # type: ignore[misc]

    def test_operation_identifiers(self) -> None:
        async def main() -> None:
            cluster = await start_cluster()
            operators = cluster.nodes["node-000"].operators
            first = await operators.apply(route(1), None, "one")
            again = await operators.apply(route(1), None, "one")
            self.assertEqual(first.committed_revision, again.committed_revision)
            self.assertEqual(committed_operations(cluster.model)["one"], 1)
            with self.assertRaises(OperationReusedError):
                await operators.apply(route(1, "otro"), None, "one")
            asked = await cluster.nodes["node-003"].operators.operation_status("one")
            self.assertEqual(asked.outcome, WriteOutcome.ACCEPTED)
            never = await operators.operation_status("never-sent")
            self.assertEqual(never.outcome, WriteOutcome.REFUSED)
            late = await operators.apply(route(2), None, "never-sent")
            self.assertEqual(late.outcome, WriteOutcome.REFUSED)
            self.assertEqual(committed_operations(cluster.model)["never-sent"], 0)

        run_simulation(main)

    def test_outage_is_refused_and_unsettled_is_unknown_yet(self) -> None:
        async def main() -> None:
            cluster = await start_cluster()
            node = cluster.nodes["node-000"]
            await node.operators.apply(route(1), None, "first")
            cluster.model.set_faults(KeyValueFaults(lost_answers=1))
            write = asyncio.ensure_future(node.operators.apply(route(2), None, "lost"))
            await asyncio.sleep(0.5)
            cluster.model.set_faults(KeyValueFaults(outage=True))
            result = await write
            self.assertEqual(result.outcome, WriteOutcome.UNKNOWN_YET)
            refused = await node.operators.apply(route(3), None, "in-the-outage")
            self.assertEqual(refused.outcome, WriteOutcome.REFUSED)
            self.assertEqual(wrong_verdicts(cluster.model, [refused]), [])
            cluster.model.set_faults(KeyValueFaults())
            settled = await node.operators.operation_status(result.operation_id)
            self.assertEqual(settled.outcome, WriteOutcome.ACCEPTED)

        run_simulation(main)

    def test_configuration_that_would_not_fit_into_a_message_is_refused(self) -> None:
        async def main() -> None:
            cluster = await start_cluster()
            large = Drain(name="large", selector=Selector(), reason="x" * MAX_CONFIGURATION_BYTES)
            with self.assertRaises(ConfigurationTooLargeError):
                await cluster.nodes["node-000"].operators.apply(large, None, "large")

        run_simulation(main)

    def test_deleted_resource_stays_deleted(self) -> None:
        async def main() -> None:
            cluster = await start_cluster()
            operators = cluster.nodes["node-000"].operators
            created = await operators.apply(route(1), Revision(0), "create")
            await operators.delete(route(1), created.committed_revision, "delete")
            self.assertEqual(cluster.nodes["node-000"].service.snapshot().routes, {})
            with self.assertRaises(ConflictError) as caught:
                await operators.apply(route(2), created.committed_revision, "late")
            self.assertEqual(caught.exception.expected_revision, created.committed_revision)

        run_simulation(main)


if __name__ == "__main__":
    unittest.main()
