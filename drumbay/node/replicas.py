"""The disk-holding half of a node: replicas of claims and of sample streams."""

from collections.abc import Callable
from pathlib import Path
from random import Random

from drumbay.claims.record_table import TableLimits
from drumbay.claims.replica import ClaimReplica
from drumbay.clock import Clock
from drumbay.comm.interface import Transport
from drumbay.delivery.replica import DeliveryReplica
from drumbay.identifiers import Epoch, NodeId
from drumbay.storage.interface import LogOpener, StoreId
from drumbay.tasks import TaskOwner

CLAIM_LOG_NAME = "claims"
STREAM_LOG_NAME = "streams"
STORE_ID_BITS = 128


class NodeReplicas:
    """Replicas that keep what must outlast this node's process.

    Args:
        clock: Time.
        transport: Where owners and dispatchers reach the replicas.
        node_id: This node.
        data_folder: Folder for the logs.
        open_log: Opens a log.
        current_epoch: Replica set epoch in which this node may vote on streams.
        random: Source of store identities.
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
        current_epoch: Callable[[], Epoch],
        random: Random,
        task_owner: TaskOwner,
    ) -> None:
        """Open the logs; the replicas serve after :meth:`start`.

        Raises:
            StorageError: A log cannot be opened.
        """
        claim_store_id = _new_store_id(random)
        self._stream_log = open_log(
            data_folder, STREAM_LOG_NAME, new_store_id=_new_store_id(random)
        )
        self.claims = ClaimReplica(
            node_id=node_id,
            clock=clock,
            transport=transport,
            open_log=lambda: open_log(data_folder, CLAIM_LOG_NAME, new_store_id=claim_store_id),
            limits=TableLimits(),
            task_owner=task_owner,
        )
        self.streams = DeliveryReplica(transport, self._stream_log, current_epoch)

    def start(self) -> None:
        """Restore the replicas and begin to serve."""
        self.claims.start()
        self.streams.start()

    async def close(self) -> None:
        """Stop to vote and close the logs."""
        await self.claims.close()
        await self._stream_log.close()


def _new_store_id(random: Random) -> StoreId:
    return StoreId(f"{random.getrandbits(STORE_ID_BITS):032x}")
