"""The command line: help, exit codes, structured output, schemas."""

import asyncio
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

import msgspec
import typer
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port
from typer.testing import CliRunner

from drumbay.api.application import make_application
from drumbay.api.schema import (
    ApplyBody,
    ApplyOutcomeBody,
    ExplanationBody,
    ResourceListBody,
    StatusBody,
)
from drumbay.cli.errors import ExitCode
from drumbay.cli.main import make_app
from drumbay.cli.output import ChangeList
from drumbay.cli.schema import SCHEMA_DIALECT, SchemaSubject
from drumbay.exceptions import Execution
from drumbay.requests.errors import ConflictingWriteError
from drumbay.resources.schema import AccessToken, ZoneEvacuation
from tests.api_node import FakeNode
from tests.documents import sections

DRAINS = "kind: Drain\nname: one\nselector: {}\n---\nkind: Drain\nname: two\nselector: {}\n"
UNREACHABLE_SERVER = "http://127.0.0.1:1"

app = make_app([])


def commands(group: typer.Typer, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield the path of every command in a group, recursively."""
    for command in group.registered_commands:
        name = command.name or str(getattr(command.callback, "__name__", ""))
        yield (*path, name.replace("_", "-"))
    for subgroup in group.registered_groups:
        typer_group = subgroup.typer_instance
        if typer_group is not None:
            yield from commands(typer_group, (*path, str(typer_group.info.name)))


class HelpTest(unittest.TestCase):
    def test_every_command_has_help_with_an_example(self) -> None:
        paths = list(commands(app))
        self.assertGreater(len(paths), 18)
        for path in paths:
            with self.subTest(command=" ".join(path)):
                result = CliRunner().invoke(app, [*path, "--help"])
                self.assertEqual(result.exit_code, ExitCode.SUCCESS)
                text = " ".join(result.output.split())
                self.assertIn(f"Example: drumbay {' '.join(path)}", text)

    def test_schemas(self) -> None:
        for subject in SchemaSubject:
            result = CliRunner().invoke(app, ["schema", subject.value])
            document = msgspec.json.decode(result.stdout)
            self.assertEqual(document["$schema"], SCHEMA_DIALECT)
            names = [entry["$ref"].rpartition("/")[2] for entry in document["anyOf"]]
            self.assertLessEqual(set(names), set(document["$defs"]))

    def test_token_prints_resource_to_stdout_and_secret_to_stderr(self) -> None:
        result = CliRunner().invoke(app, ["token", "counter", "--role", "trainer"])
        resource = msgspec.yaml.decode(result.stdout, type=AccessToken)
        self.assertEqual(resource.role, "trainer")
        self.assertTrue(result.stderr.startswith("token: "))


class ExitCodeTest(unittest.TestCase):
    def test_exit_codes_are_documented(self) -> None:
        cells = sections("OPERATIONS.md")["Exit codes"].first_cells()
        self.assertEqual(cells, [str(code.value) for code in ExitCode])

    def test_invalid_input(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "file"
            file.write_text("kind: Drain\nname: UPPER\n")
            cases = [
                ["apply", "-f", str(file)],
                ["apply", "-f", str(file) + "-absent"],
                ["node", "--settings", str(file)],
                ["simulate", "--scenario", "no-such-scenario"],
                ["simulate", "--seeds", "9..1"],
                ["schema", "weather"],
                ["no-such-command"],
            ]
            for arguments in cases:
                with self.subTest(arguments=arguments):
                    result = CliRunner().invoke(app, arguments)
                    self.assertEqual(result.exit_code, ExitCode.INVALID_INPUT, result.output)

    def test_unreachable_server(self) -> None:
        result = CliRunner().invoke(app, ["status", "--server", UNREACHABLE_SERVER])
        self.assertEqual(result.exit_code, ExitCode.UNREACHABLE)
        self.assertTrue(result.stderr.startswith("error: server_unreachable: "))


class SilentServer(TCPServer):
    """Reads a request and closes the connection without a response."""

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        await stream.read_until(b"\r\n\r\n")
        stream.close()


class OperatorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "drains.yaml"
        self.file.write_text(DRAINS)

    async def asyncSetUp(self) -> None:
        self.node = FakeNode()
        socket, port = bind_unused_port()
        server = HTTPServer(make_application(self.node, authentication=False))
        server.add_socket(socket)
        self.addCleanup(server.stop)
        self.server = f"http://127.0.0.1:{port}"

    async def run_command(self, *arguments: str, server: str | None = None) -> tuple[int, str]:
        """Run a command against the node; return its exit code and standard output."""
        line = [*arguments, "--server", server or self.server]
        result = await asyncio.to_thread(CliRunner().invoke, app, line)
        return result.exit_code, result.stdout

    async def test_structured_output(self) -> None:
        cases: list[tuple[tuple[str, ...], type[msgspec.Struct], ExitCode]] = [
            (("apply", "-f", str(self.file)), ChangeList, ExitCode.SUCCESS),
            (("delete", "Drain", "one"), ChangeList, ExitCode.UNKNOWN_OUTCOME),
            (("evacuate", "hall"), ChangeList, ExitCode.SUCCESS),
            (("evacuate", "hall", "--end"), ChangeList, ExitCode.UNKNOWN_OUTCOME),
            (("operation", "o"), ApplyOutcomeBody, ExitCode.SUCCESS),
            (("get",), ResourceListBody, ExitCode.SUCCESS),
            (("status",), StatusBody, ExitCode.SUCCESS),
            (("explain", "request", "r"), ExplanationBody, ExitCode.FAILED),
        ]
        for arguments, record, expected in cases:
            with self.subTest(arguments=arguments):
                code, text = await self.run_command(*arguments, "-o", "json")
                self.assertEqual(code, expected)
                from_json = msgspec.json.decode(text, type=record)
                code, text = await self.run_command(*arguments, "-o", "table")
                self.assertEqual(code, expected)
                code, text = await self.run_command(*arguments, "-o", "yaml")
                from_yaml = msgspec.yaml.decode(text, type=record)
                if record is not ChangeList:
                    self.assertEqual(from_json, from_yaml)

    async def test_evacuation_is_a_change_of_the_resource_named_by_the_zone(self) -> None:
        options = ("--expected-revision", "3")
        await self.run_command("evacuate", "hall", "--reason", "power works", *options)
        await self.run_command("evacuate", "hall", "--end", *options)
        body, deletion = self.node.calls
        assert isinstance(body, ApplyBody)
        expected = ZoneEvacuation(name="hall", zone="hall", reason="power works")
        self.assertEqual((body.resource, body.expected_revision), (expected, 3))
        self.assertEqual(deletion, ("ZoneEvacuation", "hall", 3))

    async def test_invalid_evacuation_is_not_sent(self) -> None:
        for arguments in (("HALL",), ("hall", "--end", "--reason", "done"), ()):
            with self.subTest(arguments=arguments):
                code, _ = await self.run_command("evacuate", *arguments)
                self.assertEqual(code, ExitCode.INVALID_INPUT)
        self.assertEqual(self.node.calls, [])

    async def test_rejected_change(self) -> None:
        self.node.failure = ConflictingWriteError("seen 3, found 4", execution=Execution.NOT_RUN)
        code, _ = await self.run_command("apply", "-f", str(self.file))
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertEqual(len(self.node.calls), 1)
        code, _ = await self.run_command("evacuate", "hall")
        self.assertEqual(code, ExitCode.REFUSED)

    async def test_change_without_a_response_has_unknown_outcome(self) -> None:
        socket, port = bind_unused_port()
        silent_server = SilentServer()
        silent_server.add_socket(socket)
        self.addCleanup(silent_server.stop)
        server = f"http://127.0.0.1:{port}"
        code, _ = await self.run_command("apply", "-f", str(self.file), server=server)
        self.assertEqual(code, ExitCode.UNKNOWN_OUTCOME)
        code, _ = await self.run_command("get", server=server)
        self.assertEqual(code, ExitCode.UNREACHABLE)
        code, _ = await self.run_command("apply", "-f", str(self.file), server=UNREACHABLE_SERVER)
        self.assertEqual(code, ExitCode.UNREACHABLE)

    async def test_failure_that_may_have_run_has_unknown_outcome(self) -> None:
        self.node.failure = ZeroDivisionError("oops")
        code, _ = await self.run_command("delete", "Drain", "one")
        self.assertEqual(code, ExitCode.UNKNOWN_OUTCOME)
        code, _ = await self.run_command("apply", "-f", str(self.file))
        self.assertEqual(code, ExitCode.UNKNOWN_OUTCOME)

    async def test_file_with_an_invalid_resource_is_not_sent(self) -> None:
        self.file.write_text(DRAINS + "---\nkind: Route\nname: r\nroute_kind: live\nselector: {}\n")
        code, _ = await self.run_command("apply", "-f", str(self.file))
        self.assertEqual(code, ExitCode.INVALID_INPUT)
        self.assertEqual(self.node.calls, [])
