"""Tests that nothing of a request outlives it until the garbage collector runs.

A body may take megabytes, while the collector counts objects and not bytes.
"""

import asyncio
import gc
import os
import socket
import struct

import anyio
import pytest

from figstream import inbound
from figstream_platform import standin_worker
from tests import gateway_front

_COUNT = 5
# Value of SO_LINGER with which closing a socket resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)
_CONNECTIONS = 40
_BODY = b"x" * 100_000


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["order", "status", "rewrite"])
async def test_a_body_is_released_with_its_request(route: str) -> None:
    worker = standin_worker.Worker()
    async with gateway_front.front(worker) as front:
        await front.send_request(route, "first", _BODY)
        gc.collect()
        gc.disable()
        try:
            for number in range(_COUNT):
                await front.send_request(route, f"r{number}", _BODY)
            await anyio.sleep(0.1)
            alive = [
                item
                for item in gc.get_objects()
                if isinstance(item, inbound.HttpRequest)
            ]
        finally:
            gc.enable()
    assert len(alive) == 0


def _descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["order", "rewrite"])
@pytest.mark.parametrize("answered", [True, False])
@pytest.mark.parametrize("reset", [True, False])
async def test_the_descriptor_of_a_closed_connection_is_released(
    route: str, answered: bool, reset: bool
) -> None:
    worker = standin_worker.Worker(pause_s=0.0 if answered else 0.1)
    async with gateway_front.front(worker) as front:
        await front.send_request(route, "first")
        before = _descriptors()
        for number in range(_CONNECTIONS):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", front.port
            )
            headers = front.headers(f"r{number}", content_length="0")
            lines = (f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(
                f"POST /{route}/x HTTP/1.1\r\n{''.join(lines)}\r\n".encode()
            )
            if answered:
                await reader.readuntil(b"\r\n\r\n")
            else:
                await anyio.sleep(0.02)
            if reset:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.close()
        await anyio.sleep(0.5)
        assert _descriptors() - before < _CONNECTIONS / 4
