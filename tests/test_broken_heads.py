"""Tests of workers that stop in the middle of an answer's head and close."""

from collections.abc import Iterable

import anyio
import anyio.abc
import httpx
import pytest

from figstream_platform import standin_worker
from tests import byte_worker
from tests import gateway_front

_STATUS = b"HTTP/1.1 200 OK\r\n"
_ID = b"x-request-id: r1\r\n"
_SIGNATURE = b"x-server-signature: signed by i-1\r\n"
_LOAD = b"x-server-load: 1,0,8\r\n"
_EVENTS = b"content-type: text/event-stream\r\n"
_FRAMINGS = {
    "length": b"content-length: 120\r\n",
    "chunks": b"transfer-encoding: chunked\r\n",
    "end": b"connection: close\r\n",
    "empty": b"content-length: 0\r\n",
}


class _CuttingWorker(byte_worker.ByteWorker):
    """A worker that ends each connection after a part of its answer.

    The body of a request says how many bytes it sends.
    """

    text = b""
    resets = False

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                received = await stream.receive()
            except anyio.EndOfStream:
                # A check whether the worker listens.
                return
            size = int(received.rpartition(b"\r\n\r\n")[2])
            await stream.send(self.text[:size])
            if self.resets:
                standin_worker.reset_when_closed(stream)


async def _answers(
    worker: _CuttingWorker, route: str, sizes: Iterable[int]
) -> dict[int, httpx.Response]:
    """Returns the answers of a gateway to as many requests, by size."""
    found: dict[int, httpx.Response] = {}
    async with gateway_front.front(worker) as front:

        async def send(size: int) -> None:
            found[size] = await front.send_request(
                route, "r1", str(size).encode()
            )

        async with anyio.create_task_group() as group:
            for size in sizes:
                group.start_soon(send, size)
    return found


@pytest.mark.anyio
@pytest.mark.parametrize("framing", _FRAMINGS)
@pytest.mark.parametrize("route", ["order", "caption"])
@pytest.mark.parametrize("resets", [False, True])
async def test_part_of_a_head_is_never_an_answer(
    framing: str, route: str, resets: bool
) -> None:
    """Fails if callers get a success whose head the worker did not finish."""
    lines = [_STATUS, _ID, _SIGNATURE, _LOAD, _FRAMINGS[framing]]
    if route == "caption":
        lines.append(_EVENTS)
    worker = _CuttingWorker()
    worker.text = b"".join(lines) + b"\r\n"
    worker.resets = resets
    found = await _answers(worker, route, range(len(worker.text)))
    statuses = {size: answer.status_code for size, answer in found.items()}
    assert statuses == dict.fromkeys(range(len(worker.text)), 502)


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["order", "caption"])
@pytest.mark.parametrize("framing", ["end", "empty"])
async def test_a_success_without_a_signature_is_not_passed_on(
    framing: str, route: str
) -> None:
    """Fails if a head that lacks its last lines counts as a whole one."""
    lines = [_STATUS, _ID, _FRAMINGS[framing]]
    if route == "caption":
        lines.append(_EVENTS)
    worker = _CuttingWorker()
    worker.text = b"".join(lines) + b"\r\n"
    found = await _answers(worker, route, [len(worker.text)])
    assert [answer.status_code for answer in found.values()] == [502]
