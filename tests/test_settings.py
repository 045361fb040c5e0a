"""Loading of settings and resource files, and the errors for invalid ones."""

import tempfile
import unittest
from pathlib import Path

from drumbay.exceptions import ConfigurationError
from drumbay.resources.checks import check_resource
from drumbay.resources.files import ResourceFileError, load_resources
from drumbay.resources.schema import (
    AnyResource,
    BackendGroup,
    BackendKind,
    Route,
    RouteKind,
    Selector,
)
from drumbay.settings import SettingsError, SettingsOverrides, load_cluster_key, load_settings

VALID = """
node_id = "node-1"
zone = "north"
region = "east"

[http]
host = "127.0.0.1"
port = 8080

[peers]
host = "127.0.0.1"
port = 7080
cluster_key_file = "cluster.key"
seeds = ["127.0.0.1:7080", "127.0.0.1:7081"]

[key_value]
urls = ["http://127.0.0.1:2379"]
"""


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, text: str) -> Path:
        file = self.folder / "node.toml"
        file.write_text(text)
        return file

    def load_error(self, text: str) -> SettingsError:
        with self.assertRaises(SettingsError) as caught:
            load_settings(self.write(text))
        return caught.exception

    def test_valid_file(self) -> None:
        settings = load_settings(self.write(VALID))
        self.assertEqual(settings.http.port, 8080)
        self.assertEqual([seed.port for seed in settings.peers.seed_addresses()], [7081])

    def test_regions_of_zones(self) -> None:
        text = VALID + '[regions]\nsouth = "west"\n'
        topology = load_settings(self.write(text)).topology
        self.assertEqual(topology.regions, {"north": "east", "south": "west"})
        error = self.load_error(text + 'north = "west"\n')
        self.assertEqual(error.key, "regions.north")

    def test_flags_override_the_file(self) -> None:
        overrides = SettingsOverrides(zone="south", http_port=9090)
        settings = load_settings(self.write(VALID), overrides)
        self.assertEqual((settings.zone, settings.http.port), ("south", 9090))

    def test_unknown_key_names_key_and_file(self) -> None:
        error = self.load_error(VALID + "\n[logs]\nlevle = 'INFO'\n")
        self.assertEqual(error.key, "logs")
        self.assertIn("levle", error.expected)
        self.assertIn("node.toml", str(error))

    def test_wrong_type_names_key_and_expected_type(self) -> None:
        error = self.load_error(VALID.replace("port = 8080", 'port = "8080"'))
        self.assertEqual(error.key, "http.port")
        self.assertIn("Expected `int`", error.expected)

    def test_value_out_of_range(self) -> None:
        self.assertEqual(self.load_error(VALID.replace("8080", "0")).key, "http.port")

    def test_duplicate_address(self) -> None:
        self.assertEqual(self.load_error(VALID.replace("8080", "7080")).key, "peers.port")

    def test_host_name_is_rejected(self) -> None:
        error = self.load_error(VALID.replace("127.0.0.1", "a.example", 1))
        self.assertEqual(error.key, "http.host")

    def test_missing_file_and_broken_toml(self) -> None:
        with self.assertRaises(SettingsError):
            load_settings(self.folder / "absent.toml")
        self.assertIn("TOML", self.load_error("node_id = [").expected)

    def test_short_cluster_key(self) -> None:
        file = self.write(VALID)
        (self.folder / "cluster.key").write_text("short")
        with self.assertRaises(SettingsError) as caught:
            load_cluster_key(load_settings(file), file)
        self.assertEqual(caught.exception.key, "peers.cluster_key_file")


class ResourceFileTest(unittest.TestCase):
    def load(self, text: str) -> tuple[AnyResource, ...]:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "resources.yaml"
            file.write_text(text)
            return load_resources(file)

    def test_several_documents(self) -> None:
        text = """
kind: BackendGroup
name: engines
backend_kind: engine
model: drafts
backends:
  - {id: engine-1, url: "http://127.0.0.1:9000", zone: north}
---
kind: Drain
name: maintenance
selector: {match_labels: {rack: r1}}
"""
        self.assertEqual(len(self.load(text)), 2)

    def test_error_names_document_and_key(self) -> None:
        with self.assertRaises(ResourceFileError) as caught:
            self.load("kind: Drain\nname: a\nselector: {}\n---\nkind: Route\nname: b\n")
        self.assertEqual(caught.exception.document, 2)

    def test_unknown_kind_and_field(self) -> None:
        for text in ("kind: Thing\nname: a\n", "kind: Drain\nname: a\nselector: {}\nx: 1\n"):
            with self.assertRaises(ResourceFileError):
                self.load(text)

    def test_inconsistent_fields(self) -> None:
        group = BackendGroup(name="engines", backend_kind=BackendKind.ENGINE, backends=())
        route = Route(name="stock", route_kind=RouteKind.APPLICATION, selector=Selector())
        for resource in (group, route):
            with self.assertRaises(ConfigurationError):
                check_resource(resource)
