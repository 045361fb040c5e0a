"""Errors of sample delivery."""

from drumbay.exceptions import DrumbayError, UnavailableError


class DeliveryError(DrumbayError):
    """Base class of errors of sample delivery."""

    code = "delivery"


class NotOwnerError(DeliveryError):
    """This node does not own the stream."""

    code = "not_stream_owner"


class OwnerDeposedError(NotOwnerError):
    """Replicas have promised a higher ballot, so a newer owner exists."""

    code = "stream_owner_deposed"


class StaleBatchError(DeliveryError):
    """The batch contains tokens older than the trainer accepts; pull the next cursor."""

    code = "stale_batch"


class CursorAheadError(DeliveryError):
    """The cursor skips batches that do not exist yet."""

    code = "cursor_ahead"


class CursorTrimmedError(DeliveryError):
    """The batch was deleted: it is older than the checkpointed cursor minus the trim margin."""

    code = "cursor_trimmed"


class StepOutOfOrderError(DeliveryError):
    """A step was submitted before an earlier one."""

    code = "step_out_of_order"


class NothingReadyError(UnavailableError):
    """Too few finished samples have an accepted version; pull again later."""

    code = "nothing_ready"


class QuorumUnavailableError(UnavailableError):
    """No majority of the replicas responded; the operation may still take effect."""

    code = "quorum_unavailable"


class LogFullError(UnavailableError):
    """A replica has reached its size limit for a stream; checkpoint to trim the log."""

    code = "stream_log_full"


class EntryTooLargeError(DeliveryError):
    """A step or a batch does not fit into one frame and was not recorded."""

    code = "stream_entry_too_large"


class EpochMismatchError(UnavailableError):
    """The sender and this replica use different epochs of the replica set."""

    code = "replica_epoch_mismatch"


class CorruptEntryError(DeliveryError):
    """A log entry does not match its checksum."""

    code = "corrupt_log_entry"


class LogInvariantError(DeliveryError):
    """The chosen entries are inconsistent; the stream is stopped."""

    code = "stream_log_invariant"
