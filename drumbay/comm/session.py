"""State shared by all connections of one transport: key, registry, clock and tasks."""

from drumbay.clock import Clock
from drumbay.comm.authentication import ConnectionOpener, DatagramOpener, FrameSealer
from drumbay.comm.codec import FrameError, MessageRegistry
from drumbay.comm.interface import Address
from drumbay.identifiers import BootId
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

REJECTION_LOG_INTERVAL_SECONDS = 10.0


class TransportSession:
    """Shared state of a transport's connections and datagram endpoint.

    Attributes:
        boot_id: Boot id of this process; replies to its calls are addressed to it.
        clock: Clock of this process.
        task_owner: Owner of the connections' tasks.
        registry: Decoder of messages.
        sealer: Signs every frame sent.
        datagram_opener: Verifies datagrams.
    """

    def __init__(
        self, cluster_key: bytes, boot_id: BootId, clock: Clock, task_owner: TaskOwner
    ) -> None:
        """Create the state of a transport that has not started."""
        self.boot_id = boot_id
        self.clock = clock
        self.task_owner = task_owner
        self.registry = MessageRegistry()
        self.sealer = FrameSealer(cluster_key, boot_id, clock)
        self.datagram_opener = DatagramOpener(cluster_key, clock)
        self._cluster_key = cluster_key
        self._last_call_id = 0
        self.rejected_frame_counts: dict[str, int] = {}
        self._rejection_logged_at: dict[str, float] = {}

    def new_connection_opener(self) -> ConnectionOpener:
        """Return a verifier for one direction of a new connection."""
        return ConnectionOpener(self._cluster_key)

    def next_call_id(self) -> int:
        """Return a call id that is unique within this boot."""
        self._last_call_id += 1
        return self._last_call_id

    def record_rejected_frame(self, peer: Address, error: FrameError) -> None:
        """Count a rejected frame, and log it at most once per interval and error code."""
        count = self.rejected_frame_counts.get(error.code, 0) + 1
        self.rejected_frame_counts[error.code] = count
        now = self.clock.monotonic()
        logged_at = self._rejection_logged_at.get(error.code)
        if logged_at is not None and now - logged_at < REJECTION_LOG_INTERVAL_SECONDS:
            return
        self._rejection_logged_at[error.code] = now
        log_event(
            "frame_refused",
            level="WARNING",
            peer=destination_of(peer),
            error=error.code,
            detail=str(error),
            refused_total=count,
        )


def destination_of(address: Address) -> str:
    """Return the destination that is signed into frames for an address."""
    return f"{address.host}:{address.port}"
