"""The network layer towards backend servers, with paced reads.

While an answer streams, reads of a connection are at least a pace apart, so
that tokens which arrive within the pace are relayed in one write. Just
before each read the relay is told, so that it can pass on what it holds.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import ssl
import time
from typing import Any

import anyio
import httpcore

BeforeRead = Callable[[], Awaitable[None]]


class PacedStream(httpcore.AsyncNetworkStream):
    """A connection whose reads can be paced."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        """Wraps a connection; reads are not paced yet."""
        self._inner = inner
        self._pace_s = 0.0
        self._before_read: BeforeRead | None = None
        self._last_read_s = 0.0
        self.bytes_written = 0

    def start_pacing(self, pace_s: float, before_read: BeforeRead) -> None:
        """Spaces reads and calls the function before each of them."""
        self._pace_s = pace_s
        self._before_read = before_read
        self._last_read_s = time.monotonic()

    def stop_pacing(self) -> None:
        """Goes back to plain reads."""
        self._pace_s = 0.0
        self._before_read = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads what has arrived, after the pace has passed."""
        if self._before_read:
            await self._before_read()
            due_s = self._last_read_s + self._pace_s
            await anyio.sleep(max(0.0, due_s - time.monotonic()))
        data = await self._inner.read(max_bytes, timeout)
        self._last_read_s = time.monotonic()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes a buffer."""
        self.bytes_written += len(buffer)
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Wraps the connection in TLS."""
        return PacedStream(
            await self._inner.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Returns what the inner connection says of itself."""
        return self._inner.get_extra_info(info)


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads can be paced."""

    def __init__(self) -> None:
        """Opens connections with anyio."""
        self._inner = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects over TCP."""
        return PacedStream(
            await self._inner.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuses; backend servers are reached by IP number."""
        raise httpcore.UnsupportedProtocol("backend servers are on TCP")

    async def sleep(self, seconds: float) -> None:
        """Waits for some seconds."""
        await self._inner.sleep(seconds)
