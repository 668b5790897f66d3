"""TCP connections to backend servers that read data as soon as it arrives.

The gateway relays each event of a stream at once, so that pacing reads would
save nothing. An eager stream is registered with the event loop once for its
life, while a paced one is registered for each read, which costs three more
system calls for each event.
"""

import asyncio
import socket
from typing import Final

import httpcore

from figstream import backend_network

_READ_BYTES: Final = 65_536
# Beyond this amount of unread data, the kernel's buffers hold the rest.
_MAX_UNREAD_BYTES: Final = 262_144


class EagerStream(backend_network.PacedStream):
    """A TCP connection without TLS that buffers what has arrived."""

    def __init__(self, connected: socket.socket) -> None:
        """Initializes the stream from a connected non-blocking socket."""
        super().__init__(connected)
        self._loop = asyncio.get_running_loop()
        self._unread = bytearray()
        self._ended = False
        self._error: OSError | None = None
        self._watching = False
        self._waiter: asyncio.Future[None] | None = None

    async def aclose(self) -> None:
        """Closes the connection."""
        self._stop_watching()
        self._ended = True
        self._wake()
        await super().aclose()

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        if not self._unread and not self._ended:
            self._watch()
            await self._wait(timeout)
        if self._unread:
            data = bytes(self._unread)
            self._unread.clear()
            if not self._ended:
                self._watch()
            return data
        if self._error:
            raise self._error
        return b""

    async def _wait(self, timeout_s: float | None) -> None:
        """Waits for data or the end of the connection.

        Raises:
          TimeoutError: neither came in time.
        """
        # A cancel scope for each event of a stream would cost a tenth of the
        # time that the event takes.
        waiter = self._waiter = self._loop.create_future()
        timer = None
        if timeout_s is not None:
            timer = self._loop.call_later(timeout_s, _expire, waiter)
        try:
            await waiter
        finally:
            self._waiter = None
            if timer:
                timer.cancel()

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    def _is_readable(self) -> bool:
        return bool(self._unread) or self._ended or super()._is_readable()

    def _watch(self) -> None:
        if not self._watching:
            self._watching = True
            self._loop.add_reader(self._socket, self._read_arrived)

    def _stop_watching(self) -> None:
        if self._watching:
            self._watching = False
            self._loop.remove_reader(self._socket)

    def _read_arrived(self) -> None:
        try:
            data = self._recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._error = error
            data = b""
        self._unread += data
        self._ended = not data
        if self._ended or len(self._unread) > _MAX_UNREAD_BYTES:
            self._stop_watching()
        self._wake()


def _expire(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())


class EagerBackend(backend_network.PacedBackend):
    """Opens TCP connections without TLS that read data as it arrives."""

    def make_stream(self, connected: socket.socket) -> EagerStream:
        """Creates the stream of a connected socket."""
        return EagerStream(connected)


def make_network(
    unacknowledged_timeout_ms: int, *, eager: bool
) -> httpcore.AsyncNetworkBackend:
    """Creates the network of connections to backend servers."""
    kind = EagerBackend if eager else backend_network.PacedBackend
    return kind(unacknowledged_timeout_ms)
