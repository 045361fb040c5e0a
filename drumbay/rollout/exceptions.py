"""Failures of rollout samples."""

from drumbay.exceptions import DrumbayError


class SampleError(DrumbayError):
    """Root of the failures that concern one sample."""

    code = "sample"


class ChunkOutOfSequenceError(SampleError):
    """A chunk does not continue the tokens that are already held."""

    code = "chunk_out_of_sequence"


class ForeignChunkError(SampleError):
    """A chunk belongs to another attempt than the one that feeds the sample."""

    code = "foreign_chunk"


class IncompleteSampleError(SampleError):
    """A sample was asked for before its last chunk arrived."""

    code = "incomplete_sample"


class CacheVersionMismatchError(SampleError):
    """A KV cache computed under one weight version was offered to another."""

    code = "cache_version_mismatch"
