"""Planned stop of a node process: lame duck, drain, release of leases, exit."""

import asyncio
import signal

from drumbay.clock import Clock
from drumbay.node.node import Node
from drumbay.node.server import NodeHttpServer
from drumbay.node.stop_sequence import StopStep, run_stop_steps
from drumbay.observability.logs import log_event
from drumbay.settings import StopSettings

DRAIN_MARGIN_SECONDS = 10.0
CLOSE_TIMEOUT_SECONDS = 5.0
EXIT_TIMEOUT_SECONDS = 5.0


class PlannedStop:
    """Runs the planned stop of one node; every step has a timeout.

    A node keeps listening until nothing is in flight, and at least for the lame-duck period,
    so that new connections get a typed error instead of a reset.

    Args:
        node: The node.
        server: Its HTTP server.
        settings: Durations of the stop.
        clock: Source of the current time.
    """

    def __init__(
        self, node: Node, server: NodeHttpServer, settings: StopSettings, clock: Clock
    ) -> None:
        """Create a stop that has not started."""
        self._node = node
        self._server = server
        self._settings = settings
        self._clock = clock

    async def drain(self) -> None:
        """Reject new requests, wait until those in flight have ended, then stop listening.

        The wait is bounded by the maximum request timeout of all routes.
        """
        timeout_seconds = self._drain_timeout_seconds()
        _set_exit_alarm(timeout_seconds + EXIT_TIMEOUT_SECONDS)
        self._server.reject_new_requests()
        self._node.reject_new_requests()
        drain = StopStep(
            name="drain", run=self._wait_until_drained, timeout_seconds=timeout_seconds
        )
        if not await run_stop_steps((drain,)):
            log_event("drain_cut_short", level="ERROR", in_flight=self._server.in_flight)
        await self._server.stop_listening()

    def _drain_timeout_seconds(self) -> float:
        request_timeout_seconds = self._node.max_request_seconds + DRAIN_MARGIN_SECONDS
        return max(self._settings.lame_duck_seconds + DRAIN_MARGIN_SECONDS, request_timeout_seconds)

    async def _wait_until_drained(self) -> None:
        await self._clock.sleep(self._settings.lame_duck_seconds)
        await asyncio.gather(self._node.wait_idle(), self._server.wait_idle())

    async def finish(self, last_step: StopStep) -> None:
        """Release the leases, close the connections and stop all tasks."""
        close = StopStep(
            name="close-connections", run=self._server.close, timeout_seconds=CLOSE_TIMEOUT_SECONDS
        )
        steps = (*self._node.stop_steps(), close, last_step)
        _set_exit_alarm(sum(step.timeout_seconds for step in steps) + EXIT_TIMEOUT_SECONDS)
        await run_stop_steps(steps)
        _set_exit_alarm(EXIT_TIMEOUT_SECONDS)


def _set_exit_alarm(seconds: float) -> None:
    """Schedule a SIGALRM that terminates the process, replacing any earlier alarm.

    The timeouts of the steps need a running event loop; the alarm also covers a blocked loop,
    a running thread, or a task that ignores cancellation.
    """
    signal.setitimer(signal.ITIMER_REAL, seconds)
