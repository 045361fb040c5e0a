"""Handlers for trainers: rollout submissions, pulls, checkpoints and weight versions."""

from typing import ClassVar

from drumbay.api.base import ApiHandler
from drumbay.api.schema import CheckpointBody, RolloutSubmission, WeightAnnouncement
from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.resources.schema import Role

DEFAULT_MAX_SAMPLES = 64


class RolloutsHandler(ApiHandler):
    """``POST /v1/rollouts``."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.TRAINER, Role.OPERATOR)

    async def post(self) -> None:
        """Submit the prompts of one training step."""
        receipt = await self.node.submit_rollouts(self.decode_body(RolloutSubmission))
        self.write_json(receipt, status=202)


class SamplesHandler(ApiHandler):
    """``GET /v1/streams/{stream}/samples?cursor=&max=&oldest_version=``."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.TRAINER, Role.OPERATOR)

    async def get(self, stream: str) -> None:
        """Return the batch at a cursor."""
        batch = await self.node.pull(
            StreamName(stream),
            Cursor(self.integer_argument("cursor")),
            self.integer_argument("max", DEFAULT_MAX_SAMPLES),
            WeightVersion(self.integer_argument("oldest_version")),
        )
        self.write_json(batch)


class CheckpointHandler(ApiHandler):
    """``POST /v1/streams/{stream}/checkpoint``."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.TRAINER, Role.OPERATOR)

    async def post(self, stream: str) -> None:
        """Record the next cursor in a trainer's checkpoint; older batches may then be deleted."""
        body = self.decode_body(CheckpointBody)
        await self.node.record_checkpoint(StreamName(stream), Cursor(body.cursor))
        self.set_status(204)
        await self.finish()


class WeightVersionsHandler(ApiHandler):
    """``POST /v1/models/{model}/versions``."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.TRAINER, Role.OPERATOR)

    async def post(self, model: str) -> None:
        """Register a published version."""
        await self.node.announce_weights(model, self.decode_body(WeightAnnouncement))
        self.set_status(202)
        await self.finish()
