"""Entries of other writers: those that cannot be understood name no worker and change no rule."""

import json
import unittest
from typing import Any

from drumbay_platform.feeds import EntryNotUnderstoodError, NodeFeeds, parse_worker
from loguru import logger

from drumbay.identifiers import BackendId, Revision
from drumbay.kv.interface import KeyValue, WatchEvent
from drumbay.serving.node import ENTRY_EXPIRY_GAP_SECONDS
from tests.serving_world import ServingWorld, play

SECRET = "secret-of-a-tenant"

WHOLE: dict[str, Any] = {
    "svc": "engines",
    "addr": "10.128.0.9:8080",
    "zone": "z",
    "ver": "v1",
    "slots": 6,
    "state": "ready",
    "warmupLeftMs": 120.5,
    "seq": 4,
}
OTHERS = {"models": [{"name": "m", "ver": 3, "loras": []}], "born": 1_700_000_000_000}

BROKEN_ENTRIES: dict[str, bytes] = {
    **{
        f"no {name}": json.dumps({k: v for k, v in WHOLE.items() if k != name}).encode()
        for name in WHOLE
    },
    **{
        f"{name} of another type": json.dumps({**WHOLE, **OTHERS, name: [SECRET]}).encode()
        for name in (*WHOLE, *OTHERS)
    },
    **{
        f"{name} null": json.dumps({**WHOLE, **OTHERS, name: None}).encode()
        for name in (*WHOLE, *OTHERS)
    },
    "no slots left": json.dumps({**WHOLE, "slots": 0}).encode(),
    "slots as text": json.dumps({**WHOLE, "slots": "6"}).encode(),
    "a start with a fraction": json.dumps({**WHOLE, "born": 1.5}).encode(),
    "an unknown state": json.dumps({**WHOLE, "state": SECRET}).encode(),
    "no address": json.dumps({**WHOLE, "addr": SECRET}).encode(),
    "no port": json.dumps({**WHOLE, "addr": f"{SECRET}:http"}).encode(),
    "a port out of range": json.dumps({**WHOLE, "addr": "10.0.0.1:70000"}).encode(),
    "no service": json.dumps({**WHOLE, "svc": ""}).encode(),
    "blanks in the address": json.dumps({**WHOLE, "addr": f"10.0.0.1 {SECRET}:80"}).encode(),
    "an address with a line break": json.dumps({**WHOLE, "addr": "10.0.0.1\r\n:80"}).encode(),
    "an address beyond ASCII": json.dumps({**WHOLE, "addr": "h\u00e9:80"}).encode(),
    "a port with a sign": json.dumps({**WHOLE, "addr": "10.0.0.1:+80"}).encode(),
    "a port with a blank": json.dumps({**WHOLE, "addr": "10.0.0.1: 80"}).encode(),
    "a port with an underscore": json.dumps({**WHOLE, "addr": "10.0.0.1:8_0"}).encode(),
    "a port in other digits": json.dumps({**WHOLE, "addr": "10.0.0.1:\u0668\u0660"}).encode(),
    **{
        f"{name} {number}": json.dumps({**WHOLE, name: number}).encode()
        for name in ("slots", "seq", "born")
        for number in (2**53, 10**30)
    },
    **{f"{name} negative": json.dumps({**WHOLE, name: -1}).encode() for name in ("seq", "born")},
    **{
        f"version {number}": json.dumps(
            {**WHOLE, "models": [{"name": "m", "ver": number}]}
        ).encode()
        for number in (-1, 2**53, 10**30)
    },
    "no object": json.dumps([SECRET]).encode(),
    "nothing": b"",
    "cut off": json.dumps(WHOLE).encode()[:-9],
    "no text": b"\xff\x00\xfe" + SECRET.encode(),
    "text with other bytes": json.dumps(WHOLE).encode().replace(b"engines", b"\xff\xfe"),
    "nested deeply": b'{"x":' + b"[" * 100_000,
}

CONFIGURATION: dict[str, Any] = {
    "ver": 1,
    "routes": [{"name": "r", "host": "h", "pathPrefix": "/p/", "svc": "engines"}],
}
NEWER = {**CONFIGURATION, "ver": 2, "routes": []}
BROKEN_CONFIGURATIONS: dict[str, bytes] = {
    "limits of another type": json.dumps({**NEWER, "limits": SECRET}).encode(),
    "tenants of another type": json.dumps({**NEWER, "tenants": [{"name": [SECRET]}]}).encode(),
    "a key of another type": json.dumps(
        {**NEWER, "tenants": [{"name": "t", "apiKeys": [SECRET, 5]}]}
    ).encode(),
    "scaling of another type": json.dumps(
        {**NEWER, "svcs": [{"name": "engines", "scaling": SECRET}]}
    ).encode(),
    "no version": json.dumps({"routes": []}).encode(),
    "no text": b"\xff" + SECRET.encode(),
    "nested deeply": b'{"x":' + b"[" * 100_000,
}
BROKEN_VERSIONS = ('"3"', "-1", str(2**53), str(10**30))


