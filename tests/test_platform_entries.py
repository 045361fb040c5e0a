"""Invalid store entries exclude their workers and leave the configuration unchanged."""

import json
import unittest
from typing import Any

from drumbay_platform.feeds import (
    InvalidEntryError,
    NodeFeeds,
    parse_configuration,
    parse_worker,
)
from loguru import logger

from drumbay.identifiers import BackendId, Revision
from drumbay.kv.interface import KeyValue, WatchEvent
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.serving.node import ENTRY_EXPIRY_GAP_SECONDS
from drumbay.tenants.records import TenantName
from tests.serving_world import ServingWorld, run_in_world

SECRET = "secret-of-a-tenant"

VALID_FIELDS: dict[str, Any] = {
    "svc": "engines",
    "addr": "10.128.0.9:8080",
    "zone": "z",
    "ver": "v1",
    "slots": 6,
    "state": "ready",
    "warmupLeftMs": 120.5,
    "seq": 4,
}
OPTIONAL_FIELDS = {"models": [{"name": "m", "ver": 3, "loras": []}], "born": 1_700_000_000_000}

INVALID_ENTRIES: dict[str, bytes] = {
    **{
        f"no {name}": json.dumps(
            {key: value for key, value in VALID_FIELDS.items() if key != name}
        ).encode()
        for name in VALID_FIELDS
    },
    **{
        f"{name} of another type": json.dumps(
            {**VALID_FIELDS, **OPTIONAL_FIELDS, name: [SECRET]}
        ).encode()
        for name in (*VALID_FIELDS, *OPTIONAL_FIELDS)
    },
    **{
        f"{name} null": json.dumps({**VALID_FIELDS, **OPTIONAL_FIELDS, name: None}).encode()
        for name in (*VALID_FIELDS, *OPTIONAL_FIELDS)
    },
    "zero slots": json.dumps({**VALID_FIELDS, "slots": 0}).encode(),
    "slots as text": json.dumps({**VALID_FIELDS, "slots": "6"}).encode(),
    "a fractional start time": json.dumps({**VALID_FIELDS, "born": 1.5}).encode(),
    "an unknown state": json.dumps({**VALID_FIELDS, "state": SECRET}).encode(),
    "an address without a port": json.dumps({**VALID_FIELDS, "addr": SECRET}).encode(),
    "a port that is not a number": json.dumps({**VALID_FIELDS, "addr": f"{SECRET}:http"}).encode(),
    "a port out of range": json.dumps({**VALID_FIELDS, "addr": "10.0.0.1:70000"}).encode(),
    "an empty service name": json.dumps({**VALID_FIELDS, "svc": ""}).encode(),
    "spaces in the address": json.dumps({**VALID_FIELDS, "addr": f"10.0.0.1 {SECRET}:80"}).encode(),
    "an address with a line break": json.dumps(
        {**VALID_FIELDS, "addr": "10.0.0.1\r\n:80"}
    ).encode(),
    "a non-ASCII address": json.dumps({**VALID_FIELDS, "addr": "h\u00e9:80"}).encode(),
    "a port with a sign": json.dumps({**VALID_FIELDS, "addr": "10.0.0.1:+80"}).encode(),
    "a port with a space": json.dumps({**VALID_FIELDS, "addr": "10.0.0.1: 80"}).encode(),
    "a port with an underscore": json.dumps({**VALID_FIELDS, "addr": "10.0.0.1:8_0"}).encode(),
    "a port in non-ASCII digits": json.dumps(
        {**VALID_FIELDS, "addr": "10.0.0.1:\u0668\u0660"}
    ).encode(),
    **{
        f"{name} {number}": json.dumps({**VALID_FIELDS, name: number}).encode()
        for name in ("slots", "seq", "born")
        for number in (2**53, 10**30)
    },
    **{
        f"{name} negative": json.dumps({**VALID_FIELDS, name: -1}).encode()
        for name in ("seq", "born")
    },
    **{
        f"version {number}": json.dumps(
            {**VALID_FIELDS, "models": [{"name": "m", "ver": number}]}
        ).encode()
        for number in (-1, 2**53, 10**30)
    },
    "a JSON array": json.dumps([SECRET]).encode(),
    "an empty value": b"",
    "truncated JSON": json.dumps(VALID_FIELDS).encode()[:-9],
    "invalid UTF-8": b"\xff\x00\xfe" + SECRET.encode(),
    "invalid UTF-8 in a field": json.dumps(VALID_FIELDS).encode().replace(b"engines", b"\xff\xfe"),
    "deeply nested JSON": b'{"x":' + b"[" * 100_000,
}

