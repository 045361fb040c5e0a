"""The acceptance run retries live requests that a stopping node rejects, and nothing else.

Guards against reporting such a rejection as a failed request, and against accepting a rejection
of another kind or of a request that has run.
"""

import unittest
from collections import Counter
from io import BytesIO

import msgspec
from tornado.httpclient import HTTPRequest, HTTPResponse

from drumbay.acceptance.calls import Caller, CallFailedError
from drumbay.acceptance.records import AcceptancePlan, AcceptanceResult, LiveResult, Rejection
from drumbay.acceptance.verification import DeploymentLogs, verify
from drumbay.acceptance.workload import Workload
from drumbay.api.schema import CompletionAnswer, ErrorDetail, Usage
from drumbay.clock import SystemClock
from drumbay.identifiers import AttemptId, BootId, WeightVersion
from drumbay.standins.execution_log import GenerationEnded, GenerationOutcome, VersionSpan

RUNNING_NODE = "http://node-1"
STOPPING_NODE = "http://node-3"
PLAN = AcceptancePlan(
    nodes=(RUNNING_NODE, STOPPING_NODE),
    trainer="",
    model="m",
    stream="s",
    stop_process_id=1,
    steps=0,
)
REJECTED = ErrorDetail(
    code="not_ready", detail="this node is stopping", run="not_run", request_id="r-1"
)
INTERRUPTED = ErrorDetail(code="backend_failed", detail="broke off", run="may_have_run")


class ScriptedCaller(Caller):
    """Answers live requests, except at ``failing_node``, where they fail with ``error``."""

    def __init__(self, failing_node: str, error: ErrorDetail) -> None:
        super().__init__()
        self.failing_node = failing_node
        self.error = error
        self.sent: Counter[str] = Counter()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        node = url.removesuffix("/v1/completions")
        self.sent[node] += 1
        if node == self.failing_node:
            raise CallFailedError("HTTP 503", self.error)
        response = CompletionAnswer(
            id="r-2",
            object="text_completion",
            created=0,
            model="m",
            choices=(),
            usage=Usage(completion_tokens=0),
            text="",
            token_ids=(),
            finish_reason="stop",
            spans=(),
        )
        response_body = BytesIO(msgspec.json.encode(response))
        return HTTPResponse(HTTPRequest(url), 200, buffer=response_body)


def make_generation(request_id: str) -> GenerationEnded:
    span = VersionSpan(weight_version=WeightVersion(1), first_index=0, count=4)
    return GenerationEnded(
        time_seconds=1.0,
        source="engine-1",
        boot_id=BootId("boot"),
        attempt_id=AttemptId(f"{request_id}~1"),
        outcome=GenerationOutcome.FINISHED,
        spans=(span,),
        digest="",
        started_at_seconds=0.5,
    )


class RejectedLiveRequestTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, error: ErrorDetail, failing_node: str = STOPPING_NODE) -> LiveResult:
        """Send a live request to the failing node first."""
        caller = ScriptedCaller(failing_node, error)
        self.addCleanup(caller.close)
        workload = Workload(SystemClock(), caller, PLAN)
        result = await workload.complete(b"{}")
        self.assertEqual(caller.sent[failing_node], 1)
        return result

    def violated_guarantees(self, live: LiveResult, *generations: GenerationEnded) -> list[str]:
        result = AcceptanceResult(live=(live,), bookings=(), lookups_answered=0, lookups_failed=0)
        logs = DeploymentLogs(list(generations), [], [])
        return [mismatch.guarantee for mismatch in verify(PLAN, result, logs)]

    async def test_rejection_by_the_stopping_node_is_retried_at_the_next_node(self) -> None:
        live = await self.send(REJECTED)
        self.assertEqual((live.request_id, live.failure), ("r-2", ""))
        self.assertEqual(self.violated_guarantees(live), [])

    async def test_rejected_request_that_ran_is_a_mismatch(self) -> None:
        live = await self.send(REJECTED)
        self.assertEqual(
            self.violated_guarantees(live, make_generation("r-1")), ["refused_not_run"]
        )

    async def test_interrupted_request_is_not_retried(self) -> None:
        live = await self.send(INTERRUPTED)
        self.assertEqual(live.failure, "backend_failed")
        self.assertEqual(self.violated_guarantees(live), ["planned_stop"])

    async def test_rejections_by_other_nodes_or_with_other_codes_are_mismatches(self) -> None:
        overloaded = msgspec.structs.replace(REJECTED, code="overloaded")
        self.assertEqual(self.violated_guarantees(await self.send(overloaded)), ["planned_stop"])
        elsewhere = Rejection(node=RUNNING_NODE, request_id="r-1", code=REJECTED.code, detail="")
        self.assertEqual(
            self.violated_guarantees(LiveResult(request_id="r-2", rejections=(elsewhere,))),
            ["planned_stop"],
        )

    async def test_request_that_every_node_rejects_has_failed(self) -> None:
        rejected_twice = LiveResult(request_id="r-1", failure="not_ready")
        self.assertEqual(self.violated_guarantees(rejected_twice), ["planned_stop"])


if __name__ == "__main__":
    unittest.main()
