"""Entries and snapshots of a stream's replicated log, and their encoding."""

import msgspec
import xxhash

from drumbay.delivery.batch import Batch, OutstandingSample
from drumbay.delivery.exceptions import CorruptEntryError
from drumbay.identifiers import Cursor, WeightVersion
from drumbay.rollout.sample import RolloutPrompt

CHECKSUM_BYTES = 8


class StepSubmitted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A trainer requested the samples of one step."""

    step: int
    prompts: tuple[RolloutPrompt, ...]


class BatchFixed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A batch was composed; every later pull of its cursor returns these samples."""

    batch: Batch


class BatchRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The trainer no longer accepts a batch; its samples are generated again.

    Attributes:
        cursor: The batch, which is never delivered again.
        oldest_accepted_version: Oldest version that the trainer accepted at the time.
        replacements: The samples with their new keys.
    """

    cursor: Cursor
    oldest_accepted_version: WeightVersion
    replacements: tuple[OutstandingSample, ...]


LogEntry = StepSubmitted | BatchFixed | BatchRefused


class StreamSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State of a stream after all entries below one position.

    Attributes:
        next_position: The first position that is not included.
        next_cursor: Cursor of the next batch.
        next_step: Number of the next step to submit.
        oldest_accepted_version: Highest oldest accepted version that was recorded.
        outstanding: Samples that are not in a batch. All other samples of earlier steps were
            delivered, so duplicates are detected without a history of keys.
        refused: Refused cursors that were not trimmed.
    """

    next_position: int = 0
    next_cursor: Cursor = Cursor(0)
    next_step: int = 0
    oldest_accepted_version: WeightVersion = WeightVersion(0)
    outstanding: tuple[OutstandingSample, ...] = ()
    refused: tuple[Cursor, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_entry_decoder: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(LogEntry)
_snapshot_decoder = msgspec.msgpack.Decoder(StreamSnapshot)


def _with_checksum(payload: bytes) -> bytes:
    return xxhash.xxh3_64_digest(payload) + payload


def _without_checksum(encoded: bytes) -> bytes:
    payload = encoded[CHECKSUM_BYTES:]
    if xxhash.xxh3_64_digest(payload) != encoded[:CHECKSUM_BYTES]:
        raise CorruptEntryError(f"checksum mismatch in {len(encoded)} bytes")
    return payload


def encode_entry(entry: LogEntry) -> bytes:
    """Encode an entry with a checksum."""
    return _with_checksum(_encoder.encode(entry))


def decode_entry(encoded: bytes) -> LogEntry:
    """Verify the checksum and decode an entry.

    Raises:
        CorruptEntryError: The checksum does not match.
    """
    return _entry_decoder.decode(_without_checksum(encoded))


def encode_snapshot(snapshot: StreamSnapshot) -> bytes:
    """Encode a snapshot with a checksum."""
    return _with_checksum(_encoder.encode(snapshot))


def decode_snapshot(encoded: bytes) -> StreamSnapshot:
    """Verify the checksum and decode a snapshot.

    Raises:
        CorruptEntryError: The checksum does not match.
    """
    return _snapshot_decoder.decode(_without_checksum(encoded))
