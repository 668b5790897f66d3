"""Bounds the memory of answers that are being buffered, over all requests.

A faulty backend server may send bytes without end. The bound for one answer is
what is left for all others: one endless answer takes half of the memory, the
next one a quarter, and small answers pass beside them. `stream_relay` reports
how much each answer has buffered.
"""

from typing import Final

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
