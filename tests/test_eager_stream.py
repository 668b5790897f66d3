"""Tests of connections that read data as soon as it arrives."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import anyio.abc
import httpcore
import pytest

from figstream import eager_stream

_Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


async def _connect(
    group: anyio.abc.TaskGroup, handler: _Handler
) -> httpcore.AsyncNetworkStream:
    """Serves one connection with the handler and connects to it."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    group.start_soon(listener.serve, handler)
    network = eager_stream.make_network(800, eager=True)
    return await network.connect_tcp("127.0.0.1", port, 1.0)


@pytest.mark.anyio
async def test_data_arrives_in_order_and_then_the_end() -> None:
    async def send(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive(1)
            for part in (b"one ", b"two ", b"three"):
                await stream.send(part)
                await anyio.sleep(0.01)

    async with anyio.create_task_group() as group:
        stream = await _connect(group, send)
        await stream.write(b"x")
        received = b""
        while data := await stream.read(65_536, 1.0):
            received += data
        assert received == b"one two three"
        assert stream.get_extra_info("is_readable")
        await stream.aclose()
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_silent_server_ends_the_read_in_time() -> None:
    async def keep_silent(stream: anyio.abc.SocketStream) -> None:
        await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        stream = await _connect(group, keep_silent)
        with pytest.raises(httpcore.ReadTimeout):
            await stream.read(65_536, 0.05)
        assert not stream.get_extra_info("is_readable")
        await stream.aclose()
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_unread_data_is_bounded_and_complete() -> None:
    """Fails if a slow reader lets the buffer grow with the answer."""
    size = 8_000_000

    async def send(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.send(b"x" * size)

    async with anyio.create_task_group() as group:
        stream = await _connect(group, send)
        received = len(await stream.read(65_536, 1.0))
        largest = 0
        await anyio.sleep(0.2)
        while data := await stream.read(65_536, 1.0):
            received += len(data)
            largest = max(largest, len(data))
        assert received == size
        assert largest <= 262_144 + 65_536
        await stream.aclose()
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_bytes_on_an_idle_connection_make_it_unusable() -> None:
    async def send_stray(stream: anyio.abc.SocketStream) -> None:
        await stream.receive(1)
        await stream.send(b"answer")
        await anyio.sleep(0.05)
        await stream.send(b"stray")
        await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        stream = await _connect(group, send_stray)
        await stream.write(b"x")
        assert await stream.read(65_536, 1.0) == b"answer"
        assert not stream.get_extra_info("is_readable")
        await anyio.sleep(0.1)
        assert stream.get_extra_info("is_readable")
        await stream.aclose()
        group.cancel_scope.cancel()
