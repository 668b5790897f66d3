"""Checks the heads of the platform's answers while httpcore reads them."""

from collections.abc import Iterable
import ssl
from typing import Any

import httpcore

from figstream import head_lines


class HeadCheckedStream(httpcore.AsyncNetworkStream):
    """A connection that carries one call at a time."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Initializes the connection; takes ownership of the stream."""
        self._stream = stream
        self._lines = head_lines.HeadLines()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads the next bytes of an answer, b"" at the end.

        Raises:
          httpcore.ReadTimeout: nothing arrived within the timeout.
          httpcore.ReadError: the connection broke.
          httpcore.RemoteProtocolError: the head has lines of no answer.
        """
        data = await self._stream.read(max_bytes, timeout)
        self._lines.feed(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes a part of a request, after which an answer begins.

        Raises:
          httpcore.WriteTimeout: the buffer was not written in time.
          httpcore.WriteError: the connection broke.
        """
        self._lines = head_lines.HeadLines()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Returns the connection with TLS."""
        return HeadCheckedStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Returns information about the connection."""
        return self._stream.get_extra_info(info)


class HeadCheckedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose answers are checked."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend) -> None:
        """Initializes the backend; `backend` opens the connections."""
        self._backend = backend

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a host."""
        return HeadCheckedStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a Unix socket."""
        return HeadCheckedStream(
            await self._backend.connect_unix_socket(
                path, timeout, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Waits for the given time."""
        await self._backend.sleep(seconds)
