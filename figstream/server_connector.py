"""Opens connections to backend servers, directly or through peers.

`backend_transport` asks the connector for each new connection.
"""

import contextlib
from typing import Final
from typing import Protocol
import urllib.parse

import anyio
import attrs
import httpcore

from figstream import backend_server
from figstream import eager_stream
from figstream import peer_tunnels
from figstream import server_paths

# A sound path connects within this time, so that the rest is for peers.
_DIRECT_CHECK_TIMEOUT_S: Final = 0.1
# Time for which data may stay unacknowledged before the kernel breaks the
# connection: enough for two lost retransmissions, and less than callers wait.
_UNACKNOWLEDGED_TIMEOUT_MS: Final = 800


@attrs.frozen
class ServerAddress:
    """Address and name of the backend server behind a connection.

    Attributes:
      host: IP address.
      port: TCP port.
      server: name of the backend server, since another server may later get
        the same address.
    """

    host: str
    port: int
    server: str


def address_of(server: backend_server.BackendServer) -> ServerAddress:
    """Returns the address of a server."""
    parts = urllib.parse.urlsplit(server.url)
    return ServerAddress(parts.hostname or "", parts.port or 80, server.name)


class ServerConnector(Protocol):
    """Opens connections to backend servers."""

    async def connect(
        self, address: ServerAddress, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection.

        Raises:
          httpcore.ConnectError: the connection failed; nothing was sent.
          httpcore.ConnectTimeout: no connection in time; nothing was sent.
        """

    async def accepts(
        self, address: ServerAddress, timeout_s: float
    ) -> bool | None:
        """Returns whether a server accepts connections, or may accept them.

        Returns None if that can't be known, since the path to servers is lost.

        Args:
          address: address and name of the server.
          timeout_s: seconds for all ways together.
        """

    def awaiting(
        self, address: ServerAddress
    ) -> contextlib.AbstractContextManager[None]:
        """Surrounds the wait for an answer of a server."""


class DirectConnector:
    """Opens connections of this daemon; implements `ServerConnector`."""

    def __init__(self, *, eager: bool = False) -> None:
        """Initializes the connector.

        Args:
          eager: whether connections read data as it arrives; otherwise their
            reads can be paced.
        """
        self._network = eager_stream.make_network(
            _UNACKNOWLEDGED_TIMEOUT_MS, eager=eager
        )

    async def connect(
        self, address: ServerAddress, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Opens a TCP connection."""
        return await self._network.connect_tcp(
            address.host, address.port, timeout_s
        )

    async def accepts(self, address: ServerAddress, timeout_s: float) -> bool:
        """Returns whether a server accepts connections, or may accept them."""
        return await self.find_out(address, timeout_s) is not False

    async def find_out(
        self, address: ServerAddress, timeout_s: float
    ) -> bool | None:
        """Returns whether a server accepts connections, None if unknown.

        Only a connection error such as a refusal shows that nothing listens
        at the address; after a timeout the packets may have been lost.
        """
        try:
            stream = await self.connect(address, timeout_s)
        except httpcore.ConnectTimeout:
            return None
        except httpcore.ConnectError:
            return False
        await stream.aclose()
        return True

    def awaiting(
        self, address: ServerAddress
    ) -> contextlib.AbstractContextManager[None]:
        """Does nothing, since the wait has no consequence."""
        return contextlib.nullcontext()


class PathConnector:
    """Opens connections directly or through peers.

    Implements `ServerConnector`.
    """

    def __init__(
        self,
        direct: DirectConnector,
        paths: server_paths.ServerPaths,
        tunnels: peer_tunnels.PeerTunnels,
    ) -> None:
        """Initializes the connector from its two ways."""
        self._direct = direct
        self._paths = paths
        self._tunnels = tunnels

    async def connect(
        self, address: ServerAddress, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection, through a peer while there is no direct path."""
        if not self._paths.direct and self._tunnels.available:
            return await self._tunnels.connect(address.server, timeout_s)
        try:
            stream = await self._direct.connect(address, timeout_s)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            self._paths.failed(address.server)
            raise
        self._paths.opened(address.server)
        return stream

    async def accepts(
        self, address: ServerAddress, timeout_s: float
    ) -> bool | None:
        """Returns whether a server accepts connections, or may accept them.

        A partition may refuse connections as a crashed server does, or let
        them time out, so the peers' word counts. If they have none, a timeout
        speaks for the server unless the path is known to be lost.
        """
        found: bool | None = None
        ends_at = anyio.current_time() + timeout_s
        if self._paths.direct or not self._tunnels.available:
            direct_s = min(timeout_s, _DIRECT_CHECK_TIMEOUT_S)
            found = await self._direct.find_out(address, direct_s)
        if found:
            return True
        left_s = ends_at - anyio.current_time()
        if self._tunnels.available and left_s > 0.0:
            try:
                stream = await self._tunnels.connect(address.server, left_s)
            except peer_tunnels.ServerUnreachableError:
                return False
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                pass
            else:
                await stream.aclose()
                return True
        return True if found is None and self._paths.direct else found

    def awaiting(
        self, address: ServerAddress
    ) -> contextlib.AbstractContextManager[None]:
        """Lets a long wait on a direct path raise a suspicion."""
        if self._paths.direct:
            return self._paths.awaiting(address.server)
        return contextlib.nullcontext()
