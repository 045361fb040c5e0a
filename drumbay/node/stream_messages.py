"""Messages that forward a trainer's request to the owner of its stream."""

from drumbay.comm.interface import Message
from drumbay.delivery.batch import Batch
from drumbay.identifiers import Cursor, NodeId, StreamName, WeightVersion
from drumbay.rollout.sample import RolloutPrompt


class SubmitStepRequest(Message, frozen=True, kw_only=True):
    """Record a step of a stream."""

    stream: StreamName
    step: int
    prompts: tuple[RolloutPrompt, ...]


class StreamAcknowledgement(Message, frozen=True, kw_only=True):
    """The owner has executed the request."""

    owner: NodeId


class PullRequest(Message, frozen=True, kw_only=True):
    """Return the batch at a cursor."""

    stream: StreamName
    cursor: Cursor
    max_samples: int
    oldest_version: WeightVersion


class PullReply(Message, frozen=True, kw_only=True):
    """The batch; ``None`` while no sample is ready."""

    batch: Batch | None


class CheckpointRequest(Message, frozen=True, kw_only=True):
    """Trim a stream below a trainer's checkpoint."""

    stream: StreamName
    cursor: Cursor
