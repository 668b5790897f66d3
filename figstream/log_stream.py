"""A bounded, non-blocking sink for log lines on standard output.

A reader of the lines that stalls must not stall requests. Lines beyond a
steady rate, and lines that the pipe does not take, are dropped and counted;
the count is logged when lines pass again.
"""

import logging
import os
import time
from typing import Final

# Lines a second and lines at once: a few for each request of a busy daemon.
_LINES_PER_S: Final = 400.0
# Lines at once: five seconds of them.
_BURST_LINES: Final = 2_000.0


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without waiting."""

    def __init__(self, descriptor: int = 1) -> None:
        """Writes to the descriptor, which is made non-blocking if a pipe."""
        super().__init__()
        self._descriptor = descriptor
        self._left = _BURST_LINES
        self._filled_at = time.monotonic()
        self._rest = b""
        self.dropped = 0
        self._untold = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or drops and counts it."""
        important = record.levelno >= logging.WARNING
        if not self._take(important=important):
            self._drop()
            return
        line = self.format(record)
        if self._untold:
            told = f"event=log_lines_dropped lines={self._untold}"
            self._untold = 0
            line = f"{told}\n{line}"
        self._write(line.encode(errors="replace") + b"\n")

    def _take(self, *, important: bool) -> bool:
        now = time.monotonic()
        filled = self._left + (now - self._filled_at) * _LINES_PER_S
        self._left = min(_BURST_LINES, filled)
        self._filled_at = now
        # A tenth is kept for warnings, which tell most in a flood.
        reserve = 0.0 if important else _BURST_LINES / 10.0
        if self._left < 1.0 + reserve:
            return False
        self._left -= 1.0
        return True

    def _write(self, data: bytes) -> None:
        # The rest of a line cut short goes first, so that lines stay whole.
        data = self._rest + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            if not self._rest:
                self._drop()
            return
        except OSError:
            # Nobody reads; the counter is all that can be told.
            self._drop()
            self._rest = b""
            return
        self._rest = data[written:]

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1
