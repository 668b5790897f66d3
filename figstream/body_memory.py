"""Lets the bodies of requests take part in the bound of a daemon's memory.

Bodies may have megabytes, and a request keeps its body until it has ended,
since another server may need it. They count against one bound together with
buffered answers (`answer_buffers`). Answers the load in which callers send
bodies faster than servers take them: a body that does not fit waits, unread,
then is refused before any server has seen it. A body may take half of what is
left, so that small ones pass beside large ones.
"""

from typing import Final

import anyio

from figstream import answer_buffers
from figstream import logs
from figstream import metrics as metrics_lib

# Half of the time after which callers give a request up that is not read.
_WAIT_S: Final = 0.5


# Requests end and free their room within about that time.
RETRY_AFTER_S: Final = 0.5


class BodyMemory:
    """The memory of the bodies of one daemon."""

    def __init__(
        self,
        buffers: answer_buffers.AnswerBuffers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Stores the bound and the instruments."""
        self._buffers = buffers
        self._metrics = metrics

    def room(self) -> "BodyRoom":
        """Returns the room of one body, which is empty."""
        return BodyRoom(self._buffers, self._metrics)


class BodyRoom:
    """The room of one body; a context manager that frees it."""

    def __init__(
        self,
        buffers: answer_buffers.AnswerBuffers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes without room."""
        self._buffers = buffers
        self._metrics = metrics
        self._size_bytes = 0

    def __enter__(self) -> "BodyRoom":
        """Returns the room."""
        return self

    def __exit__(self, *error: object) -> None:
        """Frees the room."""
        self.shrink(0)

    @property
    def size_bytes(self) -> int:
        """Returns the bytes that the body may have."""
        return self._size_bytes

    def shrink(self, size_bytes: int) -> None:
        """Gives the bytes beyond a size back."""
        if size_bytes < self._size_bytes:
            self._resize(size_bytes)

    async def take(self, size_bytes: int, most_bytes: int) -> bool:
        """Makes room for a body; returns whether there is room.

        Args:
          size_bytes: size that the body has at least.
          most_bytes: size that it can't exceed.
        """
        # A body of unknown length grows in a few steps.
        wanted_bytes = min(max(size_bytes, 2 * self._size_bytes), most_bytes)
        if self._try(wanted_bytes):
            return True
        self._metrics.event("body_waited")
        with anyio.move_on_after(_WAIT_S):
            while True:
                await self._buffers.freed()
                if self._try(wanted_bytes):
                    return True
        self._metrics.event("body_refused")
        logs.warning(
            "body_refused",
            bytes=wanted_bytes,
            used_bytes=self._buffers.used_bytes,
        )
        self.shrink(0)
        return False

    def _try(self, size_bytes: int) -> bool:
        try:
            self._resize(size_bytes)
        except answer_buffers.AnswerTooLongError:
            return False
        return True

    def _resize(self, size_bytes: int) -> None:
        self._buffers.resize(self._size_bytes, size_bytes)
        self._size_bytes = size_bytes
