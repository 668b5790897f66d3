"""Measures how late the event loop of a daemon runs its tasks.

All requests, reports and probes of a daemon share one loop, so that one that
does not pass its turn on delays the others. The role serves the delays as a
histogram. A thread looks at the loop while it is late, so that a long delay is
logged with what ran.
"""

from collections.abc import Iterator
import contextlib
import sys
import threading
import time
import types
from typing import Final

import anyio

from figstream import logs
from figstream import metrics as metrics_lib

# Some times a second, which costs less than a thousandth of a core.
_TICK_S: Final = 0.25
# Delays from which requests miss their time limits. The thread has looked at
# the loop by then, since it looks twice in that time.
LOGGED_DELAY_S: Final = 0.5
# Enough to tell which part of the daemon ran.
_LOGGED_FRAMES: Final = 5


class _LoopWatch:
    """A thread that notes what the loop's thread does while it is late."""

    def __init__(self) -> None:
        """Initializes without starting the thread."""
        self._loop_thread = threading.get_ident()
        self._stopped = threading.Event()
        self._due_at = time.monotonic() + _TICK_S
        self._ran = ""

    def expect(self, due_at: float) -> None:
        """Sets the monotonic time at which the loop should run again."""
        self._ran = ""
        self._due_at = due_at

    @property
    def ran(self) -> str:
        """Returns what the thread saw during the present delay, or ""."""
        return self._ran

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs the thread during the block."""
        thread = threading.Thread(
            target=self._watch, name="loop-watch", daemon=True
        )
        thread.start()
        try:
            yield
        finally:
            self._stopped.set()

    def _watch(self) -> None:
        while not self._stopped.wait(_TICK_S):
            if self._ran or time.monotonic() < self._due_at + _TICK_S / 2.0:
                continue
            frame = sys._current_frames().get(self._loop_thread)
            self._ran = describe(frame)


class LoopDelay:
    """Records the delays of the event loop; a `daemon_context.Role`."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Stores the instruments."""
        self._metrics = metrics

    async def run(self) -> None:
        """Measures until cancelled."""
        watch = _LoopWatch()
        with watch.running():
            while True:
                due_at = time.monotonic() + _TICK_S
                watch.expect(due_at)
                await anyio.sleep(_TICK_S)
                delay_s = max(0.0, time.monotonic() - due_at)
                self._metrics.loop_delay(delay_s)
                if delay_s >= LOGGED_DELAY_S:
                    self._metrics.event("loop_delayed")
                    logs.warning(
                        "loop_delayed",
                        seconds=round(delay_s, 3),
                        ran=watch.ran or "unknown",
                    )

    async def hand_over(self) -> None:
        """Does nothing, since nothing outlives the daemon."""


def describe(frame: types.FrameType | None) -> str:
    """Returns the innermost calls of a stack, the innermost first."""
    calls: list[str] = []
    while frame and len(calls) < _LOGGED_FRAMES:
        code = frame.f_code
        name = code.co_filename.rpartition("/")[2]
        calls.append(f"{name}:{frame.f_lineno}:{code.co_name}")
        frame = frame.f_back
    return " ".join(calls)
