"""Writes log lines to standard output without blocking, at a bounded rate.

A stalled reader of the log must not stall requests. Lines above the rate
limit, and lines for which the pipe has no room, are dropped and counted. The
number of dropped lines is logged before the next line that is written.
"""

import logging
import os
import time
from typing import Final

# Allows a few lines for each request of a busy daemon.
_LINES_PER_S: Final = 400.0
# Five seconds of lines at the steady rate.
_BURST_LINES: Final = 2_000.0


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int = 1) -> None:
        """Initializes the handler; sets all but a terminal to non-blocking."""
        super().__init__()
        self._descriptor = descriptor
        self._available_lines = _BURST_LINES
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self.dropped = 0
        self._unreported_drops = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or drops the line and counts it."""
        important = record.levelno >= logging.WARNING
        if not self._take_from_budget(important=important):
            self._count_drop()
            return
        line = self.format(record)
        if self._unreported_drops:
            report = f"event=log_lines_dropped lines={self._unreported_drops}"
            self._unreported_drops = 0
            line = f"{report}\n{line}"
        self._write(line.encode(errors="replace") + b"\n")

    def _take_from_budget(self, *, important: bool) -> bool:
        now = time.monotonic()
        refilled = (
            self._available_lines + (now - self._refilled_at) * _LINES_PER_S
        )
        self._available_lines = min(_BURST_LINES, refilled)
        self._refilled_at = now
        # A tenth of the burst is reserved for warnings and errors, the most
        # useful lines when too many are logged.
        reserve = 0.0 if important else _BURST_LINES / 10.0
        if self._available_lines < 1.0 + reserve:
            return False
        self._available_lines -= 1.0
        return True

    def _write(self, data: bytes) -> None:
        # The remainder of a partially written line goes first, so that no line
        # is truncated.
        data = self._unwritten + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            if not self._unwritten:
                self._count_drop()
            return
        except OSError:
            # The descriptor has no reader, so the loss can only be counted.
            self._count_drop()
            self._unwritten = b""
            return
        self._unwritten = data[written:]

    def _count_drop(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1
