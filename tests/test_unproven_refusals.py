"""Tests of servers that ran a request and answer as if they had refused it.

Callers take such a status as a promise that the request has not run and never
will. Only the mark of a server proves that.
"""

import json
import pathlib
from typing import Any

import httpx
import pytest

from figstream_platform import standin_worker
from tests import gateway_front

_CASES = json.loads(
    (
        pathlib.Path(__file__).parent.parent
        / "test-data/unproven_refusals.json"
    ).read_text()
)
_FAULTS = {status: fault for fault, status in standin_worker.UNPROVEN.items()}
_SIGNATURE = standin_worker.SIGNATURE.decode()


@pytest.mark.anyio
@pytest.mark.parametrize("servers", [1, 2])
@pytest.mark.parametrize("case", _CASES, ids=str)
async def test_a_refusal_without_the_mark_is_not_passed_on(
    case: dict[str, Any], servers: int
) -> None:
    faults = [_FAULTS[case["status"]]] * case.get("times", 1)
    workers = [standin_worker.Worker(f"i-{n}") for n in range(servers)]
    for worker in workers:
        # All servers take the faults from one list.
        worker.faults = faults
    async with gateway_front.front(*workers) as front:
        answer = await front.send_request(case["route"])
        assert answer.status_code == case["answer"]
        assert len(front.runs) == case["runs"]
        assert (_SIGNATURE in answer.headers) == (case["answer"] == 200)
        counted = _unproven(front)
        assert counted == case.get("times", 1)


@pytest.mark.anyio
async def test_a_refusal_with_the_mark_is_still_a_promise() -> None:
    worker = standin_worker.Worker(faults=[standin_worker.Fault.SHED] * 9)
    async with gateway_front.front(worker) as front:
        answer: httpx.Response = await front.send_request("order")
        assert (answer.status_code, front.runs) == (503, [])
        assert _unproven(front) == 0


def _unproven(front: gateway_front.Front) -> int:
    records = front.context.decisions.latest(999)
    return sum(item.decision == "refusal_unproven" for item in records)
