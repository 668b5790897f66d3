"""Tests the connections between daemons."""

import anyio
import grpc
import pytest

from figstream import clock as clock_lib
from figstream import membership_channels
from figstream import peer_server
from figstream.rpc import feed_pb2
from figstream.rpc import feed_pb2_grpc
from soak import links

# Heartbeats come each 2 s, so that a neighbour is not yet taken for dead. Each
# call asks for the channel, as the roles of a daemon do.
_RECONNECT_S = 6.0


class _AnsweringPeer(feed_pb2_grpc.FeedPeersServicer):
    def register(self, server: grpc.aio.Server) -> None:
        feed_pb2_grpc.add_FeedPeersServicer_to_server(self, server)

    async def Pull(  # noqa: N802
        self, request: feed_pb2.PullRequest, context: object
    ) -> feed_pb2.PullAnswer:
        return feed_pb2.PullAnswer()

    async def run(self) -> None:
        await anyio.sleep_forever()

    async def hand_over(self) -> None:
        pass


async def _pull(
    channels: membership_channels.Channels, address: str, timeout_s: float
) -> None:
    stub = feed_pb2_grpc.FeedPeersStub(channels.get(address))
    await stub.Pull(feed_pb2.PullRequest(), timeout=timeout_s)


@pytest.mark.anyio
async def test_a_connection_that_goes_silent_is_replaced() -> None:
    server = peer_server.PeerServer("127.0.0.1", 0)
    await server.start([_AnsweringPeer()])
    link = links.Link(int(server.address.rpartition(":")[2]))
    channels = membership_channels.Channels(clock_lib.SystemClock())
    async with anyio.create_task_group() as group:
        await group.start(link.serve)
        address = f"127.0.0.1:{link.port}"
        await _pull(channels, address, 5.0)
        link.stall_open()
        answered = False
        with anyio.move_on_after(_RECONNECT_S):
            while not answered:
                try:
                    await _pull(channels, address, 0.5)
                    answered = True
                except grpc.aio.AioRpcError:
                    continue
        await channels.close()
        await server.stop()
        group.cancel_scope.cancel()
    assert answered
