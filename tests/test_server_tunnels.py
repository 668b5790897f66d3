"""Tests of connections to backend servers through a peer."""

from collections.abc import Iterator
from typing import Any

import anyio
import anyio.abc
import attrs
import grpc
import httpcore
import pytest

from figstream import answer_buffers
from figstream import backend_connection
from figstream import backend_transport
from figstream import clock as clock_lib
from figstream import gateway_answer
from figstream import metrics
from figstream import peer_tunnels
from figstream import server_connector
from figstream import server_paths
from figstream import stream_relay
from figstream.rpc import tunnel_pb2_grpc
from figstream_platform import callers
from figstream_platform import standin_worker
from tests import gateway_front
from tests import tunnel_parts


@pytest.fixture(name="refusing_port")
def _refusing_port() -> Iterator[int]:
    with tunnel_parts.refusing_port() as port:
        yield port


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "status"),
    [
        *((fault, 502) for fault in standin_worker.UNPROVEN),
        (standin_worker.Fault.SHED, 503),
    ],
)
async def test_only_a_marked_refusal_is_a_promise_through_a_peer(
    fault: standin_worker.Fault, status: int
) -> None:
    worker = standin_worker.Worker("i-1", port=tunnel_parts.free_port())
    worker.faults = [fault] * 9
    async with tunnel_parts.peers(worker.port) as peers:
        connector = tunnel_parts.TunnelConnector(peers.tunnels)
        async with gateway_front.front(worker, connector=connector) as front:
            answer = await front.send_request("order")
            assert answer.status_code == status
            assert len(front.runs) == (status == 502)


@pytest.mark.anyio
async def test_bytes_pass_both_ways_and_the_end_is_orderly() -> None:
    async with tunnel_parts.peers() as peers:
        stream = await peers.tunnels.connect("i-1", 2.0)
        await stream.write(b"x" * 200_000)
        [connection] = peers.connections
        received = 0
        while received < 200_000:
            received += len(await connection.receive())
        await connection.send(b"answer")
        assert await stream.read(100, 2.0) == b"answer"
        await connection.aclose()
        assert await stream.read(100, 2.0) == b""


@pytest.mark.anyio
async def test_a_reset_is_no_orderly_end() -> None:
    """Fails if an answer without a length that was reset passes for whole."""
    async with tunnel_parts.peers() as peers:
        stream = await peers.tunnels.connect("i-1", 2.0)
        await anyio.sleep(0.05)
        [connection] = peers.connections
        standin_worker.reset_when_closed(connection)
        await connection.aclose()
        with pytest.raises(httpcore.ReadError):
            await stream.read(100, 2.0)


@pytest.mark.anyio
async def test_closing_a_tunnel_closes_the_connection_to_the_server() -> None:
    """Fails if a server goes on with a request that its caller has left."""
    async with tunnel_parts.peers() as peers:
        stream = await peers.tunnels.connect("i-1", 2.0)
        await anyio.sleep(0.05)
        await stream.aclose()
        with anyio.fail_after(0.4), pytest.raises(anyio.EndOfStream):
            await peers.connections[0].receive()


@pytest.mark.anyio
async def test_a_read_without_bytes_times_out() -> None:
    async with tunnel_parts.peers() as peers:
        stream = await peers.tunnels.connect("i-1", 2.0)
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(100, 0.1)


@pytest.mark.anyio
@pytest.mark.parametrize("server", ["i-2", ""])
async def test_only_servers_of_the_directory_are_reached(server: str) -> None:
    async with tunnel_parts.peers() as peers:
        with pytest.raises(httpcore.ConnectError):
            await peers.tunnels.connect(server, 2.0)
        assert not peers.connections


