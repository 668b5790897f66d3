"""Bounds the memory of buffered answers and of bodies, over all requests.

A faulty backend server may send bytes without end. The bound for one answer is
what is left for all others: one endless answer takes half of the memory, the
next one a quarter, and small answers pass beside them. `stream_relay` reports
how much each answer has buffered.
"""

from collections.abc import Iterator
import contextlib
from typing import Final

import anyio

# With the daemon itself, about two thirds of the memory of a small entry VM.
LIMIT_BYTES: Final = 32_000_000


class AnswerTooLongError(Exception):
    """Raised when an answer takes more memory than is left for the others."""


class AnswerBuffers:
    """The memory of all buffered answers of one daemon."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        """Initializes without answers."""
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._freed: anyio.Event | None = None

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
        used_bytes = self._used_bytes + after_bytes - before_bytes
        grows = after_bytes > before_bytes
        if grows and after_bytes > self._limit_bytes - used_bytes:
            raise AnswerTooLongError
        self._used_bytes = used_bytes
        if self._freed and not grows:
            self._freed.set()
            self._freed = None

    async def freed(self) -> None:
        """Waits until memory has been freed."""
        if self._freed is None:
            self._freed = anyio.Event()
        await self._freed.wait()

    @contextlib.contextmanager
    def holding(self, size_bytes: int) -> Iterator[None]:
        """Counts a whole answer until its caller has received it.

        It was counted before, while it was read, so that it is never refused.
        """
        self._used_bytes += size_bytes
        try:
            yield
        finally:
            self.resize(size_bytes, 0)


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
