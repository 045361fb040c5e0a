"""What the acceptance run calls a broken promise, and what it does not.

What happened: of two runs of ``make demo`` one failed with ``failed: not_ready``: of 48 live
requests one, sent while a node was being stopped, was refused. ``not_ready`` was taken for the
word of a node that has no configuration. It is also what a node answers from the moment at which
it is told to stop, with the promise that nothing ran and a time to come back
(``test_planned_stop`` asks for just that). A live request that chose its node before the signal
and arrived after it got that answer, and the load took refused lookups to the next node, but not
live requests.

What is promised is that a planned stop cuts nothing off, and that what is refused has not run.
"""

import unittest
from collections import Counter
from io import BytesIO

import msgspec
from tornado.httpclient import HTTPRequest, HTTPResponse

from drumbay.acceptance.calls import Caller, CallFailedError
from drumbay.acceptance.records import AcceptancePlan, AcceptanceResult, LiveResult, Refusal
from drumbay.acceptance.verification import DeploymentLogs, verify
from drumbay.acceptance.workload import Workload
from drumbay.api.schema import CompletionAnswer, ErrorDetail, Usage
from drumbay.clock import SystemClock
from drumbay.identifiers import AttemptId, BootId, WeightVersion
from drumbay.standins.execution_log import GenerationEnded, GenerationOutcome, VersionSpan

OTHER = "http://node-1"
STOPPING = "http://node-3"
PLAN = AcceptancePlan(
    nodes=(OTHER, STOPPING), trainer="", model="m", stream="s", stop_process_id=1, steps=0
)
REFUSED = ErrorDetail(
    code="not_ready", detail="this node is stopping", run="not_run", request_id="r-1"
)
CUT_OFF = ErrorDetail(code="backend_failed", detail="broke off", run="may_have_run")


class ScriptedCaller(Caller):
    """Answers live requests at one node, and fails them at the other as it is told."""

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
        answer = CompletionAnswer(
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
        body_of_answer = BytesIO(msgspec.json.encode(answer))
        return HTTPResponse(HTTPRequest(url), 200, buffer=body_of_answer)


def generation_of(request_id: str) -> GenerationEnded:
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


class RefusedLiveRequestTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, error: ErrorDetail, failing_node: str = STOPPING) -> LiveResult:
        """Send a live request that meets the failing node first."""
        caller = ScriptedCaller(failing_node, error)
        self.addCleanup(caller.close)
        workload = Workload(SystemClock(), caller, PLAN)
        result = await workload.complete(b"{}")
        self.assertEqual(caller.sent[failing_node], 1)
        return result

    def broken(self, live: LiveResult, *generations: GenerationEnded) -> list[str]:
        result = AcceptanceResult(live=(live,), bookings=(), lookups_answered=0, lookups_failed=0)
        logs = DeploymentLogs(list(generations), [], [])
        return [found.promise for found in verify(PLAN, result, logs)]

    async def test_a_refusal_by_the_stopping_node_is_taken_to_the_next_one(self) -> None:
        live = await self.send(REFUSED)
        self.assertEqual((live.request_id, live.failure), ("r-2", ""))
        self.assertEqual(self.broken(live), [])

    async def test_what_was_refused_must_not_have_run(self) -> None:
        live = await self.send(REFUSED)
        self.assertEqual(self.broken(live, generation_of("r-1")), ["refused_not_run"])

    async def test_what_is_cut_off_is_not_sent_again(self) -> None:
        live = await self.send(CUT_OFF)
        self.assertEqual(live.failure, "backend_failed")
        self.assertEqual(self.broken(live), ["planned_stop"])

    async def test_no_other_node_and_no_other_refusal_is_excused(self) -> None:
        overloaded = msgspec.structs.replace(REFUSED, code="overloaded")
        self.assertEqual(self.broken(await self.send(overloaded)), ["planned_stop"])
        elsewhere = Refusal(node=OTHER, request_id="r-1", code=REFUSED.code, detail="")
        self.assertEqual(
            self.broken(LiveResult(request_id="r-2", refusals=(elsewhere,))), ["planned_stop"]
        )

    async def test_a_request_that_every_node_refuses_has_failed(self) -> None:
        refused_twice = LiveResult(request_id="r-1", failure="not_ready")
        self.assertEqual(self.broken(refused_twice), ["planned_stop"])


if __name__ == "__main__":
    unittest.main()
