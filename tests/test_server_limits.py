"""Tests the limits that backend servers name for all daemons together."""

import anyio
import pytest

from figstream_platform import standin_worker
from tests import gateway_front

_WINDOW_S = 4.0
# Requests in a window that are allowed at a limit of one a second: one and a
# half times the limit, and five.
_ALLOWED = 11


@pytest.mark.anyio
async def test_a_server_gets_no_more_than_the_limit_that_it_names() -> None:
    limited = standin_worker.Worker("i-1", limit_text="1")
    free = standin_worker.Worker("i-2")
    async with gateway_front.front(limited, free) as front:
        with anyio.move_on_after(_WINDOW_S):
            for number in range(1_000):
                answer = await front.send_request("status", f"r{number}")
                assert answer.status_code == 200
                await anyio.sleep(0.02)
    assert 2 <= len(limited.runs) <= _ALLOWED
