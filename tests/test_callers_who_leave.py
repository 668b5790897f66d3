"""Tests of callers that leave while their requests wait in the daemon.

A request that no server has ends with its caller; a run that may happen only
once is completed.
"""

from collections.abc import Callable

import anyio
import httpx
import pytest

from figstream_platform import standin_worker
from tests import gateway_front

_Fault = standin_worker.Fault
# Shorter than any run of the workers here.
_SOON_S = 0.15
# Shorter than the time limits of the routes, 2 s.
_RUN_S = 1.2
# Those of the servers that `gateway_front` lists.
_SLOTS = 8


async def _send_and_leave(front: gateway_front.Front, request_id: str) -> None:
    """Sends an order of a caller who leaves before it is answered."""
    with pytest.raises(httpx.ReadTimeout):
        await front.client.post(
            f"{front.url}/order/x",
            headers=front.headers(request_id),
            timeout=httpx.Timeout(5.0, read=_SOON_S),
        )


async def _wait_until(holds: Callable[[], bool]) -> None:
    with anyio.fail_after(10.0):
        while not holds():
            await anyio.sleep(0.005)


def _decisions(front: gateway_front.Front, name: str) -> int:
    records = front.context.decisions.latest(999)
    return sum(item.decision == name for item in records)


@pytest.mark.anyio
async def test_an_order_that_waits_ends_with_its_caller() -> None:
    # The daemon queues what exceeds the slots of such a server.
    worker = standin_worker.Worker(brittle_text="3", room=99)
    async with gateway_front.front(worker) as front:
        await front.send_request("order", "first")
        worker.pause_s = _RUN_S
        gate = front.serving.gate
        async with anyio.create_task_group() as group:
            for number in range(_SLOTS):
                group.start_soon(front.send_request, "order", f"runs-{number}")
            await _wait_until(lambda: worker.active == _SLOTS)
            async with anyio.create_task_group() as callers:
                for number in range(4):
                    callers.start_soon(
                        front.send_request, "order", f"left-{number}"
                    )
                await _wait_until(lambda: gate.waiting == 4)
                callers.cancel_scope.cancel()
            await _wait_until(lambda: gate.waiting == 0)
            # No slot became free: they left and were not dispatched.
            assert worker.active == _SLOTS
        answer = await front.send_request("order", "last")
        assert answer.status_code == 200
        assert len(front.runs) == _SLOTS + 2
        assert _decisions(front, "caller_gone") == 4
        assert _decisions(front, "refused") == 0


@pytest.mark.anyio
async def test_an_order_that_was_turned_away_ends_with_its_caller() -> None:
    worker = standin_worker.Worker(brittle_text="3")
    async with gateway_front.front(worker) as front:
        await front.send_request("order", "first")
        # The daemon waits after a refusal by such a server.
        worker.faults = [_Fault.SHED]
        await _send_and_leave(front, "left")
        await anyio.sleep(1.2)
        assert [run.request_id for run in front.runs] == ["first"]
        assert (worker.refused, _decisions(front, "caller_gone")) == (1, 1)


@pytest.mark.anyio
async def test_an_order_that_runs_is_completed_without_its_caller() -> None:
    worker = standin_worker.Worker(pause_s=_RUN_S)
    async with gateway_front.front(worker) as front:
        await _send_and_leave(front, "left")
        await _wait_until(lambda: _decisions(front, "answered") == 1)
        assert [run.request_id for run in front.runs] == ["left"]
        assert worker.closed_early == []
