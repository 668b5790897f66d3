"""Defines the interface of time sources, a system clock and a manual one.

The system clock reads CLOCK_BOOTTIME, because leases need a clock that also
counts the time during which a VM is suspended. Scheduling code receives a
`Clock`, so that tests and benchmarks can run it on virtual time.
"""

import time
from typing import Protocol

import anyio
import anyio.lowlevel


class Clock(Protocol):
    """A monotonic time source with access to wall time."""

    def now(self) -> float:
        """Returns monotonic seconds since an arbitrary start."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Waits for the given number of seconds."""


class SystemClock:
    """The clock of this VM, including time during which it was suspended."""

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
    """A virtual clock that only `advance` and `sleep` move."""

    def __init__(self, start_s: float = 0.0) -> None:
        """Initializes the clock with the given time."""
        self._now_s = start_s

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def wall(self) -> float:
        """Returns the virtual time, which also stands in for wall time."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by the given number of seconds."""
        self._now_s += seconds

    async def sleep(self, seconds: float) -> None:
        """Moves the clock forward and yields once to other tasks."""
        self._now_s += seconds
        await anyio.lowlevel.checkpoint()
