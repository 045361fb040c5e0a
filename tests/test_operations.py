"""Operators' changes during the planned shutdown of a node."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any, cast

from drumbay.api.schema import ApplyBody
from drumbay.configuration.outcomes import WriteOutcome, WriteResult
from drumbay.exceptions import Execution
from drumbay.node.operations import ResourceOperations
from drumbay.requests.errors import NotReadyError
from drumbay.resources.schema import WeightRollback

ROLLBACK = WeightRollback(name="roll-back", model="modelos", keep=1, withdrawn_through=2)
BODY = ApplyBody(resource=ROLLBACK, operation_id="change-1")


class SlowOperators:
    """Changes that complete once ``finish`` is set."""

    def __init__(self) -> None:
        self.finish = asyncio.Event()
        self.changes = 0

    async def apply(self, *_change: object) -> WriteResult:
        self.changes += 1
        await self.finish.wait()
        return WriteResult(operation_id="change-1", outcome=WriteOutcome.ACCEPTED)


class StoppingNodeTest(unittest.IsolatedAsyncioTestCase):
    async def test_change_in_flight_is_counted_and_a_new_one_refused(self) -> None:
        operators = SlowOperators()
        operations = ResourceOperations(cast(Any, SimpleNamespace()), cast(Any, operators))
        change = asyncio.create_task(operations.apply(BODY))
        await asyncio.sleep(0)
        self.assertEqual(operations.in_flight, 1)
        operations.is_stopping = True
        with self.assertRaises(NotReadyError) as refused:
            await operations.apply(BODY)
        self.assertIs(refused.exception.execution, Execution.NOT_RUN)
        operators.finish.set()
        self.assertEqual((await change).outcome, WriteOutcome.ACCEPTED.value)
        self.assertEqual((operations.in_flight, operators.changes), (0, 1))


if __name__ == "__main__":
    unittest.main()
