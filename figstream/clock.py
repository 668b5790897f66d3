"""Time sources.

Leases need a clock that goes on while a VM is suspended, so the system clock
reads CLOCK_BOOTTIME. Decision code takes a `Clock`, so that tests and
benchmarks can drive it with virtual time.
"""

import time
from typing import Protocol

import anyio
import anyio.lowlevel


class Clock(Protocol):
    """A source of seconds that never goes back."""

    def now(self) -> float:
        """Returns seconds since an arbitrary start."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""


class SystemClock:
    """The clock of this VM, which counts time spent suspended."""

    def now(self) -> float:
        """Returns seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""
        await anyio.sleep(seconds)


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start_s: float = 0.0) -> None:
        """Starts the clock at the given second."""
        self._now_s = start_s

    def now(self) -> float:
        """Returns the virtual second."""
        return self._now_s

    def wall(self) -> float:
        """Returns the virtual second."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now_s += seconds

    async def sleep(self, seconds: float) -> None:
        """Moves the clock forward and lets other tasks run."""
        self._now_s += seconds
        await anyio.lowlevel.checkpoint()