@pytest.mark.anyio
async def test_a_peer_without_a_path_does_not_help() -> None:
    async with tunnel_parts.peers() as peers:
        peers.paths.mark_lost(["i-1"])
        with pytest.raises((httpcore.ConnectError, httpcore.ConnectTimeout)):
            await peers.tunnels.connect("i-1", 1.0)
        peers.paths.mark_regained("i-1")
        stream = await peers.tunnels.connect("i-1", 2.0)
        await stream.aclose()


@pytest.mark.anyio
async def test_a_refused_connection_is_no_crash_if_a_peer_gets_one(
    refusing_port: int,
) -> None:
    """Fails if a partition that refuses connections passes for crashes."""
    async with tunnel_parts.peers() as peers:
        connector = server_connector.PathConnector(
            server_connector.DirectConnector(),
            server_paths.ServerPaths(
                clock_lib.SystemClock(), metrics.make_unexported_metrics()
            ),
            peers.tunnels,
        )
        refused = server_connector.ServerAddress(
            "127.0.0.1", refusing_port, "i-1"
        )
        assert await connector.accepts(refused, 1.0)
        crashed = attrs.evolve(refused, server="i-2")
        assert not await connector.accepts(crashed, 1.0)


class _CutConnector(server_connector.DirectConnector):
    """Opens no connection, as behind a partition that drops packets."""

    async def connect(
        self, address: server_connector.ServerAddress, timeout_s: float
    ) -> httpcore.AsyncNetworkStream:
        await anyio.sleep(timeout_s)
        raise httpcore.ConnectTimeout


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("known_lost", "server", "peer_has_path", "accepts"),
    [
        (True, "listens", True, True),
        (True, "crashed", True, False),
        (True, "removed", True, False),
        (True, "listens", False, None),
        (False, "listens", True, True),
        (False, "crashed", True, False),
        (False, "crashed", False, True),
    ],
)
async def test_a_timeout_behind_a_partition_says_nothing_of_a_server(
    *,
    known_lost: bool,
    server: str,
    peer_has_path: bool,
    accepts: bool | None,
    refusing_port: int,
) -> None:
    """Fails if an answer that a crash has cut short passes for whole."""
    closed_port = refusing_port if server == "crashed" else 0
    paths = server_paths.ServerPaths(
        clock_lib.SystemClock(), metrics.make_unexported_metrics()
    )
    if known_lost:
        paths.mark_lost(["i-1"])
    async with tunnel_parts.peers(closed_port) as peers:
        if not peer_has_path:
            peers.paths.mark_lost(["i-1"])
        connector = server_connector.PathConnector(
            _CutConnector(), paths, peers.tunnels
        )
        address = server_connector.ServerAddress(
            "127.0.0.1", 1, "i-2" if server == "removed" else "i-1"
        )
        assert await connector.accepts(address, 1.0) is accepts


@pytest.mark.anyio
async def test_a_check_takes_no_longer_than_it_may(refusing_port: int) -> None:
    """Fails if a retry waits for peers after a timeout of a sound path."""
    paths = server_paths.ServerPaths(
        clock_lib.SystemClock(), metrics.make_unexported_metrics()
    )
    async with tunnel_parts.peers(refusing_port) as peers:
        connector = server_connector.PathConnector(
            _CutConnector(), paths, peers.tunnels
        )
        address = server_connector.ServerAddress("127.0.0.1", 1, "i-1")
        assert await connector.accepts(address, 0.1)
        assert not await connector.accepts(address, 1.0)


