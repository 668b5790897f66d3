"""Tests answers of backend servers that never end."""

import time

import anyio
import httpx
import pytest

from figstream import answer_buffers
from figstream_platform import standin_worker
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
