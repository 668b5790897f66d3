"""Sends an order or a report over its own connection, checked as it is written.

Between the check of the lease and the write to the socket stands no await, so
a daemon that was paused while it connected or queued finds out before a byte
leaves. The kernel drops the connection when what was written stays
unacknowledged beyond the timeout, so that it is not delivered long after a
partition heals, even if the daemon is paused by then.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import socket
from typing import Final

import anyio
import httpcore

from figstream import backend_network
from figstream import platform_api

_MS_PER_S: Final = 1000


class NotAllowedError(httpcore.LocalProtocolError):
    """Raised instead of writing when the lease no longer holds."""


class _CheckedStream(backend_network.PacedStream):
    def __init__(
        self, connected: socket.socket, allowed: Callable[[], bool]
    ) -> None:
        super().__init__(connected)
        self._allowed = allowed

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not self._allowed():
            raise NotAllowedError("the lease no longer holds")
        # Runs up to the system call that writes without giving way.
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
) -> httpcore.Response | platform_api.Unavailable | platform_api.Unknown:
    """Sends an order or a report if it is still allowed when it is written.

    Args:
      method: HTTP method.
      url: where to; plain HTTP at an IP number.
      body: the order or report.
      headers: sent along.
      timeout_s: for connection, request and answer together.
      allowed: called with no await between it and each write.
    """
    backend = _CheckedBackend(allowed, timeout_s)
    try:
        with anyio.fail_after(timeout_s):
            async with httpcore.AsyncConnectionPool(
                network_backend=backend
            ) as pool:
                return await pool.request(
                    method, url, headers=list(headers.items()), content=body
                )
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
        return platform_api.Unknown(type(error).__name__)
