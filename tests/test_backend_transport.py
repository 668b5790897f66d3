"""Tests of the pool of connections to backend servers."""

import socket

import anyio
import pytest

from figstream import backend_connection
from figstream import backend_transport
from figstream import server_connector
from figstream_platform import standin_worker


@pytest.mark.anyio
async def test_a_request_that_must_not_be_lost_outlasts_a_silent_second() -> (
    None
):
    """Fails if a sound server that pauses for a second breaks connections."""
    worker = standin_worker.Worker("i-1")
    request = backend_connection.Request(
        b"GET",
        b"/x",
        (
            (b"host", b"x"),
            (b"x-request-id", b"r"),
            (b"x-expect-instance", b"i-1"),
            (b"content-length", b"0"),
        ),
        b"",
    )
    found = []
    async with anyio.create_task_group() as group:
        port = await group.start(worker.serve)
        transport = backend_transport.BackendTransport(
            server_connector.DirectConnector(eager=True)
        )
        address = server_connector.ServerAddress("127.0.0.1", port, "i-1")
        for at_most_once in (False, True, False):
            answer = await transport.send(
                address, request, 1.0, at_most_once=at_most_once
            )
            assert answer.stream
            connected: socket.socket = answer.stream.get_extra_info("socket")
            found.append(
                connected.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
            )
            _ = [chunk async for chunk in answer.body()]
            await answer.close()
        group.cancel_scope.cancel()
    assert worker.connections == 1
    assert found == [800, 2000, 800]
