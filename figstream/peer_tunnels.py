"""Opens connections to backend servers through peer daemons.

Used while this daemon has no path of its own. A peer that has no path either,
or does not answer, is left out for a moment.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final

import anyio
import grpc
import httpcore

from figstream import clock as clock_lib
from figstream import logs
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import tunnel_stream
from figstream.rpc import tunnel_pb2
from figstream.rpc import tunnel_pb2_grpc

# A peer answers within milliseconds, unless it has just lost its path too.
_PEER_TIMEOUT_S: Final = 0.3
# Time for which a peer that did not help is left out; a path returns within
# seconds.
_SKIP_S: Final = 1.0
# Codes with which a peer that has a path tells of the server.
_ABOUT_SERVER: Final = frozenset(
    {grpc.StatusCode.NOT_FOUND, grpc.StatusCode.ABORTED}
)


class ServerUnreachableError(httpcore.ConnectError):
    """A peer that has a path to servers gets no connection to this one."""


class PeerTunnels:
    """Connections to backend servers through peers."""

    def __init__(
        self,
        members: membership_api.Members,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        source: random.Random,
        region_of: Callable[[str], str],
    ) -> None:
        """Initializes with no peer left out.

        Args:
          members: the live daemons.
          clock: time source.
          metrics: instruments.
          source: orders the peers.
          region_of: returns the region in which the peers for a server must
            be, "" for any.
        """
        self._region_of = region_of
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._random = source
        self._skipped_until: dict[str, float] = {}

    @property
    def available(self) -> bool:
        """Returns whether there are peers."""
        return len(self._members.live()) > 1

    async def connect(
        self, server: str, timeout_s: float
    ) -> tunnel_stream.TunnelStream:
        """Opens a connection to a server through one of the peers.

        Raises:
          ServerUnreachableError: the server refuses connections, or no longer
            exists; nothing was sent.
          httpcore.ConnectError: no peer reaches the server; nothing was sent.
          httpcore.ConnectTimeout: no peer answered in time; nothing was sent.
        """
        detail = "no peer"
        ends_at = self._clock.now() + timeout_s
        for peer in self._candidates(self._region_of(server)):
            left_s = ends_at - self._clock.now()
            if left_s <= 0.0:
                raise httpcore.ConnectTimeout("peers did not answer in time")
            result = await self._try(peer, server, min(left_s, _PEER_TIMEOUT_S))
            if isinstance(result, tunnel_stream.TunnelStream):
                self._metrics.event("server_tunnel_opened")
                logs.info("server_tunnel_opened", server=server, peer=peer.name)
                return result
            detail = f"{peer.name} {result.name}"
            if result in _ABOUT_SERVER:
                self._metrics.event("server_tunnel_failed")
                raise ServerUnreachableError(f"tunnel: {detail}")
            self._skipped_until[peer.name] = self._clock.now() + _SKIP_S
        self._metrics.event("server_tunnel_failed")
        raise httpcore.ConnectError(f"tunnel: {detail}")

    def _candidates(self, region: str) -> list[membership_api.Member]:
        """Returns the peers in random order, those left out last."""
        now = self._clock.now()
        this = self._members.this().name
        peers = [
            item
            for item in self._members.live()
            if item.name != this and region in {"", item.region}
        ]
        self._random.shuffle(peers)
        return sorted(
            peers, key=lambda item: self._skipped_until.get(item.name, 0) > now
        )

    async def _try(
        self, peer: membership_api.Member, server: str, timeout_s: float
    ) -> tunnel_stream.TunnelStream | grpc.StatusCode:
        """Returns the connection, or why the peer has not opened it."""
        channel = self._members.channel(peer)
        call = tunnel_pb2_grpc.ServerTunnelStub(channel).Connect()
        opened = False
        try:
            with anyio.move_on_after(timeout_s):
                await call.write(
                    tunnel_pb2.Chunk(server=server, reads_end=True)
                )
                answer = await call.read()
                opened = isinstance(answer, tunnel_pb2.Chunk)
                if opened:
                    return tunnel_stream.TunnelStream(call)
                code: grpc.StatusCode = await call.code()
                return code
        except (grpc.aio.AioRpcError, grpc.aio.UsageError) as error:
            code = await call.code()
            logs.debug(
                "server_tunnel_broken", peer=peer.name, detail=str(error)
            )
            return code
        except asyncio.CancelledError:
            await tunnel_stream.raise_if_cancelled()
            logs.debug("server_tunnel_broken", peer=peer.name, detail="closed")
            return grpc.StatusCode.UNAVAILABLE
        finally:
            if not opened:
                call.cancel()
        return grpc.StatusCode.DEADLINE_EXCEEDED


def make_peer_tunnels(
    members: membership_api.Members,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    region_of: Callable[[str], str] = lambda _: "",
) -> PeerTunnels:
    """Creates the tunnels of a daemon."""
    return PeerTunnels(members, clock, metrics, random.Random(), region_of)
