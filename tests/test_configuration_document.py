"""The configuration document has valid examples and describes every field."""

import tempfile
import unittest
from pathlib import Path
from typing import get_args

import msgspec

from drumbay.resources.checks import check_resource
from drumbay.resources.files import load_resources
from drumbay.resources.schema import (
    AnyResource,
    Backend,
    EngineSharing,
    Resource,
    Selector,
    SelectorExpression,
)
from drumbay.settings import (
    BackendSettings,
    HttpSettings,
    KeyValueSettings,
    LogSettings,
    MachineListSettings,
    NodeSettings,
    PeerSettings,
    WeightStoreSettings,
    load_settings,
)
from tests.documents import examples, sections

DOCUMENT = "CONFIGURATION.md"
RESOURCES: tuple[type[Resource], ...] = get_args(AnyResource)
RECORDS: tuple[type[msgspec.Struct], ...] = (
    *RESOURCES,
    Backend,
    Selector,
    SelectorExpression,
    EngineSharing,
    NodeSettings,
    HttpSettings,
    PeerSettings,
    KeyValueSettings,
    MachineListSettings,
    WeightStoreSettings,
    BackendSettings,
    LogSettings,
)


class ConfigurationDocumentTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "example"

    def test_examples_are_valid(self) -> None:
        kinds = set()
        settings = 0
        for example in examples(DOCUMENT):
            self.file.write_text(example.text)
            if example.language == "toml":
                load_settings(self.file)
                settings += 1
            if example.language == "yaml":
                for resource in load_resources(self.file):
                    check_resource(resource)
                    kinds.add(type(resource))
        self.assertEqual(settings, 1)
        self.assertEqual(kinds, set(RESOURCES))

    def test_every_field_is_described_with_its_default(self) -> None:
        described = sections(DOCUMENT)
        for record in RECORDS:
            with self.subTest(record=record.__name__):
                section = described[record.__name__]
                fields = msgspec.structs.fields(record)
                self.assertEqual(
                    sorted(section.first_cells()), sorted(field.name for field in fields)
                )
                for field in fields:
                    row = next(
                        line
                        for line in section.text.splitlines()
                        if line.startswith(f"| `{field.name}` |")
                    )
                    is_required = "| required |" in row
                    self.assertEqual(field.required, is_required, row)
