"""Non-blocking, rate-limited output of log lines.

A node must not slow down because its log output is not read, or because a failure produces many log
lines. Lines that exceed the rate limit or cannot be written immediately are dropped. The number of
dropped lines is logged before the next line that is written.
"""

import os
from collections.abc import Callable

from drumbay.clock import seconds_since_boot

DEFAULT_LINES_PER_SECOND = 400.0
DEFAULT_BURST_LINES = 2_000


class BoundedLineWriter:
    """Writes lines to a file descriptor, which is set to non-blocking mode."""

    def __init__(
        self,
        descriptor: int,
        *,
        lines_per_second: float = DEFAULT_LINES_PER_SECOND,
        burst_lines: int = DEFAULT_BURST_LINES,
        monotonic: Callable[[], float] = seconds_since_boot,
    ) -> None:
        """Write to ``descriptor``, limited by a token bucket of ``burst_lines`` tokens."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._burst_lines = float(burst_lines)
        self._tokens = self._burst_lines
        self._monotonic = monotonic
        self._refilled_at = monotonic()
        self._dropped = 0
        self._partial_line = b""

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last written one."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line or drop it."""
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped:
            line = f"level=warning event=log_lines_dropped lines={self._dropped}\n{line}"
        if self._write_nonblocking(line.encode(errors="replace")):
            self._dropped = 0
        else:
            self._dropped += 1

    def _take_token(self) -> bool:
        now = self._monotonic()
        refill = (now - self._refilled_at) * self._lines_per_second
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_nonblocking(self, data: bytes) -> bool:
        """Write without blocking; the rest of a partially written line is written next time."""
        try:
            if self._partial_line:
                self._partial_line = self._partial_line[
                    os.write(self._descriptor, self._partial_line) :
                ]
                if self._partial_line:
                    return False
            self._partial_line = data[os.write(self._descriptor, data) :]
        except OSError:
            return False
        return True
