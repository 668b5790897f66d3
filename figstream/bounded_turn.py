"""Bounds what a reader handles before the other tasks of the daemon run.

What a server or a caller sends may come faster than it is handled, and without
end. Reads that find data do not wait, so that such a sender would hold the
event loop for itself: requests would pass their time limits and the daemon
would miss its reports. Readers count what they handle here.
"""

from typing import Final

import anyio.lowlevel

# Each takes some 20 to 50 us to decode, so that a turn takes about a
# millisecond. A stream's reads seldom find more than one.
MAX_EVENTS: Final = 24
# The most that is searched or copied at once.
MAX_BYTES: Final = 262_144


class BoundedTurn:
    """Counts the events and bytes that one reader handles in a turn."""

    def __init__(self) -> None:
        """Initializes a turn in which nothing was handled."""
        self._events = 0
        self._bytes = 0

    def handled(self, size_bytes: int) -> bool:
        """Counts an event; returns whether the turn is over.

        Args:
          size_bytes: size of the event.
        """
        self._events += 1
        self._bytes += size_bytes
        return self._events >= MAX_EVENTS or self._bytes >= MAX_BYTES

    async def pass_on(self) -> None:
        """Lets all other tasks that are ready run, and begins a turn."""
        self._events = self._bytes = 0
        await anyio.lowlevel.checkpoint()
