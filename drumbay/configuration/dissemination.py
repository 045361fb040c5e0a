"""Gossip of configuration digests, and pulls of newer changes from peers."""

import random
from collections.abc import Callable
from typing import cast

from drumbay.clock import Clock
from drumbay.comm.interface import Address, Transport, TransportError
from drumbay.configuration.applied import AppliedConfiguration
from drumbay.configuration.gossip import DigestReaction, PeerDirectory, react_to_digest
from drumbay.configuration.messages import (
    ConfigurationDigest,
    ConfigurationPull,
    ConfigurationPullReply,
    ConfigurationUpdate,
)
from drumbay.configuration.state import ApplyOutcome
from drumbay.identifiers import NodeId
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

DIGEST_PERIOD_SECONDS = 2.0
DIGEST_REPEAT_SECONDS = 0.5
"""Delay of the second round of digests after a change, for nodes that the first one missed."""

PULL_TIMEOUT_SECONDS = 2.0
JITTER_FRACTION = 0.25


class Dissemination:
    """Gossips the applied revision to peers and pulls newer ones from them."""

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        node_id: NodeId,
        applied: AppliedConfiguration,
        directory: Callable[[], PeerDirectory],
        generator: random.Random,
        task_owner: TaskOwner,
        apply_update: Callable[[ConfigurationUpdate], ApplyOutcome],
    ) -> None:
        """Create the service; :meth:`start` starts it.

        Args:
            clock: Time.
            transport: Messages to and from peers.
            node_id: This node.
            applied: Configuration applied on this node.
            directory: Returns the live peers.
            generator: Source of random choices.
            task_owner: Owner of the background tasks.
            apply_update: Applies an update that was pulled from a peer.
        """
        self._clock = clock
        self._transport = transport
        self._node_id = node_id
        self._applied = applied
        self._directory = directory
        self._generator = generator
        self._task_owner = task_owner
        self._apply_update = apply_update
        self._is_pulling = False

    def start(self) -> None:
        """Register the handlers and start the periodic exchange."""
        self._transport.handle_datagrams(ConfigurationDigest, self._handle_digest)
        self._transport.handle_calls(ConfigurationPull, self._handle_pull)
        self._task_owner.spawn(self._run(), "configuration digests")

    async def _run(self) -> None:
        while True:
            jitter = self._generator.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
            await self._clock.sleep(DIGEST_PERIOD_SECONDS * jitter)
            peer = self._directory().anti_entropy_target(self._generator)
            if peer is not None and self._applied.is_loaded:
                self._send_digest(peer.address, is_reply=False)

    def announce_revision(self) -> None:
        """Send digests of a newly applied revision to some peers, twice."""
        self._gossip_digests()
        self._task_owner.spawn(self._repeat_digests(), "configuration rumour")

    async def _repeat_digests(self) -> None:
        revision = self._applied.revision
        await self._clock.sleep(DIGEST_REPEAT_SECONDS)
        if self._applied.revision == revision:
            self._gossip_digests()

    def _gossip_digests(self) -> None:
        for peer in self._directory().gossip_targets(self._generator):
            self._send_digest(peer.address, is_reply=False)

    def _send_digest(self, address: Address, *, is_reply: bool) -> None:
        if not self._applied.is_durable:
            # Peers may pull only revisions that a majority of the replicas has stored.
            return
        digest = ConfigurationDigest(
            sender=self._node_id,
            reply_to=self._transport.address,
            revision=self._applied.revision,
            content_hash=self._applied.state.content_hash,
            confirmed_age_seconds=self._applied.confirmed_age_seconds(),
            is_reply=is_reply,
        )
        self._transport.send_datagram(address, digest)

    def _handle_digest(self, _source: Address, digest: ConfigurationDigest) -> None:
        # NOTE: a starting node must not pull from a peer: the peer may have an older revision
        # than this node had applied before its restart.
        if not self._applied.is_loaded:
            return
        state = self._applied.state
        match react_to_digest(digest, state.revision, state.content_hash):
            case DigestReaction.PULL:
                self._start_pull(digest.reply_to)
            case DigestReaction.REPLY:
                self._send_digest(digest.reply_to, is_reply=True)
            case DigestReaction.REPORT_DIVERGENCE:
                log_event(
                    "configuration_divergence",
                    level="ERROR",
                    peer=digest.sender,
                    revision=digest.revision,
                )
            case DigestReaction.NOTHING:
                pass
        self._apply_confirmation(digest)

    def _apply_confirmation(self, digest: ConfigurationDigest) -> None:
        if digest.confirmed_age_seconds is None or digest.revision > self._applied.revision:
            return
        self._applied.confirm(self._clock.monotonic() - digest.confirmed_age_seconds)

    def _start_pull(self, address: Address) -> None:
        if self._is_pulling:
            return
        self._is_pulling = True
        self._task_owner.spawn(self._pull(address), "configuration pull")

    async def _pull(self, address: Address) -> None:
        try:
            request = ConfigurationPull(after_revision=self._applied.revision)
            reply = await self._transport.call(
                address, request, timeout_seconds=PULL_TIMEOUT_SECONDS
            )
            update = cast(ConfigurationPullReply, reply).update
            if update is not None:
                self._apply_update(update)
        except TransportError as error:
            log_event("configuration_pull_failed", level="DEBUG", error=error.code)
        finally:
            self._is_pulling = False

    async def _handle_pull(self, request: ConfigurationPull) -> ConfigurationPullReply:
        if not (self._applied.is_loaded and self._applied.is_durable):
            return ConfigurationPullReply(update=None)
        update = self._applied.state.update_since(request.after_revision)
        return ConfigurationPullReply(update=update)
