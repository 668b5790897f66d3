"""The connections to backend servers, kept for reuse.

A server closes idle connections without notice, and a request that is lost
on one may have run. A connection is therefore reused only while it has been
idle for a part of the time that its server keeps it, and for a smaller part
where the request may run once at most.
"""

import collections
from collections.abc import AsyncIterator
import time
from typing import Final

import anyio
import attrs
import httpcore

from figstream import backend_connection
from figstream import backend_network

# Parts of a server's own idle timeout: the rest covers the way of a request
# and, where it must not be lost, clocks that run at different speeds too.
_REPEATABLE_SHARE: Final = 0.8
_ONCE_SHARE: Final = 0.5
# Connections; as many as the slots of a large server.
_IDLE_PER_SERVER: Final = 64
# Seconds between looks for idle connections to close.
_SWEEP_S: Final = 1.0
# Unacknowledged data after which the kernel gives a connection up: two lost
# retransmissions, a part of the time that callers wait.
_SILENCE_MS: Final = 800


@attrs.frozen
class Place:
    """Where connections go.

    Attributes:
      host: IP number.
      port: TCP port.
      server: name of the backend server; an address may be used again by
        another server.
    """

    host: str
    port: int
    server: str


class Answer:
    """The answer to one request; must be closed."""

    def __init__(
        self,
        transport: "BackendTransport",
        place: Place,
        connection: backend_connection.Connection,
        head: backend_connection.Head,
    ) -> None:
        """Holds the connection until it is closed."""
        self._transport = transport
        self._place = place
        self._connection = connection
        self.head = head

    @property
    def stream(self) -> backend_network.PacedStream | None:
        """Returns the network stream, if its reads can be paced."""
        found = self._connection.stream
        return found if isinstance(found, backend_network.PacedStream) else None

    def body(self) -> AsyncIterator[bytes]:
        """Returns the pieces of the body as they arrive."""
        return self._connection.body()

    async def close(self) -> None:
        """Keeps the connection if it is clean, else closes it."""
        with anyio.CancelScope(shield=True):
            await self._transport.give_back(self._place, self._connection)


class BackendTransport:
    """Sends requests to backend servers."""

    def __init__(self) -> None:
        """Starts without connections."""
        self._network = backend_network.PacedBackend(_SILENCE_MS)
        self._idle: dict[
            Place, collections.deque[backend_connection.Connection]
        ] = {}
        self._swept_at = time.monotonic()

    async def send(
        self,
        place: Place,
        request: backend_connection.Request,
        connect_s: float,
        read_s: float | None = None,
        *,
        once: bool = False,
    ) -> Answer:
        """Sends a request and returns its answer once the head is there.

        Args:
          place: the server.
          request: the request.
          connect_s: timeout of a new connection.
          read_s: longest wait for the next bytes of the answer.
          once: whether the request may run once at most.

        Raises:
          httpcore.ConnectError: no connection; nothing was sent.
          httpcore.ConnectTimeout: the same, in time.
          httpcore.NetworkError: the connection broke.
          httpcore.ProtocolError: what came is no answer.
        """
        connection = await self._take(place, once=once)
        if connection is None:
            stream = await self._network.connect_tcp(
                place.host, place.port, connect_s
            )
            connection = backend_connection.Connection(stream)
        connection.read_timeout_s = read_s
        try:
            head = await connection.send(request)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.close()
            raise
        return Answer(self, place, connection, head)

    async def reaches(self, place: Place, connect_s: float) -> bool:
        """Tells whether a server takes connections, or may do so unseen.

        Only a refused connection shows that nothing listens there; one that
        is not answered may be lost on the way.
        """
        try:
            stream = await self._network.connect_tcp(
                place.host, place.port, connect_s
            )
        except httpcore.ConnectTimeout:
            return True
        except httpcore.ConnectError:
            return False
        await stream.aclose()
        return True

    async def give_back(
        self, place: Place, connection: backend_connection.Connection
    ) -> None:
        """Keeps a connection for the next request if it is clean."""
        idle = self._idle.setdefault(place, collections.deque())
        if connection.reusable and len(idle) < _IDLE_PER_SERVER:
            idle.append(connection)
        else:
            await connection.close()
        await self._sweep()

    async def close(self) -> None:
        """Closes all idle connections."""
        for place in list(self._idle):
            for connection in self._idle.pop(place):
                await connection.close()

    async def _sweep(self) -> None:
        """Closes connections that nothing may be sent on any more.

        Those to servers that are gone are among them.
        """
        now = time.monotonic()
        if now - self._swept_at < _SWEEP_S:
            return
        self._swept_at = now
        for place, idle in list(self._idle.items()):
            # The oldest ones stand in front.
            while idle and not idle[0].usable_after_idle(_REPEATABLE_SHARE):
                await idle.popleft().close()
            if not idle:
                self._idle.pop(place, None)

    async def _take(
        self, place: Place, *, once: bool
    ) -> backend_connection.Connection | None:
        share = _ONCE_SHARE if once else _REPEATABLE_SHARE
        idle = self._idle.get(place)
        while idle:
            # The one used last is the likeliest to be open still.
            connection = idle.pop()
            if connection.usable_after_idle(share):
                return connection
            await connection.close()
        return None
