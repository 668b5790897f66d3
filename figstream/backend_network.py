"""TCP connections to backend servers, with paced reads.

While an answer is streamed, reads of its connection are at least one pace
interval apart, so that tokens which arrive within the interval are relayed
in one write. A callback before each read allows the relay to send its
buffered events.

Plain connections read their socket directly after the interval, so one call
returns all data that has arrived, without a callback for each token.
Server addresses are numeric, so no name is resolved.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import errno
import os
import socket
import ssl
import time
from typing import Any
from typing import Final

import anyio
import httpcore

BeforeRead = Callable[[], Awaitable[None]]

# If data arrives at gaps of at least this many pace intervals, pacing would
# never combine two arrivals into one read.
_SPARSE_GAP_PACES: Final = 1.5
# Paced reads are aligned to multiples of this, so that many connections wake
# in the same iteration of the event loop.
_READ_ALIGNMENT_S: Final = 0.003
# The kernel's usual receive buffer.
_READ_BYTES: Final = 65_536


class PacedStream(httpcore.AsyncNetworkStream):
    """A TCP connection without TLS whose reads can be paced."""

    def __init__(self, connected: socket.socket) -> None:
        """Initializes the stream from a connected non-blocking socket."""
        self._socket = connected
        self._unacknowledged_timeout_ms = 0
        self._pace_s = 0.0
        self._idle_s = 0.0
        self._before_read: BeforeRead | None = None
        self._last_read_s = 0.0
        self._arrivals_sparse = False
        # Number of the connection's error that a write has taken from the
        # socket. The error itself would keep the written data in memory.
        self._write_errno = 0

    def set_unacknowledged_timeout(self, timeout_ms: int) -> None:
        """Sets for how long the peer may leave data unacknowledged.

        On Linux this also decides when keep-alive probes give up.
        """
        if timeout_ms == self._unacknowledged_timeout_ms:
            return
        self._unacknowledged_timeout_ms = timeout_ms
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )

    def start_pacing(
        self, pace_s: float, idle_s: float, before_read: BeforeRead
    ) -> None:
        """Starts to pace reads.

        Args:
          pace_s: shortest time between two reads.
          idle_s: timeout of each read while pacing.
          before_read: called before each read.
        """
        self._pace_s = pace_s
        self._idle_s = idle_s
        self._before_read = before_read
        self._last_read_s = time.monotonic()

    def stop_pacing(self) -> None:
        """Returns to reads without pacing."""
        self._pace_s = 0.0
        self._before_read = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads the data that has arrived, after the pace interval if paced.

        Raises:
          httpcore.ReadTimeout: nothing arrived within the timeout.
          httpcore.ReadError: the connection broke.
        """
        if self._before_read:
            timeout = self._idle_s
            await self._before_read()
            await self._wait_for_pace()
        try:
            data = await self._receive(max_bytes, timeout)
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error
        except (OSError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(type(error).__name__) from error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes the complete buffer.

        Raises:
          httpcore.WriteTimeout: the buffer was not written in time.
          httpcore.WriteError: the connection broke.
        """
        remaining = memoryview(buffer)
        try:
            with anyio.fail_after(timeout):
                while remaining:
                    remaining = remaining[await self._send(remaining) :]
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except (OSError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(type(error).__name__) from error

    async def aclose(self) -> None:
        """Closes the connection."""
        anyio.notify_closing(self._socket)
        self._socket.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raises `httpcore.UnsupportedProtocol`: TLS is not supported."""
        raise httpcore.UnsupportedProtocol(
            "paced connections do not support TLS"
        )

    def get_extra_info(self, info: str) -> Any:
        """Returns information about the connection.

        "socket" gives the socket. "is_readable" gives whether a read would
        not block: unread data, a close by the peer or an error, after each of
        which an idle connection can't be reused. Other keys give None.
        """
        if info == "socket":
            return self._socket
        if info == "is_readable":
            return self._is_readable()
        return None

    async def _wait_for_pace(self) -> None:
        # Waiting would not combine arrivals, so the timer is saved.
        if self._arrivals_sparse:
            return
        due_s = self._last_read_s + self._pace_s
        # Aligns the reads of many connections; see `_READ_ALIGNMENT_S`.
        due_s -= due_s % _READ_ALIGNMENT_S
        delay_s = due_s - time.monotonic()
        if delay_s > 0:
            await anyio.sleep(delay_s)
            self._last_read_s = due_s
        else:
            self._last_read_s = time.monotonic()

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        with contextlib.suppress(BlockingIOError):
            data = self._recv(max(max_bytes, _READ_BYTES))
            self._arrivals_sparse = False
            return data
        with anyio.fail_after(timeout):
            await anyio.wait_readable(self._socket)
        now_s = time.monotonic()
        gap_s = now_s - self._last_read_s
        self._arrivals_sparse = gap_s >= _SPARSE_GAP_PACES * self._pace_s
        self._last_read_s = now_s
        return self._recv(max(max_bytes, _READ_BYTES))

    def _recv(self, max_bytes: int) -> bytes:
        """Receives from the socket; returns b"" only at an orderly end.

        The kernel reports the error of a connection once. If a write has taken
        it, it reports the end to the next read as if the peer had closed the
        connection in order.

        Raises:
          OSError: nothing has arrived, or the connection broke.
        """
        data = self._socket.recv(max_bytes)
        if not data and self._write_errno:
            raise OSError(self._write_errno, os.strerror(self._write_errno))
        return data

    async def _send(self, data: memoryview) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            pass
        except BrokenPipeError:
            # The peer had closed the connection in order before it refused
            # more data, so all it has sent has arrived.
            raise
        except OSError as error:
            self._write_errno = error.errno or errno.EIO
            raise
        await anyio.wait_writable(self._socket)
        return 0

    def _is_readable(self) -> bool:
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


# Keep-alive probes of an idle connection: a peer that no longer answers is
# detected within about three seconds.
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections without TLS whose reads can be paced."""

    def __init__(self, unacknowledged_timeout_ms: int = 0) -> None:
        """Initializes the backend.

        Args:
          unacknowledged_timeout_ms: milliseconds for which a peer may leave
            data unacknowledged before the connection breaks; 0 uses the
            kernel's defaults.
        """
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects to an IP address.

        Raises:
          httpcore.ConnectTimeout: no connection within the timeout.
          httpcore.ConnectError: the connection was refused.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        tcp_socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            tcp_socket.setblocking(False)
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._unacknowledged_timeout_ms:
                for option in unresponsive_peer_options(
                    self._unacknowledged_timeout_ms
                ):
                    tcp_socket.setsockopt(*option)
            with anyio.fail_after(timeout):
                await _connect(tcp_socket, host, port)
        except TimeoutError as error:
            tcp_socket.close()
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            tcp_socket.close()
            raise httpcore.ConnectError(type(error).__name__) from error
        except BaseException:
            tcp_socket.close()
            raise
        return self.make_stream(tcp_socket)

    def make_stream(self, connected: socket.socket) -> PacedStream:
        """Creates the stream of a connected socket."""
        return PacedStream(connected)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raises `httpcore.UnsupportedProtocol`: only TCP is supported."""
        raise httpcore.UnsupportedProtocol(
            "backend servers are reached over TCP only"
        )

    async def sleep(self, seconds: float) -> None:
        """Waits for the given time."""
        await anyio.sleep(seconds)


def unresponsive_peer_options(
    unacknowledged_timeout_ms: int,
) -> list[tuple[int, int, int]]:
    """Returns socket options that break connections to unresponsive peers.

    Args:
      unacknowledged_timeout_ms: milliseconds for which data may stay
        unacknowledged.
    """
    tcp = socket.IPPROTO_TCP
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms),
    ]


async def _connect(tcp_socket: socket.socket, host: str, port: int) -> None:
    try:
        tcp_socket.connect((host, port))
    except BlockingIOError:
        await anyio.wait_writable(tcp_socket)
        code = tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "connect failed") from None