@pytest.mark.anyio
async def test_events_come_through_a_peer_as_they_arrive() -> None:
    """Fails if a stream through a peer is relayed only when it has ended."""
    body = bytearray()

    async def send(message: dict[str, Any]) -> None:
        body.extend(message.get("body", b""))

    answer = gateway_answer.GatewayAnswer(
        send, callers.PlatformCallers(), "r1", lambda: False
    )
    async with (
        tunnel_parts.peers() as peers,
        anyio.create_task_group() as group,
    ):
        paths = server_paths.ServerPaths(
            clock_lib.SystemClock(), metrics.make_unexported_metrics()
        )
        paths.mark_lost(["i-1"])
        connector = server_connector.PathConnector(
            server_connector.DirectConnector(), paths, peers.tunnels
        )

        async def relay() -> None:
            received = await backend_transport.BackendTransport(connector).send(
                server_connector.ServerAddress("127.0.0.1", 1, "i-1"),
                backend_connection.Request(
                    b"GET", b"/", ((b"host", b"x"),), b""
                ),
                1.0,
                5.0,
            )
            buffers = answer_buffers.AnswerBuffers()
            stream = stream_relay.StreamRelay(answer, lambda: None, b"")
            await stream.relay_events(received, 5.0, buffers)
            await received.close()

        group.start_soon(relay)
        while not peers.connections:
            await anyio.sleep(0.01)
        [connection] = peers.connections
        await connection.send(b"HTTP/1.1 200 OK\r\n\r\nid: 1\n\nid: 2\nda")
        await anyio.sleep(0.3)
        assert body == b"id: 1\n\n"
        await connection.send(b"ta: x\n\n")
        await connection.aclose()
    assert body == b"id: 1\n\nid: 2\ndata: x\n\n"


class _MutePeer(tunnel_pb2_grpc.ServerTunnelServicer):
    """A peer that takes calls and answers none."""

    async def Connect(  # noqa: N802
        self, request_iterator: object, context: object
    ) -> None:
        await anyio.sleep(5.0)


@pytest.mark.anyio
async def test_a_channel_that_closes_ends_an_attempt_and_not_the_request() -> (
    None
):
    """Fails if the closing of a silent channel cancels the request's task.

    Callers then got status 500 without a word in the log, 1,017 of them in a
    zone that was emptied and cut off at the same time.
    """
    server = grpc.aio.server()
    tunnel_pb2_grpc.add_ServerTunnelServicer_to_server(_MutePeer(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    members = tunnel_parts.Members([f"127.0.0.1:{port}"])
    tunnels = peer_tunnels.make_peer_tunnels(
        members, clock_lib.SystemClock(), metrics.make_unexported_metrics()
    )

    async def close() -> None:
        await anyio.sleep(0.1)
        await members.close()

    outcomes = []
    async with anyio.create_task_group() as group:
        group.start_soon(close)
        try:
            await tunnels.connect("i-1", 5.0)
        except httpcore.ConnectError as error:
            outcomes.append(str(error))
    await server.stop(0.0)
    assert outcomes == ["tunnel: entry-1 UNAVAILABLE"]


@pytest.mark.anyio
@pytest.mark.parametrize("limit_s", [0.05, 0.1, 0.2])
async def test_a_time_limit_ends_a_wait_for_a_tunnel_quietly(
    limit_s: float,
) -> None:
    """Fails if the scope of the limit does not know the cancellation again.

    gRPC answers a cancellation with an error of its own; callers then got
    status 500 without a word in the log.
    """
    server = grpc.aio.server()
    tunnel_pb2_grpc.add_ServerTunnelServicer_to_server(_MutePeer(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    members = tunnel_parts.Members([f"127.0.0.1:{port}"])
    tunnels = peer_tunnels.make_peer_tunnels(
        members, clock_lib.SystemClock(), metrics.make_unexported_metrics()
    )
    with anyio.move_on_after(limit_s) as limit:
        await tunnels.connect("i-1", 5.0)
    assert limit.cancelled_caught
    await members.close()
    await server.stop(0.0)


@pytest.mark.anyio
async def test_a_write_after_the_end_of_a_tunnel_is_a_broken_connection() -> (
    None
):
    """Fails if a request ends with the error of a library in a task group."""
    async with tunnel_parts.peers() as peers:
        stream = await peers.tunnels.connect("i-1", 2.0)
        stream._call.cancel()
        with pytest.raises(httpcore.WriteError):
            await stream.write(b"x")
        with pytest.raises(httpcore.ReadError):
            await stream.read(10, 1.0)
