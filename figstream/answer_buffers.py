"""Bounds the memory of buffered answers and of bodies, over all requests.

A faulty backend server may send bytes without end. The bound for one answer is
what is left for all others: one endless answer takes half of the memory, the
next one a quarter, and small answers pass beside them. `stream_relay` reports
how much each answer has buffered.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time
from typing import Final

import anyio
import attrs

from figstream import logs

# With the daemon itself, about two thirds of the memory of a small entry VM.
LIMIT_BYTES: Final = 32_000_000
# Time that a caller has for a whole answer before it gives way to others, if
# there is no memory for them.
GIVE_WAY_S: Final = 2.0


class AnswerTooLongError(Exception):
    """Raised when an answer takes more memory than is left for the others."""


@attrs.frozen(eq=False)
class _Holder:
    """A whole answer that its caller reads.

    Attributes:
      size_bytes: size of its body.
      since: monotonic time at which sending began.
      scope: ends the sending.
    """

    size_bytes: int
    since: float
    scope: anyio.CancelScope


class AnswerBuffers:
    """The memory of all buffered answers of one daemon."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        """Initializes without answers."""
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._freed: anyio.Event | None = None
        # The one that began first is the first.
        self._holders: dict[_Holder, None] = {}

    @property
    def used_bytes(self) -> int:
        """Returns the bytes of all answers."""
        return self._used_bytes

    def resize(self, before_bytes: int, after_bytes: int) -> None:
        """Records that the buffer of one answer has another size.

        Raises:
          AnswerTooLongError: the answer grows beyond what is left. Its old
            size stays recorded.
        """
        added_bytes = after_bytes - before_bytes
        grows = added_bytes > 0
        while grows and (
            after_bytes > self._limit_bytes - self._used_bytes - added_bytes
        ):
            if not self._end_slowest():
                raise AnswerTooLongError
        self._used_bytes += added_bytes
        if self._freed and not grows:
            self._freed.set()
            self._freed = None

    async def freed(self) -> None:
        """Waits until memory has been freed."""
        if self._freed is None:
            self._freed = anyio.Event()
        await self._freed.wait()

    @contextlib.contextmanager
    def holding(self, size_bytes: int) -> Iterator[anyio.CancelScope]:
        """Counts a whole answer until its caller has received it.

        It was counted before, while it was read, so that it is never refused.
        The scope is cancelled if a slow caller must give way.
        """
        with anyio.CancelScope() as scope:
            holder = _Holder(size_bytes, time.monotonic(), scope)
            self._holders[holder] = None
            self._used_bytes += size_bytes
            try:
                yield scope
            finally:
                if holder in self._holders:
                    del self._holders[holder]
                    self.resize(size_bytes, 0)

    def _end_slowest(self) -> bool:
        """Ends the answer that is read for longest; returns whether it did."""
        holder = next(iter(self._holders), None)
        if holder is None:
            return False
        held_s = time.monotonic() - holder.since
        if held_s < GIVE_WAY_S:
            return False
        logs.warning(
            "slow_reader_ended",
            bytes=holder.size_bytes,
            held_s=round(held_s, 3),
        )
        del self._holders[holder]
        self._used_bytes -= holder.size_bytes
        holder.scope.cancel()
        return True


class AnswerBuffer:
    """The buffer of one answer; a context manager that frees its memory."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        """Initializes an empty buffer."""
        self._buffers = buffers
        self._size_bytes = 0

    def __enter__(self) -> "AnswerBuffer":
        """Returns the buffer."""
        return self

    def __exit__(self, *error: object) -> None:
        """Frees the memory."""
        self.resize(0)

    def resize(self, size_bytes: int) -> None:
        """Records the size of the buffer.

        Raises:
          AnswerTooLongError: the answer is too long for what is left.
        """
        self._buffers.resize(self._size_bytes, size_bytes)
        self._size_bytes = size_bytes


async def read_all(
    chunks: AsyncIterator[bytes],
    buffers: AnswerBuffers,
    on_part: Callable[[int], None] | None = None,
) -> bytes:
    """Reads a complete body.

    Args:
      chunks: the body as it arrives.
      buffers: memory of the answers that are being buffered.
      on_part: receives the size in bytes of each part as it arrives.

    Raises:
      AnswerTooLongError: too little memory is left.
    """
    body = bytearray()
    with AnswerBuffer(buffers) as buffer:
        async for chunk in chunks:
            buffer.resize(len(body) + len(chunk))
            body += chunk
            if on_part:
                on_part(len(chunk))
    return bytes(body)
