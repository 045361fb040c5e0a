"""``drumbay schema``: JSON Schemas of resources, settings, HTTP bodies and output."""

from enum import StrEnum
from typing import Annotated, Any, get_args

import msgspec
import typer

from drumbay.api.schema import (
    ApplyBody,
    ApplyOutcomeBody,
    BatchBody,
    ChatCompletionBody,
    CheckpointBody,
    CompletionAnswer,
    CompletionBody,
    ErrorBody,
    ExplanationBody,
    ResourceListBody,
    RolloutReceipt,
    RolloutSubmission,
    StatusBody,
    WeightAnnouncement,
)
from drumbay.backends.interface import TokenChunk
from drumbay.cli.output import ChangeList, OutputFormat, print_record
from drumbay.resources.schema import AnyResource, Resource
from drumbay.settings import NodeSettings

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
REFERENCE_TEMPLATE = "#/$defs/{name}"

RESOURCE_TYPES: tuple[type[Resource], ...] = get_args(AnyResource)
HTTP_TYPES = (
    ErrorBody,
    CompletionBody,
    ChatCompletionBody,
    CompletionAnswer,
    TokenChunk,
    RolloutSubmission,
    RolloutReceipt,
    BatchBody,
    CheckpointBody,
    WeightAnnouncement,
    ApplyBody,
    ApplyOutcomeBody,
    ResourceListBody,
    ExplanationBody,
    StatusBody,
)


class SchemaSubject(StrEnum):
    """What a schema describes."""

    RESOURCES = "resources"
    SETTINGS = "settings"
    HTTP = "http"
    OUTPUT = "output"


_TYPES_BY_SUBJECT: dict[SchemaSubject, tuple[type[msgspec.Struct], ...]] = {
    SchemaSubject.RESOURCES: RESOURCE_TYPES,
    SchemaSubject.SETTINGS: (NodeSettings,),
    SchemaSubject.HTTP: HTTP_TYPES,
    SchemaSubject.OUTPUT: (
        ChangeList,
        ApplyOutcomeBody,
        ResourceListBody,
        ExplanationBody,
        StatusBody,
    ),
}


def schema(
    subject: Annotated[SchemaSubject, typer.Argument(help="What to describe.")],
) -> None:
    """Print the JSON Schema of resources, settings, HTTP bodies or this program's output.

    Example: drumbay schema resources > resources.schema.json
    """
    print_record(schema_of(subject), OutputFormat.JSON)


def schema_of(subject: SchemaSubject) -> dict[str, Any]:
    """Return one schema document that accepts any of the subject's records."""
    references, definitions = msgspec.json.schema_components(
        _TYPES_BY_SUBJECT[subject], ref_template=REFERENCE_TEMPLATE
    )
    return {
        "$schema": SCHEMA_DIALECT,
        "title": f"drumbay {subject.value}",
        "anyOf": list(references),
        "$defs": definitions,
    }
