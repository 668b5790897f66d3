"""Sends an order or a usage report if the lease is still held at the write.

Each message has its own connection. There is no await between the check of
the lease and the write to the socket, so a daemon that was paused while it
connected or queued detects the loss of the lease before it sends a byte. The
kernel drops the connection if written data stays unacknowledged beyond the
timeout, so that the data is not delivered long after a network partition ends,
even if the daemon is paused at that time.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import socket
from typing import Final
from typing import TypeVar

import anyio
import httpcore

from figstream import backend_network
from figstream import platform_api
from figstream import platform_network

_T = TypeVar("_T")
_MS_PER_S: Final = 1000


class NotAllowedError(httpcore.LocalProtocolError):
    """Raised instead of writing when the lease is no longer held."""


class _CheckedStream(backend_network.PacedStream):
    def __init__(
        self, connected: socket.socket, allowed: Callable[[], bool]
    ) -> None:
        super().__init__(connected)
        self._allowed = allowed

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not self._allowed():
            raise NotAllowedError("the lease is no longer held")
        # Does not yield to the event loop before the writing system call.
        await super().write(buffer, timeout)


class _CheckedBackend(backend_network.PacedBackend):
    def __init__(self, allowed: Callable[[], bool], timeout_s: float) -> None:
        super().__init__()
        self._allowed = allowed
        self._timeout_ms = round(timeout_s * _MS_PER_S)

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await super().connect_tcp(host, port, timeout)
        connected: socket.socket = stream.get_extra_info("socket")
        connected.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._timeout_ms
        )
        return _CheckedStream(connected, self._allowed)


async def send(
    method: str,
    url: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_s: float,
    allowed: Callable[[], bool],
    read: Callable[[httpcore.Response], Awaitable[_T]],
) -> _T | platform_api.Unavailable | platform_api.Unknown:
    """Sends an order or a usage report if sending is allowed at the write.

    Args:
      method: HTTP method.
      url: destination; plain HTTP with an IP address.
      body: encoded order or report.
      headers: request headers.
      timeout_s: timeout for connection, request and answer together.
      allowed: checked before each write, with no await between the two.
      read: reads the answer.
    """
    backend = platform_network.HeadCheckedBackend(
        _CheckedBackend(allowed, timeout_s)
    )
    try:
        with anyio.fail_after(timeout_s):
            async with (
                httpcore.AsyncConnectionPool(network_backend=backend) as pool,
                pool.stream(
                    method, url, headers=list(headers.items()), content=body
                ) as answer,
            ):
                return await read(answer)
    except (
        NotAllowedError,
        httpcore.ConnectError,
        httpcore.UnsupportedProtocol,
    ) as error:
        return platform_api.Unavailable(str(error))
    except (
        TimeoutError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        detail = f"{type(error).__name__} {error}".strip()
        return platform_api.Unknown(detail)
