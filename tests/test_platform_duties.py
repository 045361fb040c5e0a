"""Tests of the platform API client: requests, responses and settings."""

import json
import unittest

from drumbay_platform.duties import PlatformApi
from drumbay_platform.settings import parse_settings

from drumbay.clock import SystemClock
from drumbay.duties.interface import DutyOutcome, DutyToken, UsageReport, WorkerCount
from drumbay.identifiers import Fence
from drumbay.tenants.records import TenantName
from tests.scripted_server import ScriptedServer
from tests.test_platform_adapter import SETTINGS

TOKEN = DutyToken(holder="edge-a-1", fence=Fence(12))
REPORT = UsageReport(window=7, counts={TenantName("north"): 2})


class PlatformApiTest(unittest.IsolatedAsyncioTestCase):
    async def api(self, response: str) -> PlatformApi:
        self.server = ScriptedServer(lambda _: response.encode())
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        return PlatformApi(SystemClock(), self.server.address)

    async def test_report_contains_holder_and_fence(self) -> None:
        api = await self.api("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertIs(await api.report_usage(TOKEN, REPORT), DutyOutcome.ACCEPTED)
        (sent,) = self.server.requests
        self.assertTrue(sent.startswith("POST /usage HTTP/1.1\r\n"))
        self.assertIn("X-Drumbay-Lock-Holder: edge-a-1\r\n", sent)
        self.assertIn("X-Drumbay-Fencing-Token: 12\r\n", sent)
        body = {"windowId": 7, "counts": {"north": 2}}
        self.assertEqual(json.loads(self.server.bodies[0]), body)

    async def test_worker_count_is_sent_for_service_and_zone(self) -> None:
        api = await self.api("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        count = WorkerCount(service="engines", zone="a", workers=6)
        self.assertIs(await api.set_worker_count(TOKEN, count), DutyOutcome.ACCEPTED)
        self.assertTrue(self.server.requests[0].startswith("POST /scale HTTP/1.1\r\n"))
        body = {"svc": "engines", "zone": "a", "desired": 6}
        self.assertEqual(json.loads(self.server.bodies[0]), body)

    async def test_status_code_determines_outcome(self) -> None:
        for status, expected in (
            (409, DutyOutcome.FENCED),
            (429, DutyOutcome.DEFERRED),
            (503, DutyOutcome.DEFERRED),
            (500, DutyOutcome.UNANSWERED),
        ):
            api = await self.api(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
            outcome = await api.report_usage(TOKEN, REPORT)
            self.assertEqual((status, outcome), (status, expected))

    async def test_call_without_response_is_unanswered(self) -> None:
        api = await self.api("")
        self.assertIs(await api.report_usage(TOKEN, REPORT), DutyOutcome.UNANSWERED)

    async def test_unsent_call_is_deferred(self) -> None:
        api = await self.api("")
        await self.server.close()
        self.assertIs(await api.report_usage(TOKEN, REPORT), DutyOutcome.DEFERRED)


class DutySettingsTest(unittest.TestCase):
    def test_duties_settings_enable_usage_reports(self) -> None:
        self.assertIsNone(parse_settings(SETTINGS).usage)
        self.assertFalse(parse_settings(SETTINGS).orders_workers)
        text = (
            f"{SETTINGS}cloudApi.addr=10.200.0.53:8560\ncloudApi.duties=metering,autoscale\n"
            "bounds.reportWindowS=4\nbounds.usageLateS=9\n"
        )
        settings = parse_settings(text)
        assert settings.usage is not None
        self.assertTrue(settings.orders_workers)
        self.assertEqual(settings.usage.window_seconds, 4.0)
        self.assertEqual(settings.usage.due_seconds, 9.0)
        self.assertEqual(str(settings.duties_address), "10.200.0.53:8560")


if __name__ == "__main__":
    unittest.main()
