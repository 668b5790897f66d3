"""Connection pool for requests to backend servers.

A server closes idle connections without notice, and a request that is lost
on such a connection may have run. A connection is therefore reused only until
it has been idle for a fraction of its server's idle timeout, and for a
smaller fraction if the request may run at most once.
"""

import collections
from collections.abc import AsyncIterator
import time
from typing import Final

import anyio

from figstream import backend_connection
from figstream import backend_network
from figstream import server_connector

# Fractions of a server's idle timeout after which a connection is not reused.
# The rest covers the network delay of a request and, for a request that must
# not be lost, also clocks that run at different speeds.
_RETRYABLE_IDLE_FRACTION: Final = 0.8
_AT_MOST_ONCE_IDLE_FRACTION: Final = 0.5
# As many as a large server has slots.
_MAX_IDLE_PER_SERVER: Final = 64
# Time for which a server may leave a request unacknowledged before the kernel
# breaks the connection. Two retransmissions may be lost; another server then
# answers sooner than one that stays silent. A request that must not be repeated
# has no other server, and a sound one may be silent for over a second.
RETRYABLE_SILENCE_MS: Final = 800
AT_MOST_ONCE_SILENCE_MS: Final = 2_000
_SWEEP_INTERVAL_S: Final = 1.0


class Answer:
    """The answer to one request; must be closed by its receiver."""

    def __init__(
        self,
        transport: "BackendTransport",
        address: server_connector.ServerAddress,
        connection: backend_connection.Connection,
        head: backend_connection.Head,
    ) -> None:
        """Initializes the answer; holds the connection until `close`."""
        self._transport = transport
        self._address = address
        self._connection = connection
        self.head = head

    @property
    def stream(self) -> backend_network.PacedStream | None:
        """Returns the network stream, if its reads can be paced."""
        network_stream = self._connection.stream
        return (
            network_stream
            if isinstance(network_stream, backend_network.PacedStream)
            else None
        )

    def mark_refused(self, call_id: str) -> None:
        """Keeps further attempts of a refused call off this connection."""
        self._connection.add_refusal(call_id)

    def body(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as they arrive."""
        return self._connection.body()

    async def close(self) -> None:
        """Returns the connection to the pool, or closes it if not reusable."""
        with anyio.CancelScope(shield=True):
            await self._transport.release(self._address, self._connection)


class BackendTransport:
    """Sends requests to backend servers over pooled connections."""

    def __init__(self, connector: server_connector.ServerConnector) -> None:
        """Initializes an empty pool; `connector` opens its connections."""
        self._connector = connector
        self._idle: dict[
            server_connector.ServerAddress,
            collections.deque[backend_connection.Connection],
        ] = {}
        self._swept_at = time.monotonic()

    async def send(
        self,
        address: server_connector.ServerAddress,
        request: backend_connection.Request,
        connect_s: float,
        read_s: float | None = None,
        *,
        at_most_once: bool = False,
        call_id: str = "",
    ) -> Answer:
        """Sends a request and returns its answer once the head has arrived.

        Args:
          address: the server.
          request: the request.
          connect_s: timeout of a new connection.
          read_s: longest wait for the next bytes of the answer.
          at_most_once: whether the request may run at most once.
          call_id: id of the call that the answer will carry, "" for none.

        Raises:
          httpcore.ConnectError: the connection failed; nothing was sent.
          httpcore.ConnectTimeout: no connection in time; nothing was sent.
          httpcore.NetworkError: the connection broke.
          httpcore.ProtocolError: the received bytes are not an answer.
        """
        connection = await self._acquire_idle(
            address, call_id, at_most_once=at_most_once
        )
        if connection is None:
            stream = await self._connector.connect(address, connect_s)
            connection = backend_connection.Connection(stream)
        silence_ms = (
            AT_MOST_ONCE_SILENCE_MS if at_most_once else RETRYABLE_SILENCE_MS
        )
        if isinstance(connection.stream, backend_network.PacedStream):
            connection.stream.set_unacknowledged_timeout(silence_ms)
        connection.read_timeout_s = read_s
        try:
            with self._connector.awaiting(address):
                head = await connection.send(request)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.close()
            raise
        return Answer(self, address, connection, head)

    async def release(
        self,
        address: server_connector.ServerAddress,
        connection: backend_connection.Connection,
    ) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        idle = self._idle.setdefault(address, collections.deque())
        if connection.reusable and len(idle) < _MAX_IDLE_PER_SERVER:
            idle.append(connection)
        else:
            await connection.close()
        await self._sweep()

    async def close_idle(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            for connection in self._idle.pop(address):
                await connection.close()

    async def _sweep(self) -> None:
        """Closes connections that were idle for too long.

        This includes connections to servers that no longer exist.
        """
        now = time.monotonic()
        if now - self._swept_at < _SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for address, idle in list(self._idle.items()):
            # The connections idle for longest are on the left.
            while idle and not idle[0].usable_after_idle(
                _RETRYABLE_IDLE_FRACTION
            ):
                await idle.popleft().close()
            if not idle:
                self._idle.pop(address, None)

    async def _acquire_idle(
        self,
        address: server_connector.ServerAddress,
        call_id: str,
        *,
        at_most_once: bool,
    ) -> backend_connection.Connection | None:
        idle_fraction = (
            _AT_MOST_ONCE_IDLE_FRACTION
            if at_most_once
            else _RETRYABLE_IDLE_FRACTION
        )
        while connection := self._last_idle(address, call_id):
            self._idle[address].remove(connection)
            if connection.usable_after_idle(idle_fraction):
                return connection
            await connection.close()
        return None

    def _last_idle(
        self, address: server_connector.ServerAddress, call_id: str
    ) -> backend_connection.Connection | None:
        """Returns the last used connection that has not refused the call."""
        # It is the most likely to be still open.
        return next(
            (
                connection
                for connection in reversed(self._idle.get(address, ()))
                if not connection.has_refused(call_id)
            ),
            None,
        )
