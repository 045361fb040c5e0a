"""The HTTP interface over a fake node: typed errors, limits, roles, streams and probes."""

import asyncio
import json
import socket
from typing import Any

import msgspec
from loguru import logger
from tornado.httpclient import HTTPResponse
from tornado.iostream import IOStream
from tornado.testing import AsyncHTTPTestCase, gen_test
from tornado.web import Application

from drumbay.api.application import MAX_BODY_BYTES, MAX_HEADER_BYTES, make_application
from drumbay.api.schema import ErrorBody, ErrorDetail
from drumbay.exceptions import Execution
from drumbay.observability.logs import _format_record
from drumbay.requests.errors import (
    BackendFailedError,
    ConflictingWriteError,
    OverloadedError,
)
from drumbay.resources.schema import Role
from tests.api_node import CHUNK_COUNT, CREATED_UNIX_SECONDS, FakeNode, token_for

COMPLETION = {"model": "advies", "prompt": "which primer"}
EVACUATION = {
    "resource": {"kind": "ZoneEvacuation", "name": "z", "zone": "z"},
    "operation_id": "o",
}
DRAIN = {"resource": {"kind": "Drain", "name": "d", "selector": {}}, "operation_id": "o"}


class ApiTestCase(AsyncHTTPTestCase):
    authentication = False

    def setUp(self) -> None:
        self.node = FakeNode()
        super().setUp()

    def get_app(self) -> Application:
        return make_application(self.node, self.authentication)

    def get_httpserver_options(self) -> dict[str, Any]:
        return {
            "max_body_size": MAX_BODY_BYTES,
            "max_header_size": MAX_HEADER_BYTES,
        }

    def send(
        self, method: str, path: str, body: object = None, headers: dict[str, str] | None = None
    ) -> HTTPResponse:
        data = None if body is None else json.dumps(body)
        request_headers = {"Connection": "close", **(headers or {})}
        return self.fetch(
            path, method=method, body=data, headers=request_headers, allow_nonstandard_methods=True
        )

    def complete(self, **fields: object) -> HTTPResponse:
        return self.send("POST", "/v1/completions", COMPLETION | fields)

    def error_of(self, response: HTTPResponse) -> ErrorDetail:
        self.assertEqual(response.headers["Content-Type"], "application/json")
        return msgspec.json.decode(response.body, type=ErrorBody).error


class TypedErrorTest(ApiTestCase):
    def test_rejection_reports_execution_and_retry_time(self) -> None:
        self.node.failure = OverloadedError(
            "full", execution=Execution.NOT_RUN, retry_after_seconds=1.2
        )
        response = self.complete()
        self.assertEqual(response.code, 429)
        self.assertEqual(response.headers["Retry-After"], "2")
        error = self.error_of(response)
        self.assertEqual((error.code, error.run), ("overloaded", "not_run"))
        self.assertEqual(error.request_id, "node-1~boot~1")
        self.assertEqual(response.headers["X-Request-Id"], "node-1~boot~1")

    def test_failure_that_may_have_run(self) -> None:
        self.node.failure = BackendFailedError("broke", execution=Execution.MAY_HAVE_RUN)
        response = self.send("POST", "/app/articles", {})
        self.assertEqual(response.code, 502)
        self.assertEqual(self.error_of(response).run, "may_have_run")
        self.assertNotIn("Retry-After", response.headers)

    def test_unexpected_exception_may_have_run(self) -> None:
        self.node.failure = ZeroDivisionError("oops")
        response = self.complete()
        self.assertEqual(response.code, 500)
        self.assertEqual(self.error_of(response).run, "may_have_run")

    def test_conflict(self) -> None:
        self.node.failure = ConflictingWriteError("seen 3, found 4", execution=Execution.NOT_RUN)
        response = self.send("PUT", "/v1/resources/Drain/d", DRAIN)
        self.assertEqual((response.code, self.error_of(response).code), (409, "conflict"))

    def test_invalid_requests_get_typed_errors_and_do_not_reach_the_node(self) -> None:
        long_key = {"Idempotency-Key": "k" * 256}
        cases: list[tuple[str, str, object, dict[str, str], int]] = [
            ("GET", "/no/such/path", None, {}, 404),
            ("POST", "/no/such/path", {}, {}, 404),
            ("DELETE", "/v1/completions", None, {}, 405),
            ("POST", "/v1/completions", {"prompt": "no model"}, {}, 400),
            ("POST", "/v1/completions", [], {}, 400),
            ("POST", "/app/x", {}, {"Drumbay-Repeatable": "perhaps"}, 400),
            ("POST", "/app/x", {}, long_key, 400),
            ("GET", "/v1/streams/s/samples?cursor=-1&oldest_version=0", None, {}, 400),
            ("GET", "/v1/streams/s/samples", None, {}, 400),
            ("PUT", "/v1/resources/Drain/other", DRAIN, {}, 400),
            ("PUT", "/v1/resources/Drain/d", DRAIN | {"surplus": 1}, {}, 400),
            ("DELETE", "/v1/resources/Drain/d", None, {}, 400),
            ("GET", "/v1/explain/weather/today", None, {}, 400),
        ]
        for method, path, body, headers, status in cases:
            with self.subTest(method=method, path=path, body=body):
                response = self.send(method, path, body, headers)
                self.assertEqual(response.code, status)
                self.assertEqual(self.error_of(response).run, "not_run")
        self.assertEqual(self.node.calls, [])

    def test_invalid_timeouts_are_rejected(self) -> None:
        for text in ("soon", "0", "-1", "inf", "nan", "1e9"):
            for path, body in (("/v1/completions", COMPLETION), ("/app/x", {})):
                with self.subTest(text=text, path=path):
                    headers = {"Drumbay-Timeout-Seconds": text}
                    response = self.send("POST", path, body, headers)
                    self.assertEqual(response.code, 400)
                    self.assertIn("Drumbay-Timeout-Seconds", self.error_of(response).detail)
        self.assertEqual(self.node.calls, [])

    def test_timeout_reaches_the_node(self) -> None:
        self.send("POST", "/app/x", {}, {"Drumbay-Timeout-Seconds": "2.5"})
        (call,) = self.node.calls
        self.assertEqual(getattr(call, "timeout_seconds", None), 2.5)


