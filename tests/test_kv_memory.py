"""The in-process key-value store meets the store contract; random faults are reproducible."""

import random
import unittest

from drumbay.kv.interface import KeyValueStore
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.standins.kv_faults import EmulatedWriteOutcome, KeyValueFaultInjector, KeyValueFaults
from tests.kv_contract import RESPONSE_TIMEOUT_SECONDS, KeyValueContract


class MemoryKeyValueStoreTest(KeyValueContract):
    async def make_store(self) -> KeyValueStore:
        return MemoryKeyValueStore(self.model, self.clock, timeout_seconds=RESPONSE_TIMEOUT_SECONDS)


class RandomFaultsTest(unittest.TestCase):
    def test_same_seed_draws_the_same_write_outcomes(self) -> None:
        faults = KeyValueFaults(lost_answer_probability=0.5, lost_request_probability=0.25)
        runs: list[list[EmulatedWriteOutcome]] = []
        for _ in range(2):
            injector = KeyValueFaultInjector(random.Random(7))
            injector.set_faults(faults, 0.0)
            runs.append([injector.draw_write_outcome() for _ in range(50)])
        self.assertEqual(runs[0], runs[1])
        self.assertEqual(set(runs[0]), set(EmulatedWriteOutcome))


# Otherwise the test loader would also run the abstract base class.
del KeyValueContract
