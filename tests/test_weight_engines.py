"""Effect of an engine restart on the rollout planner's record of the engine."""

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


def record_after_report(boot: str) -> EngineRecord:
    """Return the record of an engine that was set aside and then reported with this boot id."""
    record = EngineRecord(ENGINE)
    record.record_status(status("first"), FAILED_AT - 1.0)
    record.set_aside = True
    record.retry_at = SET_ASIDE_UNTIL
    record.maybe_busy_until = SET_ASIDE_UNTIL
    record.record_status(status(boot), REPORTED_AT)
    return record


class RestartTest(unittest.TestCase):
    def test_restarted_engine_serves_and_is_retried_soon(self) -> None:
        record = record_after_report("second")
        self.assertTrue(record.is_serving(REPORTED_AT))
        self.assertLessEqual(record.retry_at, REPORTED_AT + engines.MAX_RESTART_BACKOFF_SECONDS)

    def test_engine_without_restart_stays_set_aside(self) -> None:
        record = record_after_report("first")
        self.assertFalse(record.is_serving(REPORTED_AT))
        self.assertEqual(record.retry_at, SET_ASIDE_UNTIL)

    def test_engine_stays_set_aside_if_its_restart_is_not_detected(self) -> None:
        with mock.patch.object(EngineRecord, "_record_restart", lambda record, boot, now: None):
            record = record_after_report("second")
        self.assertFalse(record.is_serving(REPORTED_AT))