class SizeLimitsTest(ApiTestCase):
    @gen_test
    async def test_oversized_body_and_headers_are_rejected(self) -> None:
        head = b"POST /app/x HTTP/1.1\r\nHost: n\r\n"
        large_body = head + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        large_header = head + b"X: " + b"x" * MAX_HEADER_BYTES + b"\r\n\r\n"
        for data, expected_start in ((large_body, b"HTTP/1.1 400"), (large_header, b"")):
            stream = await self.connect()
            await stream.write(data)
            self.assertTrue((await stream.read_until_close()).startswith(expected_start))
        self.assertEqual(self.node.calls, [])

    async def connect(self) -> IOStream:
        reader = IOStream(socket.socket())
        await reader.connect(("127.0.0.1", self.get_http_port()))
        return reader


class RolesTest(ApiTestCase):
    authentication = True

    def status_as(self, role: Role | None, method: str, path: str, body: object = None) -> int:
        headers = {} if role is None else {"Authorization": f"Bearer {token_for(role)}"}
        code: int = self.send(method, path, body, headers).code
        return code

    def test_permissions_of_each_role(self) -> None:
        rollout = {"stream": "s", "step": 0, "model": "m", "prompts": []}
        callers = {Role.CALLER, Role.OPERATOR}
        trainers = {Role.TRAINER, Role.OPERATOR}
        operators = {Role.OPERATOR}
        cases: list[tuple[str, str, object, set[Role]]] = [
            ("POST", "/v1/completions", COMPLETION, callers),
            ("GET", "/app/x", None, callers),
            ("POST", "/v1/rollouts", rollout, trainers),
            ("GET", "/v1/streams/s/samples?cursor=0&oldest_version=0", None, trainers),
            ("POST", "/v1/streams/s/checkpoint", {"cursor": 0}, trainers),
            ("POST", "/v1/models/m/versions", {"version": 1}, trainers),
            ("GET", "/v1/resources", None, operators),
            ("PUT", "/v1/resources/Drain/d", DRAIN, operators),
            ("PUT", "/v1/resources/ZoneEvacuation/z", EVACUATION, operators),
            ("DELETE", "/v1/resources/ZoneEvacuation/z?operation_id=o", None, operators),
            ("GET", "/v1/operations/o", None, operators),
            ("GET", "/v1/status", None, operators),
            ("GET", "/v1/explain/request/r", None, set(Role)),
        ]
        for method, path, body, allowed in cases:
            with self.subTest(path=path):
                self.assertEqual(self.status_as(None, method, path, body), 401)
                for role in Role:
                    status = self.status_as(role, method, path, body)
                    self.assertEqual(status < 300, role in allowed, f"{role} got {status}")
                    self.assertIn(status, (200, 202, 204, 403))

    def test_invalid_credentials_are_rejected(self) -> None:
        secret = token_for(Role.OPERATOR)
        stored_hash = self.node.tokens[0].sha256
        for header in ("", secret, f"Basic {secret}", "Bearer ", f"Bearer {stored_hash}"):
            with self.subTest(header=header):
                response = self.send("GET", "/v1/status", None, {"Authorization": header})
                self.assertEqual(response.code, 401)
                self.assertEqual(response.headers["WWW-Authenticate"], "Bearer")

    def test_node_without_configuration_is_not_ready(self) -> None:
        self.node.ready = False
        self.node.tokens = ()
        response = self.send("GET", "/v1/status", None, {"Authorization": "Bearer x"})
        self.assertEqual((response.code, self.error_of(response).code), (503, "not_ready"))

    def test_tokens_are_not_logged(self) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, format=_format_record, level="DEBUG")
        self.addCleanup(logger.remove, sink)
        secret = token_for(Role.CALLER)
        self.assertEqual(self.status_as(Role.CALLER, "GET", "/v1/status"), 403)
        self.send("GET", "/v1/status", None, {"Authorization": f"Basic {secret}"})
        text = "".join(lines)
        self.assertIn("error=PermissionDeniedError", text)
        self.assertIn("error=AuthenticationRequiredError", text)
        self.assertNotIn(secret, text)
        for token in self.node.tokens:
            self.assertNotIn(token.sha256, text)


