"""Proves that no newer configuration contradicts a refusal.

"No such route" and "no such key" are final for a caller, and wrong if the
route or key was added meanwhile. Such a refusal rests on a proof that the
active configuration was the newest one a short time ago. Without it the daemon
reads the newest configuration first, once for all requests that wait. If the
store does not answer, callers are asked to come back: another daemon may have
a proof.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

import anyio

from figstream import clock as clock_lib
from figstream import configuration_holder

# Part of the time of a change that a caller waits for a proof; as long as the
# store has for the answer to a watch.
_READ_FRACTION: Final = 0.2
# Shortest time between two reads without an answer, and the time after which
# callers come back; that of the calls of a follower in an outage.
RETRY_S: Final = 0.5

# Reads the newest configuration; returns whether the store has answered.
Read = Callable[[], Awaitable[bool]]


class ConfigurationProof:
    """The proof on which refusals by the active configuration rest."""

    def __init__(
        self,
        holder: configuration_holder.ConfigurationHolder,
        clock: clock_lib.Clock,
        change_s: float,
        read: Read,
    ) -> None:
        """Initializes the object.

        Args:
          holder: holds the active configuration and the time of its proof.
          clock: time source.
          change_s: seconds within which a change must become active.
          read: reads the newest configuration.
        """
        self._holder = holder
        self._clock = clock
        self._change_s = change_s
        self._read = read
        self._reading = anyio.Lock()
        self._next_read_at = clock.now()

    def covers(self, arrived_at: float) -> bool:
        """Returns whether a request may be refused by the configuration.

        Args:
          arrived_at: clock time at which the request arrived. All that has
            been accepted earlier than the time of a change must be known.
        """
        return self._holder.confirmed_at >= arrived_at - self._change_s

    async def renew(self, arrived_at: float) -> bool:
        """Returns the same, after reading the configuration if needed."""
        if self.covers(arrived_at):
            return True
        async with self._reading:
            now = self._clock.now()
            if self.covers(arrived_at) or now < self._next_read_at:
                return self.covers(arrived_at)
            with anyio.move_on_after(_READ_FRACTION * self._change_s):
                await self._read()
            if not self.covers(arrived_at):
                self._next_read_at = self._clock.now() + RETRY_S
        return self.covers(arrived_at)
