"""How callers, operators and trainers reach simulated nodes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from drumbay.api.interface import NodeInterface
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import NodeId
from drumbay.simulation.host import SimulatedHost
from drumbay.simulation.process import SimulatedProcess

ResultT = TypeVar("ResultT")


class SimulatableNode(NodeInterface, Protocol):
    """A node that can be started and stopped."""

    def start(self) -> None:
        """Start every service."""
        ...

    async def stop(self) -> None:
        """Stop as planned: finish what is in flight, then end."""
        ...


class NodeRefusedConnectionError(UnavailableError):
    """No process listens at the node: the request certainly did not run."""

    code = "simulation_connection_refused"


class ConnectionCutOffError(UnavailableError):
    """The connection ended before the answer."""

    code = "simulation_cut_off"


class NoAnswerError(UnavailableError):
    """The caller gave up waiting."""

    code = "simulation_no_answer"


class NodeRun:
    """One node on one run of its host's process.

    Attributes:
        host: The host.
        process: The run.
        node: The node.
        listening: Whether callers can connect.
    """

    def __init__(
        self, host: SimulatedHost, process: SimulatedProcess, node: SimulatableNode
    ) -> None:
        """Note a node that does not listen yet."""
        self.host = host
        self.process = process
        self.node = node
        self.listening = False


class Gateway:
    """Connections from outside to the nodes.

    Attributes:
        client_latency_seconds: One-way delay between callers and nodes.
        runs: The current run of each node; absent while its host has none.
    """

    def __init__(self, client_latency_seconds: float) -> None:
        """Create a gateway to no node."""
        self.client_latency_seconds = client_latency_seconds
        self.runs: dict[NodeId, NodeRun] = {}

    async def call(
        self,
        node_id: NodeId,
        operation: Callable[[NodeRun], Awaitable[ResultT]],
        timeout_seconds: float,
    ) -> ResultT:
        """Run an operation as the process of a node and return its result.

        Raises:
            NodeRefusedConnectionError: The node does not listen.
            ConnectionCutOffError: The node's process ended the exchange.
            NoAnswerError: The limit passed; the operation may go on.
            DrumbayError: The operation's own failure.
        """
        await asyncio.sleep(self.client_latency_seconds)
        run = self.runs.get(node_id)
        if run is None or not run.listening or not run.process.alive:
            raise NodeRefusedConnectionError(f"{node_id} does not listen")
        answer: asyncio.Future[ResultT] = asyncio.get_running_loop().create_future()
        run.process.deliver(lambda: _begin(run, operation, answer))
        try:
            result = await asyncio.wait_for(answer, timeout_seconds)
        except TimeoutError as error:
            raise NoAnswerError(f"no answer from {node_id}") from error
        await asyncio.sleep(self.client_latency_seconds)
        return result


def _begin(
    run: NodeRun,
    operation: Callable[[NodeRun], Awaitable[ResultT]],
    answer: "asyncio.Future[ResultT]",
) -> None:
    async def operate() -> ResultT:
        return await operation(run)

    task = run.process.spawn(operate(), "caller's request")
    task.add_done_callback(lambda done: _finish(done, answer))


def _finish(task: "asyncio.Task[ResultT]", answer: "asyncio.Future[ResultT]") -> None:
    error = None if task.cancelled() else task.exception()
    if answer.done():
        return
    if task.cancelled():
        answer.set_exception(ConnectionCutOffError("the connection was closed"))
    elif error is not None:
        answer.set_exception(error)
    else:
        answer.set_result(task.result())
