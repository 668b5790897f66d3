"""Loopback proxies through which a soak injects network faults.

Each proxy forwards the connections of one port. A fault affects new and open
connections until the link is healed.
"""

import enum
import socket
import struct
from typing import Final

import anyio
import anyio.abc

_CHUNK_BYTES: Final = 65_536
_DELAY_S: Final = 0.15
_CLOSED = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class LinkMode(enum.Enum):
    """Modes in which a link forwards."""

    PASS = "pass"
    DELAY = "delay"  # Each chunk is delayed.
    SILENT = "silent"  # All data is held back until the link is healed.
    DEAF = "deaf"  # Answers are held back until the link is healed.
    RESET = "reset"  # Open and new connections are reset.


class Link:
    """Proxy in front of one local port."""

    def __init__(self, port: int) -> None:
        """Initializes a proxy to a port; `serve` starts the proxy."""
        self._target = port
        self._mode = LinkMode.PASS
        self._changed = anyio.Event()
        self._open: set[anyio.abc.SocketStream] = set()
        self.port = 0

    @property
    def mode(self) -> LinkMode:
        """Returns the current mode."""
        return self._mode

    def set_mode(self, mode: LinkMode) -> None:
        """Applies a fault, or heals the link with `LinkMode.PASS`."""
        self._mode = mode
        self._changed.set()
        self._changed = anyio.Event()
        if mode is LinkMode.RESET:
            for stream in self._open:
                _reset(stream)

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forwards connections until cancelled and reports the port first."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(self.port)
        async with listener:
            await listener.serve(self._connection)

    async def _connection(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            if self._mode is LinkMode.RESET:
                _reset(near)
                return
            try:
                far = await anyio.connect_tcp("127.0.0.1", self._target)
            except OSError:
                _reset(near)
                return
            self._open |= {near, far}
            if self.mode is LinkMode.RESET:
                _reset(near)
            try:
                async with far, anyio.create_task_group() as group:
                    group.start_soon(self._pump, near, far, False)
                    await self._pump(far, near, True)
                    group.cancel_scope.cancel()
            finally:
                self._open -= {near, far}

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        answers: bool,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                await self._let_through(answers)
                await sink.send(chunk)
        except _CLOSED:
            # Closes both directions, since HTTP does not use half-closed
            # connections.
            await self._let_through(answers)
            await sink.aclose()

    async def _let_through(self, answers: bool) -> None:
        if self._mode is LinkMode.DELAY:
            await anyio.sleep(_DELAY_S)
        while self._mode is LinkMode.SILENT or (
            self._mode is LinkMode.DEAF and answers
        ):
            await self._changed.wait()


def _reset(stream: anyio.abc.SocketStream) -> None:
    raw: socket.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        raw.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is closed already, as intended.
        return
