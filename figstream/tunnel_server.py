"""Connects peers without a path of their own to backend servers.

The peer names a server of this daemon's directory, so that no other address
can be reached through the tunnel.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
import grpc
import httpcore

from figstream import backend_server
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import server_connector
from figstream import server_paths
from figstream.rpc import tunnel_pb2
from figstream.rpc import tunnel_pb2_grpc

# Below the time that a peer waits for the connection.
_CONNECT_TIMEOUT_S: Final = 0.25
_READ_BYTES: Final = 65_536
# Each takes a descriptor and some buffers.
MAX_TUNNELS: Final = 512
# A peer that reads an answer ends the call with the answer.
_END_TIMEOUT_S: Final = 2.0

Find = Callable[[str], backend_server.BackendServer | None]
_Requests = AsyncIterator[tunnel_pb2.Chunk]
_Context = grpc.aio.ServicerContext[tunnel_pb2.Chunk, tunnel_pb2.Chunk]


class TunnelServer(tunnel_pb2_grpc.ServerTunnelServicer):
    """Serves tunnels; a `daemon_context.RpcRole`."""

    def __init__(
        self,
        find: Find,
        paths: server_paths.ServerPaths,
        direct: server_connector.DirectConnector,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes the role.

        Args:
          find: returns the server of a name, None if there is none.
          paths: whether this daemon has a path itself.
          direct: opens the connections.
          metrics: instruments.
        """
        self._find = find
        self._paths = paths
        self._metrics = metrics
        self._direct = direct
        self._tunnels = 0

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        tunnel_pb2_grpc.add_ServerTunnelServicer_to_server(self, server)

    async def run(self) -> None:
        """Does nothing, since each call runs in a task of its own."""

    async def hand_over(self) -> None:
        """Does nothing, since open tunnels may go on."""

    async def Connect(  # noqa: N802
        self, request_iterator: _Requests, context: _Context
    ) -> None:
        """Carries one connection; see `tunnel.proto` for the codes."""
        first = await anext(request_iterator, None)
        refused, detail = self._refusal(first)
        stream = None
        if refused is None and first is not None:
            opened = await self._open(first.server)
            if isinstance(opened, grpc.StatusCode):
                refused, detail = opened, "server unreachable"
            else:
                stream = opened
        if stream is None or first is None:
            code = refused or grpc.StatusCode.INVALID_ARGUMENT
            self._metrics.event("peer_tunnel_refused")
            logs.info("peer_tunnel_refused", code=code.name, detail=detail)
            await context.abort(code, detail)
            return
        self._tunnels += 1
        try:
            self._metrics.event("peer_tunnel_opened")
            await context.write(tunnel_pb2.Chunk())
            broken = await _carry(
                stream, request_iterator, context, tells_end=first.reads_end
            )
        finally:
            self._tunnels -= 1
            with anyio.CancelScope(shield=True):
                await stream.aclose()
        if broken and not first.reads_end:
            await context.abort(grpc.StatusCode.ABORTED, "connection broke")

    def _refusal(
        self, first: tunnel_pb2.Chunk | None
    ) -> tuple[grpc.StatusCode | None, str]:
        if first is None:
            return grpc.StatusCode.INVALID_ARGUMENT, "no server named"
        if not self._paths.direct:
            return grpc.StatusCode.FAILED_PRECONDITION, "no path to servers"
        if self._tunnels >= MAX_TUNNELS:
            return grpc.StatusCode.RESOURCE_EXHAUSTED, "too many tunnels"
        if self._find(first.server) is None:
            return grpc.StatusCode.NOT_FOUND, f"unknown server {first.server}"
        return None, ""

    async def _open(
        self, name: str
    ) -> httpcore.AsyncNetworkStream | grpc.StatusCode:
        """Returns a connection to a server, or why there is none."""
        server = self._find(name)
        if server is None:
            return grpc.StatusCode.NOT_FOUND
        try:
            stream = await self._direct.connect(
                server_connector.address_of(server), _CONNECT_TIMEOUT_S
            )
        except httpcore.ConnectTimeout:
            # Another peer may reach the server.
            self._paths.failed(name)
            return grpc.StatusCode.UNAVAILABLE
        except httpcore.ConnectError:
            self._paths.failed(name)
            return grpc.StatusCode.ABORTED
        self._paths.opened(name)
        return stream


async def _carry(
    stream: httpcore.AsyncNetworkStream,
    requests: _Requests,
    context: _Context,
    *,
    tells_end: bool,
) -> bool:
    """Carries bytes both ways; returns whether the connection broke.

    Args:
      stream: the connection to the server.
      requests: what the peer sends.
      context: the call of the peer.
      tells_end: whether the peer reads how the server's side ended.
    """
    left = anyio.Event()

    async def forward() -> None:
        # A server may answer and close without reading the complete body. What
        # it has sent is read first; the read that follows tells how it ended.
        with contextlib.suppress(httpcore.WriteError):
            async for chunk in requests:
                await stream.write(bytes(chunk.data))
        async for _ in requests:
            pass
        left.set()

    async with anyio.create_task_group() as group:
        group.start_soon(forward)
        broken = await _answer(stream, context)
        if tells_end:
            end = tunnel_pb2.Chunk.BROKEN if broken else tunnel_pb2.Chunk.CLOSED
            await context.write(tunnel_pb2.Chunk(end=end))
            with anyio.move_on_after(_END_TIMEOUT_S):
                await left.wait()
        group.cancel_scope.cancel()
    return broken


async def _answer(
    stream: httpcore.AsyncNetworkStream, context: _Context
) -> bool:
    """Passes on what the server sends; returns whether it broke off."""
    try:
        while data := await stream.read(_READ_BYTES):
            await context.write(tunnel_pb2.Chunk(data=data))
    except httpcore.ReadError:
        return True
    return False
