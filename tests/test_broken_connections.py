"""Tests of servers that break a connection while a request is written to it.

A write that fails takes the error of the socket; the next read then returns
what it returns at the orderly end of a connection.
"""

from collections.abc import AsyncIterator
import contextlib
import socket
import threading
import time
from typing import Final

import anyio
import anyio.abc
import httpcore
import httpx
import pytest

from figstream import backend_network
from figstream import eager_stream
from figstream import platform_api
from figstream import platform_http
from figstream_platform import standin_worker
from tests import gateway_front
from tests import tunnel_parts

# More than the buffers of the kernel for one connection hold.
_UPLOAD_BYTES: Final = 8_000_000
_READ_BYTES: Final = 65_536
_WORKER_TIMEOUT_S: Final = 1.0
_HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nconnection: close\r\nx-request-id: r1\r\n"
    b"x-server-signature: signed by i-1\r\n"
)
_ORDER: Final = _HEAD + b"\r\nanswer"
_EVENTS: Final = (
    _HEAD + b"content-type: text/event-stream\r\n\r\n"
    b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
)
_ROUTES: Final = {"order": _ORDER, "caption": _EVENTS}


def _framed(text: bytes, framing: str) -> bytes:
    """Returns an answer without a length as one that has a framing."""
    head, _, body = text.partition(b"\r\n\r\n")
    if framing == "length":
        line = b"content-length: %d" % len(body)
        return head + b"\r\n" + line + b"\r\n\r\n" + body
    half = len(body) // 2
    chunks = [body[:half], body[half:], b""]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(x), x) for x in chunks)
    return head + b"\r\ntransfer-encoding: chunked\r\n\r\n" + encoded


_LIMITS: Final = {"maxBodyBytes": 2 * _UPLOAD_BYTES}


@contextlib.asynccontextmanager
async def _connected(
    *, eager: bool
) -> AsyncIterator[tuple[backend_network.PacedStream, socket.socket]]:
    """Yields both ends of a connection to a server."""
    network = eager_stream.make_network(800, eager=eager)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        stream = await network.connect_tcp("127.0.0.1", port, 1.0)
        assert isinstance(stream, backend_network.PacedStream)
        server, _ = listener.accept()
    with server:
        yield stream, server
    await stream.aclose()


async def _fail_to_write(stream: backend_network.PacedStream) -> None:
    """Writes until a write fails."""
    with contextlib.suppress(httpcore.WriteError):
        for _ in range(100):
            await stream.write(b"x" * _READ_BYTES)
            await anyio.sleep(0.01)
        pytest.fail("no write failed")


@pytest.mark.anyio
@pytest.mark.parametrize("eager", [False, True])
async def test_a_reset_that_a_write_met_first_is_no_orderly_end(
    eager: bool,
) -> None:
    async with _connected(eager=eager) as (stream, server):
        server.sendall(b"part")
        standin_worker.reset_socket_when_closed(server)
        server.close()
        await _fail_to_write(stream)
        assert await stream.read(_READ_BYTES, 1.0) == b"part"
        for _ in range(2):
            with pytest.raises(httpcore.ReadError):
                await stream.read(_READ_BYTES, 1.0)


@pytest.mark.anyio
@pytest.mark.parametrize("eager", [False, True])
async def test_a_write_after_the_orderly_end_does_not_break_the_answer(
    eager: bool,
) -> None:
    """Fails if a whole answer to an unfinished request is discarded."""
    async with _connected(eager=eager) as (stream, server):
        server.sendall(b"whole")
        server.close()
        await _fail_to_write(stream)
        assert await stream.read(_READ_BYTES, 1.0) == b"whole"
        for _ in range(2):
            assert await stream.read(_READ_BYTES, 1.0) == b""