ROUTE = {"name": "r", "host": "h", "pathPrefix": "/p/", "svc": "engines"}
CONFIGURATION: dict[str, Any] = {"ver": 1, "routes": [ROUTE]}
INVALID_REGIONS: tuple[Any, ...] = (SECRET, 5, {"a": 1}, [5], [None], [["a"]])
NEWER_CONFIGURATION = {**CONFIGURATION, "ver": 2, "routes": []}
INVALID_CONFIGURATIONS: dict[str, bytes] = {
    "limits of another type": json.dumps({**NEWER_CONFIGURATION, "limits": SECRET}).encode(),
    "tenants of another type": json.dumps(
        {**NEWER_CONFIGURATION, "tenants": [{"name": [SECRET]}]}
    ).encode(),
    "a key of another type": json.dumps(
        {**NEWER_CONFIGURATION, "tenants": [{"name": "t", "apiKeys": [SECRET, 5]}]}
    ).encode(),
    "scaling of another type": json.dumps(
        {**NEWER_CONFIGURATION, "svcs": [{"name": "engines", "scaling": SECRET}]}
    ).encode(),
    **{
        f"regions of a route: {regions}": json.dumps(
            {**CONFIGURATION, "ver": 2, "routes": [{**ROUTE, "regionsAllowed": regions}]}
        ).encode()
        for regions in INVALID_REGIONS
    },
    **{
        f"regions of a tenant: {regions}": json.dumps(
            {**NEWER_CONFIGURATION, "tenants": [{"name": "t", "regionsAllowed": regions}]}
        ).encode()
        for regions in INVALID_REGIONS
    },
    "no version": json.dumps({"routes": []}).encode(),
    "invalid UTF-8": b"\xff" + SECRET.encode(),
    "deeply nested JSON": b'{"x":' + b"[" * 100_000,
}
VALID_REGIONS: tuple[tuple[Any, AllowedRegions], ...] = (
    (None, ANY_REGION),
    ([], ANY_REGION),
    (["a"], AllowedRegions.of(["a"])),
    (["b", "a", "b"], AllowedRegions.of(["a", "b"])),
    (["not a region of the settings"], AllowedRegions.of(["not a region of the settings"])),
)
INVALID_VERSIONS = ('"3"', "-1", str(2**53), str(10**30))


def encode(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields).encode()


class FeedDriver:
    """Feeds entries to one node and collects its log lines."""

    def __init__(
        self, world: ServingWorld, configuration: dict[str, Any] | None = CONFIGURATION
    ) -> None:
        self.node = world.nodes[0].node
        self.operator, self.workers = NodeFeeds(self.node, 2.0).feeds()
        self.revision = 0
        if configuration is not None:
            self.write("op/config", encode(configuration))
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
        """Deliver an entry as a watch event."""
        item = self.item(key, value)
        feed = self.workers if key.startswith(self.workers.prefix) else self.operator
        feed.on_event(WatchEvent(key=key, mod_revision=item.mod_revision, item=item))

    @property
    def known_workers(self) -> list[str]:
        return [record.worker.worker_id for record in self.node.directory.of_service("engines")]

    @property
    def workers_in_use(self) -> list[str]:
        return sorted(self.node.directory.all_records())

    def unnamed_service_logs(self) -> list[str]:
        return [line for line in self.lines if line.startswith("worker_service_not_named")]

    def invalid_entry_logs(self) -> list[str]:
        return [line for line in self.lines if line.startswith("entry_not_understood")]


