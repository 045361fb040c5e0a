"""Metrics of requests over HTTP, and of the state of simulated nodes."""

import asyncio
import json
import unittest
from collections.abc import AsyncGenerator

from prometheus_client import generate_latest
from prometheus_client.parser import text_string_to_metric_families
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from drumbay.api.application import make_application
from drumbay.backends.interface import ApplicationResponse, TokenChunk
from drumbay.node.environment import NodeEnvironment
from drumbay.node.node import Node
from drumbay.node.recorded_requests import RecordingRequestService
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.settings import NodeSettings
from drumbay.simulation.runner import run_scenario
from drumbay.standins.faults import FaultCommand, FaultKind
from tests.api_node import FakeNode
from tests.requests_world import MODEL, RequestsWorld, RouteLimits
from tests.simulated_runs import small_scenario

SCRAPE_SECONDS = 50.0


def parse_samples(text: str) -> dict[str, float]:
    """Parse a scrape into values by ``name{label=value,...}``."""
    samples = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f"{key}={value}" for key, value in sorted(sample.labels.items()))
            samples[f"{sample.name}{{{labels}}}"] = sample.value
    return samples


class MeasuredNode(FakeNode):
    """Serves requests with the real services and emulated backends."""

    def __init__(self) -> None:
        super().__init__()
        self.metrics = NodeMetrics(self.registry)
        self.world = RequestsWorld(RouteLimits(max_concurrency=1), metrics=self.metrics)
        self.requests = RecordingRequestService(
            self.world.services, self.world.recorder, self.world.clock, self.metrics
        )

    def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        return self.requests.generate(request)

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        return await self.requests.run_application(call)


class RequestMetricsTest(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        self.node = self.io_loop.run_sync(self.make_node)
        return make_application(self.node, authentication=False)

    async def make_node(self) -> MeasuredNode:
        return MeasuredNode()

    def scrape(self) -> dict[str, float]:
        return parse_samples(self.fetch("/metrics").body.decode())

    def complete(self, model: str) -> int:
        body = json.dumps({"model": model, "prompt": "p", "max_tokens": 2})
        code: int = self.fetch("/v1/completions", method="POST", body=body).code
        return code

    def test_requests_attempts_retries_and_refusals(self) -> None:
        self.assertEqual(self.complete(MODEL), 200)
        self.assertEqual(self.complete("unknown"), 404)
        self.node.world.services.gate.is_stopping = True
        self.assertEqual(self.complete(MODEL), 503)
        self.node.world.services.gate.is_stopping = False
        for server in self.node.world.servers[:2]:
            server.faults.apply(FaultCommand(fault=FaultKind.TRUNCATED_ANSWER, count=1))
        for _ in range(12):
            self.assertEqual(self.fetch("/app/x").code, 200)
        samples = self.scrape()
        self.assertEqual(samples["drumbay_requests_total{outcome=answered,route=live}"], 1)
        self.assertEqual(samples["drumbay_requests_total{outcome=no_route,route=none}"], 1)
        self.assertEqual(samples["drumbay_requests_total{outcome=not_ready,route=live}"], 1)
        self.assertEqual(samples["drumbay_refusals_total{reason=stopping,route=live}"], 1)
        self.assertEqual(samples["drumbay_request_duration_seconds_count{route=application}"], 12)
        failed = samples["drumbay_attempts_total{outcome=failed}"]
        self.assertEqual(failed, 2)
        self.assertEqual(samples["drumbay_retries_total{route=application}"], failed)
        self.assertEqual(samples["drumbay_attempts_total{outcome=succeeded}"], 13)


class StateMetricsTest(unittest.TestCase):
    def test_state_of_simulated_nodes(self) -> None:
        scrapes: list[dict[str, float]] = []

        def make_node(settings: NodeSettings, environment: NodeEnvironment) -> Node:
            node = Node(settings, environment)

            def scrape() -> None:
                scrapes.append(parse_samples(generate_latest(node.metrics_registry()).decode()))

            asyncio.get_running_loop().call_later(SCRAPE_SECONDS, scrape)
            return node

        report = run_scenario(small_scenario(duration_seconds=60.0), 1, make_node).report
        self.assertEqual(report.violations, ())
        self.assertGreaterEqual(len(scrapes), 3)
        for scrape in scrapes:
            self.assertEqual(scrape["drumbay_configuration_ready{}"], 1)
            self.assertGreater(scrape["drumbay_configuration_revision{}"], 0)
            self.assertIn("drumbay_configuration_confirmed_age_seconds{}", scrape)
            self.assertGreaterEqual(scrape["drumbay_members{state=alive}"], 2)
            self.assertGreater(scrape["drumbay_backends{reason=none}"], 0)
        totals = {name: sum(scrape.get(name, 0) for scrape in scrapes) for name in EXPECTED_NONZERO}
        self.assertEqual([name for name, value in totals.items() if value == 0], [])
        self.assertEqual(totals["drumbay_stream_owned{stream=drafts}"], 1)


EXPECTED_NONZERO = (
    "drumbay_stream_owned{stream=drafts}",
    "drumbay_stream_delivered_samples{stream=drafts}",
    "drumbay_samples_finished_total{stream=drafts}",
    "drumbay_weights_target_version{model=advies}",
    "drumbay_claims_total{outcome=ran}",
    "drumbay_claim_duration_seconds_count{}",
)