class _EarlyWorker(standin_worker.Worker):
    """A worker that answers before it has read the request's body.

    It runs in a thread, so that it may break a connection at any moment of the
    upload.

    Attributes:
      text: its answer.
      delay_s: time between the answer and the end of the connection.
      resets: whether the end is a reset; otherwise it reads the rest first.
    """

    text = b""
    delay_s = 0.0
    resets = True

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves connections until cancelled."""
        with socket.create_server(("127.0.0.1", self.port)) as listener:
            self.port = listener.getsockname()[1]
            thread = threading.Thread(
                target=self._accept_all, args=[listener], daemon=True
            )
            thread.start()
            task_status.started(self.port)
            try:
                await anyio.sleep_forever()
            finally:
                listener.shutdown(socket.SHUT_RDWR)
                thread.join()

    def _accept_all(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.settimeout(_WORKER_TIMEOUT_S)
            # The gateway may break a connection, too.
            with connection, contextlib.suppress(OSError):
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        if not connection.recv(_READ_BYTES):
            # A check whether the worker listens.
            return
        connection.sendall(self.text)
        time.sleep(self.delay_s)
        if self.resets:
            standin_worker.reset_socket_when_closed(connection)
            return
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(_READ_BYTES):
            pass


async def _upload(
    front: gateway_front.Front, route: str
) -> httpx.Response | httpx.TransportError:
    """Returns the answer to a long upload, or how it broke."""
    try:
        return await front.send_request(route, "r1", b"x" * _UPLOAD_BYTES)
    except httpx.TransportError as error:
        return error


def _is_whole(answer: httpx.Response | httpx.TransportError) -> bool:
    return isinstance(answer, httpx.Response) and answer.status_code == 200


@contextlib.asynccontextmanager
async def _front(
    worker: _EarlyWorker, way: str
) -> AsyncIterator[gateway_front.Front]:
    """Serves a gateway that reaches the worker in one of the ways."""
    async with (
        tunnel_parts.connector(worker, way) as connector,
        gateway_front.front(worker, connector=connector) as front,
    ):
        gateway_front.set_workers(
            front.context, [worker], version=8, limits=_LIMITS
        )
        yield front


@pytest.mark.anyio
@pytest.mark.parametrize("way", tunnel_parts.WAYS)
@pytest.mark.parametrize("route", _ROUTES)
@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.01, 0.05])
async def test_part_of_an_early_answer_is_never_whole(
    way: str, route: str, delay_s: float
) -> None:
    worker = _EarlyWorker()
    worker.text = _ROUTES[route]
    worker.delay_s = delay_s
    async with _front(worker, way) as front:
        answers = [await _upload(front, route) for _ in range(3)]
    assert not [answer for answer in answers if _is_whole(answer)]


@pytest.mark.anyio
@pytest.mark.parametrize("way", tunnel_parts.WAYS)
@pytest.mark.parametrize("route", _ROUTES)
async def test_an_early_answer_that_ends_in_order_is_whole(
    way: str, route: str
) -> None:
    worker = _EarlyWorker()
    worker.text = _ROUTES[route]
    worker.resets = False
    async with _front(worker, way) as front:
        answers = [await _upload(front, route) for _ in range(5)]
    assert all(map(_is_whole, answers))


@pytest.mark.anyio
@pytest.mark.parametrize("way", tunnel_parts.WAYS)
@pytest.mark.parametrize("route", _ROUTES)
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("resets", [False, True])
async def test_an_early_answer_with_a_framing_is_whole(
    way: str, route: str, framing: str, resets: bool
) -> None:
    """Fails if the end of a connection breaks an answer that ended before."""
    worker = _EarlyWorker()
    worker.text = _framed(_ROUTES[route], framing)
    worker.resets = resets
    body = _ROUTES[route].partition(b"\r\n\r\n")[2]
    async with _front(worker, way) as front:
        answers = [await _upload(front, route) for _ in range(5)]
    assert all(map(_is_whole, answers))
    assert [
        answer.content
        for answer in answers
        if isinstance(answer, httpx.Response)
    ] == [body] * 5


@pytest.mark.anyio
@pytest.mark.parametrize("checked", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.01, 0.05])
async def test_part_of_an_early_answer_of_the_platform_is_no_answer(
    checked: bool, delay_s: float
) -> None:
    """Fails if a write counts as done whose answer was cut short.

    Args:
      checked: whether the call is one that is sent only with a lease.
      delay_s: time between the part and the reset.
    """
    platform = _EarlyWorker()
    platform.text = _ORDER
    platform.delay_s = delay_s
    outcomes: list[platform_http.CallOutcome] = []
    async with anyio.create_task_group() as group:
        await group.start(platform.serve)
        client = platform_http.PlatformHttpClient(
            f"http://127.0.0.1:{platform.port}", "entry-1", 2.0
        )
        body = b"x" * _UPLOAD_BYTES
        for _ in range(3):
            outcomes.append(
                await client.call_if_allowed(
                    "PUT", "/x", body, {}, platform_api.always_allowed
                )
                if checked
                else await client.call("PUT", "/x", content=body)
            )
        group.cancel_scope.cancel()
    assert [type(item) for item in outcomes] == [platform_api.Unknown] * 3
