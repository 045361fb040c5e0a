"""Replicas of claims and of sample streams on a node with a data folder."""

from pathlib import Path
from random import Random

from drumbay.claims.record_table import TableLimits
from drumbay.claims.replica import ClaimReplica
from drumbay.clock import Clock
from drumbay.comm.interface import Transport
from drumbay.delivery.reopening import ReplicaReopener
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.transfer import StreamTransfer
from drumbay.identifiers import NodeId
from drumbay.storage.interface import LogOpener, RecordLog, StoreId
from drumbay.tasks import TaskOwner

CLAIM_LOG_NAME = "claims"
STREAM_LOG_NAME = "streams"
STORE_ID_BITS = 128


class NodeReplicas:
    """Replicas whose state survives a restart of the process.

    Args:
        clock: Source of the current time.
        transport: Messages from owners and dispatchers to the replicas.
        node_id: This node.
        data_folder: Folder for the logs.
        open_log: Opens a log.
        random: Generates store identifiers.
        task_owner: Owns the replicas' tasks.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        node_id: NodeId,
        data_folder: Path,
        open_log: LogOpener,
        random: Random,
        task_owner: TaskOwner,
    ) -> None:
        """Open the logs; :meth:`start` starts serving.

        Raises:
            StorageError: A log cannot be opened.
        """
        claim_store_id = _new_store_id(random)

        def open_stream_log() -> RecordLog:
            return open_log(data_folder, STREAM_LOG_NAME, new_store_id=_new_store_id(random))

        self.claims = ClaimReplica(
            node_id=node_id,
            clock=clock,
            transport=transport,
            open_log=lambda: open_log(data_folder, CLAIM_LOG_NAME, new_store_id=claim_store_id),
            limits=TableLimits(),
            task_owner=task_owner,
        )
        # Streams use the epoch of the claim store rather than the node's view of the replica
        # set: a sealed store, or one that lost its disk, must not vote on streams either.
        self.streams = DeliveryReplica(transport, open_stream_log(), self.claims.voting_epoch)
        self._reopener = ReplicaReopener(self.streams, open_stream_log, clock, task_owner)
        self._stream_transfer = StreamTransfer(transport, self.streams)

    def start(self) -> None:
        """Restore the replicas and start serving."""
        self.claims.start()
        self.streams.start()
        self._reopener.start()
        self._stream_transfer.start()

    async def close(self) -> None:
        """Stop voting and close the logs."""
        await self.claims.close()
        await self.streams.close()


def _new_store_id(random: Random) -> StoreId:
    return StoreId(f"{random.getrandbits(STORE_ID_BITS):032x}")