class StreamTest(ApiTestCase):
    def events(self, response: HTTPResponse) -> list[str]:
        return [line[6:] for line in response.body.decode().splitlines() if line]

    def test_stream_ends_with_done(self) -> None:
        events = self.events(self.complete(stream=True))
        self.assertEqual(len(events), CHUNK_COUNT + 1)
        self.assertEqual(events[-1], "[DONE]")

    def test_responses_and_events_have_the_fields_of_openai(self) -> None:
        chat = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
        for path, body, response_object, event_object in (
            ("/v1/completions", COMPLETION, "text_completion", "text_completion"),
            ("/v1/chat/completions", chat, "chat.completion", "chat.completion.chunk"),
        ):
            with self.subTest(path):
                complete_response = json.loads(self.send("POST", path, body).body)
                self.assertEqual(
                    (complete_response["object"], complete_response["created"]),
                    (response_object, CREATED_UNIX_SECONDS),
                )
                streamed = self.send("POST", path, body | {"stream": True})
                events = [json.loads(event) for event in self.events(streamed)[:-1]]
                self.assertEqual({event["object"] for event in events}, {event_object})
                self.assertEqual({event["id"] for event in events}, {events[0]["id"]})
                if path == "/v1/completions":
                    texts = [event["choices"][0]["text"] for event in events]
                    text = complete_response["choices"][0]["text"]
                else:
                    texts = [event["choices"][0]["delta"]["content"] for event in events]
                    text = complete_response["choices"][0]["message"]["content"]
                self.assertEqual("".join(texts), text)
                reason = complete_response["choices"][0]["finish_reason"]
                self.assertEqual(events[-1]["choices"][0]["finish_reason"], reason)

    def test_error_before_the_first_chunk_sets_the_status(self) -> None:
        self.node.failure = OverloadedError("full", execution=Execution.NOT_RUN)
        self.assertEqual(self.complete(stream=True).code, 429)

    def test_error_after_the_first_chunk_is_a_typed_event(self) -> None:
        self.node.chunks_before_failure = 2
        expected = BackendFailedError("broke", execution=Execution.MAY_HAVE_RUN)
        for failure, code in ((expected, "backend_failed"), (ZeroDivisionError(), "internal")):
            with self.subTest(code=code):
                self.node.failure = failure
                response = self.complete(stream=True)
                self.assertEqual(response.code, 200)
                events = self.events(response)
                self.assertEqual(len(events), 3)
                error = msgspec.json.decode(events[-1], type=ErrorBody).error
                self.assertEqual((error.code, error.run), (code, "may_have_run"))

    @gen_test
    async def test_disconnect_cancels_the_generation(self) -> None:
        self.node.hangs = True
        for is_streamed in (True, False):
            with self.subTest(stream=is_streamed):
                self.node.generation_started = asyncio.Event()
                self.node.generation_closed = asyncio.Event()
                body = json.dumps(COMPLETION | {"stream": is_streamed}).encode()
                stream = IOStream(socket.socket())
                await stream.connect(("127.0.0.1", self.get_http_port()))
                head = b"POST /v1/completions HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n"
                await stream.write(head % len(body) + body)
                await self.node.generation_started.wait()
                self.assertFalse(self.node.generation_closed.is_set())
                stream.close()
                await asyncio.wait_for(self.node.generation_closed.wait(), 5.0)


class ProbeTest(ApiTestCase):
    authentication = True

    def test_probes_need_no_token_and_report_the_state(self) -> None:
        cases = [
            (False, False, 503, "not ready: starting, revision 7, confirmed never"),
            (True, False, 200, "ready: current, revision 7, confirmed 0.5 s ago"),
            (True, True, 503, "not ready: stopping, revision 7, confirmed 0.5 s ago"),
            (False, True, 503, "not ready: stopping, revision 7, confirmed never"),
        ]
        for ready, draining, expected, text in cases:
            with self.subTest(ready=ready, draining=draining):
                self.node.ready, self.node.draining = ready, draining
                response = self.fetch("/readyz")
                self.assertEqual(response.code, expected)
                self.assertEqual(response.body.decode().strip(), text)
                self.assertEqual(self.fetch("/healthz").code, 200)
                self.assertEqual(self.fetch("/metrics").code, 200)
