"""Operators' writes: lost responses, races and operation identifiers."""

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
from drumbay.resources.schema import Drain, Selector
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import LoggedChange
from tests.configuration_support import ZONES, route


def setUpModule() -> None:
    logger.remove()


class ReadBackDisabled(OperatorService):
    """Fault: a write without a response is reported as refused."""

    async def _resolve(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> WriteResult:
        return WriteResult(outcome=WriteOutcome.REFUSED, operation_id=operation_id)


class UncheckedWrites(OperatorService):
    """Fault: the write does not compare the resource's revision."""

    async def _transact(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> Revision | None:
        found = await self._current_revision(put.key)
        return await super()._transact(put, found, operation_id, lease_id)


def committed_operations(model: KeyValueModel) -> Counter[str]:
    """Count the commits of each operation in the key-value model's log."""
    counts: Counter[str] = Counter()
    for entry in model.log:
        if not isinstance(entry, LoggedChange):
            continue
        for event in entry.events:
            if event.key.startswith(RESOURCE_PREFIX + "Route/") and event.item is not None:
                record = msgspec.msgpack.decode(event.item.value, type=StoredRecord)
                counts[record.operation_id] += 1
    return counts


def wrong_outcomes(model: KeyValueModel, results: list[WriteResult]) -> list[WriteResult]:
    counts = committed_operations(model)
    wrong = []
    for result in results:
        count = counts[result.operation_id]
        refused_but_committed = result.outcome is WriteOutcome.REFUSED and count > 0
        accepted_but_not_committed_once = result.outcome is WriteOutcome.ACCEPTED and count != 1
        if refused_but_committed or accepted_but_not_committed_once:
            wrong.append(result)
    return wrong


async def start_cluster(seed: int = 3) -> ConfigurationCluster:
    cluster = ConfigurationCluster(seed=seed, locations=ZONES, node_count=4)
    cluster.start_all()
    await cluster.wait_loaded()
    return cluster


class OperatorTest(unittest.TestCase):
    def run_lost_response(self, operators_type: type[OperatorService]) -> list[WriteResult]:
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
            return wrong_outcomes(cluster.model, results)

        return run_simulation(main)

    def test_outcome_of_a_lost_response_is_read_back(self) -> None:
        self.assertEqual(self.run_lost_response(OperatorService), [])
        self.assertNotEqual(self.run_lost_response(ReadBackDisabled), [])

    def test_lost_response_followed_by_another_operators_write(self) -> None:
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
            self.assertEqual(wrong_outcomes(cluster.model, [result]), [])

        run_simulation(main)

    def run_race(self, seed: int, operators_type: type[OperatorService]) -> list[int]:
        """Return for each round how many operators replaced the same revision."""

        async def main() -> list[int]:
            cluster = await start_cluster(seed)
            nodes = list(cluster.nodes.values())
            writers = [
                operators_type(
                    clock=node.host.clock(), store=node.store, configuration=node.service
                )
                for node in nodes
            ]
            for number, writer in enumerate(writers):
                await writer.apply(route(0, f"own-{number}"), None, f"own-{number}")
            cluster.model.set_faults(
                KeyValueFaults(lost_answer_probability=0.3, lost_request_probability=0.3)
            )
            commit_counts = []
            for round_number in range(5):
                view = nodes[0].service.current_view()
                expected = view.resource_revisions.get("Route/consulta", Revision(0))
                writes = [
                    writer.apply(route(round_number), expected, f"{round_number}-{number}")
                    for number, writer in enumerate(writers)
                ]
                outcomes = await asyncio.gather(*writes, return_exceptions=True)
                conflicts = [one for one in outcomes if isinstance(one, ConflictError)]
                results = [one for one in outcomes if isinstance(one, WriteResult)]
                self.assertEqual(len(conflicts) + len(results), len(writers))
                self.assertEqual(wrong_outcomes(cluster.model, results), [])
                for conflict in conflicts:
                    self.assertEqual(conflict.expected_revision, expected)
                    self.assertGreater(conflict.found_revision, expected)
                counts = committed_operations(cluster.model)
                commit_counts.append(
                    sum(counts[f"{round_number}-{number}"] for number in range(len(writers)))
                )
                await asyncio.sleep(5)
            return commit_counts

        return run_simulation(main)

    def test_concurrent_operators_with_lost_responses(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertLessEqual(max(self.run_race(seed, OperatorService)), 1)
                self.assertGreater(max(self.run_race(seed, UncheckedWrites)), 1)

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

    def test_outage_is_refused_and_unresolved_write_is_unknown_yet(self) -> None:
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
            self.assertEqual(wrong_outcomes(cluster.model, [refused]), [])
            cluster.model.set_faults(KeyValueFaults())
            resolved = await node.operators.operation_status(result.operation_id)
            self.assertEqual(resolved.outcome, WriteOutcome.ACCEPTED)

        run_simulation(main)

    def test_configuration_too_large_for_a_message_is_refused(self) -> None:
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
            self.assertEqual(cluster.nodes["node-000"].service.current_view().routes, {})
            with self.assertRaises(ConflictError) as caught:
                await operators.apply(route(2), created.committed_revision, "late")
            self.assertEqual(caught.exception.expected_revision, created.committed_revision)

        run_simulation(main)


if __name__ == "__main__":
    unittest.main()
