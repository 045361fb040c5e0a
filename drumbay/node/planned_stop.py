"""The planned stop of a node process: lame duck, drain, hand-over, end. All bounded in time."""

import asyncio
import signal

from drumbay.clock import Clock
from drumbay.node.node import Node
from drumbay.node.server import NodeHttpServer
from drumbay.node.stop_sequence import StopStep, run_stop_steps
from drumbay.observability.logs import log_event
from drumbay.settings import StopSettings

DRAIN_MARGIN_SECONDS = 10.0
CLOSE_LIMIT_SECONDS = 5.0
EXIT_LIMIT_SECONDS = 5.0


class PlannedStop:
    """Stops one node.

    A node goes on listening until nothing is in flight, and for a lame-duck time at least:
    a caller whose connection is under way gets a typed refusal instead of a reset.

    Args:
        node: The node.
        server: Its HTTP server.
        settings: Times of the stop.
        clock: Time.
    """

    def __init__(
        self, node: Node, server: NodeHttpServer, settings: StopSettings, clock: Clock
    ) -> None:
        """Create a stop that has not begun."""
        self._node = node
        self._server = server
        self._settings = settings
        self._clock = clock

    async def drain(self) -> None:
        """Refuse new requests, wait until those in flight have ended, then stop listening.

        The wait ends after the longest time that a route grants its requests.
        """
        limit_seconds = self._drain_limit_seconds()
        _arm_alarm(limit_seconds + EXIT_LIMIT_SECONDS)
        self._server.refuse_new_requests()
        self._node.refuse_new_requests()
        drain = StopStep(name="drain", run=self._wait_drained, limit_seconds=limit_seconds)
        if not await run_stop_steps((drain,)):
            log_event("drain_cut_short", level="ERROR", in_flight=self._server.in_flight)
        self._server.stop_listening()

    def _drain_limit_seconds(self) -> float:
        longest_seconds = self._node.longest_request_seconds + DRAIN_MARGIN_SECONDS
        return max(self._settings.lame_duck_seconds + DRAIN_MARGIN_SECONDS, longest_seconds)

    async def _wait_drained(self) -> None:
        await self._clock.sleep(self._settings.lame_duck_seconds)
        await asyncio.gather(self._node.wait_idle(), self._server.wait_idle())

    async def finish(self, last_step: StopStep) -> None:
        """Hand over, close the connections and end everything that runs."""
        close = StopStep(
            name="close-connections", run=self._server.close, limit_seconds=CLOSE_LIMIT_SECONDS
        )
        steps = (*self._node.stop_steps(), close, last_step)
        _arm_alarm(sum(step.limit_seconds for step in steps) + EXIT_LIMIT_SECONDS)
        await run_stop_steps(steps)
        _arm_alarm(EXIT_LIMIT_SECONDS)


def _arm_alarm(seconds: float) -> None:
    """Have the system end the process after a time, whatever the process is doing then.

    The limits of the steps hold while the event loop runs; a blocked one, a thread or a task
    that ignores its cancellation is ended by SIGALRM, whose default action is the end.
    """
    signal.setitimer(signal.ITIMER_REAL, seconds)
