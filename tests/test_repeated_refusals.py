"""Tests of workers that send an earlier refusal once more.

The refusal arrives on a kept connection where the answer to the next request
is due, while that request runs.
"""

import pytest

from figstream_platform import standin_worker
from tests import gateway_front

_Fault = standin_worker.Fault
_Worker = standin_worker.Worker
_REFUSALS = [_Fault.SHED, _Fault.LIMITED, _Fault.MISDIRECTED]


@pytest.mark.anyio
@pytest.mark.parametrize("refusal", _REFUSALS)
async def test_a_refusal_of_an_earlier_request_is_not_taken_for_the_next_ones(
    refusal: standin_worker.Fault,
) -> None:
    worker = _Worker(faults=[refusal, _Fault.REPEATED])
    async with gateway_front.front(worker) as front:
        first = await front.send_request("caption", "r1")
        assert (first.status_code, front.runs) == (503, [])
        second = await front.send_request("caption", "r2")
        assert (second.status_code, len(front.runs)) == (502, 1)
        assert worker.connections == 1
