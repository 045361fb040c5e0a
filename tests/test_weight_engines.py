"""What a restart of an engine changes in the planner's record of it."""

import unittest
from unittest import mock

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion
from drumbay.weights import engines
from drumbay.weights.engines import EngineRecord

ENGINE = BackendId("engine-1")
FAILED_AT = 47.0
SET_ASIDE_UNTIL = 107.0
REPORTED_AT = 50.0


def status(boot: str) -> EngineStatus:
    return EngineStatus(
        backend_id=ENGINE,
        boot_id=BootId(boot),
        model="drafts",
        weight_version=WeightVersion(1),
        highest_fence=Fence(0),
        running=0,
        waiting=0,
    )


def record_after(boot: str) -> EngineRecord:
    """Return the record of an engine set aside after an uncertain failure, then reported."""
    record = EngineRecord(ENGINE)
    record.take_status(status("first"), FAILED_AT - 1.0)
    record.set_aside = True
    record.retry_at = SET_ASIDE_UNTIL
    record.uncertain_until = SET_ASIDE_UNTIL
    record.take_status(status(boot), REPORTED_AT)
    return record


class RestartTest(unittest.TestCase):
    def test_restarted_engine_serves_and_is_ordered_again_soon(self) -> None:
        record = record_after("second")
        self.assertTrue(record.is_serving(REPORTED_AT))
        self.assertLessEqual(record.retry_at, REPORTED_AT + engines.RESTART_RETRY_SECONDS)

    def test_engine_that_did_not_restart_stays_aside(self) -> None:
        record = record_after("first")
        self.assertFalse(record.is_serving(REPORTED_AT))
        self.assertEqual(record.retry_at, SET_ASIDE_UNTIL)

    def test_restart_that_is_not_told_from_a_report_stays_aside(self) -> None:
        with mock.patch.object(EngineRecord, "_take_restart", lambda record, boot, now: None):
            record = record_after("second")
        self.assertFalse(record.is_serving(REPORTED_AT))
