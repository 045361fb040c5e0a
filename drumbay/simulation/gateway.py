"""Connections from callers, operators and trainers to simulated nodes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from drumbay.api.interface import NodeInterface
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import NodeId
from drumbay.simulation.host import SimulatedHost
from drumbay.simulation.process import SimulatedProcess

ResultT = TypeVar("ResultT")


class SimulatedNode(NodeInterface, Protocol):
    """A node with a life cycle."""

    def start(self) -> None:
        """Start every service."""
        ...

    async def stop(self) -> None:
        """Shut down gracefully: finish requests in flight first."""
        ...


class NodeRefusedConnectionError(UnavailableError):
    """No process listens on the node; the request did not run."""

    code = "simulation_connection_refused"


class ConnectionClosedError(UnavailableError):
    """The connection closed before the response."""

    code = "simulation_cut_off"


class ResponseTimeoutError(UnavailableError):
    """No response arrived within the caller's timeout."""

    code = "simulation_no_answer"


class NodeRun:
    """A node within one process of its host.

    Attributes:
        host: The host.
        process: The process.
        node: The node.
        listening: Whether callers can connect.
    """

    def __init__(self, host: SimulatedHost, process: SimulatedProcess, node: SimulatedNode) -> None:
        """Create a record of a node that does not listen yet."""
        self.host = host
        self.process = process
        self.node = node
        self.listening = False


class Gateway:
    """Entry point for requests to the nodes.

    Attributes:
        client_latency_seconds: One-way delay between callers and nodes.
        runs: Running nodes by id.
    """

    def __init__(self, client_latency_seconds: float) -> None:
        """Create a gateway without running nodes."""
        self.client_latency_seconds = client_latency_seconds
        self.runs: dict[NodeId, NodeRun] = {}

    async def call(
        self,
        node_id: NodeId,
        operation: Callable[[NodeRun], Awaitable[ResultT]],
        timeout_seconds: float,
    ) -> ResultT:
        """Run an operation in the process of a node and return its result.

        Raises:
            NodeRefusedConnectionError: The node does not listen.
            ConnectionClosedError: The node's process ended before the response.
            ResponseTimeoutError: The timeout expired; the operation may still complete.
            DrumbayError: The operation failed.
        """
        await asyncio.sleep(self.client_latency_seconds)
        run = self.runs.get(node_id)
        if run is None or not run.listening or not run.process.alive:
            raise NodeRefusedConnectionError(f"{node_id} does not listen")
        response: asyncio.Future[ResultT] = asyncio.get_running_loop().create_future()
        run.process.deliver(lambda: _start_operation(run, operation, response))
        try:
            result = await asyncio.wait_for(response, timeout_seconds)
        except TimeoutError as error:
            raise ResponseTimeoutError(f"no answer from {node_id}") from error
        await asyncio.sleep(self.client_latency_seconds)
        return result


def _start_operation(
    run: NodeRun,
    operation: Callable[[NodeRun], Awaitable[ResultT]],
    response: "asyncio.Future[ResultT]",
) -> None:
    async def run_operation() -> ResultT:
        return await operation(run)

    task = run.process.spawn(run_operation(), "caller's request")
    task.add_done_callback(lambda done: _set_response(done, response))


def _set_response(task: "asyncio.Task[ResultT]", response: "asyncio.Future[ResultT]") -> None:
    error = None if task.cancelled() else task.exception()
    if response.done():
        return
    if task.cancelled():
        response.set_exception(ConnectionClosedError("the connection was closed"))
    elif error is not None:
        response.set_exception(error)
    else:
        response.set_result(task.result())
