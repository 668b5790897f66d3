"""Connections to backend servers through a peer, for tests."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import socket
from typing import Final

import anyio
import anyio.abc
import attrs
import grpc
import httpcore

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import membership_api
from figstream import metrics
from figstream import peer_server
from figstream import peer_tunnels
from figstream import server_connector
from figstream import server_paths
from figstream import tunnel_server
from figstream_platform import standin_worker

# Direct connections of both kinds of stream, and those through a peer.
WAYS: Final = ("eager", "paced", "tunnel")


class Members:
    """Two peers, the second of which does not answer, and this daemon."""

    def __init__(self, addresses: list[str]) -> None:
        self._members = [
            membership_api.Member(f"entry-{number}", "a", "r", address, 1)
            for number, address in enumerate(["", *addresses])
        ]
        self._channels = {
            item.address: grpc.aio.insecure_channel(item.address)
            for item in self._members[1:]
        }

    def this(self) -> membership_api.Member:
        return self._members[0]

    def live(self) -> list[membership_api.Member]:
        return self._members

    def ranked(self, role: str, zone: str = "") -> list[membership_api.Member]:
        return self._members

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        return self._channels[member.address]

    async def close(self) -> None:
        for channel in self._channels.values():
            await channel.close()


@attrs.define
class Peers:
    """A peer, whose connections to servers are kept."""

    tunnels: peer_tunnels.PeerTunnels
    paths: server_paths.ServerPaths
    connections: list[anyio.abc.SocketStream]


@contextlib.asynccontextmanager
async def peers(server_port: int = 0) -> AsyncIterator[Peers]:
    """Runs a peer whose directory has one server, "i-1".

    Args:
      server_port: port of the server, 0 for one that keeps its connections.
    """
    clock = clock_lib.SystemClock()
    unexported = metrics.make_unexported_metrics()
    paths = server_paths.ServerPaths(clock, unexported)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    connections: list[anyio.abc.SocketStream] = []
    server = backend_server.BackendServer(
        "i-1", f"http://127.0.0.1:{server_port or port}", "a"
    )
    peer = peer_server.PeerServer("127.0.0.1", 0, 0.1)
    role = tunnel_server.TunnelServer(
        lambda name: server if name == "i-1" else None,
        paths,
        server_connector.DirectConnector(eager=True),
        unexported,
    )
    await peer.start([role])

    async def keep(stream: anyio.abc.SocketStream) -> None:
        connections.append(stream)
        await anyio.sleep_forever()

    members = Members([peer.address, "127.0.0.1:1"])
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, keep)
        yield Peers(
            peer_tunnels.make_peer_tunnels(members, clock, unexported),
            paths,
            connections,
        )
        group.cancel_scope.cancel()
    await members.close()
    await peer.stop()


class TunnelConnector(server_connector.DirectConnector):
    """Opens all connections through a peer."""

    def __init__(self, tunnels: peer_tunnels.PeerTunnels) -> None:
        super().__init__(eager=True)
        self._tunnels = tunnels

    async def connect(
        self, address: server_connector.ServerAddress, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        return await self._tunnels.connect(address.server, timeout_s)


@contextlib.asynccontextmanager
async def connector(
    worker: standin_worker.Worker, way: str
) -> AsyncIterator[server_connector.ServerConnector]:
    """Yields a connector that reaches a worker in one of `WAYS`."""
    if way != "tunnel":
        yield server_connector.DirectConnector(eager=way == "eager")
        return
    worker.port = free_port()
    async with peers(worker.port) as found:
        yield TunnelConnector(found.tunnels)


@contextlib.contextmanager
def refusing_port() -> Iterator[int]:
    """Yields a port that refuses connections and that nobody else can take."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        port: int = held.getsockname()[1]
        yield port


def free_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port
