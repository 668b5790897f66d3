"""Tests of the shutdown of the HTTP server."""

from typing import Any

import anyio
import pytest

from figstream import http_server


async def _refuse(scope: Any, receive: Any, send: Any) -> None:
    raise RuntimeError("no request is sent")


@pytest.mark.anyio
async def test_shut_down_ends_serve_without_cancelling_its_caller() -> None:
    # Fails if Hypercorn runs in the caller's task: Hypercorn leaves its task
    # marked as cancelled, so the caller's next operation would be cancelled.
    server = http_server.HttpServer(_refuse, "127.0.0.1", 0)
    continued = False

    async def serve_then_hand_over() -> None:
        nonlocal continued
        await server.serve()
        await anyio.sleep(0)
        continued = True

    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            group.start_soon(serve_then_hand_over)
            await anyio.sleep(0.05)
            server.shut_down()
    assert continued
