"""Errors of rollout samples."""

from drumbay.exceptions import DrumbayError


class SampleError(DrumbayError):
    """Base class of errors that concern one sample."""

    code = "sample"


class ChunkOutOfSequenceError(SampleError):
    """A chunk does not continue the tokens received so far."""

    code = "chunk_out_of_sequence"


class ForeignChunkError(SampleError):
    """A chunk belongs to an attempt other than the current one."""

    code = "foreign_chunk"


class IncompleteSampleError(SampleError):
    """A sample was requested before its last chunk arrived."""

    code = "incomplete_sample"


class CacheVersionMismatchError(SampleError):
    """A KV cache was computed by a weight version other than the serving one."""

    code = "cache_version_mismatch"