def encoded(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields).encode()


class Fed:
    """A node that is fed with entries."""

    def __init__(
        self, world: ServingWorld, configuration: dict[str, Any] | None = CONFIGURATION
    ) -> None:
        self.node = world.nodes[0].node
        self.operator, self.workers = NodeFeeds(self.node, 2.0).feeds()
        self.revision = 0
        if configuration is not None:
            self.write("op/config", encoded(configuration))
        self.lines: list[str] = []
        self._handler = logger.add(self.lines.append, level="DEBUG", format="{message} {extra}")

    def close(self) -> None:
        logger.remove(self._handler)

    def item(self, key: str, value: bytes) -> KeyValue:
        self.revision += 1
        revision = Revision(self.revision)
        return KeyValue(
            key=key, value=value, create_revision=revision, mod_revision=revision, version=1
        )

    def write(self, key: str, value: bytes) -> None:
        """Let an event tell of an entry."""
        item = self.item(key, value)
        feed = self.workers if key.startswith(self.workers.prefix) else self.operator
        feed.on_event(WatchEvent(key=key, mod_revision=item.mod_revision, item=item))

    @property
    def known(self) -> list[str]:
        return [record.worker.worker_id for record in self.node.directory.of_service("engines")]

    @property
    def in_use(self) -> list[str]:
        return sorted(self.node.directory.all_records())

    def not_named(self) -> list[str]:
        return [line for line in self.lines if line.startswith("worker_service_not_named")]

    def complaints(self) -> list[str]:
        return [line for line in self.lines if line.startswith("entry_not_understood")]


class WorkerEntriesTest(unittest.TestCase):
    def test_whole_entries_are_taken(self) -> None:
        for fields in (WHOLE, {**WHOLE, **OTHERS}, {**WHOLE, "state": "draining", "more": [1]}):
            found = parse_worker("servers/i-1", encoded(fields))
            self.assertEqual(found.worker_id, "i-1")
            self.assertEqual(found.started_at_ms, fields.get("born", 0))

    def test_all_others_are_not(self) -> None:
        for name, value in BROKEN_ENTRIES.items():
            with self.subTest(name), self.assertRaises(EntryNotUnderstoodError) as caught:
                parse_worker("servers/i-1", value)
            self.assertNotIn(SECRET, str(caught.exception))
        for key in ("servers/", "servers/a\nb", "servers/\u00e9"):
            with self.subTest(key), self.assertRaises(EntryNotUnderstoodError):
                parse_worker(key, encoded(WHOLE))

    def test_a_worker_gets_nothing_new_until_its_entry_is_whole_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world)
            self.addCleanup(fed.close)
            for worker_id in ("i-1", "i-2"):
                fed.write(f"servers/{worker_id}", encoded(WHOLE))
            for name, value in BROKEN_ENTRIES.items():
                with self.subTest(name):
                    fed.lines.clear()
                    fed.write("servers/i-1", value)
                    self.assertEqual(fed.known, ["i-2"])
                    (line,) = fed.complaints()
                    self.assertIn("servers/i-1", line)
                    self.assertIn(str(fed.revision), line)
                    self.assertNotIn(SECRET, line)
                    fed.write("servers/i-1", encoded({**WHOLE, "seq": 5}))
                    self.assertEqual(fed.known, ["i-1", "i-2"])

        play(scenario, node_count=1, worker_count=0)

    def test_a_snapshot_holds_but_for_them_and_tells_of_each_once(self) -> None:
        """An entry that is there has not lapsed, however long changes went unseen."""

        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world)
            self.addCleanup(fed.close)
            for worker_id in ("i-1", "i-2", "i-3"):
                fed.write(f"servers/{worker_id}", encoded(WHOLE))
            broken = fed.item("servers/i-1", encoded({**WHOLE, "slots": SECRET}))
            whole = fed.item("servers/i-2", encoded(WHOLE))
            for unseen_seconds, known in (
                (2 * ENTRY_EXPIRY_GAP_SECONDS, ["i-2", "i-3"]),
                (0.0, ["i-2"]),
                (2 * ENTRY_EXPIRY_GAP_SECONDS, ["i-2"]),
            ):
                fed.workers.on_snapshot((broken, whole), unseen_seconds)
                self.assertEqual(fed.known, known)
            self.assertEqual(len(fed.complaints()), 1)

        play(scenario, node_count=1, worker_count=0)

    def test_a_restart_in_discovery_reaches_the_directory(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world)
            self.addCleanup(fed.close)
            for start_ms in (5, 9, 7):
                fed.write("servers/i-1", encoded({**WHOLE, "born": start_ms}))
                record = fed.node.directory.get(BackendId("i-1"))
                assert record is not None
                self.assertEqual(record.worker.started_at_ms, start_ms)

        play(scenario, node_count=1, worker_count=0)


