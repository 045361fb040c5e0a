"""Loading of resources from YAML files with one or more documents."""

from pathlib import Path

import msgspec
import yaml

from drumbay.exceptions import ConfigurationError
from drumbay.resources.schema import AnyResource
from drumbay.settings import split_validation_error


class ResourceFileError(ConfigurationError):
    """A resource file is not valid.

    Attributes:
        file: The file.
        document: Number of the YAML document, from 1; 0 for the file as a whole.
        key: Dotted path of the invalid key.
        expected: Description of the expected value.
    """

    code = "invalid_resource"

    def __init__(self, file: Path, document: int, key: str, expected: str) -> None:
        """Create the error for a key in a document of a file."""
        super().__init__(f"{file}: document {document}: {key or '(document)'}: {expected}")
        self.file = file
        self.document = document
        self.key = key
        self.expected = expected


def load_resources(file: Path) -> tuple[AnyResource, ...]:
    """Read all resources of a YAML file.

    Raises:
        ResourceFileError: The file cannot be read, or a resource is not valid.
    """
    try:
        documents = list(yaml.safe_load_all(file.read_text(encoding="utf-8")))
    except OSError as error:
        raise ResourceFileError(file, 0, "", f"a readable file ({error.strerror})") from error
    except yaml.YAMLError as error:
        raise ResourceFileError(file, 0, "", f"YAML ({error})") from error
    numbered = [(number, raw) for number, raw in enumerate(documents, start=1) if raw is not None]
    return tuple(_convert(file, number, raw) for number, raw in numbered)


def _convert(file: Path, number: int, raw: object) -> AnyResource:
    try:
        resource: AnyResource = msgspec.convert(raw, AnyResource)
    except msgspec.ValidationError as error:
        expected, key = split_validation_error(error)
        raise ResourceFileError(file, number, key, expected) from error
    return resource
