"""Entries of a stream's replicated log, and their encoding."""

import msgspec
import xxhash

from drumbay.delivery.batch import Batch, OutstandingSample
from drumbay.delivery.exceptions import CorruptEntryError
from drumbay.identifiers import Cursor, WeightVersion
from drumbay.rollout.sample import RolloutPrompt

CHECKSUM_BYTES = 8


class StepSubmitted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A trainer asked for the samples of one step."""

    step: int
    prompts: tuple[RolloutPrompt, ...]


class BatchFixed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A batch was composed; from now on its cursor always yields these samples."""

    batch: Batch


class BatchRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The trainer no longer accepts a batch; its samples are generated anew.

    Attributes:
        cursor: The batch that is never handed out from now on.
        oldest_accepted_version: What the trainer accepted when it was refused.
        replacements: The samples under their new keys.
    """

    cursor: Cursor
    oldest_accepted_version: WeightVersion
    replacements: tuple[OutstandingSample, ...]


LogEntry = StepSubmitted | BatchFixed | BatchRefused


class StreamSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State of a stream after all entries below one position.

    Attributes:
        next_position: The first position that is not contained.
        next_cursor: Cursor of the next batch.
        next_step: Number that the next submitted step must have at least.
        oldest_accepted_version: Newest floor that was recorded.
        outstanding: Samples that are in no batch. Every other sample of an earlier step
            was delivered, so this list excludes duplicates without a history of keys.
        refused: Refused cursors that are not below the trimmed ones.
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
    """Return an entry as checksummed bytes."""
    return _with_checksum(_encoder.encode(entry))


def decode_entry(encoded: bytes) -> LogEntry:
    """Return the entry of checksummed bytes.

    Raises:
        CorruptEntryError: The bytes were damaged.
    """
    return _entry_decoder.decode(_without_checksum(encoded))


def encode_snapshot(snapshot: StreamSnapshot) -> bytes:
    """Return a snapshot as checksummed bytes."""
    return _with_checksum(_encoder.encode(snapshot))


def decode_snapshot(encoded: bytes) -> StreamSnapshot:
    """Return the snapshot of checksummed bytes.

    Raises:
        CorruptEntryError: The bytes were damaged.
    """
    return _snapshot_decoder.decode(_without_checksum(encoded))