class ServicesTest(unittest.TestCase):
    """Entries of services that the configuration in force does not name."""

    def test_they_are_out_of_use_until_a_configuration_names_them(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world, configuration=None)
            self.addCleanup(fed.close)
            for worker_id, service in (("i-1", "engines"), ("i-2", "others"), ("i-3", "listed")):
                fed.write(f"servers/{worker_id}", encoded({**WHOLE, "svc": service}))
            self.assertEqual(fed.in_use, [])
            self.assertEqual(fed.not_named(), [])
            listed = {"svcs": [{"name": "listed"}]}
            fed.write("op/config", encoded({**CONFIGURATION, **listed}))
            self.assertEqual(fed.in_use, ["i-1", "i-3"])
            (line,) = fed.not_named()
            self.assertIn("i-2", line)
            split = [{"svc": "others"}, {"svc": "listed", "weight": 2.0}]
            route = {"name": "r", "host": "h", "pathPrefix": "/p/", "split": split}
            fed.write("op/config", encoded({"ver": 2, "routes": [route]}))
            self.assertEqual(fed.in_use, ["i-2", "i-3"])

        play(scenario, node_count=1, worker_count=0)

    def test_a_known_worker_gets_nothing_new_and_one_that_is_not_used_replaces_nobody(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world)
            self.addCleanup(fed.close)
            for worker_id in ("i-1", "i-2"):
                fed.write(f"servers/{worker_id}", encoded(WHOLE))
            record = fed.node.directory.get(BackendId("i-2"))
            assert record is not None
            fed.write("servers/i-1", encoded({**WHOLE, "svc": "others"}))
            fed.write("servers/i-9", encoded({**WHOLE, "svc": "others"}))
            self.assertEqual(fed.in_use, ["i-2"])
            self.assertFalse(fed.node.directory.is_replaced(record.worker))
            fed.write("servers/i-1", encoded(WHOLE))
            self.assertEqual(fed.in_use, ["i-1", "i-2"])

        play(scenario, node_count=1, worker_count=0)

    def test_a_snapshot_and_the_end_of_an_entry_hold_for_them_too(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world)
            self.addCleanup(fed.close)
            for worker_id in ("i-1", "i-2", "i-3"):
                fed.write(f"servers/{worker_id}", encoded(WHOLE))
            unnamed = [
                fed.item(f"servers/{worker_id}", encoded({**WHOLE, "svc": "others"}))
                for worker_id in ("i-1", "i-2", "i-4")
            ]
            whole = fed.item("servers/i-3", encoded(WHOLE))
            for _ in range(2):
                fed.workers.on_snapshot((*unnamed, whole), 2 * ENTRY_EXPIRY_GAP_SECONDS)
                self.assertEqual(fed.in_use, ["i-3"])
            self.assertEqual(len(fed.not_named()), 3)
            fed.write("servers/i-1", b"")
            gone = WatchEvent(key="servers/i-2", mod_revision=Revision(99), item=None)
            fed.workers.on_event(gone)
            route = {"name": "r", "host": "h", "pathPrefix": "/p/", "svc": "others"}
            fed.write("op/config", encoded({"ver": 2, "routes": [route]}))
            self.assertEqual(fed.in_use, ["i-4"])

        play(scenario, node_count=1, worker_count=0)


class OperatorEntriesTest(unittest.TestCase):
    def test_what_was_in_force_stays_and_the_others_hold(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            fed = Fed(world)
            self.addCleanup(fed.close)
            fed.write("op/config", encoded(CONFIGURATION))
            fed.write("op/version/m", encoded({"model": "m", "ver": 2}))
            for name, value in BROKEN_CONFIGURATIONS.items():
                with self.subTest(name):
                    fed.lines.clear()
                    broken = fed.item("op/config", value)
                    number = BROKEN_VERSIONS[fed.revision % len(BROKEN_VERSIONS)]
                    version = fed.item("op/version/m", b'{"model":"m","ver":%s}' % number.encode())
                    other = fed.item("op/version/n", encoded({"model": "n", "ver": fed.revision}))
                    for _ in range(2):
                        fed.operator.on_snapshot((broken, version, other), 0.0)
                    current = fed.node.routes.current
                    assert current is not None
                    self.assertEqual(current.version, 1)
                    self.assertEqual([route.name for route in current.routes], ["r"])
                    self.assertEqual(fed.node.named_versions.newest_of("m"), 2)
                    self.assertEqual(fed.node.named_versions.newest_of("n"), other.mod_revision - 1)
                    self.assertEqual(len(fed.complaints()), 2)
                    self.assertNotIn(SECRET, "".join(fed.complaints()))
            fed.write("op/config", encoded(NEWER))
            assert fed.node.routes.current is not None
            self.assertEqual(fed.node.routes.current.version, 2)

        play(scenario, node_count=1, worker_count=0)
