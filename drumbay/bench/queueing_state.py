"""State of workers and nodes in the queueing simulation."""

from collections import OrderedDict, deque


class Job:
    """One request: its arrival, node, prefix and service time without a prefix hit."""

    __slots__ = ("arrived_at", "node", "prefix", "work_seconds")

    def __init__(self, arrived_at: float, node: int, prefix: int, work_seconds: float) -> None:
        self.arrived_at = arrived_at
        self.node = node
        self.prefix = prefix
        self.work_seconds = work_seconds


class Worker:
    """True state of one worker, and the report the nodes hold of it."""

    __slots__ = ("cache", "queue", "reported_at", "reported_load", "running")

    def __init__(self) -> None:
        self.running = 0
        self.queue: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.reported_load = 0
        self.reported_at = -1.0


class OwnRecord:
    """One node's own attempts on one worker: starts, and start and end of ended ones."""

    __slots__ = ("ended", "report_seen", "starts")

    def __init__(self) -> None:
        self.starts: list[float] = []
        self.ended: list[tuple[float, float]] = []
        self.report_seen = -1.0

    def correction(self, reported_at: float) -> int:
        """Return what to add to a report: own starts less own ends since its moment."""
        if self.report_seen != reported_at:
            self.report_seen = reported_at
            self.ended = [pair for pair in self.ended if pair[1] > reported_at]
        started = sum(1 for started_at in self.starts if started_at > reported_at)
        ended = sum(1 for started_at, _ in self.ended if started_at <= reported_at)
        return started - ended
