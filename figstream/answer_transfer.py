"""Follows the transfer of one answer and ends it if it can't be useful.

A time limit alone can't tell a slow link from a silent peer: what it cuts off
would be asked for again from the start. A transfer may therefore go on as long
as parts arrive, within limits of its time and size.
"""

from collections.abc import Iterator
import contextlib
import math
from typing import Final

import anyio

from figstream import clock as clock_lib
from figstream import logs

# Transfers that take longer are logged; a tenth of the 3 s within which a
# change must become active in a large fleet.
_SLOW_TRANSFER_S: Final = 0.3


class AnswerTransfer:
    """How much of the answer to a call has arrived, and for how long."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        silence_s: float = math.inf,
        longest_s: float = math.inf,
        most_bytes: float = math.inf,
    ) -> None:
        """Initializes the transfer before its first part.

        Args:
          clock: time source.
          silence_s: seconds between two parts after which the peer counts as
            silent.
          longest_s: seconds from the end of `limited` to the latest end of the
            transfer. Bytes that only trickle in are no progress.
          most_bytes: size beyond which the answer is not worth reading.
        """
        self._clock = clock
        self._silence_s = silence_s
        self._longest_s = longest_s
        self._most_bytes = most_bytes
        self._scope: anyio.CancelScope | None = None
        self._last_end = math.inf
        self._began_at: float | None = None
        self._last_at = 0.0
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Returns the bytes that have arrived."""
        return self._size_bytes

    @property
    def lasted_s(self) -> float:
        """Returns seconds from the first part to the last one."""
        return 0.0 if self._began_at is None else self._last_at - self._began_at

    @property
    def too_long(self) -> bool:
        """Returns whether the answer was ended because of its size."""
        return self._size_bytes > self._most_bytes

    @contextlib.contextmanager
    def limited(self, limit_s: float) -> Iterator[None]:
        """Ends the block if the answer does not begin or go on in time.

        Args:
          limit_s: seconds within which the first part must arrive.
        """
        with anyio.move_on_after(limit_s) as self._scope:
            self._last_end = self._scope.deadline + self._longest_s
            yield

    def cancel(self) -> None:
        """Ends the block of `limited`."""
        if self._scope:
            self._scope.cancel()

    def add_part(self, size_bytes: int) -> None:
        """Records a part that has arrived."""
        self._last_at = self._clock.now()
        if self._began_at is None:
            self._began_at = self._last_at
        self._size_bytes += size_bytes
        if self._scope and self.too_long:
            self._scope.cancel()
        elif self._scope:
            silent_at = anyio.current_time() + self._silence_s
            deadline = max(self._scope.deadline, silent_at)
            self._scope.deadline = min(self._last_end, deadline)

    def log_if_slow(self, kind: str) -> None:
        """Logs the transfer if it took long."""
        if self.lasted_s >= _SLOW_TRANSFER_S:
            logs.info(
                "feed_slow_transfer",
                kind=kind,
                bytes=self._size_bytes,
                seconds=round(self.lasted_s, 3),
            )
