"""Load handling features can be disabled one by one."""

import unittest
from unittest.mock import Mock

from drumbay_platform.settings import parse_settings, read_settings

from drumbay.admission.gate import AdmissionGate
from drumbay.admission.records import AdmissionRequest
from drumbay.batches.owners import OwnerTable, ServiceIdentity
from drumbay.batches.slot_sharing import SlotSharing
from drumbay.batches.slot_usage import JobSlotUsage, NoticeNumber
from drumbay.exceptions import ConfigurationError
from drumbay.forwarding.routes import ServiceUse
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import PlacesNotice
from drumbay.serving.load_features import LoadFeature, parse_disabled_parts
from drumbay.workers.directory import WorkerDirectory
from tests.serving_world import SERVICE, ServingWorld, run_in_world, unrestricted_placement
from tests.test_platform_adapter import SETTINGS
from tests.test_shared_places import FIRST, SECOND, W1, ManualClock, job


class NamesTest(unittest.TestCase):
    def test_all_are_enabled_unless_listed(self) -> None:
        self.assertEqual(parse_settings(SETTINGS).disabled_parts, frozenset())
        found = parse_settings(SETTINGS, "admission, shared_places,").disabled_parts
        self.assertEqual(found, {LoadFeature.ADMISSION, LoadFeature.SHARED_SLOTS})

    def test_an_unknown_name_is_refused_with_a_list_of_known_ones(self) -> None:
        with self.assertRaisesRegex(ConfigurationError, "worker_counts"):
            parse_disabled_parts("admision")

    def test_unknown_names_in_the_environment_are_refused(self) -> None:
        with self.assertRaises(ConfigurationError):
            read_settings({"DRUMBAY_NODE_FILE": "/dev/null", "DRUMBAY_DISABLED_PARTS": "x"})


class DisabledPartsTest(unittest.TestCase):
    def test_a_disabled_gate_admits_all_at_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            gate = AdmissionGate(
                world.clock,
                WorkerDirectory(),
                unrestricted_placement(world.clock),
                ServingMetrics(),
                is_enabled=False,
            )
            for number in range(100):
                request = AdmissionRequest(
                    request_id=str(number),
                    flow="tenant",
                    rank=0,
                    arrived_at=0.0,
                    deadline=0.1,
                )
                await gate.new_ticket("service", request).acquire()

        run_in_world(scenario)

    def test_disabled_sharing_ignores_other_jobs(self) -> None:
        """Two jobs of this node compete with one of another owner."""
        jobs = [_Job(job("b", waiting=9)), _Job(job("c", waiting=9))]
        for is_enabled in (True, False):
            owners = Mock(spec=OwnerTable)
            owners.identity = ServiceIdentity(address=FIRST, boot="boot")
            service_use = Mock(spec=ServiceUse)
            service_use.batch_routes.return_value = 2
            sharing = SlotSharing(
                ManualClock(),
                WorkerDirectory(),
                owners,
                service_use,
                unrestricted_placement(ManualClock()),
                lambda addresses, notice: None,
                lambda: jobs,
                is_enabled=is_enabled,
            )
            competitor = job("a", waiting=9, running={W1: 2})
            notice = PlacesNotice(
                holder=SECOND, number=NoticeNumber("other", 1), jobs=(competitor,)
            )
            sharing.handle_notice(notice)
            share = sharing.share_for(jobs[0], SERVICE)
            self.assertEqual(share.contention is not None, is_enabled)
            self.assertEqual(share.used_by_others is not None, is_enabled)
            self.assertEqual(sharing.has_competing_routes(SERVICE), is_enabled)


class _Job:
    def __init__(self, usage: JobSlotUsage) -> None:
        self.last_slot_usage = usage

    def slot_usage(self) -> JobSlotUsage:
        return self.last_slot_usage


if __name__ == "__main__":
    unittest.main()