class WorkerEntriesTest(unittest.TestCase):
    def test_valid_entries_are_parsed(self) -> None:
        for fields in (
            VALID_FIELDS,
            {**VALID_FIELDS, **OPTIONAL_FIELDS},
            {**VALID_FIELDS, "state": "draining", "more": [1]},
        ):
            found = parse_worker("servers/i-1", encode(fields))
            self.assertEqual(found.worker_id, "i-1")
            self.assertEqual(found.started_at_ms, fields.get("born", 0))

    def test_invalid_entries_are_rejected(self) -> None:
        for name, value in INVALID_ENTRIES.items():
            with self.subTest(name), self.assertRaises(InvalidEntryError) as caught:
                parse_worker("servers/i-1", value)
            self.assertNotIn(SECRET, str(caught.exception))
        for key in ("servers/", "servers/a\nb", "servers/\u00e9"):
            with self.subTest(key), self.assertRaises(InvalidEntryError):
                parse_worker(key, encode(VALID_FIELDS))

    def test_a_worker_is_out_of_use_while_its_entry_is_invalid(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            for worker_id in ("i-1", "i-2"):
                driver.write(f"servers/{worker_id}", encode(VALID_FIELDS))
            for name, value in INVALID_ENTRIES.items():
                with self.subTest(name):
                    driver.lines.clear()
                    driver.write("servers/i-1", value)
                    self.assertEqual(driver.known_workers, ["i-2"])
                    (line,) = driver.invalid_entry_logs()
                    self.assertIn("servers/i-1", line)
                    self.assertIn(str(driver.revision), line)
                    self.assertNotIn(SECRET, line)
                    driver.write("servers/i-1", encode({**VALID_FIELDS, "seq": 5}))
                    self.assertEqual(driver.known_workers, ["i-1", "i-2"])

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_a_snapshot_skips_invalid_entries_and_logs_each_once(self) -> None:
        """Unlike a missing entry, an invalid one gets no grace period after missed changes."""

        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            for worker_id in ("i-1", "i-2", "i-3"):
                driver.write(f"servers/{worker_id}", encode(VALID_FIELDS))
            invalid = driver.item("servers/i-1", encode({**VALID_FIELDS, "slots": SECRET}))
            whole = driver.item("servers/i-2", encode(VALID_FIELDS))
            for unseen_seconds, known_workers in (
                (2 * ENTRY_EXPIRY_GAP_SECONDS, ["i-2", "i-3"]),
                (0.0, ["i-2"]),
                (2 * ENTRY_EXPIRY_GAP_SECONDS, ["i-2"]),
            ):
                driver.workers.on_snapshot((invalid, whole), unseen_seconds)
                self.assertEqual(driver.known_workers, known_workers)
            self.assertEqual(len(driver.invalid_entry_logs()), 1)

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_a_restart_in_discovery_reaches_the_directory(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            for start_ms in (5, 9, 7):
                driver.write("servers/i-1", encode({**VALID_FIELDS, "born": start_ms}))
                record = driver.node.directory.get(BackendId("i-1"))
                assert record is not None
                self.assertEqual(record.worker.started_at_ms, start_ms)

        run_in_world(scenario, node_count=1, worker_count=0)


class UnnamedServicesTest(unittest.TestCase):
    """Workers of services that the current configuration does not name."""

    def test_workers_are_out_of_use_until_a_configuration_names_their_service(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world, configuration=None)
            self.addCleanup(driver.close)
            for worker_id, service in (("i-1", "engines"), ("i-2", "others"), ("i-3", "listed")):
                driver.write(f"servers/{worker_id}", encode({**VALID_FIELDS, "svc": service}))
            self.assertEqual(driver.workers_in_use, [])
            self.assertEqual(driver.unnamed_service_logs(), [])
            listed = {"svcs": [{"name": "listed"}]}
            driver.write("op/config", encode({**CONFIGURATION, **listed}))
            self.assertEqual(driver.workers_in_use, ["i-1", "i-3"])
            (line,) = driver.unnamed_service_logs()
            self.assertIn("i-2", line)
            split = [{"svc": "others"}, {"svc": "listed", "weight": 2.0}]
            route = {"name": "r", "host": "h", "pathPrefix": "/p/", "split": split}
            driver.write("op/config", encode({"ver": 2, "routes": [route]}))
            self.assertEqual(driver.workers_in_use, ["i-2", "i-3"])

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_a_worker_that_changes_to_an_unnamed_service_is_out_of_use(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            for worker_id in ("i-1", "i-2"):
                driver.write(f"servers/{worker_id}", encode(VALID_FIELDS))
            record = driver.node.directory.get(BackendId("i-2"))
            assert record is not None
            driver.write("servers/i-1", encode({**VALID_FIELDS, "svc": "others"}))
            driver.write("servers/i-9", encode({**VALID_FIELDS, "svc": "others"}))
            self.assertEqual(driver.workers_in_use, ["i-2"])
            self.assertFalse(driver.node.directory.is_replaced(record.worker))
            driver.write("servers/i-1", encode(VALID_FIELDS))
            self.assertEqual(driver.workers_in_use, ["i-1", "i-2"])

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_snapshots_and_deletions_apply_to_unnamed_services(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            for worker_id in ("i-1", "i-2", "i-3"):
                driver.write(f"servers/{worker_id}", encode(VALID_FIELDS))
            unnamed = [
                driver.item(f"servers/{worker_id}", encode({**VALID_FIELDS, "svc": "others"}))
                for worker_id in ("i-1", "i-2", "i-4")
            ]
            whole = driver.item("servers/i-3", encode(VALID_FIELDS))
            for _ in range(2):
                driver.workers.on_snapshot((*unnamed, whole), 2 * ENTRY_EXPIRY_GAP_SECONDS)
                self.assertEqual(driver.workers_in_use, ["i-3"])
            self.assertEqual(len(driver.unnamed_service_logs()), 3)
            driver.write("servers/i-1", b"")
            gone = WatchEvent(key="servers/i-2", mod_revision=Revision(99), item=None)
            driver.workers.on_event(gone)
            route = {"name": "r", "host": "h", "pathPrefix": "/p/", "svc": "others"}
            driver.write("op/config", encode({"ver": 2, "routes": [route]}))
            self.assertEqual(driver.workers_in_use, ["i-4"])

        run_in_world(scenario, node_count=1, worker_count=0)


class OperatorEntriesTest(unittest.TestCase):
    def test_regions_of_routes_and_tenants(self) -> None:
        for regions, expected in VALID_REGIONS:
            with self.subTest(regions):
                tenants = [{"name": "t", "regionsAllowed": regions}]
                routes = [{**ROUTE, "regionsAllowed": regions}]
                fields = {**CONFIGURATION, "routes": routes, "tenants": tenants}
                parsed = parse_configuration(encode(fields))
                self.assertEqual(parsed.routes[0].allowed_regions, expected)
                assert parsed.keys is not None
                found = parsed.keys.allowed_regions.get(TenantName("t"), ANY_REGION)
                self.assertEqual(found, expected)

    def test_invalid_entries_leave_the_last_valid_ones_in_force(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            driver.write("op/config", encode(CONFIGURATION))
            driver.write("op/version/m", encode({"model": "m", "ver": 2}))
            for name, value in INVALID_CONFIGURATIONS.items():
                with self.subTest(name):
                    driver.lines.clear()
                    invalid = driver.item("op/config", value)
                    number = INVALID_VERSIONS[driver.revision % len(INVALID_VERSIONS)]
                    version = driver.item(
                        "op/version/m", b'{"model":"m","ver":%s}' % number.encode()
                    )
                    other = driver.item(
                        "op/version/n", encode({"model": "n", "ver": driver.revision})
                    )
                    for _ in range(2):
                        driver.operator.on_snapshot((invalid, version, other), 0.0)
                    current = driver.node.routes.current
                    assert current is not None
                    self.assertEqual(current.version, 1)
                    self.assertEqual([route.name for route in current.routes], ["r"])
                    self.assertEqual(driver.node.announced_versions.newest_of("m"), 2)
                    self.assertEqual(
                        driver.node.announced_versions.newest_of("n"), other.mod_revision - 1
                    )
                    self.assertEqual(len(driver.invalid_entry_logs()), 2)
                    self.assertNotIn(SECRET, "".join(driver.invalid_entry_logs()))
            driver.write("op/config", encode(NEWER_CONFIGURATION))
            assert driver.node.routes.current is not None
            self.assertEqual(driver.node.routes.current.version, 2)

        run_in_world(scenario, node_count=1, worker_count=0)
