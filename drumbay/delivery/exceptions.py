"""Failures of sample delivery."""

from drumbay.exceptions import DrumbayError, UnavailableError


class DeliveryError(DrumbayError):
    """Root of the failures of sample delivery."""

    code = "delivery"


class NotOwnerError(DeliveryError):
    """This node does not own the stream."""

    code = "not_stream_owner"


class OwnerDeposedError(NotOwnerError):
    """A majority of the replicas has promised a newer owner."""

    code = "stream_owner_deposed"


class StaleBatchError(DeliveryError):
    """The batch holds tokens older than the trainer accepts; go on with the next cursor."""

    code = "stale_batch"


class CursorAheadError(DeliveryError):
    """The cursor skips batches that do not exist yet."""

    code = "cursor_ahead"


class CursorTrimmedError(DeliveryError):
    """The batch lies below the checkpointed cursor and its margin and was deleted."""

    code = "cursor_trimmed"


class StepOutOfOrderError(DeliveryError):
    """A step was submitted before an earlier one."""

    code = "step_out_of_order"


class NothingReadyError(UnavailableError):
    """Too few finished samples are inside the accepted versions; pull again later."""

    code = "nothing_ready"


class QuorumUnavailableError(UnavailableError):
    """No majority of the replicas answered; the operation may still take effect."""

    code = "quorum_unavailable"


class LogFullError(UnavailableError):
    """A replica holds as many bytes of a stream as it may; trim by checkpointing."""

    code = "stream_log_full"


class EntryTooLargeError(DeliveryError):
    """A step or a batch does not fit into one frame; nothing was recorded."""

    code = "stream_entry_too_large"


class EpochMismatchError(UnavailableError):
    """The sender uses another replica set configuration than this replica."""

    code = "replica_epoch_mismatch"


class CorruptEntryError(DeliveryError):
    """A log entry does not match its checksum."""

    code = "corrupt_log_entry"


class LogInvariantError(DeliveryError):
    """The chosen entries contradict each other; the stream stops rather than guess."""

    code = "stream_log_invariant"
