"""Tests answers of backend servers and of the platform that never end."""

import contextlib
import time

import anyio
import anyio.abc
import httpx
import pytest

from figstream import answer_buffers
from figstream import platform_api
from figstream import platform_http
from figstream_platform import standin_endless
from figstream_platform import standin_worker
from tests import byte_worker
from tests import gateway_front

_Fault = standin_worker.Fault
_REQUESTS = 6
# The buffers of the kernel for one connection.
_KERNEL_BYTES = 8_000_000
_MAX_BYTES = answer_buffers.LIMIT_BYTES + _REQUESTS * _KERNEL_BYTES


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "route"),
    [
        (_Fault.ENDLESS_HEAD, "order"),
        (_Fault.ENDLESS_HEAD, "caption"),
        (_Fault.ENDLESS_BODY, "order"),
        (_Fault.ENDLESS_EVENT, "caption"),
    ],
)
async def test_endless_answers_fill_no_memory_and_hold_no_caller(
    fault: standin_worker.Fault, route: str
) -> None:
    worker = standin_worker.Worker("i-1", faults=[fault] * _REQUESTS)
    answers: list[httpx.Response] = []

    async with gateway_front.front(worker) as front:

        async def send_request(number: int) -> None:
            answers.append(await front.send_request(route, f"r{number}"))

        started_at = time.monotonic()
        async with anyio.create_task_group() as group:
            for number in range(_REQUESTS):
                group.start_soon(send_request, number)
        # Half of the time limit of the routes.
        assert time.monotonic() - started_at < 1.0
        assert {item.status_code for item in answers} <= {502, 504}
        assert worker.endless_bytes < _MAX_BYTES
        sent = worker.endless_bytes
        later = await front.send_request(route, "later")
        assert later.status_code == 200
        assert worker.endless_bytes == sent


def _fill(buffer: answer_buffers.AnswerBuffer) -> None:
    for size in range(1, 2_000):
        buffer.resize(size)


def test_endless_answers_leave_memory_for_small_ones() -> None:
    buffers = answer_buffers.AnswerBuffers(1_000)
    endless = [answer_buffers.AnswerBuffer(buffers) for _ in range(8)]
    for buffer in endless:
        with pytest.raises(answer_buffers.AnswerTooLongError):
            _fill(buffer)
        assert buffers.used_bytes < 1_000
    for buffer in endless:
        buffer.resize(0)
    with answer_buffers.AnswerBuffer(buffers) as buffer:
        buffer.resize(500)
    assert buffers.used_bytes == 0


class _EndlessPlatform(byte_worker.ByteWorker):
    """A platform that answers each call without end."""

    def __init__(self, start: bytes, filler: bytes) -> None:
        super().__init__()
        self._answer = standin_endless.EndlessAnswer(start, filler)

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async with stream:
                await stream.receive()
                async for count in self._answer.send(stream, b""):
                    self.endless_bytes += count


_SUCCESS = b"HTTP/1.1 200 OK\r\n"
# First bytes of an answer, and those that follow until it is closed.
_PLATFORM_ANSWERS = {
    "body": (_SUCCESS + b"connection: close\r\n\r\n", b"filler"),
    "chunks": (
        _SUCCESS + b"transfer-encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 0x1000 + b"\r\n",
    ),
    "head": (_SUCCESS, b"x-filler: filler\r\n"),
    "no answer": (b"", b"no answer"),
}


@pytest.mark.anyio
@pytest.mark.parametrize("checked", [False, True])
@pytest.mark.parametrize("kind", _PLATFORM_ANSWERS)
async def test_endless_answers_of_the_platform_fill_no_memory(
    checked: bool, kind: str
) -> None:
    """Fails if the platform can end a daemon by an answer without end.

    Args:
      checked: whether the call is one that is sent only with a lease.
      kind: what the platform sends.
    """
    platform = _EndlessPlatform(*_PLATFORM_ANSWERS[kind])
    outcomes: list[platform_http.CallOutcome] = []

    async def call() -> None:
        outcomes.append(
            await client.call_if_allowed(
                "PUT", "/x", b"", {}, platform_api.always_allowed
            )
            if checked
            else await client.call("GET", "/x")
        )

    async with anyio.create_task_group() as group:
        await group.start(platform.serve)
        client = platform_http.PlatformHttpClient(
            f"http://127.0.0.1:{platform.port}", "entry-1", 5.0
        )
        # Far below the time limit of a call.
        with anyio.fail_after(2.0):
            async with anyio.create_task_group() as calls:
                for _ in range(_REQUESTS):
                    calls.start_soon(call)
        group.cancel_scope.cancel()
    unknown = [x for x in outcomes if isinstance(x, platform_api.Unknown)]
    assert len(unknown) == len(outcomes) == _REQUESTS
    details = {"answer too long" in item.detail for item in unknown}
    assert details == {kind in {"body", "chunks"}}
    assert platform.endless_bytes < _MAX_BYTES
